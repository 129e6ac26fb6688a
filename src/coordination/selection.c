#include "coordination/selection.h"

#include <string.h>

#include <xxhash.h>

#include "protocol/fleet.h"

/* Prefill rate at prefill factor 1. */
#define PREFILL_TOKENS_PER_MS 38
#define FIRST_TOKEN_US 8000 /* network and one step of the batch */
#define STEP_PER_REQUEST_US 150 /* added to a step by a running request */
/* Traffic between data centres costs money and a round trip. */
#define OTHER_ZONE_US 20000
/* What a limited replica takes is kept for models that no other has. */
#define LIMITED_US 100000
/* Mean wait behind the prompt in prefill, at a prefill share of 1. */
#define PREFILL_WAIT_US 250000
/*
 * At a higher mean prefill share the pauses in streams become too long: prompts
 * come in bursts, and no gateway sees all of them.
 */
#define SCALE_OUT_PREFILL_SHARE 0.3
/* Requests per second from which a model must survive a replica's loss. */
#define SCALE_OUT_RATE 0.5
#define SCALE_OUT_REPLICAS 2 /* that such a model should have */
/* Cost of a failed request: time until it is detected and sent again. */
#define FAILURE_US 300000
/* About the time until a full replica has a free slot. */
#define QUEUE_WAIT_US 400000
/* Cost of a preemption for lack of KV memory: prefill starts over. */
#define PREEMPTION_US 800000
/* Of the goal for pauses, that one prompt may take. */
#define PAUSE_PREFILL_SHARE 0.7
#define LATE_STREAM_US 50000 /* cost of a stream that becomes late */
/* Bound on the offsets that order equal replicas alike at all gateways. */
#define TIE_BREAK_US 4000
/* Probability that the replica preferred for a prefix has it cached. */
#define PREFIX_HIT_SHARE 0.5
/* A model used within this time is likely to be loaded again. */
#define VICTIM_WARM_US 10000000
/*
 * For evicting a model used just now: its next request waits for a load, as
 * this one does, which is late however short the load is.
 */
#define VICTIM_PENALTY_US 1500000
/* A model idle for this long is no longer in use. */
#define VICTIM_UNUSED_US 60000000

int64_t
select_prefill_us(uint32_t tokens)
{
	return (int64_t)tokens * 1000 / PREFILL_TOKENS_PER_MS;
}

static int64_t
tie_break_us(const struct select_query *q, const struct select_replica *r)
{
	uint64_t seed = XXH3_64bits(q->model, strlen(q->model));

	return (int64_t)(XXH3_64bits_withSeed(r->id, strlen(r->id), seed) %
			 TIE_BREAK_US);
}

static bool
has_model(const struct select_replica *r)
{
	return r->has_model || r->load_us == 0;
}

static bool
is_store_load(const struct select_replica *r)
{
	return r->load_us > SELECT_SCALE_OUT_LOAD_MAX_US && !r->loading;
}

/* Until the first load of the model in progress ends; 0: there is none. */
static int64_t
loading_left_us(const struct select_replica *replicas, size_t count)
{
	int64_t least = 0;

	for (size_t i = 0; i < count; i++) {
		const struct select_replica *r = &replicas[i];

		if (r->usable && r->loading && r->load_us > 0 &&
		    (least == 0 || r->load_us < least))
			least = r->load_us;
	}
	return least;
}

/* Tokens of the prompt that the replica has to read. */
static uint32_t
new_tokens(const struct select_query *q, const struct select_replica *r)
{
	return q->prompt_tokens > r->cached_tokens
		   ? q->prompt_tokens - r->cached_tokens
		   : 0;
}

static int64_t
predict_first_us(const struct select_query *q, const struct select_replica *r)
{
	uint32_t tokens = new_tokens(q, r);
	double factor = r->prefill_factor > 0 ? r->prefill_factor : 1;
	double ahead = (double)r->pending_tokens + tokens * factor;
	double work = ahead * 1000 / PREFILL_TOKENS_PER_MS + FIRST_TOKEN_US +
		      (double)r->running * STEP_PER_REQUEST_US;
	int64_t us = r->load_us +
		     (int64_t)(work * r->slowdown *
			       (r->prefill_factor > 0 ? 1 : q->prefill_factor));

	us += r->wait_us > r->quiet_us ? r->wait_us : r->quiet_us;
	us += (int64_t)(r->prefill_share * PREFILL_WAIT_US);
	us += (int64_t)(r->failure_share * FAILURE_US);
	if (r->slots > 0 && r->running >= r->slots)
		us += QUEUE_WAIT_US * (1 + (r->running - r->slots) / r->slots);
	if (r->kv_free >= 0 &&
	    (int64_t)q->prompt_tokens + q->answer_tokens > r->kv_free)
		us += PREEMPTION_US;
	return us;
}

/*
 * Returns the replica preferred for a prefix, or -1 if none has the model
 * loaded.  By rendezvous hashing all gateways prefer the same one, so that they
 * share its prefix cache.
 */
static int
preferred_for_prefix(const struct select_query *q, uint64_t prefix,
    const struct select_replica *replicas, size_t count)
{
	uint64_t seed =
	    XXH3_64bits_withSeed(q->model, strlen(q->model), prefix);
	uint64_t most = 0, weight;
	int best = -1;

	for (size_t i = 0; i < count; i++) {
		const struct select_replica *r = &replicas[i];

		if (!r->usable || r->ejected || r->load_us != 0)
			continue;
		weight = XXH3_64bits_withSeed(r->id, strlen(r->id), seed);
		if (best != -1 && weight <= most)
			continue;
		best = (int)i;
		most = weight;
	}
	return best;
}

/*
 * Returns the replica preferred for the prompt's prefix, or -1, and the prefill
 * time expected to be saved there.  The prefix is all parts but the last, which
 * is specific to the request or its session.
 */
static int
find_preferred(const struct select_query *q,
    const struct select_replica *replicas, size_t count, int64_t *saved_us)
{
	uint32_t tokens = 0;

	*saved_us = 0;
	if (q->part_count < 2)
		return -1;
	for (unsigned i = 0; i < q->part_count - 1; i++)
		tokens += q->parts[i].tokens;
	*saved_us = (int64_t)(PREFIX_HIT_SHARE * q->prefill_factor *
			      (double)select_prefill_us(tokens));
	return preferred_for_prefix(
	    q, q->parts[q->part_count - 2].id, replicas, count);
}

/*
 * A prompt that holds the streams of a replica for longer than they bear makes
 * each of them late.
 */
static int64_t
pause_cost_us(const struct select_query *q, const struct select_replica *r)
{
	double factor =
	    r->prefill_factor > 0 ? r->prefill_factor : q->prefill_factor;
	int64_t prefill_us =
	    (int64_t)(factor * r->slowdown *
		      (double)select_prefill_us(new_tokens(q, r)));

	if (q->gap_goal_us == 0 ||
	    prefill_us <=
		(int64_t)(PAUSE_PREFILL_SHARE * (double)q->gap_goal_us))
		return 0;
	return (int64_t)r->running * LATE_STREAM_US;
}

/* Cost of the choice to other requests, as a time, and the tie-break. */
static int64_t
side_cost_us(const struct select_query *q, const struct select_replica *r)
{
	int64_t us = tie_break_us(q, r);

	/* All gateways choose alike where a load takes long. */
	if (!r->same_zone && !is_store_load(r))
		us += OTHER_ZONE_US;
	if (r->limited)
		us += LIMITED_US;
	us += pause_cost_us(q, r);
	if (q->suspect)
		us += (int64_t)r->running * FAILURE_US;
	if (r->load_us > 0 && r->victim_idle_us < VICTIM_WARM_US)
		us += VICTIM_PENALTY_US -
		      VICTIM_PENALTY_US * r->victim_idle_us / VICTIM_WARM_US;
	return us;
}

static struct select_choice
choose_replica(const struct select_query *q,
    const struct select_replica *replicas, size_t count, bool ejected)
{
	struct select_choice best = { .index = -1 };
	int64_t best_cost = 0, saved_us;
	int64_t loading_us = loading_left_us(replicas, count);
	int preferred = find_preferred(q, replicas, count, &saved_us);

	for (size_t i = 0; i < count; i++) {
		const struct select_replica *r = &replicas[i];
		int64_t us, cost;

		if (!r->usable || r->ejected != ejected ||
		    r->load_us == SELECT_LOAD_NEVER)
			continue;
		us = predict_first_us(q, r);
		cost = us + side_cost_us(q, r);
		if ((int)i == preferred)
			cost -= saved_us;
		/* The store would serve both more slowly. */
		if (is_store_load(r) && r->load_us <= loading_us)
			cost += loading_us - r->load_us + TIE_BREAK_US +
				VICTIM_PENALTY_US;
		if (best.index != -1 && cost >= best_cost)
			continue;
		best.index = (int)i;
		best.first_us = us;
		best.load_us = r->load_us;
		best_cost = cost;
	}
	return best;
}

struct select_choice
select_replica(const struct select_query *q,
    const struct select_replica *replicas, size_t count)
{
	struct select_choice best = choose_replica(q, replicas, count, false);

	return best.index != -1 ? best
				: choose_replica(q, replicas, count, true);
}

struct scale_out {
	int64_t load_max_us; /* longest load; 0: not needed */
	int64_t victim_idle_us; /* least idle time of what the load evicts */
};

static struct scale_out
plan_scale_out(const struct select_query *q,
    const struct select_replica *replicas, size_t count)
{
	const struct scale_out none = { 0, 0 };
	struct scale_out plan = { SELECT_SCALE_OUT_LOAD_MAX_US,
		VICTIM_WARM_US };
	unsigned copies = 0, limited = 0;
	double share = 0;

	for (size_t i = 0; i < count; i++) {
		const struct select_replica *r = &replicas[i];

		if (!r->usable)
			continue;
		if (r->loading)
			return none;
		if (!has_model(r))
			continue;
		if (r->limited) {
			limited++;
			continue;
		}
		copies++;
		share += r->ejected ? 1 : r->prefill_share;
	}
	if (copies + limited == 0)
		return none;
	if (share >= SCALE_OUT_PREFILL_SHARE * copies)
		return plan;
	if (copies >= SCALE_OUT_REPLICAS || q->rate < SCALE_OUT_RATE)
		return none;
	plan.victim_idle_us = VICTIM_UNUSED_US;
	return plan;
}

int
select_scale_out(const struct select_query *q,
    const struct select_replica *replicas, size_t count)
{
	struct scale_out plan = plan_scale_out(q, replicas, count);
	int64_t best_cost = 0;
	int best = -1;

	for (size_t i = 0; i < count; i++) {
		const struct select_replica *r = &replicas[i];
		int64_t cost;

		if (!r->usable || r->ejected || r->limited || has_model(r) ||
		    r->load_us <= 0 || r->load_us > plan.load_max_us ||
		    r->victim_idle_us < plan.victim_idle_us ||
		    r->prefill_share >= SCALE_OUT_PREFILL_SHARE)
			continue;
		cost = r->load_us + side_cost_us(q, r) +
		       (int64_t)(r->prefill_share * PREFILL_WAIT_US);
		if (best != -1 && cost >= best_cost)
			continue;
		best = (int)i;
		best_cost = cost;
	}
	return best;
}
