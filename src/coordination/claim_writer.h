/*
 * claim_writer -- claims idempotency keys in the log before their work runs.
 *
 * Agents use it for requests that must run at most once.  A key belongs to one
 * of the streams `claims.N`, by its hash.  Claims that arrive while an append
 * to the stream is pending share the next one.  A claim is valid once it has
 * been read back as the first of its key.  After a claim has failed or was
 * abandoned its work must not run; if it is then read from the log after all,
 * its key is freed.
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
	uint64_t incarnation; /* of this agent */
	uint32_t partitions; /* claims streams; the same in all agents */
	int64_t poll_us; /* longest wait of a log read for new records */
	int64_t retry_us; /* pause after a failed read or append */
	int64_t wait_us; /* longest wait for a claim's verdict */
	/* As in struct claims_options. */
	int64_t lifetime_us;
	size_t max_keys;
	size_t max_answer_bytes;
};

/* Starts to read the streams. */
struct claim_writer *claim_writer_create(const struct claim_writer_options *);
/* done() of pending claims does not run. */
void claim_writer_destroy(struct claim_writer *);

/*
 * Claims a key, which claim_key_hash() made, for a request with this id and
 * digest.  done() runs once, possibly before this returns, with
 *	RESULT_OK, no claim	claimed: run the work, then claim_finish(),
 *				or claim_free_key() if it does not run
 *	RESULT_OK, a claim	claimed earlier: return its answer
 *	RESULT_KEY_IN_USE	claimed earlier, and no answer is kept
 *	RESULT_KEY_REUSED	claimed earlier, with another digest
 *	RESULT_LOG_UNAVAILABLE	stream not read, append refused or no verdict
 *	RESULT_QUEUE_FULL	too many keys, or too many bytes to append
 * The work must run after the first only.  The claim is valid during done().
 * Returns NULL if done() has run.
 */
struct claim_op *claim_take(struct claim_writer *, const char *key,
    const char request[TM_ID_SIZE], uint64_t digest,
    void (*done)(void *ctx, enum result, const struct claim *), void *ctx);

/* Abandons a claim whose done() has not run, and now will not. */
void claim_abandon(struct claim_writer *, struct claim_op *);

/*
 * Appends the answer to a request whose key this agent claimed; status is its
 * HTTP status.  An answer above 64 KiB, or one that comes while too many bytes
 * are queued, is recorded without its body.
 */
void claim_finish(struct claim_writer *, const char *key,
    const char request[TM_ID_SIZE], int status, const char *content_type,
    const void *answer, size_t len);

/* Frees a claimed key; the work must not have run, and must not run later. */
void claim_free_key(
    struct claim_writer *, const char *key, const char request[TM_ID_SIZE]);

/* Whether all records have been appended. */
bool claim_writer_idle(const struct claim_writer *);

#endif
