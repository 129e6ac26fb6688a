/*
 * load_offline -- limits loads from the weight store while the platform's store
 * cannot be reached.
 *
 * Made for the case that all daemons lose the platform's store, and with it the
 * log of loads, while many of them have models to load.  Each daemon starts a
 * load after a random delay, in which gateways report the loads of the others.
 * It delays again while as many loads run as the weight store serves at full
 * speed, and pauses after a load of its own.
 *
 * A pure policy: the caller passes the time and random numbers.
 */
#ifndef COORDINATION_LOAD_OFFLINE_H
#define COORDINATION_LOAD_OFFLINE_H

#include <stdbool.h>
#include <stdint.h>

struct load_offline {
	int64_t interval_us; /* at least, between loads of this daemon */
	int64_t not_before_us; /* end of the random delay; 0: not offline */
	int64_t last_load_us; /* start of the last load, if has_loaded */
	bool has_loaded;
	unsigned running; /* loads of all daemons, by the last report */
	int64_t report_us; /* time of that report, if has_report */
	bool has_report;
};

/* Counts with a load that a predecessor has begun now. */
void load_offline_init(
    struct load_offline *, int64_t interval_us, int64_t now_us);
/* The platform's store was reached: ends the offline state. */
void load_offline_end(struct load_offline *);
/* Records a gateway's report of how many loads are running. */
void load_offline_report(
    struct load_offline *, unsigned running, int64_t now_us);
/*
 * Returns whether a load may start while offline.  The first call starts the
 * random delay.  limit: loads that run at full speed; jitter: random, 0 to 1, a
 * new one for each call.
 */
bool load_offline_allows(
    struct load_offline *, unsigned limit, double jitter, int64_t now_us);
/* Records the start of a load. */
void load_offline_record(struct load_offline *, int64_t now_us);

#endif
