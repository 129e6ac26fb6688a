/* Fetches the engine's state and reconciles the loader's with it. */
#include "coordination/loader_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/clock.h"

/* Whether the fetched state may be older than the loader's of the item. */
static bool
is_outdated(const struct loader *l, const char *model, const char *adapter)
{
	return loader_order_pending(l, model, adapter) ||
	       loader_is_dirty(l, model, adapter);
}

static void
merge_item(struct loader *l, const struct engine_item *in)
{
	static const enum ledger_state states[] = {
		[ENGINE_LOADING] = LEDGER_LOADING,
		[ENGINE_LOADED] = LEDGER_LOADED,
		[ENGINE_UNLOADING] = LEDGER_UNLOADING,
	};
	struct ledger_item *item;

	if (is_outdated(l, in->model, in->adapter))
		return;
	item = ledger_find(l->ledger, in->model, in->adapter);
	if (item == NULL) {
		item = ledger_adopt(l->ledger, in->model, in->adapter,
		    in->bytes, states[in->state]);
		item->last_used_us = clock_now(l->opts.clock);
		return;
	}
	item->uncertain_until_us = 0; /* a load without an answer has acted */
	if (item->state == LEDGER_UNLOADING && in->state == ENGINE_LOADED)
		return; /* an unload was lost: advance() sends it again */
	item->state = states[in->state];
	if (item->state == LEDGER_LOADED) {
		struct pending_load *p =
		    loader_find_pending(l, item->model, item->adapter);

		if (p != NULL)
			loader_drop_pending(l, p);
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

/* Frees items that the engine lacks and that no lost order can still load. */
static void
drop_absent(struct loader *l, const struct engine_state *st)
{
	struct ledger_item *item, *next;

	for (item = ledger_next(l->ledger, NULL); item != NULL; item = next) {
		next = ledger_next(l->ledger, item);
		if (engine_has(st, item) ||
		    is_outdated(l, item->model, item->adapter) ||
		    item->uncertain_until_us > l->fetch_sent_us)
			continue;
		if (item->pins > 0)
			item->state = LEDGER_UNLOADING; /* until unpinned */
		else
			ledger_remove(l->ledger, item);
	}
}

static void
copy_cached(struct loader *l, const struct engine_state *st)
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

	l->fetching_state = false;
	l->next_fetch_us = clock_now(l->opts.clock) + l->opts.state_refresh_us;
	if (st == NULL)
		return;
	ledger_set_total(l->ledger, st->memory_total);
	l->max_batch = st->max_batch;
	l->tokens_per_sec = st->tokens_per_sec;
	l->remote_load_us = st->remote_load_us;
	for (size_t i = 0; i < st->item_count; i++)
		merge_item(l, &st->items[i]);
	drop_absent(l, st);
	copy_cached(l, st);
	l->initialized = true;
	if (l->fetch_sent_us >= l->predecessor_until_us)
		l->predecessor_done = true;
	l->advance(l);
	l->opts.changed(l->opts.ctx);
}

void
loader_fetch_state(struct loader *l)
{
	struct dirty_item *d;

	if (l->fetching_state || clock_now(l->opts.clock) < l->next_fetch_us)
		return;
	while ((d = TAILQ_FIRST(&l->dirty_items)) != NULL) {
		TAILQ_REMOVE(&l->dirty_items, d, link);
		free(d);
	}
	l->fetching_state = true;
	l->fetch_sent_us = clock_now(l->opts.clock);
	l->opts.engine->ops->state(l->opts.engine->priv, on_state, l);
}
