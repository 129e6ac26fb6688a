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
remove_tenant(struct tenant_requests *r, struct tenant *t)
{
	HASH_DEL(r->tenants, t);
	free(t->name);
	free(t);
}

void
tenant_requests_destroy(struct tenant_requests *r)
{
	struct tenant *t, *next;

	if (r == NULL)
		return;
	HASH_ITER(hh, r->tenants, t, next)
		remove_tenant(r, t);
	free(r);
}

static struct tenant *
find_tenant(const struct tenant_requests *r, const char *name)
{
	struct tenant *t;

	HASH_FIND_STR(r->tenants, name, t);
	return t;
}

uint32_t
tenant_requests_count(const struct tenant_requests *r, const char *tenant)
{
	const struct tenant *t = find_tenant(r, tenant);

	return t == NULL ? 0 : t->count;
}

void
tenant_requests_add(struct tenant_requests *r, const char *tenant)
{
	struct tenant *t = find_tenant(r, tenant);

	if (t == NULL) {
		t = calloc(1, sizeof(*t));
		if (t == NULL || (t->name = strdup(tenant)) == NULL)
			abort();
		HASH_ADD_KEYPTR(hh, r->tenants, t->name, strlen(t->name), t);
	}
	t->count++;
}

void
tenant_requests_remove(struct tenant_requests *r, const char *tenant)
{
	struct tenant *t = find_tenant(r, tenant);

	if (t != NULL && --t->count == 0)
		remove_tenant(r, t);
}
