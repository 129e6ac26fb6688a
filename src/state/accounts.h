/*
 * accounts -- client accounts of a deployment, found by the API key that a
 * request names.
 *
 * Only keyed hashes of the keys are kept: a dump of the daemon's memory or a
 * log line cannot name a key, and the time of a lookup depends on the length of
 * the key alone.  The hash's secret is drawn when the process starts.
 */
#ifndef STATE_ACCOUNTS_H
#define STATE_ACCOUNTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ACCOUNT_NAME_MAX 128 /* size with the NUL */
#define ACCOUNT_KEY_MAX 4096 /* bytes; longer ones belong to no account */

struct accounts;

/* What an account may use of a service, over all daemons. */
struct account_quota {
	double per_s; /* 0: no limit */
	double burst; /* in addition, at once */
	bool in_tokens; /* false: in requests */
	double plain_tokens; /* of a request that states none; if in_tokens */
};

struct account {
	unsigned refs; /* of tables; versions share unchanged accounts */
	uint64_t source[2]; /* hash of the text that it was decoded from */
	char name[ACCOUNT_NAME_MAX];
	bool has_rank; /* otherwise that of the route alone counts */
	unsigned rank; /* 0: most urgent */
	struct account_quota quota;
	uint64_t (*keys)[2]; /* keyed hashes */
	size_t key_count;
};

/* Returns an account with one reference. */
struct account *account_create(void);
void account_unref(struct account *);
/*
 * Whether a name may be written into a header: visible ASCII, shorter than
 * ACCOUNT_NAME_MAX.
 */
bool account_name_is_valid(const char *);
/* Adds a key; an empty or too long one is ignored, as none can name it. */
void account_add_key(struct account *, const char *key, size_t len);

struct accounts *accounts_create(void);
void accounts_destroy(struct accounts *);
/* Adds an account with a reference to it. */
void accounts_add(struct accounts *, struct account *);
size_t accounts_count(const struct accounts *);
/* The accounts in their order. */
struct account *accounts_get(const struct accounts *, size_t index);
/* Returns NULL if there is none. */
const struct account *accounts_find_name(
    const struct accounts *, const char *name);
/*
 * The account of a key.  Returns NULL if there is none, or if several hold the
 * key: the request could be counted and shown as another account's.
 */
const struct account *accounts_find_key(
    const struct accounts *, const char *key, size_t len);

/* What a request of so many tokens takes of the quota. */
double account_quota_amount(const struct account_quota *, uint64_t tokens);

#endif
