#include "coordination/late_orders.h"

#include <string.h>

/* What a replica holds, or would hold. */
struct load_sum {
	double mb;
	size_t adapters;
};

static void
drop_at(struct late_orders *l, unsigned i)
{
	l->count--;
	memmove(
	    &l->list[i], &l->list[i + 1], (l->count - i) * sizeof(l->list[0]));
}

void
late_orders_add(
    struct late_orders *l, const struct late_order *o, int64_t now_us)
{
	for (unsigned i = 0; i < l->count;) {
		if (l->list[i].until_us <= now_us)
			drop_at(l, i);
		else
			i++;
	}
	if (l->count == LATE_ORDERS_MAX)
		drop_at(l, 0);
	l->list[l->count++] = *o;
}

void
late_orders_answered(struct late_orders *l)
{
	if (l->count > 0)
		l->count--;
}

static struct load_sum
sum_after(
    const struct swap_input *in, const struct swap_step *step, double step_mb)
{
	struct load_sum sum = { .mb = swap_used_mb(in) };

	for (size_t i = 0; i < in->model_count; i++) {
		const struct swap_model *m = &in->models[i];
		bool unloaded = step->op == SWAP_UNLOAD &&
				strcmp(m->name, step->model) == 0;

		sum.adapters += m->adapter_count;
		if (unloaded && step->adapter == NULL) {
			sum.adapters -= m->adapter_count;
			sum.mb -= m->size_mb +
				  (double)m->adapter_count * m->adapter_mb;
		} else if (unloaded) {
			sum.adapters--;
			sum.mb -= m->adapter_mb;
		}
	}
	if (step->op == SWAP_LOAD) {
		sum.mb += step_mb;
		sum.adapters += step->adapter != NULL;
	}
	return sum;
}

static bool
concerns(const struct swap_step *step, const char *model, const char *adapter)
{
	return strcmp(step->model, model) == 0 &&
	       strcmp(step->adapter == NULL ? "" : step->adapter, adapter) == 0;
}

static bool
is_held(const struct swap_input *in, const char *model, const char *adapter)
{
	for (size_t i = 0; i < in->model_count; i++) {
		const struct swap_model *m = &in->models[i];

		if (strcmp(m->name, model) != 0)
			continue;
		if (adapter[0] == '\0')
			return true;
		for (size_t j = 0; j < m->adapter_count; j++) {
			if (strcmp(m->adapters[j].name, adapter) == 0)
				return true;
		}
	}
	return false;
}

/* Whether the replica has it after the step, so that a late load is no load. */
static bool
is_held_after(const struct swap_input *in, const struct swap_step *step,
    const struct late_order *o)
{
	if (step->op == SWAP_LOAD && concerns(step, o->model, o->adapter))
		return true;
	if (step->op == SWAP_UNLOAD && (concerns(step, o->model, o->adapter) ||
					   concerns(step, o->model, "")))
		return false;
	return is_held(in, o->model, o->adapter);
}

/*
 * Adds the largest load among the late orders for this count of orders.
 * Returns false if there are none.
 */
static bool
add_late(const struct late_orders *l, const struct swap_input *in,
    const struct swap_step *step, const char *replica, uint64_t seq,
    struct load_sum *sum)
{
	struct load_sum most = { 0 };
	bool found = false;

	for (unsigned i = 0; i < l->count; i++) {
		const struct late_order *o = &l->list[i];

		if (o->until_us <= in->now_us || o->expected_seq != seq ||
		    strcmp(o->replica, replica) != 0)
			continue;
		found = true;
		if (!o->load || is_held_after(in, step, o))
			continue;
		if (o->adapter[0] != '\0')
			most.adapters = 1;
		if (o->size_mb > most.mb)
			most.mb = o->size_mb;
	}
	sum->mb += most.mb;
	sum->adapters += most.adapters;
	return found;
}

bool
late_orders_fit(const struct late_orders *l, const struct swap_input *in,
    const struct swap_step *step, double step_mb, const char *replica,
    uint64_t seq)
{
	struct load_sum sum = sum_after(in, step, step_mb);
	bool any = false;

	/* One that is carried out makes room for the next one's count. */
	while (add_late(l, in, step, replica, ++seq, &sum))
		any = true;
	return !any || (sum.mb <= in->memory_mb &&
			   sum.adapters <= in->adapter_capacity);
}
