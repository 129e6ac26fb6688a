#include "transport/engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/buffer.h>
#include <jansson.h>

#include "common/json_bounded.h"
#include "transport/http_client.h"

#define MAX_IDLE_CONNECTIONS 64
#define TEXT_MAX 256 /* size of an error message, with the NUL */
/* Values in an engine's state, which lists each adapter that it has. */
#define STATE_VALUES_MAX 300000
#define LINE_VALUES_MAX 256 /* of a stream */
#define LINE_MAX_BYTES 65536
#define CANCEL_TIMEOUT_US 5000000 /* of the call that cancels a stream */

struct engine_http {
	struct http_client *http;
	int64_t state_timeout_us;
	int64_t order_timeout_us;
};

struct state_op {
	void (*done)(void *, const struct engine_state *);
	void *ctx;
};

struct pending_order {
	void (*done)(void *, enum engine_status, const char *);
	void *ctx;
};

struct engine_stream {
	struct http_call *call;
	char id[ENGINE_NAME_MAX];
	bool ended;
	struct engine_end end;
	char finish[32];
	char text[TEXT_MAX];
	void (*on_token)(void *, const struct engine_token *);
	void (*on_end)(void *, const struct engine_end *);
	void *ctx;
};

static json_t *
body_json(struct evbuffer *body)
{
	size_t len = evbuffer_get_length(body);

	return json_load_bounded(
	    (char *)evbuffer_pullup(body, -1), len, STATE_VALUES_MAX);
}

/* ---- state ---- */

static enum engine_load_state
load_state_parse(const char *name)
{
	if (strcmp(name, "loaded") == 0)
		return ENGINE_LOADED;
	if (strcmp(name, "unloading") == 0)
		return ENGINE_UNLOADING;
	return ENGINE_LOADING;
}

static enum engine_tier
tier_parse(const char *name)
{
	if (strcmp(name, "memory") == 0)
		return ENGINE_TIER_MEMORY;
	if (strcmp(name, "disk") == 0)
		return ENGINE_TIER_DISK;
	return ENGINE_TIER_REMOTE;
}

static size_t
parse_items(json_t *array, struct engine_item *items)
{
	size_t count = 0;
	json_t *doc;
	size_t i;

	json_array_foreach(array, i, doc)
	{
		const char *model, *adapter = "", *state;
		json_int_t bytes;

		if (json_unpack(doc, "{s:s,s?s,s:s,s:I}", "model", &model,
			"adapter", &adapter, "state", &state, "bytes",
			&bytes) == -1)
			continue;
		strlcpy(items[count].model, model, ENGINE_NAME_MAX);
		strlcpy(items[count].adapter, adapter, ENGINE_NAME_MAX);
		items[count].state = load_state_parse(state);
		items[count].bytes = (uint64_t)bytes;
		count++;
	}
	return count;
}

static size_t
parse_cached(json_t *array, struct engine_cached *cached)
{
	size_t count = 0;
	json_t *doc;
	size_t i;

	json_array_foreach(array, i, doc)
	{
		const char *model, *tier;
		json_int_t load_us;

		if (json_unpack(doc, "{s:s,s:s,s:I}", "model", &model, "tier",
			&tier, "load_us", &load_us) == -1)
			continue;
		strlcpy(cached[count].model, model, ENGINE_NAME_MAX);
		cached[count].tier = tier_parse(tier);
		cached[count].load_us = load_us;
		count++;
	}
	return count;
}

static void
deliver_state(const struct state_op *op, json_t *doc)
{
	json_t *items_doc = json_object_get(doc, "items");
	json_t *cached_doc = json_object_get(doc, "cached");
	struct engine_item *items =
	    calloc(json_array_size(items_doc) + 1, sizeof(*items));
	struct engine_cached *cached =
	    calloc(json_array_size(cached_doc) + 1, sizeof(*cached));
	struct engine_state st = { 0 };
	json_int_t total, used, running, batch, speed, remote;
	int fencing;

	if (items == NULL || cached == NULL)
		abort();
	if (json_unpack(doc, "{s:I,s:I,s:I,s:I,s:I,s:b,s:I}", "memory_total",
		&total, "memory_used", &used, "running", &running, "max_batch",
		&batch, "tokens_per_sec", &speed, "checks_fencing", &fencing,
		"remote_load_us", &remote) == -1) {
		op->done(op->ctx, NULL);
		goto out;
	}
	st.memory_total = (uint64_t)total;
	st.memory_used = (uint64_t)used;
	st.running = (unsigned)running;
	st.max_batch = (unsigned)batch;
	st.tokens_per_sec = (unsigned)speed;
	st.checks_fencing = fencing != 0;
	st.remote_load_us = remote;
	st.items = items;
	st.item_count = parse_items(items_doc, items);
	st.cached = cached;
	st.cached_count = parse_cached(cached_doc, cached);
	op->done(op->ctx, &st);

out:
	free(items);
	free(cached);
}

static void
on_state_response(void *arg, const struct http_response *resp)
{
	struct state_op *op = arg;
	json_t *doc = NULL;

	if (resp->status == HTTP_CALL_OK && resp->code == 200)
		doc = body_json(resp->body);
	if (doc == NULL)
		op->done(op->ctx, NULL);
	else
		deliver_state(op, doc);
	json_decref(doc);
	free(op);
}

static void
engine_state_get(
    void *priv, void (*done)(void *, const struct engine_state *), void *ctx)
{
	struct engine_http *engine = priv;
	struct state_op *op = calloc(1, sizeof(*op));
	struct http_call_options call = {
		.method = EVHTTP_REQ_GET,
		.path = "/engine/state",
		.timeout_us = engine->state_timeout_us,
		.on_done = on_state_response,
		.free_ctx = free,
		.ctx = op,
	};

	if (op == NULL)
		abort();
	op->done = done;
	op->ctx = ctx;
	http_client_call(engine->http, &call);
}

/* ---- orders ---- */

static enum engine_status
order_status(const struct http_response *resp)
{
	switch (resp->status) {
	case HTTP_CALL_NOT_SENT:
		return ENGINE_NOT_SENT;
	case HTTP_CALL_FAILED:
	case HTTP_CALL_TIMED_OUT:
		return ENGINE_LOST;
	case HTTP_CALL_OK:
		break;
	}
	if (resp->code == 200)
		return ENGINE_OK;
	if (resp->code == 412)
		return ENGINE_FENCED;
	/* 5xx: it failed while being executed, so its effect is not known. */
	return resp->code >= 500 ? ENGINE_LOST : ENGINE_REFUSED;
}

static void
on_order_response(void *arg, const struct http_response *resp)
{
	struct pending_order *op = arg;
	json_t *doc = NULL;
	const char *text = "";

	if (resp->status == HTTP_CALL_OK) {
		doc = body_json(resp->body);
		(void)json_unpack(doc, "{s:s}", "text", &text);
	}
	op->done(op->ctx, order_status(resp), text);
	json_decref(doc);
	free(op);
}

static void
engine_order_send(void *priv, const struct engine_order *order,
    void (*done)(void *, enum engine_status, const char *), void *ctx)
{
	static const char *const names[] = { "load", "unload", "load_adapter",
		"unload_adapter" };
	struct engine_http *engine = priv;
	struct pending_order *op = calloc(1, sizeof(*op));
	json_t *doc = json_pack("{s:s,s:s,s:s,s:I,s:I}", "op", names[order->op],
	    "model", order->model, "adapter",
	    order->adapter ? order->adapter : "", "bytes",
	    (json_int_t)order->bytes, "fence", (json_int_t)order->fence);
	char *text = json_dumps(doc, JSON_COMPACT);
	struct http_call_options call = {
		.method = EVHTTP_REQ_POST,
		.path = "/engine/orders",
		.content_type = "application/json",
		.timeout_us = engine->order_timeout_us,
		.on_done = on_order_response,
		.free_ctx = free,
		.ctx = op,
	};

	if (op == NULL || text == NULL)
		abort();
	op->done = done;
	op->ctx = ctx;
	call.body = text;
	call.body_len = strlen(text);
	http_client_call(engine->http, &call);
	free(text);
	json_decref(doc);
}

/* ---- generation ---- */

static void
handle_token(struct engine_stream *st, json_t *doc)
{
	struct engine_token token;
	const char *text;
	json_int_t index;

	if (json_unpack(doc, "{s:I,s:s}", "i", &index, "t", &text) == -1)
		return;
	token.index = (unsigned)index;
	token.text = text;
	token.len = strlen(text);
	st->on_token(st->ctx, &token);
}

static void
handle_end(struct engine_stream *st, json_t *doc)
{
	const char *finish = "stop";
	json_int_t tokens = 0, prompt = 0, cached = 0;

	(void)json_unpack(doc, "{s:I,s?I,s?I,s?s}", "done", &tokens, "prompt",
	    &prompt, "cached", &cached, "finish", &finish);
	strlcpy(st->finish, finish, sizeof(st->finish));
	st->ended = true;
	st->end.status = ENGINE_OK;
	st->end.tokens = (unsigned)tokens;
	st->end.prompt_tokens = (unsigned)prompt;
	st->end.cached_tokens = (unsigned)cached;
	st->end.finish = st->finish;
}

static void
on_stream_data(void *arg, struct evbuffer *in)
{
	struct engine_stream *st = arg;
	char *line;
	size_t len;

	while (!st->ended &&
	       (line = evbuffer_readln(in, &len, EVBUFFER_EOL_LF)) != NULL) {
		json_t *doc = json_load_bounded(line, len, LINE_VALUES_MAX);

		free(line);
		if (doc == NULL)
			continue;
		if (json_object_get(doc, "done") != NULL)
			handle_end(st, doc);
		else
			handle_token(st, doc);
		json_decref(doc);
	}
}

static enum engine_status
stream_status(const struct http_response *resp)
{
	if (resp->status == HTTP_CALL_NOT_SENT)
		return ENGINE_NOT_SENT;
	if (resp->status == HTTP_CALL_OK && resp->code >= 400 &&
	    resp->code < 500)
		return ENGINE_REFUSED;
	return ENGINE_LOST;
}

static void
on_stream_done(void *arg, const struct http_response *resp)
{
	struct engine_stream *st = arg;

	if (!st->ended) {
		st->end.status = stream_status(resp);
		st->end.conn_lost = http_response_conn_lost(resp);
		snprintf(st->text, sizeof(st->text),
		    "engine stream failed, HTTP status %d (0: none)",
		    resp->code);
		st->end.text = st->text;
	}
	st->on_end(st->ctx, &st->end);
	free(st);
}

static struct engine_stream *
engine_generate_start(void *priv, const struct engine_generate *gen,
    void (*on_token)(void *, const struct engine_token *),
    void (*on_end)(void *, const struct engine_end *), void *ctx)
{
	struct engine_http *engine = priv;
	struct engine_stream *st = calloc(1, sizeof(*st));
	json_t *doc = json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i}", "id", gen->id,
	    "model", gen->model, "adapter", gen->adapter ? gen->adapter : "",
	    "prompt", gen->prompt, "max_tokens", (int)gen->max_tokens,
	    "priority", gen->priority, "from", (int)gen->from);
	char *text = json_dumps(doc, JSON_COMPACT);
	struct http_call_options call = {
		.method = EVHTTP_REQ_POST,
		.path = "/engine/generate",
		.content_type = "application/json",
		.max_body = LINE_MAX_BYTES,
		.on_chunk = on_stream_data,
		.on_done = on_stream_done,
		.free_ctx = free,
		.ctx = st,
	};

	if (st == NULL || text == NULL)
		abort();
	strlcpy(st->id, gen->id, sizeof(st->id));
	st->on_token = on_token;
	st->on_end = on_end;
	st->ctx = ctx;
	call.body = text;
	call.body_len = strlen(text);
	st->call = http_client_call(engine->http, &call);
	free(text);
	json_decref(doc);
	return st;
}

struct cancel_op {
	void (*done)(void *ctx); /* NULL: none */
	void *ctx;
};

static void
on_cancelled(void *ctx, const struct http_response *resp)
{
	struct cancel_op *op = ctx;

	if (op->done != NULL)
		op->done(op->ctx);
	free(op);
}

static void
engine_pause(
    void *priv, struct engine_stream *st, void (*done)(void *), void *ctx)
{
	struct engine_http *engine = priv;
	struct cancel_op *op = calloc(1, sizeof(*op));
	char path[ENGINE_NAME_MAX + 32];
	struct http_call_options call = {
		.method = EVHTTP_REQ_DELETE,
		.path = path,
		.timeout_us = CANCEL_TIMEOUT_US,
		.on_done = on_cancelled,
		.free_ctx = free,
		.ctx = op,
	};

	if (op == NULL)
		abort();
	op->done = done;
	op->ctx = ctx;
	snprintf(path, sizeof(path), "/engine/streams/%s", st->id);
	st->ended = true; /* on_token() may have called this */
	http_call_cancel(st->call);
	http_client_call(engine->http, &call);
}

static void
engine_cancel(void *priv, struct engine_stream *st)
{
	engine_pause(priv, st, NULL, NULL);
}

static void
engine_destroy(void *priv)
{
	struct engine_http *engine = priv;

	if (engine == NULL)
		return;
	http_client_destroy(engine->http);
	free(engine);
}

static const struct engine_client_ops ops = {
	.state = engine_state_get,
	.order = engine_order_send,
	.generate = engine_generate_start,
	.cancel = engine_cancel,
	.pause = engine_pause,
	.destroy = engine_destroy,
};

int
engine_http_create(
    struct engine_client *client, const struct engine_http_options *opts)
{
	struct engine_http *engine = calloc(1, sizeof(*engine));
	struct http_client_options http = {
		.base = opts->base,
		.address = opts->address,
		.max_idle = MAX_IDLE_CONNECTIONS,
	};

	if (engine == NULL)
		return -1;
	engine->http = http_client_create(&http);
	if (engine->http == NULL) {
		free(engine);
		return -1;
	}
	engine->state_timeout_us = opts->state_timeout_us;
	engine->order_timeout_us = opts->order_timeout_us;
	client->ops = &ops;
	client->priv = engine;
	return 0;
}
