#include "coordination/demand.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

struct model_demand {
	char *model;
	struct tm_demand sums;
	UT_hash_handle hh;
};

struct demand {
	size_t max_models;
	struct model_demand *models;
};

struct demand *
demand_create(size_t max_models)
{
	struct demand *d = calloc(1, sizeof(*d));

	if (d != NULL)
		d->max_models = max_models;
	return d;
}

static void
remove_model(struct demand *d, struct model_demand *m)
{
	HASH_DEL(d->models, m);
	free(m->model);
	free(m);
}

void
demand_destroy(struct demand *d)
{
	struct model_demand *m, *next;

	if (d == NULL)
		return;
	HASH_ITER(hh, d->models, m, next)
		remove_model(d, m);
	free(d);
}

/* Returns NULL if max_models have been recorded already. */
static struct model_demand *
get_model(struct demand *d, const char *model)
{
	struct model_demand *m;

	HASH_FIND_STR(d->models, model, m);
	if (m != NULL || HASH_COUNT(d->models) >= d->max_models)
		return m;
	m = calloc(1, sizeof(*m));
	if (m == NULL || (m->model = strdup(model)) == NULL)
		abort();
	HASH_ADD_KEYPTR(hh, d->models, m->model, strlen(m->model), m);
	return m;
}

void
demand_arrived(struct demand *d, const char *model, uint32_t tokens)
{
	struct model_demand *m = get_model(d, model);

	if (m == NULL)
		return;
	m->sums.requests++;
	m->sums.tokens += tokens;
}

void
demand_refused(struct demand *d, const char *model)
{
	struct model_demand *m = get_model(d, model);

	if (m != NULL)
		m->sums.refused++;
}

void
demand_waited(struct demand *d, const char *model, int64_t wait_us)
{
	struct model_demand *m = get_model(d, model);

	if (m != NULL && (u_quad_t)wait_us > m->sums.worst_wait_us)
		m->sums.worst_wait_us = (u_quad_t)wait_us;
}

bool
demand_take(struct demand *d, struct tm_demand_report *report)
{
	struct model_demand *m, *next;
	u_int count = HASH_COUNT(d->models), n = 0;

	if (count == 0)
		return false;
	report->models.models_val = calloc(count, sizeof(struct tm_demand));
	if (report->models.models_val == NULL)
		abort();
	HASH_ITER(hh, d->models, m, next) {
		struct tm_demand *out = &report->models.models_val[n++];

		*out = m->sums;
		out->model = m->model;
		HASH_DEL(d->models, m);
		free(m);
	}
	report->models.models_len = n;
	return true;
}

void
demand_report_clear(struct tm_demand_report *report)
{
	for (u_int i = 0; i < report->models.models_len; i++)
		free(report->models.models_val[i].model);
	free(report->models.models_val);
	report->models.models_val = NULL;
	report->models.models_len = 0;
}
