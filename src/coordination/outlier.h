/*
 * outlier -- ejects replicas that fail requests, for a limited time.
 *
 * Made for replicas that pass their health check, but fail part of their
 * requests, hang or are unreachable.  Only the outcomes of requests count.  The
 * caller must use ejected replicas if there are no others.
 *
 * A pure policy: the caller passes the time.
 */
#ifndef COORDINATION_OUTLIER_H
#define COORDINATION_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

struct outlier {
	double failure_share; /* of requests, moving average */
	/* Failures since the last success, not counting OUTLIER_ERROR. */
	unsigned consecutive;
	unsigned ejections; /* without recovery in between */
	int64_t ejected_until_us;
};

/* Outcome of a request at a replica. */
enum outlier_kind {
	OUTLIER_OK,
	OUTLIER_ERROR, /* the replica answered with an error */
	OUTLIER_FAILED, /* no answer, or an incomplete one */
	OUTLIER_UNREACHABLE, /* no connection */
};

/* Records the outcome of a request; may eject the replica. */
void outlier_record(struct outlier *, enum outlier_kind, int64_t now_us);
/* Returns whether the replica is ejected now. */
bool outlier_ejected(const struct outlier *, int64_t now_us);

#endif
