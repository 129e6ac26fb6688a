#include "bench/bench_request.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/synthetic_text.h"
#include "transport/http_client.h"

#define TIMEOUT_US (120 * USEC_PER_SEC)
#define PROMPT_TOKEN_LEN 4 /* bytes, as the engine stand-in counts tokens */
#define HEADERS_MAX 6

struct bench_request {
	struct bench_request_options opts;
	int64_t due_us; /* scheduled time, on the clock */
	int64_t last_token_us; /* 0: no token yet */
	char body[BENCH_BODY_MAX]; /* of a booking; "": a completion */
	uint64_t seed; /* of synthetic_token() */
	unsigned tokens; /* received */
	struct evbuffer *in; /* an incomplete line, or a refusal's body */
	bool wrong_text;
	bool complete; /* the stream has sent its end marker */
	bool error; /* the stream has sent an error */
};

/* ---- streams ---- */

static void
on_token(struct bench_request *req, const char *text)
{
	const struct flow *flow = req->opts.arrival->flow;
	int64_t now = clock_now(req->opts.clock);
	char expected[SYNTHETIC_TOKEN_LEN + 1];

	for (; *text != '\0'; text += SYNTHETIC_TOKEN_LEN) {
		synthetic_token(expected, req->seed, req->tokens++);
		if (strncmp(text, expected, SYNTHETIC_TOKEN_LEN) != 0) {
			req->wrong_text = true;
			break;
		}
	}
	if (req->last_token_us == 0)
		stats_add_first_token(
		    req->opts.stats, flow->rank, now - req->due_us);
	else
		stats_add_between_tokens(
		    req->opts.stats, flow->rank, now - req->last_token_us);
	req->last_token_us = now;
}

static void
on_event(struct bench_request *req, const char *text)
{
	json_t *doc = json_loads(text, 0, NULL), *choice;
	const char *token = NULL;

	choice = json_array_get(json_object_get(doc, "choices"), 0);
	(void)json_unpack(choice, "{s:s}", "text", &token);
	if (json_object_get(doc, "error") != NULL)
		req->error = true;
	else if (token != NULL && token[0] != '\0')
		on_token(req, token);
	json_decref(doc);
}

/* Handles a line of an engine that is called directly. */
static void
on_engine_line(struct bench_request *req, const char *line)
{
	json_t *doc = json_loads(line, 0, NULL);
	const char *token = json_string_value(json_object_get(doc, "t"));

	if (token != NULL)
		on_token(req, token);
	if (json_object_get(doc, "done") != NULL)
		req->complete = true;
	json_decref(doc);
}

static void
on_line(struct bench_request *req, const char *line)
{
	static const char data[] = "data: ";

	if (req->opts.bare_engine) {
		on_engine_line(req, line);
		return;
	}
	if (strncmp(line, data, sizeof(data) - 1) != 0)
		return;
	line += sizeof(data) - 1;
	if (strcmp(line, "[DONE]") == 0)
		req->complete = true;
	else
		on_event(req, line);
}

/* The HTTP client discards what stays in `in`, so it is moved to req->in. */
static void
on_chunk(void *ctx, struct evbuffer *in)
{
	struct bench_request *req = ctx;
	char *line;

	evbuffer_add_buffer(req->in, in);
	while (
	    (line = evbuffer_readln(req->in, NULL, EVBUFFER_EOL_LF)) != NULL) {
		on_line(req, line);
		free(line);
	}
}

/* ---- outcomes ---- */

/* Whether a stream that ended regularly has wrong tokens or too few of them. */
static bool
is_wrong_answer(const struct bench_request *req)
{
	if (!req->opts.check_text || req->body[0] != '\0')
		return false;
	return req->wrong_text || req->tokens != req->opts.arrival->max_tokens;
}

static enum bench_outcome
get_refusal_outcome(const struct bench_request *req,
    const struct http_response *resp, char code[STATS_NAME_MAX])
{
	struct evbuffer *in = req->body[0] == '\0' ? req->in : resp->body;
	size_t len = evbuffer_get_length(in);
	json_t *doc = json_loadb((char *)evbuffer_pullup(in, -1), len, 0, NULL);
	const char *name = NULL, *outcome_text = "";
	enum bench_outcome outcome;

	(void)json_unpack(
	    doc, "{s?s,s?s}", "result", &name, "outcome", &outcome_text);
	if (name != NULL)
		strlcpy(code, name, STATS_NAME_MAX);
	else
		snprintf(code, STATS_NAME_MAX, "HTTP_%d", resp->code);
	outcome = strcmp(outcome_text, "not_run") == 0 ? BENCH_NOT_RUN
						       : BENCH_UNKNOWN;
	json_decref(doc);
	return outcome;
}

static enum bench_outcome
get_outcome(const struct bench_request *req, const struct http_response *resp,
    char code[STATS_NAME_MAX])
{
	bool booking = req->body[0] != '\0';

	if (resp->status == HTTP_CALL_NOT_SENT) {
		strlcpy(code, "ENTRY_UNREACHABLE", STATS_NAME_MAX);
		return BENCH_NOT_RUN;
	}
	if (resp->status != HTTP_CALL_OK) {
		strlcpy(code, "CONNECTION_LOST", STATS_NAME_MAX);
		return req->complete && !req->error ? BENCH_SHORT
						    : BENCH_BROKEN;
	}
	if (resp->code != 200)
		return get_refusal_outcome(req, resp, code);
	if (booking)
		return BENCH_ANSWERED;
	if (req->error || !req->complete) {
		strlcpy(code, "STREAM_ERROR", STATS_NAME_MAX);
		return BENCH_BROKEN;
	}
	return is_wrong_answer(req) ? BENCH_SHORT : BENCH_ANSWERED;
}

static void
on_done(void *ctx, const struct http_response *resp)
{
	struct bench_request *req = ctx;
	const struct arrival *a = req->opts.arrival;
	char code[STATS_NAME_MAX] = "";
	enum bench_outcome outcome = get_outcome(req, resp, code);
	struct bench_result result = {
		.rank = a->flow->rank,
		.outcome = outcome,
		.code = code[0] != '\0' ? code : NULL,
		.due_us = a->at_us,
		.latency_us = clock_now(req->opts.clock) - req->due_us,
		.deadline_us = a->flow->deadline_ms * USEC_PER_MSEC,
		.tokens = req->tokens,
	};

	stats_add_result(req->opts.stats, &result);
	req->opts.on_done(req->opts.ctx, req->body, outcome);
	evbuffer_free(req->in);
	free(req);
}

/* ---- sending ---- */

static char *
create_prompt(const struct bench_request *req)
{
	const struct arrival *a = req->opts.arrival;
	size_t len = (size_t)a->prompt_tokens * PROMPT_TOKEN_LEN;
	char *prompt = calloc(1, len + 64);
	int n;

	if (prompt == NULL)
		abort();
	n = snprintf(
	    prompt, 64, "%" PRIx64 " %u ", req->opts.run_id, a->number);
	for (size_t i = (size_t)n; i < len; i++)
		prompt[i] = i % PROMPT_TOKEN_LEN == 0 ? ' ' : 'w';
	return prompt;
}

static void
send_call(struct bench_request *req, const char *path, const char *key,
    const char *body)
{
	const struct flow *flow = req->opts.arrival->flow;
	struct http_header headers[HEADERS_MAX] = { { NULL, NULL } };
	char deadline[32], tenant[32];
	int n = 0;
	struct http_call_options options = {
		.method = EVHTTP_REQ_POST,
		.path = path,
		.headers = headers,
		.content_type = "application/json",
		.body = body,
		.body_len = strlen(body),
		.timeout_us = TIMEOUT_US,
		.on_chunk = req->body[0] == '\0' ? on_chunk : NULL,
		.on_done = on_done,
		.free_ctx = NULL,
		.ctx = req,
	};

	if (flow->rank != NULL)
		headers[n++] = (struct http_header){ "Rank", flow->rank };
	if (key != NULL)
		headers[n++] = (struct http_header){ "Idempotency-Key", key };
	if (flow->deadline_ms > 0) {
		snprintf(
		    deadline, sizeof(deadline), "%" PRId64, flow->deadline_ms);
		headers[n++] = (struct http_header){ "Deadline-Ms", deadline };
	}
	snprintf(
	    tenant, sizeof(tenant), "tenant-%u", req->opts.arrival->tenant);
	headers[n] = (struct http_header){ "Tenant", tenant };
	http_client_call(req->opts.http, &options);
}

static void
send_completion(struct bench_request *req)
{
	const struct arrival *a = req->opts.arrival;
	bool bare = req->opts.bare_engine;
	char *prompt = create_prompt(req), id[64], *text;
	json_t *doc;

	req->seed = synthetic_seed(prompt, strlen(prompt));
	doc = json_pack("{s:s,s:s,s:i}", "model", a->target, "prompt", prompt,
	    "max_tokens", (int)a->max_tokens);
	snprintf(
	    id, sizeof(id), "bare-%" PRIx64 "-%u", req->opts.run_id, a->number);
	if (bare)
		json_object_set_new(doc, "id", json_string(id));
	else
		json_object_set_new(doc, "stream", json_true());
	text = json_dumps(doc, JSON_COMPACT);
	send_call(
	    req, bare ? "/engine/generate" : "/v1/completions", NULL, text);
	free(text);
	json_decref(doc);
	free(prompt);
}

static void
send_booking(struct bench_request *req)
{
	const struct flow *flow = req->opts.arrival->flow;
	char path[512];

	snprintf(req->body, sizeof(req->body), "{\"b\":\"%" PRIx64 "-%u\"}",
	    req->opts.run_id, req->opts.arrival->number);
	snprintf(
	    path, sizeof(path), "/services/%s%s", flow->service, flow->path);
	send_call(
	    req, path, flow->idempotency_keys ? req->body : NULL, req->body);
}

void
bench_request_send(const struct bench_request_options *opts)
{
	struct bench_request *req = calloc(1, sizeof(*req));

	if (req == NULL)
		abort();
	req->opts = *opts;
	req->in = evbuffer_new();
	if (req->in == NULL)
		abort();
	req->due_us = opts->start_us + opts->arrival->at_us;
	stats_add_sent(opts->stats, opts->arrival->flow->rank);
	if (opts->arrival->target != NULL)
		send_completion(req);
	else
		send_booking(req);
}
