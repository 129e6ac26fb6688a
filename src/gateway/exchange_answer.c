/*
 * Handles the end of a call to a replica: passes the answer on to the caller,
 * or retries, refuses or fails the request.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/retry_budget.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/crash_guard.h"
#include "gateway/exchange_internal.h"
#include "gateway/limits.h"
#include "gateway/sidecar_conns.h"
#include "protocol/caller.h"
#include "protocol/event_stream.h"
#include "state/deployment.h"
#include "transport/http_client.h"
#include "transport/http_fields.h"

#define HTTP_MISDIRECTED 421 /* RFC 9110, section 15.5.20 */
/* Gateways return to a replica at different times after its pause. */
#define QUIET_SPREAD_US (200 * USEC_PER_MSEC)
/* A process that is ending closes its connections within this time. */
#define CHECK_US (10 * USEC_PER_MSEC)
#define CHECKS_MAX 2 /* connections that are tried */
#define AVG_ANSWER_WEIGHT 0.1 /* of the newest answer in avg_answer_us */

void
exchange_clear_headers(struct exchange *x)
{
	evhttp_clear_headers(&x->headers);
	http_quota_update(&x->gateway->answer_quota, &x->headers_held, 0);
}

/* ---- retries ---- */

/* Withdraws a retry from the budget if attempts and time are left. */
static bool
take_retry(struct exchange *x)
{
	int64_t wait_us;

	if (x->attempts >= x->route->max_attempts)
		return false;
	if (exchange_left_us(x) < SEND_MIN_US)
		return false;
	if (crash_guard_check(x->gateway->crash_guard, &x->params, &wait_us) ==
	    CRASH_REFUSE)
		return false;
	return retry_budget_withdraw(x->gateway->retry_budget, x->service);
}

static void
retry(struct exchange *x, const char *why)
{
	struct gateway *g = x->gateway;

	(*g->counters.retried)++;
	if (x->response_begun)
		(*g->counters.resumed)++;
	log_info(g->process.logger, "request sent again",
	    LF_S("request", x->params.id), LF_S("why", why),
	    LF_I("attempts", x->attempts), LF_I("begun", x->response_begun),
	    LF_I("left_us", exchange_left_us(x)));
	exchange_clear_headers(x);
	exchange_dispatch(x);
}

/* For a request that the replica stated it did not and will not run. */
static void
retry_or_refuse(struct exchange *x, const char *why)
{
	if (take_retry(x))
		retry(x, why);
	else
		exchange_refuse(x, RESULT_QUEUE_FULL, why, 300 * USEC_PER_MSEC);
}

/* For a request that the replica may have run. */
static void
retry_or_fail(struct exchange *x, const char *why)
{
	x->may_have_run = true;
	if (route_may_repeat(x->route) && take_retry(x))
		retry(x, why);
	else
		exchange_fail(x, RESULT_OUTCOME_UNKNOWN, why);
}

void
exchange_on_silence(int fd, short what, void *arg)
{
	struct exchange *x = arg;

	if (x->call == NULL)
		return;
	/*
	 * Silence alone is no reason to end an answer that may still come, nor
	 * is it the replica's while this gateway doesn't read.
	 */
	if (caller_is_behind(x->caller) || !exchange_has_alternative(x)) {
		exchange_arm_silence_timer(x);
		return;
	}
	if (!take_retry(x))
		return;
	exchange_count_silence(x);
	x->may_have_run = true;
	exchange_drop_call(x);
	retry(x, "replica sends nothing");
}

static void
retry_unreachable(struct exchange *x)
{
	if (++x->unreachable < EXCHANGE_TRIED_MAX &&
	    exchange_left_us(x) > SEND_MIN_US)
		retry(x, "connection failed");
	else
		exchange_refuse(x, RESULT_BACKEND_UNREACHABLE,
		    "connection failed", 300 * USEC_PER_MSEC);
}

/* ---- the answer ---- */

static void
take_headers(struct exchange *x, struct evkeyvalq *headers)
{
	exchange_clear_headers(x);
	TAILQ_CONCAT(&x->headers, headers, next);
	http_quota_update(&x->gateway->answer_quota, &x->headers_held,
	    http_fields_memory(&x->headers));
}

static void
pass_headers(struct exchange *x)
{
	struct http_listed_fields *listed =
	    http_listed_fields_create(&x->headers);
	struct evkeyval *h;

	TAILQ_FOREACH(h, &x->headers, next) {
		if (!exchange_is_connection_header(h->key, listed))
			caller_add_header(x->caller, h->key, h->value);
	}
	http_listed_fields_destroy(listed);
	exchange_clear_headers(x);
	if (x->gateway->stop_us != 0)
		caller_add_header(x->caller, "Connection", "close");
}

static void
begin_response(struct exchange *x)
{
	if (x->response_begun)
		return;
	x->response_begun = true;
	pass_headers(x);
	caller_reply_start(x->caller, x->code, NULL);
}

/* The other gateways hear it too: the store may be late, or away. */
static void
note_leaving(struct exchange *x, int code, const struct answer_meta *meta)
{
	struct backend *b = x->backend;

	if (!meta->leaving || b->entry.state.draining ||
	    !backend_made_answer(b, code, meta))
		return;
	backend_set_draining(x->gateway->backends, b, -1, "answer");
	sidecar_conns_send_leaves(x->gateway->sidecar_conns, b);
}

static void
note_quiet(struct exchange *x, int code, const struct answer_meta *meta)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;

	if (meta->quiet_us == 0 || !backend_made_answer(b, code, meta))
		return;
	log_info(g->process.logger, "replica wants a pause",
	    LF_S("request", x->params.id), LF_S("replica", b->entry.id),
	    LF_I("for_us", meta->quiet_us));
	quiet_begin(&b->quiet, meta->quiet_us,
	    (int64_t)rng_below(&g->rng, QUIET_SPREAD_US),
	    clock_now(g->process.clock));
}

static void
note_slowdown(struct exchange *x, const struct answer_meta *meta)
{
	struct gateway *g = x->gateway;
	int64_t now = clock_now(g->process.clock);

	replica_speed_state(&x->backend->speed, meta->slowdown, now);
	if (x->params.model[0] != '\0')
		(void)slowdown_peak_update(
		    &g->engine_peak, meta->slowdown, now);
}

static bool
is_event_stream(const struct evkeyvalq *headers)
{
	static const char type[] = "text/event-stream";
	const char *value =
	    evhttp_find_header((struct evkeyvalq *)headers, "Content-Type");

	return value != NULL && strncasecmp(value, type, strlen(type)) == 0;
}

enum http_response_verdict
exchange_on_headers(void *ctx, int code, struct evkeyvalq *headers)
{
	struct exchange *x = ctx;
	struct answer_meta meta;

	x->gateway->driver->decode_answer(headers, code, &meta);
	if (meta.request[0] != '\0' &&
	    strcmp(meta.request, x->params.id) != 0) {
		log_warn(x->gateway->process.logger,
		    "answer to another request left out",
		    LF_S("request", x->params.id), LF_S("other", meta.request),
		    LF_S("replica", x->backend->entry.id));
		return HTTP_RESPONSE_DISCARD;
	}
	/* Without an id it may be a refusal of another request. */
	if (meta.request[0] == '\0')
		meta.not_run = false;
	limits_on_answer(x->gateway, x->backend, code, &meta);
	note_slowdown(x, &meta);
	note_leaving(x, code, &meta);
	note_quiet(x, code, &meta);
	x->code = code;
	x->meta = meta;
	x->relaying = x->route->kind == ROUTE_STREAM && code >= 200 &&
		      code < 300 && meta.sealed && is_event_stream(headers);
	if (!x->response_begun) /* else the caller has headers */
		take_headers(x, headers);
	return HTTP_RESPONSE_ACCEPT;
}

static void
note_event(struct exchange *x)
{
	int64_t now = clock_now(x->gateway->process.clock);

	if (x->first_us == 0)
		x->first_us = now - x->arrived_us;
	else if (now - x->last_event_us > x->max_gap_us)
		x->max_gap_us = now - x->last_event_us;
	x->last_event_us = now;
}

/* The parts show what requests that were lost with their replicas share. */
static void
log_lost(const struct exchange *x, const char *why)
{
	char parts[FLEET_PROMPT_PARTS_MAX * 17 + 1] = "", whole[17];
	size_t len = 0;

	for (unsigned i = 0; i < x->params.part_count; i++)
		len += (size_t)snprintf(parts + len, sizeof(parts) - len,
		    "%s%" PRIx64, i == 0 ? "" : ",", x->params.parts[i].id);
	snprintf(whole, sizeof(whole), "%" PRIx64, x->params.whole);
	log_info(x->gateway->process.logger, "answer lost",
	    LF_S("request", x->params.id), LF_S("why", why),
	    LF_S("replica", x->backend->entry.id), LF_S("parts", parts),
	    LF_S("whole", whole), LF_S("adapter", x->params.adapter),
	    LF_I("code", x->code), LF_I("has_event", x->has_event),
	    LF_I("in_flight", x->backend->in_flight),
	    LF_I("sent_for_us",
		clock_now(x->gateway->process.clock) - x->sent_us));
}

/*
 * The replica broke its answer off, or its connection was lost.  own_limit:
 * this gateway broke it off, so that the request is not to blame.
 */
static void
lose_answer(struct exchange *x, const char *why, bool own_limit)
{
	bool begun = x->relaying ? x->has_event : x->code != 0;

	exchange_identify(x);
	log_lost(x, why);
	exchange_note_outcome(x, OUTLIER_FAILED);
	if (own_limit)
		(*x->gateway->counters.over_limit)++;
	else
		crash_guard_lost(
		    x->gateway->crash_guard, &x->params, x->backend, begun);
	exchange_release(x);
	retry_or_fail(x, why);
}

/*
 * Relays one event; drops one that the caller has from an earlier attempt.
 * Returns -1 if the caller reads too slowly.
 */
static int
pass_event(struct exchange *x, struct evbuffer *buf, struct stream_event *ev)
{
	int rc = 0;

	if (ev->has_id && x->has_last_event && ev->id <= x->last_event_id) {
		evbuffer_drain(buf, ev->len);
		return 0;
	}
	begin_response(x);
	rc = caller_reply_chunk(
	    x->caller, evbuffer_pullup(buf, (ev_ssize_t)ev->len), ev->len);
	evbuffer_drain(buf, ev->len);
	x->since_event = 0;
	note_event(x);
	exchange_arm_silence_timer(x);
	if (ev->has_id) {
		x->has_last_event = true;
		x->last_event_id = ev->id;
	}
	return rc;
}

/*
 * Relays blank lines and comments, which are no progress of the stream. Returns
 * -1 if the caller reads too slowly.
 */
static int
pass_filler(struct exchange *x, struct evbuffer *buf, size_t len)
{
	int rc = caller_reply_chunk(
	    x->caller, evbuffer_pullup(buf, (ev_ssize_t)len), len);

	evbuffer_drain(buf, len);
	x->since_event += len;
	return rc;
}

/* Without a response that has begun, it stays possible to refuse the request.
 */
static bool
waits_for_event(const struct exchange *x, const struct stream_event *ev)
{
	return !ev->is_event && !x->response_begun;
}

void
exchange_on_chunk(void *ctx, struct evbuffer *buf)
{
	struct exchange *x = ctx;
	struct stream_event ev;

	if (!x->relaying)
		return; /* passed on by pass_answer() when complete */
	while (event_stream_next(buf, &ev) && !waits_for_event(x, &ev)) {
		x->has_event |= ev.is_event;
		if (ev.is_event && x->pending_tokens > 0)
			exchange_note_first_event(x);
		if ((ev.is_event ? pass_event(x, buf, &ev)
				 : pass_filler(x, buf, ev.len)) == -1) {
			exchange_fail(
			    x, RESULT_STREAM_BROKEN, "caller reads too slowly");
			return;
		}
	}
	if (x->since_event > EXCHANGE_EVENT_MAX_BYTES) {
		http_call_cancel(x->call);
		lose_answer(x, "answer is over a limit", true);
	} else if (caller_is_behind(x->caller)) {
		http_call_pause(x->call);
	}
}

void
exchange_on_drained(void *ctx)
{
	struct exchange *x = ctx;

	if (x->call == NULL)
		return;
	http_call_resume(x->call);
	exchange_arm_silence_timer(x);
}

/*
 * Whether the replica broke its stream off although the framing is complete.
 * body: what has not been relayed of it.
 */
static bool
is_broken_off(const struct exchange *x, struct evbuffer *body)
{
	if (x->relaying)
		return event_stream_is_cut(body) ||
		       (x->ended_by_close && !x->has_event);
	return x->code >= 200 && x->code < 300 &&
	       is_event_stream(&x->headers) && event_stream_is_cut(body);
}

/* body: the blank lines and comments after the last event. */
static void
finish_stream(struct exchange *x, struct evbuffer *body)
{
	size_t len = evbuffer_get_length(body);

	begin_response(x);
	(void)caller_reply_chunk(
	    x->caller, evbuffer_pullup(body, (ev_ssize_t)len), len);
	caller_reply_end(x->caller);
	exchange_finish(x, "stream");
}

static void on_answer(struct exchange *, struct evbuffer *body);
static void on_replica_checked(void *exchange, const struct http_response *);

static void
try_connection(struct exchange *x)
{
	struct http_call_options opts = {
		.method = EVHTTP_REQ_GET,
		.path = "/",
		.connect_only_us = CHECK_US,
		.on_done = on_replica_checked,
		.ctx = x,
	};

	x->checks++;
	x->call = http_client_call(x->backend->http, &opts);
}

static void
on_replica_checked(void *ctx, const struct http_response *resp)
{
	struct exchange *x = ctx;
	struct evbuffer *nothing;

	x->call = NULL;
	if (resp->status == HTTP_CALL_NOT_SENT) {
		lose_answer(x, "replica ended with the stream", false);
		return;
	}
	/* It may have ended just now, or take no more connections. */
	if (resp->status != HTTP_CALL_OK && x->checks < CHECKS_MAX) {
		try_connection(x);
		return;
	}
	x->replica_lives = true;
	nothing = evbuffer_new();
	if (nothing == NULL)
		abort();
	on_answer(x, nothing);
	evbuffer_free(nothing);
}

/*
 * A stream that ends with its connection looks whole if its replica ends
 * between two events.  A process that has ended accepts no connection, and one
 * that is ending does not keep it; so one is tried before the caller gets an
 * end that looks complete.
 */
static void
check_replica(struct exchange *x, struct evbuffer *body)
{
	size_t len = evbuffer_get_length(body);

	event_del(x->silence_timer);
	(void)caller_reply_chunk(
	    x->caller, evbuffer_pullup(body, (ev_ssize_t)len), len);
	x->checks = 0;
	try_connection(x);
}

static void
pass_answer(struct exchange *x, struct evbuffer *body)
{
	pass_headers(x);
	caller_reply_buffer(x->caller, x->code, body);
	exchange_finish(x, "whole");
}

static void
update_avg_answer(struct exchange *x)
{
	struct backend *b = x->backend;
	int64_t took = clock_now(x->gateway->process.clock) - x->sent_us;

	if (b->avg_answer_us == 0)
		b->avg_answer_us = took;
	b->avg_answer_us +=
	    (int64_t)(AVG_ANSWER_WEIGHT * (double)(took - b->avg_answer_us));
}

/* Another incarnation answered, or the replica has not loaded the model. */
static void
note_misdirected(struct exchange *x)
{
	struct backend *b = x->backend;

	if (x->meta.replica[0] != '\0' &&
	    strcmp(x->meta.replica, b->entry.id) != 0) {
		b->superseded = true;
	} else {
		backend_mark_uncertain(b, clock_now(x->gateway->process.clock));
		x->unloaded = candidates_id_hash(b);
	}
	log_info(x->gateway->process.logger, "replica refused as misdirected",
	    LF_S("request", x->params.id), LF_S("replica", b->entry.id),
	    LF_S("answered_by", x->meta.replica));
}

/*
 * Whether the answer states that the request did not run.  The status alone
 * does not: a replica may fail with any, after it has run the request.
 */
static bool
states_not_run(const struct exchange *x)
{
	return x->meta.not_run && x->code >= 400;
}

static void
on_answer(struct exchange *x, struct evbuffer *body)
{
	bool ok = x->code >= 200 && x->code < 300;

	if (states_not_run(x)) {
		if (x->code == HTTP_MISDIRECTED)
			note_misdirected(x);
		else
			exchange_note_outcome(x, OUTLIER_ERROR);
		exchange_release(x);
		retry_or_refuse(x, "replica did not run it");
		return;
	}
	if (!x->meta.sealed) {
		exchange_note_outcome(x, OUTLIER_FAILED);
		exchange_release(x);
		retry_or_fail(x, "answer lacks the replica's seal");
		return;
	}
	if (is_broken_off(x, body)) {
		lose_answer(x, "stream broken off", false);
		return;
	}
	if (x->relaying && x->ended_by_close && !x->replica_lives) {
		check_replica(x, body);
		return;
	}
	exchange_note_outcome(
	    x, x->code >= 500 || result_status_promises(x->code) ? OUTLIER_ERROR
								 : OUTLIER_OK);
	update_avg_answer(x);
	if (ok) {
		exchange_identify(x);
		crash_guard_answered(x->gateway->crash_guard, &x->params,
		    x->backend, !x->ended_by_close);
	}
	exchange_release(x);
	if (x->response_begun && !x->relaying) {
		retry_or_fail(x, "stream could not be resumed");
	} else if (x->relaying) {
		finish_stream(x, body);
	} else if (result_status_promises(x->code)) {
		log_info(x->gateway->process.logger,
		    "replica's status states what it does not",
		    LF_S("request", x->params.id), LF_I("code", x->code));
		retry_or_fail(x, "replica failed, and may have run it");
	} else if (x->code >= 500 && x->route->kind == ROUTE_IDEMPOTENT &&
		   take_retry(x)) {
		x->may_have_run = true;
		retry(x, "replica answered with an error");
	} else {
		pass_answer(x, body);
	}
}

void
exchange_on_done(void *ctx, const struct http_response *resp)
{
	struct exchange *x = ctx;

	x->call = NULL;
	x->ended_by_close = resp->ended_by_close;
	x->unfinished = x->relaying && resp->body != NULL
			    ? evbuffer_get_length(resp->body)
			    : 0;
	switch (resp->status) {
	case HTTP_CALL_OK:
		on_answer(x, resp->body);
		return;
	case HTTP_CALL_NOT_SENT:
		exchange_note_outcome(x, OUTLIER_UNREACHABLE);
		x->attempts--;
		exchange_release(x);
		retry_unreachable(x);
		return;
	case HTTP_CALL_FAILED:
	case HTTP_CALL_TIMED_OUT:
		lose_answer(x,
		    resp->over_limit ? "answer is over a limit" : "answer lost",
		    resp->over_limit);
		return;
	}
}
