#include "coordination/accounts/quota_plan.h"

#include "common/clock.h"
#include "state/accounts.h"

/*
 * Least limit of a keeper.  Several long prompts fit, as what is left of a
 * keeper's part after them may be too little for the next one.
 */
#define KEEPER_MIN_TOKENS 75000
#define KEEPER_MIN_REQUESTS 4
#define RESERVE_SHARE 0.05 /* of the bound, of all gateways together */

double
quota_plan_bound(const struct account_quota *q, const struct quota_bounds *b)
{
	double window_s = (double)b->window_us / USEC_PER_SEC;

	return (q->per_s * window_s + q->burst) * (1 + b->overage) + b->slack;
}

static unsigned
count_keepers(const struct account_quota *q, double bound, unsigned sidecars)
{
	double least = q->in_tokens ? KEEPER_MIN_TOKENS : KEEPER_MIN_REQUESTS;
	unsigned most =
	    sidecars < QUOTA_KEEPERS_MAX ? sidecars : QUOTA_KEEPERS_MAX;

	if (bound >= least * most)
		return most == 0 ? 1 : most;
	return bound < least ? 1 : (unsigned)(bound / least);
}

struct quota_plan
quota_plan_make(const struct account_quota *q, const struct quota_bounds *b,
    unsigned sidecars, unsigned gateways)
{
	double bound = quota_plan_bound(q, b);
	struct quota_plan p = {
		.keepers =
		    count_keepers(q, bound * (1 - RESERVE_SHARE), sidecars),
		.window_us = b->window_us,
		.reserve_limit =
		    bound * RESERVE_SHARE / (gateways == 0 ? 1 : gateways),
	};

	/* One part more than there are keepers. */
	p.keeper_limit = bound * (1 - RESERVE_SHARE) / (p.keepers + 1);
	return p;
}
