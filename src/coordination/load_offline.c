#include "coordination/load_offline.h"

#include <string.h>

#include "common/clock.h"

/* Ten times the delay until gateways have reported a load to others. */
#define START_JITTER_US (3 * USEC_PER_SEC)
/* Gateways report with each load request, several times a second. */
#define REPORT_KEEP_US (3 * USEC_PER_SEC)

void
load_offline_init(struct load_offline *l, int64_t interval_us, int64_t now_us)
{
	memset(l, 0, sizeof(*l));
	l->interval_us = interval_us;
	load_offline_record(l, now_us);
}

void
load_offline_end(struct load_offline *l)
{
	l->not_before_us = 0;
}

void
load_offline_report(struct load_offline *l, unsigned running, int64_t now_us)
{
	l->running = running;
	l->report_us = now_us;
	l->has_report = true;
}

bool
load_offline_allows(
    struct load_offline *l, unsigned limit, double jitter, int64_t now_us)
{
	if (l->not_before_us == 0)
		l->not_before_us = now_us + (int64_t)(jitter * START_JITTER_US);
	if (now_us < l->not_before_us)
		return false;
	if (l->has_report && now_us - l->report_us < REPORT_KEEP_US &&
	    l->running >= limit) {
		/* Waiting daemons must not all start when a load ends. */
		l->not_before_us = now_us + (int64_t)(jitter * START_JITTER_US);
		return false;
	}
	return !l->has_loaded || now_us - l->last_load_us >= l->interval_us;
}

void
load_offline_record(struct load_offline *l, int64_t now_us)
{
	l->last_load_us = now_us;
	l->has_loaded = true;
}
