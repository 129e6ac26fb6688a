#include "coordination/router.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "common/clock.h"

#define REPORT_HALF_LIFE_US (2.0 * USEC_PER_SEC) /* of a reported queue */
#define PRIOR_TOKENS_PER_SEC 400 /* until a rate is reported */
#define PRIOR_LOAD_US (5 * USEC_PER_SEC) /* until a load time is reported */
#define OTHER_ZONE_US (3 * USEC_PER_MSEC) /* added for another data centre */
#define TIE_US (1 * USEC_PER_MSEC) /* smaller differences do not count */
/* Only the hashed prefix of a prompt is known to be cached. */
#define PREFIX_TOKENS 256
#define CORRECTION_WEIGHT 0.1 /* of the newest measurement */
#define CORRECTION_MIN 0.1
#define CORRECTION_MAX 10.0

static double
queued_work_tokens(const struct router_candidate *c)
{
	double report_weight = 0;

	if (c->report_age_us >= 0)
		report_weight =
		    exp2(-(double)c->report_age_us / REPORT_HALF_LIFE_US);
	return (double)c->queued_tokens * report_weight + c->unreported_tokens;
}

static int64_t
load_left_us(const struct router_candidate *c)
{
	int64_t left = c->load_us;

	if (left == ROUTER_LOAD_UNKNOWN)
		return PRIOR_LOAD_US;
	if (c->loading && c->report_age_us > 0)
		left -= c->report_age_us;
	return left < 0 ? 0 : left;
}

struct router_prediction
router_predict(const struct router_query *q, const struct router_candidate *c)
{
	double rate =
	    c->tokens_per_sec ? c->tokens_per_sec : PRIOR_TOKENS_PER_SEC;
	double correction = c->correction > 0 ? c->correction : 1;
	uint32_t prompt = q->prompt_tokens;
	struct router_prediction p;

	if (c->prefix_cached)
		prompt -= prompt < PREFIX_TOKENS ? prompt : PREFIX_TOKENS;
	p.load_us = load_left_us(c);
	p.work_us = (int64_t)((queued_work_tokens(c) + prompt + q->max_tokens) /
			      rate * 1e6);
	p.total_us = p.load_us + (int64_t)((double)p.work_us * correction);
	if (!c->same_zone)
		p.total_us += OTHER_ZONE_US;
	return p;
}

double
router_correct(
    double correction, const struct router_prediction *p, int64_t measured_us)
{
	double ratio;

	if (p->work_us <= 0)
		return correction;
	ratio = (double)(measured_us - p->load_us) / (double)p->work_us;
	ratio = fmin(fmax(ratio, CORRECTION_MIN), CORRECTION_MAX);
	if (correction <= 0)
		correction = 1;
	return correction + CORRECTION_WEIGHT * (ratio - correction);
}

/* Rendezvous hash: all entries order candidates in the same way. */
static uint64_t
rendezvous_weight(const char *model, const char *vm)
{
	return XXH3_64bits_withSeed(
	    vm, strlen(vm), XXH3_64bits(model, strlen(model)));
}

/*
 * The time to compare by.  For a cold slot it ignores the zone, so that entries
 * of all zones load the model in the same slot.
 */
static int64_t
comparable_us(
    const struct router_candidate *c, const struct router_prediction *p)
{
	bool cold = p->load_us > 0;

	return cold && !c->same_zone ? p->total_us - OTHER_ZONE_US
				     : p->total_us;
}

static int64_t
lowest_us(const struct router_query *q, const struct router_candidate *c,
    size_t count)
{
	int64_t least = INT64_MAX;

	for (size_t i = 0; i < count; i++) {
		struct router_prediction p;
		int64_t us;

		if (!c[i].usable)
			continue;
		p = router_predict(q, &c[i]);
		us = comparable_us(&c[i], &p);
		if (us < least)
			least = us;
	}
	return least;
}

struct router_choice
router_choose(const struct router_query *q, const struct router_candidate *c,
    size_t count)
{
	struct router_choice best = { .index = -1 };
	int64_t least = lowest_us(q, c, count);
	uint64_t best_weight = 0;

	for (size_t i = 0; i < count; i++) {
		struct router_prediction p;
		uint64_t w;

		if (!c[i].usable)
			continue;
		p = router_predict(q, &c[i]);
		if (comparable_us(&c[i], &p) > least + TIE_US)
			continue;
		w = rendezvous_weight(q->model, c[i].vm);
		if (best.index != -1 && w <= best_weight)
			continue;
		best.index = (int)i;
		best.predicted = p;
		best_weight = w;
	}
	return best;
}
