/*
 * loader -- what is loaded on one runner.
 *
 * Reserves memory in the ledger before each order, evicts the least valuable
 * idle model when room is short, and lets one load serve all that wait for it.
 * After a restart it first adopts what the engine holds, and waits out the
 * orders that its predecessor may have under way.
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
	LOADER_FAILED, /* the last attempt failed; a new want tries again */
	LOADER_TOO_BIG, /* never fits this runner */
	LOADER_NO_SLOT, /* the placement does not give this runner the model */
};

/* What the placement says about a model on this runner. */
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
	int64_t deadline_us; /* of the neediest request */
};

struct loader_options {
	struct event_base *base; /* NULL: the owner calls loader_tick() */
	const struct clock *clock;
	struct logger *logger;
	struct metrics *metrics;
	const struct engine_client *engine;
	int64_t state_refresh_us;
	/*
	 * Longest time that an order can still act after its answer was lost,
	 * or after the agent that sent it has died.
	 */
	int64_t order_linger_us;
	/* Fencing number for orders about a model. */
	uint64_t (*fence)(void *ctx, const char *model);
	enum loader_placement (*placement)(void *ctx, const char *model);
	/*
	 * Asks for leave to load; the answer comes through
	 * loader_permit_reply(), now or later.
	 */
	void (*request_permit)(
	    void *ctx, const struct loader_request *, bool adapter);
	void (*return_permit)(
	    void *ctx, const char *model, const char *adapter);
	/* Something became ready, failed or was freed. */
	void (*changed)(void *ctx);
	void *ctx;
};

struct loader *loader_create(const struct loader_options *);
void loader_destroy(struct loader *);

/* Asks for the engine's state when it is time, and starts what can start. */
void loader_tick(struct loader *);

/* Whether the engine's holdings have been adopted. */
bool loader_initialized(const struct loader *);

/* Starts what is missing for this use. */
enum loader_status loader_request(
    struct loader *, const struct loader_request *);

/* The answer to request_permit(). */
void loader_permit_reply(
    struct loader *, const char *model, const char *adapter, bool granted);

/* A use of a ready model, and adapter if not empty, forbids unloading it. */
void loader_pin(struct loader *, const char *model, const char *adapter);
void loader_unpin(struct loader *, const char *model, const char *adapter);

/* Unloads an unused item, a model's adapters first.  False if it is used. */
bool loader_unload(struct loader *, const char *model, const char *adapter);

/*
 * Unloads a model once unpinned.  True if the engine holds nothing of it and
 * no order under way can bring it back.
 */
bool loader_release(struct loader *, const char *model);

/* Whether the model must come from the weight store. */
bool loader_is_remote(const struct loader *, const char *model);
/* Expected time until the model is ready, from where its checkpoint is. */
int64_t loader_remaining_us(const struct loader *, const char *model);
/* As above for a model that is not here at all. */
int64_t loader_load_time_us(const struct loader *, const char *model);
enum tm_replica_state loader_state(const struct loader *, const char *model);

/* For the idle policy, which sets the items' values, and for reports. */
struct ledger *loader_ledger(const struct loader *);
/* Streams at once, and tokens a second of one, as the engine says. */
uint32_t loader_max_batch(const struct loader *);
uint32_t loader_tokens_per_sec(const struct loader *);

#endif
