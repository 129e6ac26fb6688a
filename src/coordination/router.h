/*
 * router -- chooses the slot with the least predicted completion.
 *
 * A pure policy over candidates that the caller lists.  Reports age: with time
 * their queue counts less, down to the prior of an idle agent.  What this
 * entry sent and no report holds yet counts in full.  Measured completions
 * correct the predictions of each peer.
 */
#ifndef COORDINATION_ROUTER_H
#define COORDINATION_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ROUTER_LOAD_UNKNOWN (-1)

struct router_candidate {
	const char *vm;
	bool usable; /* connected, not leaving, not tried before */
	bool same_zone;
	int64_t load_us; /* at the report; 0: loaded; ROUTER_LOAD_UNKNOWN */
	bool loading; /* the load was under way at the report */
	uint32_t queued_tokens; /* by its last report */
	uint32_t tokens_per_sec; /* of the whole engine; 0: unknown */
	int64_t report_age_us; /* -1: never reported */
	uint32_t unreported_tokens; /* sent by this entry, in no report yet */
	bool prefix_cached;
	double correction; /* measured over predicted time; 0: none yet */
};

struct router_query {
	const char *model;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
};

struct router_prediction {
	int64_t load_us; /* until the model can run */
	int64_t work_us; /* queue and own work, before correction */
	int64_t total_us; /* until the whole answer */
};

struct router_choice {
	int index; /* -1: no candidate is usable */
	struct router_prediction predicted;
};

struct router_choice router_choose(
    const struct router_query *, const struct router_candidate *, size_t count);

/* Predicted time to the whole answer at one candidate. */
struct router_prediction router_predict(
    const struct router_query *, const struct router_candidate *);

/*
 * The correction after another measured completion: a moving average of
 * measured over predicted work, so that one answer moves it little.
 */
double router_correct(
    double correction, const struct router_prediction *, int64_t measured_us);

#endif
