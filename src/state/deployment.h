/*
 * deployment -- configuration of a platform deployment by its operator: routes,
 * services, and the models that a service's engines may load.
 *
 * Gateways look up the route of a request and its service here, sidecars the
 * models of their replica's engine.  The platform's driver builds a deployment;
 * after that it is immutable.  References are counted, so that a request keeps
 * the deployment under which it was routed.
 */
#ifndef STATE_DEPLOYMENT_H
#define STATE_DEPLOYMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct accounts;

enum route_kind {
	ROUTE_IDEMPOTENT, /* may run any number of times */
	ROUTE_ONCE, /* runs at most once for each attempt of the caller */
	ROUTE_STREAM, /* event stream; like ROUTE_ONCE unless resumable */
};

/* A service that gets a share of the route's requests. */
struct route_target {
	char *service;
	unsigned weight; /* relative to the sum over all targets; above 0 */
};

struct route {
	unsigned refs; /* of deployments; versions share unchanged routes */
	uint64_t source[2]; /* hash of the text that it was decoded from */
	char *name;
	char *host; /* in lower case, without a port */
	char *prefix; /* of the path; begins and ends with a slash */
	size_t prefix_len;
	enum route_kind kind;
	bool resumable; /* another replica may continue the stream */
	bool prefix_affinity; /* requests state the shared parts of prompts */
	int64_t timeout_us; /* longest time a caller is kept waiting; 0: none */
	int64_t latency_goal_us; /* target time to the answer or first event */
	int64_t gap_goal_us; /* target pause between events; 0: none */
	bool open; /* needs no API key */
	unsigned rank; /* 0: most urgent */
	unsigned max_attempts; /* replicas that one request may be sent to */
	struct route_target *targets;
	size_t target_count;
};

struct model_spec {
	char *name;
	double size_mb; /* of the model's own weights */
	double adapter_mb; /* of each adapter */
	unsigned adapter_count; /* adapters that exist */
	int64_t load_remote_us; /* time to load it from the weight store */
	int64_t load_disk_us; /* from the replica's disk */
	int64_t load_memory_us; /* from the replica's host memory */
};

/* Capacity of one replica's engine, and the models that it may load. */
struct engine_spec {
	unsigned slots; /* requests that run at once */
	int64_t kv_tokens; /* size of the KV cache */
	double memory_mb; /* for weights of models and adapters */
	unsigned adapter_capacity; /* adapters loaded at once, of all models */
	double loads_per_s; /* limit of the weight store, for all replicas */
	unsigned max_event_polls; /* long polls that a replica keeps open */
	int64_t max_pin_us; /* longest time a prompt may be pinned */
	struct model_spec *models;
	size_t model_count;
};

struct service_spec {
	char *name;
	char *health_path;
	unsigned max_conns; /* of a replica, from all clients; 0: no bound */
	bool has_engine; /* false: a plain service, without models */
	struct engine_spec engine; /* only if has_engine */
};

struct deployment {
	uint64_t version;
	unsigned refs;
	struct route **routes;
	size_t route_count;
	size_t route_size; /* allocated */
	struct service_spec *services;
	size_t service_count;
	struct accounts *accounts; /* NULL: requests need no API key */
	size_t malformed_accounts; /* left out */
	size_t max_header_bytes; /* of a caller's request; 0: no bound */
	size_t max_body_bytes; /* of a caller's request; 0: no bound */
	int64_t header_timeout_us; /* for a request's headers; 0: not set */
	int64_t idle_timeout_us; /* of a caller's connection; 0: not set */
	struct route_host *by_host; /* index of the routes */
};

/* Returns an empty deployment with one reference. */
struct deployment *deployment_create(void);
struct deployment *deployment_ref(struct deployment *);
/* Frees the deployment with its last reference; NULL is ignored. */
void deployment_unref(struct deployment *);

/* Returns an empty route with one reference. */
struct route *route_create(void);
/* Frees the route with its last reference. */
void route_unref(struct route *);
/*
 * Sets host and prefix, which are copied.  The host's letter case, its port and
 * what exceeds a host's length are dropped.
 */
void route_set_path(struct route *, const char *host, const char *prefix);

/* Adds a route with a reference to it. */
void deployment_add_route(struct deployment *, struct route *);
/* Completes the index of routes; called once, after the last one is added. */
void deployment_index(struct deployment *);

/*
 * The route of host whose prefix is the longest that path begins with; NULL if
 * there is none.  The port and the letter case of host are ignored.
 */
const struct route *deployment_find_route(
    const struct deployment *, const char *host, const char *path);

/* Return NULL if there is none. */
const struct service_spec *deployment_find_service(
    const struct deployment *, const char *name);
const struct model_spec *engine_find_model(
    const struct engine_spec *, const char *name);

/* The shortest goal for pauses of the routes to the service; 0: none. */
int64_t deployment_least_gap_goal(
    const struct deployment *, const char *service);

/*
 * The service that draw, a random number in [0, 1), selects by weight; NULL if
 * the route has no targets.
 */
const char *route_pick_service(const struct route *, double draw);

/*
 * Whether a request may be sent to another replica although the first one may
 * have run it.
 */
bool route_may_repeat(const struct route *);

#endif
