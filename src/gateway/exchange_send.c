/* Sends a request to a replica, one with a long prompt by a prefill permit. */
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/selection.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/crash_guard.h"
#include "gateway/exchange_internal.h"
#include "gateway/sidecar_conns.h"
#include "protocol/caller.h"
#include "protocol/tm_xdr.h"
#include "state/accounts.h"
#include "state/deployment.h"
#include "transport/http_fields.h"

#define URGENCY_MAX 9 /* the least urgent level of an engine */
/*
 * Shorter prompts do not delay running streams enough to need a permit: their
 * prefill takes less than this share of the goal for pauses between events.
 */
#define PREFILL_PERMIT_SHARE 16
#define PREFILL_PERMIT_MIN_US (40 * USEC_PER_MSEC) /* without a goal */

static const char *const connection_headers[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
};

bool
exchange_is_connection_header(
    const char *name, const struct http_listed_fields *listed)
{
	for (size_t i = 0;
	     i < sizeof(connection_headers) / sizeof(connection_headers[0]);
	     i++) {
		if (strcasecmp(connection_headers[i], name) == 0)
			return true;
	}
	return http_listed_fields_has(listed, name);
}

bool
exchange_needs_dropped_header(
    const struct gateway *g, const struct evkeyvalq *headers)
{
	struct http_listed_fields *listed = http_listed_fields_create(headers);
	struct evkeyval *h;
	bool needs = false;

	if (listed == NULL)
		return false;
	TAILQ_FOREACH(h, headers, next)
		needs |= http_listed_fields_has(listed, h->key) &&
			 g->driver->reads_header(h->key);
	http_listed_fields_destroy(listed);
	return needs;
}

/* Returns the headers to send, to be freed; they end with a NULL name. */
static struct http_header *
forwarded_headers(const struct exchange *x, const struct forward_headers *own)
{
	struct evkeyvalq *in =
	    evhttp_request_get_input_headers(caller_request(x->caller));
	struct http_listed_fields *listed = http_listed_fields_create(in);
	struct http_header *out;
	size_t count = own->count + 1;
	struct evkeyval *h;

	TAILQ_FOREACH(h, in, next)
		count++;
	out = calloc(count, sizeof(*out));
	if (out == NULL)
		abort();
	count = 0;
	TAILQ_FOREACH(h, in, next) {
		if (exchange_is_connection_header(h->key, listed) ||
		    !x->gateway->driver->forwards_header(
			h->key, x->deployment->accounts != NULL))
			continue;
		out[count].name = h->key;
		out[count++].value = h->value;
	}
	http_listed_fields_destroy(listed);
	for (unsigned i = 0; i < own->count; i++)
		out[count++] = own->headers[i];
	return out;
}

/* The rank, within an engine's ten levels; -1 without a model. */
static int
urgency(const struct exchange *x)
{
	unsigned rank = exchange_rank(x);

	if (x->params.model[0] == '\0')
		return -1;
	return rank < URGENCY_MAX ? (int)rank : URGENCY_MAX;
}

/* Notes where the request is sent.  Returns whether it was sent there before.
 */
static bool
note_sent(struct exchange *x, const struct backend *b)
{
	uint64_t hash = candidates_id_hash(b);
	bool before = x->sent_count >= EXCHANGE_TRIED_MAX;

	for (unsigned i = 0; !before && i < x->sent_count; i++)
		before = x->sent_to[i] == hash;
	if (x->sent_count < EXCHANGE_TRIED_MAX)
		x->sent_to[x->sent_count] = hash;
	x->sent_count++;
	return before;
}

void
exchange_send_now(struct exchange *x)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;
	struct evhttp_request *req = caller_request(x->caller);
	struct forward_headers own;
	struct http_header *headers;
	struct forward_params params = {
		.left_us = exchange_left_us(x),
		.replica = b->entry.id,
		.urgency = urgency(x),
		.resumes = x->has_last_event,
		.last_event_id = x->last_event_id,
		.account = x->account == NULL ? NULL : x->account->name,
	};
	struct http_call_options opts = {
		.method = evhttp_request_get_command(req),
		.path = evhttp_request_get_uri(req),
		.body = x->body,
		.body_len = x->body_len,
		.max_body = x->route->kind == ROUTE_STREAM
				? EXCHANGE_EVENT_MAX_BYTES
				: 0,
		.on_headers = exchange_on_headers,
		.on_chunk = exchange_on_chunk,
		.on_done = exchange_on_done,
		.ctx = x,
	};

	if (quiet_wait_us(&b->quiet, clock_now(g->process.clock)) > 0) {
		exchange_release(x);
		exchange_dispatch(x);
		return;
	}
	if (!exchange_passes_stop(x) || !exchange_passes_limit(x))
		return;
	/* The prompt may have been found to crash replicas meanwhile. */
	if (!exchange_passes_guard(x))
		return;
	crash_guard_sent(g->crash_guard, &x->params);
	quiet_send(&b->quiet, clock_now(g->process.clock));
	g->driver->encode_forward(&params, &own);
	headers = forwarded_headers(x, &own);
	opts.headers = headers;
	x->attempts++;
	x->code = 0;
	x->has_event = false;
	x->replica_lives = false;
	x->since_event = 0;
	x->sent_us = clock_now(g->process.clock);
	exchange_note_tried(x, b);
	/*
	 * A faulty replica may write its last answer on a connection again.
	 * A copy for this request would look like the answer that is due.
	 */
	opts.new_connection = note_sent(x, b);
	log_info(g->process.logger, "request sent",
	    LF_S("request", x->params.id), LF_S("replica", b->entry.id),
	    LF_S("account", params.account == NULL ? "" : params.account),
	    LF_S("model", x->params.model), LF_I("attempt", x->attempts),
	    LF_I("predicted_us", x->predicted_us),
	    LF_I("tokens", x->pending_tokens), LF_D("quota", x->quota_taken),
	    LF_I("in_flight", b->in_flight),
	    LF_I("reported", b->reported_requests),
	    LF_D("slowdown", replica_speed_slowdown(&b->speed, x->sent_us)),
	    LF_I("stated_age_us",
		b->speed.stated_us == 0 ? -1 : x->sent_us - b->speed.stated_us),
	    LF_I("left_us", params.left_us));
	x->call = http_client_call(b->http, &opts);
	free(headers);
	exchange_arm_silence_timer(x);
}

/* ---- prefill permits ---- */

/* The replica may have begun to leave meanwhile. */
static void
send_after_wait(struct exchange *x)
{
	if (backend_takes_work(x->backend)) {
		exchange_send_now(x);
		return;
	}
	exchange_release(x);
	exchange_dispatch(x);
}

static void
on_prefill_reply(void *ctx, enum rpc_status status, void *reply)
{
	struct exchange *x = ctx;
	const struct tm_read_reply *prefill = reply;

	x->prefill_conn = NULL;
	if (status != RPC_OK)
		x->prefill_id = 0; /* sent without: the engine queues it */
	else if (!prefill->granted) {
		x->prefill_id = 0;
		exchange_note_tried(x, x->backend);
		exchange_release(x);
		exchange_dispatch(x);
		return;
	}
	send_after_wait(x);
}

void
exchange_send_unpermitted(struct exchange *x)
{
	rpc_conn_drop_callbacks(x->prefill_conn, x);
	x->prefill_conn = NULL;
	/* The sidecar gives it up again once it goes on. */
	sidecar_conns_prefill_done(x->backend, x->prefill_id);
	x->prefill_id = 0;
	send_after_wait(x);
}

static bool
needs_permit(const struct exchange *x)
{
	struct gateway *g = x->gateway;
	int64_t now = clock_now(g->process.clock);
	double factor = backend_prefill_factor(x->backend, x->params.model);
	double prefill_us = (double)select_prefill_us(x->pending_tokens) *
			    slowdown_peak_update(&g->engine_peak, 0, now) *
			    (factor > 0 ? factor : 1);
	int64_t gap_goal_us = x->route->gap_goal_us;

	return prefill_us >= (gap_goal_us > 0
				     ? gap_goal_us / PREFILL_PERMIT_SHARE
				     : PREFILL_PERMIT_MIN_US);
}

/* A limited replica gets too few prompts to need permits for them. */
static bool
request_prefill(struct exchange *x)
{
	struct gateway *g = x->gateway;
	int64_t waited = clock_now(g->process.clock) - x->arrived_us;
	struct tm_read_args args = {
		.id = ++g->last_prefill_id,
		.model = x->params.model,
		.tokens = x->pending_tokens,
		.goal_left_us = x->route->latency_goal_us - waited,
		.left_us = (uint64_t)exchange_left_us(x),
	};

	if (!needs_permit(x) || x->backend->limit.per_s > 0 ||
	    exchange_left_us(x) < SEND_MIN_US)
		return false;
	x->prefill_conn = sidecar_conns_request_prefill(
	    g->sidecar_conns, x->backend, &args, on_prefill_reply, x);
	if (x->prefill_conn != NULL)
		x->prefill_id = args.id;
	x->permit_asked_us = clock_now(g->process.clock);
	return x->prefill_conn != NULL;
}

void
exchange_send(struct exchange *x, struct backend *b, int64_t predicted_us,
    uint32_t tokens)
{
	x->predicted_us = predicted_us;
	exchange_reserve(x, b, tokens);
	if (!request_prefill(x))
		exchange_send_now(x);
}
