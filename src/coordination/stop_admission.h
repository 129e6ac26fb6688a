/*
 * stop_admission -- whether a daemon that stops still passes a request on.
 *
 * A stopping gateway gets requests while load balancers send it new connections
 * and callers use kept ones, and must end when its grace is over.  What it has
 * passed on and cannot end by then is cut, and may have run.  It is refused
 * before instead: not run, so that the caller can go to another gateway.
 *
 * A pure policy over times that the caller measures, in microseconds.
 */
#ifndef COORDINATION_STOP_ADMISSION_H
#define COORDINATION_STOP_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

struct stop_request {
	int64_t left_us; /* until the daemon must have ended it */
	int64_t longest_us; /* until its deadline or its route's time-out */
	/* Within which nearly all such requests have ended; 0: not known. */
	int64_t likely_us;
	/* Its answer is a stream, whose length the time-out says little about.
	 */
	bool stream;
};

bool stop_admits(const struct stop_request *);

#endif
