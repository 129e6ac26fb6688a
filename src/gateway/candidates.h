/*
 * candidates -- lists the replicas of a service for the selection policies, and
 * requests loads that no caller waits for.
 *
 * Combines what the gateway knows of each replica with the request's parameters
 * into the input of select_replica() and select_scale_out().  Two kinds of
 * loads are requested here without a caller that waits for them: of a busy
 * model on a further replica, checked with each selection for a service with an
 * engine; and of a model that lost its last copy, checked on a timer.
 */
#ifndef GATEWAY_CANDIDATES_H
#define GATEWAY_CANDIDATES_H

#include <stddef.h>
#include <stdint.h>

#include "coordination/selection.h"

#define CANDIDATES_MAX 4096 /* replicas; further ones are ignored */

struct backend;
struct gateway;
struct request_params;
struct service_spec;

/* replicas[i] describes backends[i]. */
struct candidates {
	struct select_query query;
	struct select_replica replicas[CANDIDATES_MAX];
	struct backend *backends[CANDIDATES_MAX];
	size_t count;
	/*
	 * Time until one of the replicas that are unusable by their limits
	 * alone takes a request; 0: there are none.
	 */
	int64_t limit_wait_us;
};

/* Hash of the replica's id, for the list of replicas already tried. */
uint64_t candidates_id_hash(const struct backend *);

/*
 * Lists all replicas of the service, at most CANDIDATES_MAX.  Those whose id
 * hash is in `tried` are not usable.  Returns a static buffer that is valid
 * until the next call; its query points into the parameters.
 */
struct candidates *candidates_list(struct gateway *,
    const struct service_spec *, const struct request_params *,
    const uint64_t *tried, unsigned tried_count);

/*
 * Requests the load of the model on a further replica if select_scale_out()
 * finds one.  The request that caused it does not wait for that load.
 */
void candidates_scale_out(struct gateway *, const struct candidates *,
    const struct request_params *, unsigned rank);

/*
 * Requests loads that no request waits for, so that the next one need not.
 * They are for models whose last copy disappeared with its replica, as a load
 * from the weight store takes longer than most callers wait, and, where memory
 * is free after a replica has started, for models in demand that no replica has
 * loaded.  Call it on every tick.
 */
void candidates_load_ahead(struct gateway *);

/* Frees the list of models that have had a copy. */
void candidates_free_seen(struct gateway *);

#endif
