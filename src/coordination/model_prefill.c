#include "coordination/model_prefill.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define WEIGHT 0.2 /* of the newest measurement */
#define FACTOR_MIN 0.1
#define FACTOR_MAX 10.0
#define MODELS_MAX 1024 /* further models keep a factor of 1 */

struct model_factor {
	char *model;
	double factor;
	UT_hash_handle hh;
};

struct model_prefill {
	struct model_factor *entries;
};

struct model_prefill *
model_prefill_create(void)
{
	return calloc(1, sizeof(struct model_prefill));
}

void
model_prefill_destroy(struct model_prefill *p)
{
	struct model_factor *e, *next;

	if (p == NULL)
		return;
	HASH_ITER(hh, p->entries, e, next) {
		HASH_DEL(p->entries, e);
		free(e->model);
		free(e);
	}
	free(p);
}

double
model_prefill_factor(const struct model_prefill *p, const char *model)
{
	struct model_factor *e;

	HASH_FIND_STR(p->entries, model, e);
	return e == NULL ? 1 : e->factor;
}

static struct model_factor *
get_entry(struct model_prefill *p, const char *model)
{
	struct model_factor *e;

	HASH_FIND_STR(p->entries, model, e);
	if (e != NULL || HASH_COUNT(p->entries) >= MODELS_MAX)
		return e;
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		abort();
	e->model = strdup(model);
	if (e->model == NULL)
		abort();
	e->factor = 1;
	HASH_ADD_KEYPTR(hh, p->entries, e->model, strlen(e->model), e);
	return e;
}

void
model_prefill_record(struct model_prefill *p, const char *model,
    int64_t predicted_us, int64_t measured_us)
{
	struct model_factor *e = get_entry(p, model);
	double ratio;

	if (e == NULL || predicted_us <= 0)
		return;
	ratio = e->factor * (double)measured_us / (double)predicted_us;
	e->factor += WEIGHT * (ratio - e->factor);
	if (e->factor < FACTOR_MIN)
		e->factor = FACTOR_MIN;
	if (e->factor > FACTOR_MAX)
		e->factor = FACTOR_MAX;
}
