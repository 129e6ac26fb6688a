/*
 * retry_budget -- limits the retries to a target to a share of its requests.
 *
 * A token bucket per target: the first attempt of a request adds `share` of a
 * token, a retry takes one.  The delays before a retry are computed here too.
 */
#ifndef COORDINATION_RETRY_BUDGET_H
#define COORDINATION_RETRY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rng;
struct retry_budget;

struct retry_budget_options {
	double share; /* tokens added by a request */
	double burst; /* most tokens of a target */
	double start; /* tokens of a new target; a restart must not refill */
	size_t max_targets; /* beyond, the least recently used is forgotten */
};

struct retry_budget *retry_budget_create(const struct retry_budget_options *);
void retry_budget_destroy(struct retry_budget *);

/* Changes the most tokens of a target; surplus tokens are lost. */
void retry_budget_set_burst(struct retry_budget *, double burst);

/* Records the first attempt of a request. */
void retry_budget_deposit(struct retry_budget *, const char *target);
/* Takes a token for a retry; returns false if there is none. */
bool retry_budget_withdraw(struct retry_budget *, const char *target);

/*
 * Returns a time in milliseconds for a caller to retry after: hint_ms, at least
 * 1 s, and up to half of it in addition, at random, to spread the callers.
 */
int64_t retry_after_jitter(struct rng *, int64_t hint_ms);
/* Returns the exponential backoff, with jitter, after `tries` backoffs. */
int64_t retry_backoff_us(struct rng *, unsigned tries);

#endif
