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
struct wish {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	char rank[ENGINE_NAME_MAX];
	uint64_t bytes;
	int64_t deadline_us;
	bool asked;
	bool permitted;
	int64_t failed_us; /* 0: not failed */
	TAILQ_ENTRY(wish) link;
};

struct order {
	struct loader *loader;
	enum engine_order_op op;
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	bool permit;
	int64_t sent_us;
	int64_t expected_us;
	TAILQ_ENTRY(order) link;
};

/*
 * A change since the last question for the engine's state was asked: the answer
 * may be older than the change and says nothing about it.
 */
struct mark {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	TAILQ_ENTRY(mark) link;
};

/* An unload that may still act: the item must not be loaded before that. */
struct late_unload {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX];
	int64_t until_us;
	TAILQ_ENTRY(late_unload) link;
};

/* Where a checkpoint is cached, by the engine's word. */
struct cached {
	char model[ENGINE_NAME_MAX];
	enum engine_tier tier;
	int64_t load_us;
};

struct loader {
	struct loader_options opts;
	struct ledger *ledger;
	struct event *timer;
	bool started;
	bool asking; /* a question for the state is under way */
	int64_t asked_us;
	int64_t next_ask_us;
	int64_t predecessor_until_us; /* its orders may act until then */
	bool settled; /* and a state asked for after that was seen */
	uint32_t max_batch;
	uint32_t tokens_per_sec;
	int64_t remote_load_us;
	double load_ratio; /* measured to reported load time, smoothed */
	struct cached *cached;
	size_t cached_count;
	/* What is possible may have changed: does what has become so. */
	void (*changed)(struct loader *);
	TAILQ_HEAD(, wish) wishes;
	TAILQ_HEAD(, order) orders;
	TAILQ_HEAD(, mark) marks;
	TAILQ_HEAD(, late_unload) late;
	uint64_t *loads;
	uint64_t *unloads;
	uint64_t *lost_orders;
	struct histogram *load_time;
	struct histogram *load_error;
};

/* ---- loader_view.c ---- */

struct wish *loader_find_wish(
    const struct loader *, const char *model, const char *adapter);
void loader_drop_wish(struct loader *, struct wish *);

/* ---- loader_orders.c ---- */

bool loader_order_pending(
    const struct loader *, const char *model, const char *adapter);
/* Whether an unload under way or lost may still act on the item. */
bool loader_unload_late(
    const struct loader *, const char *model, const char *adapter);
void loader_order_load(struct loader *, const struct wish *);
void loader_order_unload(struct loader *, struct ledger_item *);
bool loader_marked(
    const struct loader *, const char *model, const char *adapter);

/* ---- loader_state.c ---- */

/* Asks for the engine's state when it is time. */
void loader_ask_state(struct loader *);

#endif
