/*
 * watch -- streams changes of declarations as JSON lines, from a version on.
 *
 * Each accepted change is one group of lines: an event for each declaration,
 * then a bookmark with the version to watch from next.  A watcher that is
 * disconnected within a group watches again from its last bookmark and receives
 * the group's events again.
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

/* Adds one declaration of an accepted change to the history. */
void watch_hub_add_event(struct watch_hub *, const struct config_event *);
/*
 * Call before a snapshot at this version replaces the configuration.  Its
 * events hold only the sum of the changes up to the version, so that no watch
 * may start from an earlier one.
 */
void watch_hub_snapshot(struct watch_hub *, uint64_t version);

/*
 * Answers with the changes after version `since`; kind -1 means all kinds.
 * Refuses a version that the history no longer covers with RESULT_GONE.
 */
void watch_begin(
    struct watch_hub *, struct evhttp_request *, int kind, uint64_t since);

/* Ends all watches, for a stop; watchers can continue at another entry. */
void watch_hub_end_watches(struct watch_hub *);

#endif
