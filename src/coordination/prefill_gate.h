/*
 * prefill_gate -- decides when a replica starts the prefill of a long prompt.
 *
 * An engine prefills prompts in chunks between the decoding steps of its
 * streams, so long prompts that arrive together delay every token until all are
 * prefilled.  A sidecar uses the gate to admit them in batches, with at least
 * one decoding step between two batches.  Waiting outside the engine costs a
 * prompt almost nothing, and lets one with an earlier goal overtake it.
 *
 * A pure policy: the caller passes the time and reports the end of a prefill.
 */
#ifndef COORDINATION_PREFILL_GATE_H
#define COORDINATION_PREFILL_GATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct prefill_gate;

struct prefill_gate_options {
	uint32_t batch_tokens; /* admitted together */
	/*
	 * In prefill at most, with prompts that would miss their goal if they
	 * waited for the next batch; 0: they wait.
	 */
	uint32_t late_tokens;
	double tokens_per_ms; /* prefill rate of the replica */
	/* Longest time since the grant, unless ended before. */
	int64_t permit_expiry_us;
};

struct prefill_request {
	const void *owner; /* the requester */
	uint64_t id; /* unique among the owner's */
	uint32_t tokens; /* of the default rate's time */
	int64_t goal_us; /* when the first token is due */
	int64_t deadline_us;
	void *ctx; /* passed through, like what follows */
	uint32_t prompt_tokens; /* as the replica reads them */
	char model[64];
};

/*
 * Tokens that may be admitted together so that the events of a stream stay
 * within gap_goal_us of each other, on a machine that is up to slowdown times
 * slower than usual.  At least one prompt is always admitted.
 */
uint32_t prefill_gate_batch(
    int64_t gap_goal_us, double slowdown, double tokens_per_ms);

struct prefill_gate *prefill_gate_create(const struct prefill_gate_options *);
void prefill_gate_destroy(struct prefill_gate *);

/* Sets the options of these names; batch_tokens holds from the next batch. */
void prefill_gate_set_batch(
    struct prefill_gate *, uint32_t batch_tokens, uint32_t late_tokens);

/* Returns false if prefill cannot end before the deadline. */
bool prefill_gate_enqueue(
    struct prefill_gate *, const struct prefill_request *, int64_t now_us);

/*
 * Ends a permit, or withdraws a request that waits for one; returns the ctx of
 * the latter, otherwise NULL.
 */
void *prefill_gate_done(struct prefill_gate *, const void *owner, uint64_t id);

/*
 * Takes the next request out of the queue: *granted is true if its prefill may
 * start now, false if it can no longer end before the deadline.  Returns false
 * if there is neither.
 */
bool prefill_gate_next(struct prefill_gate *, int64_t now_us,
    struct prefill_request *, bool *granted);

/*
 * Removes one request of the owner, waiting or permitted (with a NULL ctx).
 * Returns false if none is left.
 */
bool prefill_gate_remove(
    struct prefill_gate *, const void *owner, struct prefill_request *);

/* Sum of the tokens of waiting requests. */
uint64_t prefill_gate_waiting_tokens(const struct prefill_gate *);

#endif
