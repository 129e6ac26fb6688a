/*
 * The completions API, in the format of public client libraries: a JSON body
 * with model, prompt, max_tokens and stream; an answer in one document, or as
 * server-sent events that end with [DONE].  Also lists the models.
 */
#include "entry/api.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/histogram.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/store.h"
#include "entry/api_common.h"
#include "entry/entry.h"
#include "entry/request.h"
#include "entry/usage.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "transport/http_server.h"

#define DEFAULT_MAX_TOKENS 256
#define BYTES_PER_TOKEN 4 /* estimate, for the prompt's token count */
#define PREFIX_BYTES 1024 /* hashed start of the prompt, for cache routing */

struct completion {
	struct entry *entry;
	struct caller *caller;
	struct request *request;
	char id[64];
	char *model; /* model or adapter, as the caller named it */
	char *rank;
	bool stream;
	int64_t started_us;
	int64_t last_chunk_us; /* 0: none yet */
	struct evbuffer *text; /* of an answer that is not streamed */
	char *tenant;
	int64_t first_token_us; /* since started_us; -1: none yet */
	struct histogram *token_interval;
};

static void
completion_free(struct completion *c)
{
	if (c->text != NULL)
		evbuffer_free(c->text);
	free(c->model);
	free(c->rank);
	free(c->tenant);
	free(c);
}

static void
on_disconnected(void *ctx)
{
	struct completion *c = ctx;

	request_cancel(c->request);
	caller_abort(c->caller);
	completion_free(c);
}

/* ---- streamed answers ---- */

static json_t *
choice_json(const char *text, size_t len, const char *finish)
{
	return json_pack("{s:i,s:s%,s:n,s:s?}", "index", 0, "text", text, len,
	    "logprobs", "finish_reason", finish);
}

static json_t *
completion_json(const struct completion *c, json_t *choice)
{
	return json_pack("{s:s,s:s,s:I,s:s,s:[o]}", "id", c->id, "object",
	    "text_completion", "created", (json_int_t)time(NULL), "model",
	    c->model, "choices", choice);
}

/* Formats a document as one server-sent event; steals the document. */
static struct evbuffer *
format_sse_event(json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);
	struct evbuffer *buf = evbuffer_new();

	if (text == NULL || buf == NULL)
		abort();
	evbuffer_add_printf(buf, "data: %s\n\n", text);
	free(text);
	json_decref(doc);
	return buf;
}

static int
send_sse_event(struct completion *c, json_t *doc)
{
	struct evbuffer *buf = format_sse_event(doc);
	int rc = caller_reply_chunk(
	    c->caller, evbuffer_pullup(buf, -1), evbuffer_get_length(buf));

	evbuffer_free(buf);
	return rc;
}

static void
begin_stream(struct completion *c)
{
	caller_add_header(c->caller, "Cache-Control", "no-cache");
	caller_reply_start(c->caller, 200, "text/event-stream");
}

/*
 * An answer that is not streamed is buffered until it is complete; ends one
 * that exceeds caller_backlog.
 */
static void
fail_too_large(struct completion *c)
{
	struct problem p = {
		.code = RESULT_ANSWER_TOO_LARGE,
		.outcome = OUTCOME_UNKNOWN,
		.request = c->id,
	};

	request_cancel(c->request);
	caller_reply_problem(c->caller, &p);
	completion_free(c);
}

static void
record_chunk_time(struct completion *c)
{
	int64_t now = clock_now(c->entry->daemon->clock);

	if (c->last_chunk_us == 0)
		c->first_token_us = now - c->started_us;
	else
		histogram_record(
		    c->token_interval, (uint64_t)(now - c->last_chunk_us));
	c->last_chunk_us = now;
}

/* Aborts only the stream of the slow caller; others go on. */
static void
abort_slow_caller(struct completion *c)
{
	log_info(c->entry->daemon->logger,
	    "caller reads too slowly; aborting its stream",
	    LF_S("request", c->id));
	(*metrics_counter(
	    c->entry->daemon->metrics, "slow_callers_aborted_total", ""))++;
	on_disconnected(c);
}

static void
on_chunk(void *ctx, const void *data, size_t len)
{
	struct completion *c = ctx;

	record_chunk_time(c);
	if (!c->stream) {
		if (evbuffer_get_length(c->text) + len >
		    (size_t)c->entry->settings.caller_backlog)
			fail_too_large(c);
		else
			evbuffer_add(c->text, data, len);
		return;
	}
	if (!caller_is_replying(c->caller))
		begin_stream(c);
	if (send_sse_event(
		c, completion_json(c, choice_json(data, len, NULL))) == -1)
		abort_slow_caller(c);
}

static void
end_stream(struct completion *c, const struct request_result *result)
{
	struct problem p = {
		.code = result->code,
		.outcome = result->outcome,
		.detail = result->detail,
		.request = c->id,
	};

	if (result->code != RESULT_OK) {
		struct evbuffer *buf = format_sse_event(
		    json_pack("{s:o}", "error", problem_to_json(&p)));

		caller_abort_after(c->caller, evbuffer_pullup(buf, -1),
		    evbuffer_get_length(buf));
		evbuffer_free(buf);
		return;
	}
	(void)send_sse_event(
	    c, completion_json(c, choice_json("", 0, result->content_type)));
	(void)caller_reply_chunk(c->caller, "data: [DONE]\n\n", 14);
	caller_reply_end(c->caller);
}

/* ---- answers in one document ---- */

static void
reply_document(struct completion *c, const struct request_result *result)
{
	size_t len = evbuffer_get_length(c->text);
	json_t *doc =
	    completion_json(c, choice_json((char *)evbuffer_pullup(c->text, -1),
				   len, result->content_type));

	json_object_set_new(doc, "usage",
	    json_pack("{s:i,s:i,s:i}", "prompt_tokens",
		(int)result->prompt_tokens, "completion_tokens",
		(int)result->tokens, "total_tokens",
		(int)(result->prompt_tokens + result->tokens)));
	caller_reply_json(c->caller, 200, doc);
}

/* Adds the request to the usage table and to requests_total. */
static void
record_result(const struct completion *c, const struct request_result *result)
{
	struct metrics *m = c->entry->daemon->metrics;
	char labels[512] = "";
	struct usage_sample use = {
		.rank = c->rank,
		.model = c->model,
		.tenant = c->tenant,
		.code = result->code,
		.first_token_us = c->first_token_us,
		.total_us = clock_now(c->entry->daemon->clock) - c->started_us,
	};

	usage_record(c->entry->usage, &use);
	metrics_label(labels, sizeof(labels), "rank", c->rank);
	metrics_label(
	    labels, sizeof(labels), "result", result_info(result->code)->name);
	(*metrics_counter(m, "requests_total", labels))++;
}

static void
on_end(void *ctx, const struct request_result *result)
{
	struct completion *c = ctx;
	struct problem p = {
		.code = result->code,
		.outcome = result->outcome,
		.detail = result->detail,
		.request = c->id,
		.retry_after_ms = result->retry_after_ms,
	};

	record_result(c, result);
	if (result->code == RESULT_OK && c->stream &&
	    !caller_is_replying(c->caller))
		begin_stream(c);
	if (caller_is_replying(c->caller))
		end_stream(c, result);
	else if (result->code == RESULT_OK)
		reply_document(c, result);
	else
		caller_reply_problem(c->caller, &p);
	completion_free(c);
}

/* ---- the request ---- */

struct completion_body {
	json_t *doc;
	const char *model; /* model or adapter, as named in the body */
	const char *adapter; /* empty: none */
	const char *target; /* model that runs the request */
	const char *prompt;
	int max_tokens;
	int stream;
};

/* Returns NULL, or an error text.  b->doc must be freed in both cases. */
static const char *
parse_body(struct evhttp_request *req, struct completion_body *b)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	json_error_t err;

	b->doc = json_loadb((char *)evbuffer_pullup(in, -1), len, 0, &err);
	if (!json_is_object(b->doc))
		return "the body must be a JSON object";
	b->max_tokens = DEFAULT_MAX_TOKENS;
	if (json_unpack_ex(b->doc, &err, 0, "{s:s,s:s,s?i,s?b}", "model",
		&b->model, "prompt", &b->prompt, "max_tokens", &b->max_tokens,
		"stream", &b->stream) == -1)
		return "model and prompt must be strings, max_tokens an "
		       "integer, stream true or false";
	if (b->max_tokens < 1)
		return "max_tokens: must be at least 1";
	return NULL;
}

/*
 * Finds the model that runs the request; the "model" of the body may name an
 * adapter.  Limits max_tokens to the model's own.
 */
static enum result
resolve_model(struct entry *e, struct completion_body *b)
{
	const struct config *config = store_config(e->daemon->store);
	const struct config_entry *model, *adapter;

	b->target = b->model;
	b->adapter = "";
	adapter = config_find(config, DECL_ADAPTER, b->model);
	if (adapter != NULL && adapter->valid) {
		b->adapter = b->model;
		b->target = adapter->decl.spec.adapter.model;
	}
	model = config_find(config, DECL_MODEL, b->target);
	if (model == NULL || !model->valid)
		return RESULT_UNKNOWN_MODEL;
	if (b->max_tokens > (int)model->decl.spec.model.max_tokens)
		b->max_tokens = (int)model->decl.spec.model.max_tokens;
	return RESULT_OK;
}

static struct completion *
completion_create(struct entry *e, struct evhttp_request *req,
    const struct completion_body *b, const struct call_params *params)
{
	struct completion *c = calloc(1, sizeof(*c));
	char labels[256] = "";

	if (c == NULL)
		abort();
	c->entry = e;
	c->model = strdup(b->model);
	c->rank = strdup(params->rank);
	c->stream = b->stream != 0;
	c->text = evbuffer_new();
	c->started_us = clock_now(e->daemon->clock);
	c->tenant = strdup(params->tenant ? params->tenant : "");
	c->first_token_us = -1;
	metrics_label(labels, sizeof(labels), "rank", params->rank);
	c->token_interval = metrics_histogram(
	    e->daemon->metrics, "between_tokens_seconds", labels);
	c->caller = caller_create(e->http, req,
	    (size_t)e->settings.caller_backlog, on_disconnected, c);
	caller_count_open(c->caller, &e->open_callers);
	return c;
}

static void
start_request(struct entry *e, struct evhttp_request *req,
    const struct completion_body *b, const struct call_params *params)
{
	struct completion *c;
	size_t len = strlen(b->prompt);
	struct request_options o = {
		.target = b->target,
		.adapter = b->adapter,
		.rank = params->rank,
		.tenant = params->tenant,
		.repeatable = true,
		.deadline_us = params->deadline_us,
		.prompt_tokens = (uint32_t)(len / BYTES_PER_TOKEN + 1),
		.max_tokens = (uint32_t)b->max_tokens,
		.prefix = XXH3_64bits(
		    b->prompt, len < PREFIX_BYTES ? len : PREFIX_BYTES),
		.body = b->prompt,
		.body_len = len,
		.on_chunk = on_chunk,
		.on_end = on_end,
	};

	if (!api_admit(e, req, &o))
		return;
	c = completion_create(e, req, b, params);
	o.ctx = c;
	c->request = request_start(e->requests, &o);
	snprintf(c->id, sizeof(c->id), "cmpl-%s", request_id(c->request));
}

void
api_completions(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;
	struct completion_body b = { 0 };
	struct call_params params;
	const char *reason = entry_unready_reason(e);
	enum result code;

	if (reason != NULL) {
		api_refuse(req, RESULT_NOT_READY, reason);
		return;
	}
	if (!api_authenticate(e, req, &params))
		return;
	reason = parse_body(req, &b);
	if (reason != NULL) {
		api_refuse(req, RESULT_BAD_REQUEST, reason);
		goto out;
	}
	code = resolve_model(e, &b);
	if (code != RESULT_OK) {
		api_refuse(req, code, b.model);
		goto out;
	}
	if (api_read_params(e, req, &params) == -1)
		goto out;
	if (!api_offered(e, b.target, b.adapter, NULL, params.rank)) {
		api_refuse(req, RESULT_NOT_OFFERED, b.model);
		goto out;
	}
	start_request(e, req, &b, &params);

out:
	json_decref(b.doc);
}

void
api_models(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;
	const struct config *config = store_config(e->daemon->store);
	json_t *data = json_array();

	for (int kind = DECL_MODEL; kind <= DECL_ADAPTER; kind++) {
		const struct config_entry *entry = NULL;

		while ((entry = config_next(
			    config, (enum decl_kind)kind, entry)) != NULL)
			json_array_append_new(data,
			    json_pack("{s:s,s:s,s:s}", "id", entry->name,
				"object", "model", "owned_by", "operator"));
	}
	http_reply_json(
	    req, 200, json_pack("{s:s,s:o}", "object", "list", "data", data));
}
