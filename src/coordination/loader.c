#include "coordination/loader_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"

#define FAILURE_PAUSE_US (2 * USEC_PER_SEC)
#define TICK_US (10 * USEC_PER_MSEC)

/* ---- wishes ---- */

/* A failed one is kept for a while, so as not to try again at once. */
static void
drop_expired_wishes(struct loader *l)
{
	int64_t now = clock_now(l->opts.clock);
	struct wish *w, *next;

	TAILQ_FOREACH_SAFE(w, &l->wishes, link, next) {
		if (w->deadline_us <= now &&
		    now - w->failed_us >= FAILURE_PAUSE_US)
			loader_drop_wish(l, w);
	}
}

static bool
is_wished(const struct loader *l, const char *model)
{
	const struct wish *w;

	TAILQ_FOREACH(w, &l->wishes, link) {
		if (strcmp(w->model, model) == 0)
			return true;
	}
	return false;
}

/* ---- unloading ---- */

static bool
right_lost(const struct loader *l, const char *model)
{
	return l->opts.right(l->opts.ctx, model) == LOADER_RIGHT_NONE;
}

/* Orders the unload of a model whose adapters are gone, or of an adapter. */
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
		return item->unload_pending || right_lost(l, item->model);
	case LEDGER_UNLOADING:
		/* The answer was lost: once the engine's word is newer. */
		return !loader_marked(l, item->model, item->adapter);
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
	    is_wished(l, model))
		return false;
	start_unload(l, item);
	return true;
}

/* ---- making room ---- */

/* Memory that unloads under way will free. */
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

/* Pins, or unpins, the models whose adapters are waited for. */
static void
pin_bases(struct loader *l, int n)
{
	const struct wish *w;

	TAILQ_FOREACH(w, &l->wishes, link) {
		struct ledger_item *base = ledger_find(l->ledger, w->model, "");

		if (w->adapter[0] != '\0' && base != NULL)
			base->pins += (unsigned)n;
	}
}

static void
evict(struct loader *l, uint64_t bytes)
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

/* Unloads idle items until `bytes` will fit; none if that cannot succeed. */
static void
make_room(struct loader *l, uint64_t bytes)
{
	pin_bases(l, 1);
	evict(l, bytes);
	pin_bases(l, -1);
}

/* ---- loading ---- */

static bool
base_ready(const struct loader *l, const struct wish *w)
{
	const struct ledger_item *base;

	if (w->adapter[0] == '\0')
		return true;
	base = ledger_find(l->ledger, w->model, "");
	return base != NULL && base->state == LEDGER_LOADED &&
	       !base->unload_pending;
}

static bool
may_load(const struct loader *l, const struct wish *w)
{
	return w->failed_us == 0 && base_ready(l, w) && l->settled &&
	       l->opts.right(l->opts.ctx, w->model) == LOADER_RIGHT_HELD &&
	       ledger_find(l->ledger, w->model, w->adapter) == NULL &&
	       !loader_order_pending(l, w->model, w->adapter) &&
	       !loader_unload_late(l, w->model, w->adapter);
}

static void
ask_permit(struct loader *l, struct wish *w)
{
	struct loader_want want = {
		.model = w->model,
		.adapter = w->adapter,
		.rank = w->rank,
		.deadline_us = w->deadline_us,
	};

	if (w->asked)
		return;
	w->asked = true;
	l->opts.ask_permit(l->opts.ctx, &want, w->adapter[0] != '\0');
}

static void
advance_wish(struct loader *l, struct wish *w)
{
	if (!may_load(l, w))
		return;
	/* Room comes first: a permit held while unloading keeps others off. */
	if (w->bytes > ledger_total(l->ledger) - ledger_used(l->ledger) ||
	    ledger_used(l->ledger) > ledger_total(l->ledger)) {
		make_room(l, w->bytes);
		return;
	}
	if (!w->permitted) {
		ask_permit(l, w);
		return;
	}
	if (ledger_reserve(l->ledger, w->model, w->adapter, w->bytes) == NULL)
		return;
	w->permitted = false; /* the order returns it */
	loader_order_load(l, w);
}

static void
advance(struct loader *l)
{
	struct wish *w, *next;

	if (!l->started)
		return;
	drop_expired_wishes(l);
	advance_unloads(l);
	TAILQ_FOREACH_SAFE(w, &l->wishes, link, next)
		advance_wish(l, w);
}

void
loader_permitted(
    struct loader *l, const char *model, const char *adapter, bool granted)
{
	struct wish *w = loader_find_wish(l, model, adapter);

	if (w == NULL) {
		if (granted)
			l->opts.return_permit(l->opts.ctx, model, adapter);
		return;
	}
	w->asked = false;
	w->permitted = granted;
	if (granted)
		advance_wish(l, w);
}

/* ---- wants ---- */

static void
add_wish(struct loader *l, const struct loader_want *want, bool adapter)
{
	const char *name = adapter ? want->adapter : "";
	struct wish *w = loader_find_wish(l, want->model, name);

	if (w == NULL) {
		w = calloc(1, sizeof(*w));
		if (w == NULL)
			abort();
		strlcpy(w->model, want->model, sizeof(w->model));
		strlcpy(w->adapter, name, sizeof(w->adapter));
		w->bytes = adapter ? want->adapter_bytes : want->model_bytes;
		w->deadline_us = want->deadline_us;
		TAILQ_INSERT_TAIL(&l->wishes, w, link);
	}
	strlcpy(w->rank, want->rank, sizeof(w->rank));
	if (want->deadline_us < w->deadline_us)
		w->deadline_us = want->deadline_us;
	advance_wish(l, w);
}

static enum loader_status
part_status(struct loader *l, const struct loader_want *want, bool adapter)
{
	const char *name = adapter ? want->adapter : "";
	struct ledger_item *item = ledger_find(l->ledger, want->model, name);
	struct wish *w = loader_find_wish(l, want->model, name);
	uint64_t bytes = adapter ? want->adapter_bytes : want->model_bytes;

	if (item != NULL && item->state == LEDGER_LOADED) {
		item->unload_pending = false; /* no order went out yet */
		return LOADER_READY;
	}
	if (bytes > ledger_total(l->ledger))
		return LOADER_TOO_BIG;
	if (w != NULL && w->failed_us != 0) {
		if (clock_now(l->opts.clock) - w->failed_us < FAILURE_PAUSE_US)
			return LOADER_FAILED;
		w->failed_us = 0;
	}
	add_wish(l, want, adapter);
	return LOADER_WAITING;
}

enum loader_status
loader_want(struct loader *l, const struct loader_want *want)
{
	enum loader_status status;

	if (!l->started)
		return LOADER_WAITING;
	if (right_lost(l, want->model))
		return LOADER_NO_SLOT;
	status = part_status(l, want, false);
	if (status != LOADER_READY || want->adapter[0] == '\0')
		return status;
	return part_status(l, want, true);
}

/* ---- uses ---- */

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
	struct wish *w, *w_next;

	TAILQ_FOREACH_SAFE(w, &l->wishes, link, w_next) {
		if (strcmp(w->model, model) == 0)
			loader_drop_wish(l, w);
	}
	advance(l);
	while ((item = ledger_next(l->ledger, item)) != NULL) {
		if (strcmp(item->model, model) == 0)
			return false;
	}
	return l->settled && right_lost(l, model);
}

/* ---- life and reading ---- */

void
loader_tick(struct loader *l)
{
	loader_ask_state(l);
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
	l->changed = advance;
	l->load_ratio = 1;
	l->predecessor_until_us =
	    clock_now(opts->clock) + opts->order_linger_us;
	TAILQ_INIT(&l->wishes);
	TAILQ_INIT(&l->orders);
	TAILQ_INIT(&l->marks);
	TAILQ_INIT(&l->late);
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
	FREE_ALL(&l->wishes, wish);
	FREE_ALL(&l->orders, order);
	FREE_ALL(&l->marks, mark);
	FREE_ALL(&l->late, late_unload);
	if (l->timer != NULL)
		event_free(l->timer);
	ledger_destroy(l->ledger);
	free(l->cached);
	free(l);
}
