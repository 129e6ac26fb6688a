/*
 * idle -- decides when an idle model is unloaded, or loaded before its next
 * use.
 *
 * Learns the distribution of the time between uses of each item (a model or an
 * adapter).  Compares the cost of the accelerator memory that the item occupies
 * while idle with the cost of the cold start that the next use would wait for.
 * An agent applies it to all items at regular intervals.
 *
 * A pure policy: the caller passes the time.
 */
#ifndef COORDINATION_IDLE_H
#define COORDINATION_IDLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct idle_policy;

enum idle_decision {
	IDLE_KEEP, /* leave it as it is, loaded or not */
	IDLE_UNLOAD,
	IDLE_PRELOAD, /* load it before the next use */
};

struct idle_options {
	double hour_worth; /* cost of an idle accelerator for an hour */
	double cold_second_worth; /* cost of a second that a caller waits */
	int64_t min_keep_us; /* an item is not unloaded so soon after its use */
	size_t max_items; /* beyond, the least recently used is forgotten */
};

struct idle_policy *idle_create(const struct idle_options *);
void idle_destroy(struct idle_policy *);
/* Changes the two costs, which have one unit of the operator's choice. */
void idle_set_costs(
    struct idle_policy *, double hour_worth, double cold_second_worth);

/* Records a use of the model (with adapter "") or of its adapter. */
void idle_record_use(struct idle_policy *, const char *model,
    const char *adapter, int64_t now_us);

/*
 * Returns what to do with an item that is not in use.  share: of the
 * accelerator's memory, 0 to 1; load_us: expected load time.
 */
enum idle_decision idle_decide(struct idle_policy *, const char *model,
    const char *adapter, bool loaded, double share, int64_t load_us,
    int64_t now_us);

/*
 * Expected gain of keeping the item loaded for the best length of time: cold
 * starts avoided less idle memory, in the unit of the costs; 0 if none.
 */
double idle_keep_gain(const struct idle_policy *, const char *model,
    const char *adapter, double share, int64_t load_us, int64_t now_us);

#endif
