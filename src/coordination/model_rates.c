#include "coordination/model_rates.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/clock.h"

#define DECAY_US (3 * USEC_PER_SEC) /* time constant of the average */
#define MODELS_MAX 1024 /* further models have no rate */

struct model_rate {
	char *model;
	double weight; /* of past requests, at updated_us */
	int64_t updated_us;
	UT_hash_handle hh;
};

struct model_rates {
	struct model_rate *entries;
};

struct model_rates *
model_rates_create(void)
{
	return calloc(1, sizeof(struct model_rates));
}

void
model_rates_destroy(struct model_rates *r)
{
	struct model_rate *e, *next;

	if (r == NULL)
		return;
	HASH_ITER(hh, r->entries, e, next) {
		HASH_DEL(r->entries, e);
		free(e->model);
		free(e);
	}
	free(r);
}

static double
decayed_weight(const struct model_rate *e, int64_t now_us)
{
	return e->weight *
	       exp(-(double)(now_us - e->updated_us) / (double)DECAY_US);
}

void
model_rates_record(struct model_rates *r, const char *model, int64_t now_us)
{
	struct model_rate *e;

	HASH_FIND_STR(r->entries, model, e);
	if (e == NULL) {
		if (HASH_COUNT(r->entries) >= MODELS_MAX)
			return;
		e = calloc(1, sizeof(*e));
		if (e == NULL || (e->model = strdup(model)) == NULL)
			abort();
		HASH_ADD_KEYPTR(hh, r->entries, e->model, strlen(e->model), e);
	}
	e->weight = decayed_weight(e, now_us) + 1;
	e->updated_us = now_us;
}

double
model_rates_get(const struct model_rates *r, const char *model, int64_t now_us)
{
	struct model_rate *e;

	HASH_FIND_STR(r->entries, model, e);
	return e == NULL ? 0
			 : decayed_weight(e, now_us) * USEC_PER_SEC /
			       (double)DECAY_US;
}
