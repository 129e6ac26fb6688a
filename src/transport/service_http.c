#include "transport/service.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "transport/http_client.h"

struct service_http {
	struct http_client *http;
};

struct service_op {
	struct http_call *call;
	void (*done)(void *, const struct service_answer *);
	void *ctx;
};

static const struct {
	const char *name;
	enum evhttp_cmd_type type;
} methods[] = {
	{ "GET", EVHTTP_REQ_GET },
	{ "POST", EVHTTP_REQ_POST },
	{ "PUT", EVHTTP_REQ_PUT },
	{ "DELETE", EVHTTP_REQ_DELETE },
	{ "PATCH", EVHTTP_REQ_PATCH },
};

static enum evhttp_cmd_type
method_parse(const char *name)
{
	for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
		if (strcmp(methods[i].name, name) == 0)
			return methods[i].type;
	}
	return EVHTTP_REQ_POST;
}

static void
on_answer(void *arg, const struct http_response *resp)
{
	struct service_op *op = arg;
	struct service_answer answer = { .status = SERVICE_LOST,
		.conn_lost = http_response_conn_lost(resp) };

	if (resp->status == HTTP_CALL_NOT_SENT)
		answer.status = SERVICE_NOT_SENT;
	if (resp->status == HTTP_CALL_OK) {
		answer.status = SERVICE_OK;
		answer.code = resp->code;
		answer.content_type =
		    evhttp_find_header(resp->headers, "Content-Type");
		answer.body_len = evbuffer_get_length(resp->body);
		answer.body = evbuffer_pullup(resp->body, -1);
	}
	op->done(op->ctx, &answer);
	free(op);
}

static struct service_op *
service_call_start(void *priv, const struct service_call *call,
    void (*done)(void *, const struct service_answer *), void *ctx)
{
	struct service_http *service = priv;
	struct service_op *op = calloc(1, sizeof(*op));
	struct http_header headers[] = {
		{ "Request-Id", call->request_id },
		{ NULL, NULL },
	};
	/*
	 * Always a new connection: the service may close an idle one while the
	 * call is sent, which would leave the outcome unknown.
	 */
	struct http_call_options http = {
		.method = method_parse(call->method),
		.path = call->path,
		.headers = headers,
		.content_type = call->content_type,
		.body = call->body,
		.body_len = call->body_len,
		.timeout_us = call->timeout_us,
		.new_connection = true,
		.on_done = on_answer,
		.free_ctx = free,
		.ctx = op,
	};

	if (op == NULL)
		abort();
	op->done = done;
	op->ctx = ctx;
	op->call = http_client_call(service->http, &http);
	return op;
}

static void
service_cancel(void *priv, struct service_op *op)
{
	http_call_cancel(op->call);
}

static void
service_destroy(void *priv)
{
	struct service_http *service = priv;

	if (service == NULL)
		return;
	http_client_destroy(service->http);
	free(service);
}

static const struct service_client_ops ops = {
	.call = service_call_start,
	.cancel = service_cancel,
	.destroy = service_destroy,
};

int
service_http_create(
    struct service_client *client, const struct service_http_options *opts)
{
	struct service_http *service = calloc(1, sizeof(*service));
	struct http_client_options http = {
		.base = opts->base,
		.address = opts->address,
		.max_body = opts->max_body,
	};

	if (service == NULL)
		return -1;
	service->http = http_client_create(&http);
	if (service->http == NULL) {
		free(service);
		return -1;
	}
	client->ops = &ops;
	client->priv = service;
	return 0;
}
