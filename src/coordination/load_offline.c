#include "coordination/load_offline.h"

#include <string.h>

#include "common/clock.h"

/* Ten times what a gateway needs to hear of a load and tell of it. */
#define SPREAD_US (3 * USEC_PER_SEC)
/* Gateways tell with each want, several times a second. */
#define HEARD_KEEP_US (3 * USEC_PER_SEC)

void
load_offline_init(struct load_offline *l, int64_t pause_us)
{
	memset(l, 0, sizeof(*l));
	l->pause_us = pause_us;
}

void
load_offline_end(struct load_offline *l)
{
	l->from_us = 0;
}

void
load_offline_report(struct load_offline *l, unsigned under_way, int64_t now_us)
{
	l->under_way = under_way;
	l->heard_us = now_us;
	l->heard = true;
}

bool
load_offline_allows(
    struct load_offline *l, unsigned limit, double chance, int64_t now_us)
{
	if (l->from_us == 0)
		l->from_us = now_us + (int64_t)(chance * SPREAD_US);
	if (now_us < l->from_us)
		return false;
	if (l->heard && now_us - l->heard_us < HEARD_KEEP_US &&
	    l->under_way >= limit) {
		/* Those that wait must not all begin when one ends. */
		l->from_us = now_us + (int64_t)(chance * SPREAD_US);
		return false;
	}
	return !l->loaded || now_us - l->last_us >= l->pause_us;
}

void
load_offline_record(struct load_offline *l, int64_t now_us)
{
	l->last_us = now_us;
	l->loaded = true;
}
