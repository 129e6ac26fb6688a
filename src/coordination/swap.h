/*
 * swap -- which model or adapter a replica loads or unloads next.
 *
 * Answers: many rarely used models that share the memory of few replicas, and
 * wake in bursts.  Requests that wait for a model are its wants; the model to
 * make way is the one unused for longest that nothing runs or waits for.
 *
 * A pure policy: the caller gives time, holdings and wants.
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
	bool arriving; /* takes its place; neither usable nor evictable yet */
};

struct swap_model {
	const char *name;
	double size_mb;
	double adapter_mb;
	int64_t last_use_us;
	unsigned in_flight; /* requests, of all gateways */
	const struct swap_adapter *adapters;
	size_t adapter_count;
};

struct swap_request {
	const char *model;
	const char *adapter; /* "": none */
	unsigned rank; /* 0: most urgent */
	int64_t since_us;
	double size_mb; /* of the model */
	double adapter_mb;
	bool needs_permit; /* comes from the weight store, and has no permit */
};

struct swap_input {
	int64_t now_us;
	int64_t min_keep_us; /* a model is kept at least so long after use */
	double memory_mb;
	unsigned adapter_slots;
	const struct swap_model *models; /* held */
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
 * The most urgent step that needs no permit.  *ask: a permit would allow one
 * that is more urgent; a permit asked for before would be lost to others while
 * the replica has no room.
 */
struct swap_step swap_next(const struct swap_input *, bool *ask_permit);

/* Memory that models and adapters hold. */
double swap_used_mb(const struct swap_input *);

/* The model that would make way; NULL if none may. */
const struct swap_model *swap_victim(const struct swap_input *);

/*
 * Its idle time as others are told of it: in steps, so that they need not hear
 * of each moment.  -1: none may make way.
 */
int64_t swap_idle_quantize(int64_t idle_us);
/* The idle time some time after a step was told, and none since. */
int64_t swap_idle_estimate(int64_t step_us, int64_t since_report_us);

#endif
