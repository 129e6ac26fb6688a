/*
 * swap -- chooses the model or adapter that a replica loads or unloads next.
 *
 * A sidecar calls it whenever its replica can take an order.  The most urgent
 * load request that can be served is served next; if memory is short, the least
 * recently used model that has no requests running or waiting is unloaded
 * first.  Made for many rarely used models that share the memory of few
 * replicas and are requested in bursts.
 *
 * A pure policy: the caller passes the time, the loaded models and the load
 * requests.
 */
#ifndef COORDINATION_SWAP_H
#define COORDINATION_SWAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct swap_adapter {
	const char *name;
	int64_t last_use_us;
	unsigned in_flight;
	/* Counts towards adapter_capacity; not usable or evictable yet. */
	bool loading;
};

/* A loaded model. */
struct swap_model {
	const char *name;
	double size_mb;
	double adapter_mb; /* of each of its adapters */
	int64_t last_use_us; /* of the model or one of its adapters */
	unsigned in_flight; /* requests of all gateways */
	bool spare; /* another replica has it loaded too */
	const struct swap_adapter *adapters;
	size_t adapter_count;
};

/* A load request: requests wait for the model or its adapter. */
struct swap_request {
	const char *model;
	const char *adapter; /* "": none */
	unsigned rank; /* 0: most urgent */
	int64_t since_us; /* when it was made; orders requests of one rank */
	double size_mb; /* of the model */
	double adapter_mb;
	bool needs_permit; /* to load from the weight store; none is held */
};

struct swap_input {
	int64_t now_us;
	int64_t min_keep_us; /* a model is not unloaded so soon after its use */
	double memory_mb;
	unsigned adapter_capacity; /* adapters of all models */
	const struct swap_model *models; /* loaded */
	size_t model_count;
	const struct swap_request *requests;
	size_t request_count;
};

enum swap_op {
	SWAP_NONE,
	SWAP_LOAD,
	SWAP_UNLOAD,
};

struct swap_step {
	enum swap_op op;
	const char *model;
	const char *adapter; /* NULL: the model itself */
};

/*
 * Returns the next step that needs no permit.  Sets *ask_permit if a permit
 * would allow a more urgent step; not while memory cannot be freed for the
 * load, as the permit would then go unused and be missing elsewhere.
 */
struct swap_step swap_next(const struct swap_input *, bool *ask_permit);

/* The step that frees memory, or a place for an adapter; SWAP_NONE: none. */
struct swap_step swap_evict_model(const struct swap_input *);
struct swap_step swap_evict_adapter(const struct swap_input *);

/* Memory that models and adapters occupy. */
double swap_used_mb(const struct swap_input *);

/*
 * Returns the model that would be evicted next, or NULL if none can be: the one
 * with the longest idle time.
 */
const struct swap_model *swap_victim(const struct swap_input *);
/*
 * Time since the last use of a loaded model; several times that for a spare, as
 * its next request need not wait for a load.
 */
int64_t swap_idle_us(const struct swap_input *, const struct swap_model *);

/*
 * Rounds the victim's idle time down to the step that is reported to gateways.
 * Steps grow by powers of two, so that few reports are needed.  A negative time
 * (no victim) becomes -1.
 */
int64_t swap_idle_quantize(int64_t idle_us);
/*
 * Estimates the idle time from the last step reported and the time since that
 * report.
 */
int64_t swap_idle_estimate(int64_t step_us, int64_t since_report_us);

#endif
