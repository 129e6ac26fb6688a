/* The engine's word on what it holds, and what the loader takes from it. */
#include "coordination/loader_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/clock.h"

/* Whether this answer may be older than what the loader knows of the item. */
static bool
outdated(const struct loader *l, const char *model, const char *adapter)
{
	return loader_order_pending(l, model, adapter) ||
	       loader_marked(l, model, adapter);
}

static void
take_item(struct loader *l, const struct engine_item *in)
{
	static const enum ledger_state states[] = {
		[ENGINE_LOADING] = LEDGER_LOADING,
		[ENGINE_LOADED] = LEDGER_LOADED,
		[ENGINE_UNLOADING] = LEDGER_UNLOADING,
	};
	struct ledger_item *item;

	if (outdated(l, in->model, in->adapter))
		return;
	item = ledger_find(l->ledger, in->model, in->adapter);
	if (item == NULL) {
		item = ledger_adopt(l->ledger, in->model, in->adapter,
		    in->bytes, states[in->state]);
		item->last_used_us = clock_now(l->opts.clock);
		return;
	}
	item->uncertain_until_us = 0; /* a lost load has acted */
	if (item->state == LEDGER_UNLOADING && in->state == ENGINE_LOADED)
		return; /* a lost unload has not: advance() orders it again */
	item->state = states[in->state];
	if (item->state == LEDGER_LOADED) {
		struct wish *w =
		    loader_find_wish(l, item->model, item->adapter);

		if (w != NULL)
			loader_drop_wish(l, w);
	}
}

static bool
engine_has(const struct engine_state *st, const struct ledger_item *item)
{
	for (size_t i = 0; i < st->item_count; i++) {
		if (strcmp(st->items[i].model, item->model) == 0 &&
		    strcmp(st->items[i].adapter, item->adapter) == 0)
			return true;
	}
	return false;
}

/* Frees what the engine does not hold and no order of ours can bring. */
static void
drop_absent(struct loader *l, const struct engine_state *st)
{
	struct ledger_item *item, *next;

	for (item = ledger_next(l->ledger, NULL); item != NULL; item = next) {
		next = ledger_next(l->ledger, item);
		if (engine_has(st, item) ||
		    outdated(l, item->model, item->adapter) ||
		    item->uncertain_until_us > l->asked_us)
			continue;
		if (item->pins > 0)
			item->state = LEDGER_UNLOADING; /* until its uses end */
		else
			ledger_remove(l->ledger, item);
	}
}

static void
keep_cached(struct loader *l, const struct engine_state *st)
{
	free(l->cached);
	l->cached = calloc(st->cached_count + 1, sizeof(*l->cached));
	if (l->cached == NULL)
		abort();
	l->cached_count = st->cached_count;
	for (size_t i = 0; i < st->cached_count; i++) {
		strlcpy(l->cached[i].model, st->cached[i].model,
		    sizeof(l->cached[i].model));
		l->cached[i].tier = st->cached[i].tier;
		l->cached[i].load_us = st->cached[i].load_us;
	}
}

static void
on_state(void *ctx, const struct engine_state *st)
{
	struct loader *l = ctx;

	l->asking = false;
	l->next_ask_us = clock_now(l->opts.clock) + l->opts.state_refresh_us;
	if (st == NULL)
		return;
	ledger_set_total(l->ledger, st->memory_total);
	l->max_batch = st->max_batch;
	l->tokens_per_sec = st->tokens_per_sec;
	l->remote_load_us = st->remote_load_us;
	for (size_t i = 0; i < st->item_count; i++)
		take_item(l, &st->items[i]);
	drop_absent(l, st);
	keep_cached(l, st);
	l->started = true;
	if (l->asked_us >= l->predecessor_until_us)
		l->settled = true;
	l->changed(l);
	l->opts.changed(l->opts.ctx);
}

void
loader_ask_state(struct loader *l)
{
	struct mark *m;

	if (l->asking || clock_now(l->opts.clock) < l->next_ask_us)
		return;
	while ((m = TAILQ_FIRST(&l->marks)) != NULL) {
		TAILQ_REMOVE(&l->marks, m, link);
		free(m);
	}
	l->asking = true;
	l->asked_us = clock_now(l->opts.clock);
	l->opts.engine->ops->state(l->opts.engine->priv, on_state, l);
}
