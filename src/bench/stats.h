/* stats -- outcomes and latencies of the requests, by rank. */
#ifndef BENCH_STATS_H
#define BENCH_STATS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/histogram.h"

#define STATS_NAME_MAX 64

/* What a request ended with, as its caller sees it. */
enum bench_outcome {
	BENCH_ANSWERED,
	BENCH_NOT_RUN, /* not sent, or refused as not run */
	BENCH_UNKNOWN, /* refused, but may have run */
	BENCH_BROKEN, /* interrupted, and the caller can tell */
	BENCH_SHORT, /* appears complete, but is not the expected answer */
};

struct bench_result {
	const char *rank; /* NULL: the default rank */
	enum bench_outcome outcome;
	const char *code; /* result code or kind of failure; NULL: none */
	int64_t due_us; /* scheduled time, since the start of the run */
	int64_t latency_us; /* from the scheduled time to the end */
	int64_t deadline_us; /* after the scheduled time; 0: unknown */
	unsigned tokens;
};

struct stats;

/*
 * `seconds` is the length of the run.  A request that ends more than the margin
 * after its deadline counts as late, whatever its outcome.
 */
struct stats *stats_create(unsigned seconds, int64_t late_margin_us);
void stats_destroy(struct stats *);

void stats_add_sent(struct stats *, const char *rank);
void stats_add_first_token(struct stats *, const char *rank, int64_t us);
void stats_add_between_tokens(struct stats *, const char *rank, int64_t us);
void stats_add_result(struct stats *, const struct bench_result *);

struct stats_totals {
	uint64_t sent;
	uint64_t outcomes[BENCH_SHORT + 1]; /* by enum bench_outcome */
	uint64_t late;
};

/* Sums up all ranks. */
void stats_totals(const struct stats *, struct stats_totals *);

/* Returns {"RANK": {...}, ...}, with latencies in milliseconds. */
json_t *stats_json(const struct stats *);

/* Returns the name of the outcome in the result document. */
const char *bench_outcome_name(enum bench_outcome);

#endif
