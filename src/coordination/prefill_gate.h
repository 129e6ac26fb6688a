/*
 * prefill_gate -- when a replica reads which long prompt.
 *
 * Answers: long prompts that come together on a replica with running streams.
 * An engine reads prompts in pieces between the tokens of its streams, so
 * prompts back to back slow each token down for as long as they last.  The gate
 * lets them in by batches with a step of the streams between; waiting outside
 * the engine costs a prompt next to nothing, and lets the one whose goal comes
 * first overtake.
 *
 * A pure policy: the caller gives the time and tells when prompts are read.
 */
#ifndef COORDINATION_PREFILL_GATE_H
#define COORDINATION_PREFILL_GATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct prefill_gate;

struct prefill_gate_options {
	uint32_t batch_tokens; /* let in together */
	double tokens_per_ms; /* that a replica reads */
	int64_t permit_us; /* a prompt counts as read after so long */
};

struct prefill_request {
	const void *owner; /* who asks; ids are its own */
	uint64_t id;
	uint32_t tokens;
	int64_t goal_us; /* until then the first token is worth most */
	int64_t deadline_us;
	void *ctx; /* for the caller */
};

struct prefill_gate *prefill_gate_create(const struct prefill_gate_options *);
void prefill_gate_destroy(struct prefill_gate *);

/* False if it cannot be read before its deadline. */
bool prefill_gate_enqueue(
    struct prefill_gate *, const struct prefill_request *, int64_t now);

/* Read, or given up while waiting; returns the ctx of one that waited. */
void *prefill_gate_done(struct prefill_gate *, const void *owner, uint64_t id);

/*
 * Takes the next prompt that may be read now, or that is too late; false if
 * there is none.  granted tells which.
 */
bool prefill_gate_next(struct prefill_gate *, int64_t now,
    struct prefill_request *, bool *granted);

/* Removes one prompt of the owner, waiting or let in; false if none is left. */
bool prefill_gate_remove(
    struct prefill_gate *, const void *owner, struct prefill_request *);

/* Tokens that wait. */
uint64_t prefill_gate_waiting_tokens(const struct prefill_gate *);

#endif
