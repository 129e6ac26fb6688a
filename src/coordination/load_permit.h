/*
 * load_permit -- leave to load from the weight store, from the platform's log.
 *
 * A daemon appends a record on condition that the log ends where it has read
 * to, and only if the window and the concurrency allow one more: so all daemons
 * together stay within the ceiling, with no lease and no holder.  A record
 * tells when the load began, how long it takes alone, and how many loads at
 * once its writer knows of.  Where the store cannot be asked, a daemon loads
 * once in `offline_interval_us` at most, and waits while gateways tell of as
 * many loads as run at full speed.
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
	int64_t window_us;
	double overage;
	int64_t offline_interval_us;
	unsigned initial_limit; /* loads at once, until more is known */
	void (*granted)(void *ctx);
	void *ctx;
};

struct load_permit *load_permit_create(const struct load_permit_options *);
void load_permit_destroy(struct load_permit *);

/*
 * Asks for one load; granted() follows once it may begin.  rate: a second;
 * load_us: how long the load takes alone.
 */
void load_permit_request(struct load_permit *, double rate, int64_t load_us);

/* Whether a load may begin; takes the permit if so. */
bool load_permit_take(struct load_permit *);
/* Whether one could be taken. */
bool load_permit_held(const struct load_permit *);

/*
 * What gateways tell: how many loads are under way, and what others learned of
 * how many run at full speed.  Counts while the store cannot be asked.
 */
void load_permit_update(struct load_permit *, unsigned under_way,
    unsigned limit, int64_t learned_us);
unsigned load_permit_limit(const struct load_permit *, int64_t *learned_us);

/* Loads that ran when the permit was granted, with its own; 0: not known. */
unsigned load_permit_concurrent(const struct load_permit *);
/* The load of the last permit took so long. */
void load_permit_record_time(struct load_permit *, int64_t took_us);
/* How long a load takes that began with the last permit. */
int64_t load_permit_expected_us(const struct load_permit *);

#endif
