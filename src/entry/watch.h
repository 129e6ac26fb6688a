/*
 * watch -- changed declarations as JSON lines, from a version on.
 *
 * Each accepted change is one group of lines: an event for each declaration,
 * then a bookmark with the version that may be watched from next.  A watcher
 * that was cut off inside a group has its events again after the last bookmark.
 */
#ifndef ENTRY_WATCH_H
#define ENTRY_WATCH_H

#include <stdint.h>

#include "state/config.h"

struct entry;
struct evhttp_request;
struct watch_hub;

struct watch_hub *watch_hub_create(struct entry *);
void watch_hub_destroy(struct watch_hub *);

/* Takes in one declaration of an accepted change. */
void watch_hub_event(struct watch_hub *, const struct config_event *);
/*
 * Notes that a snapshot skips changes up to this version: what comes next holds
 * only their sum, so none may watch from a version before.
 */
void watch_hub_snapshot(struct watch_hub *, uint64_t version);

/*
 * Answers with the changes after `since`; kind -1 means all kinds.  A version
 * that the history no longer covers is refused with RESULT_GONE.
 */
void watch_begin(
    struct watch_hub *, struct evhttp_request *, int kind, uint64_t since);

/* Ends all watches; watchers go on at another entry. */
void watch_hub_finish(struct watch_hub *);

#endif
