/*
 * router -- chooses the VM with the lowest predicted completion time.
 *
 * An entry calls it for each attempt of a request.  The prediction adds up the
 * model load, the queued work and the request's own work.  A reported queue
 * counts less the older the report is, down to that of an idle agent; work that
 * this entry sent since the report counts in full.  Measured completion times
 * correct the predictions of each peer.
 *
 * A pure policy over candidates that the caller lists.
 */
#ifndef COORDINATION_ROUTER_H
#define COORDINATION_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* load_us of a slot whose state was not reported yet. */
#define ROUTER_LOAD_UNKNOWN (-1)

struct router_candidate {
	const char *vm;
	bool usable; /* connected, not leaving, not tried before */
	bool same_zone; /* as the entry */
	/* Remaining load time at the report; 0: loaded; ROUTER_LOAD_UNKNOWN. */
	int64_t load_us;
	bool loading; /* the load was running at the report */
	uint32_t queued_tokens; /* by its last report */
	uint32_t tokens_per_sec; /* of the backend server; 0: unknown */
	int64_t report_age_us; /* -1: never reported */
	uint32_t unreported_tokens; /* sent by this entry since the report */
	bool prefix_cached; /* the prompt's, by prefix_map */
	double correction; /* measured over predicted time; 0: none yet */
};

struct router_query {
	const char *model;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
};

struct router_prediction {
	int64_t load_us; /* until the model can run */
	int64_t work_us; /* queued and own work, before correction */
	int64_t total_us; /* until the answer is complete */
};

struct router_choice {
	int index; /* -1: no candidate is usable */
	struct router_prediction predicted;
};

/*
 * Returns the usable candidate with the lowest predicted time.  Of about equal
 * ones all entries choose the same, so that one cold slot loads the model.
 */
struct router_choice router_choose(
    const struct router_query *, const struct router_candidate *, size_t count);

/* Predicts the completion time at one candidate. */
struct router_prediction router_predict(
    const struct router_query *, const struct router_candidate *);

/*
 * Returns the correction updated by a measured completion time: the moving
 * average of measured over predicted work, which one answer changes little.
 */
double router_correct(
    double correction, const struct router_prediction *, int64_t measured_us);

#endif
