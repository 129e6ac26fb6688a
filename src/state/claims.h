/*
 * claims -- fold of the `claims.N` streams: which request may run the work of
 * an idempotency key, and the answer that the work returned.
 *
 * Agents consult it before they run work that must run at most once.  For each
 * key the first claim in log order wins, until its owner frees the key or the
 * entry expires.  The lifetime of an entry counts from when this process read
 * the winning claim, not from when it was written: a key is remembered for at
 * least a lifetime if the log retains records that long.  Answers are kept up
 * to a total size; the oldest are dropped first.
 */
#ifndef STATE_CLAIMS_H
#define STATE_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

#define CLAIM_KEY_LEN 32 /* hexadecimal digits, without the NUL */

struct claims;

/* The request that holds a claim, and the agent process that runs it. */
struct claim_owner {
	char request[TM_ID_SIZE]; /* request id, not terminated */
	uint64_t incarnation; /* of the agent */
};

enum claim_state {
	CLAIM_FREE, /* never claimed, or freed by its owner */
	CLAIM_TAKEN, /* claimed, outcome not recorded yet */
	CLAIM_DONE, /* the work ended and its status is recorded */
};

/* A copy of an entry; the pointers are valid until the fold changes. */
struct claim {
	enum claim_state state;
	struct claim_owner owner; /* last one, also in state CLAIM_FREE */
	uint64_t digest; /* of the claiming request, to detect reuse of a key */
	int status; /* HTTP status of the answer; set in CLAIM_DONE */
	const char *content_type; /* never NULL */
	const void *answer; /* NULL if it was not recorded or was dropped */
	size_t answer_len; /* bytes */
};

struct claims_options {
	int64_t lifetime_us; /* of an entry; below the log's retention */
	size_t max_keys; /* claims_full() is true from this count on */
	size_t max_answer_bytes; /* all kept answers together */
	/*
	 * Runs for each claim that is applied; won says whether it took the
	 * key.  Not called again for a repeated record of the last owner.  May
	 * be NULL.
	 */
	void (*on_claim)(
	    void *ctx, const char *key, const struct claim_owner *, bool won);
	void *ctx;
};

/* Returns NULL if out of memory. */
struct claims *claims_create(const struct claims_options *);
void claims_destroy(struct claims *);

/*
 * Hashes service, tenant and the caller's Idempotency-Key into the key of a
 * claim: CLAIM_KEY_LEN hexadecimal digits and a NUL.
 */
void claim_key_hash(char out[CLAIM_KEY_LEN + 1], const char *service,
    const char *tenant, const char *text);
bool claim_owner_equal(const struct claim_owner *, const struct claim_owner *);

/*
 * Applies the next record of the stream.  Records other than claims count only
 * if they come from the owner of a taken key.  now_us is monotonic time.
 */
void claims_apply(
    struct claims *, const struct tm_claim_record *, int64_t now_us);

/* The claim of a key; state CLAIM_FREE if there is none. */
struct claim claims_find(const struct claims *, const char *key);

/* Removes the entries whose lifetime is over, whatever their state. */
void claims_expire(struct claims *, int64_t now_us);

/* Whether max_keys is reached: the caller must refuse new claims. */
bool claims_full(const struct claims *);
size_t claims_count(const struct claims *);

#endif
