/* admission_internal -- types shared by the files of the admission queue. */
#ifndef COORDINATION_ADMISSION_INTERNAL_H
#define COORDINATION_ADMISSION_INTERNAL_H

#include "common/rng.h"
#include "coordination/admission.h"

TAILQ_HEAD(admission_items, admission_item);

/* Kept while it has items queued or its virtual time is ahead of its rank's. */
struct admission_tenant {
	char name[ADMISSION_NAME_MAX];
	double vtime; /* virtual time of fair queueing: tokens served */
	uint32_t queued_tokens;
	struct admission_items items;
	TAILQ_ENTRY(admission_tenant) link;
};

struct admission_rank {
	char name[ADMISSION_NAME_MAX];
	unsigned order;
	double floor; /* guaranteed share of all tokens, 0 to 1 */
	double deficit; /* tokens that the floor still owes it */
	double max_cost; /* largest cost of an item so far, in tokens */
	double recent_share; /* of all work, recent; tends to 1 while idle */
	double use_ratio; /* used to requested tokens, smoothed */
	double vtime; /* virtual time of the tenant served last */
	double wait_ratio; /* measured to predicted wait, smoothed */
	double wait_deviation; /* mean deviation of wait_ratio, smoothed */
	uint32_t queued;
	uint32_t running;
	uint32_t queued_tokens;
	double queued_cost; /* expected tokens of queued items */
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
	double rate; /* tokens per second of the backend server, measured */
	double running_cost; /* expected tokens of running items */
	int64_t next_retry_us; /* earliest retry of the next refused caller */
	TAILQ_HEAD(admission_ranks, admission_rank)
	ranks; /* most urgent first */
	struct admission_items displaced;
	struct admission_items running_items; /* oldest first */
};

/* ---- admission.c ---- */

/* Removes a queued item from its rank and tenant. */
void admission_unqueue(struct admission *, struct admission_item *);

/* ---- admission_limits.c ---- */

/*
 * Displaces queued items until the new one fits within the bounds.  Returns
 * false if it does not, as no item may be displaced for it.
 */
bool admission_displace(struct admission *, const struct admission_item *);
/* Predicted run time of the item. */
int64_t admission_run_us(
    const struct admission *, const struct admission_item *);
/* Delay after which a refused caller should retry. */
int64_t admission_retry_us(
    struct admission *, const struct admission_item *, int64_t now_us);

#endif
