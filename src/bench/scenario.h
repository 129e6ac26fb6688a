/*
 * scenario -- a load written as JSON.
 *
 *	{"name": ..., "seconds": 20, "seed": 1, "flows": [FLOW, ...]}
 *
 * A flow is requests of one kind.  Its fields:
 *
 *	name, rank	rank as declared
 *	rate		requests a second, at random times
 *	start_s, end_s	when it runs; default the whole load
 *	burst		{"every_s", "size", "spread_ms"}: bursts after quiet,
 *			beside or in place of rate
 *	targets		models or adapters, most used first; or prefix and count
 *			for names prefix0, prefix1, ...
 *	zipf		exponent of their use; default 0: all alike
 *	service, path	a plain service in place of models; calls are bookings
 *	keys		bookings carry an Idempotency-Key; default false
 *	tenants		number of callers' names; default 1
 *	deadline_ms	default: the rank's
 *	prompt_tokens, max_tokens	{"median", "sigma", "max"}, lognormal
 */
#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SCENARIO_ERROR_LEN 256

struct lognormal {
	double median;
	double sigma;
	unsigned max;
};

struct flow {
	char *name;
	char *rank;
	double rate;
	double start_s;
	double end_s;
	double burst_every_s; /* 0: no bursts */
	unsigned burst_size;
	double burst_spread_s;
	char **targets;
	size_t target_count;
	double *cumulative_weights; /* cumulative, ends with 1 */
	char *service; /* NULL: models */
	char *path;
	bool idempotency_keys;
	unsigned tenants;
	int64_t deadline_ms; /* 0: the rank's */
	struct lognormal prompt_tokens;
	struct lognormal max_tokens;
};

struct scenario {
	char *name;
	double seconds;
	uint64_t seed;
	struct flow *flows;
	size_t flow_count;
};

/* NULL and a reason if the file is not a scenario. */
struct scenario *scenario_load(const char *path, char err[SCENARIO_ERROR_LEN]);
void scenario_destroy(struct scenario *);

#endif
