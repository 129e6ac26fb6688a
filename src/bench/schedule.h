/*
 * schedule -- all requests of a scenario, generated before the run.
 *
 * Arrival times do not depend on the answers, so that a slow answer does not
 * delay later requests and their latencies are measured in full (no coordinated
 * omission).  The same scenario, seed and number of entries give the same
 * schedule.
 */
#ifndef BENCH_SCHEDULE_H
#define BENCH_SCHEDULE_H

#include <stddef.h>
#include <stdint.h>

#include "bench/scenario.h"

struct arrival {
	int64_t at_us; /* since the start of the run */
	const struct flow *flow;
	const char *target; /* model or adapter; NULL: the flow's service */
	unsigned prompt_tokens;
	unsigned max_tokens;
	unsigned tenant; /* below the flow's tenants */
	unsigned entry; /* index of the entry to call */
	unsigned number; /* index in the schedule */
};

struct schedule {
	struct arrival *arrivals; /* in order of time */
	size_t count;
};

struct schedule *schedule_create(
    const struct scenario *, uint64_t seed, unsigned entries);
void schedule_destroy(struct schedule *);

#endif
