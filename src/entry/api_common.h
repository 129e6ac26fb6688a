/* api_common -- functions shared by the HTTP handlers. */
#ifndef ENTRY_API_COMMON_H
#define ENTRY_API_COMMON_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/result.h"

struct account;
struct entry;
struct evhttp_request;
struct json_t;
struct request_options;

/* Parameters of a call from its headers; valid while the request is. */
struct call_params {
	const char *rank;
	const char *tenant; /* NULL: none named */
	const struct account *account; /* NULL: none is declared */
	int64_t deadline_us; /* time of the entry's clock */
};

/* Answers with a problem whose outcome is "not run"; detail may be NULL. */
void api_refuse(struct evhttp_request *, enum result, const char *detail);

/* Whether request_start() is allowed; answers with the refusal if not. */
bool api_admit(
    struct entry *, struct evhttp_request *, const struct request_options *);

/*
 * Whether the request's API key belongs to a declared account, or none is
 * declared; otherwise answers with the refusal.
 */
bool api_authenticate(
    struct entry *, struct evhttp_request *, struct call_params *);

/*
 * Reads the Rank, Deadline-Ms and Tenant headers.  An
 * account's name and rank replace those of the headers.  Defaults: the rank of
 * the settings or else the least urgent one, the rank's deadline, no tenant.
 * Returns 0, or -1 after refusing the request.
 */
int api_read_params(
    struct entry *, struct evhttp_request *, struct call_params *);

/*
 * Whether some deployment offers the named model, adapter and service to the
 * rank; NULL or empty names are not checked.
 */
bool api_offered(const struct entry *, const char *model, const char *adapter,
    const char *service, const char *rank);

/*
 * Describes a model's replicas: the counts decided, loaded and loading, and its
 * slots.  Returns a new reference.
 */
struct json_t *api_model_status(struct entry *, const char *model);

#endif
