/*
 * request -- routes one caller's request to an agent and receives its answer.
 *
 * Chooses the agent by predicted completion time among the model's slots or the
 * service's VMs, dispatches to it, and passes the answer's chunks on in order.
 * After a lost connection it resumes the answer.  It retries at another agent
 * only if the work did not run or may be repeated, no chunk has been passed on,
 * and the attempts and the retry budget allow it.  Ends exactly once, within
 * 50 ms after the deadline.
 */
#ifndef ENTRY_REQUEST_H
#define ENTRY_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/result.h"
#include "protocol/tm_xdr.h"

struct demand;
struct entry;
struct peer;
struct request;
struct request_table;
struct rpc_call;

struct request_result {
	enum result code;
	enum outcome outcome;
	const char *detail; /* NULL: none */
	int64_t retry_after_ms; /* 0: none */
	int status; /* plain services: HTTP status */
	const char *content_type; /* models: finish reason */
	uint32_t prompt_tokens;
	uint32_t tokens; /* generated */
};

struct request_options {
	bool service; /* plain service, not a model */
	const char *target; /* model or service */
	const char *adapter; /* NULL or empty: none */
	const char *rank;
	const char *tenant; /* NULL: none named */
	const char *idempotency_key; /* NULL: none */
	bool repeatable; /* running the work twice does no harm */
	int64_t deadline_us; /* time of the entry's clock */
	uint32_t prompt_tokens; /* estimate */
	uint32_t max_tokens;
	uint64_t prefix; /* hash of the start of the prompt */
	const char *method; /* plain services: HTTP method */
	const char *path; /* plain services: path and query */
	const char *content_type;
	const void *body;
	size_t body_len;
	void (*on_chunk)(void *ctx, const void *data, size_t len);
	void (*on_end)(void *ctx, const struct request_result *);
	void *ctx;
};

/* Records arrivals, refusals and waiting times per model in the demand. */
struct request_table *request_table_create(struct entry *, struct demand *);
void request_table_destroy(struct request_table *);
size_t request_count(const struct request_table *);
/* Counts the unfinished requests that are dispatched to the peer. */
size_t request_count_at_peer(const struct request_table *, const struct peer *);

struct request_refusal {
	enum result code;
	const char *detail;
	int64_t retry_after_ms;
};

/*
 * Checks the sizes of the options and the limits on unfinished requests, in
 * total and per tenant.  Returns false with the reason filled in.
 */
bool request_check_admission(struct request_table *,
    const struct request_options *, struct request_refusal *);

/*
 * Starts a request that request_check_admission() allows; copies the options.
 * on_end() runs once, unless the request is cancelled, and never before this
 * function returns.
 */
struct request *request_start(
    struct request_table *, const struct request_options *);
const char *request_id(const struct request *); /* hex */

/*
 * Ends a request whose caller has disconnected, and cancels its work at the
 * agent.  on_end() does not run.
 */
void request_cancel(struct request *);

/* ---- events from RPC handlers and membership ---- */

void requests_on_chunk(struct request_table *, const struct tm_chunk *);
void requests_on_finish(struct request_table *, const struct tm_finish *);
void requests_on_backend_end(
    struct request_table *, const struct tm_backend_end *);
void requests_peer_up(struct request_table *, struct peer *);
void requests_peer_down(struct request_table *, struct peer *);
/* Call before the peer is freed. */
void requests_peer_removed(struct request_table *, struct peer *);

#endif
