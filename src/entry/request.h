/*
 * request -- one caller's request on its way through the agents.
 *
 * Chooses a slot, dispatches, puts the chunks in order, resumes after a lost
 * connection, and tries elsewhere where that is safe.  Ends exactly once, at
 * the deadline at the latest.
 */
#ifndef ENTRY_REQUEST_H
#define ENTRY_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/result.h"
#include "protocol/tm_xdr.h"

struct entry;
struct peer;
struct request;
struct request_table;
struct rpc_call;

struct request_result {
	enum result code;
	enum outcome outcome;
	const char *detail;
	int64_t retry_after_ms;
	int status; /* plain services: HTTP status */
	const char *content_type;
	uint32_t prompt_tokens;
	uint32_t tokens;
};

struct request_options {
	bool service;
	const char *target; /* model or service */
	const char *adapter;
	const char *rank;
	const char *tenant;
	const char *idempotency_key;
	bool repeatable;
	int64_t deadline_us; /* on the clock */
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint64_t prefix;
	const char *method;
	const char *path;
	const char *content_type;
	const void *body;
	size_t body_len;
	void (*on_chunk)(void *ctx, const void *data, size_t len);
	void (*on_end)(void *ctx, const struct request_result *);
	void *ctx;
};

struct demand;

/* Arrivals, refusals and waits go to the demand. */
struct request_table *request_table_create(struct entry *, struct demand *);
void request_table_destroy(struct request_table *);
size_t request_count(const struct request_table *);
/* Requests that were sent to the peer and have not ended. */
size_t request_count_at_peer(const struct request_table *, const struct peer *);

struct request_refusal {
	enum result code;
	const char *detail;
	int64_t retry_after_ms;
};

/* Whether a request with these options may start; if not, why. */
bool request_check_admission(struct request_table *,
    const struct request_options *, struct request_refusal *);

/* on_end() runs once unless cancelled; never before this returns. */
struct request *request_start(
    struct request_table *, const struct request_options *);
const char *request_id(const struct request *); /* hex */

/* The caller is gone: ends the work as far down as possible. */
void request_cancel(struct request *);

/* ---- called by the entry's RPC handlers and membership ---- */

void requests_on_chunk(struct request_table *, const struct tm_chunk *);
void requests_on_finish(struct request_table *, const struct tm_finish *);
void requests_peer_up(struct request_table *, struct peer *);
void requests_peer_down(struct request_table *, struct peer *);
/* Before the peer is forgotten. */
void requests_peer_removed(struct request_table *, struct peer *);

#endif
