/*
 * proposals -- records sent to one stream, each waiting for its verdict.
 *
 * A record whose append had no answer is sent again: where the first one
 * landed, the second fails its own expectation, and the first verdict read is
 * the true one.
 */
#ifndef COORDINATION_PROPOSALS_H
#define COORDINATION_PROPOSALS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/result.h"
#include "protocol/tm_xdr.h"

struct clock;
struct event_base;
struct log_client;
struct proposals;

struct proposals_options {
	struct event_base *base;
	const struct clock *clock;
	const struct log_client *log;
	const char *stream;
};

struct proposals *proposals_create(const struct proposals_options *);
void proposals_destroy(struct proposals *);

/* Whether any record still waits. */
bool proposals_pending(const struct proposals *);

/*
 * Appends the data, which it then owns; NULL counts as too large.  done() runs
 * once, never before this returns, with the verdict, RESULT_LOG_UNAVAILABLE
 * (never appended) or RESULT_VERDICT_UNKNOWN after wait_us.
 */
void proposals_add(struct proposals *, const char id[TM_ID_SIZE], void *data,
    size_t len, int64_t wait_us,
    void (*done)(void *ctx, enum result, uint64_t offset), void *ctx);

/* The fold has judged a record, of this daemon or another. */
void proposals_on_verdict(struct proposals *, const char id[TM_ID_SIZE],
    enum result verdict, uint64_t offset);

#endif
