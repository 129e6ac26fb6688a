/*
 * The completions interface, in the shape that public client libraries parse:
 * a JSON body with model, prompt, max_tokens and stream; an answer in one
 * document, or as server-sent events that end with [DONE].
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
#include "protocol/caller.h"
#include "entry/entry.h"
#include "entry/request.h"
#include "entry/usage.h"
#include "protocol/problem.h"
#include "transport/http_server.h"

#define DEFAULT_MAX_TOKENS 256
#define BYTES_PER_TOKEN 4
#define PREFIX_BYTES 1024

struct completion {
	struct entry *entry;
	struct caller *caller;
	struct request *request;
	char id[64];
	char *model; /* as the caller named it */
	char *rank;
	bool stream;
	int64_t started_us;
	int64_t last_chunk_us;
	struct evbuffer *text; /* plain answers */
	char *tenant;
	int64_t first_token_us; /* -1: none yet */
	struct histogram *between_tokens;
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
on_gone(void *ctx)
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

/* Steals the document. */
static struct evbuffer *
event_text(json_t *doc)
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
send_event(struct completion *c, json_t *doc)
{
	struct evbuffer *buf = event_text(doc);
	int rc = caller_chunk(
	    c->caller, evbuffer_pullup(buf, -1), evbuffer_get_length(buf));

	evbuffer_free(buf);
	return rc;
}

static void
begin_stream(struct completion *c)
{
	caller_add_header(c->caller, "Cache-Control", "no-cache");
	caller_begin(c->caller, 200, "text/event-stream");
}

/* A plain answer is held back whole; its size is bounded. */
static void
refuse_large(struct completion *c)
{
	struct problem p = {
		.code = RESULT_ANSWER_TOO_LARGE,
		.outcome = OUTCOME_UNKNOWN,
		.request = c->id,
	};

	request_cancel(c->request);
	caller_problem(c->caller, &p);
	completion_free(c);
}

static void
note_chunk_time(struct completion *c)
{
	int64_t now = clock_now(c->entry->daemon->clock);

	if (c->last_chunk_us == 0)
		c->first_token_us = now - c->started_us;
	else
		histogram_record(
		    c->between_tokens, (uint64_t)(now - c->last_chunk_us));
	c->last_chunk_us = now;
}

/* A caller that reads too slowly loses its own stream only. */
static void
abort_slow(struct completion *c)
{
	log_info(c->entry->daemon->logger, "caller reads too slowly",
	    LF_S("request", c->id));
	(*metrics_counter(
	    c->entry->daemon->metrics, "slow_callers_aborted_total", ""))++;
	on_gone(c);
}

static void
on_chunk(void *ctx, const void *data, size_t len)
{
	struct completion *c = ctx;

	note_chunk_time(c);
	if (!c->stream) {
		if (evbuffer_get_length(c->text) + len >
		    (size_t)c->entry->settings.caller_backlog)
			refuse_large(c);
		else
			evbuffer_add(c->text, data, len);
		return;
	}
	if (!caller_begun(c->caller))
		begin_stream(c);
	if (send_event(c, completion_json(c, choice_json(data, len, NULL))) ==
	    -1)
		abort_slow(c);
}

static void
end_stream(struct completion *c, const struct request_end *end)
{
	struct problem p = {
		.code = end->code,
		.outcome = end->outcome,
		.detail = end->detail,
		.request = c->id,
	};

	if (end->code != RESULT_OK) {
		struct evbuffer *buf = event_text(
		    json_pack("{s:o}", "error", problem_to_json(&p)));

		caller_abort_after(c->caller, evbuffer_pullup(buf, -1),
		    evbuffer_get_length(buf));
		evbuffer_free(buf);
		return;
	}
	(void)send_event(
	    c, completion_json(c, choice_json("", 0, end->content_type)));
	(void)caller_chunk(c->caller, "data: [DONE]\n\n", 14);
	caller_finish(c->caller);
}

/* ---- plain answers ---- */

static void
reply_whole(struct completion *c, const struct request_end *end)
{
	size_t len = evbuffer_get_length(c->text);
	json_t *doc =
	    completion_json(c, choice_json((char *)evbuffer_pullup(c->text, -1),
				   len, end->content_type));

	json_object_set_new(doc, "usage",
	    json_pack("{s:i,s:i,s:i}", "prompt_tokens", (int)end->prompt_tokens,
		"completion_tokens", (int)end->tokens, "total_tokens",
		(int)(end->prompt_tokens + end->tokens)));
	caller_reply_json(c->caller, 200, doc);
}

static void
count_end(const struct completion *c, const struct request_end *end)
{
	struct metrics *m = c->entry->daemon->metrics;
	char labels[512] = "";
	struct usage_end use = {
		.rank = c->rank,
		.model = c->model,
		.tenant = c->tenant,
		.code = end->code,
		.first_token_us = c->first_token_us,
		.total_us = clock_now(c->entry->daemon->clock) - c->started_us,
	};

	usage_note(c->entry->usage, &use);
	metrics_label(labels, sizeof(labels), "rank", c->rank);
	metrics_label(
	    labels, sizeof(labels), "result", result_info(end->code)->name);
	(*metrics_counter(m, "requests_total", labels))++;
}

static void
on_end(void *ctx, const struct request_end *end)
{
	struct completion *c = ctx;
	struct problem p = {
		.code = end->code,
		.outcome = end->outcome,
		.detail = end->detail,
		.request = c->id,
		.retry_after_ms = end->retry_after_ms,
	};

	count_end(c, end);
	if (end->code == RESULT_OK && c->stream && !caller_begun(c->caller))
		begin_stream(c);
	if (caller_begun(c->caller))
		end_stream(c, end);
	else if (end->code == RESULT_OK)
		reply_whole(c, end);
	else
		caller_problem(c->caller, &p);
	completion_free(c);
}

/* ---- the request ---- */

struct completion_body {
	json_t *doc;
	const char *model;
	const char *adapter;
	const char *target;
	const char *prompt;
	int max_tokens;
	int stream;
};

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

/* Clients name an adapter in the place of the model. */
static enum result
resolve(struct entry *e, struct completion_body *b)
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
    const struct completion_body *b, const struct call_terms *terms)
{
	struct completion *c = calloc(1, sizeof(*c));
	char labels[256] = "";

	if (c == NULL)
		abort();
	c->entry = e;
	c->model = strdup(b->model);
	c->rank = strdup(terms->rank);
	c->stream = b->stream != 0;
	c->text = evbuffer_new();
	c->started_us = clock_now(e->daemon->clock);
	c->tenant = strdup(terms->tenant ? terms->tenant : "");
	c->first_token_us = -1;
	metrics_label(labels, sizeof(labels), "rank", terms->rank);
	c->between_tokens = metrics_histogram(
	    e->daemon->metrics, "between_tokens_seconds", labels);
	c->caller = caller_create(
	    e->http, req, (size_t)e->settings.caller_backlog, on_gone, c);
	caller_count(c->caller, &e->open_callers);
	return c;
}

static void
start(struct entry *e, struct evhttp_request *req,
    const struct completion_body *b, const struct call_terms *terms)
{
	struct completion *c;
	size_t len = strlen(b->prompt);
	struct request_options o = {
		.target = b->target,
		.adapter = b->adapter,
		.rank = terms->rank,
		.tenant = terms->tenant,
		.repeatable = true,
		.deadline_us = terms->deadline_us,
		.prompt_tokens = (uint32_t)(len / BYTES_PER_TOKEN + 1),
		.max_tokens = (uint32_t)b->max_tokens,
		.prefix = XXH3_64bits(
		    b->prompt, len < PREFIX_BYTES ? len : PREFIX_BYTES),
		.body = b->prompt,
		.body_len = len,
		.chunk = on_chunk,
		.end = on_end,
	};

	if (!api_admit(e, req, &o))
		return;
	c = completion_create(e, req, b, terms);
	o.ctx = c;
	c->request = request_start(e->requests, &o);
	snprintf(c->id, sizeof(c->id), "cmpl-%s", request_id(c->request));
}

void
api_completions(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;
	struct completion_body b = { 0 };
	struct call_terms terms;
	const char *reason = entry_not_ready(e);
	enum result code;

	if (reason != NULL) {
		api_refuse(req, RESULT_NOT_READY, reason);
		return;
	}
	reason = parse_body(req, &b);
	if (reason != NULL) {
		api_refuse(req, RESULT_BAD_REQUEST, reason);
		goto out;
	}
	code = resolve(e, &b);
	if (code != RESULT_OK) {
		api_refuse(req, code, b.model);
		goto out;
	}
	if (api_read_terms(e, req, &terms) == -1)
		goto out;
	if (!api_offered(e, b.target, b.adapter, NULL, terms.rank)) {
		api_refuse(req, RESULT_NOT_OFFERED, b.model);
		goto out;
	}
	start(e, req, &b, &terms);

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
