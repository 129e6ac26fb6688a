/*
 * idle -- how long an unused model keeps its accelerator memory.
 *
 * Learns each item's gaps between uses, and weighs the memory that it would
 * hold idle against the cold start that the next use would wait for.  A pure
 * policy: the caller gives the time.
 */
#ifndef COORDINATION_IDLE_H
#define COORDINATION_IDLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct idle_policy;

enum idle_decision {
	IDLE_KEEP,
	IDLE_UNLOAD,
	IDLE_PRELOAD, /* not loaded: load it ahead of the next use */
};

struct idle_options {
	double hour_worth; /* of an accelerator hour held idle */
	double cold_second_worth; /* of a second that a caller waits */
	int64_t min_keep_us; /* nothing is unloaded sooner after its use */
	size_t max_items; /* the longest unused is forgotten beyond */
};

struct idle_policy *idle_create(const struct idle_options *);
void idle_destroy(struct idle_policy *);
void idle_set_worth(
    struct idle_policy *, double hour_worth, double cold_second_worth);

/* Notes a request; `waiting` callers of a burst count as one use each. */
void idle_record_use(struct idle_policy *, const char *model,
    const char *adapter, int64_t now_us);

/*
 * What to do with an item that nobody uses now.  `share` is its part of the
 * accelerator, `load_us` its expected load time.
 */
enum idle_decision idle_decide(struct idle_policy *, const char *model,
    const char *adapter, bool loaded, double share, int64_t load_us,
    int64_t now_us);

/* Worth of keeping the item an hour from now, less what it costs. */
double idle_value(const struct idle_policy *, const char *model,
    const char *adapter, double share, int64_t load_us, int64_t now_us);

#endif
