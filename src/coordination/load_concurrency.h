/*
 * load_concurrency -- limits how many loads from the weight store run at once.
 *
 * Made for many cold models at once, as after a power failure.  The store
 * serves a number of loads at full speed; beyond that each takes longer in
 * proportion, and its replica can take no other order meanwhile.  With a limit
 * all loads end as early, and those that wait can still be reordered.
 *
 * The limit is learned.  A load that took longer than it does without
 * concurrent loads sets it; one that did not, although the limit was reached,
 * raises it to one above the number of loads that ran, but only some time after
 * a slow load last set it.
 *
 * A pure policy.  Times are of clock_common() of several daemons.
 */
#ifndef COORDINATION_LOAD_CONCURRENCY_H
#define COORDINATION_LOAD_CONCURRENCY_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_CONCURRENCY_MAX 64 /* loads that are tracked; bounds the limit */

struct load_concurrency {
	unsigned limit; /* loads that run at full speed, as far as known */
	int64_t learned_us; /* when a slow load last set it; 0: never */
	unsigned count;
	int64_t end_us[LOAD_CONCURRENCY_MAX]; /* expected, of started loads */
};

void load_concurrency_init(struct load_concurrency *, unsigned limit);

/* Returns the number of running loads. */
unsigned load_concurrency_running(struct load_concurrency *, int64_t now_us);

/* Returns whether one more load would run at full speed. */
bool load_concurrency_allows(struct load_concurrency *, int64_t now_us);

/*
 * Records the start of a load that takes load_us without concurrent loads.
 * Returns the number of running loads, this one included.
 */
unsigned load_concurrency_begin(
    struct load_concurrency *, int64_t began_us, int64_t load_us);

/* Takes over the limit of another daemon if that was learned later. */
void load_concurrency_adopt(
    struct load_concurrency *, unsigned limit, int64_t learned_us);

/*
 * Updates the limit from a load that started as one of `running` loads while
 * `allowed` might run, took took_us and takes load_us without concurrent loads.
 */
void load_concurrency_learn(struct load_concurrency *, unsigned running,
    unsigned allowed, int64_t load_us, int64_t took_us, int64_t now_us);

#endif
