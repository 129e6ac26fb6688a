/*
 * outlier -- takes replicas that fail requests out of use for a while.
 *
 * Answers: replicas that pass their health check and fail part of their
 * requests, hang, or are unreachable.  Only what requests show counts.  The
 * caller bounds the effect: where all replicas are ejected, none is.
 */
#ifndef COORDINATION_OUTLIER_H
#define COORDINATION_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

struct outlier {
	double failure_share; /* decaying share of failed requests */
	unsigned consecutive;
	unsigned ejections; /* in a row */
	int64_t ejected_until_us;
};

enum outlier_kind {
	OUTLIER_OK,
	OUTLIER_ERROR, /* the replica answered with an error */
	OUTLIER_FAILED, /* no answer, or a broken one */
	OUTLIER_UNREACHABLE, /* no connection */
};

void outlier_record(struct outlier *, enum outlier_kind, int64_t now_us);
bool outlier_ejected(const struct outlier *, int64_t now_us);

#endif
