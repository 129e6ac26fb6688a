/* engine_model -- what the engine stand-in holds and does. */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "transport/engine.h"

struct cache_entry;
struct event_base;
struct evhttp_request;
struct http_client;
struct memory_item;
struct run;
struct standin;

struct engine_server {
	struct event_base *base;
	struct standin *standin;
	struct http_client *store;
	char *listen;
	char *weights;
	uint64_t memory_total;
	uint64_t memory_used;
	int64_t load_ms[3]; /* by enum engine_tier */
	int64_t adapter_ms;
	int64_t token_us;
	int64_t prefill_us;
	int64_t max_batch;
	bool checks_fencing;
	uint64_t highest_fence;
	/* Faults. */
	int64_t lag_ms;
	int64_t event_gap;
	int64_t fail_loads;
	double slow;
	bool die_mid_load;
	/* Load as it was reported last. */
	int64_t reported_us;
	unsigned reported_running;
	/* For the judge. */
	uint64_t peak_used;
	int64_t loads;
	int64_t unloads;
	int64_t adapter_loads;
	int64_t overcommits;
	int64_t fenced;
	int64_t double_loads;
	int64_t started_runs;
	int64_t repeated_runs; /* an id that ran before started anew */
	int64_t tokens;
	int64_t cancelled;
	int64_t idle_loaded_us; /* memory held while nothing ran */
	int64_t busy_loaded_us;
	int64_t loaded_time_updated_us;
	unsigned running;
	uint64_t next_event;
	TAILQ_HEAD(, memory_item) items;
	TAILQ_HEAD(, cache_entry) caches;
	TAILQ_HEAD(, run) runs; /* queued and running by priority, and ended */
	struct seen_id *seen;
	struct prefix *prefixes;
	struct cache_event *events;
	unsigned event_count;
};

void engine_init(struct engine_server *);
int engine_create_store_client(struct engine_server *);
/* Parses MODEL=TIER,... */
void engine_set_caches(struct engine_server *, char *text);

void engine_handle_state(struct engine_server *, struct evhttp_request *);
void engine_handle_order(struct engine_server *, struct evhttp_request *);
void engine_handle_generate(struct engine_server *, struct evhttp_request *);
void engine_handle_events(struct engine_server *, struct evhttp_request *);
void engine_handle_cancel(
    struct engine_server *, struct evhttp_request *, const char *id);
void engine_handle_journal(struct engine_server *, struct evhttp_request *);

/* ---- between the two halves ---- */

bool engine_is_loaded(
    struct engine_server *, const char *model, const char *adapter);
/* Brings the loaded-time accounts up to now. */
void engine_update_loaded_time(struct engine_server *);

#endif
