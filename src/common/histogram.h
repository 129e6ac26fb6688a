/*
 * histogram -- log-linear histogram of unsigned integers.
 *
 * Each power of two is divided into 32 linear buckets, so that a quantile
 * overestimates by at most 1/32.  The caller chooses the unit of the values.
 */
#ifndef COMMON_HISTOGRAM_H
#define COMMON_HISTOGRAM_H

#include <stdint.h>

#define HISTOGRAM_SUB_BITS 5 /* log2 of the buckets of a power of two */
#define HISTOGRAM_BUCKETS ((64 - HISTOGRAM_SUB_BITS + 1) << HISTOGRAM_SUB_BITS)

struct histogram {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t buckets[HISTOGRAM_BUCKETS];
};

/* An all-zero struct is an empty histogram. */
void histogram_record(struct histogram *, uint64_t value);
void histogram_merge(struct histogram *, const struct histogram *from);

/*
 * Returns the upper bound of the bucket that holds quantile q in [0, 1], or the
 * maximum recorded if that is less; 0 if the histogram is empty.
 */
uint64_t histogram_quantile(const struct histogram *, double q);

/* Counts the values in buckets that lie entirely at or below the limit. */
uint64_t histogram_count_below(const struct histogram *, uint64_t limit);

#endif
