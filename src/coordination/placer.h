/*
 * placer -- carries out the placement of one control shard.
 *
 * Run by the holder at each tick while it has the lease.  Takes the fold, the
 * runners known to membership and the replica counts that scaling calls for;
 * placement chooses the next step of each model.  Appends these steps as
 * control records, one pending record a model, and asks agents to confirm
 * releases.
 */
#ifndef COORDINATION_PLACER_H
#define COORDINATION_PLACER_H

#include <stdbool.h>
#include <stdint.h>

struct clock;
struct membership;
struct placer;
struct scaling;
struct store;

struct placer_options {
	const struct clock *clock;
	struct store *store;
	struct membership *membership;
	struct scaling *scaling;
	uint32_t shard;
	/* Absence after which the slots of an unlisted VM are freed. */
	int64_t removal_grace_us;
};

struct placer *placer_create(const struct placer_options *);
void placer_destroy(struct placer *);

/*
 * Clears the absence times.  Call it while the lease is not held: then this
 * daemon is connected to a subset of the runners only.
 */
void placer_reset_absences(struct placer *);

/* Appends the next steps as records of `epoch`, that of the held lease. */
void placer_run(struct placer *, uint64_t epoch);

#endif
