/*
 * Places a request within the limit of its replica: the meter says when it may
 * be sent.  While the meter does not answer, the gateway takes its own turns.
 */
#include <string.h>

#include <event2/event.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/rate_limit.h"
#include "gateway/backends.h"
#include "gateway/exchange_internal.h"
#include "gateway/limits.h"
#include "gateway/sidecar_conns.h"
#include "protocol/tm_xdr.h"

/* Timers of the event loop may fire this much early. */
#define EARLY_US (20 * USEC_PER_MSEC)
/* A granted place is used by then; the gateway may have stood still. */
#define GRANT_EXPIRY_US (500 * USEC_PER_MSEC)
#define METER_TIMEOUT_US (300 * USEC_PER_MSEC)
/*
 * Gateways that do not reach the meter share this part of the limit, since it
 * grants the whole limit to those that do.
 */
#define UNMETERED_SHARE 0.5

/* Its replica takes no request now: another one may. */
static void
choose_other(struct exchange *x)
{
	exchange_release(x);
	exchange_dispatch(x);
}

/* The model may have been unloaded while the request waited. */
static bool
still_has_model(const struct exchange *x)
{
	return x->params.model[0] == '\0' ||
	       backend_has_loaded(x->backend, x->params.model);
}

static void
on_limit_timer(int fd, short what, void *arg)
{
	struct exchange *x = arg;

	if (backend_takes_work(x->backend) && still_has_model(x))
		exchange_send_now(x);
	else
		choose_other(x);
}

/* The request may be sent at this time. */
static void
use_place(struct exchange *x, int64_t at_us)
{
	struct gateway *g = x->gateway;
	int64_t wait_us = at_us - clock_now(g->process.clock);

	x->limit_granted = true;
	x->limit_at_us = at_us;
	x->limit_per_s = x->backend->limit.per_s;
	if (x->limit_timer == NULL)
		x->limit_timer =
		    process_timer_new(&g->process, on_limit_timer, x);
	process_timer_add(x->limit_timer, wait_us > 0 ? wait_us : 0);
	if (wait_us > 0)
		log_info(g->process.logger, "request waits for a limit",
		    LF_S("request", x->params.id),
		    LF_S("replica", x->backend->entry.id),
		    LF_D("per_s", x->limit_per_s), LF_I("wait_us", wait_us));
}

static void
on_taken(void *ctx, enum rpc_status status, void *arg)
{
	struct exchange *x = ctx;
	struct gateway *g = x->gateway;
	const struct tm_limit_taken *reply = arg;
	int64_t now = clock_now(g->process.clock);

	x->limit_conn = NULL;
	if (status != RPC_OK) {
		log_warn(g->process.logger, "meter does not answer",
		    LF_S("replica", x->backend->entry.id),
		    LF_I("status", status));
		x->backend->limit.meter_failed_us = now;
		exchange_send_now(x);
		return;
	}
	limits_on_update(g, &reply->newest);
	if (reply->granted) {
		use_place(x, now + reply->wait_us);
		return;
	}
	x->backend->limit.next_us = now + reply->wait_us;
	choose_other(x);
}

/* The predicted time includes the wait that was expected at the selection. */
static int64_t
longest_wait_us(const struct exchange *x)
{
	int64_t now = clock_now(x->gateway->process.clock);
	int64_t left = exchange_left_us(x) - x->predicted_us +
		       limits_wait_us(x->gateway, x->backend, now);

	return left < RATE_LIMIT_AHEAD_US ? left : RATE_LIMIT_AHEAD_US;
}

static bool
ask_meter(struct exchange *x)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;
	struct tm_limit_take args = { .ahead_us = longest_wait_us(x) };

	if (!limits_has_meter(g, b, clock_now(g->process.clock)))
		return false;
	limits_fill_update(g, b, &args.known);
	x->limit_conn = sidecar_conns_take_limit(
	    g->sidecar_conns, b, &args, METER_TIMEOUT_US, on_taken, x);
	return x->limit_conn != NULL;
}

/* Takes a place in this gateway's own turns. */
static void
take_turn(struct exchange *x)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;
	int64_t now = clock_now(g->process.clock);
	int64_t common = clock_common(g->process.clock), at;
	bool metered = sidecar_conns_meter(g->sidecar_conns, b) != NULL;
	double per_s = b->limit.per_s * (metered ? UNMETERED_SHARE : 1);

	if (rate_share_take(&b->limit.share, per_s,
		sidecar_conns_gateways(g->sidecar_conns),
		XXH3_64bits(g->settings.vm, strlen(g->settings.vm)), common,
		longest_wait_us(x), &at)) {
		use_place(x, now + at - common);
		return;
	}
	b->limit.turn_us = now + at - common;
	choose_other(x);
}

bool
exchange_passes_limit(struct exchange *x)
{
	int64_t now = clock_now(x->gateway->process.clock);
	bool granted = x->limit_granted;

	x->limit_granted = false;
	if (x->backend->limit.per_s == 0)
		return true;
	if (granted && x->limit_at_us - now <= EARLY_US &&
	    now - x->limit_at_us <= GRANT_EXPIRY_US &&
	    x->limit_per_s <= x->backend->limit.per_s)
		return true;
	if (!ask_meter(x))
		take_turn(x);
	return false;
}

void
exchange_end_limit(struct exchange *x)
{
	if (x->limit_conn != NULL)
		rpc_conn_drop_callbacks(x->limit_conn, x);
	x->limit_conn = NULL;
	x->limit_granted = false;
	if (x->limit_timer != NULL)
		event_del(x->limit_timer);
}
