/*
 * engine -- state of the engine stand-in.
 *
 * engine.c parses the command line and dispatches requests, engine_loads.c
 * loads and unloads models and adapters, engine_runs.c generates tokens.
 */
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
	struct http_client *store; /* weight store; NULL: none */
	char *listen; /* IP:PORT */
	char *weights; /* IP:PORT of the weight store; NULL: none */
	uint64_t memory_total; /* bytes of accelerator memory */
	uint64_t memory_used;
	int64_t load_ms[3]; /* load time of a model, by enum engine_tier */
	int64_t adapter_ms; /* load time of an adapter */
	int64_t token_us; /* time between tokens */
	int64_t prefill_us; /* for each prompt token that is not cached */
	int64_t max_batch; /* runs that generate at the same time */
	bool checks_fencing; /* refuse orders below highest_fence */
	uint64_t highest_fence;
	/* Injected faults; described in engine.c. */
	int64_t lag_ms;
	int64_t event_gap;
	int64_t fail_loads;
	double slow;
	bool die_mid_load;
	bool endless;
	char crash_prompt[ENGINE_NAME_MAX]; /* "": none */
	int64_t crash_ms;
	bool crashed; /* answers nothing but its journal */
	struct event *restart_timer;
	/* Running streams as reported, and when the number was updated. */
	int64_t reported_us;
	unsigned reported_running;
	/* Counters of the journal, by which tests check the system. */
	uint64_t peak_used; /* bytes */
	int64_t loads; /* of models */
	int64_t unloads; /* of models and adapters */
	int64_t adapter_loads;
	int64_t overcommits; /* loads that exceeded the memory */
	int64_t fenced; /* orders refused for their fencing token */
	int64_t double_loads; /* load orders for an item of `items` */
	int64_t started_runs;
	int64_t repeated_runs; /* started with the id of an earlier run */
	int64_t tokens;
	int64_t cancelled;
	int64_t crashes;
	int64_t idle_loaded_us; /* time with a model in memory and no run */
	int64_t busy_loaded_us; /* time with a run */
	int64_t loaded_time_updated_us; /* when the two were last updated */
	unsigned running; /* runs that generate */
	uint64_t next_event; /* number of the next cache event, from 1 */
	TAILQ_HEAD(, memory_item) items; /* in memory or being loaded */
	TAILQ_HEAD(, cache_entry) caches;
	TAILQ_HEAD(, run) runs; /* in order of arrival; ended ones for a time */
	struct seen_id *seen; /* hash table of the ids of all runs */
	struct prefix *prefixes; /* hash table of cached prompt prefixes, LRU */
	struct cache_event *events; /* ring of the last events */
	unsigned event_count; /* events in the ring */
};

void engine_init(struct engine_server *);

/* Returns -1 if the address of the weight store is malformed. */
int engine_create_store_client(struct engine_server *);

/* Parses MODEL=TIER,... with the tiers memory and disk; modifies the text. */
void engine_set_caches(struct engine_server *, char *text);

void engine_handle_state(struct engine_server *, struct evhttp_request *);
void engine_handle_order(struct engine_server *, struct evhttp_request *);
void engine_handle_generate(struct engine_server *, struct evhttp_request *);
void engine_handle_events(struct engine_server *, struct evhttp_request *);
void engine_handle_cancel(
    struct engine_server *, struct evhttp_request *, const char *id);
void engine_handle_journal(struct engine_server *, struct evhttp_request *);

/* ---- shared by engine_loads.c and engine_runs.c ---- */

/* An adapter other than "" must be loaded as well as its model. */
bool engine_is_loaded(
    struct engine_server *, const char *model, const char *adapter);
/*
 * Adds the time since the last call to idle_loaded_us or busy_loaded_us.  Must
 * be called before `running` or the items change.
 */
void engine_update_loaded_time(struct engine_server *);

#endif
