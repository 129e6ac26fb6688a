/*
 * quota_plan -- divides the quota of a client account among its keepers and
 * gateways.
 *
 * The quota holds over all daemons: within any window at most
 * (per_s * window + burst) * (1 + overage) + slack.  Some keepers each give out
 * an equal part of that, from which gateways take for each request, so that one
 * gateway may use nearly all of the quota and the next one none.  Gateways that
 * reach no keeper have a small reserve.  What is left is as much as one keeper
 * gives out: a new keeper does not know what its predecessor has given out
 * within the window.
 *
 * Pure functions.
 */
#ifndef COORDINATION_ACCOUNTS_QUOTA_PLAN_H
#define COORDINATION_ACCOUNTS_QUOTA_PLAN_H

#include <stdint.h>

struct account_quota;

#define QUOTA_KEEPERS_MAX 8 /* of one account */

/* How far the use may exceed the quota, as the deployment's users accept. */
struct quota_bounds {
	int64_t window_us;
	double overage; /* share of the quota */
	double slack; /* in the quota's unit */
};

/* Amounts within a window. */
struct quota_plan {
	unsigned keepers;
	int64_t window_us;
	double keeper_limit; /* of each */
	double reserve_limit; /* of each gateway that reaches no keeper */
};

/*
 * sidecars: number of those that may be keepers; gateways: of those that may
 * use a reserve.
 */
struct quota_plan quota_plan_make(const struct account_quota *,
    const struct quota_bounds *, unsigned sidecars, unsigned gateways);

/* The most that may be used within a window. */
double quota_plan_bound(
    const struct account_quota *, const struct quota_bounds *);

#endif
