#include "state/deployment.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define HOST_SIZE 256 /* bytes with the NUL; longer names are cut */

/* The routes of one host, longest prefix first. */
struct route_host {
	char *host; /* lower case */
	const struct route **routes;
	size_t count;
	UT_hash_handle hh;
};

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
free_route(struct route *r)
{
	for (size_t i = 0; i < r->target_count; i++)
		free(r->targets[i].service);
	free(r->targets);
	free(r->name);
	free(r->host);
	free(r->prefix);
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
	HASH_ITER(hh, d->by_host, h, next) {
		HASH_DEL(d->by_host, h);
		free(h->host);
		free(h->routes);
		free(h);
	}
	for (size_t i = 0; i < d->route_count; i++)
		free_route(&d->routes[i]);
	for (size_t i = 0; i < d->service_count; i++)
		free_service(&d->services[i]);
	free(d->routes);
	free(d->services);
	free(d);
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

static int
compare_prefix_length(const void *a, const void *b)
{
	size_t la = strlen((*(const struct route *const *)a)->prefix);
	size_t lb = strlen((*(const struct route *const *)b)->prefix);

	return la < lb ? 1 : la > lb ? -1 : 0;
}

void
deployment_index(struct deployment *d)
{
	struct route_host *h, *next;
	char host[HOST_SIZE] = "";

	for (size_t i = 0; i < d->route_count; i++) {
		normalize_host(host, d->routes[i].host);
		HASH_FIND_STR(d->by_host, host, h);
		if (h == NULL) {
			h = calloc(1, sizeof(*h));
			if (h == NULL)
				abort();
			h->host = strdup(host);
			h->routes = calloc(
			    d->route_count, sizeof(const struct route *));
			if (h->host == NULL || h->routes == NULL)
				abort();
			HASH_ADD_KEYPTR(
			    hh, d->by_host, h->host, strlen(h->host), h);
		}
		h->routes[h->count++] = &d->routes[i];
	}
	HASH_ITER(hh, d->by_host, h, next)
		qsort(h->routes, h->count, sizeof(const struct route *),
		    compare_prefix_length);
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
		const char *prefix = h->routes[i]->prefix;

		if (strncmp(path, prefix, strlen(prefix)) == 0)
			return h->routes[i];
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
