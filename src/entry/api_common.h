/* api_common -- what the callers' interfaces share. */
#ifndef ENTRY_API_COMMON_H
#define ENTRY_API_COMMON_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/result.h"

struct entry;
struct evhttp_request;
struct json_t;

struct call_params {
	const char *rank;
	const char *tenant;
	int64_t deadline_us; /* on the clock */
};

/* Answers at once that the work did not run. */
void api_refuse(struct evhttp_request *, enum result, const char *detail);

struct request_options;
/* Answers and returns false if the request may not start. */
bool api_admit(
    struct entry *, struct evhttp_request *, const struct request_options *);

/*
 * Reads the Rank, Deadline-Ms and Tenant headers against the declarations.
 * Returns 0, or -1 after it has answered.
 */
int api_read_params(
    struct entry *, struct evhttp_request *, struct call_params *);

/* Whether some deployment offers this to the rank. */
bool api_offered(const struct entry *, const char *model, const char *adapter,
    const char *service, const char *rank);

/* A model's replicas: decided, loaded, loading, slots.  A new reference. */
struct json_t *api_model_status(struct entry *, const char *model);

#endif
