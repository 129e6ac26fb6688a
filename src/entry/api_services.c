/* Calls to plain services: /services/NAME/PATH calls /PATH of service NAME. */
#include "entry/api.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/buffer.h>
#include <event2/http.h>

#include "common/clock.h"
#include "common/metrics.h"
#include "coordination/store.h"
#include "entry/api_common.h"
#include "entry/entry.h"
#include "entry/request.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "transport/http_server.h"

#define PREFIX "/services/"

struct service_exchange {
	struct entry *entry;
	struct caller *caller;
	struct request *request;
	char id[64];
	struct evbuffer *body; /* of the answer */
};

static void
exchange_free(struct service_exchange *x)
{
	evbuffer_free(x->body);
	free(x);
}

static void
on_disconnected(void *ctx)
{
	struct service_exchange *x = ctx;

	request_cancel(x->request);
	caller_abort(x->caller);
	exchange_free(x);
}

static void
on_chunk(void *ctx, const void *data, size_t len)
{
	struct service_exchange *x = ctx;
	struct problem p = {
		.code = RESULT_ANSWER_TOO_LARGE,
		.outcome = OUTCOME_UNKNOWN,
		.request = x->id,
	};

	if (evbuffer_get_length(x->body) + len <=
	    (size_t)x->entry->settings.caller_backlog) {
		evbuffer_add(x->body, data, len);
		return;
	}
	request_cancel(x->request);
	caller_reply_problem(x->caller, &p);
	exchange_free(x);
}

static void
on_end(void *ctx, const struct request_result *result)
{
	struct service_exchange *x = ctx;
	struct problem p = {
		.code = result->code,
		.outcome = result->outcome,
		.detail = result->detail,
		.request = x->id,
		.retry_after_ms = result->retry_after_ms,
	};
	char labels[128];

	/* An agent of an older release passes on failures of the service. */
	if (result->code == RESULT_OK &&
	    result_status_promises(result->status)) {
		p.code = RESULT_BACKEND_FAILED;
		p.outcome = OUTCOME_UNKNOWN;
	}
	snprintf(
	    labels, sizeof(labels), "result=\"%s\"", result_info(p.code)->name);
	(*metrics_counter(
	    x->entry->daemon->metrics, "service_calls_total", labels))++;
	if (p.code == RESULT_OK)
		caller_reply(x->caller, result->status, result->content_type,
		    evbuffer_pullup(x->body, -1), evbuffer_get_length(x->body));
	else
		caller_reply_problem(x->caller, &p);
	exchange_free(x);
}

static const char *
method_name(enum evhttp_cmd_type type)
{
	switch (type) {
	case EVHTTP_REQ_GET:
		return "GET";
	case EVHTTP_REQ_PUT:
		return "PUT";
	case EVHTTP_REQ_DELETE:
		return "DELETE";
	case EVHTTP_REQ_PATCH:
		return "PATCH";
	default:
		return "POST";
	}
}

/* Splits /services/NAME/PATH; -1 if the name is empty or too long. */
static int
split_path(const char *uri, char *name, size_t name_len, const char **path)
{
	const char *start = uri + strlen(PREFIX);
	size_t len = strcspn(start, "/?");

	if (len == 0 || len >= name_len)
		return -1;
	memcpy(name, start, len);
	name[len] = '\0';
	*path = start[len] == '/' ? start + len : "/";
	return 0;
}

static void
start_request(struct entry *e, struct evhttp_request *req, const char *name,
    const char *path, const struct decl_service *spec,
    const struct call_params *params)
{
	struct service_exchange *x;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	const char *method = method_name(evhttp_request_get_command(req));
	struct request_options o = {
		.service = true,
		.target = name,
		.rank = params->rank,
		.tenant = params->tenant,
		.idempotency_key = http_request_header(req, "Idempotency-Key"),
		.repeatable = spec->repeatable || strcmp(method, "GET") == 0,
		.deadline_us = params->deadline_us,
		.method = method,
		.path = path,
		.content_type = http_request_header(req, "Content-Type"),
		.body_len = evbuffer_get_length(in),
		.body = evbuffer_pullup(in, -1),
		.on_chunk = on_chunk,
		.on_end = on_end,
	};

	if (!api_admit(e, req, &o))
		return;
	x = calloc(1, sizeof(*x));
	if (x == NULL)
		abort();
	o.ctx = x;
	x->entry = e;
	x->body = evbuffer_new();
	x->caller = caller_create(e->http, req,
	    (size_t)e->settings.caller_backlog, on_disconnected, x);
	caller_count_open(x->caller, &e->open_callers);
	x->request = request_start(e->requests, &o);
	strlcpy(x->id, request_id(x->request), sizeof(x->id));
}

void
api_services(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;
	const struct config_entry *service;
	struct call_params params;
	char name[DECL_NAME_MAX];
	const char *path, *reason = entry_unready_reason(e);

	if (reason != NULL) {
		api_refuse(req, RESULT_NOT_READY, reason);
		return;
	}
	if (!api_authenticate(e, req, &params))
		return;
	if (split_path(
		evhttp_request_get_uri(req), name, sizeof(name), &path) == -1) {
		api_refuse(req, RESULT_UNKNOWN_SERVICE, NULL);
		return;
	}
	service =
	    config_find(store_config(e->daemon->store), DECL_SERVICE, name);
	if (service == NULL || !service->valid) {
		api_refuse(req, RESULT_UNKNOWN_SERVICE, name);
		return;
	}
	if (api_read_params(e, req, &params) == -1)
		return;
	if (!api_offered(e, NULL, NULL, name, params.rank)) {
		api_refuse(req, RESULT_NOT_OFFERED, name);
		return;
	}
	start_request(e, req, name, path, &service->decl.spec.service, &params);
}
