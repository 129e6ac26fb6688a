/* tally -- what became of each request, by rank; and the result as JSON. */
#ifndef BENCH_STATS_H
#define BENCH_STATS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/histogram.h"

#define STATS_NAME_MAX 64

enum bench_outcome {
	BENCH_ANSWERED,
	BENCH_NOT_RUN,
	BENCH_UNKNOWN,
	BENCH_BROKEN, /* cut off, and the caller sees that it was */
	BENCH_SHORT, /* looks whole, but is not the whole answer */
};

struct bench_result {
	const char *rank;
	enum bench_outcome outcome;
	const char *code; /* result name of a refusal; NULL: none */
	int64_t due_us; /* from the start of the load */
	int64_t latency_us; /* from due to the end */
	int64_t deadline_us; /* 0: none known */
	unsigned tokens;
};

struct stats;

/* An end later than the deadline and the margin counts as late. */
struct stats *stats_create(unsigned seconds, int64_t late_margin_us);
void stats_destroy(struct stats *);

void stats_add_sent(struct stats *, const char *rank);
void stats_add_first_token(struct stats *, const char *rank, int64_t us);
void stats_add_between_tokens(struct stats *, const char *rank, int64_t us);
void stats_add_result(struct stats *, const struct bench_result *);

struct stats_totals {
	uint64_t sent;
	uint64_t outcomes[BENCH_SHORT + 1];
	uint64_t late;
};

void stats_totals(const struct stats *, struct stats_totals *);
/* {"RANK": {...}, ...} */
json_t *stats_json(const struct stats *);
const char *bench_outcome_name(enum bench_outcome);

#endif
