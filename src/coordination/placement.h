/*
 * placement -- the next step of a model's slots towards what is wanted.
 *
 * Pure: given the fold, the runners and the wanted replicas, names one record.
 * A slot moves in two phases: it is released, and freed only once its agent has
 * confirmed that nothing of the model is left, or its VM has been gone past the
 * grace.
 */
#ifndef COORDINATION_PLACEMENT_H
#define COORDINATION_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/control.h"

struct placement_fleet;

struct placement_runner {
	const char *id;
	const char *zone;
	uint64_t memory; /* bytes */
	bool usable; /* may be given a slot */
	bool unreachable; /* its slots should have a substitute */
	bool leaving; /* its slots should move away */
	bool removed; /* past the grace: its slots may be freed unasked */
};

struct placement_model {
	const char *name;
	uint64_t memory;
	unsigned desired; /* replicas that can serve; 0: undeclared */
	unsigned max; /* never decide more */
};

enum placement_action {
	PLACEMENT_NOTHING,
	PLACEMENT_DECIDE,
	PLACEMENT_ASSIGN,
	PLACEMENT_RELEASE,
	PLACEMENT_FREE,
};

struct placement_step {
	enum placement_action action;
	unsigned replicas; /* of a decision */
	const char *runner; /* of an assignment */
	uint64_t slot; /* of a release */
};

/* Copies the runners' array, but not what it points to. */
struct placement_fleet *placement_fleet_create(
    const struct control *, const struct placement_runner *, size_t count);
void placement_fleet_destroy(struct placement_fleet *);

/* NULL for a runner that nobody has seen. */
const struct placement_runner *placement_fleet_find(
    const struct placement_fleet *, const char *id);

/* confirmed() says whether a slot's agent has confirmed its release. */
struct placement_step placement_next(const struct control *,
    struct placement_fleet *, const struct placement_model *,
    bool (*confirmed)(void *ctx, uint64_t slot), void *ctx);

#endif
