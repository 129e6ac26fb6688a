#include "coordination/unread_answers.h"

#include <stdlib.h>

#include <bsd/string.h>
#include <uthash.h>

#include "state/claims.h"

struct unread_answer {
	char key[CLAIM_KEY_LEN + 1];
	UT_hash_handle hh;
};

struct unread_answers {
	struct unread_answer *keys;
};

struct unread_answers *
unread_answers_create(void)
{
	return calloc(1, sizeof(struct unread_answers));
}

void
unread_answers_destroy(struct unread_answers *u)
{
	if (u == NULL)
		return;
	unread_answers_clear(u);
	free(u);
}

static struct unread_answer *
find(const struct unread_answers *u, const char *key)
{
	struct unread_answer *a;

	HASH_FIND_STR(u->keys, key, a);
	return a;
}

void
unread_answers_add(struct unread_answers *u, const char *key)
{
	struct unread_answer *a;

	if (find(u, key) != NULL)
		return;
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		abort();
	strlcpy(a->key, key, sizeof(a->key));
	HASH_ADD_STR(u->keys, key, a);
}

void
unread_answers_remove(struct unread_answers *u, const char *key)
{
	struct unread_answer *a = find(u, key);

	if (a == NULL)
		return;
	HASH_DEL(u->keys, a);
	free(a);
}

bool
unread_answers_has(const struct unread_answers *u, const char *key)
{
	return find(u, key) != NULL;
}

void
unread_answers_clear(struct unread_answers *u)
{
	struct unread_answer *a, *next;

	HASH_ITER(hh, u->keys, a, next) {
		HASH_DEL(u->keys, a);
		free(a);
	}
}
