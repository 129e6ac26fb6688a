/*
 * scaling -- computes the desired number of replicas of each model.
 *
 * The holder of the control lease passes it the demand reports of entries and
 * queries each declared model.  A fast and a slow moving average follow the
 * demand in tokens per second.  Scales out at once, to the rate extrapolated
 * from both averages or by one replica on refusals and slow waits, and scales
 * in by one replica each time the demand has stayed low for shrink_us.
 *
 * A pure policy: the caller passes the time.
 */
#ifndef COORDINATION_SCALING_H
#define COORDINATION_SCALING_H

#include <stdint.h>

#include "protocol/tm_xdr.h"

struct scaling;

struct scaling_options {
	int64_t shrink_us; /* low demand that scales in by one replica */
	int64_t slow_wait_us; /* a longer wait scales out by one replica */
};

struct scaling_query {
	const char *model;
	unsigned min; /* at least 1 */
	unsigned max; /* at least min */
	uint32_t tokens_per_sec; /* of one replica; 0: unknown */
};

struct scaling *scaling_create(const struct scaling_options *);
void scaling_destroy(struct scaling *);

/* Adds the demand of one entry since its last report. */
void scaling_report(
    struct scaling *, const struct tm_demand_report *, int64_t now_us);

/* Returns the desired number of replicas; a new model starts with min. */
unsigned scaling_desired(
    struct scaling *, const struct scaling_query *, int64_t now_us);

#endif
