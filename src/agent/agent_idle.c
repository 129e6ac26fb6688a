/*
 * Applies the idle policy to the engine's models and adapters: unloads those
 * whose memory costs more than their next cold start, sets the values by which
 * the loader evicts, and preloads models that are likely to be used soon.
 */
#include "agent/agent_internal.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/metrics.h"
#include "coordination/idle.h"
#include "coordination/loader.h"
#include "coordination/store.h"
#include "state/ledger.h"

#define IDLE_ITEMS_MAX 4096 /* models and adapters with a use history */
/* Longest wait of a preload for memory or a permit. */
#define PRELOAD_TIMEOUT_US (30 * USEC_PER_SEC)

void
agent_create_idle(struct agent *a)
{
	struct idle_options opts = {
		/* Used until a deployment declares others. */
		.hour_worth = 1,
		.cold_second_worth = 0.01,
		.min_keep_us = a->settings.idle_min_keep_ms * USEC_PER_MSEC,
		.max_items = IDLE_ITEMS_MAX,
	};

	a->idle = idle_create(&opts);
	if (a->idle == NULL)
		abort();
	a->idle_unloads =
	    metrics_counter(a->daemon->metrics, "idle_unloads_total", "");
	a->warm_loads =
	    metrics_counter(a->daemon->metrics, "warm_loads_total", "");
}

void
agent_record_use(struct agent *a, const struct job *job)
{
	int64_t now = clock_now(a->daemon->clock);

	if (a->loader == NULL)
		return;
	idle_record_use(a->idle, job->args.target, "", now);
	if (job->args.adapter[0] != '\0')
		idle_record_use(
		    a->idle, job->args.target, job->args.adapter, now);
}

/* Uses the worths of the deployment with the highest cold_second_worth. */
static void
update_worth(struct agent *a)
{
	const struct config *config = store_config(a->daemon->store);
	const struct config_entry *e = NULL;
	double hour = 0, second = -1;

	while ((e = config_next(config, DECL_DEPLOYMENT, e)) != NULL) {
		const struct decl_deployment *d = &e->decl.spec.deployment;

		if (!e->valid || d->cold_second_worth <= second)
			continue;
		hour = d->idle_hour_worth;
		second = d->cold_second_worth;
	}
	if (second >= 0)
		idle_set_costs(a->idle, hour, second);
}

/* The part of the engine's memory, 0 to 1; 1 while its size is unknown. */
static double
memory_share(const struct agent *a, uint64_t bytes)
{
	uint64_t total = ledger_total(loader_ledger(a->loader));

	return total == 0 ? 1 : (double)bytes / (double)total;
}

static int64_t
expected_load_us(const struct agent *a, const struct ledger_item *item)
{
	return item->adapter[0] == '\0'
		   ? loader_load_time_us(a->loader, item->model)
		   : a->settings.adapter_load_ms * USEC_PER_MSEC;
}

/* Updates the values for eviction, and unloads one idle item at most. */
static void
review_loaded(struct agent *a, int64_t now)
{
	struct ledger *ledger = loader_ledger(a->loader);
	struct ledger_item *item, *next;

	for (item = ledger_next(ledger, NULL); item != NULL; item = next) {
		double share = memory_share(a, item->bytes);
		int64_t load = expected_load_us(a, item);

		next = ledger_next(ledger, item);
		/* The loader evicts the item of the least gain per memory. */
		item->value = idle_keep_gain(a->idle, item->model,
				  item->adapter, share, load, now) /
			      (share > 0 ? share : 1);
		if (item->state != LEDGER_LOADED || item->pins > 0)
			continue;
		if (idle_decide(a->idle, item->model, item->adapter, true,
			share, load, now) == IDLE_UNLOAD &&
		    loader_unload(a->loader, item->model, item->adapter)) {
			(*a->idle_unloads)++;
			return; /* the list may have changed */
		}
	}
}

/* Loads a model before its predicted next use, into free memory only. */
static void
preload_model(struct agent *a, const char *model, int64_t now)
{
	const struct config_entry *e =
	    config_find(store_config(a->daemon->store), DECL_MODEL, model);
	const struct ledger *ledger = loader_ledger(a->loader);
	struct loader_request request = {
		.model = model,
		.adapter = "",
		.rank = "",
		.deadline_us = now + PRELOAD_TIMEOUT_US,
	};

	if (e == NULL || !e->valid)
		return;
	request.model_bytes = e->decl.spec.model.memory_bytes;
	if (ledger_used(ledger) + request.model_bytes > ledger_total(ledger) ||
	    idle_decide(a->idle, model, "", false,
		memory_share(a, request.model_bytes),
		loader_load_time_us(a->loader, model), now) != IDLE_PRELOAD)
		return;
	(*a->warm_loads)++;
	(void)loader_request(a->loader, &request);
}

void
agent_review_idle(struct agent *a)
{
	const struct control *control = store_control(a->daemon->store);
	const struct control_slot *slot = NULL;
	int64_t now = clock_now(a->daemon->clock);

	if (a->loader == NULL || !loader_initialized(a->loader) ||
	    now < a->next_idle_review_us)
		return;
	a->next_idle_review_us =
	    now + a->settings.idle_review_ms * USEC_PER_MSEC;
	update_worth(a);
	review_loaded(a, now);
	while ((slot = control_next_runner_slot(
		    control, a->settings.daemon.vm, slot)) != NULL) {
		if (!slot->releasing &&
		    loader_state(a->loader, slot->model) == TM_REPLICA_COLD)
			preload_model(a, slot->model, now);
	}
}
