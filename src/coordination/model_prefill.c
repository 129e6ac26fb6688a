#include "coordination/pace.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define WEIGHT 0.2 /* of the newest measurement */
#define PACE_MIN 0.1
#define PACE_MAX 10.0
#define MODELS_MAX 1024 /* later ones keep the default */

struct entry {
	char *model;
	double pace;
	UT_hash_handle hh;
};

struct model_pace {
	struct entry *entries;
};

struct model_pace *
pace_create(void)
{
	return calloc(1, sizeof(struct model_pace));
}

void
pace_destroy(struct model_pace *p)
{
	struct entry *e, *next;

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
pace_of(const struct model_pace *p, const char *model)
{
	struct entry *e;

	HASH_FIND_STR(p->entries, model, e);
	return e == NULL ? 1 : e->pace;
}

static struct entry *
get(struct model_pace *p, const char *model)
{
	struct entry *e;

	HASH_FIND_STR(p->entries, model, e);
	if (e != NULL || HASH_COUNT(p->entries) >= MODELS_MAX)
		return e;
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		abort();
	e->model = strdup(model);
	if (e->model == NULL)
		abort();
	e->pace = 1;
	HASH_ADD_KEYPTR(hh, p->entries, e->model, strlen(e->model), e);
	return e;
}

void
pace_note(struct model_pace *p, const char *model, int64_t predicted_us,
    int64_t measured_us)
{
	struct entry *e = get(p, model);
	double ratio;

	if (e == NULL || predicted_us <= 0)
		return;
	ratio = e->pace * (double)measured_us / (double)predicted_us;
	e->pace += WEIGHT * (ratio - e->pace);
	if (e->pace < PACE_MIN)
		e->pace = PACE_MIN;
	if (e->pace > PACE_MAX)
		e->pace = PACE_MAX;
}
