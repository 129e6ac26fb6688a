#include "gateway/quotas.h"

#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/accounts/quota_asker.h"
#include "coordination/accounts/quota_plan.h"
#include "gateway/backends.h"
#include "gateway/exchange_internal.h"
#include "gateway/sidecar_conns.h"
#include "protocol/tm_xdr.h"
#include "state/accounts.h"
#include "state/deployment.h"

/* A round trip takes some milliseconds; a keeper that stands still, seconds. */
#define TAKE_TIMEOUT_US (150 * USEC_PER_MSEC)
/* A keeper without an answer is not asked again for so long. */
#define FAILED_PAUSE_US (1 * USEC_PER_SEC)
/* Sidecars are connected within this time after a start. */
#define WAIT_KEEPER_US (500 * USEC_PER_MSEC)
#define UNKNOWN_RETRY_AFTER_US (300 * USEC_PER_MSEC)

static struct quota_plan
make_plan(const struct exchange *x)
{
	const struct gateway *g = x->gateway;
	const struct quota_bounds bounds = {
		.window_us = g->settings.quota_window_ms * USEC_PER_MSEC,
		.overage = g->settings.quota_overage,
		.slack = g->settings.quota_slack,
	};

	return quota_plan_make(&x->account->quota, &bounds,
	    quota_asker_hosts(g->quota_asker),
	    sidecar_conns_gateways(g->sidecar_conns));
}

static double
amount(const struct exchange *x)
{
	return account_quota_amount(&x->account->quota,
	    (uint64_t)x->params.prompt_tokens + x->params.max_tokens);
}

/* A counter of the request's account; their number is bounded. */
#define ACCOUNT_COUNTER(x, name)                                               \
	(*metrics_counter(                                                     \
	    (x)->gateway->process.metrics, name, account_label(x)))

static const char *
account_label(const struct exchange *x)
{
	static char label[METRICS_LABEL_MAX * 2];

	label[0] = '\0';
	metrics_label(label, sizeof(label), "account", x->account->name);
	return label;
}

/* ---- the keepers ---- */

static bool
is_connected(const struct backend *b)
{
	return b->conn != NULL && !b->connecting;
}

/* The sidecar on this host, if it is connected. */
static struct backend *
find_keeper(struct gateway *g, uint64_t host)
{
	struct backend *b = NULL;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (b->host == host && is_connected(b))
			return b;
	}
	return NULL;
}

static bool
is_usable(void *ctx, uint64_t host)
{
	struct gateway *g = ctx;
	const struct backend *b = find_keeper(g, host);

	return b != NULL &&
	       (b->quota_failed_us == 0 ||
		   clock_now(g->process.clock) - b->quota_failed_us >=
		       FAILED_PAUSE_US);
}

void
quotas_tick(struct gateway *g)
{
	struct backend *b = NULL;
	int64_t now = clock_now(g->process.clock);

	if (g->deployment == NULL || g->deployment->accounts == NULL)
		return;
	while ((b = backends_next(g->backends, b)) != NULL) {
		if (b->listed && sidecar_conns_has_sidecar(g->sidecar_conns, b))
			quota_asker_note_host(g->quota_asker, b->host,
			    strcmp(b->entry.zone, g->settings.zone) == 0, now);
	}
	quota_asker_expire_hosts(g->quota_asker, now);
}

static void
note_failure(struct exchange *x, int status)
{
	struct gateway *g = x->gateway;
	struct backend *b = NULL;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (b->host == x->quota_host)
			b->quota_failed_us = clock_now(g->process.clock);
	}
	log_warn(g->process.logger, "quota keeper does not answer",
	    LF_S("request", x->params.id), LF_S("account", x->account->name),
	    LF_I("status", status));
}

static void
on_taken(void *ctx, enum rpc_status status, void *arg)
{
	struct exchange *x = ctx;
	struct gateway *g = x->gateway;
	const struct tm_quota_taken *reply = arg;

	x->quota_conn = NULL;
	if (status == RPC_OK && reply->granted) {
		x->quota_taken = amount(x);
		exchange_dispatch(x);
		return;
	}
	if (status == RPC_OK)
		quota_asker_refused(g->quota_asker, x->account->name,
		    x->quota_host, amount(x), reply->wait_us, &x->quota_search,
		    clock_now(g->process.clock));
	else
		note_failure(x, status);
	quotas_take(x);
}

/* Returns false if no keeper can be asked. */
static bool
ask_keeper(struct exchange *x, const struct quota_plan *plan)
{
	struct gateway *g = x->gateway;
	struct backend *keeper;
	struct tm_quota_take msg = {
		.account = (char *)x->account->name,
		.ver = x->deployment->version,
		.limit = plan->keeper_limit,
		.window_us = (u_quad_t)plan->window_us,
		.amount = amount(x),
	};

	x->quota_host =
	    quota_asker_next(g->quota_asker, x->account->name, plan, msg.amount,
		&x->quota_search, clock_now(g->process.clock), is_usable, g);
	keeper = x->quota_host == 0 ? NULL : find_keeper(g, x->quota_host);
	if (keeper == NULL)
		return false;
	x->quota_conn = keeper->conn;
	rpc_conn_call(x->quota_conn, TM_QUOTA_TAKE,
	    (xdrproc_t)xdr_tm_quota_take, &msg, (xdrproc_t)xdr_tm_quota_taken,
	    sizeof(struct tm_quota_taken), TAKE_TIMEOUT_US, on_taken, x);
	return true;
}

/* ---- without a keeper that grants it ---- */

static bool
may_wait(const struct exchange *x)
{
	return clock_now(x->gateway->process.clock) - x->routed_us <
		   WAIT_KEEPER_US &&
	       exchange_left_us(x) > WAIT_KEEPER_US;
}

static void
end_without_keeper(struct exchange *x, const struct quota_plan *plan)
{
	struct gateway *g = x->gateway;

	if (quota_asker_take_reserve(g->quota_asker, x->account->name, plan,
		amount(x), clock_now(g->process.clock))) {
		ACCOUNT_COUNTER(x, "gateway_quota_reserve_total")++;
		exchange_dispatch(x);
		return;
	}
	if (x->quota_search.refused) {
		log_info(g->process.logger, "quota used up",
		    LF_S("request", x->params.id),
		    LF_S("account", x->account->name),
		    LF_D("amount", amount(x)),
		    LF_D("per_s", x->account->quota.per_s),
		    LF_D("burst", x->account->quota.burst),
		    LF_I("keepers", plan->keepers),
		    LF_I("asked", x->quota_search.asked_count),
		    LF_I("wait_us", x->quota_search.wait_us),
		    LF_I("version", x->deployment->version));
		ACCOUNT_COUNTER(x, "gateway_quota_refused_total")++;
		exchange_refuse(x, RESULT_QUOTA_EXCEEDED,
		    "the account's quota is used up", x->quota_search.wait_us);
		return;
	}
	if (may_wait(x)) {
		x->quota_waits = true;
		return;
	}
	ACCOUNT_COUNTER(x, "gateway_quota_unknown_total")++;
	exchange_refuse(x, RESULT_QUOTA_UNKNOWN,
	    "no keeper of the account's quota answers", UNKNOWN_RETRY_AFTER_US);
}

void
quotas_take(struct exchange *x)
{
	struct quota_plan plan;

	if (x->account != NULL && x->quota_search.asked_count == 0 &&
	    !x->quota_waits)
		ACCOUNT_COUNTER(x, "gateway_account_requests_total")++;
	x->quota_waits = false;
	if (x->account == NULL || x->account->quota.per_s == 0) {
		exchange_dispatch(x);
		return;
	}
	plan = make_plan(x);
	if (!ask_keeper(x, &plan))
		end_without_keeper(x, &plan);
}

void
quotas_end(struct exchange *x)
{
	struct gateway *g = x->gateway;
	struct tm_quota_return msg = {
		.account = x->account == NULL ? NULL : (char *)x->account->name,
		.amount = x->quota_taken,
	};
	struct backend *b;

	if (x->quota_conn != NULL)
		rpc_conn_drop_callbacks(x->quota_conn, x);
	x->quota_conn = NULL;
	if (x->quota_taken == 0 ||
	    (!x->refused && (x->attempts > 0 || x->may_have_run)))
		return;
	b = find_keeper(g, x->quota_host);
	if (b != NULL)
		(void)rpc_conn_send(b->conn, TM_QUOTA_RETURN,
		    (xdrproc_t)xdr_tm_quota_return, &msg);
}
