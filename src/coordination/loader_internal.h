/* loader_internal -- what the parts of the loader share. */
#ifndef COORDINATION_LOADER_INTERNAL_H
#define COORDINATION_LOADER_INTERNAL_H

#include <bsd/sys/queue.h>

#include "coordination/loader.h"
#include "state/ledger.h"
#include "transport/engine.h"

struct event;
struct histogram;

/* A model or adapter that someone waits for. */
struct pending_load {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	char rank[ENGINE_NAME_MAX];
	uint64_t bytes;
	int64_t deadline_us;
	bool permit_requested;
	bool has_permit;
	int64_t failed_us; /* 0: not failed */
	TAILQ_ENTRY(pending_load) link;
};

struct order {
	struct loader *loader;
	enum engine_order_op op;
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	bool holds_permit;
	int64_t sent_us;
	int64_t expected_us;
	TAILQ_ENTRY(order) link;
};

/*
 * A change since the last question for the engine's state was asked: the answer
 * may be older than the change and says nothing about it.
 */
struct dirty_item {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	TAILQ_ENTRY(dirty_item) link;
};

/* An unload that may still act: the item must not be loaded before that. */
struct unconfirmed_unload {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	int64_t until_us;
	TAILQ_ENTRY(unconfirmed_unload) link;
};

/* Where a checkpoint is cached, by the engine's word. */
struct cached_weights {
	char model[ENGINE_NAME_MAX];
	enum engine_tier tier;
	int64_t load_us;
};

struct loader {
	struct loader_options opts;
	struct ledger *ledger;
	struct event *timer;
	bool initialized;
	bool fetching_state; /* a question for the state is under way */
	int64_t fetch_sent_us;
	int64_t next_fetch_us;
	int64_t predecessor_until_us; /* its orders may act until then */
	bool predecessor_done; /* and a state asked for after that was seen */
	uint32_t max_batch;
	uint32_t tokens_per_sec;
	int64_t remote_load_us;
	double load_ratio; /* measured to reported load time, smoothed */
	struct cached_weights *cached;
	size_t cached_count;
	/* What is possible may have changed: does what has become so. */
	void (*advance)(struct loader *);
	TAILQ_HEAD(, pending_load) pending_loads;
	TAILQ_HEAD(, order) orders;
	TAILQ_HEAD(, dirty_item) dirty_items;
	TAILQ_HEAD(, unconfirmed_unload) unconfirmed_unloads;
	uint64_t *loads;
	uint64_t *unloads;
	uint64_t *lost_orders;
	struct histogram *load_time;
	struct histogram *load_error;
};

/* ---- loader_view.c ---- */

struct pending_load *loader_find_pending(
    const struct loader *, const char *model, const char *adapter);
void loader_drop_pending(struct loader *, struct pending_load *);

/* ---- loader_orders.c ---- */

bool loader_order_pending(
    const struct loader *, const char *model, const char *adapter);
/* Whether an unload under way or lost may still act on the item. */
bool loader_unload_unconfirmed(
    const struct loader *, const char *model, const char *adapter);
void loader_order_load(struct loader *, const struct pending_load *);
void loader_order_unload(struct loader *, struct ledger_item *);
bool loader_is_dirty(
    const struct loader *, const char *model, const char *adapter);

/* ---- loader_state.c ---- */

/* Asks for the engine's state when it is time. */
void loader_fetch_state(struct loader *);

#endif
