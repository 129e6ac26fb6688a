#include "coordination/tenant_requests.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

struct tenant {
	char *name;
	uint32_t count; /* at least 1 */
	UT_hash_handle hh;
};

struct tenant_requests {
	struct tenant *tenants;
};

struct tenant_requests *
tenant_requests_create(void)
{
	return calloc(1, sizeof(struct tenant_requests));
}

static void
forget(struct tenant_requests *l, struct tenant *t)
{
	HASH_DEL(l->tenants, t);
	free(t->name);
	free(t);
}

void
tenant_requests_destroy(struct tenant_requests *l)
{
	struct tenant *t, *next;

	if (l == NULL)
		return;
	HASH_ITER(hh, l->tenants, t, next)
		forget(l, t);
	free(l);
}

static struct tenant *
find(const struct tenant_requests *l, const char *name)
{
	struct tenant *t;

	HASH_FIND_STR(l->tenants, name, t);
	return t;
}

uint32_t
tenant_requests_count(const struct tenant_requests *l, const char *tenant)
{
	const struct tenant *t = find(l, tenant);

	return t == NULL ? 0 : t->count;
}

void
tenant_requests_add(struct tenant_requests *l, const char *tenant)
{
	struct tenant *t = find(l, tenant);

	if (t == NULL) {
		t = calloc(1, sizeof(*t));
		if (t == NULL || (t->name = strdup(tenant)) == NULL)
			abort();
		HASH_ADD_KEYPTR(hh, l->tenants, t->name, strlen(t->name), t);
	}
	t->count++;
}

void
tenant_requests_remove(struct tenant_requests *l, const char *tenant)
{
	struct tenant *t = find(l, tenant);

	if (t != NULL && --t->count == 0)
		forget(l, t);
}
