/*
 * keyed_feed -- follows one keyed topic of the platform's store.
 *
 * Gateways read the deployment and the replicas with it, sidecars the
 * deployment.  It first reads a snapshot, the newest record of each key, then
 * the later records by long poll, with a pause in between so that several
 * changes arrive in one read.  After an outage it continues at its offset; if
 * those records have expired, it reads a snapshot again.
 *
 * A store that falls silent may swallow a read, or lose its answer, without
 * closing the connection, which shows only once the read times out.  Until then
 * the feed would miss all records.  Therefore a read that waits is checked by a
 * second one that does not wait: soon after its begin, since a silence swallows
 * the reads that begin in it at all daemons, and from then on at intervals.  If
 * another daemon has read further, the feed reads again at once.
 *
 * A store that comes back from a copy gives offsets out again.  Its answers
 * name a higher era then, and the feed reads a snapshot; late answers of an
 * older era change nothing.
 *
 * In a topic of large records, where only the newest one counts, a check reads
 * the end of the topic instead of its records, and leaves alone a read whose
 * answer is on its way; a feed that is several records behind reads a snapshot.
 * Such a feed can pause while the records arrive in another way.  Meanwhile it
 * only checks the end of the topic, and reads what does not arrive.
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
	void *store; /* client that ops->create() returned */
	enum fleet_topic topic;
	const char *name; /* in log lines */
	int64_t poll_us; /* longest wait of a read for new records */
	int64_t pause_us; /* between two reads, to combine changes */
	bool check; /* whether to check reads that wait */
	int64_t check_pause_us; /* between two checks; 0: only the first */
	bool newest_only; /* large records, of which only the newest counts */
	void (*record)(void *ctx, const struct fleet_record *);
	/*
	 * Run around the records of a snapshot; keys without a record in it
	 * have been deleted.  A snapshot that failed is begun again.
	 */
	void (*snapshot_begin)(void *ctx);
	void (*snapshot_end)(void *ctx);
	/* Runs when a read seems to have been swallowed; may be NULL. */
	void (*deaf)(void *ctx);
	void *ctx;
};

/* Starts to read.  Returns NULL if out of memory. */
struct keyed_feed *keyed_feed_create(const struct keyed_feed_options *);
/*
 * Destroy the store's client too before the event loop runs again, as a pending
 * read refers to the feed.
 */
void keyed_feed_destroy(struct keyed_feed *);

/* Whether a snapshot has been read to its end. */
bool keyed_feed_complete(const struct keyed_feed *);
/*
 * Another daemon has read up to this offset.  May start a read; at most
 * a few for each offset, as it may be of records that the store has lost.
 */
void keyed_feed_hint(struct keyed_feed *, uint64_t offset);

/* Changes check_pause_us, from the next check on. */
void keyed_feed_set_check_pause(struct keyed_feed *, int64_t us);

/* Reads again if a read is in progress: the store may have swallowed it. */
void keyed_feed_read_again(struct keyed_feed *);

/*
 * Pauses or goes on; only with newest_only, and check_pause_us above 0.  Gives
 * up a read in progress.
 */
void keyed_feed_pause(struct keyed_feed *, bool pause);
/*
 * The records before this offset have arrived in another way.  Gives up a read
 * of them.
 */
void keyed_feed_skip(struct keyed_feed *, uint64_t offset);
/* Whether an answer to a read is on its way, and a part has arrived. */
bool keyed_feed_receives(const struct keyed_feed *);

/* Offset of the next record to read. */
uint64_t keyed_feed_next_offset(const struct keyed_feed *);
/*
 * Since when the store has answered all reads (monotonic time); -1 if the last
 * one failed or none was answered yet.
 */
int64_t keyed_feed_contact_since(const struct keyed_feed *);

#endif
