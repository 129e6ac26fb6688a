#include "bench/schedule.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/rng.h"

#define FLOW_SEED_STEP 7919 /* between the seeds of two flows */

struct schedule_builder {
	struct schedule *schedule;
	const struct flow *flow;
	struct rng rng;
	unsigned entries;
	size_t capacity; /* of schedule->arrivals */
};

static double
draw_normal(struct rng *rng)
{
	double u = 1 - rng_real(rng); /* (0, 1] */

	return sqrt(-2 * log(u)) * cos(2 * M_PI * rng_real(rng));
}

static unsigned
draw_tokens(struct rng *rng, const struct lognormal *l)
{
	double n = l->median * exp(l->sigma * draw_normal(rng));

	if (n < 1)
		return 1;
	return n > l->max ? l->max : (unsigned)n;
}

static const char *
draw_target(struct rng *rng, const struct flow *f)
{
	double at = rng_real(rng);
	size_t low = 0, high = f->target_count - 1;

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (f->cumulative_weights[mid] > at)
			high = mid;
		else
			low = mid + 1;
	}
	return f->targets[low];
}

static void
add_arrival(struct schedule_builder *b, double at_s)
{
	struct schedule *s = b->schedule;
	struct arrival *a;

	if (s->count == b->capacity) {
		b->capacity = b->capacity * 2 + 256;
		s->arrivals = reallocarray(
		    s->arrivals, b->capacity, sizeof(*s->arrivals));
		if (s->arrivals == NULL)
			abort();
	}
	a = &s->arrivals[s->count++];
	memset(a, 0, sizeof(*a));
	a->at_us = (int64_t)(at_s * 1e6);
	a->flow = b->flow;
	a->target = b->flow->service ? NULL : draw_target(&b->rng, b->flow);
	a->prompt_tokens = draw_tokens(&b->rng, &b->flow->prompt_tokens);
	a->max_tokens = draw_tokens(&b->rng, &b->flow->max_tokens);
	a->tenant = (unsigned)rng_below(&b->rng, b->flow->tenants);
	a->entry = (unsigned)rng_below(&b->rng, b->entries);
}

static void
draw_flow(struct schedule_builder *b)
{
	const struct flow *f = b->flow;
	double at = f->start_s;

	while (f->rate > 0 &&
	       (at += rng_exponential(&b->rng, 1 / f->rate)) < f->end_s)
		add_arrival(b, at);
	for (at = f->start_s; f->burst_every_s > 0 && at < f->end_s;
	     at += f->burst_every_s) {
		for (unsigned i = 0; i < f->burst_size; i++)
			add_arrival(
			    b, at + rng_real(&b->rng) * f->burst_spread_s);
	}
}

static int
compare_times(const void *a, const void *b)
{
	const struct arrival *x = a, *y = b;

	return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

struct schedule *
schedule_create(const struct scenario *scn, uint64_t seed, unsigned entries)
{
	struct schedule_builder b = { .entries = entries };

	b.schedule = calloc(1, sizeof(*b.schedule));
	if (b.schedule == NULL)
		abort();
	for (size_t i = 0; i < scn->flow_count; i++) {
		b.flow = &scn->flows[i];
		rng_seed(&b.rng, seed + i * FLOW_SEED_STEP);
		draw_flow(&b);
	}
	if (b.schedule->count > 0)
		qsort(b.schedule->arrivals, b.schedule->count,
		    sizeof(*b.schedule->arrivals), compare_times);
	for (size_t i = 0; i < b.schedule->count; i++)
		b.schedule->arrivals[i].number = (unsigned)i;
	return b.schedule;
}

void
schedule_destroy(struct schedule *s)
{
	if (s == NULL)
		return;
	free(s->arrivals);
	free(s);
}
