/*
 * lease -- one daemon's part in the lease of a control shard.
 *
 * Pure: the owner appends what it asks for and tells it what was read.  Time is
 * only for progress; what keeps two holders apart is the epoch, by which the
 * fold drops the records of all but the newest.
 */
#ifndef COORDINATION_LEASE_H
#define COORDINATION_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"
#include "state/control.h"

struct lease;

struct lease_options {
	const char *self; /* VM id */
	const char *address;
	int64_t term_us;
	int64_t drift_us; /* others wait so much longer than the term */
	int64_t now_us;
};

enum lease_step {
	LEASE_NOTHING,
	LEASE_CLAIM,
	LEASE_RENEW,
	LEASE_RESIGN,
};

struct lease *lease_create(const struct lease_options *);
void lease_destroy(struct lease *);

/*
 * The record to append now, filled in unless it is LEASE_NOTHING; it counts as
 * sent at `now`.  No other follows until lease_on_verdict().
 */
enum lease_step lease_next(struct lease *, const struct control_lease *,
    int64_t now_us, struct tm_control_record *);

/* The verdict of the last record; offset is 0 if it was not accepted. */
void lease_on_verdict(struct lease *, enum lease_step, uint64_t offset);

/* The fold has accepted a record of the lease. Returns true if ours is lost. */
bool lease_on_record(
    struct lease *, const struct control_lease *, int64_t now_us);

/* Whether this daemon holds it, by its own cautious count. */
bool lease_held(
    const struct lease *, const struct control_lease *, int64_t now_us);
uint64_t lease_epoch(const struct lease *);

/* Gives it up; never claims again. */
void lease_resign(struct lease *);

#endif
