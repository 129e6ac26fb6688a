/*
 * spares -- names the loaded models that another replica has loaded too.
 *
 * Gateways report them to the sidecars, which know only their own replica: a
 * spare is evicted before the last copy of another model, whose next request
 * would wait for a load.  Made for more models in use than fit into the memory
 * of all replicas, where copies that outlast a peak displace other models.
 *
 * A pure policy.  All callers with the same list name the same spares, so that
 * two sidecars do not evict the last two copies of a model at once.
 */
#ifndef COORDINATION_SPARES_H
#define COORDINATION_SPARES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A model on a replica that can run requests for it. */
struct spares_entry {
	const char *model;
	const char *replica; /* its id */
	uint64_t weight; /* set by spares_mark() */
	bool spare; /* result */
};

/*
 * Sets the result of each entry: of those for one model, all but one are
 * spares.  Changes the order of the list.
 */
void spares_mark(struct spares_entry *, size_t count);

#endif
