/*
 * loader -- loads and unloads models and adapters on one runner.
 *
 * The agent requests what its queued requests need; the loader decides what to
 * load and what to evict, from the memory ledger, the placement and the state
 * that the engine reports.  Memory is reserved in the ledger before an order is
 * sent.  When memory is short, the idle models of least value are evicted.  One
 * load serves all requests for the same model.
 *
 * After a restart, the loader first adopts what the engine holds.  It loads
 * nothing until the orders that its predecessor may have sent can no longer
 * act.
 */
#ifndef COORDINATION_LOADER_H
#define COORDINATION_LOADER_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

struct clock;
struct engine_client;
struct event_base;
struct ledger;
struct loader;
struct logger;
struct metrics;

enum loader_status {
	LOADER_READY, /* loaded: may be used now */
	LOADER_WAITING, /* loading, or waiting for memory or a permit */
	LOADER_FAILED, /* the last attempt failed; retried on a later request */
	LOADER_TOO_BIG, /* larger than the runner's memory */
	LOADER_NO_SLOT, /* this runner has no slot of the model */
};

/* Whether the placement gives this runner a slot of a model. */
enum loader_placement {
	LOADER_PLACEMENT_UNKNOWN, /* keep what is loaded, load nothing */
	LOADER_PLACED,
	LOADER_NOT_PLACED, /* unload once unused */
};

struct loader_request {
	const char *model;
	const char *adapter; /* empty: none */
	uint64_t model_bytes;
	uint64_t adapter_bytes;
	const char *rank;
	int64_t deadline_us; /* earliest deadline of the waiting requests */
};

struct loader_options {
	struct event_base *base; /* NULL: the owner calls loader_tick() */
	const struct clock *clock;
	struct logger *logger;
	struct metrics *metrics;
	const struct engine_client *engine;
	int64_t state_refresh_us; /* between two fetches of engine state */
	/*
	 * Longest time that an order can still act after its answer was lost,
	 * or after the agent that sent it has died.
	 */
	int64_t order_linger_us;
	/* Returns the fencing token for orders about a model. */
	uint64_t (*fence)(void *ctx, const char *model);
	enum loader_placement (*placement)(void *ctx, const char *model);
	/*
	 * Requests a permit to load.  The answer is passed to
	 * loader_permit_reply(), possibly before this returns.
	 */
	void (*request_permit)(
	    void *ctx, const struct loader_request *, bool adapter);
	void (*return_permit)(
	    void *ctx, const char *model, const char *adapter);
	/* Called after an order has ended or engine state has arrived. */
	void (*changed)(void *ctx);
	void *ctx;
};

/* Returns NULL if out of memory. */
struct loader *loader_create(const struct loader_options *);
void loader_destroy(struct loader *);

/* Fetches the engine's state when due; sends the orders that are possible. */
void loader_tick(struct loader *);

/* Whether the first engine state has been adopted. */
bool loader_initialized(const struct loader *);

/*
 * Requests that a model, and its adapter if named, be loaded.  Call it again
 * while the need lasts: a pending load is dropped after its deadline.
 */
enum loader_status loader_request(
    struct loader *, const struct loader_request *);

/* Passes in the answer to request_permit(). */
void loader_permit_reply(
    struct loader *, const char *model, const char *adapter, bool granted);

/* Keeps a model, and its adapter if not empty, loaded until unpinned. */
void loader_pin(struct loader *, const char *model, const char *adapter);
void loader_unpin(struct loader *, const char *model, const char *adapter);

/*
 * Unloads an unused item, a model's adapters first.  Returns false if it is
 * not loaded, is pinned, or its model is requested.
 */
bool loader_unload(struct loader *, const char *model, const char *adapter);

/*
 * Drops the pending loads of a model, which is unloaded once unpinned if it is
 * LOADER_NOT_PLACED.  Returns true if it is that, nothing of it is left in the
 * engine and no order in progress can load it again.
 */
bool loader_release(struct loader *, const char *model);

/* Whether the model must be fetched from the weight store. */
bool loader_is_remote(const struct loader *, const char *model);
/*
 * Expected time until the model is ready: 0 if it is loaded, else the load
 * time from its cache tier, less the age of a load in progress.
 */
int64_t loader_remaining_us(const struct loader *, const char *model);
/*
 * Expected time of a whole load from the model's cache tier: the engine's
 * estimate, corrected by the measured load times.
 */
int64_t loader_load_time_us(const struct loader *, const char *model);
enum tm_replica_state loader_state(const struct loader *, const char *model);

/* The memory ledger; the idle policy sets its items' values. */
struct ledger *loader_ledger(const struct loader *);
/* Most concurrent streams, as reported by the engine. */
uint32_t loader_max_batch(const struct loader *);
/* Tokens a second of one stream in a light batch, as the engine reports. */
uint32_t loader_tokens_per_sec(const struct loader *);

#endif
