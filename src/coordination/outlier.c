#include "coordination/outlier.h"

#include "common/clock.h"

#define FAILURE_WEIGHT 0.2 /* of the newest request in failure_share */
#define FAILURE_SHARE_MAX 0.5 /* ejects the replica */
/* Failures in a row that eject the replica, by the kind of the last one. */
#define UNREACHABLE_MAX 1 /* no connection, which costs a timeout */
#define CONSECUTIVE_MAX 3 /* any other */
#define EJECT_FIRST_US (1 * USEC_PER_SEC)
#define EJECT_DOUBLINGS_MAX 2 /* retried after 4 s at the latest */

static void
eject(struct outlier *o, int64_t now_us)
{
	unsigned doublings = o->ejections < EJECT_DOUBLINGS_MAX
				 ? o->ejections
				 : EJECT_DOUBLINGS_MAX;

	o->ejected_until_us = now_us + (EJECT_FIRST_US << doublings);
	o->ejections++;
	o->consecutive = 0;
	/* One more failure after the ejection ejects it again. */
	o->failure_share = FAILURE_SHARE_MAX - FAILURE_WEIGHT / 2;
}

void
outlier_record(struct outlier *o, enum outlier_kind kind, int64_t now_us)
{
	double failed = kind == OUTLIER_OK ? 0 : 1;

	o->failure_share += FAILURE_WEIGHT * (failed - o->failure_share);
	if (kind == OUTLIER_OK) {
		o->consecutive = 0;
		if (o->failure_share < FAILURE_WEIGHT)
			o->ejections = 0;
		return;
	}
	if (kind != OUTLIER_ERROR)
		o->consecutive++;
	if (outlier_ejected(o, now_us))
		return;
	if (o->failure_share >= FAILURE_SHARE_MAX ||
	    o->consecutive >= CONSECUTIVE_MAX ||
	    (kind == OUTLIER_UNREACHABLE && o->consecutive >= UNREACHABLE_MAX))
		eject(o, now_us);
}

bool
outlier_ejected(const struct outlier *o, int64_t now_us)
{
	return now_us < o->ejected_until_us;
}
