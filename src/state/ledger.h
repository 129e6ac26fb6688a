/*
 * ledger -- accelerator memory of one runner.
 *
 * Memory is reserved before a load is ordered, and stays used until the engine
 * has confirmed an unload: an order whose answer was lost still counts.
 */
#ifndef STATE_LEDGER_H
#define STATE_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ledger;

enum ledger_state {
	LEDGER_LOADING, /* ordered, not confirmed */
	LEDGER_LOADED,
	LEDGER_UNLOADING, /* ordered, not confirmed */
};

struct ledger_item {
	const char *model;
	const char *adapter; /* empty: the model itself */
	uint64_t bytes;
	enum ledger_state state;
	unsigned pins; /* uses that forbid an unload */
	bool unload_pending; /* to be unloaded once its adapters are */
	/*
	 * An order whose answer was lost may act until then; 0 when the
	 * engine's word can be taken.
	 */
	int64_t uncertain_until_us;
	int64_t last_used_us;
	double value; /* set by the idle policy; least is evicted first */
};

struct ledger *ledger_create(uint64_t total_bytes);
void ledger_destroy(struct ledger *);

uint64_t ledger_total(const struct ledger *);
uint64_t ledger_used(const struct ledger *);
/* The engine's word; a smaller total than what is used frees nothing. */
void ledger_set_total(struct ledger *, uint64_t bytes);

struct ledger_item *ledger_find(
    const struct ledger *, const char *model, const char *adapter);
struct ledger_item *ledger_next(const struct ledger *, struct ledger_item *);

/* Reserves memory as LEDGER_LOADING; NULL if it does not fit or exists. */
struct ledger_item *ledger_reserve(
    struct ledger *, const char *model, const char *adapter, uint64_t bytes);

/* Records what a restarted agent finds, even beyond the total. */
struct ledger_item *ledger_adopt(struct ledger *, const char *model,
    const char *adapter, uint64_t bytes, enum ledger_state);

/* Frees memory after the engine confirmed that it is free. */
void ledger_remove(struct ledger *, struct ledger_item *);

/* Whether the model still has adapters here, in any state. */
bool ledger_has_adapters(const struct ledger *, const char *model);

/* Bytes that go with an item: a model's adapters are unloaded before it. */
uint64_t ledger_unload_bytes(const struct ledger *, const struct ledger_item *);

/* Bytes that an unload of all unpinned loaded items would free. */
uint64_t ledger_evictable_bytes(const struct ledger *);

/*
 * The unpinned loaded item of least value, then least recently used.  A model
 * with an adapter that is loading or pinned is none.
 */
struct ledger_item *ledger_victim(const struct ledger *);

#endif
