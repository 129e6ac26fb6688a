/*
 * selection -- chooses the replica that runs a request.
 *
 * A gateway calls it for each attempt.  The cheapest candidate wins; its cost
 * is the predicted time to the first token, plus what the choice costs other
 * requests.  A replica that must first load the model thus competes with a busy
 * one that has it loaded.  Made for many rarely used models on few replicas,
 * long prompts with shared prefixes, and bursts on models that one replica or
 * none has loaded.
 *
 * A pure policy over candidates that the caller lists; it keeps no state.
 */
#ifndef COORDINATION_SELECTION_H
#define COORDINATION_SELECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* load_us of a replica that cannot load the model. */
#define SELECT_LOAD_NEVER (-1)
/* Longer than a load from memory or disk, shorter than from the store. */
#define SELECT_SCALE_OUT_LOAD_MAX_US 1500000

struct prompt_part;

struct select_replica {
	const char *id;
	bool usable; /* listed, not draining, not tried before */
	bool ejected; /* see outlier.h; chosen only if no other is usable */
	bool same_zone; /* as the gateway */
	bool limited; /* it has named how many requests it takes */
	int64_t quiet_us; /* it wants no requests for so long */
	int64_t wait_us; /* until it takes another one, by its limit */
	unsigned slots; /* requests that run at once; 0: unknown */
	unsigned running; /* by its last report, and sent since */
	int64_t load_us; /* until the model can run, or SELECT_LOAD_NEVER */
	bool loading; /* the model is being loaded there, or will be next */
	bool has_model; /* loaded, perhaps without the adapter */
	/* Idle time of the model that a load would evict; INT64_MAX: none. */
	int64_t victim_idle_us;
	/*
	 * Time of the model's prompts there over that at the default rate, as
	 * the sidecar beside it has measured; 0: not measured.
	 */
	double prefill_factor;
	/*
	 * Of prompts not prefilled yet, estimated; if prefill_factor is set, in
	 * tokens of the default rate's time.
	 */
	uint64_t pending_tokens;
	uint32_t cached_tokens; /* of the prompt, in its prefix cache */
	int64_t kv_free; /* free KV cache, in tokens; negative: unknown */
	double prefill_share; /* of its recent time, spent on prefill */
	double slowdown; /* see replica_speed.h; 1: as predicted */
	double failure_share; /* of its recent requests */
};

struct select_query {
	const char *model; /* "": a service without an engine */
	uint32_t prompt_tokens;
	const struct prompt_part *parts; /* of the prompt, in order */
	unsigned part_count;
	uint32_t answer_tokens; /* expected */
	double rate; /* requests per second for the model, at this gateway */
	int64_t
	    gap_goal_us; /* pauses that the service's streams bear; 0: any */
	double prefill_factor; /* of the model, see model_prefill.h */
	bool suspect; /* it may end the replica, and all that runs there */
};

struct select_choice {
	int index; /* -1: no replica is usable */
	int64_t first_us; /* predicted time to the first token */
	int64_t load_us; /* the part of it until the model can run */
};

/*
 * Returns the usable replica with the lowest cost.  Ejected replicas are
 * considered only if no other is usable.
 */
struct select_choice select_replica(
    const struct select_query *, const struct select_replica *, size_t count);

/*
 * Returns the index of a replica that should load the model in addition, or
 * -1.  Scales out if the replicas that have the model loaded spend much of
 * their time on prefill in the mean, as their reports count the requests of all
 * gateways, or if only one has a model in steady demand, as its loss would
 * interrupt the model for the time of a load.  The replica must have
 * a local copy, and evict nothing that was used recently; for a model that only
 * has to survive a loss, nothing that is still in use at all.  A load of the
 * model in progress counts as a replica.  A model that no replica has loaded is
 * loaded for the requests that wait for it.
 */
int select_scale_out(
    const struct select_query *, const struct select_replica *, size_t count);

/*
 * Predicted prefill time in microseconds of so many tokens, by a replica with
 * no other work and at prefill factor 1.
 */
int64_t select_prefill_us(uint32_t tokens);

#endif
