/* loader_internal -- data and functions shared by the loader_*.c files. */
#ifndef COORDINATION_LOADER_INTERNAL_H
#define COORDINATION_LOADER_INTERNAL_H

#include <bsd/sys/queue.h>

#include "coordination/loader.h"
#include "state/ledger.h"
#include "transport/engine.h"

struct event;
struct histogram;

/* A requested model or adapter that is not loaded yet. */
struct pending_load {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	char rank[ENGINE_NAME_MAX];
	uint64_t bytes;
	int64_t deadline_us;
	bool permit_requested;
	bool has_permit;
	int64_t failed_us; /* time of the failed attempt; 0: not failed */
	TAILQ_ENTRY(pending_load) link;
};

struct order {
	struct loader *loader;
	enum engine_order_op op;
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	bool holds_permit; /* returned when the order ends */
	int64_t sent_us;
	int64_t expected_us; /* predicted duration; 0: no prediction */
	TAILQ_ENTRY(order) link;
};

/*
 * An item that an order has changed since the last state fetch was sent.  The
 * fetched state may be older than the change, so it is ignored for the item.
 */
struct dirty_item {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	TAILQ_ENTRY(dirty_item) link;
};

/*
 * An unload whose answer was lost.  It may act until `until_us`; loading the
 * item before that could have it unloaded again.
 */
struct unconfirmed_unload {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	int64_t until_us;
	TAILQ_ENTRY(unconfirmed_unload) link;
};

/* Cache tier of a model's weights, as reported by the engine. */
struct cached_weights {
	char model[ENGINE_NAME_MAX];
	enum engine_tier tier;
	int64_t load_us; /* estimated load time from there */
};

struct loader {
	struct loader_options opts;
	struct ledger *ledger;
	struct event *timer;
	bool initialized; /* the first engine state has been adopted */
	bool fetching_state;
	int64_t fetch_sent_us; /* when the last state fetch was sent */
	int64_t next_fetch_us;
	int64_t predecessor_until_us; /* its orders may act until then */
	/* A state fetched after predecessor_until_us has been adopted. */
	bool predecessor_done;
	uint32_t max_batch;
	uint32_t tokens_per_sec;
	int64_t remote_load_us; /* estimated load time from the weight store */
	double load_ratio; /* measured to estimated load time, smoothed */
	struct cached_weights *cached;
	size_t cached_count;
	/* Sends the orders that have become possible. */
	void (*advance)(struct loader *);
	TAILQ_HEAD(, pending_load) pending_loads;
	TAILQ_HEAD(, order) orders; /* not answered yet */
	TAILQ_HEAD(, dirty_item) dirty_items;
	TAILQ_HEAD(, unconfirmed_unload) unconfirmed_unloads;
	uint64_t *loads;
	uint64_t *unloads;
	uint64_t *lost_orders;
	struct histogram *load_time;
	struct histogram *load_error;
};

/* ---- loader_query.c ---- */

struct pending_load *loader_find_pending(
    const struct loader *, const char *model, const char *adapter);
/* Returns its permit, if any, and frees it. */
void loader_drop_pending(struct loader *, struct pending_load *);

/* ---- loader_orders.c ---- */

/* Whether an order about the item has not been answered yet. */
bool loader_order_pending(
    const struct loader *, const char *model, const char *adapter);
/* Whether an unload whose answer was lost may still act on the item. */
bool loader_unload_unconfirmed(
    const struct loader *, const char *model, const char *adapter);
void loader_order_load(struct loader *, const struct pending_load *);
void loader_order_unload(struct loader *, struct ledger_item *);
bool loader_is_dirty(
    const struct loader *, const char *model, const char *adapter);

/* ---- loader_state.c ---- */

/* Fetches the engine's state when due. */
void loader_fetch_state(struct loader *);

#endif
