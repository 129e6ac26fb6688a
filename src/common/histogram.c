#include "common/histogram.h"

#include <math.h>

static unsigned
bucket_index(uint64_t value)
{
	unsigned msb, shift;

	if (value < (1U << HISTOGRAM_SUB_BITS))
		return (unsigned)value;
	msb = 63 - (unsigned)__builtin_clzll(value);
	shift = msb - HISTOGRAM_SUB_BITS;
	return ((shift + 1) << HISTOGRAM_SUB_BITS) +
	       (unsigned)((value >> shift) - (1U << HISTOGRAM_SUB_BITS));
}

static uint64_t
bucket_max(unsigned index)
{
	unsigned shift = index >> HISTOGRAM_SUB_BITS;
	uint64_t sub = index & ((1U << HISTOGRAM_SUB_BITS) - 1);

	if (shift == 0)
		return sub;
	shift--;
	return ((sub + (1U << HISTOGRAM_SUB_BITS) + 1) << shift) - 1;
}

void
histogram_record(struct histogram *h, uint64_t value)
{
	h->buckets[bucket_index(value)]++;
	h->count++;
	h->sum += value;
	if (value > h->max)
		h->max = value;
}

void
histogram_merge(struct histogram *h, const struct histogram *from)
{
	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
		h->buckets[i] += from->buckets[i];
	h->count += from->count;
	h->sum += from->sum;
	if (from->max > h->max)
		h->max = from->max;
}

uint64_t
histogram_quantile(const struct histogram *h, double q)
{
	uint64_t target, seen = 0;

	if (h->count == 0)
		return 0;
	target = (uint64_t)ceil(q * (double)h->count);
	if (target == 0)
		target = 1;
	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += h->buckets[i];
		if (seen < target)
			continue;
		return bucket_max(i) < h->max ? bucket_max(i) : h->max;
	}
	return h->max;
}

uint64_t
histogram_count_below(const struct histogram *h, uint64_t limit)
{
	uint64_t seen = 0;

	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
		if (bucket_max(i) > limit)
			break;
		seen += h->buckets[i];
	}
	return seen;
}
