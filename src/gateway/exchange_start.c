/*
 * Accepts or refuses a caller's request, creates its exchange and routes it by
 * the active deployment.
 */
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/deployment_sync.h"
#include "coordination/model_rates.h"
#include "coordination/retry_budget.h"
#include "gateway/exchange.h"
#include "gateway/exchange_internal.h"
#include "gateway/quotas.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "state/accounts.h"
#include "state/deployment.h"
#include "transport/http_server.h"

/* Output that a slow caller may leave unread before it is aborted. */
#define MAX_BACKLOG_BYTES (4 * 1024 * 1024)
/* Of a stream that its caller has not read; no more is read of its answer. */
#define HIGH_BACKLOG_BYTES 65536
#define DEFAULT_DEADLINE_US (60 * USEC_PER_SEC)
/* The deployment does not state to the byte what counts as headers. */
#define HEAD_TOLERANCE 64
/* Left for the answer to reach the caller before its deadline. */
#define DEADLINE_MARGIN_US (10 * USEC_PER_MSEC)

/*
 * A stopping gateway accepts requests while load balancers still send it new
 * connections; the process could exit before it answers later ones.
 */
#define STOP_ACCEPT_US (2900 * USEC_PER_MSEC)

/*
 * A gateway that starts while neither the store nor a peer has the deployment
 * holds requests for a part of the time until their deadline: most outages of
 * the store end within seconds.  So does one that has no route for a request
 * while a peer has a newer deployment, which may have added it.
 */
#define UNROUTED_DEADLINE_DIVISOR 4
#define UNROUTED_MAX_US (2500 * USEC_PER_MSEC)
#define UNROUTED_MAX 256 /* requests */
#define UNROUTED_BODY_MAX 65536 /* bytes of each; 16 MiB in all */
#define UNROUTED_RETRY_AFTER_US (1 * USEC_PER_SEC)

/* ---- refusing a request without an exchange ---- */

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

/* ---- routing ---- */

static const struct route *
find_route(const struct deployment *d, struct evhttp_request *req)
{
	const char *host = http_request_header(req, "Host");
	const char *uri = evhttp_request_get_uri(req);
	size_t len = strcspn(uri, "?");
	const struct route *route;
	char *path;

	if (host == NULL)
		return NULL;
	path = strndup(uri, len);
	if (path == NULL)
		abort();
	route = deployment_find_route(d, host, path);
	free(path);
	return route;
}

static bool
exceeds_limits(
    const struct gateway *g, struct evhttp_request *req, enum result *code)
{
	const struct deployment *d = g->deployment;
	size_t body = evbuffer_get_length(evhttp_request_get_input_buffer(req));
	size_t headers = http_server_head_bytes(g->caller_http, req);

	*code = RESULT_TOO_LARGE;
	if (d->max_body_bytes != 0 && body > d->max_body_bytes)
		return true;
	*code = RESULT_HEADERS_TOO_LARGE;
	return d->max_header_bytes != 0 &&
	       headers > d->max_header_bytes + HEAD_TOLERANCE;
}

static void
set_deadline(struct exchange *x)
{
	int64_t now = clock_now(x->gateway->process.clock);
	int64_t route_us = x->arrived_us + x->route->timeout_us;

	if (x->route->timeout_us > 0 && route_us < x->deadline_us)
		x->deadline_us = route_us;
	x->deadline_us -= DEADLINE_MARGIN_US;
	process_timer_add(
	    x->deadline_timer, x->deadline_us > now ? x->deadline_us - now : 0);
}

/* Holds the request until the next deployment arrives or it times out. */
static void
wait_for_deployment(struct exchange *x)
{
	int64_t wait_us =
	    (x->deadline_us - x->arrived_us) / UNROUTED_DEADLINE_DIVISOR;

	if (wait_us > UNROUTED_MAX_US)
		wait_us = UNROUTED_MAX_US;
	x->gateway->unrouted++;
	process_timer_add(x->deadline_timer,
	    x->arrived_us + wait_us - clock_now(x->gateway->process.clock));
}

static bool
may_wait_unrouted(const struct gateway *g, struct evhttp_request *req)
{
	return g->unrouted < UNROUTED_MAX &&
	       evbuffer_get_length(evhttp_request_get_input_buffer(req)) <=
		   UNROUTED_BODY_MAX;
}

/* The deployment here is outdated: a newer one may have the route or key. */
static void
wait_for_newer(struct exchange *x)
{
	if (!may_wait_unrouted(x->gateway, caller_request(x->caller))) {
		exchange_refuse(x, RESULT_NOT_READY, "deployment is outdated",
		    UNROUTED_RETRY_AFTER_US);
		return;
	}
	deployment_unref(x->deployment);
	x->deployment = NULL;
	wait_for_deployment(x);
}

/*
 * Finds the account of the request's key.  A route that is open needs none, and
 * a key there that belongs to no account is not passed on.  Returns false if
 * the request may not run.
 */
static bool
find_account(struct exchange *x)
{
	const struct accounts *accounts = x->deployment->accounts;
	const char *key;
	size_t len;

	x->account = NULL;
	if (accounts == NULL)
		return true;
	if (x->gateway->driver->decode_key(
		evhttp_request_get_input_headers(caller_request(x->caller)),
		&key, &len) == 0)
		x->account = accounts_find_key(accounts, key, len);
	return x->account != NULL || x->route->open;
}

/* Routes the request by the active deployment; may free the exchange. */
static void
route_request(struct exchange *x)
{
	struct gateway *g = x->gateway;
	struct evhttp_request *req = caller_request(x->caller);
	enum result code;

	x->deployment = deployment_ref(g->deployment);
	x->route = find_route(x->deployment, req);
	x->routed_us = clock_now(g->process.clock);
	if (x->route == NULL && deployment_sync_outdated(g->deployment_sync)) {
		wait_for_newer(x);
		return;
	}
	if (x->route == NULL) {
		exchange_refuse(x, RESULT_NOT_FOUND, "no route", 0);
		return;
	}
	if (!find_account(x)) {
		if (deployment_sync_outdated(g->deployment_sync))
			wait_for_newer(x);
		else
			exchange_refuse(
			    x, RESULT_UNAUTHORIZED, "unknown API key", 0);
		return;
	}
	if (exceeds_limits(g, req, &code)) {
		exchange_refuse(
		    x, code, "larger than the deployment's limit", 0);
		return;
	}
	x->service = route_pick_service(x->route, rng_real(&g->rng));
	set_deadline(x);
	retry_budget_deposit(g->retry_budget, x->service);
	model_rates_record(g->request_rates, x->params.model, x->routed_us);
	quotas_take(x);
}

void
exchanges_route(struct gateway *g)
{
	struct exchange *x, *next;

	if (g->unrouted == 0)
		return;
	log_info(g->process.logger,
	    "routing requests that waited for the deployment",
	    LF_I("count", g->unrouted));
	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		if (x->deployment != NULL)
			continue;
		g->unrouted--;
		route_request(x);
	}
}

static void
on_deadline_timer(evutil_socket_t fd, short what, void *arg)
{
	struct exchange *x = arg;

	if (x->deployment == NULL)
		exchange_refuse(x, RESULT_NOT_READY,
		    x->gateway->deployment == NULL ? "no deployment yet"
						   : "deployment is outdated",
		    UNROUTED_RETRY_AFTER_US);
	else
		exchange_on_deadline(x);
}

/* ---- arrival ---- */

static struct exchange *
create_exchange(struct gateway *g, struct evhttp_request *req,
    const struct request_params *params)
{
	struct exchange *x = calloc(1, sizeof(*x));
	struct evbuffer *body = evhttp_request_get_input_buffer(req);

	if (x == NULL)
		abort();
	x->gateway = g;
	x->params = *params;
	x->arrived_us = clock_now(g->process.clock);
	x->deadline_us =
	    x->arrived_us +
	    (params->timeout_us > 0 ? params->timeout_us : DEFAULT_DEADLINE_US);
	x->body_len = evbuffer_get_length(body);
	x->body = evbuffer_pullup(body, -1);
	x->has_last_event = params->resumes;
	x->last_event_id = params->last_event_id;
	TAILQ_INIT(&x->headers);
	TAILQ_INSERT_TAIL(&g->exchanges, x, link);
	x->deadline_timer =
	    process_timer_new(&g->process, on_deadline_timer, x);
	x->silence_timer =
	    process_timer_new(&g->process, exchange_on_silence, x);
	x->caller = caller_create(
	    g->caller_http, req, MAX_BACKLOG_BYTES, exchange_on_disconnect, x);
	caller_count_open(x->caller, &g->open_responses);
	caller_watch_backlog(x->caller, HIGH_BACKLOG_BYTES, &g->answer_quota,
	    exchange_on_drained);
	return x;
}

void
exchange_start(struct gateway *g, struct evhttp_request *req)
{
	struct request_params params;
	struct fleet_error err;
	struct exchange *x;

	if (http_request_header(req, "Host") == NULL) {
		refuse_early(g, req, RESULT_BAD_REQUEST, "no Host");
		return;
	}
	if (exchange_needs_dropped_header(
		g, evhttp_request_get_input_headers(req))) {
		refuse_early(g, req, RESULT_BAD_REQUEST,
		    "Connection lists a header that the request needs");
		return;
	}
	if (evhttp_request_get_uri(req)[0] != '/') {
		refuse_early(g, req, RESULT_BAD_REQUEST,
		    "the target does not begin with a slash");
		return;
	}
	if (g->stop_us != 0 &&
	    clock_now(g->process.clock) - g->stop_us > STOP_ACCEPT_US) {
		refuse_early(g, req, RESULT_LEAVING, "stopping");
		return;
	}
	if (g->deployment == NULL && !may_wait_unrouted(g, req)) {
		refuse_early(g, req, RESULT_NOT_READY, "no deployment yet");
		return;
	}
	if (g->driver->decode_request(
		evhttp_request_get_input_headers(req), &params, &err) == -1) {
		refuse_early(g, req, RESULT_BAD_REQUEST, err.text);
		return;
	}
	x = create_exchange(g, req, &params);
	if (g->deployment != NULL)
		route_request(x);
	else
		wait_for_deployment(x);
}
