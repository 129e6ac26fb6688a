/*
 * load_permit -- permits to load from the weight store, by records in a topic
 * of the platform's store.
 *
 * The weight store limits how many loads begin within a window of time, and
 * slows down when too many run at once.  Before a load, a sidecar appends a
 * record to FLEET_STORE_LOADS, on condition that the topic ends where it has
 * read to, and only if load_window and load_concurrency allow one more load.
 * So all sidecars together stay within the limits without a lease.  A record
 * holds when the load began, how long it takes without concurrent loads, and
 * the writer's estimate of how many concurrent loads run at full speed.
 *
 * While the platform's store is unreachable, a sidecar starts at most one load
 * in offline_interval_us, and none while gateways report as many running loads
 * as run at full speed.
 */
#ifndef COORDINATION_LOAD_PERMIT_H
#define COORDINATION_LOAD_PERMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/fleet.h"

struct load_permit;
struct process;

struct load_permit_options {
	struct process *process;
	const struct fleet_store_ops *ops;
	void *store;
	int64_t window_us; /* of the weight store's limit */
	double overage; /* factor on the rate of loads within a window */
	int64_t offline_interval_us; /* between loads, store unreachable */
	unsigned initial_limit; /* concurrent loads at full speed, assumed */
	/* Called when a permit has been granted. */
	void (*granted)(void *ctx);
	void *ctx;
};

/* Returns NULL if out of memory. */
struct load_permit *load_permit_create(const struct load_permit_options *);
void load_permit_destroy(struct load_permit *);

/*
 * Requests a permit for one load; granted() is called once it may begin.  Call
 * it again while the need lasts: the request expires after a second.  rate:
 * loads a second; load_us: time of the load without concurrent ones.
 */
void load_permit_request(struct load_permit *, double rate, int64_t load_us);

/* Uses up the permit.  Returns false if none is held. */
bool load_permit_take(struct load_permit *);
/* Whether a permit is held that has not expired. */
bool load_permit_held(const struct load_permit *);

/*
 * Passes in what gateways report: the running loads, which count while the
 * store is unreachable, and how many concurrent loads run at full speed, with
 * the time of clock_common() when that was learned.
 */
void load_permit_update(
    struct load_permit *, unsigned running, unsigned limit, int64_t learned_us);
/* Concurrent loads at full speed, and when that was learned; 0: never. */
unsigned load_permit_limit(const struct load_permit *, int64_t *learned_us);

/* Running loads at the last grant, its own included; 0: not known. */
unsigned load_permit_concurrent(const struct load_permit *);
/* Updates the limit from the time that the last permit's load took. */
void load_permit_record_time(struct load_permit *, int64_t took_us);
/* Expected time of the load that began with the last permit. */
int64_t load_permit_expected_us(const struct load_permit *);

#endif
