/* Placement, scaling and permits, step by step, on a paused clock. */
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "coordination/permits.h"
#include "coordination/placement.h"
#include "coordination/scaling.h"

#define RUNNERS 6

struct world {
	struct control *fold;
	struct placement_runner runners[RUNNERS];
	uint64_t offset;
	uint64_t epoch;
	bool confirm; /* agents confirm every release */
	unsigned most; /* slots of the model at any time */
};

static const char *const ids[RUNNERS] = { "r0", "r1", "r2", "r3", "r4", "r5" };
static const char *const zones[3] = { "za", "zb", "zc" };

static void
world_init(struct world *w)
{
	struct control_options opts = { .shards = 1 };
	struct tm_control_record claim = { 0 };

	memset(w, 0, sizeof(*w));
	w->fold = control_create(&opts);
	w->offset = 1;
	w->confirm = true;
	for (int i = 0; i < RUNNERS; i++) {
		w->runners[i].id = ids[i];
		w->runners[i].zone = zones[i % 3];
		w->runners[i].memory = 100;
		w->runners[i].usable = true;
	}
	claim.body.type = TM_LEASE_CLAIM;
	claim.body.tm_control_body_u.claim.holder = (char *)"e";
	claim.body.tm_control_body_u.claim.address = (char *)"a";
	w->epoch = w->offset;
	control_apply(w->fold, w->offset++, &claim);
}

static bool
confirmed(void *ctx, uint64_t slot)
{
	return ((struct world *)ctx)->confirm;
}

static void
apply(struct world *w, const struct placement_model *model,
    const struct placement_step *step)
{
	const struct control_model *m = control_model(w->fold, model->name);
	struct tm_control_record r = { .epoch = w->epoch };

	r.expects = m == NULL ? 0 : m->version;
	switch (step->action) {
	case PLACEMENT_DECIDE:
		r.body.type = TM_DECIDE;
		r.body.tm_control_body_u.decide.model = (char *)model->name;
		r.body.tm_control_body_u.decide.replicas = step->replicas;
		break;
	case PLACEMENT_ASSIGN:
		r.body.type = TM_ASSIGN;
		r.body.tm_control_body_u.assign.model = (char *)model->name;
		r.body.tm_control_body_u.assign.runner = (char *)step->runner;
		break;
	case PLACEMENT_RELEASE:
		r.body.type = TM_RELEASE;
		r.body.tm_control_body_u.release_slot = step->slot;
		break;
	default:
		r.body.type = TM_RELEASED;
		r.body.tm_control_body_u.released_slot = step->slot;
		break;
	}
	control_apply(w->fold, w->offset, &r);
	/* Every step that is named is accepted. */
	g_assert_cmpint(
	    control_model(w->fold, model->name)->version, ==, w->offset);
	w->offset++;
}

/* Steps until nothing is left to do; returns how many it took. */
static int
settle(struct world *w, const struct placement_model *model)
{
	int steps = 0;

	for (;;) {
		struct placement_fleet *fleet =
		    placement_fleet_create(w->fold, w->runners, RUNNERS);
		struct placement_step step =
		    placement_next(w->fold, fleet, model, confirmed, w);
		const struct control_model *m;

		placement_fleet_destroy(fleet);
		if (step.action == PLACEMENT_NOTHING)
			return steps;
		apply(w, model, &step);
		m = control_model(w->fold, model->name);
		w->most = m->slots > w->most ? m->slots : w->most;
		g_assert_cmpint(m->decided, <=, model->max ? model->max : 99);
		g_assert_cmpint(++steps, <, 50);
	}
}

static unsigned
slots(const struct world *w)
{
	return control_model(w->fold, "m")->slots;
}

static const struct control_slot *
slot_at(const struct world *w, const char *runner)
{
	return control_runner_slot(w->fold, "m", runner);
}

static unsigned
in_zone(const struct world *w, int zone)
{
	return (slot_at(w, ids[zone]) != NULL) +
	       (slot_at(w, ids[zone + 3]) != NULL);
}

static void
test_spread(void)
{
	struct placement_model model = { "m", 10, 3, 6 };
	struct world w;

	world_init(&w);
	settle(&w, &model);
	g_assert_cmpint(slots(&w), ==, 3);
	for (int zone = 0; zone < 3; zone++)
		g_assert_cmpint(in_zone(&w, zone), ==, 1);
	model.desired = 6;
	settle(&w, &model);
	g_assert_cmpint(slots(&w), ==, 6);
	model.desired = 1;
	settle(&w, &model);
	g_assert_cmpint(slots(&w), ==, 1);
	g_assert_cmpint(control_model(w.fold, "m")->decided, ==, 1);
	control_destroy(w.fold);
}

/* With room for it, a substitute is there before the leaver is released. */
static void
test_leaving(void)
{
	struct placement_model model = { "m", 10, 1, 2 };
	struct world w;

	world_init(&w);
	settle(&w, &model);
	for (int i = 0; i < RUNNERS; i++) {
		if (slot_at(&w, ids[i]) == NULL)
			continue;
		w.runners[i].leaving = true;
		w.runners[i].usable = false;
		w.confirm = false;
		settle(&w, &model);
		/* The old one is still loaded: both count as decided. */
		g_assert_true(slot_at(&w, ids[i])->releasing);
		g_assert_cmpint(slots(&w), ==, 2);
		w.confirm = true;
		settle(&w, &model);
		g_assert_null(slot_at(&w, ids[i]));
		g_assert_cmpint(slots(&w), ==, 1);
		break;
	}
	control_destroy(w.fold);
}

/* Without room, the second is assigned only after the first is confirmed. */
static void
test_leaving_at_max(void)
{
	struct placement_model model = { "m", 10, 1, 1 };
	struct world w;

	world_init(&w);
	settle(&w, &model);
	for (int i = 0; i < RUNNERS; i++)
		w.runners[i].leaving = slot_at(&w, ids[i]) != NULL;
	w.confirm = false;
	settle(&w, &model);
	g_assert_cmpint(slots(&w), ==, 1);
	w.confirm = true;
	settle(&w, &model);
	g_assert_cmpint(slots(&w), ==, 1);
	g_assert_cmpint(w.most, ==, 1);
	control_destroy(w.fold);
}

/* A data centre is lost: its slots move once the grace is over. */
static void
test_zone_lost(void)
{
	struct placement_model model = { "m", 10, 3, 4 };
	struct world w;

	world_init(&w);
	settle(&w, &model);
	w.confirm = false;
	for (int i = 0; i < RUNNERS; i += 3) {
		w.runners[i].usable = false;
		w.runners[i].unreachable = true;
	}
	settle(&w, &model);
	g_assert_cmpint(in_zone(&w, 0), ==, 1);
	g_assert_cmpint(in_zone(&w, 1) + in_zone(&w, 2), ==, 3);
	for (int i = 0; i < RUNNERS; i += 3)
		w.runners[i].removed = true;
	settle(&w, &model);
	g_assert_cmpint(in_zone(&w, 0), ==, 0);
	g_assert_cmpint(slots(&w), ==, 3);
	control_destroy(w.fold);
}

static void
test_undeclared(void)
{
	struct placement_model model = { "m", 10, 2, 2 };
	struct world w;

	world_init(&w);
	settle(&w, &model);
	model.desired = 0;
	model.max = 0;
	settle(&w, &model);
	g_assert_cmpint(slots(&w), ==, 0);
	g_assert_cmpint(control_model(w.fold, "m")->decided, ==, 0);
	control_destroy(w.fold);
}

static void
test_too_big(void)
{
	struct placement_model model = { "m", 1000, 1, 2 };
	struct world w;

	world_init(&w);
	settle(&w, &model);
	g_assert_cmpint(slots(&w), ==, 0);
	control_destroy(w.fold);
}

/* ---- scaling ---- */

static unsigned
load_for(
    struct scaling *s, int64_t *now, int seconds, u_int tokens, u_int refused)
{
	struct scaling_query query = { "m", 1, 4, 100 };
	struct tm_demand demand = { .model = (char *)"m",
		.requests = 1,
		.tokens = tokens,
		.refused = refused };
	struct tm_demand_report report = { .entry = (char *)"e" };
	unsigned desired = 0;

	report.models.models_val = &demand;
	report.models.models_len = 1;
	for (int i = 0; i < seconds; i++) {
		*now += USEC_PER_SEC;
		scaling_report(s, &report, *now);
		desired = scaling_desired(s, &query, *now);
	}
	return desired;
}

static void
test_scaling(void)
{
	struct scaling_options opts = { 300 * USEC_PER_SEC, 5 * USEC_PER_SEC };
	struct scaling *s = scaling_create(&opts);
	int64_t now = USEC_PER_SEC;

	g_assert_cmpint(load_for(s, &now, 30, 20, 0), ==, 1);
	/* A flood of twice one replica's rate: more within 10 s. */
	g_assert_cmpint(load_for(s, &now, 10, 200, 0), >=, 3);
	/* Quiet for less than the pause keeps them, for longer does not. */
	g_assert_cmpint(load_for(s, &now, 200, 0, 0), >=, 3);
	g_assert_cmpint(load_for(s, &now, 1200, 0, 0), ==, 1);
	/* A refusal asks for one more, whatever the rate says. */
	g_assert_cmpint(load_for(s, &now, 1, 1, 1), ==, 2);
	scaling_destroy(s);
}

/* ---- permits ---- */

static struct permits *
new_permits(void)
{
	struct permits_options opts = { 2.0, 4, 32, 60 * USEC_PER_SEC,
		3 * USEC_PER_SEC, 0 };

	return permits_create(&opts);
}

static struct permit_reply
ask(struct permits *p, const char *runner, bool adapter, unsigned rank,
    int64_t deadline, int64_t now)
{
	struct permit_request a = { runner, adapter ? "a" : "m", adapter, rank,
		deadline };

	return permits_request(p, &a, now);
}

static void
test_permit_rate(void)
{
	struct permits *p = new_permits();
	unsigned granted = 0;
	char runner[16];

	/* Ten seconds at two a second, each returned at once. */
	for (int64_t now = 0; now < 10 * USEC_PER_SEC;
	     now += 10 * USEC_PER_MSEC) {
		struct permit_reply a;

		g_snprintf(runner, sizeof(runner), "r%u", granted);
		a = ask(p, runner, false, 0, 0, now);
		granted += a.permit != 0;
		permits_return(p, a.permit);
	}
	g_assert_cmpint(granted, >=, 19);
	g_assert_cmpint(granted, <=, 20);
	permits_destroy(p);
}

static void
test_permit_transit(void)
{
	struct permits *p = new_permits();
	unsigned granted = 0;
	char runner[16];

	for (int i = 0; i < 40; i++) {
		g_snprintf(runner, sizeof(runner), "r%d", i);
		granted += ask(p, runner, true, 0, 0, i).permit != 0;
	}
	g_assert_cmpint(granted, ==, 32);
	/* A lost return frees its place after the expiry. */
	g_assert_cmpint(
	    ask(p, "late", true, 0, 0, 61 * USEC_PER_SEC).permit, !=, 0);
	g_assert_cmpint(permits_in_transit(p, true), ==, 1);
	permits_destroy(p);
}

static void
test_permit_order(void)
{
	struct permits *p = new_permits();
	int64_t now = 10 * USEC_PER_SEC;

	for (int i = 0; i < 4; i++) {
		static const char *const first[] = { "a", "b", "c", "d" };

		g_assert_cmpint(
		    ask(p, first[i], false, 1, 0, now).permit, !=, 0);
	}
	g_assert_cmpint(ask(p, "draft", false, 2, 5, now).permit, ==, 0);
	g_assert_cmpint(ask(p, "late", false, 0, 9, now).permit, ==, 0);
	g_assert_cmpint(ask(p, "soon", false, 0, 5, now).permit, ==, 0);
	permits_return(p, 1);
	now += 600 * USEC_PER_MSEC; /* one more by the rate */
	g_assert_cmpint(ask(p, "draft", false, 2, 5, now).permit, ==, 0);
	g_assert_cmpint(ask(p, "late", false, 0, 9, now).permit, ==, 0);
	g_assert_cmpint(ask(p, "soon", false, 0, 5, now).permit, !=, 0);
	/* An agent that lost the answer gets the same permit. */
	g_assert_cmpint(ask(p, "soon", false, 0, 5, now).permit, !=, 0);
	g_assert_cmpint(permits_in_transit(p, false), ==, 4);
	permits_destroy(p);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placement/spread", test_spread);
	g_test_add_func("/placement/leaving", test_leaving);
	g_test_add_func("/placement/leaving_at_max", test_leaving_at_max);
	g_test_add_func("/placement/zone_lost", test_zone_lost);
	g_test_add_func("/placement/undeclared", test_undeclared);
	g_test_add_func("/placement/too_big", test_too_big);
	g_test_add_func("/scaling/demand", test_scaling);
	g_test_add_func("/permits/rate", test_permit_rate);
	g_test_add_func("/permits/transit", test_permit_transit);
	g_test_add_func("/permits/order", test_permit_order);
	return g_test_run();
}
