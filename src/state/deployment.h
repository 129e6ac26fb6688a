/*
 * deployment -- what the operator declares of a platform deployment: routes,
 * services, and the models that a service's engines may load.
 *
 * A deployment is immutable once built and counted by references, so that a
 * request keeps the one under which it was routed.
 */
#ifndef STATE_DEPLOYMENT_H
#define STATE_DEPLOYMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum route_kind {
	ROUTE_IDEMPOTENT, /* may run any number of times */
	ROUTE_ONCE, /* runs at most once for each attempt of the caller */
	ROUTE_STREAM, /* events; as ROUTE_ONCE unless resumable */
};

struct route_target {
	char *service;
	unsigned weight;
};

struct route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	enum route_kind kind;
	bool resumable; /* a stream may go on at another replica */
	bool affinity; /* requests name shared parts of their prompt */
	int64_t timeout_us; /* longest time a caller is kept waiting */
	int64_t goal_us; /* answers within it are worth most */
	int64_t gap_goal_us; /* likewise the pauses of a stream; 0: none */
	unsigned rank; /* 0: most urgent */
	unsigned max_attempts; /* replicas that one request may be sent to */
	struct route_target *targets;
	size_t target_count;
};

struct model_spec {
	char *name;
	double size_mb;
	double adapter_mb;
	unsigned adapters; /* how many exist */
	int64_t load_remote_us; /* from the weight store */
	int64_t load_disk_us; /* from the replica's own disk */
	int64_t load_memory_us; /* from the replica's host memory */
};

struct engine_spec {
	unsigned batch; /* requests that run at once */
	int64_t kv_tokens;
	double memory_mb; /* for weights of models and adapters */
	unsigned adapter_capacity;
	double loads_per_s; /* of the weight store, all replicas together */
	unsigned event_watchers; /* long polls that a replica holds open */
	int64_t pin_us; /* longest time a prompt may be pinned */
	struct model_spec *models;
	size_t model_count;
};

struct service_spec {
	char *name;
	char *health_path;
	unsigned max_conns; /* that a replica takes, from all callers */
	bool has_engine;
	struct engine_spec engine;
};

struct deployment {
	uint64_t version;
	unsigned refs;
	struct route *routes;
	size_t route_count;
	struct service_spec *services;
	size_t service_count;
	size_t max_header_bytes; /* 0: no bound */
	size_t max_body_bytes; /* 0: no bound */
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
	struct route_host *by_host; /* built by deployment_index() */
};

/* One reference; all fields are zero. */
struct deployment *deployment_create(void);
struct deployment *deployment_ref(struct deployment *);
void deployment_unref(struct deployment *);

/* Call once after all routes are in place. */
void deployment_index(struct deployment *);

/*
 * The route with the longest prefix of path among those of host; NULL if there
 * is none.  A port in host is ignored, and so is its case.
 */
const struct route *deployment_route(
    const struct deployment *, const char *host, const char *path);

const struct service_spec *deployment_service(
    const struct deployment *, const char *name);
const struct model_spec *engine_model(
    const struct engine_spec *, const char *name);

/* The service that a draw in [0, 1) selects by weight; NULL without targets. */
const char *route_pick_service(const struct route *, double draw);

/* Whether a second replica may run the request after a first may have. */
bool route_may_repeat(const struct route *);

#endif
