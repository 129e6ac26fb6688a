#include "entry/watch.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>
#include <event2/event.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/metrics.h"
#include "coordination/store.h"
#include "entry/api_common.h"
#include "protocol/caller.h"
#include "entry/entry.h"

#define HISTORY_MAX 10000 /* events */
#define BOOKMARK_US (5 * USEC_PER_SEC)
#define BOOKMARK_LINE 64

struct watch_event {
	uint64_t version;
	int kind;
	size_t len;
	char *line;
	TAILQ_ENTRY(watch_event) link;
};

struct watcher {
	struct watch_hub *hub;
	struct caller *caller;
	int kind; /* -1: all */
	uint64_t sent; /* last version that was sent whole */
	LIST_ENTRY(watcher) link;
};

struct watch_hub {
	struct entry *entry;
	struct event *flush;
	struct event *tick;
	TAILQ_HEAD(, watch_event) history;
	size_t count;
	size_t bytes;
	size_t max_bytes; /* so that a new watcher can take it all */
	uint64_t floor; /* versions before this cannot be watched from */
	LIST_HEAD(, watcher) watchers;
	int64_t *gauge;
	uint64_t *gone;
};

/* ---- history ---- */

static void
drop_oldest(struct watch_hub *hub)
{
	struct watch_event *event = TAILQ_FIRST(&hub->history);

	if (event->version > hub->floor)
		hub->floor = event->version;
	TAILQ_REMOVE(&hub->history, event, link);
	hub->count--;
	hub->bytes -= event->len;
	free(event->line);
	free(event);
}

static char *
event_line(const struct config_event *event)
{
	const struct config_entry *entry = event->entry;
	json_t *doc = json_pack("{s:s,s:s,s:s,s:I}", "type",
	    event->deleted ? "deleted" : "changed", "kind",
	    decl_kind_name(entry->kind), "name", entry->name, "version",
	    (json_int_t)event->version);
	json_t *spec;
	char *text, *line = NULL;

	if (!event->deleted) {
		spec = json_loads(entry->body, JSON_DECODE_ANY, NULL);
		json_object_set_new(doc, "spec", spec ? spec : json_null());
	}
	text = json_dumps(doc, JSON_COMPACT);
	if (text == NULL || asprintf(&line, "%s\n", text) == -1)
		abort();
	free(text);
	json_decref(doc);
	return line;
}

void
watch_hub_event(struct watch_hub *hub, const struct config_event *event)
{
	struct watch_event *e = calloc(1, sizeof(*e));

	if (e == NULL)
		abort();
	/* A snapshot's changes are watched as one, at the snapshot's version.
	 */
	e->version = event->version < hub->floor ? hub->floor : event->version;
	e->kind = (int)event->entry->kind;
	e->line = event_line(event);
	e->len = strlen(e->line);
	TAILQ_INSERT_TAIL(&hub->history, e, link);
	hub->count++;
	hub->bytes += e->len;
	event_active(hub->flush, 0, 0);
}

void
watch_hub_skip(struct watch_hub *hub, uint64_t version)
{
	hub->floor = version;
	event_active(hub->flush, 0, 0);
}

/* ---- watchers ---- */

static void
watcher_free(struct watcher *w)
{
	LIST_REMOVE(w, link);
	(*w->hub->gauge)--;
	free(w);
}

static void
watcher_abort(struct watcher *w)
{
	caller_abort(w->caller);
	watcher_free(w);
}

static void
on_gone(void *ctx)
{
	watcher_abort(ctx);
}

static int
send_bookmark(struct watcher *w)
{
	char line[BOOKMARK_LINE];
	int len = snprintf(line, sizeof(line),
	    "{\"type\":\"bookmark\",\"version\":%" PRIu64 "}\n", w->sent);

	return caller_chunk(w->caller, line, (size_t)len);
}

static bool
wanted(const struct watcher *w, const struct watch_event *e)
{
	return e->version > w->sent && (w->kind == -1 || w->kind == e->kind);
}

/* Sends all later than w->sent, and the bookmark; -1 if it reads too slowly. */
static int
catch_up(struct watcher *w, uint64_t version)
{
	const struct watch_event *e;

	if (version <= w->sent)
		return 0;
	TAILQ_FOREACH(e, &w->hub->history, link) {
		if (wanted(w, e) &&
		    caller_chunk(w->caller, e->line, e->len) == -1)
			return -1;
	}
	w->sent = version;
	return send_bookmark(w);
}

static uint64_t
current_version(const struct watch_hub *hub)
{
	return config_version(store_config(hub->entry->daemon->store));
}

/* Runs once the whole change has been folded. */
static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct watch_hub *hub = arg;
	uint64_t version = current_version(hub);
	struct watcher *w, *next;

	LIST_FOREACH_SAFE(w, &hub->watchers, link, next) {
		if (catch_up(w, version) == -1)
			watcher_abort(w);
	}
	while (hub->count > HISTORY_MAX || hub->bytes > hub->max_bytes)
		drop_oldest(hub);
}

/* Bookmarks move idle watchers on, and find those that are gone. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct watch_hub *hub = arg;
	struct timeval tv = { BOOKMARK_US / USEC_PER_SEC, 0 };
	struct watcher *w, *next;

	LIST_FOREACH_SAFE(w, &hub->watchers, link, next) {
		if (send_bookmark(w) == -1)
			watcher_abort(w);
	}
	evtimer_add(hub->tick, &tv);
}

void
watch_begin(
    struct watch_hub *hub, struct evhttp_request *req, int kind, uint64_t since)
{
	struct watcher *w;

	if (since < hub->floor) {
		(*hub->gone)++;
		api_refuse(req, RESULT_GONE, NULL);
		return;
	}
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		abort();
	w->hub = hub;
	w->kind = kind;
	w->sent = since;
	w->caller = caller_create(hub->entry->http, req,
	    (size_t)hub->entry->settings.caller_backlog, on_gone, w);
	LIST_INSERT_HEAD(&hub->watchers, w, link);
	(*hub->gauge)++;
	caller_begin(w->caller, 200, "application/x-ndjson");
	if (send_bookmark(w) == -1 || catch_up(w, current_version(hub)) == -1)
		watcher_abort(w);
}

void
watch_hub_finish(struct watch_hub *hub)
{
	struct watcher *w, *next;

	LIST_FOREACH_SAFE(w, &hub->watchers, link, next) {
		caller_finish(w->caller);
		watcher_free(w);
	}
}

/* ---- life ---- */

struct watch_hub *
watch_hub_create(struct entry *entry)
{
	struct watch_hub *hub = calloc(1, sizeof(*hub));
	struct timeval tv = { BOOKMARK_US / USEC_PER_SEC, 0 };

	if (hub == NULL)
		abort();
	hub->entry = entry;
	hub->max_bytes = (size_t)entry->settings.caller_backlog / 2;
	TAILQ_INIT(&hub->history);
	LIST_INIT(&hub->watchers);
	hub->gauge = metrics_gauge(entry->daemon->metrics, "watchers", "");
	hub->gone = metrics_counter(
	    entry->daemon->metrics, "watches_too_old_total", "");
	hub->flush = event_new(entry->daemon->base, -1, 0, on_flush, hub);
	hub->tick = evtimer_new(entry->daemon->base, on_tick, hub);
	if (hub->flush == NULL || hub->tick == NULL)
		abort();
	evtimer_add(hub->tick, &tv);
	return hub;
}

void
watch_hub_destroy(struct watch_hub *hub)
{
	struct watcher *w, *next;

	if (hub == NULL)
		return;
	LIST_FOREACH_SAFE(w, &hub->watchers, link, next)
		watcher_abort(w);
	while (hub->count > 0)
		drop_oldest(hub);
	event_free(hub->flush);
	event_free(hub->tick);
	free(hub);
}
