/*
 * limit_meter -- keeps the limits that replicas name, and places the requests
 * of all gateways within them.
 *
 * A sidecar has one, for the replica beside it and for replicas without a
 * sidecar.  A limit is known from the answers that gateways get, and the newest
 * answer counts: one that names none ends the limit.
 *
 * Pure: the caller passes the time.
 */
#ifndef COORDINATION_LIMIT_METER_H
#define COORDINATION_LIMIT_METER_H

#include <stdbool.h>
#include <stdint.h>

struct limit_meter;

/* What an answer of a replica has said. */
struct limit_update {
	const char *replica; /* id */
	uint64_t born_ms; /* start of its incarnation */
	double per_s; /* requests a second, of all gateways; 0: no limit */
	int64_t seen_us; /* when the answer came */
};

struct limit_meter *limit_meter_create(int64_t now_us);
void limit_meter_destroy(struct limit_meter *);

/* Returns whether this changes the replica's limit. */
bool limit_meter_note(
    struct limit_meter *, const struct limit_update *, int64_t now_us);

/* The answer to a request for a place. */
struct limit_place {
	bool granted;
	int64_t at_us; /* when it may be sent, or the next one could be */
	struct limit_update newest; /* what is known of the replica now */
	bool changed; /* the update changed the replica's limit */
};

/*
 * Places a request to the replica of the update, which is noted first: now, or
 * at most ahead_us later; at any time if the replica has no limit.
 */
struct limit_place limit_meter_take(struct limit_meter *,
    const struct limit_update *, int64_t now_us, int64_t ahead_us);

/* Calls each() for every limit in force. */
void limit_meter_list(const struct limit_meter *,
    void (*each)(void *ctx, const struct limit_update *), void *ctx);

#endif
