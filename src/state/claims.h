/*
 * claims -- the fold of the `claims.N` streams: who may run the work of an
 * idempotency key, and what it answered.
 *
 * For each key the first claim in log order wins, until its owner frees it or
 * it is forgotten.  An entry is forgotten a lifetime after it was read, so that
 * a key is remembered at least that long as long as the log keeps records so
 * long.  Answers are kept within a bound in bytes, newest first.
 */
#ifndef STATE_CLAIMS_H
#define STATE_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

#define CLAIM_KEY_LEN 32

struct claims;

struct claim_owner {
	char request[TM_ID_SIZE];
	uint64_t incarnation;
};

enum claim_state {
	CLAIM_FREE, /* never claimed, or freed by its owner */
	CLAIM_TAKEN, /* claimed, no outcome known */
	CLAIM_DONE, /* answered */
};

struct claim {
	enum claim_state state;
	struct claim_owner owner;
	uint64_t digest; /* of the request that claimed it */
	int status;
	const char *content_type;
	const void *answer; /* NULL once no longer kept */
	size_t answer_len;
};

struct claims_options {
	int64_t lifetime_us;
	size_t max_keys; /* beyond it claims_full() is true */
	size_t max_answer_bytes;
	/* Runs for each claim read, with whether it won its key. */
	void (*on_claim)(
	    void *ctx, const char *key, const struct claim_owner *, bool won);
	void *ctx;
};

struct claims *claims_create(const struct claims_options *);
void claims_destroy(struct claims *);

/* Names a key: CLAIM_KEY_LEN characters and a NUL. */
void claim_key_hash(char out[CLAIM_KEY_LEN + 1], const char *service,
    const char *tenant, const char *text);
bool claim_owner_equal(const struct claim_owner *, const struct claim_owner *);

/* Applies one record in its stream's order. */
void claims_apply(
    struct claims *, const struct tm_claim_record *, int64_t now_us);

/* The key's claim; state CLAIM_FREE where there is none. */
struct claim claims_find(const struct claims *, const char *key);

/* Forgets what is past its lifetime. */
void claims_expire(struct claims *, int64_t now_us);

/* Whether no further key can be remembered: new claims must be refused. */
bool claims_full(const struct claims *);
size_t claims_count(const struct claims *);

#endif
