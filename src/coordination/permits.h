/*
 * permits -- grants permits to load from the weight store.
 *
 * Used by the holder of a control shard.  Limits the rate of model loads, and
 * the numbers of models and adapters in transit.  An agent repeats its request
 * until it is granted.  Requests of a more urgent rank go first, then those of
 * an earlier deadline.  A permit that is never returned expires.
 */
#ifndef COORDINATION_PERMITS_H
#define COORDINATION_PERMITS_H

#include <stdbool.h>
#include <stdint.h>

struct permits;

struct permits_options {
	double loads_per_sec;
	unsigned max_loads; /* models in transit; also the burst of the rate */
	unsigned max_adapters; /* adapters in transit */
	int64_t permit_expiry_us; /* since the grant; covers a lost return */
	int64_t request_expiry_us; /* since the request was last repeated */
	int64_t now_us; /* time of creation */
};

struct permit_request {
	const char *runner;
	const char *model; /* or adapter */
	bool adapter;
	unsigned rank_order; /* 0 is the most urgent */
	int64_t deadline_us; /* earliest of the requests that wait for it */
};

struct permit_reply {
	uint64_t permit; /* id; 0: not granted */
	int64_t retry_us; /* pause before the request is repeated */
};

struct permits *permits_create(const struct permits_options *);
void permits_destroy(struct permits *);

/*
 * Requests a permit, or repeats a request.  An agent that repeats a granted
 * request gets the same permit.
 */
struct permit_reply permits_request(
    struct permits *, const struct permit_request *, int64_t now_us);
/* Ends a permit by its id; ignores an unknown one. */
void permits_return(struct permits *, uint64_t permit);

/* Permits granted and not returned, for adapters or for models. */
unsigned permits_in_transit(const struct permits *, bool adapters);

#endif
