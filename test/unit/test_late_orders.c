/*
 * Replays the load pattern of late_orders.h against a model of a replica: loads
 * and adapters come and go, some answers are lost, lost orders arrive seconds
 * later, and the replica restarts empty under its id.  Guards against an order
 * that makes room for none of those that may arrive late.
 */
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/rng.h"
#include "coordination/late_orders.h"

#define SEEDS 300
#define STEPS 400
#define MODELS 5
#define ADAPTERS 4 /* of each model */
#define MEMORY_MB 220
#define MODEL_MB 65
#define ADAPTER_MB 1
#define PLACES 4
#define LATE_US (12 * USEC_PER_SEC)

static const char *const model_names[MODELS] = { "m0", "m1", "m2", "m3", "m4" };
static const char *const adapter_names[ADAPTERS] = { "a0", "a1", "a2", "a3" };

struct replica {
	uint64_t seq;
	bool models[MODELS];
	bool adapters[MODELS][ADAPTERS];
};

struct order {
	enum swap_op op;
	int model, adapter; /* adapter -1: the model itself */
	uint64_t expected;
	int64_t at_us; /* when it arrives */
};

struct replay {
	struct rng rng;
	int64_t now_us;
	struct replica replica;
	struct late_orders late;
	struct order on_the_way[64];
	unsigned on_the_way_count;
	bool guarded;
	unsigned overfilled, executed_late, held_back, loads;
};

static void
execute(struct replay *t, const struct order *o, bool late)
{
	struct replica *r = &t->replica;
	bool *held = o->adapter == -1 ? &r->models[o->model]
				      : &r->adapters[o->model][o->adapter];
	unsigned mb = 0, places = 0;

	if (o->expected != r->seq || *held == (o->op == SWAP_LOAD) ||
	    (o->adapter != -1 && !r->models[o->model]))
		return;
	r->seq++;
	*held = o->op == SWAP_LOAD;
	t->executed_late += late;
	t->loads += o->op == SWAP_LOAD;
	for (int m = 0; m < MODELS; m++) {
		if (!r->models[m])
			memset(r->adapters[m], 0, sizeof(r->adapters[m]));
		mb += r->models[m] ? MODEL_MB : 0;
		for (int a = 0; a < ADAPTERS; a++) {
			mb += r->adapters[m][a] ? ADAPTER_MB : 0;
			places += r->adapters[m][a];
		}
	}
	t->overfilled += mb > MEMORY_MB || places > PLACES;
}

static void
deliver_late(struct replay *t)
{
	for (unsigned i = 0; i < t->on_the_way_count;) {
		if (t->on_the_way[i].at_us > t->now_us) {
			i++;
			continue;
		}
		execute(t, &t->on_the_way[i], true);
		t->on_the_way[i] = t->on_the_way[--t->on_the_way_count];
	}
}

static struct swap_step
next_step(struct replay *t, double *size_mb)
{
	struct swap_model models[MODELS];
	struct swap_adapter adapters[MODELS][ADAPTERS];
	int model = (int)rng_below(&t->rng, MODELS);
	bool adapter = rng_below(&t->rng, 2) == 0;
	struct swap_request request = {
		.model = model_names[model],
		.adapter =
		    adapter ? adapter_names[rng_below(&t->rng, ADAPTERS)] : "",
		.size_mb = MODEL_MB,
		.adapter_mb = ADAPTER_MB,
	};
	struct swap_input in = { .now_us = t->now_us,
		.memory_mb = MEMORY_MB,
		.adapter_capacity = PLACES,
		.models = models,
		.requests = &request,
		.request_count = 1 };
	struct swap_step steps[3] = { 0 };
	bool ask;

	for (int m = 0; m < MODELS; m++) {
		struct swap_model *out = &models[in.model_count];

		if (!t->replica.models[m])
			continue;
		*out = (struct swap_model){ .name = model_names[m],
			.size_mb = MODEL_MB,
			.adapter_mb = ADAPTER_MB,
			.last_use_us = (int64_t)rng_below(&t->rng, 1000),
			.adapters = adapters[m] };
		for (int a = 0; a < ADAPTERS; a++) {
			if (t->replica.adapters[m][a])
				adapters[m][out->adapter_count++] =
				    (struct swap_adapter){
					    .name = adapter_names[a]
				    };
		}
		in.model_count++;
	}
	steps[0] = swap_next(&in, &ask);
	steps[1] = swap_evict_adapter(&in);
	steps[2] = swap_evict_model(&in);
	for (int i = 0; i < 3 && steps[0].op != SWAP_NONE; i++) {
		*size_mb = steps[i].adapter == NULL ? MODEL_MB : ADAPTER_MB;
		if (steps[i].op != SWAP_NONE &&
		    (!t->guarded || late_orders_fit(&t->late, &in, &steps[i],
					*size_mb, "i-1", t->replica.seq)))
			return steps[i];
	}
	t->held_back += steps[0].op != SWAP_NONE;
	return (struct swap_step){ .op = SWAP_NONE };
}

static int
find(const char *const *names, int count, const char *name)
{
	for (int i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return i;
	}
	return -1;
}

static void
send_order(struct replay *t, const struct swap_step *step, double size_mb)
{
	struct order o = { .op = step->op,
		.model = find(model_names, MODELS, step->model),
		.adapter = step->adapter == NULL
			       ? -1
			       : find(adapter_names, ADAPTERS, step->adapter),
		.expected = t->replica.seq };
	struct late_order noted = { .replica = "i-1",
		.expected_seq = o.expected,
		.load = o.op == SWAP_LOAD,
		.size_mb = size_mb,
		.until_us = t->now_us + LATE_US + 1 };

	g_strlcpy(noted.model, step->model, sizeof(noted.model));
	g_strlcpy(noted.adapter, step->adapter == NULL ? "" : step->adapter,
	    sizeof(noted.adapter));
	late_orders_add(&t->late, &noted, t->now_us);
	if (rng_below(&t->rng, 5) > 0 ||
	    t->on_the_way_count == G_N_ELEMENTS(t->on_the_way)) {
		execute(t, &o, false);
		late_orders_answered(&t->late);
		return;
	}
	o.at_us = t->now_us + (int64_t)rng_below(&t->rng, LATE_US);
	t->on_the_way[t->on_the_way_count++] = o;
}

static struct replay
run_replay(uint64_t seed, bool guarded)
{
	struct replay t = { .guarded = guarded };

	rng_seed(&t.rng, seed);
	for (int i = 0; i < STEPS; i++) {
		struct swap_step step;
		double size_mb;

		t.now_us += (int64_t)rng_below(&t.rng, 700 * USEC_PER_MSEC);
		deliver_late(&t);
		if (rng_below(&t.rng, 20) == 0)
			memset(&t.replica, 0, sizeof(t.replica));
		step = next_step(&t, &size_mb);
		if (step.op != SWAP_NONE)
			send_order(&t, &step, size_mb);
	}
	return t;
}

static void
test_replay(void)
{
	unsigned unguarded = 0, late = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct replay t = run_replay(seed, true);

		g_assert_cmpuint(t.overfilled, ==, 0);
		late += t.executed_late;
		/* What is held back must not keep the replica from loading. */
		g_assert_cmpuint(t.loads, >, STEPS / 8);
		unguarded += run_replay(seed, false).overfilled;
	}
	g_assert_cmpuint(late, >, 0);
	g_assert_cmpuint(unguarded, >, 0); /* the pattern has the failure */
}

static void
test_forgotten(void)
{
	const struct swap_model models[] = {
		{ .name = "m0", .size_mb = MODEL_MB },
		{ .name = "m1", .size_mb = MODEL_MB },
	};
	struct swap_input in = { .memory_mb = MEMORY_MB,
		.adapter_capacity = PLACES,
		.models = models,
		.model_count = 2 };
	const struct swap_step step = { SWAP_LOAD, "m2", NULL };
	struct late_order o = { .replica = "i-1",
		.expected_seq = 3,
		.load = true,
		.model = "m3",
		.size_mb = MODEL_MB,
		.until_us = 1000 };
	struct late_orders late = { 0 };

	late_orders_add(&late, &o, 0);
	g_assert_false(late_orders_fit(&late, &in, &step, MODEL_MB, "i-1", 2));
	/* Another count, another incarnation, a load of what is held. */
	g_assert_true(late_orders_fit(&late, &in, &step, MODEL_MB, "i-1", 3));
	g_assert_true(late_orders_fit(&late, &in, &step, MODEL_MB, "i-2", 2));
	strcpy(late.list[0].model, "m2");
	g_assert_true(late_orders_fit(&late, &in, &step, MODEL_MB, "i-1", 2));
	/* The second one fits only without the first. */
	in.model_count = 1;
	strcpy(late.list[0].model, "m3");
	g_assert_true(late_orders_fit(&late, &in, &step, MODEL_MB, "i-1", 2));
	o.expected_seq = 4;
	late_orders_add(&late, &o, 0);
	g_assert_false(late_orders_fit(&late, &in, &step, MODEL_MB, "i-1", 2));
	in.now_us = 1000;
	g_assert_true(late_orders_fit(&late, &in, &step, MODEL_MB, "i-1", 2));
	late_orders_answered(&late);
	g_assert_cmpuint(late.count, ==, 1);
	late_orders_add(&late, &o, 1000); /* drops the one that has expired */
	g_assert_cmpuint(late.count, ==, 1);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/late_orders/replay", test_replay);
	g_test_add_func("/late_orders/forgotten", test_forgotten);
	return g_test_run();
}
