/*
 * scaling -- how many replicas of each model the demand calls for.
 *
 * Follows the demand that entries report by a fast and a slow moving average.
 * Grows at once towards where the fast one is heading, and shrinks only after
 * the demand has stayed low for a while.
 */
#ifndef COORDINATION_SCALING_H
#define COORDINATION_SCALING_H

#include <stdint.h>

#include "protocol/tm_xdr.h"

struct scaling;

struct scaling_options {
	int64_t shrink_us; /* low demand for so long before a replica goes */
	int64_t slow_wait_us; /* a longer wait asks for one more replica */
};

struct scaling_query {
	const char *model;
	unsigned min; /* at least 1 */
	unsigned max;
	uint32_t tokens_per_sec; /* of one replica; 0: unknown */
};

struct scaling *scaling_create(const struct scaling_options *);
void scaling_destroy(struct scaling *);

/* Takes in one entry's demand since its last report. */
void scaling_report(
    struct scaling *, const struct tm_demand_report *, int64_t now_us);

/* Replicas wanted now; starts from min for a model not asked about before. */
unsigned scaling_desired(
    struct scaling *, const struct scaling_query *, int64_t now_us);

#endif
