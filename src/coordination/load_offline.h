/*
 * load_offline -- loads from the weight store while no log can be asked.
 *
 * Answers: all daemons lose the platform's store at once, and many of them have
 * models to load.  Each begins after a random while, so that it hears of the
 * others' loads from gateways, waits for another such while if as many are
 * under way as run at full speed, and pauses after a load of its own.
 *
 * A pure policy: the caller gives time and chance.
 */
#ifndef COORDINATION_LOAD_OFFLINE_H
#define COORDINATION_LOAD_OFFLINE_H

#include <stdbool.h>
#include <stdint.h>

struct load_offline {
	int64_t pause_us; /* after a load of its own */
	int64_t not_before_us; /* 0: the log answered last time */
	int64_t last_load_us;
	bool has_loaded;
	unsigned running; /* loads of all daemons, as gateways tell */
	int64_t report_us;
	bool has_report;
};

void load_offline_init(struct load_offline *, int64_t pause_us);
/* The log answers. */
void load_offline_end(struct load_offline *);
void load_offline_report(
    struct load_offline *, unsigned running, int64_t now_us);
/* chance: 0 to 1, drawn anew for each call. */
bool load_offline_allows(
    struct load_offline *, unsigned limit, double jitter, int64_t now_us);
/* One began. */
void load_offline_record(struct load_offline *, int64_t now_us);

#endif
