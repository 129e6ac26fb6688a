/* Orders that the loader sends to the engine, and their completion. */
#include "coordination/loader_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/clock.h"
#include "common/histogram.h"
#include "common/log.h"

#define RATIO_WEIGHT 0.2 /* of the newest load in the smoothed load_ratio */
#define RATIO_MAX 20.0

/* ---- dirty items ---- */

bool
loader_is_dirty(const struct loader *l, const char *model, const char *adapter)
{
	const struct dirty_item *d;

	TAILQ_FOREACH(d, &l->dirty_items, link) {
		if (strcmp(d->model, model) == 0 &&
		    strcmp(d->adapter, adapter) == 0)
			return true;
	}
	return false;
}

static void
mark_dirty(struct loader *l, const char *model, const char *adapter)
{
	struct dirty_item *d;

	if (loader_is_dirty(l, model, adapter))
		return;
	d = calloc(1, sizeof(*d));
	if (d == NULL)
		abort();
	strlcpy(d->model, model, sizeof(d->model));
	strlcpy(d->adapter, adapter, sizeof(d->adapter));
	TAILQ_INSERT_TAIL(&l->dirty_items, d, link);
}

/* ---- unconfirmed unloads ---- */

bool
loader_unload_unconfirmed(
    const struct loader *l, const char *model, const char *adapter)
{
	const struct unconfirmed_unload *u;

	TAILQ_FOREACH(u, &l->unconfirmed_unloads, link) {
		if (strcmp(u->model, model) == 0 &&
		    strcmp(u->adapter, adapter) == 0 &&
		    u->until_us > clock_now(l->opts.clock))
			return true;
	}
	return false;
}

static void
drop_expired_unloads(struct loader *l)
{
	struct unconfirmed_unload *u, *next;

	TAILQ_FOREACH_SAFE(u, &l->unconfirmed_unloads, link, next) {
		if (u->until_us > clock_now(l->opts.clock))
			continue;
		TAILQ_REMOVE(&l->unconfirmed_unloads, u, link);
		free(u);
	}
}

static void
add_unconfirmed_unload(struct loader *l, const struct order *o)
{
	struct unconfirmed_unload *u = calloc(1, sizeof(*u));

	if (u == NULL)
		abort();
	drop_expired_unloads(l);
	strlcpy(u->model, o->model, sizeof(u->model));
	strlcpy(u->adapter, o->adapter, sizeof(u->adapter));
	u->until_us = clock_now(l->opts.clock) + l->opts.order_linger_us;
	TAILQ_INSERT_TAIL(&l->unconfirmed_unloads, u, link);
}

/* ---- completion ---- */

static void
record_load_time(struct loader *l, const struct order *o)
{
	int64_t took = clock_now(l->opts.clock) - o->sent_us;
	int64_t error = took - o->expected_us;
	double ratio;

	histogram_record(l->load_time, (uint64_t)took);
	if (o->op != ENGINE_LOAD || o->expected_us <= 0)
		return;
	histogram_record(l->load_error, (uint64_t)(error < 0 ? -error : error));
	/* expected_us already includes load_ratio as it was when sent. */
	ratio = l->load_ratio * (double)took / (double)o->expected_us;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	l->load_ratio += RATIO_WEIGHT * (ratio - l->load_ratio);
}

static void
finish_load(struct loader *l, const struct order *o, enum engine_status status)
{
	struct ledger_item *item = ledger_find(l->ledger, o->model, o->adapter);
	struct pending_load *pending =
	    loader_find_pending(l, o->model, o->adapter);

	if (o->holds_permit)
		l->opts.return_permit(l->opts.ctx, o->model, o->adapter);
	if (item == NULL)
		return;
	if (status == ENGINE_OK) {
		item->state = LEDGER_LOADED;
		item->last_used_us = clock_now(l->opts.clock);
		record_load_time(l, o);
		if (pending != NULL)
			loader_drop_pending(l, pending);
		return;
	}
	if (pending != NULL) {
		pending->failed_us = clock_now(l->opts.clock);
	}
	if (status == ENGINE_NOT_SENT)
		ledger_remove(l->ledger, item);
	else if (status == ENGINE_LOST)
		item->uncertain_until_us =
		    clock_now(l->opts.clock) + l->opts.order_linger_us;
	/* If refused, the engine may hold the item: its next state decides. */
}

static void
finish_unload(
    struct loader *l, const struct order *o, enum engine_status status)
{
	struct ledger_item *item = ledger_find(l->ledger, o->model, o->adapter);

	if (status == ENGINE_LOST)
		add_unconfirmed_unload(l, o);
	if (item == NULL)
		return;
	if (status == ENGINE_OK)
		ledger_remove(l->ledger, item);
	else if (status != ENGINE_LOST)
		item->state = LEDGER_LOADED;
}

static void
on_order_done(void *ctx, enum engine_status status, const char *text)
{
	struct order *o = ctx;
	struct loader *l = o->loader;

	TAILQ_REMOVE(&l->orders, o, link);
	mark_dirty(l, o->model, o->adapter);
	if (status != ENGINE_OK)
		log_warn(l->opts.logger, "engine order failed",
		    LF_S("model", o->model), LF_S("adapter", o->adapter),
		    LF_I("op", o->op), LF_I("status", status),
		    LF_S("text", text));
	if (status == ENGINE_LOST)
		(*l->lost_orders)++;
	if (o->op == ENGINE_LOAD || o->op == ENGINE_LOAD_ADAPTER)
		finish_load(l, o, status);
	else
		finish_unload(l, o, status);
	free(o);
	l->advance(l);
	l->opts.changed(l->opts.ctx);
}

/* ---- sending ---- */

bool
loader_order_pending(
    const struct loader *l, const char *model, const char *adapter)
{
	const struct order *o;

	TAILQ_FOREACH(o, &l->orders, link) {
		if (strcmp(o->model, model) == 0 &&
		    strcmp(o->adapter, adapter) == 0)
			return true;
	}
	return false;
}

static void
send_order(struct loader *l, enum engine_order_op op, const char *model,
    const char *adapter, uint64_t bytes)
{
	struct order *o = calloc(1, sizeof(*o));
	struct engine_order order = {
		.op = op,
		.model = model,
		.adapter = adapter,
		.bytes = bytes,
		.fence = l->opts.fence(l->opts.ctx, model),
	};

	if (o == NULL)
		abort();
	o->loader = l;
	o->op = op;
	o->holds_permit = op == ENGINE_LOAD || op == ENGINE_LOAD_ADAPTER;
	o->sent_us = clock_now(l->opts.clock);
	if (op == ENGINE_LOAD)
		o->expected_us = loader_remaining_us(l, model);
	strlcpy(o->model, model, sizeof(o->model));
	strlcpy(o->adapter, adapter, sizeof(o->adapter));
	TAILQ_INSERT_TAIL(&l->orders, o, link);
	mark_dirty(l, model, adapter);
	l->opts.engine->ops->order(
	    l->opts.engine->priv, &order, on_order_done, o);
}

void
loader_order_load(struct loader *l, const struct pending_load *p)
{
	bool adapter = p->adapter[0] != '\0';

	(*l->loads)++;
	log_info(l->opts.logger, "loading", LF_S("model", p->model),
	    LF_S("adapter", p->adapter));
	send_order(l, adapter ? ENGINE_LOAD_ADAPTER : ENGINE_LOAD, p->model,
	    p->adapter, p->bytes);
}

void
loader_order_unload(struct loader *l, struct ledger_item *item)
{
	bool adapter = item->adapter[0] != '\0';

	item->state = LEDGER_UNLOADING;
	item->unload_pending = false;
	(*l->unloads)++;
	log_info(l->opts.logger, "unloading", LF_S("model", item->model),
	    LF_S("adapter", item->adapter));
	send_order(l, adapter ? ENGINE_UNLOAD_ADAPTER : ENGINE_UNLOAD,
	    item->model, item->adapter, item->bytes);
}
