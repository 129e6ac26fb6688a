#include "bench/shot.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>

#include "common/synthetic_text.h"
#include "common/clock.h"
#include "transport/http_client.h"

#define TIMEOUT_US (120 * USEC_PER_SEC)
#define PROMPT_TOKEN_LEN 4
#define HEADERS_MAX 6

struct shot {
	struct shot_options opts;
	int64_t due_us;
	int64_t last_token_us;
	char body[SHOT_BODY_MAX]; /* of a booking */
	uint64_t seed;
	unsigned tokens;
	struct evbuffer *in; /* no whole line yet; or a refusal's document */
	bool wrong_text;
	bool ended; /* the answer says that it is whole */
	bool error; /* the answer says that it is not */
};

/* ---- streams ---- */

static void
on_token(struct shot *shot, const char *text)
{
	const struct flow *flow = shot->opts.arrival->flow;
	int64_t now = clock_now(shot->opts.clock);
	char want[SYNTHETIC_TOKEN_LEN + 1];

	for (; *text != '\0'; text += SYNTHETIC_TOKEN_LEN) {
		synthetic_token(want, shot->seed, shot->tokens++);
		if (strncmp(text, want, SYNTHETIC_TOKEN_LEN) != 0) {
			shot->wrong_text = true;
			break;
		}
	}
	if (shot->last_token_us == 0)
		tally_first_token(
		    shot->opts.tally, flow->rank, now - shot->due_us);
	else
		tally_between_tokens(
		    shot->opts.tally, flow->rank, now - shot->last_token_us);
	shot->last_token_us = now;
}

static void
on_event(struct shot *shot, const char *text)
{
	json_t *doc = json_loads(text, 0, NULL), *choice;
	const char *token = NULL;

	choice = json_array_get(json_object_get(doc, "choices"), 0);
	(void)json_unpack(choice, "{s:s}", "text", &token);
	if (json_object_get(doc, "error") != NULL)
		shot->error = true;
	else if (token != NULL && token[0] != '\0')
		on_token(shot, token);
	json_decref(doc);
}

/* A line of an engine's own stream. */
static void
on_engine_line(struct shot *shot, const char *line)
{
	json_t *doc = json_loads(line, 0, NULL);
	const char *token = json_string_value(json_object_get(doc, "t"));

	if (token != NULL)
		on_token(shot, token);
	if (json_object_get(doc, "done") != NULL)
		shot->ended = true;
	json_decref(doc);
}

static void
on_line(struct shot *shot, const char *line)
{
	static const char data[] = "data: ";

	if (shot->opts.bare_engine) {
		on_engine_line(shot, line);
		return;
	}
	if (strncmp(line, data, sizeof(data) - 1) != 0)
		return;
	line += sizeof(data) - 1;
	if (strcmp(line, "[DONE]") == 0)
		shot->ended = true;
	else
		on_event(shot, line);
}

/* The connection keeps nothing that this leaves in its buffer. */
static void
on_chunk(void *ctx, struct evbuffer *in)
{
	struct shot *shot = ctx;
	char *line;

	evbuffer_add_buffer(shot->in, in);
	while (
	    (line = evbuffer_readln(shot->in, NULL, EVBUFFER_EOL_LF)) != NULL) {
		on_line(shot, line);
		free(line);
	}
}

/* ---- ends ---- */

/* Whole to the caller's eye, but not what was asked for. */
static bool
wrong_answer(const struct shot *shot)
{
	if (!shot->opts.check_text || shot->body[0] != '\0')
		return false;
	return shot->wrong_text ||
	       shot->tokens != shot->opts.arrival->max_tokens;
}

static enum shot_end
judge_refusal(const struct shot *shot, const struct http_response *resp,
    char code[TALLY_NAME_MAX])
{
	struct evbuffer *in = shot->body[0] == '\0' ? shot->in : resp->body;
	size_t len = evbuffer_get_length(in);
	json_t *doc = json_loadb((char *)evbuffer_pullup(in, -1), len, 0, NULL);
	const char *name = NULL, *outcome = "";
	enum shot_end end;

	(void)json_unpack(
	    doc, "{s?s,s?s}", "result", &name, "outcome", &outcome);
	if (name != NULL)
		strlcpy(code, name, TALLY_NAME_MAX);
	else
		snprintf(code, TALLY_NAME_MAX, "HTTP_%d", resp->code);
	end = strcmp(outcome, "not_run") == 0 ? SHOT_NOT_RUN : SHOT_UNKNOWN;
	json_decref(doc);
	return end;
}

static enum shot_end
judge(const struct shot *shot, const struct http_response *resp,
    char code[TALLY_NAME_MAX])
{
	bool booking = shot->body[0] != '\0';

	if (resp->status == HTTP_CALL_NOT_SENT) {
		strlcpy(code, "ENTRY_UNREACHABLE", TALLY_NAME_MAX);
		return SHOT_NOT_RUN;
	}
	if (resp->status != HTTP_CALL_OK) {
		strlcpy(code, "CONNECTION_LOST", TALLY_NAME_MAX);
		return shot->ended && !shot->error ? SHOT_SHORT : SHOT_BROKEN;
	}
	if (resp->code != 200)
		return judge_refusal(shot, resp, code);
	if (booking)
		return SHOT_ANSWERED;
	if (shot->error || !shot->ended) {
		strlcpy(code, "STREAM_ERROR", TALLY_NAME_MAX);
		return SHOT_BROKEN;
	}
	return wrong_answer(shot) ? SHOT_SHORT : SHOT_ANSWERED;
}

static void
on_done(void *ctx, const struct http_response *resp)
{
	struct shot *shot = ctx;
	const struct arrival *a = shot->opts.arrival;
	char code[TALLY_NAME_MAX] = "";
	enum shot_end end = judge(shot, resp, code);
	struct shot_result result = {
		.rank = a->flow->rank,
		.end = end,
		.code = code[0] != '\0' ? code : NULL,
		.due_us = a->at_us,
		.whole_us = clock_now(shot->opts.clock) - shot->due_us,
		.deadline_us = a->flow->deadline_ms * USEC_PER_MSEC,
		.tokens = shot->tokens,
	};

	tally_end(shot->opts.tally, &result);
	shot->opts.ended(shot->opts.ctx, shot->body, end);
	evbuffer_free(shot->in);
	free(shot);
}

/* ---- sending ---- */

static char *
make_prompt(const struct shot *shot)
{
	const struct arrival *a = shot->opts.arrival;
	size_t len = (size_t)a->prompt_tokens * PROMPT_TOKEN_LEN;
	char *prompt = calloc(1, len + 64);
	int n;

	if (prompt == NULL)
		abort();
	n = snprintf(prompt, 64, "%" PRIx64 " %u ", shot->opts.run, a->number);
	for (size_t i = (size_t)n; i < len; i++)
		prompt[i] = i % PROMPT_TOKEN_LEN == 0 ? ' ' : 'w';
	return prompt;
}

static void
call(struct shot *shot, const char *path, const char *key, const char *body)
{
	const struct flow *flow = shot->opts.arrival->flow;
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
		.on_chunk = shot->body[0] == '\0' ? on_chunk : NULL,
		.on_done = on_done,
		.on_drop = NULL,
		.ctx = shot,
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
	    tenant, sizeof(tenant), "tenant-%u", shot->opts.arrival->tenant);
	headers[n] = (struct http_header){ "Tenant", tenant };
	http_client_call(shot->opts.http, &options);
}

static void
send_completion(struct shot *shot)
{
	const struct arrival *a = shot->opts.arrival;
	bool bare = shot->opts.bare_engine;
	char *prompt = make_prompt(shot), id[64], *text;
	json_t *doc;

	shot->seed = synthetic_seed(prompt, strlen(prompt));
	doc = json_pack("{s:s,s:s,s:i}", "model", a->target, "prompt", prompt,
	    "max_tokens", (int)a->max_tokens);
	snprintf(
	    id, sizeof(id), "bare-%" PRIx64 "-%u", shot->opts.run, a->number);
	if (bare)
		json_object_set_new(doc, "id", json_string(id));
	else
		json_object_set_new(doc, "stream", json_true());
	text = json_dumps(doc, JSON_COMPACT);
	call(shot, bare ? "/engine/generate" : "/v1/completions", NULL, text);
	free(text);
	json_decref(doc);
	free(prompt);
}

static void
send_booking(struct shot *shot)
{
	const struct flow *flow = shot->opts.arrival->flow;
	char path[512];

	snprintf(shot->body, sizeof(shot->body), "{\"b\":\"%" PRIx64 "-%u\"}",
	    shot->opts.run, shot->opts.arrival->number);
	snprintf(
	    path, sizeof(path), "/services/%s%s", flow->service, flow->path);
	call(shot, path, flow->keys ? shot->body : NULL, shot->body);
}

void
shot_fire(const struct shot_options *opts)
{
	struct shot *shot = calloc(1, sizeof(*shot));

	if (shot == NULL)
		abort();
	shot->opts = *opts;
	shot->in = evbuffer_new();
	if (shot->in == NULL)
		abort();
	shot->due_us = opts->start_us + opts->arrival->at_us;
	tally_sent(opts->tally, opts->arrival->flow->rank);
	if (opts->arrival->target != NULL)
		send_completion(shot);
	else
		send_booking(shot);
}
