/*
 * ledger -- accounts for the accelerator memory of one runner.
 *
 * The loader reserves memory before it orders a load, and removes the item
 * only after the engine has confirmed the unload: an order whose answer was
 * lost still counts.  The ledger also decides which item is evicted next.
 */
#ifndef STATE_LEDGER_H
#define STATE_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ledger;

enum ledger_state {
	LEDGER_LOADING, /* load ordered, not confirmed */
	LEDGER_LOADED,
	LEDGER_UNLOADING, /* unload ordered, not confirmed */
};

struct ledger_item {
	const char *model;
	const char *adapter; /* "": the model itself */
	uint64_t bytes;
	enum ledger_state state;
	unsigned pins; /* users that prevent an unload */
	bool unload_pending; /* model: to be unloaded after its adapters */
	/*
	 * Monotonic time until which a load order whose answer was lost may
	 * still take effect: until then the item stays although the engine does
	 * not list it.  0: no such order.
	 */
	int64_t uncertain_until_us;
	int64_t last_used_us; /* monotonic time */
	double value; /* of keeping it, by the idle policy; lowest goes first */
};

/* Returns NULL if out of memory. */
struct ledger *ledger_create(uint64_t total_bytes);
void ledger_destroy(struct ledger *);

/* In bytes. */
uint64_t ledger_total(const struct ledger *);
uint64_t ledger_used(const struct ledger *);
/* Sets the total that the engine reports.  It may be less than is used. */
void ledger_set_total(struct ledger *, uint64_t bytes);

/* Returns NULL if there is none. */
struct ledger_item *ledger_find(
    const struct ledger *, const char *model, const char *adapter);
/* Iterates; NULL starts, NULL ends. */
struct ledger_item *ledger_next(const struct ledger *, struct ledger_item *);

/*
 * Adds an item in state LEDGER_LOADING.  Returns NULL if it exists already or
 * does not fit.
 */
struct ledger_item *ledger_reserve(
    struct ledger *, const char *model, const char *adapter, uint64_t bytes);

/* Adds an item that the engine already holds, even beyond the total. */
struct ledger_item *ledger_adopt(struct ledger *, const char *model,
    const char *adapter, uint64_t bytes, enum ledger_state);

/* Removes and frees an item whose memory the engine no longer uses. */
void ledger_remove(struct ledger *, struct ledger_item *);

/* Whether the ledger has adapters of the model, in any state. */
bool ledger_has_adapters(const struct ledger *, const char *model);

/* Bytes that an unload frees, a model's loaded adapters included. */
uint64_t ledger_unload_bytes(const struct ledger *, const struct ledger_item *);

/* Bytes of all items that may be evicted; see ledger_victim(). */
uint64_t ledger_evictable_bytes(const struct ledger *);

/*
 * The item to evict next: loaded, not pinned, no unload pending, of the lowest
 * value, then the least recently used.  A model with an adapter that is loading
 * or pinned may not be evicted.  Returns NULL if nothing may.
 */
struct ledger_item *ledger_victim(const struct ledger *);

#endif
