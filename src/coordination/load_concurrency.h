/*
 * load_concurrency -- how many loads from the weight store run side by side.
 *
 * Answers: many cold models at once, as after a loss of power.  The store
 * serves so many loads at full speed; one that begins beside more of them takes
 * longer in proportion, and keeps its replica from any other order meanwhile.
 * As soon all of them are done one after the other, and those that wait may
 * still be chosen by need.
 *
 * The capacity is learned from loads that took longer beside others than alone.
 * From loads that did not although the limit was reached, one more is tried,
 * but only a while after it was last learned what is too many.
 *
 * A pure policy.  Times are wall clocks of several daemons.
 */
#ifndef COORDINATION_LOAD_CONCURRENCY_H
#define COORDINATION_LOAD_CONCURRENCY_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_CONCURRENCY_MAX 64

struct load_concurrency {
	unsigned limit; /* loads that run at full speed, as far as known */
	int64_t learned_us; /* when a load last showed it; 0: none did */
	unsigned count;
	int64_t end_us[LOAD_CONCURRENCY_MAX]; /* of those that began */
};

void load_concurrency_init(struct load_concurrency *, unsigned limit);

/* Loads under way. */
unsigned load_concurrency_running(struct load_concurrency *, int64_t now_us);

/* Whether one more would run at full speed. */
bool load_concurrency_allows(struct load_concurrency *, int64_t now_us);

/* A load that takes load_us alone began; returns how many run now. */
unsigned load_concurrency_begin(
    struct load_concurrency *, int64_t began_us, int64_t load_us);

/* What another daemon knows, if it learned it later. */
void load_concurrency_adopt(
    struct load_concurrency *, unsigned limit, int64_t learned_us);

/* A load that began as one of `running` took took_us instead of load_us. */
void load_concurrency_learn(struct load_concurrency *, unsigned running,
    int64_t load_us, int64_t took_us, int64_t now_us);

#endif
