/* Look-up of pending loads, and queries about the loader's state. */
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "coordination/loader_internal.h"

struct pending_load *
loader_find_pending(
    const struct loader *l, const char *model, const char *adapter)
{
	struct pending_load *p;

	TAILQ_FOREACH(p, &l->pending_loads, link) {
		if (strcmp(p->model, model) == 0 &&
		    strcmp(p->adapter, adapter) == 0)
			return p;
	}
	return NULL;
}

void
loader_drop_pending(struct loader *l, struct pending_load *p)
{
	if (p->has_permit)
		l->opts.return_permit(l->opts.ctx, p->model, p->adapter);
	TAILQ_REMOVE(&l->pending_loads, p, link);
	free(p);
}

bool
loader_initialized(const struct loader *l)
{
	return l->initialized;
}

enum tm_replica_state
loader_state(const struct loader *l, const char *model)
{
	const struct ledger_item *item = ledger_find(l->ledger, model, "");

	if (item == NULL)
		return TM_REPLICA_COLD;
	switch (item->state) {
	case LEDGER_LOADING:
		return TM_REPLICA_LOADING;
	case LEDGER_LOADED:
		return TM_REPLICA_LOADED;
	case LEDGER_UNLOADING:
		return TM_REPLICA_UNLOADING;
	}
	return TM_REPLICA_COLD;
}

bool
loader_is_remote(const struct loader *l, const char *model)
{
	for (size_t i = 0; i < l->cached_count; i++) {
		if (strcmp(l->cached[i].model, model) == 0)
			return l->cached[i].tier == ENGINE_TIER_REMOTE;
	}
	return true;
}

int64_t
loader_load_time_us(const struct loader *l, const char *model)
{
	int64_t load = l->remote_load_us;

	for (size_t i = 0; i < l->cached_count; i++) {
		if (strcmp(l->cached[i].model, model) == 0)
			load = l->cached[i].load_us;
	}
	return (int64_t)((double)load * l->load_ratio);
}

int64_t
loader_remaining_us(const struct loader *l, const char *model)
{
	int64_t load = loader_load_time_us(l, model);
	const struct order *o;

	if (loader_state(l, model) == TM_REPLICA_LOADED)
		return 0;
	TAILQ_FOREACH(o, &l->orders, link) {
		int64_t spent = clock_now(l->opts.clock) - o->sent_us;

		if (o->op == ENGINE_LOAD && strcmp(o->model, model) == 0)
			return load > spent ? load - spent : 0;
	}
	return load;
}

struct ledger *
loader_ledger(const struct loader *l)
{
	return l->ledger;
}

uint32_t
loader_max_batch(const struct loader *l)
{
	return l->max_batch;
}

uint32_t
loader_tokens_per_sec(const struct loader *l)
{
	return l->tokens_per_sec;
}
