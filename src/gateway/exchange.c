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
#include "coordination/model_rate.h"
#include "coordination/retry_budget.h"
#include "coordination/selection.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/exchange_internal.h"
#include "gateway/sidecar_links.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "state/deployment.h"
#include "transport/http_server.h"

#define MAX_BACKLOG                                                            \
	(4 * 1024 * 1024) /* bytes a slow caller may leave unread              \
			   */
/* Callers' patience with a silent stream: the longest of these. */
#define PATIENCE_MIN_US (2 * USEC_PER_SEC)
#define PATIENCE_GOALS 4 /* times the goal for the first piece */
#define PATIENCE_GAPS 8 /* times the goal for pauses */
#define WAIT_REPLICA_US (2 * USEC_PER_SEC) /* for one to be listed */
#define WANT_REFUSED_US (5 * USEC_PER_SEC) /* until the caller is back */
#define WANT_AGAIN_US (500 * USEC_PER_MSEC)
/* Callers return after at most a third of the time they have left. */
#define RETRY_AFTER_SHARE 0.33
#define RETRY_AFTER_MIN_US (100 * USEC_PER_MSEC)
#define DEFAULT_DEADLINE_US (60 * USEC_PER_SEC)
/* Kept for the way of the answer back to the caller. */
#define DEADLINE_MARGIN_US (10 * USEC_PER_MSEC)

/*
 * A stopping gateway takes requests while balancers still send new connections;
 * later ones could be cut by its end.
 */
#define STOP_TAKES_US (2900 * USEC_PER_MSEC)

/* ---- ends ---- */

static void
exchange_free(struct exchange *x)
{
	struct gateway *g = x->gateway;

	exchange_drop_call(x);
	TAILQ_REMOVE(&g->exchanges, x, link);
	event_free(x->timer);
	event_free(x->silence);
	evhttp_clear_headers(&x->headers);
	deployment_unref(x->deployment);
	free(x);
}

int64_t
exchange_left_us(const struct exchange *x)
{
	return x->deadline_us - clock_now(x->gateway->process.clock);
}

static void
log_end(const struct exchange *x, const char *outcome, int code,
    const char *why, int64_t retry_after_us)
{
	const struct gateway *g = x->gateway;
	int64_t now = clock_now(g->process.clock);

	log_info(g->process.logger, outcome, LF_S("request", x->terms.id),
	    LF_S("route", x->route->name), LF_S("model", x->terms.model),
	    LF_I("code", code), LF_S("why", why), LF_I("attempts", x->attempts),
	    LF_I("unreachable", x->unreachable),
	    LF_I("may_have_run", x->may_have_run),
	    LF_I("took_us", now - x->arrived_us), LF_I("begun", x->begun),
	    LF_I("first_us", x->first_us), LF_I("max_gap_us", x->max_gap_us),
	    LF_I("predicted_us", x->predicted_us),
	    LF_I("left_us", x->deadline_us - now),
	    LF_I("retry_after_us", retry_after_us),
	    LF_I("version", x->deployment->version));
}

static void
leave_kept_connection(struct exchange *x)
{
	/* A stopping gateway takes no more requests on the connection. */
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
		.request = x->terms.id,
	};

	leave_kept_connection(x);
	caller_problem(x->caller, &p);
}

void
exchange_refuse(struct exchange *x, enum result code, const char *why,
    int64_t retry_after_us)
{
	int64_t most =
	    (int64_t)((double)exchange_left_us(x) * RETRY_AFTER_SHARE);
	char seconds[32];

	if (x->may_have_run || x->begun) {
		exchange_fail(x, RESULT_OUTCOME_UNKNOWN, why);
		return;
	}
	if (retry_after_us < RETRY_AFTER_MIN_US)
		retry_after_us = RETRY_AFTER_MIN_US;
	/* Spreads the callers that were refused at the same time. */
	retry_after_us +=
	    (int64_t)((double)retry_after_us * rng_real(&x->gateway->rng) / 2);
	if (retry_after_us > most)
		retry_after_us = most > 0 ? most : 0;
	snprintf(seconds, sizeof(seconds), "%.3f",
	    (double)retry_after_us / USEC_PER_SEC);
	caller_add_header(x->caller, "Retry-After", seconds);
	(*x->gateway->counters.refused)++;
	log_end(x, "request refused", result_info(code)->http_status, why,
	    retry_after_us);
	reply_problem_code(x, code, why);
	exchange_free(x);
}

void
exchange_fail(struct exchange *x, enum result code, const char *why)
{
	(*x->gateway->counters.failed)++;
	log_end(x, "request failed", result_info(code)->http_status, why, 0);
	if (x->begun)
		caller_abort(x->caller);
	else
		reply_problem_code(x, code, why);
	exchange_free(x);
}

/* Time to the first piece and to the end, by route. */
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
}

/* The caller has the answer's last byte, or it is on its way. */
void
exchange_finish(struct exchange *x, const char *outcome)
{
	(*x->gateway->counters.answered)++;
	record_times(x);
	log_end(x, "request answered", x->code, outcome, 0);
	exchange_free(x);
}

static void
on_gone(void *ctx)
{
	struct exchange *x = ctx;

	(*x->gateway->counters.left)++;
	log_end(x, "caller left", x->code,
	    x->backend == NULL ? "waiting" : "sent", 0);
	exchange_drop_call(x);
	caller_abort(x->caller);
	exchange_free(x);
}

/* Answers without a replica's answer. */
static void
give_up(struct exchange *x, enum result refused, const char *why)
{
	if (x->call != NULL) {
		x->may_have_run = true;
		exchange_note_silence(x);
	}
	exchange_drop_call(x);
	if (x->may_have_run || x->begun)
		exchange_fail(x, RESULT_DEADLINE_PASSED, why);
	else
		exchange_refuse(x, refused, why, 0);
}

static void
on_deadline(evutil_socket_t fd, short what, void *arg)
{
	give_up(arg, RESULT_DEADLINE_UNREACHABLE, "deadline passed");
}

/* ---- choosing ---- */

struct choice {
	struct backend *backend; /* NULL: none */
	struct select_choice made;
	uint32_t new_tokens; /* of the prompt, to read there */
};

static struct choice
choose(struct exchange *x, const struct service_spec *service)
{
	struct gateway *g = x->gateway;
	struct candidates *c =
	    candidates_list(g, service, &x->terms, x->tried, x->tried_count);
	struct choice choice = { .made = select_replica(
				     &c->query, c->replicas, c->count) };
	uint32_t prompt = x->terms.prompt_tokens;

	if (service->has_engine)
		candidates_spread(g, c, &x->terms, x->route->rank);
	if (choice.made.index == -1)
		return choice;
	choice.backend = c->backends[choice.made.index];
	choice.new_tokens = c->replicas[choice.made.index].cached_tokens;
	choice.new_tokens =
	    prompt > choice.new_tokens ? prompt - choice.new_tokens : 0;
	return choice;
}

static void
want_load(struct exchange *x, struct backend *b)
{
	int64_t now = clock_now(x->gateway->process.clock);

	x->waiting = true;
	if (x->wanted_us != 0 && now - x->wanted_us < WANT_AGAIN_US)
		return;
	if (x->wanted_us == 0)
		log_info(x->gateway->process.logger, "request waits for a load",
		    LF_S("request", x->terms.id), LF_S("model", x->terms.model),
		    LF_S("adapter", x->terms.adapter),
		    LF_S("replica", b->entry.id),
		    LF_I("left_us", exchange_left_us(x)));
	x->wanted_us = now;
	sidecar_links_want(x->gateway->links, b, &x->terms, x->route->rank,
	    exchange_left_us(x));
}

/*
 * Time until the caller stops waiting for the first piece: callers abandon a
 * stream, also before it begins, after a pause of several times its goals.
 */
static int64_t
patience_left_us(const struct exchange *x)
{
	const struct route *r = x->route;
	int64_t waited = clock_now(x->gateway->process.clock) - x->arrived_us;
	int64_t left = exchange_left_us(x), patience = PATIENCE_MIN_US;

	if (r->kind != ROUTE_STREAM || x->begun)
		return left;
	if (patience < PATIENCE_GOALS * r->goal_us)
		patience = PATIENCE_GOALS * r->goal_us;
	if (patience < PATIENCE_GAPS * r->gap_goal_us)
		patience = PATIENCE_GAPS * r->gap_goal_us;
	return left < patience - waited ? left : patience - waited;
}

/*
 * Replicas that started again are listed within two heartbeats; most callers
 * come back only once.
 */
static bool
may_wait_for_replica(const struct exchange *x)
{
	int64_t now = clock_now(x->gateway->process.clock);

	return x->tried_count == 0 && now - x->arrived_us < WAIT_REPLICA_US &&
	       exchange_left_us(x) > WAIT_REPLICA_US;
}

void
exchange_dispatch(struct exchange *x)
{
	const struct service_spec *service =
	    deployment_service(x->deployment, x->service);
	struct choice choice;

	if (service == NULL) {
		exchange_refuse(x, RESULT_NOT_READY, "unknown service", 0);
		return;
	}
	choice = choose(x, service);
	if (choice.backend == NULL && may_wait_for_replica(x)) {
		x->waiting = true;
		return;
	}
	if (choice.backend == NULL) {
		exchange_refuse(x, RESULT_BACKEND_UNREACHABLE,
		    "no replica can run it", 500 * USEC_PER_MSEC);
		return;
	}
	x->predicted_us = choice.made.first_us;
	if (choice.made.first_us > patience_left_us(x)) {
		/* Callers come back, and others ask for it too. */
		if (choice.made.load_us > 0)
			sidecar_links_want(x->gateway->links, choice.backend,
			    &x->terms, x->route->rank, WANT_REFUSED_US);
		exchange_refuse(x, RESULT_DEADLINE_UNREACHABLE,
		    "predicted first piece is too late", choice.made.first_us);
		return;
	}
	if (choice.made.load_us > 0) {
		want_load(x, choice.backend);
		return;
	}
	x->waiting = false;
	exchange_send(
	    x, choice.backend, choice.made.first_us, choice.new_tokens);
}

void
exchanges_review(struct gateway *g)
{
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		if (x->waiting)
			exchange_dispatch(x);
	}
}

void
exchanges_end(struct gateway *g)
{
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		if (!x->begun)
			give_up(x, RESULT_LEAVING, "process ends");
	}
}

void
exchanges_abort(struct gateway *g)
{
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		log_end(x, "request broken off", x->code, "process ends", 0);
		caller_abort(x->caller);
		exchange_free(x);
	}
}

/* ---- arrival ---- */

static void
refuse_early(struct gateway *g, struct evhttp_request *req, enum result code,
    const char *why)
{
	struct problem p = {
		.code = code,
		.outcome = result_info(code)->outcome,
		.detail = why,
	};

	log_info(g->process.logger, "request refused", LF_S("why", why),
	    LF_I("code", result_info(code)->http_status),
	    LF_S("path", evhttp_request_get_uri(req)));
	if (code == RESULT_BAD_REQUEST || g->stop_us != 0)
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Connection", "close");
	if (result_info(code)->http_status == 503)
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Retry-After", "0.3");
	reply_problem(req, &p);
}

/*
 * What evhttp reads leniently may mean another length to someone else: a second
 * request could hide in the body.
 */
static const char *
framing_fault(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *coding = evhttp_find_header(headers, "Transfer-Encoding");
	const char *length = NULL;
	struct evkeyval *h;
	unsigned codings = 0;

	TAILQ_FOREACH(h, headers, next) {
		if (strcasecmp(h->key, "Transfer-Encoding") == 0)
			codings++;
		if (strcasecmp(h->key, "Content-Length") != 0)
			continue;
		if (length != NULL)
			return "more than one Content-Length";
		length = h->value;
	}
	if (coding != NULL && length != NULL)
		return "Content-Length beside Transfer-Encoding";
	if (codings > 1 ||
	    (coding != NULL && strcasecmp(coding, "chunked") != 0))
		return "unknown Transfer-Encoding";
	if (length != NULL &&
	    (length[0] == '\0' ||
		strspn(length, "0123456789") != strlen(length)))
		return "malformed Content-Length";
	return NULL;
}

static const struct route *
find_route(struct gateway *g, struct evhttp_request *req)
{
	const char *host = http_header_in(req, "Host");
	const char *uri = evhttp_request_get_uri(req);
	size_t len = strcspn(uri, "?");
	const struct route *route;
	char *path;

	if (host == NULL)
		return NULL;
	path = strndup(uri, len);
	if (path == NULL)
		abort();
	route = deployment_route(g->deployment, host, path);
	free(path);
	return route;
}

static bool
over_limits(struct gateway *g, struct evhttp_request *req, enum result *code)
{
	const struct deployment *d = g->deployment;
	size_t body = evbuffer_get_length(evhttp_request_get_input_buffer(req));
	size_t headers = strlen(evhttp_request_get_uri(req));
	struct evkeyval *h;

	TAILQ_FOREACH(h, evhttp_request_get_input_headers(req), next)
		headers += strlen(h->key) + strlen(h->value) + strlen(": \r\n");
	*code = RESULT_TOO_LARGE;
	if (d->max_body_bytes != 0 && body > d->max_body_bytes)
		return true;
	*code = RESULT_HEADERS_TOO_LARGE;
	return d->max_header_bytes != 0 && headers > d->max_header_bytes;
}

static void
set_deadline(struct exchange *x)
{
	int64_t wait_us = x->terms.deadline_us > 0 ? x->terms.deadline_us
						   : DEFAULT_DEADLINE_US;

	if (x->route->timeout_us > 0 && x->route->timeout_us < wait_us)
		wait_us = x->route->timeout_us;
	if (wait_us > DEADLINE_MARGIN_US)
		wait_us -= DEADLINE_MARGIN_US;
	x->deadline_us = x->arrived_us + wait_us;
	process_timer_add(x->timer, wait_us);
}

static void
start(struct gateway *g, struct evhttp_request *req, const struct route *route,
    const struct request_terms *terms)
{
	struct exchange *x = calloc(1, sizeof(*x));
	struct evbuffer *body = evhttp_request_get_input_buffer(req);

	if (x == NULL)
		abort();
	x->gateway = g;
	x->deployment = deployment_ref(g->deployment);
	x->route = route;
	x->terms = *terms;
	x->arrived_us = clock_now(g->process.clock);
	x->body_len = evbuffer_get_length(body);
	x->body = evbuffer_pullup(body, -1);
	x->has_last = terms->resumes;
	x->last_event = terms->last_event;
	x->service = route_pick_service(route, rng_real(&g->rng));
	TAILQ_INIT(&x->headers);
	TAILQ_INSERT_TAIL(&g->exchanges, x, link);
	x->timer = process_timer(&g->process, on_deadline, x);
	x->silence = process_timer(&g->process, exchange_on_silence, x);
	x->caller = caller_create(g->front, req, MAX_BACKLOG, on_gone, x);
	caller_count(x->caller, &g->open);
	set_deadline(x);
	retry_budget_note(g->budget, x->service);
	model_rates_note(g->rates, x->terms.model, x->arrived_us);
	exchange_dispatch(x);
}

void
exchange_start(struct gateway *g, struct evhttp_request *req)
{
	const char *fault = framing_fault(req);
	struct request_terms terms;
	const struct route *route;
	struct fleet_error err;
	enum result code;

	if (fault != NULL) {
		refuse_early(g, req, RESULT_BAD_REQUEST, fault);
		return;
	}
	if (g->stop_us != 0 &&
	    clock_now(g->process.clock) - g->stop_us > STOP_TAKES_US) {
		refuse_early(g, req, RESULT_LEAVING, "stopping");
		return;
	}
	if (g->deployment == NULL) {
		refuse_early(g, req, RESULT_NOT_READY, "no deployment yet");
		return;
	}
	route = find_route(g, req);
	if (route == NULL) {
		refuse_early(g, req, RESULT_NOT_FOUND, "no route");
		return;
	}
	if (over_limits(g, req, &code)) {
		refuse_early(g, req, code, "over the deployment's limit");
		return;
	}
	if (g->adapter->read_request(
		evhttp_request_get_input_headers(req), &terms, &err) == -1) {
		refuse_early(g, req, RESULT_BAD_REQUEST, err.text);
		return;
	}
	start(g, req, route, &terms);
}
