/*
 * placement -- chooses the next change of a model's slots.
 *
 * The holder of the control lease calls it for each model.  From the fold, the
 * runners and the desired number of replicas it derives one step, for which the
 * caller appends a record.  A slot is taken back in two phases: it is released,
 * and freed only after its agent has confirmed that nothing of the model is
 * left, or after its VM has been removed for longer than the grace period.
 *
 * A pure policy.
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
	bool usable; /* may be assigned a slot */
	bool unreachable; /* its slots are to be substituted */
	bool leaving; /* its slots are to be released */
	bool removed; /* past the grace period: no confirmation is needed */
};

struct placement_model {
	const char *name;
	uint64_t memory; /* bytes */
	unsigned desired; /* replicas that serve; 0: not declared any more */
	unsigned max; /* bound on decided replicas */
};

enum placement_action {
	PLACEMENT_NOTHING,
	PLACEMENT_DECIDE, /* set the number of replicas */
	PLACEMENT_ASSIGN, /* create a slot at a runner */
	PLACEMENT_RELEASE, /* have a slot's agent unload the model */
	PLACEMENT_FREE, /* delete a released slot */
};

struct placement_step {
	enum placement_action action;
	unsigned replicas; /* PLACEMENT_DECIDE */
	const char *runner; /* PLACEMENT_ASSIGN */
	uint64_t slot; /* PLACEMENT_RELEASE and PLACEMENT_FREE */
};

/* Copies the array of runners, but not the strings that it points to. */
struct placement_fleet *placement_fleet_create(
    const struct control *, const struct placement_runner *, size_t count);
void placement_fleet_destroy(struct placement_fleet *);

/* Returns NULL for an unknown runner. */
const struct placement_runner *placement_fleet_find(
    const struct placement_fleet *, const char *id);

/*
 * Returns the next step of the model.  confirmed() returns whether the agent of
 * a slot has confirmed its release.
 */
struct placement_step placement_next(const struct control *,
    struct placement_fleet *, const struct placement_model *,
    bool (*confirmed)(void *ctx, uint64_t slot), void *ctx);

#endif
