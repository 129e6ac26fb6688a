/*
 * load_window -- limits the loads from the weight store in a time window.
 *
 * Made for many daemons that load models at the same time, from a store that
 * allows a number of loads in any window of time.  Each load is recorded in a
 * log before it starts; a daemon counts the records within the window.
 *
 * A pure policy.  Times are of clock_common() of several daemons: a record
 * counts for slack_us longer than the window, and one from the future counts
 * as well.
 */
#ifndef COORDINATION_LOAD_WINDOW_H
#define COORDINATION_LOAD_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_WINDOW_MAX 512 /* records that are kept; bounds the limit */

struct load_window {
	int64_t window_us;
	int64_t slack_us; /* between the clocks of daemons */
	unsigned limit; /* loads that may start within the window */
	unsigned count;
	int64_t began_us[LOAD_WINDOW_MAX]; /* in the order of the log */
};

/*
 * Sets the limit to rate (loads per second) times window_us times overage, plus
 * burst (loads).
 */
void load_window_init(struct load_window *, double rate, int64_t window_us,
    double overage, unsigned burst, int64_t slack_us);

/* Adds a record of the log. */
void load_window_record(struct load_window *, int64_t began_us);

/* Returns whether one more load may start now. */
bool load_window_allows(struct load_window *, int64_t now_us);

#endif
