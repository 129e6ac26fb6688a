#include "coordination/swap.h"

#include <string.h>

#include "common/clock.h"

/* Steps of the idle time that others are told: 0, 1, 2, 4 .. s. */
#define IDLE_FIRST_US (1 * USEC_PER_SEC)
#define IDLE_FACTOR 2

static const struct swap_model *
held(const struct swap_input *in, const char *name)
{
	for (size_t i = 0; i < in->model_count; i++) {
		if (strcmp(in->models[i].name, name) == 0)
			return &in->models[i];
	}
	return NULL;
}

static bool
has_adapter(const struct swap_model *m, const char *name)
{
	for (size_t i = 0; i < m->adapter_count; i++) {
		if (strcmp(m->adapters[i].name, name) == 0)
			return true;
	}
	return false;
}

static bool
model_wanted(const struct swap_input *in, const char *name)
{
	for (size_t i = 0; i < in->request_count; i++) {
		if (strcmp(in->requests[i].model, name) == 0)
			return true;
	}
	return false;
}

static bool
adapter_wanted(
    const struct swap_input *in, const char *model, const char *adapter)
{
	for (size_t i = 0; i < in->request_count; i++) {
		if (strcmp(in->requests[i].model, model) == 0 &&
		    strcmp(in->requests[i].adapter, adapter) == 0)
			return true;
	}
	return false;
}

double
swap_used_mb(const struct swap_input *in)
{
	double used = 0;

	for (size_t i = 0; i < in->model_count; i++)
		used += in->models[i].size_mb +
			(double)in->models[i].adapter_count *
			    in->models[i].adapter_mb;
	return used;
}

const struct swap_model *
swap_victim(const struct swap_input *in)
{
	const struct swap_model *victim = NULL;

	for (size_t i = 0; i < in->model_count; i++) {
		const struct swap_model *m = &in->models[i];

		if (m->in_flight > 0 || model_wanted(in, m->name) ||
		    in->now_us - m->last_use_us < in->min_keep_us)
			continue;
		if (victim == NULL || m->last_use_us < victim->last_use_us)
			victim = m;
	}
	return victim;
}

int64_t
swap_idle_quantize(int64_t idle_us)
{
	int64_t step = IDLE_FIRST_US;

	if (idle_us < IDLE_FIRST_US)
		return idle_us < 0 ? -1 : 0;
	while (step * IDLE_FACTOR <= idle_us)
		step *= IDLE_FACTOR;
	return step;
}

int64_t
swap_idle_estimate(int64_t step_us, int64_t since_told_us)
{
	int64_t most = step_us == 0 ? IDLE_FIRST_US : step_us * IDLE_FACTOR;

	if (step_us < 0)
		return -1;
	/* Beyond, the next step would have been told. */
	return step_us + since_told_us < most ? step_us + since_told_us : most;
}

static struct swap_step
step(enum swap_op op, const char *model, const char *adapter)
{
	struct swap_step s = { op, model, adapter };

	return s;
}

static struct swap_step
evict_model(const struct swap_input *in)
{
	const struct swap_model *victim = swap_victim(in);

	return victim == NULL ? step(SWAP_NONE, NULL, NULL)
			      : step(SWAP_UNLOAD, victim->name, NULL);
}

static struct swap_step
evict_adapter(const struct swap_input *in)
{
	const struct swap_adapter *victim = NULL;
	const char *model = NULL;

	for (size_t i = 0; i < in->model_count; i++) {
		const struct swap_model *m = &in->models[i];

		for (size_t j = 0; j < m->adapter_count; j++) {
			const struct swap_adapter *a = &m->adapters[j];

			if (a->in_flight > 0 || a->arriving ||
			    adapter_wanted(in, m->name, a->name))
				continue;
			if (victim != NULL &&
			    a->last_use_us >= victim->last_use_us)
				continue;
			victim = a;
			model = m->name;
		}
	}
	return victim == NULL ? step(SWAP_NONE, NULL, NULL)
			      : step(SWAP_UNLOAD, model, victim->name);
}

static size_t
adapter_count(const struct swap_input *in)
{
	size_t count = 0;

	for (size_t i = 0; i < in->model_count; i++)
		count += in->models[i].adapter_count;
	return count;
}

static struct swap_step
next_adapter(const struct swap_input *in, const struct swap_request *w)
{
	if (adapter_count(in) >= in->adapter_slots)
		return evict_adapter(in);
	if (swap_used_mb(in) + w->adapter_mb > in->memory_mb)
		return evict_adapter(in);
	return step(SWAP_LOAD, w->model, w->adapter);
}

static struct swap_step
next_for(
    const struct swap_input *in, const struct swap_request *w, bool permitted)
{
	const struct swap_model *m = held(in, w->model);

	if (m != NULL) {
		if (w->adapter[0] == '\0' || has_adapter(m, w->adapter))
			return step(SWAP_NONE, NULL, NULL);
		return next_adapter(in, w);
	}
	if (w->needs_permit && !permitted)
		return step(SWAP_NONE, NULL, NULL);
	if (swap_used_mb(in) + w->size_mb > in->memory_mb)
		return evict_model(in);
	return step(SWAP_LOAD, w->model, NULL);
}

static bool
comes_before(const struct swap_request *a, const struct swap_request *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	return a->since_us < b->since_us;
}

/* What the most urgent want needs that something can be done for. */
static struct swap_step
choose(const struct swap_input *in, bool permitted)
{
	struct swap_step best = { SWAP_NONE, NULL, NULL };
	const struct swap_request *first = NULL;

	for (size_t i = 0; i < in->request_count; i++) {
		const struct swap_request *w = &in->requests[i];
		struct swap_step s;

		if (first != NULL && !comes_before(w, first))
			continue;
		s = next_for(in, w, permitted);
		if (s.op == SWAP_NONE)
			continue;
		best = s;
		first = w;
	}
	return best;
}

struct swap_step
swap_next(const struct swap_input *in, bool *ask)
{
	struct swap_step now = choose(in, false);
	struct swap_step best = choose(in, true);

	*ask = now.op != best.op || now.model != best.model ||
	       now.adapter != best.adapter;
	return now;
}
