/* loadgen -- runs a scenario against entries and returns the result. */
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
	/* Stand-ins of engines and services whose journals are checked. */
	const char *journals[BENCH_ADDRESSES_MAX];
	size_t journal_count;
	int64_t late_margin_us; /* after a deadline; see stats_create() */
	bool check_text; /* verify the tokens of the engine stand-in */
	bool bare_engine; /* the entries are engines, called directly */
	bool quiet; /* print no progress */
};

/*
 * Runs the scenario in an event loop until all requests have ended.  Returns
 * the result document, or NULL after printing an error if an address is
 * malformed.
 */
json_t *loadgen_run(const struct loadgen_options *);

/*
 * Whether no answer was short, no request ended late, and the journals show no
 * violation.
 */
bool loadgen_passed(const json_t *result);

#endif
