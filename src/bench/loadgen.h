/* load -- runs a scenario against entries and gathers the result. */
#ifndef BENCH_LOADGEN_H
#define BENCH_LOADGEN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "bench/scenario.h"

#define BENCH_ADDRESSES_MAX 64

struct loadgen_options {
	const struct scenario *scenario;
	uint64_t seed;
	const char *entries[BENCH_ADDRESSES_MAX];
	size_t entry_count;
	/* Stand-ins of engines and services whose journals judge the run. */
	const char *journals[BENCH_ADDRESSES_MAX];
	size_t journal_count;
	int64_t late_margin_us; /* past a deadline */
	bool check_text;
	bool bare_engine;
	bool quiet; /* no progress lines */
};

/* The result document; NULL after a message if an address is wrong. */
json_t *loadgen_run(const struct loadgen_options *);

/* Whether every promise held: no short answer, nothing late, journals clean. */
bool loadgen_passed(const json_t *result);

#endif
