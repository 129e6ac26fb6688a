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
#include "entry/entry.h"
#include "protocol/caller.h"

#define HISTORY_EVENTS_MAX 10000 /* kept for watches of older versions */
#define BOOKMARK_INTERVAL_US (5 * USEC_PER_SEC)
#define BOOKMARK_LINE_MAX 64 /* bytes, with the final 0 */

struct watch_event {
	uint64_t version;
	int kind; /* enum decl_kind */
	size_t len;
	char *line; /* with the final newline */
	TAILQ_ENTRY(watch_event) link;
};

struct watcher {
	struct watch_hub *hub;
	struct caller *caller;
	int kind; /* -1: all */
	uint64_t sent_version; /* changes up to it have been sent */
	LIST_ENTRY(watcher) link;
};

struct watch_hub {
	struct entry *entry;
	struct event *flush_event;
	struct event *bookmark_timer;
	TAILQ_HEAD(, watch_event) history;
	size_t event_count;
	size_t bytes;
	size_t max_bytes; /* lets a caller's backlog hold the whole history */
	uint64_t oldest_version; /* a watch may start from this or later */
	LIST_HEAD(, watcher) watchers;
	int64_t *watchers_gauge;
	uint64_t *too_old_count;
};

/* ---- history ---- */

static void
drop_oldest(struct watch_hub *hub)
{
	struct watch_event *event = TAILQ_FIRST(&hub->history);

	if (event->version > hub->oldest_version)
		hub->oldest_version = event->version;
	TAILQ_REMOVE(&hub->history, event, link);
	hub->event_count--;
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
watch_hub_add_event(struct watch_hub *hub, const struct config_event *event)
{
	struct watch_event *e = calloc(1, sizeof(*e));

	if (e == NULL)
		abort();
	/* Changes by a snapshot get the snapshot's version. */
	e->version = event->version < hub->oldest_version ? hub->oldest_version
							  : event->version;
	e->kind = (int)event->entry->kind;
	e->line = event_line(event);
	e->len = strlen(e->line);
	TAILQ_INSERT_TAIL(&hub->history, e, link);
	hub->event_count++;
	hub->bytes += e->len;
	event_active(hub->flush_event, 0, 0);
}

void
watch_hub_snapshot(struct watch_hub *hub, uint64_t version)
{
	hub->oldest_version = version;
	event_active(hub->flush_event, 0, 0);
}

/* ---- watchers ---- */

static void
watcher_free(struct watcher *w)
{
	LIST_REMOVE(w, link);
	(*w->hub->watchers_gauge)--;
	free(w);
}

static void
watcher_abort(struct watcher *w)
{
	caller_abort(w->caller);
	watcher_free(w);
}

static void
on_disconnected(void *ctx)
{
	watcher_abort(ctx);
}

static int
send_bookmark(struct watcher *w)
{
	char line[BOOKMARK_LINE_MAX];
	int len = snprintf(line, sizeof(line),
	    "{\"type\":\"bookmark\",\"version\":%" PRIu64 "}\n",
	    w->sent_version);

	return caller_reply_chunk(w->caller, line, (size_t)len);
}

static bool
matches(const struct watcher *w, const struct watch_event *e)
{
	return e->version > w->sent_version &&
	       (w->kind == -1 || w->kind == e->kind);
}

/*
 * Sends the changes after w->sent_version up to version, and a bookmark.
 * Returns -1 if the watcher reads too slowly; abort it then.
 */
static int
send_changes(struct watcher *w, uint64_t version)
{
	const struct watch_event *e;

	if (version <= w->sent_version)
		return 0;
	TAILQ_FOREACH(e, &w->hub->history, link) {
		if (matches(w, e) &&
		    caller_reply_chunk(w->caller, e->line, e->len) == -1)
			return -1;
	}
	w->sent_version = version;
	return send_bookmark(w);
}

static uint64_t
current_version(const struct watch_hub *hub)
{
	return config_version(store_config(hub->entry->daemon->store));
}

/* Runs once all declarations of a change have been folded. */
static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct watch_hub *hub = arg;
	uint64_t version = current_version(hub);
	struct watcher *w, *next;

	LIST_FOREACH_SAFE(w, &hub->watchers, link, next) {
		if (send_changes(w, version) == -1)
			watcher_abort(w);
	}
	while (hub->event_count > HISTORY_EVENTS_MAX ||
	       hub->bytes > hub->max_bytes)
		drop_oldest(hub);
}

/*
 * Bookmarks give idle watchers a newer version to resume from, and writing them
 * detects watchers that are disconnected.
 */
static void
on_bookmark_timer(evutil_socket_t fd, short what, void *arg)
{
	struct watch_hub *hub = arg;
	struct timeval tv = { BOOKMARK_INTERVAL_US / USEC_PER_SEC, 0 };
	struct watcher *w, *next;

	LIST_FOREACH_SAFE(w, &hub->watchers, link, next) {
		if (send_bookmark(w) == -1)
			watcher_abort(w);
	}
	evtimer_add(hub->bookmark_timer, &tv);
}

void
watch_begin(
    struct watch_hub *hub, struct evhttp_request *req, int kind, uint64_t since)
{
	struct watcher *w;

	if (since < hub->oldest_version) {
		(*hub->too_old_count)++;
		api_refuse(req, RESULT_GONE, NULL);
		return;
	}
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		abort();
	w->hub = hub;
	w->kind = kind;
	w->sent_version = since;
	w->caller = caller_create(hub->entry->http, req,
	    (size_t)hub->entry->settings.caller_backlog, on_disconnected, w);
	LIST_INSERT_HEAD(&hub->watchers, w, link);
	(*hub->watchers_gauge)++;
	caller_reply_start(w->caller, 200, "application/x-ndjson");
	if (send_bookmark(w) == -1 ||
	    send_changes(w, current_version(hub)) == -1)
		watcher_abort(w);
}

void
watch_hub_end_watches(struct watch_hub *hub)
{
	struct watcher *w, *next;

	LIST_FOREACH_SAFE(w, &hub->watchers, link, next) {
		caller_reply_end(w->caller);
		watcher_free(w);
	}
}

/* ---- creation and destruction ---- */

struct watch_hub *
watch_hub_create(struct entry *entry)
{
	struct watch_hub *hub = calloc(1, sizeof(*hub));
	struct timeval tv = { BOOKMARK_INTERVAL_US / USEC_PER_SEC, 0 };

	if (hub == NULL)
		abort();
	hub->entry = entry;
	hub->max_bytes = (size_t)entry->settings.caller_backlog / 2;
	TAILQ_INIT(&hub->history);
	LIST_INIT(&hub->watchers);
	hub->watchers_gauge =
	    metrics_gauge(entry->daemon->metrics, "watchers", "");
	hub->too_old_count = metrics_counter(
	    entry->daemon->metrics, "watches_too_old_total", "");
	hub->flush_event = event_new(entry->daemon->base, -1, 0, on_flush, hub);
	hub->bookmark_timer =
	    evtimer_new(entry->daemon->base, on_bookmark_timer, hub);
	if (hub->flush_event == NULL || hub->bookmark_timer == NULL)
		abort();
	evtimer_add(hub->bookmark_timer, &tv);
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
	while (hub->event_count > 0)
		drop_oldest(hub);
	event_free(hub->flush_event);
	event_free(hub->bookmark_timer);
	free(hub);
}
