#include "coordination/node_http.h"

#include <event2/http.h>
#include <jansson.h>

#include "coordination/node.h"
#include "transport/http_server.h"

void
node_http_metrics(struct node *node, struct evhttp_request *req)
{
	http_reply_metrics(req, node->metrics);
}

void
node_http_health(void *ctx, struct evhttp_request *req)
{
	http_reply_json(req, 200, json_pack("{s:s}", "status", "alive"));
}

void
node_http_ready(struct evhttp_request *req, const char *reason)
{
	http_reply_json(req, reason == NULL ? 200 : 503,
	    json_pack("{s:b,s:s}", "ready", reason == NULL, "reason",
		reason ? reason : ""));
}
