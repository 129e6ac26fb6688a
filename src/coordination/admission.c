#include "coordination/admission_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/clock.h"

#define USE_RATIO_PRIOR 0.25 /* of the requested tokens */
#define USE_RATIO_MIN 0.02
#define SMOOTHING 0.1 /* weight of the newest measurement */
/* Bounds a deficit to the work of this time: no rank may save up its floor. */
#define DEFICIT_MAX_SEC 2.0
#define SHARE_WINDOW_SEC 1.0 /* time constant of recent_share */
#define WAIT_DEVIATIONS 3.0 /* margin of a predicted wait */
/* Shorter predicted waits are left out of wait_ratio. */
#define MEASURED_WAIT_MIN_US (50 * USEC_PER_MSEC)
#define WAIT_RATIO_MAX 4.0 /* bounds the effect of one measurement */
#define PREEMPTIONS_MAX 2 /* of one item */
#define PREEMPT_WAIT_MIN_SEC 0.2 /* shorter waits do not preempt */
#define TENANTS_IDLE_MAX 256 /* idle tenants kept in a rank */

/* ---- ranks and tenants ---- */

static struct admission_rank *
get_rank(struct admission *a, const struct admission_item *item)
{
	struct admission_rank *r, *next;

	TAILQ_FOREACH(r, &a->ranks, link) {
		if (strcmp(r->name, item->rank) == 0)
			break;
	}
	if (r != NULL && r->order == item->rank_order) {
		r->floor = item->rank_floor;
		return r;
	}
	if (r == NULL) {
		r = calloc(1, sizeof(*r));
		if (r == NULL)
			abort();
		strlcpy(r->name, item->rank, sizeof(r->name));
		r->use_ratio = USE_RATIO_PRIOR;
		r->recent_share = 1;
		r->wait_ratio = 1;
		TAILQ_INIT(&r->tenants);
	} else {
		/* Its declaration has another order now. */
		TAILQ_REMOVE(&a->ranks, r, link);
	}
	r->order = item->rank_order;
	r->floor = item->rank_floor;
	TAILQ_FOREACH(next, &a->ranks, link) {
		if (next->order > r->order)
			break;
	}
	if (next == NULL)
		TAILQ_INSERT_TAIL(&a->ranks, r, link);
	else
		TAILQ_INSERT_BEFORE(next, r, link);
	return r;
}

/* Frees idle tenants not ahead in virtual time, and the oldest of too many. */
static void
trim_tenants(struct admission_rank *r)
{
	struct admission_tenant *t, *next;
	unsigned idle = 0;

	TAILQ_FOREACH_REVERSE_SAFE(
	    t, &r->tenants, admission_tenants, link, next)
	{
		if (!TAILQ_EMPTY(&t->items))
			continue;
		if (t->vtime > r->vtime && ++idle <= TENANTS_IDLE_MAX)
			continue;
		TAILQ_REMOVE(&r->tenants, t, link);
		free(t);
	}
}

static struct admission_tenant *
get_tenant(struct admission_rank *r, const char *name)
{
	struct admission_tenant *t;

	TAILQ_FOREACH(t, &r->tenants, link) {
		if (strcmp(t->name, name) == 0)
			break;
	}
	if (t == NULL) {
		trim_tenants(r);
		t = calloc(1, sizeof(*t));
		if (t == NULL)
			abort();
		strlcpy(t->name, name, sizeof(t->name));
		TAILQ_INIT(&t->items);
		TAILQ_INSERT_TAIL(&r->tenants, t, link);
	}
	/* Idle time earns no credit. */
	if (TAILQ_EMPTY(&t->items) && t->vtime < r->vtime)
		t->vtime = r->vtime;
	return t;
}

static void
enqueue(struct admission *a, struct admission_item *item, bool first)
{
	struct admission_rank *r = get_rank(a, item);
	struct admission_tenant *t = get_tenant(r, item->tenant);

	if (TAILQ_EMPTY(&t->items))
		r->tenant_count++;
	if (first)
		TAILQ_INSERT_HEAD(&t->items, item, link);
	else
		TAILQ_INSERT_TAIL(&t->items, item, link);
	item->in_rank = r;
	item->in_tenant = t;
	item->queued = true;
	t->queued_tokens += item->tokens;
	r->queued++;
	r->queued_tokens += item->tokens;
	r->queued_cost += item->cost;
	a->queued++;
	a->queued_tokens += item->tokens;
}

void
admission_unqueue(struct admission *a, struct admission_item *item)
{
	struct admission_rank *r = item->in_rank;
	struct admission_tenant *t = item->in_tenant;

	TAILQ_REMOVE(&t->items, item, link);
	if (TAILQ_EMPTY(&t->items))
		r->tenant_count--;
	item->queued = false;
	t->queued_tokens -= item->tokens;
	r->queued--;
	r->queued_tokens -= item->tokens;
	r->queued_cost -= item->cost;
	if (r->queued == 0)
		r->queued_cost = 0;
	a->queued--;
	a->queued_tokens -= item->tokens;
}

/* ---- arrival ---- */

enum result
admission_push(struct admission *a, struct admission_item *item, int64_t now,
    int64_t *retry_after_us)
{
	struct admission_rank *r;
	double caution;
	int64_t ready;

	item->in_rank = get_rank(a, item);
	item->cost = item->tokens * item->in_rank->use_ratio;
	if (item->cost > item->in_rank->max_cost)
		item->in_rank->max_cost = item->cost;
	*retry_after_us = 0;
	r = item->in_rank;
	caution = r->wait_ratio + WAIT_DEVIATIONS * r->wait_deviation;
	item->predicted_us = admission_wait_us(a, item);
	ready = now + item->load_wait_us +
		(int64_t)((double)item->predicted_us * caution);
	if (ready + admission_run_us(a, item) > item->deadline_us) {
		*retry_after_us = admission_retry_us(a, item, now);
		return RESULT_DEADLINE_UNREACHABLE;
	}
	if (!admission_displace(a, item)) {
		*retry_after_us = admission_retry_us(a, item, now);
		return RESULT_QUEUE_FULL;
	}
	item->queued_us = now;
	item->preemptions = 0;
	enqueue(a, item, false);
	return RESULT_OK;
}

struct admission_item *
admission_pop_displaced(struct admission *a)
{
	struct admission_item *item = TAILQ_FIRST(&a->displaced);

	if (item != NULL)
		TAILQ_REMOVE(&a->displaced, item, link);
	return item;
}

/* ---- choosing ---- */

/* The first runnable item of the tenant of the rank that was served least. */
static struct admission_item *
first_runnable(struct admission_rank *r,
    bool (*runnable)(void *, struct admission_item *), void *ctx)
{
	struct admission_item *best = NULL, *it;
	struct admission_tenant *t;

	if (r->queued == 0)
		return NULL;
	TAILQ_FOREACH(t, &r->tenants, link) {
		if (best != NULL && t->vtime >= best->in_tenant->vtime)
			continue;
		TAILQ_FOREACH(it, &t->items, link) {
			if (runnable(ctx, it)) {
				best = it;
				break;
			}
		}
	}
	return best;
}

/*
 * The next item of the rank with the largest deficit in relation to its floor,
 * of those whose deficit pays for a whole item.
 */
static struct admission_item *
pick_by_floor(struct admission *a,
    bool (*runnable)(void *, struct admission_item *), void *ctx)
{
	struct admission_item *best = NULL, *it;
	struct admission_rank *r;
	double most = 0, owed;

	TAILQ_FOREACH(r, &a->ranks, link) {
		if (r->floor <= 0 || r->deficit <= 0)
			continue;
		it = first_runnable(r, runnable, ctx);
		if (it == NULL || r->deficit < it->cost)
			continue;
		owed = r->deficit / r->floor;
		if (best == NULL || owed > most) {
			best = it;
			most = owed;
		}
	}
	return best;
}

static struct admission_item *
pick_most_urgent(struct admission *a,
    bool (*runnable)(void *, struct admission_item *), void *ctx)
{
	struct admission_item *it;
	struct admission_rank *r;

	TAILQ_FOREACH(r, &a->ranks, link) {
		it = first_runnable(r, runnable, ctx);
		if (it != NULL)
			return it;
	}
	return NULL;
}

/* Factor that reduces floors which add up to more than 1. */
static double
floor_scale(const struct admission *a)
{
	const struct admission_rank *r;
	double sum = 0;

	TAILQ_FOREACH(r, &a->ranks, link)
		sum += r->floor;
	return sum > 1 ? 1 / sum : 1;
}

/* Updates the error of predicted waits, which corrects later predictions. */
static void
record_wait(const struct admission_item *item, int64_t now)
{
	struct admission_rank *r = item->in_rank;
	double ratio, error;

	if (item->predicted_us < MEASURED_WAIT_MIN_US ||
	    item->load_wait_us > 0 || item->preemptions > 0)
		return;
	ratio = (double)(now - item->queued_us) / (double)item->predicted_us;
	if (ratio > WAIT_RATIO_MAX)
		ratio = WAIT_RATIO_MAX;
	error = ratio - r->wait_ratio;
	r->wait_ratio += SMOOTHING * error;
	if (error < 0)
		error = -error;
	r->wait_deviation += SMOOTHING * (error - r->wait_deviation);
}

/* Updates recent_share of all ranks; an idle rank approaches 1. */
static void
update_shares(struct admission *a, const struct admission_item *item)
{
	double weight = item->cost / (a->rate * SHARE_WINDOW_SEC);
	struct admission_rank *r;

	if (weight > 1)
		weight = 1;
	TAILQ_FOREACH(r, &a->ranks, link) {
		bool got = r->queued == 0 || r == item->in_rank;

		r->recent_share += weight * (got - r->recent_share);
	}
}

/*
 * Charges tokens to the rank served, and adds to the deficit of each rank that
 * has work its floor's share of them.
 */
static void
charge_floors(struct admission *a, struct admission_rank *served, double tokens)
{
	double scale = floor_scale(a), max = a->rate * DEFICIT_MAX_SEC;
	struct admission_rank *r;

	TAILQ_FOREACH(r, &a->ranks, link) {
		if (r->queued > 0 || r->running > 0 || r == served)
			r->deficit += r->floor * scale * tokens;
		if (r == served)
			r->deficit -= tokens;
		if (r->deficit > max + r->max_cost)
			r->deficit = max + r->max_cost;
		if (r->deficit < 0)
			r->deficit = 0;
	}
}

static void
charge_item(struct admission *a, struct admission_item *item)
{
	struct admission_rank *r = item->in_rank;
	struct admission_tenant *t = item->in_tenant;

	update_shares(a, item);
	charge_floors(a, r, item->cost);
	if (t->vtime > r->vtime)
		r->vtime = t->vtime;
	t->vtime += item->cost;
}

/* Corrects the charge once the tokens used are known. */
static void
correct_charge(struct admission *a, struct admission_item *item, double tokens)
{
	struct admission_tenant *t;

	charge_floors(a, item->in_rank, tokens - item->cost);
	TAILQ_FOREACH(t, &item->in_rank->tenants, link) {
		if (strcmp(t->name, item->tenant) == 0)
			t->vtime += tokens - item->cost;
	}
}

struct admission_item *
admission_pop(struct admission *a, int64_t now,
    bool (*runnable)(void *, struct admission_item *), void *ctx)
{
	struct admission_item *it;
	bool on_floor = true;

	if (a->running >= a->opts.max_running)
		return NULL;
	it = pick_by_floor(a, runnable, ctx);
	if (it == NULL) {
		on_floor = false;
		it = pick_most_urgent(a, runnable, ctx);
	}
	if (it == NULL)
		return NULL;
	charge_item(a, it);
	record_wait(it, now);
	admission_unqueue(a, it);
	it->running = true;
	it->on_floor = on_floor;
	it->started_us = now;
	a->running++;
	it->in_rank->running++;
	a->running_cost += it->cost;
	TAILQ_INSERT_TAIL(&a->running_items, it, link);
	return it;
}

static void
remove_running(struct admission *a, struct admission_item *item)
{
	TAILQ_REMOVE(&a->running_items, item, link);
	item->running = false;
	a->running--;
	item->in_rank->running--;
	a->running_cost -= item->cost;
	if (a->running == 0)
		a->running_cost = 0;
}

/* The least urgent preemptible item; of equal rank, the last one started. */
static struct admission_item *
pick_victim(struct admission *a, unsigned order)
{
	struct admission_item *best = NULL, *it;

	TAILQ_FOREACH(it, &a->running_items, link) {
		if (!it->preemptible || it->on_floor ||
		    it->preemptions >= PREEMPTIONS_MAX ||
		    it->rank_order <= order)
			continue;
		if (best == NULL || it->rank_order >= best->rank_order)
			best = it;
	}
	return best;
}

struct admission_item *
admission_preempt(struct admission *a, int64_t now,
    bool (*runnable)(void *, struct admission_item *), void *ctx)
{
	struct admission_item *urgent, *it;

	if (a->running < a->opts.max_running)
		return NULL;
	if (a->running_cost / a->running / a->rate < PREEMPT_WAIT_MIN_SEC)
		return NULL; /* a running item ends soon anyway */
	if (pick_by_floor(a, runnable, ctx) != NULL)
		return NULL; /* the next slot is due to a rank's floor */
	urgent = pick_most_urgent(a, runnable, ctx);
	if (urgent == NULL)
		return NULL;
	it = pick_victim(a, urgent->rank_order);
	if (it == NULL)
		return NULL;
	remove_running(a, it);
	it->preemptions++;
	enqueue(a, it, true);
	/* Refund: admission_pop() charges it again. */
	charge_floors(a, it->in_rank, -it->cost);
	it->in_tenant->vtime -= it->cost;
	return it;
}

struct admission_item *
admission_pop_expired(struct admission *a, int64_t now)
{
	struct admission_item *it = NULL;

	while ((it = admission_next(a, it)) != NULL) {
		int64_t run = it->preemptions > 0 ? 0 : admission_run_us(a, it);

		if (it->deadline_us <= now + run) {
			record_wait(it, now);
			admission_unqueue(a, it);
			return it;
		}
	}
	return NULL;
}

struct admission_item *
admission_find_overdue(const struct admission *a, int64_t now)
{
	struct admission_item *it;

	TAILQ_FOREACH(it, &a->running_items, link) {
		if (it->preemptible && it->deadline_us <= now)
			return it;
	}
	return NULL;
}

/* ---- removal ---- */

static void
record_use(struct admission *a, const struct admission_item *item,
    uint32_t tokens, int64_t now)
{
	double seconds = (double)(now - item->started_us) / USEC_PER_SEC;
	double used = (double)tokens / (double)item->tokens;
	struct admission_rank *r = item->in_rank;
	double rate;

	if (used > 1)
		used = 1;
	r->use_ratio += SMOOTHING * (used - r->use_ratio);
	if (r->use_ratio < USE_RATIO_MIN)
		r->use_ratio = USE_RATIO_MIN;
	/* A light batch runs faster per item: it overestimates a full one. */
	if (seconds <= 0 || 2 * a->running < a->opts.max_running)
		return;
	rate = tokens / seconds * a->opts.max_running;
	a->rate += SMOOTHING * (rate - a->rate);
	if (a->rate < 1)
		a->rate = 1;
}

void
admission_remove(struct admission *a, struct admission_item *item,
    uint32_t tokens, int64_t now)
{
	if (item->queued)
		admission_unqueue(a, item);
	if (!item->running)
		return;
	if (tokens > 0)
		correct_charge(a, item, tokens);
	if (tokens > 0 && item->preemptions == 0)
		record_use(a, item, tokens, now);
	remove_running(a, item);
}

/* ---- life cycle and queries ---- */

struct admission *
admission_create(const struct admission_options *opts)
{
	struct admission *a = calloc(1, sizeof(*a));

	if (a == NULL)
		return NULL;
	a->opts = *opts;
	a->rate = opts->tokens_per_sec;
	rng_seed(&a->rng, opts->seed);
	TAILQ_INIT(&a->ranks);
	TAILQ_INIT(&a->displaced);
	TAILQ_INIT(&a->running_items);
	return a;
}

void
admission_destroy(struct admission *a)
{
	struct admission_rank *r;
	struct admission_tenant *t;

	if (a == NULL)
		return;
	while ((r = TAILQ_FIRST(&a->ranks)) != NULL) {
		while ((t = TAILQ_FIRST(&r->tenants)) != NULL) {
			TAILQ_REMOVE(&r->tenants, t, link);
			free(t);
		}
		TAILQ_REMOVE(&a->ranks, r, link);
		free(r);
	}
	free(a);
}

void
admission_set_limits(struct admission *a, uint32_t max_running,
    uint32_t max_queued, uint32_t max_queued_tokens)
{
	if (max_running > 0)
		a->opts.max_running = max_running;
	a->opts.max_queued = max_queued;
	a->opts.max_queued_tokens = max_queued_tokens;
}

/* The first item after tenant t of rank r; t NULL: from the rank's first. */
static struct admission_item *
first_item(struct admission_rank *r, struct admission_tenant *t)
{
	while (r != NULL) {
		t = t == NULL ? TAILQ_FIRST(&r->tenants) : TAILQ_NEXT(t, link);
		for (; t != NULL; t = TAILQ_NEXT(t, link)) {
			if (!TAILQ_EMPTY(&t->items))
				return TAILQ_FIRST(&t->items);
		}
		r = TAILQ_NEXT(r, link);
	}
	return NULL;
}

struct admission_item *
admission_next(const struct admission *a, struct admission_item *after)
{
	struct admission_item *next;

	if (after == NULL)
		return first_item(TAILQ_FIRST(&a->ranks), NULL);
	next = TAILQ_NEXT(after, link);
	return next ? next : first_item(after->in_rank, after->in_tenant);
}

uint32_t
admission_queued(const struct admission *a)
{
	return a->queued;
}

uint32_t
admission_running(const struct admission *a)
{
	return a->running;
}

uint32_t
admission_queued_tokens(const struct admission *a)
{
	return a->queued_tokens;
}

double
admission_rate(const struct admission *a)
{
	return a->rate;
}
