#include "coordination/swap.h"

#include <string.h>

#include "common/clock.h"

/* The reported steps of an idle time are 0, 1, 2, 4 .. seconds. */
#define IDLE_STEP_FIRST_US (1 * USEC_PER_SEC)
#define IDLE_STEP_FACTOR 2
/* A spare idle for a second is evicted before a last copy idle for these. */
#define SPARE_IDLE_FACTOR 5

static const struct swap_model *
find_model(const struct swap_input *in, const char *name)
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
is_model_requested(const struct swap_input *in, const char *name)
{
	for (size_t i = 0; i < in->request_count; i++) {
		if (strcmp(in->requests[i].model, name) == 0)
			return true;
	}
	return false;
}

static bool
is_adapter_requested(
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

int64_t
swap_idle_us(const struct swap_input *in, const struct swap_model *m)
{
	int64_t idle_us = in->now_us - m->last_use_us;

	return m->spare ? idle_us * SPARE_IDLE_FACTOR : idle_us;
}

const struct swap_model *
swap_victim(const struct swap_input *in)
{
	const struct swap_model *victim = NULL;

	for (size_t i = 0; i < in->model_count; i++) {
		const struct swap_model *m = &in->models[i];

		if (m->in_flight > 0 || is_model_requested(in, m->name) ||
		    in->now_us - m->last_use_us < in->min_keep_us)
			continue;
		if (victim == NULL ||
		    swap_idle_us(in, m) > swap_idle_us(in, victim))
			victim = m;
	}
	return victim;
}

int64_t
swap_idle_quantize(int64_t idle_us)
{
	int64_t step = IDLE_STEP_FIRST_US;

	if (idle_us < IDLE_STEP_FIRST_US)
		return idle_us < 0 ? -1 : 0;
	while (step * IDLE_STEP_FACTOR <= idle_us)
		step *= IDLE_STEP_FACTOR;
	return step;
}

int64_t
swap_idle_estimate(int64_t step_us, int64_t since_report_us)
{
	int64_t most =
	    step_us == 0 ? IDLE_STEP_FIRST_US : step_us * IDLE_STEP_FACTOR;

	if (step_us < 0)
		return -1;
	/* Any longer, and the next step would have been reported. */
	return step_us + since_report_us < most ? step_us + since_report_us
						: most;
}

static struct swap_step
make_step(enum swap_op op, const char *model, const char *adapter)
{
	struct swap_step s = { op, model, adapter };

	return s;
}

struct swap_step
swap_evict_model(const struct swap_input *in)
{
	const struct swap_model *victim = swap_victim(in);

	return victim == NULL ? make_step(SWAP_NONE, NULL, NULL)
			      : make_step(SWAP_UNLOAD, victim->name, NULL);
}

struct swap_step
swap_evict_adapter(const struct swap_input *in)
{
	const struct swap_adapter *victim = NULL;
	const char *model = NULL;

	for (size_t i = 0; i < in->model_count; i++) {
		const struct swap_model *m = &in->models[i];

		for (size_t j = 0; j < m->adapter_count; j++) {
			const struct swap_adapter *a = &m->adapters[j];

			if (a->in_flight > 0 || a->loading ||
			    is_adapter_requested(in, m->name, a->name))
				continue;
			if (victim != NULL &&
			    a->last_use_us >= victim->last_use_us)
				continue;
			victim = a;
			model = m->name;
		}
	}
	return victim == NULL ? make_step(SWAP_NONE, NULL, NULL)
			      : make_step(SWAP_UNLOAD, model, victim->name);
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
step_for_adapter(const struct swap_input *in, const struct swap_request *r)
{
	if (adapter_count(in) >= in->adapter_capacity)
		return swap_evict_adapter(in);
	if (swap_used_mb(in) + r->adapter_mb > in->memory_mb)
		return swap_evict_adapter(in);
	return make_step(SWAP_LOAD, r->model, r->adapter);
}

static struct swap_step
step_for_request(
    const struct swap_input *in, const struct swap_request *r, bool permitted)
{
	const struct swap_model *m = find_model(in, r->model);

	if (m != NULL) {
		if (r->adapter[0] == '\0' || has_adapter(m, r->adapter))
			return make_step(SWAP_NONE, NULL, NULL);
		return step_for_adapter(in, r);
	}
	if (r->needs_permit && !permitted)
		return make_step(SWAP_NONE, NULL, NULL);
	if (swap_used_mb(in) + r->size_mb > in->memory_mb)
		return swap_evict_model(in);
	return make_step(SWAP_LOAD, r->model, NULL);
}

static bool
is_more_urgent(const struct swap_request *a, const struct swap_request *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	return a->since_us < b->since_us;
}

/* The step of the most urgent request that can make progress now. */
static struct swap_step
most_urgent_step(const struct swap_input *in, bool permitted)
{
	struct swap_step best = { SWAP_NONE, NULL, NULL };
	const struct swap_request *first = NULL;

	for (size_t i = 0; i < in->request_count; i++) {
		const struct swap_request *r = &in->requests[i];
		struct swap_step s;

		if (first != NULL && !is_more_urgent(r, first))
			continue;
		s = step_for_request(in, r, permitted);
		if (s.op == SWAP_NONE)
			continue;
		best = s;
		first = r;
	}
	return best;
}

struct swap_step
swap_next(const struct swap_input *in, bool *ask_permit)
{
	struct swap_step now = most_urgent_step(in, false);
	struct swap_step best = most_urgent_step(in, true);

	*ask_permit = now.op != best.op || now.model != best.model ||
		      now.adapter != best.adapter;
	return now;
}
