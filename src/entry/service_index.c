#include "entry/service_index.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "coordination/membership.h"

struct service {
	char name[VM_TEXT_MAX];
	struct peer **peers;
	size_t count;
	size_t capacity;
	UT_hash_handle hh;
};

struct service_index {
	struct membership *membership;
	struct service *services;
	int64_t built_us;
	bool built;
};

struct service_index *
service_index_create(struct membership *m)
{
	struct service_index *x = calloc(1, sizeof(*x));

	if (x == NULL)
		abort();
	x->membership = m;
	return x;
}

void
service_index_clear(struct service_index *x)
{
	struct service *s, *next;

	HASH_ITER(hh, x->services, s, next) {
		HASH_DEL(x->services, s);
		free(s->peers);
		free(s);
	}
	x->built = false;
}

void
service_index_destroy(struct service_index *x)
{
	if (x == NULL)
		return;
	service_index_clear(x);
	free(x);
}

static struct service *
find_service(const struct service_index *x, const char *name)
{
	struct service *s;

	HASH_FIND_STR(x->services, name, s);
	return s;
}

static void
add_peer(struct service_index *x, struct peer *peer)
{
	struct service *s = find_service(x, peer->vm.service);

	if (s == NULL) {
		s = calloc(1, sizeof(*s));
		if (s == NULL)
			abort();
		memcpy(s->name, peer->vm.service, sizeof(s->name));
		HASH_ADD_STR(x->services, name, s);
	}
	if (s->count == s->capacity) {
		s->capacity = s->capacity == 0 ? 8 : 2 * s->capacity;
		s->peers = realloc(s->peers, s->capacity * sizeof(*s->peers));
		if (s->peers == NULL)
			abort();
	}
	s->peers[s->count++] = peer;
}

static void
rebuild(struct service_index *x, int64_t now_us)
{
	struct peer *peer = NULL;

	service_index_clear(x);
	while ((peer = membership_next(x->membership, peer)) != NULL) {
		if (peer->vm.role == VM_SERVICE)
			add_peer(x, peer);
	}
	x->built = true;
	x->built_us = now_us;
}

struct peer *const *
service_index_find(
    struct service_index *x, const char *service, int64_t now_us, size_t *count)
{
	const struct service *s;

	if (!x->built || now_us - x->built_us > SERVICE_INDEX_MAX_AGE_US)
		rebuild(x, now_us);
	s = find_service(x, service);
	*count = s == NULL ? 0 : s->count;
	return s == NULL ? NULL : s->peers;
}
