/*
 * quota_window -- limits an amount within any window of time.
 *
 * Counts in a ring of equal steps that covers the window and one step more, so
 * that no window holds more than the limit, but for one request that is larger
 * than the limit and comes when nothing else is counted.
 */
#ifndef COORDINATION_ACCOUNTS_QUOTA_WINDOW_H
#define COORDINATION_ACCOUNTS_QUOTA_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#define QUOTA_STEPS 32 /* of a window */

struct quota_window {
	double limit;
	int64_t window_us;
	int64_t step; /* number of the current one */
	double counts[QUOTA_STEPS + 1];
};

void quota_window_init(
    struct quota_window *, double limit, int64_t window_us, int64_t now_us);
/* Another window's length forgets nothing: what was counted counts as new. */
void quota_window_set(
    struct quota_window *, double limit, int64_t window_us, int64_t now_us);
/* What has been taken within the window. */
double quota_window_used(struct quota_window *, int64_t now_us);
/*
 * Takes the amount.  share: of the limit that may be used, 0 to 1.  Otherwise
 * returns false, and the time until enough leaves the window.
 */
bool quota_window_take(struct quota_window *, double amount, double share,
    int64_t now_us, int64_t *wait_us);
/* Takes back what was taken and not used; the oldest counts first. */
void quota_window_return(struct quota_window *, double amount, int64_t now_us);

#endif
