/*
 * candidates -- the replicas of a service as the selection policies see them,
 * and loads that no request waits for.
 */
#ifndef GATEWAY_CANDIDATES_H
#define GATEWAY_CANDIDATES_H

#include <stddef.h>
#include <stdint.h>

#include "coordination/selection.h"

#define CANDIDATES_MAX 4096

struct backend;
struct gateway;
struct request_terms;
struct service_spec;

struct candidates {
	struct select_query query;
	struct select_replica replicas[CANDIDATES_MAX];
	struct backend *backends[CANDIDATES_MAX];
	size_t count;
};

/* Hash of a replica's id, as in the list of those tried before. */
uint64_t candidates_id_hash(const struct backend *);

/* Valid until the next call. */
struct candidates *candidates_list(struct gateway *,
    const struct service_spec *, const struct request_terms *,
    const uint64_t *tried, unsigned tried_count);

/* Has a busy model loaded on another replica, without waiting for it. */
void candidates_scale_out(struct gateway *, const struct candidates *,
    const struct request_terms *, unsigned rank);

/*
 * Has a model loaded again whose last copy left with its replica: the weight
 * store takes longer than most callers wait.  Call it every tick.
 */
void candidates_reload_lost(struct gateway *);
/* Frees what the guard remembers. */
void candidates_free_seen(struct gateway *);

#endif
