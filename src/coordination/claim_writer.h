/*
 * claim_writer -- claims idempotency keys in the log before their work runs.
 *
 * Claims that come while an append is under way share the next one.  A claim
 * counts only once it has been read back as the first of its key; one given up
 * on never runs, and is freed should it land later.
 */
#ifndef COORDINATION_CLAIM_WRITER_H
#define COORDINATION_CLAIM_WRITER_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/result.h"
#include "state/claims.h"

struct claim_op;
struct claim_writer;
struct clock;
struct event_base;
struct log_client;
struct logger;
struct metrics;

struct claim_writer_options {
	struct event_base *base;
	const struct clock *clock;
	struct logger *logger;
	struct metrics *metrics;
	const struct log_client *log;
	uint64_t incarnation;
	uint32_t partitions; /* the same in all agents */
	int64_t poll_us;
	int64_t retry_us;
	int64_t wait_us; /* longest wait for a claim's verdict */
	int64_t lifetime_us; /* below the log's retention */
	size_t max_keys;
	size_t max_answer_bytes;
};

struct claim_writer *claim_writer_create(const struct claim_writer_options *);
void claim_writer_destroy(struct claim_writer *);

/*
 * Claims a key.  done() runs once, possibly before this returns, with
 *	RESULT_OK and no claim	the work must run now, or be freed
 *	RESULT_OK and a claim	its kept answer is the answer
 *	RESULT_KEY_IN_USE	claimed before, no answer kept
 *	RESULT_KEY_REUSED	claimed before for another request
 *	RESULT_LOG_UNAVAILABLE, RESULT_QUEUE_FULL	not claimed: do not run
 * Returns NULL if done() has run.
 */
struct claim_op *claim_take(struct claim_writer *, const char *key,
    const char request[TM_ID_SIZE], uint64_t digest,
    void (*done)(void *ctx, enum result, const struct claim *), void *ctx);

/* Gives up a claim whose done() has not run; it never will. */
void claim_abandon(struct claim_writer *, struct claim_op *);

/* Records the answer of work whose key this agent claimed. */
void claim_finish(struct claim_writer *, const char *key,
    const char request[TM_ID_SIZE], int status, const char *content_type,
    const void *answer, size_t len);

/* Frees a claimed key whose work did not run and will not. */
void claim_free_key(
    struct claim_writer *, const char *key, const char request[TM_ID_SIZE]);

/* Whether nothing waits to be appended. */
bool claim_writer_idle(const struct claim_writer *);

#endif
