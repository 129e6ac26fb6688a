/*
 * lease -- one daemon's state machine for the lease of a control shard.
 *
 * Does no I/O: the caller appends the records that lease_next() returns, and
 * passes in their verdicts and the accepted records of all daemons.  Time only
 * decides when to claim and renew.  Safety rests on the epoch: the fold drops
 * the records of all holders but the newest.
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
	const char *address; /* RPC address of this daemon */
	int64_t term_us; /* length of the lease */
	int64_t drift_us; /* margin after another's term before a claim */
	int64_t now_us; /* time of creation */
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
 * Returns the step to take now, and fills in its record unless that is
 * LEASE_NOTHING.  The record counts as sent at now_us.  Returns LEASE_NOTHING
 * until lease_on_verdict() is called for it.
 */
enum lease_step lease_next(struct lease *, const struct control_lease *,
    int64_t now_us, struct tm_control_record *);

/* Passes in the last record's verdict; offset is 0 if it was not accepted. */
void lease_on_verdict(struct lease *, enum lease_step, uint64_t offset);

/*
 * Passes in the lease as of a newly accepted record.  Returns true if this
 * daemon has lost it to another.
 */
bool lease_on_record(
    struct lease *, const struct control_lease *, int64_t now_us);

/*
 * Whether this daemon holds the lease.  Its term counts from before the record
 * was sent, so it ends here before any other daemon may claim it.
 */
bool lease_held(
    const struct lease *, const struct control_lease *, int64_t now_us);
/* Epoch of this daemon's lease, also past its term; 0: none, or lost. */
uint64_t lease_epoch(const struct lease *);

/* Resigns the lease at the next step, and never claims it again. */
void lease_resign(struct lease *);

#endif
