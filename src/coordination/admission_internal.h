/* admission_internal -- what the parts of the admission queue share. */
#ifndef COORDINATION_ADMISSION_INTERNAL_H
#define COORDINATION_ADMISSION_INTERNAL_H

#include "common/rng.h"
#include "coordination/admission.h"

TAILQ_HEAD(admission_items, admission_item);

/* Kept while it has items queued, or virtual time ahead of its rank's. */
struct admission_tenant {
	char name[ADMISSION_NAME_MAX];
	double vtime; /* tokens served */
	uint32_t queued_tokens;
	struct admission_items items;
	TAILQ_ENTRY(admission_tenant) link;
};

struct admission_rank {
	char name[ADMISSION_NAME_MAX];
	unsigned order;
	double floor;
	double deficit; /* tokens that the floor owes */
	double max_cost; /* of an item so far */
	double recent_share; /* of recent work, got while it had work queued */
	double use_ratio; /* tokens used to tokens asked for, smoothed */
	double vtime; /* of the tenant served last */
	double wait_ratio; /* real to predicted wait, smoothed */
	double wait_deviation; /* of that ratio, smoothed */
	uint32_t queued;
	uint32_t running;
	uint32_t queued_tokens;
	double queued_cost;
	unsigned tenant_count; /* with items queued */
	TAILQ_HEAD(admission_tenants, admission_tenant) tenants;
	TAILQ_ENTRY(admission_rank) link;
};

struct admission {
	struct admission_options opts;
	struct rng rng;
	uint32_t queued;
	uint32_t running;
	uint32_t queued_tokens;
	double rate; /* tokens a second, measured */
	double running_cost;
	int64_t next_retry_us; /* when the next refused caller may return */
	TAILQ_HEAD(admission_ranks, admission_rank)
	ranks; /* most urgent first */
	struct admission_items displaced;
	struct admission_items running_items; /* oldest first */
};

/* ---- admission.c ---- */

/* Takes a queued item out of its rank and tenant. */
void admission_unqueue(struct admission *, struct admission_item *);

/* ---- admission_limits.c: bounds, predictions and refusals ---- */

/* Makes room for the item within the bounds; false if it must be refused. */
bool admission_displace(struct admission *, const struct admission_item *);
int64_t admission_run_us(
    const struct admission *, const struct admission_item *);
/* When a refused caller should come back. */
int64_t admission_retry_us(
    struct admission *, const struct admission_item *, int64_t now_us);

#endif
