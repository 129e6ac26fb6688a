/*
 * crash_records -- shares what gateways know of prompt parts that crash
 * replicas, through FLEET_CRASHES, a keyed topic of the store.
 *
 * The records have the keys
 *
 *	PART.INCARNATION	a loss; the value is a struct loss_value
 *	PART.trials		count of trials; the value is a struct
 *trials_value
 *
 * with PART and INCARNATION as 16 hexadecimal digits.  Deleted records clear
 * the part.  Records are sent in batches, again while the store is unreachable;
 * the newest are dropped if too many wait.
 */
#ifndef COORDINATION_CRASH_RECORDS_H
#define COORDINATION_CRASH_RECORDS_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/fleet.h"

struct crash_loss;
struct crash_records;
struct process;

/* Callbacks for the records of all gateways, this one's included. */
struct crash_records_options {
	struct process *process;
	const struct fleet_store_ops *ops;
	void *store; /* client that ops->create() returned */
	void (*lost)(void *ctx, const struct crash_loss *);
	void (*tried)(void *ctx, uint64_t part, unsigned trials);
	void (*cleared)(void *ctx, uint64_t part);
	/* Ends crash_records_claim(). */
	void (*claimed)(void *ctx, bool ok);
	void *ctx;
};

/* Returns NULL if out of memory. */
struct crash_records *crash_records_create(
    const struct crash_records_options *);
/* Destroy the store's client before the event loop runs again. */
void crash_records_destroy(struct crash_records *);

/* Sends what is due; call it on every tick. */
void crash_records_send(struct crash_records *);

void crash_records_add_loss(struct crash_records *, const struct crash_loss *);
/* Deletes the loss's record; not if that has been seen within delay_us. */
void crash_records_delete_loss(struct crash_records *, uint64_t part,
    uint64_t incarnation, int64_t delay_us);
void crash_records_delete_trials(struct crash_records *, uint64_t part);
/* Drops the part's losses that have not been sent. */
void crash_records_drop_losses(struct crash_records *, uint64_t part);

/*
 * Records the count of trials, if nothing has been recorded that this gateway
 * has not read: of several gateways one succeeds.  One claim at a time.
 */
void crash_records_claim(
    struct crash_records *, uint64_t part, unsigned trials);

/* Whether the store answered the last read. */
bool crash_records_reachable(const struct crash_records *);
/* As keyed_feed_read_again(). */
void crash_records_read_again(struct crash_records *);

#endif
