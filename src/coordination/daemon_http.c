#include "coordination/daemon_http.h"

#include <event2/http.h>
#include <jansson.h>

#include "coordination/daemon.h"
#include "transport/http_server.h"

void
daemon_http_metrics(struct daemon *daemon, struct evhttp_request *req)
{
	http_reply_metrics(req, daemon->metrics);
}

void
daemon_http_health(void *ctx, struct evhttp_request *req)
{
	http_reply_json(req, 200, json_pack("{s:s}", "status", "alive"));
}

void
daemon_http_ready(struct evhttp_request *req, const char *reason)
{
	http_reply_json(req, reason == NULL ? 200 : 503,
	    json_pack("{s:b,s:s}", "ready", reason == NULL, "reason",
		reason ? reason : ""));
}
