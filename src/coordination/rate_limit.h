/*
 * rate_limit -- spaces requests to a replica that takes only so many a second.
 *
 * Made for a replica in need to which several gateways send at once: what each
 * of them sends is little, and their sum is too much.  One process, the meter,
 * places the requests of all gateways (struct rate_limit).  A gateway that
 * cannot reach the meter takes its turn by clock_common() (struct rate_share):
 * turns of different gateways do not coincide, so that what gathered at many
 * gateways is not sent at the same moment.
 *
 * A request is placed at most RATE_LIMIT_AHEAD_US ahead; further ones are
 * refused, and sent elsewhere.  For so long a restarted meter places nothing,
 * as what its predecessor has placed is still sent.
 *
 * Pure policies: the caller passes the time.
 */
#ifndef COORDINATION_RATE_LIMIT_H
#define COORDINATION_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

#define RATE_LIMIT_AHEAD_US (1500 * USEC_PER_MSEC)

struct rate_limit {
	double per_s; /* requests a second; 0: not set yet */
	int64_t next_us; /* when the next request is due */
};

/*
 * Sets or changes the limit, in requests a second; positive.  not_before_us: a
 * predecessor may have placed requests until then.
 */
void rate_limit_set(
    struct rate_limit *, double per_s, int64_t now_us, int64_t not_before_us);

/*
 * Places a request: returns true and when it may be sent, not before now, or
 * false and when the next one could be.
 */
bool rate_limit_take(
    struct rate_limit *, int64_t now_us, int64_t ahead_us, int64_t *at_us);

/* A gateway's turns; zero-initialized. */
struct rate_share {
	double per_s; /* of all gateways together */
	int64_t turn; /* number of the last turn that was used */
	unsigned used; /* requests placed in it */
};

/*
 * As rate_limit_take(), for the gateway with this index of so many gateways
 * that share the limit.  Times are of clock_common().
 */
bool rate_share_take(struct rate_share *, double per_s, unsigned gateways,
    uint64_t index, int64_t now_us, int64_t ahead_us, int64_t *at_us);

#endif
