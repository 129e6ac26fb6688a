#include "coordination/idle.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <uthash.h>

#include "common/clock.h"

#define NAME_MAX_LEN 128
#define KEY_SIZE (2 * NAME_MAX_LEN + 2)
#define BUCKETS 48 /* of the histogram of gaps */
#define BUCKET_FIRST_SEC 1.0 /* upper bound of the first bucket */
#define BUCKET_FACTOR 1.35 /* between upper bounds of adjacent buckets */
#define GAP_DECAY 0.98 /* of the weight of older gaps by each new one */
#define BURST_SMOOTHING 0.2 /* weight of the newest burst */
#define PRELOAD_GAPS_MIN 5.0 /* weight of gaps known before a preload */
#define PRELOAD_MARGIN 0.3 /* least gain, as a share of a cold start's cost */
#define PRIOR_WEIGHT 2.0 /* of a uniform prior over the buckets */
#define SEC_PER_HOUR 3600.0

struct item {
	char key[KEY_SIZE]; /* model, newline, adapter */
	double gaps[BUCKETS]; /* decayed counts of gaps between uses */
	double gap_total;
	double mean_burst; /* requests that one cold start delays, smoothed */
	double burst_count; /* requests of the current burst */
	int64_t burst_start_us;
	int64_t last_use_us;
	UT_hash_handle hh;
};

struct idle_policy {
	struct idle_options opts;
	struct item *items;
	double bucket_ends[BUCKETS]; /* upper bounds, in seconds */
};

struct idle_policy *
idle_create(const struct idle_options *opts)
{
	struct idle_policy *p = calloc(1, sizeof(*p));
	double end = BUCKET_FIRST_SEC;

	if (p == NULL)
		return NULL;
	p->opts = *opts;
	for (int i = 0; i < BUCKETS; i++, end *= BUCKET_FACTOR)
		p->bucket_ends[i] = end;
	return p;
}

void
idle_destroy(struct idle_policy *p)
{
	struct item *it, *next;

	if (p == NULL)
		return;
	HASH_ITER(hh, p->items, it, next) {
		HASH_DEL(p->items, it);
		free(it);
	}
	free(p);
}

void
idle_set_costs(
    struct idle_policy *p, double hour_worth, double cold_second_worth)
{
	p->opts.hour_worth = hour_worth;
	p->opts.cold_second_worth = cold_second_worth;
}

/* ---- gaps ---- */

static int
bucket_of(const struct idle_policy *p, double seconds)
{
	int i = 0;

	while (i < BUCKETS - 1 && seconds > p->bucket_ends[i])
		i++;
	return i;
}

static void
make_key(char out[KEY_SIZE], const char *model, const char *adapter)
{
	strlcpy(out, model, NAME_MAX_LEN);
	strlcat(out, "\n", KEY_SIZE);
	strlcat(out, adapter, KEY_SIZE);
}

static struct item *
find_item(const struct idle_policy *p, const char *model, const char *adapter)
{
	char key[KEY_SIZE];
	struct item *it;

	make_key(key, model, adapter);
	HASH_FIND_STR(p->items, key, it);
	return it;
}

static void
remove_oldest(struct idle_policy *p)
{
	struct item *it, *next, *oldest = p->items;

	HASH_ITER(hh, p->items, it, next) {
		if (it->last_use_us < oldest->last_use_us)
			oldest = it;
	}
	HASH_DEL(p->items, oldest);
	free(oldest);
}

static struct item *
add_item(
    struct idle_policy *p, const char *model, const char *adapter, int64_t now)
{
	struct item *it = calloc(1, sizeof(*it));

	if (it == NULL)
		abort();
	if (HASH_COUNT(p->items) >= p->opts.max_items)
		remove_oldest(p);
	make_key(it->key, model, adapter);
	it->mean_burst = 1;
	it->last_use_us = now;
	it->burst_start_us = now;
	HASH_ADD_STR(p->items, key, it);
	return it;
}

/* Requests with gaps of a second or less would wait for the same load. */
static void
count_burst(struct item *it, double gap, int64_t now)
{
	if (gap <= BUCKET_FIRST_SEC) {
		it->burst_count++;
		return;
	}
	if (it->burst_count > 0)
		it->mean_burst +=
		    BURST_SMOOTHING * (it->burst_count - it->mean_burst);
	it->burst_count = 1;
	it->burst_start_us = now;
}

void
idle_record_use(
    struct idle_policy *p, const char *model, const char *adapter, int64_t now)
{
	struct item *it = find_item(p, model, adapter);
	double gap;

	if (it == NULL) {
		add_item(p, model, adapter, now)->burst_count = 1;
		return;
	}
	gap = (double)(now - it->last_use_us) / USEC_PER_SEC;
	it->last_use_us = now;
	count_burst(it, gap, now);
	for (int i = 0; i < BUCKETS; i++)
		it->gaps[i] *= GAP_DECAY;
	it->gaps[bucket_of(p, gap)] += 1;
	it->gap_total = it->gap_total * GAP_DECAY + 1;
}

/* ---- costs ---- */

/* Weight of the gaps in bucket i that are longer than `idle` seconds. */
static double
weight_beyond(
    const struct idle_policy *p, const struct item *it, int i, double idle)
{
	double low = i == 0 ? 0 : p->bucket_ends[i - 1],
	       high = p->bucket_ends[i];
	double weight = (it ? it->gaps[i] : 0) + PRIOR_WEIGHT / BUCKETS;

	if (high <= idle)
		return 0;
	return low >= idle ? weight : weight * (high - idle) / (high - low);
}

/*
 * The largest gain over all lengths of time that the item, idle for `idle`
 * seconds, may be kept: the cold start avoided (of cost `cold`, times its
 * probability) less the cost of its share of memory until then.
 */
static double
best_gain(const struct idle_policy *p, const struct item *it, double idle,
    double share, double cold)
{
	double second_cost = share * p->opts.hour_worth / SEC_PER_HOUR;
	double left = 0, hit = 0, kept_sec = 0, best = 0, from = idle;

	for (int i = 0; i < BUCKETS; i++)
		left += weight_beyond(p, it, i, idle);
	if (left <= 0)
		return 0;
	for (int i = 0; i < BUCKETS; i++) {
		double weight = weight_beyond(p, it, i, idle);
		double end = p->bucket_ends[i], gain;

		if (end <= idle)
			continue;
		/* The next use falls in the middle of the bucket on average. */
		kept_sec += (left - hit - weight / 2) / left * (end - from);
		hit += weight;
		from = end;
		gain = hit / left * cold - kept_sec * second_cost;
		if (gain > best)
			best = gain;
	}
	return best;
}

/* Cost of a cold start: load time, times the callers that wait for it. */
static double
cold_start_cost(
    const struct idle_policy *p, const struct item *it, int64_t load_us)
{
	double waiting = it ? it->mean_burst : 1;

	return (double)load_us / USEC_PER_SEC * p->opts.cold_second_worth *
	       (waiting < 1 ? 1 : waiting);
}

double
idle_keep_gain(const struct idle_policy *p, const char *model,
    const char *adapter, double share, int64_t load_us, int64_t now)
{
	const struct item *it = find_item(p, model, adapter);
	double idle =
	    it == NULL ? 0 : (double)(now - it->last_use_us) / USEC_PER_SEC;

	return best_gain(p, it, idle, share, cold_start_cost(p, it, load_us));
}

enum idle_decision
idle_decide(struct idle_policy *p, const char *model, const char *adapter,
    bool loaded, double share, int64_t load_us, int64_t now)
{
	const struct item *it = find_item(p, model, adapter);
	double cold = cold_start_cost(p, it, load_us);

	if (loaded && it != NULL && now - it->last_use_us < p->opts.min_keep_us)
		return IDLE_KEEP;
	if (loaded)
		return idle_keep_gain(p, model, adapter, share, load_us, now) >
			       0
			   ? IDLE_KEEP
			   : IDLE_UNLOAD;
	if (it == NULL || it->gap_total < PRELOAD_GAPS_MIN)
		return IDLE_KEEP;
	return idle_keep_gain(p, model, adapter, share, load_us, now) >
		       PRELOAD_MARGIN * cold
		   ? IDLE_PRELOAD
		   : IDLE_KEEP;
}
