/*
 * keyed_feed -- follows one keyed topic of the platform's store.
 *
 * Reads the newest record of each key, then the changes from there by long
 * poll.  Changes that come close together are read in one call.  After an
 * outage it goes on where it was; if those records are gone it reads all keys
 * again, and tells which ones were not there.
 */
#ifndef COORDINATION_KEYED_FEED_H
#define COORDINATION_KEYED_FEED_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/fleet.h"

struct keyed_feed;
struct process;

struct keyed_feed_options {
	struct process *process;
	const struct fleet_store_ops *ops;
	void *store;
	enum fleet_topic topic;
	const char *name; /* in log lines */
	int64_t poll_us; /* of a long poll */
	int64_t pause_us; /* between two reads, to gather changes */
	void (*record)(void *ctx, const struct fleet_record *);
	/* A reading of all keys begins; those not told until its end are gone.
	 */
	void (*snapshot_begin)(void *ctx);
	void (*snapshot_end)(void *ctx);
	void *ctx;
};

struct keyed_feed *keyed_feed_create(const struct keyed_feed_options *);
void keyed_feed_destroy(struct keyed_feed *);

/* Whether all keys have been read once. */
bool keyed_feed_complete(const struct keyed_feed *);
/* Start of the present contact with the store; -1 while there is none. */
int64_t keyed_feed_contact_since(const struct keyed_feed *);

#endif
