/* Loads, unloads, state and journal of the engine stand-in. */
#include "standin/engine.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/event.h>

#include "standin/standin.h"
#include "transport/http_client.h"

#define MAX_IDLE 8 /* connections to the weight store */

/* A model, or an adapter of a model, in memory or being loaded. */
struct memory_item {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	enum engine_load_state state;
	uint64_t bytes;
	TAILQ_ENTRY(memory_item) link;
};

/* Where the weights of a model are cached; not listed: in the weight store. */
struct cache_entry {
	char model[ENGINE_NAME_MAX];
	enum engine_tier tier;
	TAILQ_ENTRY(cache_entry) link;
};

/* A load in progress, which ends with its timer or its fetch. */
struct load {
	struct engine_server *engine;
	struct memory_item *item;
	struct evhttp_request *req; /* NULL once the caller disconnected */
	struct event *timer;
};

static const char *const tier_names[] = { "remote", "disk", "memory" };
static const char *const state_names[] = { "loading", "loaded", "unloading" };

void
engine_init(struct engine_server *e)
{
	TAILQ_INIT(&e->items);
	TAILQ_INIT(&e->caches);
	TAILQ_INIT(&e->runs);
	e->loaded_time_updated_us = standin_now_us();
	e->next_event = 1;
}

int
engine_create_store_client(struct engine_server *e)
{
	struct http_client_options opts = {
		.base = e->base,
		.address = e->weights,
		.max_idle = MAX_IDLE,
	};

	if (e->weights == NULL)
		return 0;
	e->store = http_client_create(&opts);
	return e->store == NULL ? -1 : 0;
}

/* ---- caches ---- */

static struct cache_entry *
find_cache(struct engine_server *e, const char *model)
{
	struct cache_entry *c;

	TAILQ_FOREACH(c, &e->caches, link) {
		if (strcmp(c->model, model) == 0)
			return c;
	}
	return NULL;
}

static void
set_cache(struct engine_server *e, const char *model, enum engine_tier tier)
{
	struct cache_entry *c = find_cache(e, model);

	if (c == NULL) {
		c = calloc(1, sizeof(*c));
		if (c == NULL)
			abort();
		strlcpy(c->model, model, sizeof(c->model));
		TAILQ_INSERT_TAIL(&e->caches, c, link);
	}
	c->tier = tier;
}

void
engine_set_caches(struct engine_server *e, char *text)
{
	char *item, *tier;

	while ((item = strsep(&text, ",")) != NULL) {
		tier = strchr(item, '=');
		if (tier == NULL)
			continue;
		*tier++ = '\0';
		set_cache(e, item,
		    strcmp(tier, "memory") == 0 ? ENGINE_TIER_MEMORY
						: ENGINE_TIER_DISK);
	}
}

static enum engine_tier
get_tier(struct engine_server *e, const char *model)
{
	const struct cache_entry *c = find_cache(e, model);

	return c == NULL ? ENGINE_TIER_REMOTE : c->tier;
}

/* ---- loaded time ---- */

static bool
is_model_present(const struct engine_server *e)
{
	const struct memory_item *item;

	TAILQ_FOREACH(item, &e->items, link) {
		if (item->adapter[0] == '\0')
			return true;
	}
	return false;
}

void
engine_update_loaded_time(struct engine_server *e)
{
	int64_t now = standin_now_us();

	if (e->running > 0)
		e->busy_loaded_us += now - e->loaded_time_updated_us;
	else if (is_model_present(e))
		e->idle_loaded_us += now - e->loaded_time_updated_us;
	e->loaded_time_updated_us = now;
}

/* ---- items in memory ---- */

static struct memory_item *
find_item(struct engine_server *e, const char *model, const char *adapter)
{
	struct memory_item *item;

	TAILQ_FOREACH(item, &e->items, link) {
		if (strcmp(item->model, model) == 0 &&
		    strcmp(item->adapter, adapter) == 0)
			return item;
	}
	return NULL;
}

bool
engine_is_loaded(
    struct engine_server *e, const char *model, const char *adapter)
{
	const struct memory_item *item = find_item(e, model, "");

	if (item == NULL || item->state != ENGINE_LOADED)
		return false;
	if (adapter[0] == '\0')
		return true;
	item = find_item(e, model, adapter);
	return item != NULL && item->state == ENGINE_LOADED;
}

static void
remove_item(struct engine_server *e, struct memory_item *item)
{
	engine_update_loaded_time(e);
	e->memory_used -= item->bytes;
	TAILQ_REMOVE(&e->items, item, link);
	free(item);
}

static struct memory_item *
add_item(struct engine_server *e, const char *model, const char *adapter,
    uint64_t bytes)
{
	struct memory_item *item = calloc(1, sizeof(*item));

	if (item == NULL)
		abort();
	engine_update_loaded_time(e);
	strlcpy(item->model, model, sizeof(item->model));
	strlcpy(item->adapter, adapter, sizeof(item->adapter));
	item->bytes = bytes;
	item->state = ENGINE_LOADING;
	TAILQ_INSERT_TAIL(&e->items, item, link);
	e->memory_used += bytes;
	if (e->memory_used > e->peak_used)
		e->peak_used = e->memory_used;
	if (e->memory_used > e->memory_total)
		e->overcommits++;
	return item;
}

/* ---- loads ---- */

static void
reply_text(struct engine_server *e, struct evhttp_request *req, int code,
    const char *text)
{
	standin_reply(e->standin, req, code, json_pack("{s:s}", "text", text));
}

static void
on_load_disconnected(struct evhttp_connection *evcon, void *arg)
{
	struct load *l = arg;

	l->req = NULL;
}

static void
finish_load(struct load *l)
{
	struct engine_server *e = l->engine;
	struct evhttp_request *req = l->req;
	bool failed = e->fail_loads > 0;

	if (failed) {
		e->fail_loads--;
		remove_item(e, l->item);
	} else {
		l->item->state = ENGINE_LOADED;
		if (l->item->adapter[0] == '\0')
			set_cache(e, l->item->model, ENGINE_TIER_MEMORY);
	}
	event_free(l->timer);
	free(l);
	if (req == NULL)
		return;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), NULL, NULL);
	if (failed)
		reply_text(e, req, 409, "load failed");
	else
		reply_text(e, req, 200, "loaded");
}

static void
on_load_timer(evutil_socket_t fd, short what, void *arg)
{
	finish_load(arg);
}

static void
on_fetched(void *ctx, const struct http_response *resp)
{
	struct load *l = ctx;

	if (resp->status != HTTP_CALL_OK || resp->code != 200)
		l->engine->fail_loads++; /* finish_load() fails this load */
	finish_load(l);
}

static void
fetch_weights(struct load *l, int64_t base_ms)
{
	json_t *doc = json_pack("{s:s,s:s,s:I}", "model", l->item->model,
	    "adapter", l->item->adapter, "base_ms", (json_int_t)base_ms);
	char *text = json_dumps(doc, JSON_COMPACT);
	struct http_call_options call = {
		.method = EVHTTP_REQ_POST,
		.path = "/fetch",
		.body = text,
		.body_len = strlen(text),
		.on_done = on_fetched,
		.ctx = l,
	};

	http_client_call(l->engine->store, &call);
	free(text);
	json_decref(doc);
}

static void
start_load(struct engine_server *e, struct evhttp_request *req,
    const char *model, const char *adapter, uint64_t bytes)
{
	enum engine_tier tier = get_tier(e, model);
	struct load *l = calloc(1, sizeof(*l));
	int64_t ms = adapter[0] ? e->adapter_ms : e->load_ms[tier];
	struct timeval tv;

	if (l == NULL)
		abort();
	if (adapter[0])
		e->adapter_loads++;
	else
		e->loads++;
	l->engine = e;
	l->req = req;
	l->item = add_item(e, model, adapter, bytes);
	l->timer = evtimer_new(e->base, on_load_timer, l);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_load_disconnected, l);
	if (e->store != NULL && (adapter[0] || tier == ENGINE_TIER_REMOTE)) {
		fetch_weights(l, ms);
		return;
	}
	ms = (int64_t)((double)ms * e->slow);
	tv.tv_sec = ms / 1000;
	tv.tv_usec = ms % 1000 * 1000;
	evtimer_add(l->timer, &tv);
}

static void
handle_load(struct engine_server *e, struct evhttp_request *req,
    const char *model, const char *adapter, uint64_t bytes)
{
	const struct memory_item *item = find_item(e, model, adapter);

	if (item != NULL) {
		e->double_loads++;
		reply_text(e, req, 409, "held already");
		return;
	}
	if (adapter[0] && !engine_is_loaded(e, model, "")) {
		reply_text(e, req, 409, "the model is not loaded");
		return;
	}
	start_load(e, req, model, adapter, bytes);
}

static bool
has_adapter_item(struct engine_server *e, const char *model)
{
	const struct memory_item *item;

	TAILQ_FOREACH(item, &e->items, link) {
		if (strcmp(item->model, model) == 0 && item->adapter[0])
			return true;
	}
	return false;
}

static void
handle_unload(struct engine_server *e, struct evhttp_request *req,
    const char *model, const char *adapter)
{
	struct memory_item *item = find_item(e, model, adapter);

	if (item == NULL) {
		reply_text(e, req, 200, "not held");
		return;
	}
	if (item->state == ENGINE_LOADING ||
	    (adapter[0] == '\0' && has_adapter_item(e, model))) {
		reply_text(e, req, 409, "in use");
		return;
	}
	e->unloads++;
	remove_item(e, item);
	reply_text(e, req, 200, "unloaded");
}

void
engine_handle_order(struct engine_server *e, struct evhttp_request *req)
{
	json_t *doc = standin_body(req);
	const char *op = "", *model = "", *adapter = "";
	json_int_t bytes = 0, fence = 0;

	(void)json_unpack(doc, "{s:s,s:s,s?s,s?I,s?I}", "op", &op, "model",
	    &model, "adapter", &adapter, "bytes", &bytes, "fence", &fence);
	if (e->checks_fencing && (uint64_t)fence < e->highest_fence) {
		e->fenced++;
		reply_text(e, req, 412, "old fencing token");
		json_decref(doc);
		return;
	}
	if ((uint64_t)fence > e->highest_fence)
		e->highest_fence = (uint64_t)fence;
	if (strncmp(op, "load", 4) == 0)
		handle_load(e, req, model, adapter, (uint64_t)bytes);
	else
		handle_unload(e, req, model, adapter);
	json_decref(doc);
}

/* ---- reports ---- */

static unsigned
get_reported_running(struct engine_server *e)
{
	int64_t now = standin_now_us();

	if (now - e->reported_us >= e->lag_ms * 1000) {
		e->reported_us = now;
		e->reported_running = e->running;
	}
	return e->reported_running;
}

void
engine_handle_state(struct engine_server *e, struct evhttp_request *req)
{
	json_t *list = json_array(), *cached = json_array();
	const struct cache_entry *c;
	const struct memory_item *item;

	TAILQ_FOREACH(item, &e->items, link)
		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:s,s:I}", "model", item->model,
			      "adapter", item->adapter, "state",
			      state_names[item->state], "bytes",
			      (json_int_t)item->bytes));
	TAILQ_FOREACH(c, &e->caches, link)
		json_array_append_new(
		    cached, json_pack("{s:s,s:s,s:I}", "model", c->model,
				"tier", tier_names[c->tier], "load_us",
				(json_int_t)e->load_ms[c->tier] * 1000));
	standin_reply(e->standin, req, 200,
	    json_pack("{s:I,s:I,s:I,s:I,s:I,s:b,s:I,s:o,s:o}", "memory_total",
		(json_int_t)e->memory_total, "memory_used",
		(json_int_t)e->memory_used, "running",
		(json_int_t)get_reported_running(e), "max_batch",
		(json_int_t)e->max_batch, "tokens_per_sec",
		(json_int_t)(1000000 / (e->token_us ? e->token_us : 1)),
		"checks_fencing", e->checks_fencing, "remote_load_us",
		(json_int_t)e->load_ms[ENGINE_TIER_REMOTE] * 1000, "items",
		list, "cached", cached));
}

void
engine_handle_journal(struct engine_server *e, struct evhttp_request *req)
{
	engine_update_loaded_time(e);
	standin_reply(e->standin, req, 200,
	    json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,"
		      "s:I,s:I}",
		"memory_total", (json_int_t)e->memory_total, "peak_used",
		(json_int_t)e->peak_used, "loads", (json_int_t)e->loads,
		"unloads", (json_int_t)e->unloads, "adapter_loads",
		(json_int_t)e->adapter_loads, "overcommits",
		(json_int_t)e->overcommits, "fenced", (json_int_t)e->fenced,
		"double_loads", (json_int_t)e->double_loads, "started_runs",
		(json_int_t)e->started_runs, "repeated_runs",
		(json_int_t)e->repeated_runs, "tokens", (json_int_t)e->tokens,
		"cancelled", (json_int_t)e->cancelled, "crashes",
		(json_int_t)e->crashes, "idle_loaded_us",
		(json_int_t)e->idle_loaded_us, "busy_loaded_us",
		(json_int_t)e->busy_loaded_us));
}
