/* Sends an exchange's request to a replica and passes the answer on. */
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/pace.h"
#include "coordination/prefix_map.h"
#include "coordination/retry_budget.h"
#include "coordination/selection.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/exchange_internal.h"
#include "gateway/sidecar_links.h"
#include "protocol/caller.h"
#include "protocol/event_stream.h"
#include "protocol/tm_xdr.h"
#include "state/deployment.h"
#include "transport/http_server.h"

#define HEADERS_MAX 96
#define HTTP_MISDIRECTED 421 /* RFC 9110, section 15.5.20 */
/* Less time than this left is no use to a replica. */
#define SEND_MIN_US (5 * USEC_PER_MSEC)
/* Shorter prompts do not hold streams up. */
#define READ_ASK_TOKENS 1500
/*
 * A replica that is silent for longer is asked no more where another may run
 * the request: a part of the goal, unless answers usually take longer.
 */
#define SILENCE_GOAL_SHARE 0.5
#define SILENCE_USUAL 4 /* times the usual time of an answer */
#define SILENCE_PREDICTED 6 /* times the predicted time to a stream's start */
/* Between pieces of a stream; callers leave after about twice that. */
#define SILENCE_PIECE_US (2500 * USEC_PER_MSEC)
#define USUAL_WEIGHT 0.1 /* of the newest answer */
#define SLOWNESS_WEIGHT 0.15 /* of the newest first piece */
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 8.0

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

static bool
names_token(const char *list, const char *name)
{
	size_t len = strlen(name);

	while (list != NULL && *list != '\0') {
		size_t token;

		list += strspn(list, " \t,");
		token = strcspn(list, " \t,");
		if (token == len && strncasecmp(list, name, len) == 0)
			return true;
		list += token;
	}
	return false;
}

/* Headers that concern one connection only, or that `connection` lists. */
static bool
is_connection_header(const char *name, const char *connection)
{
	for (size_t i = 0;
	     i < sizeof(connection_headers) / sizeof(connection_headers[0]);
	     i++) {
		if (strcasecmp(connection_headers[i], name) == 0)
			return true;
	}
	return names_token(connection, name);
}

static void
collect_headers(const struct exchange *x, const struct forward_headers *own,
    struct http_header out[HEADERS_MAX])
{
	struct evkeyvalq *in =
	    evhttp_request_get_input_headers(caller_request(x->caller));
	const char *connection = evhttp_find_header(in, "Connection");
	size_t count = 0;
	struct evkeyval *h;

	TAILQ_FOREACH(h, in, next) {
		if (is_connection_header(h->key, connection) ||
		    !x->gateway->adapter->forwards_header(h->key) ||
		    count + own->count + 1 >= HEADERS_MAX)
			continue;
		out[count].name = h->key;
		out[count++].value = h->value;
	}
	for (unsigned i = 0; i < own->count; i++)
		out[count++] = own->headers[i];
	out[count].name = NULL;
}

/* ---- accounts of the replica ---- */

static void
settle_pending(struct exchange *x)
{
	if (x->read_conn != NULL)
		rpc_conn_forget(x->read_conn, x);
	x->read_conn = NULL;
	if (x->read_id != 0)
		sidecar_links_read_done(x->backend, x->read_id);
	x->read_id = 0;
	x->backend->pending_tokens -= x->pending_tokens;
	x->pending_tokens = 0;
}

static void
release_backend(struct exchange *x)
{
	struct backend *b = x->backend;
	struct backend_use *use;

	if (b == NULL)
		return;
	event_del(x->silence);
	settle_pending(x);
	b->in_flight--;
	if (x->terms.model[0] != '\0') {
		use = backend_use(b, x->terms.model, x->terms.adapter);
		use->in_flight--;
		use->told = false;
	}
	x->backend = NULL;
	x->call = NULL;
}

void
exchange_drop_call(struct exchange *x)
{
	if (x->call != NULL)
		http_call_cancel(x->call);
	release_backend(x);
}

static void
hold_backend(struct exchange *x, struct backend *b, uint32_t tokens)
{
	struct backend_use *use;

	x->backend = b;
	x->pending_tokens = tokens;
	b->pending_tokens += tokens;
	b->in_flight++;
	b->sent_since++;
	if (x->terms.model[0] == '\0')
		return;
	use = backend_use(b, x->terms.model, x->terms.adapter);
	use->started++;
	use->in_flight++;
	use->told = false;
}

static void
note_outcome(struct exchange *x, enum outlier_kind kind)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;
	int64_t now = clock_now(g->process.clock);
	bool ejected = outlier_ejected(&b->outlier, now);

	outlier_note(&b->outlier, kind, now);
	if (!ejected && outlier_ejected(&b->outlier, now))
		log_warn(g->process.logger, "replica ejected",
		    LF_S("replica", b->entry.id), LF_I("kind", kind),
		    LF_D("failures", b->outlier.failures),
		    LF_I("for_us", b->outlier.ejected_until_us - now));
}

/* Time that the replica may be silent for now; 0: for ever. */
static int64_t
silence_us(const struct exchange *x)
{
	int64_t goal_us = x->route->goal_us;

	if (!route_may_repeat(x->route) ||
	    x->attempts >= x->route->max_attempts)
		return 0;
	if (x->code != 0 && x->relaying)
		return SILENCE_PIECE_US;
	if (x->route->kind == ROUTE_STREAM)
		return goal_us > SILENCE_PREDICTED * x->predicted_us
			   ? goal_us
			   : SILENCE_PREDICTED * x->predicted_us;
	goal_us = (int64_t)((double)goal_us * SILENCE_GOAL_SHARE);
	return goal_us > SILENCE_USUAL * x->backend->usual_us
		   ? goal_us
		   : SILENCE_USUAL * x->backend->usual_us;
}

static void
watch_silence(struct exchange *x)
{
	int64_t us = silence_us(x);

	if (us > 0)
		process_timer_add(x->silence, us);
}

void
exchange_note_silence(struct exchange *x)
{
	if (x->code == 0 || x->relaying)
		note_outcome(x, OUTLIER_FAILED);
}

static void
note_tried(struct exchange *x, const struct backend *b)
{
	if (x->tried_count < EXCHANGE_TRIED_MAX)
		x->tried[x->tried_count++] = candidates_hash(b);
}

/* The first piece came: the prompt has been read there. */
static void
note_first_piece(struct exchange *x)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;
	const struct request_terms *t = &x->terms;
	int64_t took = clock_now(g->process.clock) - x->sent_us;
	double ratio;

	settle_pending(x);
	for (unsigned i = 0; i < t->part_count; i++)
		prefix_map_note(
		    g->prefixes, prefix_map_key(t->model, t->adapter,
				     t->parts[i].id, b->entry.id));
	if (x->predicted_us <= 0)
		return;
	if (b->in_flight <= 2)
		pace_note(g->paces, t->model, x->predicted_us, took);
	ratio = b->slowness * (double)took / (double)x->predicted_us;
	b->slowness += SLOWNESS_WEIGHT * (ratio - b->slowness);
	if (b->slowness < SLOWNESS_MIN)
		b->slowness = SLOWNESS_MIN;
	if (b->slowness > SLOWNESS_MAX)
		b->slowness = SLOWNESS_MAX;
}

/* ---- sending again ---- */

static bool
may_send_again(struct exchange *x)
{
	if (x->attempts >= x->route->max_attempts)
		return false;
	if (exchange_left_us(x) < SEND_MIN_US)
		return false;
	return retry_budget_take(x->gateway->budget, x->service);
}

static void
send_again(struct exchange *x, const char *why)
{
	struct gateway *g = x->gateway;

	(*g->counters.resent)++;
	if (x->begun)
		(*g->counters.resumed)++;
	log_info(g->process.logger, "request sent again",
	    LF_S("request", x->terms.id), LF_S("why", why),
	    LF_I("attempts", x->attempts), LF_I("begun", x->begun),
	    LF_I("left_us", exchange_left_us(x)));
	exchange_dispatch(x);
}

/* The replica said, or the connection shows, that it was not run there. */
static void
after_not_run(struct exchange *x, const char *why)
{
	if (may_send_again(x))
		send_again(x, why);
	else
		exchange_refuse(x, RESULT_QUEUE_FULL, why, 300 * USEC_PER_MSEC);
}

/* The replica may have run it. */
static void
after_lost(struct exchange *x, const char *why)
{
	x->may_have_run = true;
	if (route_may_repeat(x->route) && may_send_again(x))
		send_again(x, why);
	else
		exchange_fail(x, RESULT_OUTCOME_UNKNOWN, why);
}

void
exchange_on_silence(int fd, short what, void *arg)
{
	struct exchange *x = arg;

	if (x->call == NULL || !may_send_again(x))
		return;
	exchange_note_silence(x);
	x->may_have_run = true;
	exchange_drop_call(x);
	send_again(x, "replica is silent");
}

static void
after_unreachable(struct exchange *x)
{
	if (++x->unreachable < EXCHANGE_TRIED_MAX &&
	    exchange_left_us(x) > SEND_MIN_US)
		send_again(x, "no connection");
	else
		exchange_refuse(x, RESULT_BACKEND_UNREACHABLE, "no connection",
		    300 * USEC_PER_MSEC);
}

/* ---- the answer ---- */

static void
pass_headers(struct exchange *x)
{
	const char *connection = evhttp_find_header(&x->headers, "Connection");
	struct evkeyval *h;

	TAILQ_FOREACH(h, &x->headers, next) {
		if (!is_connection_header(h->key, connection))
			caller_add_header(x->caller, h->key, h->value);
	}
	if (x->gateway->stop_us != 0)
		caller_add_header(x->caller, "Connection", "close");
}

static void
begin(struct exchange *x)
{
	if (x->begun)
		return;
	x->begun = true;
	pass_headers(x);
	caller_begin(x->caller, x->code, NULL);
}

static enum http_head_verdict
on_head(void *ctx, int code, struct evkeyvalq *headers)
{
	struct exchange *x = ctx;
	struct answer_facts facts;
	struct evkeyval *h;

	x->gateway->adapter->read_answer(headers, code, &facts);
	if (facts.request[0] != '\0' &&
	    strcmp(facts.request, x->terms.id) != 0) {
		log_warn(x->gateway->process.logger,
		    "answer to another request left out",
		    LF_S("request", x->terms.id), LF_S("other", facts.request),
		    LF_S("replica", x->backend->entry.id));
		return HTTP_HEAD_SKIP;
	}
	x->code = code;
	x->facts = facts;
	x->relaying = x->route->kind == ROUTE_STREAM && code >= 200 &&
		      code < 300 && facts.sealed;
	if (x->begun)
		return HTTP_HEAD_TAKE; /* the first replica's head stays */
	evhttp_clear_headers(&x->headers);
	TAILQ_FOREACH(h, headers, next)
		evhttp_add_header(&x->headers, h->key, h->value);
	return HTTP_HEAD_TAKE;
}

static void
note_piece(struct exchange *x)
{
	int64_t now = clock_now(x->gateway->process.clock);

	if (x->first_us == 0)
		x->first_us = now - x->arrived_us;
	else if (now - x->last_piece_us > x->max_gap_us)
		x->max_gap_us = now - x->last_piece_us;
	x->last_piece_us = now;
}

/* -1 if the caller reads too slowly. */
static int
pass_event(struct exchange *x, struct evbuffer *buf, struct stream_event *ev)
{
	int rc = 0;

	if (ev->has_id && x->has_last && ev->id <= x->last_event) {
		evbuffer_drain(buf, ev->len);
		return 0;
	}
	begin(x);
	rc = caller_chunk(
	    x->caller, evbuffer_pullup(buf, (ev_ssize_t)ev->len), ev->len);
	evbuffer_drain(buf, ev->len);
	note_piece(x);
	watch_silence(x);
	if (ev->has_id) {
		x->has_last = true;
		x->last_event = ev->id;
	}
	return rc;
}

static void
on_chunk(void *ctx, struct evbuffer *buf)
{
	struct exchange *x = ctx;
	struct stream_event ev;

	if (!x->relaying)
		return; /* passed on when it is whole */
	while (event_stream_next(buf, &ev)) {
		if (x->pending_tokens > 0)
			note_first_piece(x);
		if (pass_event(x, buf, &ev) == -1) {
			exchange_fail(
			    x, RESULT_STREAM_BROKEN, "caller reads too slowly");
			return;
		}
	}
}

static void
finish_stream(struct exchange *x, struct evbuffer *rest)
{
	size_t len = evbuffer_get_length(rest);

	begin(x);
	if (len > 0)
		(void)caller_chunk(x->caller, evbuffer_pullup(rest, -1), len);
	caller_finish(x->caller);
	exchange_finish(x, "stream");
}

static void
pass_answer(struct exchange *x, struct evbuffer *body)
{
	pass_headers(x);
	caller_reply_buffer(x->caller, x->code, body);
	exchange_finish(x, "whole");
}

static void
note_usual(struct exchange *x)
{
	struct backend *b = x->backend;
	int64_t took = clock_now(x->gateway->process.clock) - x->sent_us;

	if (b->usual_us == 0)
		b->usual_us = took;
	b->usual_us += (int64_t)(USUAL_WEIGHT * (double)(took - b->usual_us));
}

/* Another incarnation answered, or one that does not hold the model. */
static void
note_misdirected(struct exchange *x)
{
	struct backend *b = x->backend;

	if (x->facts.replica[0] != '\0' &&
	    strcmp(x->facts.replica, b->entry.id) != 0)
		b->superseded = true;
	else
		backend_doubt(b, clock_now(x->gateway->process.clock));
	log_info(x->gateway->process.logger, "replica refused as misdirected",
	    LF_S("request", x->terms.id), LF_S("replica", b->entry.id),
	    LF_S("answered_by", x->facts.replica));
}

static void
on_answer(struct exchange *x, struct evbuffer *body)
{
	bool ok = x->code >= 200 && x->code < 300;

	if (x->facts.not_run) {
		if (x->code == HTTP_MISDIRECTED)
			note_misdirected(x);
		else
			note_outcome(x, OUTLIER_ERROR);
		release_backend(x);
		after_not_run(x, "replica did not run it");
		return;
	}
	if (!x->facts.sealed) {
		note_outcome(x, OUTLIER_FAILED);
		release_backend(x);
		after_lost(x, "answer without a seal");
		return;
	}
	note_outcome(x, x->code >= 500 ? OUTLIER_ERROR : OUTLIER_OK);
	note_usual(x);
	release_backend(x);
	if (x->begun && !ok) {
		after_lost(x, "stream could not go on");
	} else if (x->relaying) {
		finish_stream(x, body);
	} else if (x->code >= 500 && x->route->kind == ROUTE_IDEMPOTENT &&
		   may_send_again(x)) {
		x->may_have_run = true;
		send_again(x, "replica failed");
	} else {
		pass_answer(x, body);
	}
}

static void
on_done(void *ctx, const struct http_response *resp)
{
	struct exchange *x = ctx;

	x->call = NULL;
	switch (resp->status) {
	case HTTP_CALL_OK:
		on_answer(x, resp->body);
		return;
	case HTTP_CALL_NOT_SENT:
		note_outcome(x, OUTLIER_UNREACHABLE);
		x->attempts--;
		release_backend(x);
		after_unreachable(x);
		return;
	case HTTP_CALL_FAILED:
	case HTTP_CALL_TIMED_OUT:
		note_outcome(x, OUTLIER_FAILED);
		release_backend(x);
		after_lost(x, "answer lost");
		return;
	}
}

static void
transmit(struct exchange *x)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;
	struct evhttp_request *req = caller_request(x->caller);
	struct forward_headers own;
	struct http_header headers[HEADERS_MAX];
	struct forward_terms terms = {
		.deadline_us = exchange_left_us(x),
		.replica = b->entry.id,
		.urgency = x->terms.model[0] == '\0' ? -1 : (int)x->route->rank,
		.resumes = x->has_last,
		.last_event = x->last_event,
	};
	struct http_call_options opts = {
		.method = evhttp_request_get_command(req),
		.path = evhttp_request_get_uri(req),
		.headers = headers,
		.body = x->body,
		.body_len = x->body_len,
		.on_head = on_head,
		.on_chunk = on_chunk,
		.on_done = on_done,
		.ctx = x,
	};

	g->adapter->write_forward(&terms, &own);
	collect_headers(x, &own, headers);
	x->attempts++;
	x->code = 0;
	x->sent_us = clock_now(g->process.clock);
	note_tried(x, b);
	log_info(g->process.logger, "request sent",
	    LF_S("request", x->terms.id), LF_S("replica", b->entry.id),
	    LF_S("model", x->terms.model), LF_I("attempt", x->attempts),
	    LF_I("predicted_us", x->predicted_us),
	    LF_I("tokens", x->pending_tokens), LF_I("in_flight", b->in_flight),
	    LF_I("reported", b->reported), LF_I("left_us", terms.deadline_us));
	x->call = http_client_call(b->http, &opts);
	watch_silence(x);
}

/* ---- leave to have a long prompt read ---- */

static void
on_read_answer(void *ctx, enum rpc_status status, void *reply)
{
	struct exchange *x = ctx;
	const struct tm_read_reply *read = reply;

	x->read_conn = NULL;
	if (status != RPC_OK)
		x->read_id = 0; /* nobody there keeps order: the replica does */
	else if (!read->granted) {
		x->read_id = 0;
		note_tried(x, x->backend);
		release_backend(x);
		exchange_dispatch(x);
		return;
	}
	if (backend_takes_work(x->backend)) {
		transmit(x);
		return;
	}
	release_backend(x);
	exchange_dispatch(x);
}

static bool
ask_read(struct exchange *x)
{
	struct gateway *g = x->gateway;
	int64_t waited = clock_now(g->process.clock) - x->arrived_us;
	struct tm_read_args args = {
		.id = ++g->read_ids,
		.tokens = x->pending_tokens,
		.goal_left_us = x->route->goal_us - waited,
		.left_us = (uint64_t)exchange_left_us(x),
	};

	if (x->pending_tokens < READ_ASK_TOKENS ||
	    exchange_left_us(x) < SEND_MIN_US)
		return false;
	x->read_conn = sidecar_links_ask_read(
	    g->links, x->backend, &args, on_read_answer, x);
	if (x->read_conn != NULL)
		x->read_id = args.id;
	return x->read_conn != NULL;
}

void
exchange_send(struct exchange *x, struct backend *b, int64_t predicted_us,
    uint32_t tokens)
{
	x->predicted_us = predicted_us;
	hold_backend(x, b, tokens);
	if (!ask_read(x))
		transmit(x);
}
