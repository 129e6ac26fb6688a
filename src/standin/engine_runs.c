/* Runs (token generation) and cache events of the engine stand-in. */
#include "standin/engine.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <uthash.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/synthetic_text.h"
#include "standin/standin.h"

/* Callers can reconnect to an ended run, or resume a cancelled one, so long. */
#define ENDED_RUN_KEEP_US 30000000
#define PREFIX_BYTES 1024 /* bytes of a prompt that the cache compares */
#define PREFIXES_MAX 256
#define EVENTS_MAX 4096
#define BYTES_PER_TOKEN 4 /* of a prompt */

enum run_state {
	RUN_QUEUED,
	RUN_RUNNING,
	RUN_ENDED,
};

/* The generation of an answer. */
struct run {
	struct engine_server *engine;
	char id[ENGINE_NAME_MAX];
	char model[ENGINE_NAME_MAX];
	enum run_state state;
	int priority; /* lower is more urgent */
	unsigned max_tokens;
	unsigned prompt_tokens;
	unsigned cached_tokens; /* of the prompt */
	unsigned generated; /* tokens */
	unsigned sent; /* tokens sent to the attached caller */
	uint64_t seed; /* of synthetic_token() */
	struct evhttp_request *req; /* attached caller; NULL: none */
	bool reply_started;
	bool crashes; /* the engine, instead of its first token */
	bool cancelled; /* resumed by a generate request with the same id */
	struct event *timer;
	TAILQ_ENTRY(run) link;
};

/* The id of a request that started a run. */
struct seen_id {
	char id[ENGINE_NAME_MAX];
	UT_hash_handle hh;
};

/* A cached prompt prefix; the table's order is that of the last use. */
struct prefix {
	uint64_t hash;
	UT_hash_handle hh;
};

struct cache_event {
	uint64_t number;
	uint64_t hash;
	bool added;
};

static void schedule_runs(struct engine_server *);

static struct run *
find_run(struct engine_server *e, const char *id)
{
	struct run *r;

	TAILQ_FOREACH(r, &e->runs, link) {
		if (strcmp(r->id, id) == 0)
			return r;
	}
	return NULL;
}

static void
run_free(struct run *r)
{
	TAILQ_REMOVE(&r->engine->runs, r, link);
	if (r->req != NULL)
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(r->req), NULL, NULL);
	event_free(r->timer);
	free(r);
}

/* ---- prefix cache ---- */

static void
add_event(struct engine_server *e, uint64_t hash, bool added)
{
	struct cache_event *ev;

	if (e->events == NULL)
		e->events = calloc(EVENTS_MAX, sizeof(*e->events));
	if (e->events == NULL)
		abort();
	ev = &e->events[e->next_event % EVENTS_MAX];
	ev->number = e->next_event++;
	ev->hash = hash;
	ev->added = added;
	if (e->event_count < EVENTS_MAX)
		e->event_count++;
}

/*
 * Marks the prefix as the most recently used, and adds it if it is not cached;
 * the least recently used one is evicted if the cache is full.  Returns whether
 * the prefix was cached before.
 */
static bool
use_prefix(struct engine_server *e, uint64_t hash)
{
	struct prefix *p;

	HASH_FIND(hh, e->prefixes, &hash, sizeof(hash), p);
	if (p != NULL) {
		HASH_DEL(e->prefixes, p);
		HASH_ADD(hh, e->prefixes, hash, sizeof(p->hash), p);
		return true;
	}
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		abort();
	p->hash = hash;
	HASH_ADD(hh, e->prefixes, hash, sizeof(p->hash), p);
	add_event(e, hash, true);
	if (HASH_COUNT(e->prefixes) > PREFIXES_MAX) {
		struct prefix *oldest = e->prefixes;

		HASH_DEL(e->prefixes, oldest);
		add_event(e, oldest->hash, false);
		free(oldest);
	}
	return false;
}

void
engine_handle_events(struct engine_server *e, struct evhttp_request *req)
{
	uint64_t from = (uint64_t)standin_query(req, "from", 1);
	uint64_t oldest = e->next_event - e->event_count;
	json_t *list = json_array();

	for (uint64_t n = from < oldest ? oldest : from; n < e->next_event;
	     n++) {
		const struct cache_event *ev = &e->events[n % EVENTS_MAX];

		if (e->event_gap > 0 && n % (uint64_t)e->event_gap == 0)
			continue;
		json_array_append_new(list,
		    json_pack("{s:I,s:I,s:b}", "n", (json_int_t)n, "prefix",
			(json_int_t)(ev->hash >> 1), "added", ev->added));
	}
	standin_reply(e->standin, req, 200,
	    json_pack("{s:I,s:o}", "next", (json_int_t)e->next_event, "events",
		list));
}

/* ---- output ---- */

static void
on_caller_disconnected(struct evhttp_connection *evcon, void *arg)
{
	struct run *r = arg;

	r->req = NULL;
}

static void
send_line(struct run *r, json_t *doc)
{
	struct evbuffer *buf = evbuffer_new();
	char *text = json_dumps(doc, JSON_COMPACT);

	evbuffer_add_printf(buf, "%s\n", text);
	evhttp_send_reply_chunk(r->req, buf);
	evbuffer_free(buf);
	free(text);
	json_decref(doc);
}

/* Sends the tokens that the attached caller has not received yet. */
static void
send_pending(struct run *r)
{
	char text[SYNTHETIC_TOKEN_LEN + 1];

	if (r->req == NULL)
		return;
	if (!r->reply_started)
		evhttp_send_reply_start(r->req, 200, "OK");
	r->reply_started = true;
	while (r->req != NULL && r->sent < r->generated) {
		synthetic_token(text, r->seed, r->sent);
		send_line(
		    r, json_pack("{s:i,s:s}", "i", (int)r->sent, "t", text));
		r->sent++;
	}
	if (r->req == NULL || r->state != RUN_ENDED)
		return;
	send_line(r, json_pack("{s:i,s:i,s:i,s:s}", "done", (int)r->generated,
			 "prompt", (int)r->prompt_tokens, "cached",
			 (int)r->cached_tokens, "finish", "length"));
	if (r->req != NULL) {
		struct evhttp_request *req = r->req;

		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(req), NULL, NULL);
		r->req = NULL;
		evhttp_send_reply_end(req);
	}
}

/* ---- running ---- */

static void
add_timer(struct run *r, int64_t us)
{
	struct timeval tv = clock_timeval(us);

	evtimer_add(r->timer, &tv);
}

static void
end_run(struct run *r)
{
	struct engine_server *e = r->engine;

	engine_update_loaded_time(e);
	if (r->state == RUN_RUNNING)
		e->running--;
	r->state = RUN_ENDED;
	add_timer(r, ENDED_RUN_KEEP_US);
}

static void
on_restart(evutil_socket_t fd, short what, void *arg)
{
	struct engine_server *e = arg;

	e->crashed = false;
}

/* All runs are lost; the models stay in memory. */
static void
crash(struct engine_server *e)
{
	struct timeval tv = clock_timeval(e->crash_ms * USEC_PER_MSEC);
	struct run *r;

	e->crashed = true;
	e->crashes++;
	engine_update_loaded_time(e);
	e->running = 0;
	while ((r = TAILQ_FIRST(&e->runs)) != NULL) {
		struct evhttp_request *req = r->req;

		run_free(r);
		if (req != NULL)
			standin_drop(req);
	}
	if (e->restart_timer == NULL)
		e->restart_timer = evtimer_new(e->base, on_restart, e);
	evtimer_add(e->restart_timer, &tv);
}

static void
on_run_timer(evutil_socket_t fd, short what, void *arg)
{
	struct run *r = arg;
	struct engine_server *e = r->engine;

	if (r->state == RUN_ENDED) {
		run_free(r);
		return;
	}
	if (r->crashes) {
		crash(e);
		return;
	}
	r->generated++;
	e->tokens++;
	if (r->generated >= r->max_tokens && !e->endless)
		end_run(r);
	else
		add_timer(r, (int64_t)((double)e->token_us * e->slow));
	send_pending(r);
	schedule_runs(e);
}

static struct run *
next_queued_run(struct engine_server *e)
{
	struct run *r, *best = NULL;

	TAILQ_FOREACH(r, &e->runs, link) {
		if (r->state == RUN_QUEUED &&
		    (best == NULL || r->priority < best->priority))
			best = r;
	}
	return best;
}

static void
schedule_runs(struct engine_server *e)
{
	struct run *r;

	while (e->running < (unsigned)e->max_batch &&
	       (r = next_queued_run(e)) != NULL) {
		unsigned uncached = r->prompt_tokens - r->cached_tokens;

		engine_update_loaded_time(e);
		r->state = RUN_RUNNING;
		e->running++;
		add_timer(r,
		    (int64_t)((double)(e->token_us + uncached * e->prefill_us) *
			      e->slow));
	}
}

static void
count_repeat(struct engine_server *e, const char *id)
{
	struct seen_id *seen;

	HASH_FIND_STR(e->seen, id, seen);
	if (seen != NULL) {
		e->repeated_runs++;
		return;
	}
	seen = calloc(1, sizeof(*seen));
	if (seen == NULL)
		abort();
	strlcpy(seen->id, id, sizeof(seen->id));
	HASH_ADD_STR(e->seen, id, seen);
}

static struct run *
create_run(struct engine_server *e, const char *id, const char *prompt,
    int max_tokens, int priority)
{
	size_t len = strlen(prompt);
	struct run *r = calloc(1, sizeof(*r));
	uint64_t prefix =
	    XXH3_64bits(prompt, len < PREFIX_BYTES ? len : PREFIX_BYTES);

	if (r == NULL)
		abort();
	r->engine = e;
	strlcpy(r->id, id, sizeof(r->id));
	r->priority = priority;
	r->max_tokens = (unsigned)max_tokens;
	r->prompt_tokens = (unsigned)(len / BYTES_PER_TOKEN + 1);
	r->seed = synthetic_seed(prompt, len);
	r->crashes = e->crash_prompt[0] != '\0' &&
		     strstr(prompt, e->crash_prompt) != NULL;
	if (use_prefix(e, prefix))
		r->cached_tokens = r->prompt_tokens / 2;
	r->timer = evtimer_new(e->base, on_run_timer, r);
	TAILQ_INSERT_TAIL(&e->runs, r, link);
	e->started_runs++;
	count_repeat(e, id);
	return r;
}

static void
attach_caller(struct run *r, struct evhttp_request *req, unsigned from)
{
	if (r->req != NULL) {
		/* A new caller replaces the attached one. */
		struct evhttp_request *old = r->req;

		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(old), NULL, NULL);
		r->req = NULL;
		standin_drop(old);
	}
	r->req = req;
	r->reply_started = false;
	r->sent = from < r->generated ? from : r->generated;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_caller_disconnected, r);
}

void
engine_handle_generate(struct engine_server *e, struct evhttp_request *req)
{
	json_t *doc = standin_body(req);
	const char *id = "", *model = "", *adapter = "", *prompt = "";
	int max_tokens = 16, priority = 0, from = 0;
	struct run *r;

	(void)json_unpack(doc, "{s:s,s:s,s?s,s:s,s?i,s?i,s?i}", "id", &id,
	    "model", &model, "adapter", &adapter, "prompt", &prompt,
	    "max_tokens", &max_tokens, "priority", &priority, "from", &from);
	r = find_run(e, id);
	if (r == NULL && !engine_is_loaded(e, model, adapter)) {
		standin_reply(e->standin, req, 409,
		    json_pack("{s:s}", "text", "not loaded"));
		json_decref(doc);
		return;
	}
	if (r == NULL) {
		r = create_run(e, id, prompt, max_tokens, priority);
		strlcpy(r->model, model, sizeof(r->model));
	}
	if (r->cancelled) {
		r->cancelled = false;
		r->state = RUN_QUEUED;
		r->priority = priority;
		evtimer_del(r->timer);
	}
	attach_caller(r, req, (unsigned)from);
	schedule_runs(e);
	if (r->generated > 0)
		send_pending(r);
	json_decref(doc);
}

void
engine_handle_cancel(
    struct engine_server *e, struct evhttp_request *req, const char *id)
{
	struct run *r = find_run(e, id);

	if (r != NULL && r->state != RUN_ENDED) {
		e->cancelled++;
		r->cancelled = true;
		end_run(r);
		schedule_runs(e);
	}
	standin_reply(e->standin, req, 200, json_object());
}
