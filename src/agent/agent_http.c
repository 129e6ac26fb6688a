/* HTTP server of the agent: metrics, health and readiness. */
#include "agent/agent_internal.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/metrics.h"
#include "coordination/daemon_http.h"
#include "coordination/loader.h"
#include "coordination/store.h"
#include "protocol/problem.h"
#include "transport/http_server.h"

static void
handle_metrics(void *ctx, struct evhttp_request *req)
{
	struct agent *a = ctx;

	daemon_http_metrics(a->daemon, req);
}

static void
handle_ready(void *ctx, struct evhttp_request *req)
{
	struct agent *a = ctx;
	const char *reason = store_unready_reason(a->daemon->store);

	if (reason == NULL && a->daemon->leaving)
		reason = "leaving";
	if (reason == NULL && a->loader != NULL &&
	    !loader_initialized(a->loader))
		reason = "the engine has not answered yet";
	daemon_http_ready(req, reason);
}

/* Answers a request that reaches no route; status is the HTTP status. */
static void
refuse_unrouted(void *ctx, struct evhttp_request *req, int status)
{
	struct problem p = { .code = RESULT_NOT_FOUND };

	p.outcome = OUTCOME_NOT_RUN;
	http_reply_json(req, status, problem_to_json(&p));
}

static const struct http_route routes[] = {
	{ "/metrics", EVHTTP_REQ_GET, handle_metrics },
	{ "/healthz", EVHTTP_REQ_GET, daemon_http_health },
	{ "/readyz", EVHTTP_REQ_GET, handle_ready },
	{ .prefix = NULL },
};

int
agent_create_http(struct agent *a)
{
	struct http_server_options http = {
		.base = a->daemon->base,
		.routes = routes,
		.ctx = a,
		.max_body = 65536,
		.max_headers = 16384,
		.idle_timeout_us = 30 * USEC_PER_SEC,
		.timeouts.first_request_us = 30 * USEC_PER_SEC,
		.max_connections = 1000,
		.metrics = a->daemon->metrics,
		.tls = a->daemon->tls,
		.refuse = refuse_unrouted,
	};

	a->http = http_server_create(&http);
	if (a->http == NULL)
		return -1;
	return http_server_listen(a->http, a->settings.daemon.http_listen);
}
