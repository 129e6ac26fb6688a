#include "state/accounts.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/stdlib.h>
#include <uthash.h>
#include <xxhash.h>

#define SECRET_BYTES 192 /* XXH3_SECRET_SIZE_MIN is 136 */

/* Entry of a key; held by several accounts, it names none. */
struct key_entry {
	uint64_t hash[2];
	const struct account *account; /* NULL: of several */
	UT_hash_handle hh;
};

/* Entry of a name; the first account that has it. */
struct name_entry {
	const struct account *account;
	UT_hash_handle hh;
};

struct accounts {
	struct account **list;
	size_t count;
	size_t size; /* allocated */
	struct key_entry *keys;
	struct name_entry *names;
};

static void
hash_key(uint64_t out[2], const char *key, size_t len)
{
	static unsigned char secret[SECRET_BYTES];
	static bool drawn;
	XXH128_hash_t hash;

	if (!drawn) {
		arc4random_buf(secret, sizeof(secret));
		drawn = true;
	}
	hash = XXH3_128bits_withSecret(key, len, secret, sizeof(secret));
	out[0] = hash.low64;
	out[1] = hash.high64;
}

static bool
key_is_valid(size_t len)
{
	return len > 0 && len <= ACCOUNT_KEY_MAX;
}

/* ---- one account ---- */

struct account *
account_create(void)
{
	struct account *a = calloc(1, sizeof(*a));

	if (a == NULL)
		abort();
	a->refs = 1;
	return a;
}

void
account_unref(struct account *a)
{
	if (a == NULL || --a->refs > 0)
		return;
	free(a->keys);
	free(a);
}

bool
account_name_is_valid(const char *name)
{
	size_t len = strlen(name);

	if (len == 0 || len >= ACCOUNT_NAME_MAX)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (name[i] <= ' ' || name[i] > '~')
			return false;
	}
	return true;
}

void
account_add_key(struct account *a, const char *key, size_t len)
{
	if (!key_is_valid(len))
		return;
	a->keys = reallocarray(a->keys, a->key_count + 1, sizeof(a->keys[0]));
	if (a->keys == NULL)
		abort();
	hash_key(a->keys[a->key_count++], key, len);
}

double
account_quota_amount(const struct account_quota *q, uint64_t tokens)
{
	if (!q->in_tokens)
		return 1;
	return tokens > 0 ? (double)tokens : q->plain_tokens;
}

/* ---- the table ---- */

struct accounts *
accounts_create(void)
{
	struct accounts *t = calloc(1, sizeof(*t));

	if (t == NULL)
		abort();
	return t;
}

void
accounts_destroy(struct accounts *t)
{
	struct key_entry *e, *next;
	struct name_entry *n, *next_name;

	if (t == NULL)
		return;
	/* The list of elements outlives the table. */
	e = t->keys;
	HASH_CLEAR(hh, t->keys);
	for (; e != NULL; e = next) {
		next = e->hh.next;
		free(e);
	}
	n = t->names;
	HASH_CLEAR(hh, t->names);
	for (; n != NULL; n = next_name) {
		next_name = n->hh.next;
		free(n);
	}
	for (size_t i = 0; i < t->count; i++)
		account_unref(t->list[i]);
	free(t->list);
	free(t);
}

static struct key_entry *
find_entry(const struct accounts *t, const uint64_t hash[2])
{
	struct key_entry *e;

	HASH_FIND_BYHASHVALUE(
	    hh, t->keys, hash, sizeof(e->hash), (unsigned)hash[0], e);
	return e;
}

static void
add_key_entry(struct accounts *t, const struct account *a, size_t index)
{
	struct key_entry *e;

	e = find_entry(t, a->keys[index]);
	if (e != NULL) {
		if (e->account != a)
			e->account = NULL;
		return;
	}
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		abort();
	memcpy(e->hash, a->keys[index], sizeof(e->hash));
	e->account = a;
	HASH_ADD_KEYPTR_BYHASHVALUE(
	    hh, t->keys, e->hash, sizeof(e->hash), (unsigned)e->hash[0], e);
}

static void
add_name_entry(struct accounts *t, const struct account *a)
{
	struct name_entry *n;

	HASH_FIND_STR(t->names, a->name, n);
	if (n != NULL)
		return;
	n = calloc(1, sizeof(*n));
	if (n == NULL)
		abort();
	n->account = a;
	HASH_ADD_KEYPTR(hh, t->names, a->name, strlen(a->name), n);
}

void
accounts_add(struct accounts *t, struct account *a)
{
	a->refs++;
	if (t->count == t->size) {
		t->size = t->size * 2 + 16;
		t->list = reallocarray(t->list, t->size, sizeof(t->list[0]));
		if (t->list == NULL)
			abort();
	}
	t->list[t->count++] = a;
	add_name_entry(t, a);
	for (size_t i = 0; i < a->key_count; i++)
		add_key_entry(t, a, i);
}

size_t
accounts_count(const struct accounts *t)
{
	return t->count;
}

struct account *
accounts_get(const struct accounts *t, size_t index)
{
	return t->list[index];
}

const struct account *
accounts_find_name(const struct accounts *t, const char *name)
{
	const struct name_entry *n;

	HASH_FIND_STR(t->names, name, n);
	return n == NULL ? NULL : n->account;
}

const struct account *
accounts_find_key(const struct accounts *t, const char *key, size_t len)
{
	struct key_entry *e;
	uint64_t hash[2];

	if (!key_is_valid(len))
		return NULL;
	hash_key(hash, key, len);
	e = find_entry(t, hash);
	return e == NULL ? NULL : e->account;
}
