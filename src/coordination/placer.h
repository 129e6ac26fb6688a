/*
 * placer -- carries placement out while this daemon holds the shard.
 *
 * Watches which runners are there, asks agents to confirm releases, and appends
 * what placement and scaling name: one record a model at a time, many models at
 * once.
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
	int64_t removal_grace_us;
};

struct placer *placer_create(const struct placer_options *);
void placer_destroy(struct placer *);

/*
 * Forgets who was absent.  Call it while the lease is not held: then this
 * daemon is connected to a part of the runners only.
 */
void placer_reset_absences(struct placer *);

/* Appends the next steps; call it only while holding the lease. */
void placer_run(struct placer *, uint64_t epoch);

#endif
