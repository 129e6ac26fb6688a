/*
 * load_window -- how many loads from the weight store began lately.
 *
 * Answers: many daemons that load at once when models wake, against a store
 * that allows so many loads in any window of time.  Loads are recorded in a log
 * before they begin; each daemon counts the records of the window.
 *
 * A pure policy.  Times are wall clocks of several daemons: a record counts for
 * `slack_us` longer than the window, and one from the future counts as well.
 */
#ifndef COORDINATION_LOAD_WINDOW_H
#define COORDINATION_LOAD_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_WINDOW_MAX 512

struct load_window {
	int64_t window_us;
	int64_t slack_us;
	unsigned limit; /* loads that may begin within the window */
	unsigned count;
	int64_t began_us[LOAD_WINDOW_MAX]; /* newest last */
};

/* rate: loads a second; overage: share above it; burst: loads besides. */
void load_window_init(struct load_window *, double rate, int64_t window_us,
    double overage, unsigned burst, int64_t slack_us);

/* A record of the log. */
void load_window_record(struct load_window *, int64_t began_us);

/* Whether one more may begin now, after all records so far. */
bool load_window_allows(struct load_window *, int64_t now_us);

#endif
