/* Orders of the loader to the engine, and what their answers settle. */
#include "coordination/loader_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/clock.h"
#include "common/histogram.h"
#include "common/log.h"

#define RATIO_WEIGHT 0.2 /* of the newest load in the smoothed ratio */
#define RATIO_MAX 20.0

/* ---- what changed since the last question ---- */

bool
loader_marked(const struct loader *l, const char *model, const char *adapter)
{
	const struct mark *m;

	TAILQ_FOREACH(m, &l->marks, link) {
		if (strcmp(m->model, model) == 0 &&
		    strcmp(m->adapter, adapter) == 0)
			return true;
	}
	return false;
}

static void
mark(struct loader *l, const char *model, const char *adapter)
{
	struct mark *m;

	if (loader_marked(l, model, adapter))
		return;
	m = calloc(1, sizeof(*m));
	if (m == NULL)
		abort();
	strlcpy(m->model, model, sizeof(m->model));
	strlcpy(m->adapter, adapter, sizeof(m->adapter));
	TAILQ_INSERT_TAIL(&l->marks, m, link);
}

/* ---- unloads that may act late ---- */

bool
loader_unload_late(
    const struct loader *l, const char *model, const char *adapter)
{
	const struct late_unload *u;

	TAILQ_FOREACH(u, &l->late, link) {
		if (strcmp(u->model, model) == 0 &&
		    strcmp(u->adapter, adapter) == 0 &&
		    u->until_us > clock_now(l->opts.clock))
			return true;
	}
	return false;
}

static void
forget_late_unloads(struct loader *l)
{
	struct late_unload *u, *next;

	TAILQ_FOREACH_SAFE(u, &l->late, link, next) {
		if (u->until_us > clock_now(l->opts.clock))
			continue;
		TAILQ_REMOVE(&l->late, u, link);
		free(u);
	}
}

static void
note_late_unload(struct loader *l, const struct order *o)
{
	struct late_unload *u = calloc(1, sizeof(*u));

	if (u == NULL)
		abort();
	forget_late_unloads(l);
	strlcpy(u->model, o->model, sizeof(u->model));
	strlcpy(u->adapter, o->adapter, sizeof(u->adapter));
	u->until_us = clock_now(l->opts.clock) + l->opts.order_linger_us;
	TAILQ_INSERT_TAIL(&l->late, u, link);
}

/* ---- answers ---- */

static void
measure_load(struct loader *l, const struct order *o)
{
	int64_t took = clock_now(l->opts.clock) - o->sent_us;
	int64_t error = took - o->expected_us;
	double ratio;

	histogram_record(l->load_time, (uint64_t)took);
	if (o->op != ENGINE_LOAD || o->expected_us <= 0)
		return;
	histogram_record(l->load_error, (uint64_t)(error < 0 ? -error : error));
	/* expected_us held the ratio of its time: correct relative to it. */
	ratio = l->load_ratio * (double)took / (double)o->expected_us;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	l->load_ratio += RATIO_WEIGHT * (ratio - l->load_ratio);
}

static void
settle_load(struct loader *l, const struct order *o, enum engine_status status)
{
	struct ledger_item *item = ledger_find(l->ledger, o->model, o->adapter);
	struct wish *wish = loader_find_wish(l, o->model, o->adapter);

	if (o->permit)
		l->opts.return_permit(l->opts.ctx, o->model, o->adapter);
	if (item == NULL)
		return;
	if (status == ENGINE_OK) {
		item->state = LEDGER_LOADED;
		item->last_used_us = clock_now(l->opts.clock);
		measure_load(l, o);
		if (wish != NULL)
			loader_drop_wish(l, wish);
		return;
	}
	if (wish != NULL) {
		wish->failed_us = clock_now(l->opts.clock);
	}
	if (status == ENGINE_NOT_SENT)
		ledger_remove(l->ledger, item);
	else if (status == ENGINE_LOST)
		item->uncertain_until_us =
		    clock_now(l->opts.clock) + l->opts.order_linger_us;
	/* A refusing engine may hold it: its next state tells. */
}

static void
settle_unload(
    struct loader *l, const struct order *o, enum engine_status status)
{
	struct ledger_item *item = ledger_find(l->ledger, o->model, o->adapter);

	if (status == ENGINE_LOST)
		note_late_unload(l, o);
	if (item == NULL)
		return;
	if (status == ENGINE_OK)
		ledger_remove(l->ledger, item);
	else if (status != ENGINE_LOST)
		item->state = LEDGER_LOADED;
}

static void
on_ordered(void *ctx, enum engine_status status, const char *text)
{
	struct order *o = ctx;
	struct loader *l = o->loader;

	TAILQ_REMOVE(&l->orders, o, link);
	mark(l, o->model, o->adapter);
	if (status != ENGINE_OK)
		log_warn(l->opts.logger, "engine order failed",
		    LF_S("model", o->model), LF_S("adapter", o->adapter),
		    LF_I("op", o->op), LF_I("status", status),
		    LF_S("text", text));
	if (status == ENGINE_LOST)
		(*l->lost_orders)++;
	if (o->op == ENGINE_LOAD || o->op == ENGINE_LOAD_ADAPTER)
		settle_load(l, o, status);
	else
		settle_unload(l, o, status);
	free(o);
	l->changed(l);
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
	o->permit = op == ENGINE_LOAD || op == ENGINE_LOAD_ADAPTER;
	o->sent_us = clock_now(l->opts.clock);
	if (op == ENGINE_LOAD)
		o->expected_us = loader_expected_us(l, model);
	strlcpy(o->model, model, sizeof(o->model));
	strlcpy(o->adapter, adapter, sizeof(o->adapter));
	TAILQ_INSERT_TAIL(&l->orders, o, link);
	mark(l, model, adapter);
	l->opts.engine->ops->order(l->opts.engine->priv, &order, on_ordered, o);
}

void
loader_order_load(struct loader *l, const struct wish *w)
{
	bool adapter = w->adapter[0] != '\0';

	(*l->loads)++;
	log_info(l->opts.logger, "loading", LF_S("model", w->model),
	    LF_S("adapter", w->adapter));
	send_order(l, adapter ? ENGINE_LOAD_ADAPTER : ENGINE_LOAD, w->model,
	    w->adapter, w->bytes);
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
