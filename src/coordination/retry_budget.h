/*
 * retry_budget -- bounds retries to a share of first attempts, per target.
 *
 * A token bucket each: a request adds the share of a token, a retry takes one.
 * A bucket holds at most `burst` tokens, and starts with `start` of them.
 */
#ifndef COORDINATION_RETRY_BUDGET_H
#define COORDINATION_RETRY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rng;
struct retry_budget;

struct retry_budget_options {
	double share; /* tokens that one request adds */
	double burst; /* most tokens of one target */
	double start; /* of a new target: a restart must not renew them */
	size_t max_targets; /* the least recently used are forgotten */
};

struct retry_budget *retry_budget_create(const struct retry_budget_options *);
void retry_budget_destroy(struct retry_budget *);

/* Another bound on the tokens of a target; full buckets shrink to it. */
void retry_budget_set_burst(struct retry_budget *, double burst);

/* Notes the first attempt of a request. */
void retry_budget_deposit(struct retry_budget *, const char *target);
/* Takes a token for a retry; false if none is left. */
bool retry_budget_withdraw(struct retry_budget *, const char *target);

/* Spreads callers: from hint_ms up to half as long again, at least 1 s. */
int64_t retry_after_jitter(struct rng *, int64_t hint_ms);
/* Pause before the next of `tries` looks for a slot: doubles, with jitter. */
int64_t retry_backoff_us(struct rng *, unsigned tries);

#endif
