/*
 * selection -- which replica gets a request next.
 *
 * Answers: many rarely used models on few replicas, long prompts whose heads
 * are shared, and bursts on models that are loaded on one replica or none.  A
 * replica that must first load the model is compared with a busy one that
 * holds it, by the predicted time to the first token.
 *
 * A pure policy over candidates that the caller lists.
 */
#ifndef COORDINATION_SELECTION_H
#define COORDINATION_SELECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SELECT_LOAD_NEVER (-1)

struct prompt_part;

struct select_replica {
	const char *id;
	bool usable; /* listed, not draining, not tried before */
	bool ejected; /* failed lately; used only if nothing else is left */
	bool same_zone;
	unsigned slots; /* requests that run at once */
	unsigned running; /* by its last report, and sent since */
	int64_t load_us; /* until the model can run; SELECT_LOAD_NEVER */
	int64_t victim_idle_us; /* idle time of what a load would evict */
	uint64_t pending_tokens; /* sent by this gateway, not read yet */
	uint32_t cached_tokens; /* of this prompt's head */
	int64_t kv_free; /* tokens; negative: unknown */
	double prefill_share; /* of its time, spent on prompts lately */
	double slowdown; /* measured over predicted; 1: as predicted */
	double failure_share; /* share of requests that failed there lately */
};

struct select_query {
	const char *model; /* "": a plain service */
	uint32_t prompt_tokens;
	const struct prompt_part *parts; /* of the prompt, in order */
	unsigned part_count;
	uint32_t answer_tokens; /* expected */
	double rate; /* requests a second for the model, at this gateway */
	double prefill_factor; /* of the model: measured over default time */
};

struct select_choice {
	int index; /* -1: no replica is usable */
	int64_t first_us; /* predicted time to the first piece */
	int64_t load_us; /* of it, until the model can run */
};

struct select_choice select_replica(
    const struct select_query *, const struct select_replica *, size_t count);

/*
 * Where the model should be loaded besides, or -1.  Answers two loads: replicas
 * that hold the model spend much of their time on prompts, and one that has a
 * copy at hand is free; or one replica alone holds a model in steady demand,
 * whose loss would stop it for as long as a load takes.
 */
int select_scale_out(
    const struct select_query *, const struct select_replica *, size_t count);

/* Predicted time to read the rest of a prompt, alone, at pace 1. */
int64_t select_prefill_us(uint32_t tokens);

#endif
