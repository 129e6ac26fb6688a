#include "coordination/loader_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"

/* Pause before a failed load is tried again. */
#define FAILURE_RETRY_US (2 * USEC_PER_SEC)
#define TICK_US (10 * USEC_PER_MSEC)

/* ---- pending loads ---- */

/* Failed loads are kept, so that a new request does not retry at once. */
static void
drop_expired_loads(struct loader *l)
{
	int64_t now = clock_now(l->opts.clock);
	struct pending_load *p, *next;

	TAILQ_FOREACH_SAFE(p, &l->pending_loads, link, next) {
		if (p->deadline_us <= now &&
		    now - p->failed_us >= FAILURE_RETRY_US)
			loader_drop_pending(l, p);
	}
}

static bool
is_requested(const struct loader *l, const char *model)
{
	const struct pending_load *p;

	TAILQ_FOREACH(p, &l->pending_loads, link) {
		if (strcmp(p->model, model) == 0)
			return true;
	}
	return false;
}

/* ---- unloading ---- */

static bool
not_placed(const struct loader *l, const char *model)
{
	return l->opts.placement(l->opts.ctx, model) == LOADER_NOT_PLACED;
}

/*
 * Unloads an adapter, or a model without adapters.  A model with adapters is
 * marked unload_pending, and its unused adapters are unloaded first.
 */
static void
start_unload(struct loader *l, struct ledger_item *item)
{
	struct ledger_item *other, *next;

	if (item->adapter[0] != '\0' ||
	    !ledger_has_adapters(l->ledger, item->model)) {
		loader_order_unload(l, item);
		return;
	}
	item->unload_pending = true;
	for (other = ledger_next(l->ledger, NULL); other != NULL;
	     other = next) {
		next = ledger_next(l->ledger, other);
		if (other->adapter[0] != '\0' && other->pins == 0 &&
		    other->state == LEDGER_LOADED &&
		    strcmp(other->model, item->model) == 0)
			loader_order_unload(l, other);
	}
}

static bool
must_unload(const struct loader *l, const struct ledger_item *item)
{
	if (item->pins > 0 ||
	    loader_order_pending(l, item->model, item->adapter))
		return false;
	switch (item->state) {
	case LEDGER_LOADING:
		return false;
	case LEDGER_LOADED:
		return item->unload_pending || not_placed(l, item->model);
	case LEDGER_UNLOADING:
		/* The answer was lost: retry after a newer engine state. */
		return !loader_is_dirty(l, item->model, item->adapter);
	}
	return false;
}

static void
advance_unloads(struct loader *l)
{
	struct ledger_item *item, *next;

	for (item = ledger_next(l->ledger, NULL); item != NULL; item = next) {
		next = ledger_next(l->ledger, item);
		if (must_unload(l, item))
			start_unload(l, item);
	}
}

bool
loader_unload(struct loader *l, const char *model, const char *adapter)
{
	struct ledger_item *item = ledger_find(l->ledger, model, adapter);

	if (item == NULL || item->state != LEDGER_LOADED || item->pins > 0 ||
	    is_requested(l, model))
		return false;
	start_unload(l, item);
	return true;
}

/* ---- eviction ---- */

/* Bytes that unloads in progress will free. */
static uint64_t
unloading_bytes(const struct loader *l)
{
	struct ledger_item *item = NULL;
	uint64_t bytes = 0;

	while ((item = ledger_next(l->ledger, item)) != NULL) {
		if (item->state == LEDGER_UNLOADING || item->unload_pending)
			bytes += item->bytes;
	}
	return bytes;
}

/* Adds n to the pins of the base models that pending adapter loads need. */
static void
pin_base_models(struct loader *l, int n)
{
	const struct pending_load *p;

	TAILQ_FOREACH(p, &l->pending_loads, link) {
		struct ledger_item *base = ledger_find(l->ledger, p->model, "");

		if (p->adapter[0] != '\0' && base != NULL)
			base->pins += (unsigned)n;
	}
}

static void
evict_items(struct loader *l, uint64_t bytes)
{
	uint64_t total = ledger_total(l->ledger);
	uint64_t used = ledger_used(l->ledger) - unloading_bytes(l);
	uint64_t evictable = ledger_evictable_bytes(l->ledger);
	struct ledger_item *victim;

	if (evictable > used || used - evictable + bytes > total)
		return;
	while (used + bytes > total) {
		victim = ledger_victim(l->ledger);
		if (victim == NULL)
			return;
		used -= ledger_unload_bytes(l->ledger, victim);
		start_unload(l, victim);
	}
}

/*
 * Evicts idle items until `bytes` will fit, or none if that cannot succeed.
 * Base models of pending adapters are kept.
 */
static void
free_memory(struct loader *l, uint64_t bytes)
{
	pin_base_models(l, 1);
	evict_items(l, bytes);
	pin_base_models(l, -1);
}

/* ---- loading ---- */

static bool
base_ready(const struct loader *l, const struct pending_load *p)
{
	const struct ledger_item *base;

	if (p->adapter[0] == '\0')
		return true;
	base = ledger_find(l->ledger, p->model, "");
	return base != NULL && base->state == LEDGER_LOADED &&
	       !base->unload_pending;
}

static bool
can_load(const struct loader *l, const struct pending_load *p)
{
	return p->failed_us == 0 && base_ready(l, p) && l->predecessor_done &&
	       l->opts.placement(l->opts.ctx, p->model) == LOADER_PLACED &&
	       ledger_find(l->ledger, p->model, p->adapter) == NULL &&
	       !loader_order_pending(l, p->model, p->adapter) &&
	       !loader_unload_unconfirmed(l, p->model, p->adapter);
}

static void
request_permit(struct loader *l, struct pending_load *p)
{
	struct loader_request req = {
		.model = p->model,
		.adapter = p->adapter,
		.rank = p->rank,
		.deadline_us = p->deadline_us,
	};

	if (p->permit_requested)
		return;
	p->permit_requested = true;
	l->opts.request_permit(l->opts.ctx, &req, p->adapter[0] != '\0');
}

static void
advance_load(struct loader *l, struct pending_load *p)
{
	if (!can_load(l, p))
		return;
	/* Evict first: a permit held while unloading would block others. */
	if (p->bytes > ledger_total(l->ledger) - ledger_used(l->ledger) ||
	    ledger_used(l->ledger) > ledger_total(l->ledger)) {
		free_memory(l, p->bytes);
		return;
	}
	if (!p->has_permit) {
		request_permit(l, p);
		return;
	}
	if (ledger_reserve(l->ledger, p->model, p->adapter, p->bytes) == NULL)
		return;
	p->has_permit = false; /* the order returns it */
	loader_order_load(l, p);
}

static void
advance(struct loader *l)
{
	struct pending_load *p, *next;

	if (!l->initialized)
		return;
	drop_expired_loads(l);
	advance_unloads(l);
	TAILQ_FOREACH_SAFE(p, &l->pending_loads, link, next)
		advance_load(l, p);
}

void
loader_permit_reply(
    struct loader *l, const char *model, const char *adapter, bool granted)
{
	struct pending_load *p = loader_find_pending(l, model, adapter);

	if (p == NULL) {
		if (granted)
			l->opts.return_permit(l->opts.ctx, model, adapter);
		return;
	}
	p->permit_requested = false;
	p->has_permit = granted;
	if (granted)
		advance_load(l, p);
}

/* ---- requests ---- */

static void
add_load(struct loader *l, const struct loader_request *req, bool adapter)
{
	const char *name = adapter ? req->adapter : "";
	struct pending_load *p = loader_find_pending(l, req->model, name);

	if (p == NULL) {
		p = calloc(1, sizeof(*p));
		if (p == NULL)
			abort();
		strlcpy(p->model, req->model, sizeof(p->model));
		strlcpy(p->adapter, name, sizeof(p->adapter));
		p->bytes = adapter ? req->adapter_bytes : req->model_bytes;
		p->deadline_us = req->deadline_us;
		TAILQ_INSERT_TAIL(&l->pending_loads, p, link);
	}
	strlcpy(p->rank, req->rank, sizeof(p->rank));
	if (req->deadline_us < p->deadline_us)
		p->deadline_us = req->deadline_us;
	advance_load(l, p);
}

static enum loader_status
item_status(struct loader *l, const struct loader_request *req, bool adapter)
{
	const char *name = adapter ? req->adapter : "";
	struct ledger_item *item = ledger_find(l->ledger, req->model, name);
	struct pending_load *p = loader_find_pending(l, req->model, name);
	uint64_t bytes = adapter ? req->adapter_bytes : req->model_bytes;

	if (item != NULL && item->state == LEDGER_LOADED) {
		item->unload_pending = false; /* its unload was not sent yet */
		return LOADER_READY;
	}
	if (bytes > ledger_total(l->ledger))
		return LOADER_TOO_BIG;
	if (p != NULL && p->failed_us != 0) {
		if (clock_now(l->opts.clock) - p->failed_us < FAILURE_RETRY_US)
			return LOADER_FAILED;
		p->failed_us = 0;
	}
	add_load(l, req, adapter);
	return LOADER_WAITING;
}

enum loader_status
loader_request(struct loader *l, const struct loader_request *req)
{
	enum loader_status status;

	if (!l->initialized)
		return LOADER_WAITING;
	if (not_placed(l, req->model))
		return LOADER_NO_SLOT;
	status = item_status(l, req, false);
	if (status != LOADER_READY || req->adapter[0] == '\0')
		return status;
	return item_status(l, req, true);
}

/* ---- pins ---- */

static void
add_pins(struct loader *l, const char *model, const char *adapter, int n)
{
	struct ledger_item *item = ledger_find(l->ledger, model, adapter);

	if (item == NULL)
		return;
	item->pins += (unsigned)n;
	item->last_used_us = clock_now(l->opts.clock);
}

void
loader_pin(struct loader *l, const char *model, const char *adapter)
{
	add_pins(l, model, "", 1);
	if (adapter[0] != '\0')
		add_pins(l, model, adapter, 1);
}

void
loader_unpin(struct loader *l, const char *model, const char *adapter)
{
	add_pins(l, model, "", -1);
	if (adapter[0] != '\0')
		add_pins(l, model, adapter, -1);
	advance(l);
}

bool
loader_release(struct loader *l, const char *model)
{
	struct ledger_item *item = NULL;
	struct pending_load *p, *next;

	TAILQ_FOREACH_SAFE(p, &l->pending_loads, link, next) {
		if (strcmp(p->model, model) == 0)
			loader_drop_pending(l, p);
	}
	advance(l);
	while ((item = ledger_next(l->ledger, item)) != NULL) {
		if (strcmp(item->model, model) == 0)
			return false;
	}
	return l->predecessor_done && not_placed(l, model);
}

/* ---- lifecycle ---- */

void
loader_tick(struct loader *l)
{
	loader_fetch_state(l);
	advance(l);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct loader *l = arg;
	struct timeval tv = { 0, TICK_US };

	evtimer_add(l->timer, &tv);
	loader_tick(l);
}

struct loader *
loader_create(const struct loader_options *opts)
{
	struct loader *l = calloc(1, sizeof(*l));
	struct timeval now = { 0, 0 };

	if (l == NULL)
		return NULL;
	l->opts = *opts;
	l->advance = advance;
	l->load_ratio = 1;
	l->predecessor_until_us =
	    clock_now(opts->clock) + opts->order_linger_us;
	TAILQ_INIT(&l->pending_loads);
	TAILQ_INIT(&l->orders);
	TAILQ_INIT(&l->dirty_items);
	TAILQ_INIT(&l->unconfirmed_unloads);
	l->ledger = ledger_create(0);
	if (l->ledger == NULL)
		abort();
	l->loads = metrics_counter(opts->metrics, "loads_total", "");
	l->unloads = metrics_counter(opts->metrics, "unloads_total", "");
	l->lost_orders =
	    metrics_counter(opts->metrics, "engine_orders_lost_total", "");
	l->load_time = metrics_histogram(opts->metrics, "load_seconds", "");
	l->load_error =
	    metrics_histogram(opts->metrics, "load_prediction_error", "");
	if (opts->base != NULL) {
		l->timer = evtimer_new(opts->base, on_timer, l);
		if (l->timer == NULL)
			abort();
		evtimer_add(l->timer, &now);
	}
	return l;
}

#define FREE_ALL(head, type)                                                   \
	do {                                                                   \
		struct type *entry_, *next_;                                   \
                                                                               \
		TAILQ_FOREACH_SAFE(entry_, head, link, next_)                  \
			free(entry_);                                          \
	} while (0)

void
loader_destroy(struct loader *l)
{
	if (l == NULL)
		return;
	FREE_ALL(&l->pending_loads, pending_load);
	FREE_ALL(&l->orders, order);
	FREE_ALL(&l->dirty_items, dirty_item);
	FREE_ALL(&l->unconfirmed_unloads, unconfirmed_unload);
	if (l->timer != NULL)
		event_free(l->timer);
	ledger_destroy(l->ledger);
	free(l->cached);
	free(l);
}
