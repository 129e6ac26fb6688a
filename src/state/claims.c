#include "state/claims.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <uthash.h>
#include <xxhash.h>

#include "common/rng.h"

struct claim_entry {
	char key[CLAIM_KEY_LEN + 1];
	enum claim_state state;
	struct claim_owner owner; /* last one, also in state CLAIM_FREE */
	uint64_t digest;
	int status;
	char *content_type;
	void *answer;
	size_t answer_len;
	int64_t applied_us; /* when the winning claim was read */
	UT_hash_handle hh;
	TAILQ_ENTRY(claim_entry) age_link;
	TAILQ_ENTRY(claim_entry) answer_link;
};

struct claims {
	struct claims_options opts;
	struct claim_entry *entries;
	TAILQ_HEAD(, claim_entry) by_age; /* oldest first */
	TAILQ_HEAD(, claim_entry) with_answer; /* oldest first */
	size_t answer_bytes; /* of all kept answers */
};

struct claims *
claims_create(const struct claims_options *opts)
{
	struct claims *c = calloc(1, sizeof(*c));

	if (c == NULL)
		return NULL;
	c->opts = *opts;
	TAILQ_INIT(&c->by_age);
	TAILQ_INIT(&c->with_answer);
	return c;
}

static void
drop_answer(struct claims *c, struct claim_entry *e)
{
	if (e->answer == NULL)
		return;
	TAILQ_REMOVE(&c->with_answer, e, answer_link);
	c->answer_bytes -= e->answer_len;
	free(e->answer);
	e->answer = NULL;
	e->answer_len = 0;
}

static void
remove_entry(struct claims *c, struct claim_entry *e)
{
	drop_answer(c, e);
	TAILQ_REMOVE(&c->by_age, e, age_link);
	HASH_DEL(c->entries, e);
	free(e->content_type);
	free(e);
}

void
claims_destroy(struct claims *c)
{
	struct claim_entry *e, *next;

	if (c == NULL)
		return;
	HASH_ITER(hh, c->entries, e, next)
		remove_entry(c, e);
	free(c);
}

void
claim_key_hash(char out[CLAIM_KEY_LEN + 1], const char *service,
    const char *tenant, const char *text)
{
	const char *parts[] = { service, tenant, text };
	XXH3_state_t *state = XXH3_createState();
	XXH128_canonical_t canonical;

	if (state == NULL)
		abort();
	XXH3_128bits_reset(state);
	/* The NUL separates the parts: "x", "yz" differs from "xy", "z". */
	for (size_t i = 0; i < 3; i++)
		XXH3_128bits_update(state, parts[i], strlen(parts[i]) + 1);
	XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state));
	XXH3_freeState(state);
	hex_encode(out, canonical.digest, sizeof(canonical.digest));
}

bool
claim_owner_equal(const struct claim_owner *a, const struct claim_owner *b)
{
	return a->incarnation == b->incarnation &&
	       memcmp(a->request, b->request, TM_ID_SIZE) == 0;
}

static struct claim_entry *
find_entry(const struct claims *c, const char *key)
{
	struct claim_entry *e;

	HASH_FIND_STR(c->entries, key, e);
	return e;
}

static struct claim_entry *
add_entry(struct claims *c, const char *key)
{
	struct claim_entry *e = calloc(1, sizeof(*e));

	if (e == NULL)
		abort();
	strlcpy(e->key, key, sizeof(e->key));
	HASH_ADD_STR(c->entries, key, e);
	TAILQ_INSERT_TAIL(&c->by_age, e, age_link);
	return e;
}

/* Starts the lifetime again and moves the entry behind all others. */
static void
renew_entry(struct claims *c, struct claim_entry *e, int64_t now_us)
{
	e->applied_us = now_us;
	TAILQ_REMOVE(&c->by_age, e, age_link);
	TAILQ_INSERT_TAIL(&c->by_age, e, age_link);
}

static void
apply_take(struct claims *c, const struct tm_claim_record *rec,
    const struct claim_owner *owner, int64_t now_us)
{
	struct claim_entry *e = find_entry(c, rec->key);
	bool same = e != NULL && claim_owner_equal(&e->owner, owner);
	bool won = e == NULL || (e->state == CLAIM_FREE && !same);

	if (won) {
		if (e == NULL)
			e = add_entry(c, rec->key);
		renew_entry(c, e, now_us);
		e->state = CLAIM_TAKEN;
		e->owner = *owner;
		e->digest = rec->digest;
	} else if (same) {
		return; /* duplicate: the first copy got the verdict */
	}
	if (c->opts.on_claim != NULL)
		c->opts.on_claim(c->opts.ctx, rec->key, owner, won);
}

static void
keep_answer(
    struct claims *c, struct claim_entry *e, const void *data, size_t len)
{
	e->answer = malloc(len + 1);
	if (e->answer == NULL)
		abort();
	memcpy(e->answer, data, len);
	e->answer_len = len;
	c->answer_bytes += len;
	TAILQ_INSERT_TAIL(&c->with_answer, e, answer_link);
	while (c->answer_bytes > c->opts.max_answer_bytes)
		drop_answer(c, TAILQ_FIRST(&c->with_answer));
}

static void
apply_done(
    struct claims *c, struct claim_entry *e, const struct tm_claim_record *rec)
{
	e->state = CLAIM_DONE;
	e->status = rec->status;
	free(e->content_type);
	e->content_type = strdup(rec->content_type);
	if (e->content_type == NULL)
		abort();
	if (rec->kept)
		keep_answer(
		    c, e, rec->answer.answer_val, rec->answer.answer_len);
}

void
claims_apply(
    struct claims *c, const struct tm_claim_record *rec, int64_t now_us)
{
	struct claim_owner owner = { .incarnation = rec->incarnation };
	struct claim_entry *e;

	memcpy(owner.request, rec->request, TM_ID_SIZE);
	if (rec->type == TM_CLAIM_TAKE) {
		apply_take(c, rec, &owner, now_us);
		return;
	}
	e = find_entry(c, rec->key);
	if (e == NULL || e->state != CLAIM_TAKEN ||
	    !claim_owner_equal(&e->owner, &owner))
		return; /* not from the owner, or a duplicate */
	if (rec->type == TM_CLAIM_DONE)
		apply_done(c, e, rec);
	else
		e->state = CLAIM_FREE;
}

struct claim
claims_find(const struct claims *c, const char *key)
{
	const struct claim_entry *e = find_entry(c, key);
	struct claim claim = { .state = CLAIM_FREE, .content_type = "" };

	if (e == NULL)
		return claim;
	claim.state = e->state;
	claim.owner = e->owner;
	claim.digest = e->digest;
	claim.status = e->status;
	claim.content_type = e->content_type ? e->content_type : "";
	claim.answer = e->answer;
	claim.answer_len = e->answer_len;
	return claim;
}

void
claims_expire(struct claims *c, int64_t now_us)
{
	struct claim_entry *e;

	while ((e = TAILQ_FIRST(&c->by_age)) != NULL &&
	       now_us - e->applied_us > c->opts.lifetime_us)
		remove_entry(c, e);
}

bool
claims_full(const struct claims *c)
{
	return HASH_COUNT(c->entries) >= c->opts.max_keys;
}

size_t
claims_count(const struct claims *c)
{
	return HASH_COUNT(c->entries);
}
