#include "coordination/retry_budget.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/clock.h"
#include "common/rng.h"

#define RETRY_AFTER_MIN_MS 1000
#define BACKOFF_FIRST_US (20 * USEC_PER_MSEC) /* longest first backoff */
#define BACKOFF_DOUBLINGS_MAX 4

struct bucket {
	char *target;
	double tokens;
	UT_hash_handle hh;
};

struct retry_budget {
	struct retry_budget_options opts;
	struct bucket *buckets; /* least recently used first */
};

struct retry_budget *
retry_budget_create(const struct retry_budget_options *opts)
{
	struct retry_budget *b = calloc(1, sizeof(*b));

	if (b != NULL)
		b->opts = *opts;
	return b;
}

void
retry_budget_set_burst(struct retry_budget *b, double burst)
{
	struct bucket *bucket, *next;

	b->opts.burst = burst;
	HASH_ITER(hh, b->buckets, bucket, next) {
		if (bucket->tokens > burst)
			bucket->tokens = burst;
	}
}

static void
remove_bucket(struct retry_budget *b, struct bucket *bucket)
{
	HASH_DEL(b->buckets, bucket);
	free(bucket->target);
	free(bucket);
}

void
retry_budget_destroy(struct retry_budget *b)
{
	struct bucket *bucket, *next;

	if (b == NULL)
		return;
	HASH_ITER(hh, b->buckets, bucket, next)
		remove_bucket(b, bucket);
	free(b);
}

static struct bucket *
get_bucket(struct retry_budget *b, const char *target)
{
	struct bucket *bucket;

	HASH_FIND_STR(b->buckets, target, bucket);
	if (bucket != NULL) {
		HASH_DEL(b->buckets, bucket);
	} else {
		bucket = calloc(1, sizeof(*bucket));
		if (bucket == NULL || (bucket->target = strdup(target)) == NULL)
			abort();
		bucket->tokens = b->opts.start;
		if (HASH_COUNT(b->buckets) >= b->opts.max_targets)
			remove_bucket(b, b->buckets);
	}
	HASH_ADD_KEYPTR(
	    hh, b->buckets, bucket->target, strlen(bucket->target), bucket);
	return bucket;
}

void
retry_budget_deposit(struct retry_budget *b, const char *target)
{
	struct bucket *bucket = get_bucket(b, target);

	bucket->tokens += b->opts.share;
	if (bucket->tokens > b->opts.burst)
		bucket->tokens = b->opts.burst;
}

bool
retry_budget_withdraw(struct retry_budget *b, const char *target)
{
	struct bucket *bucket = get_bucket(b, target);

	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

int64_t
retry_after_jitter(struct rng *rng, int64_t hint_ms)
{
	if (hint_ms < RETRY_AFTER_MIN_MS)
		hint_ms = RETRY_AFTER_MIN_MS;
	return hint_ms + (int64_t)((double)hint_ms / 2 * rng_real(rng));
}

int64_t
retry_backoff_us(struct rng *rng, unsigned tries)
{
	int64_t us;

	if (tries > BACKOFF_DOUBLINGS_MAX)
		tries = BACKOFF_DOUBLINGS_MAX;
	us = BACKOFF_FIRST_US << tries;
	return us / 2 + (int64_t)((double)us / 2 * rng_real(rng));
}
