#include "gateway/exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/histogram.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/model_rates.h"
#include "coordination/retry_budget.h"
#include "coordination/selection.h"
#include "coordination/stop_admission.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/crash_guard.h"
#include "gateway/exchange_internal.h"
#include "gateway/quotas.h"
#include "gateway/request_hash.h"
#include "gateway/sidecar_conns.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "state/accounts.h"
#include "state/deployment.h"
#include "transport/http_server.h"

/* Callers abandon a stream without an event for the longest of these. */
#define ABANDON_MIN_US (2 * USEC_PER_SEC)
#define ABANDON_GOALS 4 /* times the goal for the first event */
#define ABANDON_GAPS 8 /* times the goal for pauses between events */
/* Longest wait for a replica to be listed. */
#define WAIT_REPLICA_US (2 * USEC_PER_SEC)
/* A load requested for a refused caller expires then; it retries earlier. */
#define REFUSED_LOAD_REQUEST_US (5 * USEC_PER_SEC)
/* Of each request: a selection examines all replicas, and VMs are small. */
#define RESELECT_PAUSE_US (100 * USEC_PER_MSEC)
/*
 * A request that waits repeats its load request, which expires if it does not:
 * the model is not loaded once the request has ended or waits elsewhere.
 */
#define LOAD_REQUEST_PAUSE_US (500 * USEC_PER_MSEC)
#define LOAD_REQUEST_EXPIRY_US (1500 * USEC_PER_MSEC)
/* Longest Retry-After, as a share of the time left: a retry needs the rest. */
#define RETRY_AFTER_MAX_SHARE 0.33
#define RETRY_AFTER_MIN_US (100 * USEC_PER_MSEC)
/* While stopping: of a route's answers, for the time that one may take. */
#define LIKELY_QUANTILE 0.99
#define LIKELY_MIN_COUNT 20
/* A wait for a prefill permit after which the sidecar may stand still. */
#define PERMIT_CHECK_US (400 * USEC_PER_MSEC)

/* ---- ending an exchange ---- */

static void
exchange_free(struct exchange *x)
{
	struct gateway *g = x->gateway;

	if (x->deployment == NULL)
		g->unrouted--;
	exchange_drop_call(x);
	quotas_end(x);
	TAILQ_REMOVE(&g->exchanges, x, link);
	event_free(x->deadline_timer);
	event_free(x->silence_timer);
	if (x->limit_timer != NULL)
		event_free(x->limit_timer);
	exchange_clear_headers(x);
	deployment_unref(x->deployment);
	free(x);
}

int64_t
exchange_left_us(const struct exchange *x)
{
	return x->deadline_us - clock_now(x->gateway->process.clock);
}

static void
log_end(const struct exchange *x, const char *message, int code,
    const char *why, int64_t retry_after_us)
{
	const struct gateway *g = x->gateway;
	int64_t now = clock_now(g->process.clock);

	log_info(g->process.logger, message, LF_S("request", x->params.id),
	    LF_S("route", x->route == NULL ? "" : x->route->name),
	    LF_S("account", x->account == NULL ? "" : x->account->name),
	    LF_S("model", x->params.model), LF_I("code", code),
	    LF_S("why", why), LF_I("attempts", x->attempts),
	    LF_I("unreachable", x->unreachable),
	    LF_I("may_have_run", x->may_have_run),
	    LF_I("took_us", now - x->arrived_us),
	    LF_I("begun", x->response_begun), LF_I("first_us", x->first_us),
	    LF_I("max_gap_us", x->max_gap_us),
	    LF_I("ended_by_close", x->ended_by_close),
	    LF_I("unfinished", x->unfinished),
	    LF_I("predicted_us", x->predicted_us),
	    LF_I("left_us", x->deadline_us - now),
	    LF_I("retry_after_us", retry_after_us),
	    LF_I(
		"version", x->deployment == NULL ? 0 : x->deployment->version));
}

/* Ranks of routes that an account's rank keeps apart. */
#define RANKS_OF_ACCOUNT 3

unsigned
exchange_rank(const struct exchange *x)
{
	unsigned rank = x->route->rank;

	if (x->account == NULL || !x->account->has_rank)
		return rank;
	if (rank >= RANKS_OF_ACCOUNT)
		rank = RANKS_OF_ACCOUNT - 1;
	return x->account->rank * RANKS_OF_ACCOUNT + rank;
}

static void
close_if_stopping(struct exchange *x)
{
	/* Otherwise the caller would send more requests on the connection. */
	if (x->gateway->stop_us != 0)
		caller_add_header(x->caller, "Connection", "close");
}

static void
reply_problem_code(struct exchange *x, enum result code, const char *why)
{
	struct problem p = {
		.code = code,
		.outcome = result_info(code)->outcome,
		.detail = why,
		.request = x->params.id,
	};

	close_if_stopping(x);
	caller_reply_problem(x->caller, &p);
}

/* Adds a Retry-After header with jitter; returns its value. */
static int64_t
add_retry_after(struct exchange *x, int64_t retry_after_us)
{
	int64_t most =
	    (int64_t)((double)exchange_left_us(x) * RETRY_AFTER_MAX_SHARE);
	char seconds[32];

	if (retry_after_us < RETRY_AFTER_MIN_US)
		retry_after_us = RETRY_AFTER_MIN_US;
	/* Callers refused at the same time must not retry together. */
	retry_after_us +=
	    (int64_t)((double)retry_after_us * rng_real(&x->gateway->rng) / 2);
	if (retry_after_us > most)
		retry_after_us = most > 0 ? most : 0;
	snprintf(seconds, sizeof(seconds), "%.3f",
	    (double)retry_after_us / USEC_PER_SEC);
	caller_add_header(x->caller, "Retry-After", seconds);
	return retry_after_us;
}

void
exchange_refuse(struct exchange *x, enum result code, const char *why,
    int64_t retry_after_us)
{
	int status = result_info(code)->http_status;
	enum result known =
	    result_if_run(code, x->may_have_run || x->response_begun);

	if (known != code) {
		exchange_fail(x, known, why);
		return;
	}
	x->refused = true;
	/* Other refusals repeat until the request or the deployment changes. */
	if (status == 503 || status == 429)
		retry_after_us = add_retry_after(x, retry_after_us);
	(*x->gateway->counters.refused)++;
	log_end(x, "request refused", status, why, retry_after_us);
	reply_problem_code(x, code, why);
	exchange_free(x);
}

void
exchange_fail(struct exchange *x, enum result code, const char *why)
{
	(*x->gateway->counters.failed)++;
	log_end(x, "request failed", result_info(code)->http_status, why, 0);
	if (x->response_begun)
		caller_abort(x->caller);
	else
		reply_problem_code(x, code, why);
	exchange_free(x);
}

/* Records the times to the first event and to the end, by route. */
static void
record_times(const struct exchange *x)
{
	struct metrics *m = x->gateway->process.metrics;
	int64_t now = clock_now(x->gateway->process.clock);
	char labels[METRICS_LABEL_MAX * 2] = "";

	metrics_label(labels, sizeof(labels), "route", x->route->name);
	histogram_record(metrics_histogram(m, "gateway_answer_seconds", labels),
	    (uint64_t)(now - x->arrived_us));
	if (x->first_us > 0)
		histogram_record(
		    metrics_histogram(m, "gateway_first_piece_seconds", labels),
		    (uint64_t)x->first_us);
	if (x->account == NULL)
		return;
	labels[0] = '\0';
	metrics_label(labels, sizeof(labels), "account", x->account->name);
	histogram_record(
	    metrics_histogram(m, "gateway_account_answer_seconds", labels),
	    (uint64_t)(now - x->arrived_us));
}

void
exchange_finish(struct exchange *x, const char *why)
{
	(*x->gateway->counters.answered)++;
	record_times(x);
	log_end(x, "request answered", x->code, why, 0);
	exchange_free(x);
}

void
exchange_on_disconnect(void *ctx)
{
	struct exchange *x = ctx;

	(*x->gateway->counters.disconnected)++;
	log_end(x, "caller left", x->code,
	    x->backend == NULL ? "waiting" : "sent", 0);
	exchange_drop_call(x);
	caller_abort(x->caller);
	exchange_free(x);
}

/* Ends the exchange without waiting for the replica any longer. */
static void
end_unanswered(struct exchange *x, enum result refused, const char *why)
{
	if (x->call != NULL) {
		x->may_have_run = true;
		exchange_count_silence(x);
	}
	exchange_drop_call(x);
	if (x->may_have_run || x->response_begun)
		exchange_fail(x, RESULT_DEADLINE_PASSED, why);
	else
		exchange_refuse(x, refused, why, 0);
}

void
exchange_on_deadline(struct exchange *x)
{
	end_unanswered(x, RESULT_DEADLINE_UNREACHABLE, "deadline passed");
}

/* ---- selecting a replica ---- */

struct choice {
	struct backend *backend; /* NULL: none */
	struct select_choice selected;
	uint32_t new_tokens; /* of the prompt, not cached there */
	int64_t limit_wait_us; /* as of struct candidates */
	int64_t quiet_us; /* the replica wants no requests for so long */
};

static struct choice
choose_backend(struct exchange *x, const struct service_spec *service)
{
	struct gateway *g = x->gateway;
	struct candidates *c =
	    candidates_list(g, service, &x->params, x->tried, x->tried_count);
	struct choice choice = { .selected = select_replica(
				     &c->query, c->replicas, c->count),
		.limit_wait_us = c->limit_wait_us };
	uint32_t prompt = x->params.prompt_tokens;

	if (service->has_engine)
		candidates_scale_out(g, c, &x->params, exchange_rank(x));
	if (choice.selected.index == -1)
		return choice;
	choice.backend = c->backends[choice.selected.index];
	choice.quiet_us = c->replicas[choice.selected.index].quiet_us;
	choice.new_tokens = c->replicas[choice.selected.index].cached_tokens;
	choice.new_tokens =
	    prompt > choice.new_tokens ? prompt - choice.new_tokens : 0;
	return choice;
}

bool
exchange_has_alternative(struct exchange *x)
{
	const struct service_spec *service =
	    deployment_find_service(x->deployment, x->service);
	struct choice choice;

	if (service == NULL)
		return false;
	choice = choose_backend(x, service);
	return choice.backend != NULL && choice.backend != x->backend &&
	       choice.selected.load_us == 0 && choice.quiet_us == 0 &&
	       choice.selected.first_us <= exchange_left_us(x);
}

static void
request_load(struct exchange *x, struct backend *b)
{
	int64_t now = clock_now(x->gateway->process.clock);
	int64_t left_us = exchange_left_us(x);
	uint64_t replica = candidates_id_hash(b);

	x->waiting = true;
	if (x->load_request_us != 0 && x->load_replica == replica &&
	    now - x->load_request_us < LOAD_REQUEST_PAUSE_US)
		return;
	if (x->load_request_us == 0)
		log_info(x->gateway->process.logger, "request waits for a load",
		    LF_S("request", x->params.id),
		    LF_S("model", x->params.model),
		    LF_S("adapter", x->params.adapter),
		    LF_S("replica", b->entry.id),
		    LF_I("left_us", exchange_left_us(x)));
	x->load_request_us = now;
	x->load_replica = replica;
	sidecar_conns_request_load(x->gateway->sidecar_conns, b, &x->params,
	    exchange_rank(x),
	    left_us < LOAD_REQUEST_EXPIRY_US ? left_us
					     : LOAD_REQUEST_EXPIRY_US);
}

int64_t
exchange_abandon_us(const struct route *r)
{
	int64_t us = ABANDON_MIN_US;

	if (us < ABANDON_GOALS * r->latency_goal_us)
		us = ABANDON_GOALS * r->latency_goal_us;
	if (us < ABANDON_GAPS * r->gap_goal_us)
		us = ABANDON_GAPS * r->gap_goal_us;
	return us;
}

/* Time until the caller stops waiting for the first event. */
static int64_t
first_event_left_us(const struct exchange *x)
{
	const struct route *r = x->route;
	int64_t waited = clock_now(x->gateway->process.clock) - x->arrived_us;
	int64_t left = exchange_left_us(x);
	int64_t abandon_us = exchange_abandon_us(r);

	if (r->kind != ROUTE_STREAM || x->response_begun)
		return left;
	return left < abandon_us - waited ? left : abandon_us - waited;
}

/*
 * Waiting is better than a refusal, as most callers retry only once: a replica
 * that restarts is listed again within two heartbeats.
 */
static bool
may_wait_for_replica(const struct exchange *x)
{
	int64_t now = clock_now(x->gateway->process.clock);

	return x->tried_count == 0 && now - x->routed_us < WAIT_REPLICA_US &&
	       exchange_left_us(x) > WAIT_REPLICA_US;
}

void
exchange_identify(struct exchange *x)
{
	struct evhttp_request *req = caller_request(x->caller);
	const struct request_text text = {
		.method = evhttp_request_get_command(req),
		.host = evhttp_find_header(
		    evhttp_request_get_input_headers(req), "Host"),
		.path = evhttp_request_get_uri(req),
		.body = x->body,
		.body_len = x->body_len,
	};

	if (x->params.whole == 0)
		x->params.whole =
		    request_hash(&x->params, &text, x->gateway->settings.store);
}

bool
exchange_passes_guard(struct exchange *x)
{
	int64_t wait_us;

	if (!crash_guard_is_idle(x->gateway->crash_guard))
		exchange_identify(x);

	switch (
	    crash_guard_check(x->gateway->crash_guard, &x->params, &wait_us)) {
	case CRASH_ADMIT:
		return true;
	case CRASH_TRIAL:
		exchange_release(x);
		x->waiting = true;
		return false;
	case CRASH_REFUSE:
		break;
	}
	exchange_refuse(x, RESULT_PROMPT_BARRED,
	    "it, or a part of its prompt, crashes replicas", wait_us);
	return false;
}

/* Time within which nearly all requests of the route end; 0: not known. */
static int64_t
likely_us(const struct exchange *x)
{
	char labels[METRICS_LABEL_MAX * 2] = "";
	const struct histogram *h;

	metrics_label(labels, sizeof(labels), "route", x->route->name);
	h = metrics_histogram(
	    x->gateway->process.metrics, "gateway_answer_seconds", labels);
	return h->count < LIKELY_MIN_COUNT
		   ? 0
		   : (int64_t)histogram_quantile(h, LIKELY_QUANTILE);
}

bool
exchange_passes_stop(struct exchange *x)
{
	const struct gateway *g = x->gateway;
	struct stop_request r = { .stream = x->route->kind == ROUTE_STREAM };

	/* What may have run already is not refused. */
	if (g->stop_us == 0 || x->may_have_run || x->response_begun)
		return true;
	r.left_us = gateway_stop_left_us(g);
	r.longest_us = exchange_left_us(x);
	r.likely_us = likely_us(x);
	if (stop_admits(&r))
		return true;
	exchange_refuse(x, RESULT_LEAVING, "could not end before the stop",
	    RETRY_AFTER_MIN_US);
	return false;
}

/* Selected again, as another replica may take it before the pause ends. */
static void
wait_for_quiet(struct exchange *x, const struct backend *b, int64_t quiet_us)
{
	if (!x->waiting)
		log_info(x->gateway->process.logger,
		    "request waits for a pause", LF_S("request", x->params.id),
		    LF_S("replica", b->entry.id), LF_I("wait_us", quiet_us),
		    LF_I("left_us", exchange_left_us(x)));
	x->waiting = true;
}

void
exchange_dispatch(struct exchange *x)
{
	const struct service_spec *service =
	    deployment_find_service(x->deployment, x->service);
	struct choice choice;

	if (service == NULL) {
		exchange_refuse(x, RESULT_NOT_READY, "unknown service", 0);
		return;
	}
	x->selected_us = clock_now(x->gateway->process.clock);
	if (!exchange_passes_stop(x) || !exchange_passes_guard(x))
		return;
	choice = choose_backend(x, service);
	if (choice.backend == NULL && exchange_forget_unloaded(x))
		choice = choose_backend(x, service);
	if (choice.backend == NULL && choice.limit_wait_us > 0) {
		exchange_refuse(x, RESULT_QUEUE_FULL,
		    "its replicas take no more requests", choice.limit_wait_us);
		return;
	}
	if (choice.backend == NULL && may_wait_for_replica(x)) {
		x->waiting = true;
		return;
	}
	if (choice.backend == NULL) {
		exchange_refuse(x, RESULT_BACKEND_UNREACHABLE,
		    "no replica can run it", 500 * USEC_PER_MSEC);
		return;
	}
	x->predicted_us = choice.selected.first_us;
	if (choice.selected.first_us > first_event_left_us(x)) {
		/* This caller may retry, and others may need the model. */
		if (choice.selected.load_us > 0)
			sidecar_conns_request_load(x->gateway->sidecar_conns,
			    choice.backend, &x->params, exchange_rank(x),
			    REFUSED_LOAD_REQUEST_US);
		exchange_refuse(x, RESULT_DEADLINE_UNREACHABLE,
		    "predicted first piece is too late",
		    choice.limit_wait_us > 0 &&
			    choice.limit_wait_us < choice.selected.first_us
			? choice.limit_wait_us
			: choice.selected.first_us);
		return;
	}
	if (choice.selected.load_us > 0) {
		request_load(x, choice.backend);
		return;
	}
	if (choice.quiet_us > 0) {
		wait_for_quiet(x, choice.backend, choice.quiet_us);
		return;
	}
	x->waiting = false;
	exchange_send(
	    x, choice.backend, choice.selected.first_us, choice.new_tokens);
}

void
exchanges_reselect(struct gateway *g)
{
	int64_t now = clock_now(g->process.clock);
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		if (x->prefill_conn != NULL &&
		    now - x->permit_asked_us >= PERMIT_CHECK_US)
			sidecar_conns_check(g->sidecar_conns, x->backend);
		if (x->quota_waits)
			quotas_take(x);
		else if (x->waiting &&
			 now - x->selected_us >= RESELECT_PAUSE_US)
			exchange_dispatch(x);
	}
}

void
exchanges_on_silent_sidecar(struct gateway *g, const struct backend *b)
{
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		if (x->backend == b && x->prefill_conn != NULL)
			exchange_send_unpermitted(x);
	}
}

void
exchanges_on_holdings(struct gateway *g, const struct backend *b)
{
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		if (x->waiting && backend_has_loaded(b, x->params.model))
			exchange_dispatch(x);
	}
}

void
exchanges_answer_all(struct gateway *g)
{
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		if (!x->response_begun)
			end_unanswered(x, RESULT_LEAVING, "process exits");
	}
}

void
exchanges_abort(struct gateway *g)
{
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		log_end(x, "request aborted", x->code, "process exits", 0);
		caller_abort(x->caller);
		exchange_free(x);
	}
}
