#include "state/deployment.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "state/accounts.h"

#define HOST_SIZE 256 /* bytes with the NUL; longer names are cut */

/* The routes of one host; once indexed, longest prefix first. */
struct route_host {
	const char *host; /* of its first route */
	const struct route **routes;
	size_t count;
	size_t size; /* allocated */
	UT_hash_handle hh;
};

/* ---- routes ---- */

struct route *
route_create(void)
{
	struct route *r = calloc(1, sizeof(*r));

	if (r == NULL)
		abort();
	r->refs = 1;
	return r;
}

void
route_unref(struct route *r)
{
	if (r == NULL || --r->refs > 0)
		return;
	for (size_t i = 0; i < r->target_count; i++)
		free(r->targets[i].service);
	free(r->targets);
	free(r->name);
	free(r->host);
	free(r->prefix);
	free(r);
}

/* Copies host in lower case, without its port. */
static void
normalize_host(char out[HOST_SIZE], const char *host)
{
	size_t len = strcspn(host, ":");

	if (len >= HOST_SIZE)
		len = HOST_SIZE - 1;
	for (size_t i = 0; i < len; i++)
		out[i] = (char)tolower((unsigned char)host[i]);
	out[len] = '\0';
}

void
route_set_path(struct route *r, const char *host, const char *prefix)
{
	char name[HOST_SIZE];

	normalize_host(name, host);
	r->host = strdup(name);
	r->prefix = strdup(prefix);
	if (r->host == NULL || r->prefix == NULL)
		abort();
	r->prefix_len = strlen(prefix);
}

/* ---- deployments ---- */

struct deployment *
deployment_create(void)
{
	struct deployment *d = calloc(1, sizeof(*d));

	if (d == NULL)
		abort();
	d->refs = 1;
	return d;
}

struct deployment *
deployment_ref(struct deployment *d)
{
	d->refs++;
	return d;
}

static void
free_service(struct service_spec *s)
{
	for (size_t i = 0; i < s->engine.model_count; i++)
		free(s->engine.models[i].name);
	free(s->engine.models);
	free(s->name);
	free(s->health_path);
}

void
deployment_unref(struct deployment *d)
{
	struct route_host *h, *next;

	if (d == NULL || --d->refs > 0)
		return;
	/* The list of elements outlives the table. */
	h = d->by_host;
	HASH_CLEAR(hh, d->by_host);
	for (; h != NULL; h = next) {
		next = h->hh.next;
		free(h->routes);
		free(h);
	}
	for (size_t i = 0; i < d->route_count; i++)
		route_unref(d->routes[i]);
	for (size_t i = 0; i < d->service_count; i++)
		free_service(&d->services[i]);
	accounts_destroy(d->accounts);
	free(d->routes);
	free(d->services);
	free(d);
}

/* ---- routing ---- */

static struct route_host *
get_host(struct deployment *d, const char *host)
{
	struct route_host *h;

	HASH_FIND_STR(d->by_host, host, h);
	if (h != NULL)
		return h;
	h = calloc(1, sizeof(*h));
	if (h == NULL)
		abort();
	h->host = host;
	HASH_ADD_KEYPTR(hh, d->by_host, h->host, strlen(h->host), h);
	return h;
}

void
deployment_add_route(struct deployment *d, struct route *r)
{
	struct route_host *h = get_host(d, r->host);

	r->refs++;
	if (d->route_count == d->route_size) {
		d->route_size = d->route_size * 2 + 16;
		d->routes =
		    reallocarray(d->routes, d->route_size, sizeof(*d->routes));
	}
	if (h->count == h->size) {
		h->size = h->size * 2 + 1;
		h->routes =
		    reallocarray(h->routes, h->size, sizeof(*h->routes));
	}
	if (d->routes == NULL || h->routes == NULL)
		abort();
	d->routes[d->route_count++] = r;
	h->routes[h->count++] = r;
}

static int
compare_prefix_length(const void *a, const void *b)
{
	size_t la = (*(const struct route *const *)a)->prefix_len;
	size_t lb = (*(const struct route *const *)b)->prefix_len;

	return la < lb ? 1 : la > lb ? -1 : 0;
}

void
deployment_index(struct deployment *d)
{
	struct route_host *h;

	for (h = d->by_host; h != NULL; h = h->hh.next) {
		if (h->count > 1)
			qsort(h->routes, h->count, sizeof(*h->routes),
			    compare_prefix_length);
	}
}

const struct route *
deployment_find_route(
    const struct deployment *d, const char *host, const char *path)
{
	struct route_host *h;
	char name[HOST_SIZE] = "";

	normalize_host(name, host);
	HASH_FIND_STR(d->by_host, name, h);
	for (size_t i = 0; h != NULL && i < h->count; i++) {
		const struct route *r = h->routes[i];

		if (strncmp(path, r->prefix, r->prefix_len) == 0)
			return r;
	}
	return NULL;
}

const struct service_spec *
deployment_find_service(const struct deployment *d, const char *name)
{
	for (size_t i = 0; i < d->service_count; i++) {
		if (strcmp(d->services[i].name, name) == 0)
			return &d->services[i];
	}
	return NULL;
}

const struct model_spec *
engine_find_model(const struct engine_spec *engine, const char *name)
{
	for (size_t i = 0; i < engine->model_count; i++) {
		if (strcmp(engine->models[i].name, name) == 0)
			return &engine->models[i];
	}
	return NULL;
}

int64_t
deployment_least_gap_goal(const struct deployment *d, const char *service)
{
	int64_t least = 0;

	for (size_t i = 0; i < d->route_count; i++) {
		const struct route *r = d->routes[i];

		if (r->gap_goal_us <= 0 ||
		    (least != 0 && r->gap_goal_us >= least))
			continue;
		for (size_t t = 0; t < r->target_count; t++) {
			if (strcmp(r->targets[t].service, service) == 0)
				least = r->gap_goal_us;
		}
	}
	return least;
}

const char *
route_pick_service(const struct route *r, double draw)
{
	unsigned total = 0;
	double at;

	for (size_t i = 0; i < r->target_count; i++)
		total += r->targets[i].weight;
	if (total == 0)
		return NULL;
	at = draw * total;
	for (size_t i = 0; i < r->target_count; i++) {
		if (at < r->targets[i].weight)
			return r->targets[i].service;
		at -= r->targets[i].weight;
	}
	return r->targets[r->target_count - 1].service;
}

bool
route_may_repeat(const struct route *r)
{
	return r->kind == ROUTE_IDEMPOTENT ||
	       (r->kind == ROUTE_STREAM && r->resumable);
}
