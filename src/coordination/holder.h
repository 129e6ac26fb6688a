/*
 * holder -- competes for the lease of a control shard and serves it.
 *
 * Every entry runs one.  The entry that has the lease decides placement and
 * scaling of the shard's models, grants permits to load from the weight store,
 * and writes checkpoints.  Only records of the newest lease are accepted, so at
 * most one entry at a time changes the shard.
 */
#ifndef COORDINATION_HOLDER_H
#define COORDINATION_HOLDER_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

struct clock;
struct control_lease;
struct event_base;
struct holder;
struct logger;
struct membership;
struct metrics;
struct store;

struct holder_options {
	struct event_base *base;
	const struct clock *clock;
	struct logger *logger;
	struct metrics *metrics;
	struct store *store;
	struct membership *membership;
	uint32_t shard;
	const char *self; /* VM id */
	const char *address; /* RPC address of this daemon */
	int64_t term_us; /* length of the lease */
	int64_t drift_us; /* margin after the term before others claim it */
	int64_t removal_grace_us; /* before an unlisted VM's slots are freed */
	int64_t shrink_us; /* low demand before a replica is removed */
	int64_t tick_us; /* between two runs of lease and placement */
	/* Limits of the weight store. */
	unsigned loads_per_sec;
	unsigned max_loads; /* models in transit */
	unsigned max_adapters; /* adapters in transit */
	int64_t permit_expiry_us; /* of a permit that is not returned */
};

/* Returns NULL if out of memory. */
struct holder *holder_create(const struct holder_options *);
void holder_destroy(struct holder *);

/* Call when the fold has accepted a record of any shard's lease. */
void holder_lease_changed(struct holder *, const struct control_lease *);

/* Whether this daemon has the lease; see lease_held(). */
bool holder_has_lease(const struct holder *);
/* Updates the metrics, which are out of date after a pause of the daemon. */
void holder_refresh_metrics(struct holder *);
/* Epoch of the lease; see lease_epoch(). */
uint64_t holder_epoch(const struct holder *);

/* Resigns the lease, so that another entry can claim it at once. */
void holder_resign(struct holder *);

/* Handlers of TM_DEMAND, TM_PERMIT and TM_PERMIT_RETURN. */
void holder_handle_demand(struct holder *, const struct tm_demand_report *);
void holder_handle_permit(
    struct holder *, const struct tm_permit_args *, struct tm_permit_reply *);
void holder_handle_permit_return(
    struct holder *, const struct tm_permit_return *);

#endif
