/*
 * scenario -- description of the load of a run, in JSON.
 *
 *	{"name": ..., "seconds": 20, "seed": 1, "flows": [FLOW, ...]}
 *
 * A flow is a stream of similar requests.  Its fields:
 *
 *	name
 *	rank		as declared; default: none is sent
 *	rate		mean requests a second, as a Poisson process; default 0
 *	start_s, end_s	time of the flow; default: the whole run
 *	burst		{"every_s", "size", "spread_ms"}: a burst of so many
 *			requests every so often, in addition to rate
 *	targets		models or adapters, most used first; or prefix and count
 *			for the names prefix0, prefix1, ...
 *	zipf		exponent of the Zipf distribution of requests over the
 *			targets; default 0: uniform
 *	service, path	plain service to call instead of models; each call is a
 *			booking
 *	keys		send an Idempotency-Key with bookings; default false
 *	tenants		number of tenant names; default 1
 *	deadline_ms	default: none is sent, so that the rank's applies
 *	prompt_tokens, max_tokens
 *			{"median", "sigma", "max"} of a lognormal distribution
 *	comment		ignored
 */
#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SCENARIO_ERROR_LEN 256

struct lognormal {
	double median;
	double sigma; /* of the logarithm; 0: always the median */
	unsigned max; /* larger values are reduced to it */
};

struct flow {
	char *name;
	char *rank; /* NULL: none */
	double rate; /* requests a second */
	double start_s;
	double end_s;
	double burst_every_s; /* 0: no bursts */
	unsigned burst_size; /* requests */
	double burst_spread_s; /* time over which a burst is spread */
	char **targets;
	size_t target_count;
	double *cumulative_weights; /* of the targets; the last is 1 */
	char *service; /* NULL: the targets are called */
	char *path; /* of the service */
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

/* Returns NULL with a message in err if the file is not a valid scenario. */
struct scenario *scenario_load(const char *path, char err[SCENARIO_ERROR_LEN]);
void scenario_destroy(struct scenario *);

#endif
