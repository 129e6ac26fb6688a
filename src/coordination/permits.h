/*
 * permits -- who may fetch from the weight store, and when.
 *
 * Bounds the rate of loads, the loads in transit and the adapters in transit.
 * Asking agents ask again until they are granted; a better rank, then an
 * earlier deadline, goes first.  A permit that is never returned expires.
 */
#ifndef COORDINATION_PERMITS_H
#define COORDINATION_PERMITS_H

#include <stdbool.h>
#include <stdint.h>

struct permits;

struct permits_options {
	double loads_per_sec;
	unsigned max_loads; /* models in transit */
	unsigned max_adapters; /* adapters in transit */
	int64_t
	    permit_expiry_us; /* a lost return frees its place after so long */
	int64_t
	    request_expiry_us; /* an ask not repeated for so long is dropped */
	int64_t now_us;
};

struct permit_request {
	const char *runner;
	const char *model; /* or adapter */
	bool adapter;
	unsigned rank_order; /* 0 is the most urgent */
	int64_t deadline_us;
};

struct permit_reply {
	uint64_t permit; /* 0: not granted */
	int64_t retry_us;
};

struct permits *permits_create(const struct permits_options *);
void permits_destroy(struct permits *);

struct permit_reply permits_request(
    struct permits *, const struct permit_request *, int64_t now_us);
void permits_return(struct permits *, uint64_t permit);

unsigned permits_in_transit(const struct permits *, bool adapters);

#endif
