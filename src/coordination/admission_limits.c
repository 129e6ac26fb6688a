/* Bounds of the admission queue, predicted waits, and retry times. */
#include "coordination/admission_internal.h"

#include <string.h>

#include "common/clock.h"

#define RETRY_MIN_US USEC_PER_SEC
#define RETRY_MAX_US (60 * USEC_PER_SEC)
#define RETRY_JITTER_MAX 0.25 /* as a share of the time */

/* Bounds on shares, so that predicted waits stay finite. */
#define RECENT_SHARE_MIN 0.001
#define LESSER_FLOORS_MAX 0.9 /* of less urgent ranks */
/* Of the queue, for a rank with a floor: a small one still needs capacity. */
#define QUEUE_SHARE_MIN 0.1

/* ---- bounds ---- */

static bool
exceeds_bounds(const struct admission *a, uint32_t items, uint32_t tokens)
{
	/* One item always fits, however large. */
	return items >= a->opts.max_queued ||
	       (items > 0 && tokens > a->opts.max_queued_tokens);
}

/* Share of the queue that is guaranteed to a rank. */
static double
queue_share(double floor)
{
	return floor > 0 && floor < QUEUE_SHARE_MIN ? QUEUE_SHARE_MIN : floor;
}

/* Whether the rank occupies more than its share of the queue. */
static bool
exceeds_queue_share(const struct admission *a, const struct admission_rank *r)
{
	double share = queue_share(r->floor);

	return r->queued > share * a->opts.max_queued ||
	       r->queued_tokens > share * a->opts.max_queued_tokens;
}

static const struct admission_rank *
find_rank_by_order(const struct admission *a, const struct admission_item *item)
{
	const struct admission_rank *r;

	TAILQ_FOREACH(r, &a->ranks, link) {
		if (r->order == item->rank_order)
			return r;
	}
	return NULL;
}

/* Whether the rank stays within its share of the queue with this item. */
static bool
fits_queue_share(const struct admission *a, const struct admission_item *item)
{
	const struct admission_rank *r = find_rank_by_order(a, item);
	uint32_t queued = r ? r->queued : 0;
	uint32_t tokens = r ? r->queued_tokens : 0;
	double share = queue_share(item->rank_floor);

	return queued + 1 <= share * a->opts.max_queued &&
	       tokens + item->tokens <= share * a->opts.max_queued_tokens;
}

/*
 * The rank to displace items from: the least urgent one that exceeds its share
 * of the queue.  An item within its own rank's share displaces any such rank,
 * others only their own or a less urgent one.
 */
static struct admission_rank *
victim_rank(const struct admission *a, const struct admission_item *item)
{
	bool entitled = fits_queue_share(a, item);
	struct admission_rank *r;

	TAILQ_FOREACH_REVERSE(r, &a->ranks, admission_ranks, link)
	{
		if (r->queued == 0 || !exceeds_queue_share(a, r))
			continue;
		if (entitled || r->order >= item->rank_order)
			return r;
	}
	return NULL;
}

static struct admission_tenant *
heaviest_tenant(struct admission_rank *r)
{
	struct admission_tenant *t, *heaviest = NULL;

	TAILQ_FOREACH(t, &r->tenants, link) {
		if (heaviest == NULL ||
		    t->queued_tokens > heaviest->queued_tokens)
			heaviest = t;
	}
	return heaviest;
}

static uint32_t
tenant_tokens(const struct admission_rank *r, const char *name)
{
	const struct admission_tenant *t;

	TAILQ_FOREACH(t, &r->tenants, link) {
		if (strcmp(t->name, name) == 0)
			return t->queued_tokens;
	}
	return 0;
}

/* The newest item; NULL if it was preempted, as begun work is not displaced. */
static struct admission_item *
newest_item(struct admission_tenant *t)
{
	struct admission_item *it = TAILQ_LAST(&t->items, admission_items);

	return it != NULL && it->preemptions > 0 ? NULL : it;
}

/*
 * The newest item of the tenant with most tokens queued; in the new item's own
 * rank, only if that tenant has more than the new item's tenant.
 */
static struct admission_item *
victim_item(const struct admission *a, const struct admission_item *item)
{
	struct admission_rank *r = victim_rank(a, item);
	struct admission_tenant *t;
	uint32_t own;

	if (r == NULL)
		return NULL;
	t = heaviest_tenant(r);
	if (r->order != item->rank_order)
		return newest_item(t);
	own = tenant_tokens(r, item->tenant) + item->tokens;
	return t->queued_tokens > own ? newest_item(t) : NULL;
}

bool
admission_displace(struct admission *a, const struct admission_item *item)
{
	struct admission_item *out;

	while (exceeds_bounds(a, a->queued, a->queued_tokens + item->tokens)) {
		out = victim_item(a, item);
		if (out == NULL)
			return false;
		admission_unqueue(a, out);
		TAILQ_INSERT_TAIL(&a->displaced, out, link);
	}
	return true;
}

/* ---- predictions ---- */

/* Work of the item's own rank that is to run before it, in tokens. */
static double
rank_work_ahead(
    const struct admission_rank *r, const struct admission_item *item)
{
	const struct admission_tenant *t;
	double tenant = 0, fair;

	TAILQ_FOREACH(t, &r->tenants, link) {
		if (strcmp(t->name, item->tenant) == 0 && r->queued_tokens > 0)
			tenant = r->queued_cost * t->queued_tokens /
				 r->queued_tokens;
	}
	/* By fair queueing each other tenant gets as much as this one. */
	fair = (tenant + item->cost) * (r->tenant_count + 1) - item->cost;
	return fair < r->queued_cost ? fair : r->queued_cost;
}

int64_t
admission_wait_us(const struct admission *a, const struct admission_item *item)
{
	const struct admission_rank *r;
	double urgent = 0, own = 0, lesser_floors = 0, share = 1, wait;

	if (a->running < a->opts.max_running && a->queued == 0)
		return 0;
	TAILQ_FOREACH(r, &a->ranks, link) {
		if (r->order < item->rank_order)
			urgent += r->queued_cost;
		else if (r->order == item->rank_order) {
			own += rank_work_ahead(r, item);
			share = r->recent_share;
		} else if (r->queued > 0)
			lesser_floors += r->floor;
	}
	if (lesser_floors > LESSER_FLOORS_MAX)
		lesser_floors = LESSER_FLOORS_MAX;
	wait = (urgent + own) / (a->rate * (1 - lesser_floors));
	/* More urgent work is expected to arrive as it did recently. */
	if (share < RECENT_SHARE_MIN)
		share = RECENT_SHARE_MIN;
	if (share < item->rank_floor)
		share = item->rank_floor;
	if (own / (a->rate * share) > wait)
		wait = own / (a->rate * share);
	if (item->rank_floor > 0 && own / (a->rate * item->rank_floor) < wait)
		wait = own / (a->rate * item->rank_floor);
	/* Until a running item ends. */
	if (a->running >= a->opts.max_running)
		wait += a->running_cost / a->running / a->rate;
	return (int64_t)(wait * USEC_PER_SEC);
}

int64_t
admission_run_us(const struct admission *a, const struct admission_item *item)
{
	double item_rate = a->rate / a->opts.max_running;

	return (int64_t)(item->cost / item_rate * USEC_PER_SEC);
}

/*
 * Spaces the retries of refused callers at the rate of the backend server, so
 * that they do not all return at once and get refused again.
 */
int64_t
admission_retry_us(
    struct admission *a, const struct admission_item *item, int64_t now)
{
	int64_t at = now + admission_wait_us(a, item);
	int64_t pause = (int64_t)(item->cost / a->rate * USEC_PER_SEC);
	int64_t retry;

	if (at < a->next_retry_us)
		at = a->next_retry_us;
	if (at > now + RETRY_MAX_US)
		at = now + RETRY_MAX_US;
	a->next_retry_us = at + pause;
	retry = at - now < RETRY_MIN_US ? RETRY_MIN_US : at - now;
	return retry +
	       (int64_t)((double)retry * RETRY_JITTER_MAX * rng_real(&a->rng));
}
