/*
 * Placement, scaling and permits, step by step, with times passed in.
 *
 * Guards against more slots than decided replicas, a release without the
 * agent's confirmation, and more loads than the weight store's limits allow.
 */
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "coordination/permits.h"
#include "coordination/placement.h"
#include "coordination/scaling.h"

#define RUNNERS 6

struct fixture {
	struct control *fold;
	struct placement_runner runners[RUNNERS];
	uint64_t offset;
	uint64_t epoch;
	bool confirm; /* agents confirm every release */
	unsigned peak_slots; /* most slots of the model so far */
};

static const char *const ids[RUNNERS] = { "r0", "r1", "r2", "r3", "r4", "r5" };
static const char *const zones[3] = { "za", "zb", "zc" };

static void
fixture_init(struct fixture *f)
{
	struct control_options opts = { .shards = 1 };
	struct tm_control_record claim = { 0 };

	memset(f, 0, sizeof(*f));
	f->fold = control_create(&opts);
	f->offset = 1;
	f->confirm = true;
	for (int i = 0; i < RUNNERS; i++) {
		f->runners[i].id = ids[i];
		f->runners[i].zone = zones[i % 3];
		f->runners[i].memory = 100;
		f->runners[i].usable = true;
	}
	claim.body.type = TM_LEASE_CLAIM;
	claim.body.tm_control_body_u.claim.holder = (char *)"e";
	claim.body.tm_control_body_u.claim.address = (char *)"a";
	f->epoch = f->offset;
	control_apply(f->fold, f->offset++, &claim);
}

static bool
confirmed(void *ctx, uint64_t slot)
{
	return ((struct fixture *)ctx)->confirm;
}

static void
apply_step(struct fixture *f, const struct placement_model *model,
    const struct placement_step *step)
{
	const struct control_model *m = control_model(f->fold, model->name);
	struct tm_control_record r = { .epoch = f->epoch };

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
	control_apply(f->fold, f->offset, &r);
	/* The fold accepts every step that the policy returns. */
	g_assert_cmpint(
	    control_model(f->fold, model->name)->version, ==, f->offset);
	f->offset++;
}

/* Applies steps until there is none left; returns their number. */
static int
apply_all_steps(struct fixture *f, const struct placement_model *model)
{
	int steps = 0;

	for (;;) {
		struct placement_fleet *fleet =
		    placement_fleet_create(f->fold, f->runners, RUNNERS);
		struct placement_step step =
		    placement_next(f->fold, fleet, model, confirmed, f);
		const struct control_model *m;

		placement_fleet_destroy(fleet);
		if (step.action == PLACEMENT_NOTHING)
			return steps;
		apply_step(f, model, &step);
		m = control_model(f->fold, model->name);
		f->peak_slots =
		    m->slots > f->peak_slots ? m->slots : f->peak_slots;
		g_assert_cmpint(m->decided, <=, model->max ? model->max : 99);
		g_assert_cmpint(++steps, <, 50);
	}
}

static unsigned
slots(const struct fixture *f)
{
	return control_model(f->fold, "m")->slots;
}

static const struct control_slot *
slot_at(const struct fixture *f, const char *runner)
{
	return control_runner_slot(f->fold, "m", runner);
}

static unsigned
slots_in_zone(const struct fixture *f, int zone)
{
	return (slot_at(f, ids[zone]) != NULL) +
	       (slot_at(f, ids[zone + 3]) != NULL);
}

static void
test_zone_spread(void)
{
	struct placement_model model = { "m", 10, 3, 6 };
	struct fixture f;

	fixture_init(&f);
	apply_all_steps(&f, &model);
	g_assert_cmpint(slots(&f), ==, 3);
	for (int zone = 0; zone < 3; zone++)
		g_assert_cmpint(slots_in_zone(&f, zone), ==, 1);
	model.desired = 6;
	apply_all_steps(&f, &model);
	g_assert_cmpint(slots(&f), ==, 6);
	model.desired = 1;
	apply_all_steps(&f, &model);
	g_assert_cmpint(slots(&f), ==, 1);
	g_assert_cmpint(control_model(f.fold, "m")->decided, ==, 1);
	control_destroy(f.fold);
}

/*
 * Below max, the substitute of a leaving VM's slot is assigned before that slot
 * is released.
 */
static void
test_leaving(void)
{
	struct placement_model model = { "m", 10, 1, 2 };
	struct fixture f;

	fixture_init(&f);
	apply_all_steps(&f, &model);
	for (int i = 0; i < RUNNERS; i++) {
		if (slot_at(&f, ids[i]) == NULL)
			continue;
		f.runners[i].leaving = true;
		f.runners[i].usable = false;
		f.confirm = false;
		apply_all_steps(&f, &model);
		/* The old slot is still loaded: both count as decided. */
		g_assert_true(slot_at(&f, ids[i])->releasing);
		g_assert_cmpint(slots(&f), ==, 2);
		f.confirm = true;
		apply_all_steps(&f, &model);
		g_assert_null(slot_at(&f, ids[i]));
		g_assert_cmpint(slots(&f), ==, 1);
		break;
	}
	control_destroy(f.fold);
}

/* At max, the substitute is assigned only once the release is confirmed. */
static void
test_leaving_at_max(void)
{
	struct placement_model model = { "m", 10, 1, 1 };
	struct fixture f;

	fixture_init(&f);
	apply_all_steps(&f, &model);
	for (int i = 0; i < RUNNERS; i++)
		f.runners[i].leaving = slot_at(&f, ids[i]) != NULL;
	f.confirm = false;
	apply_all_steps(&f, &model);
	g_assert_cmpint(slots(&f), ==, 1);
	f.confirm = true;
	apply_all_steps(&f, &model);
	g_assert_cmpint(slots(&f), ==, 1);
	g_assert_cmpint(f.peak_slots, ==, 1);
	control_destroy(f.fold);
}

/*
 * A data centre is lost: its slot gets a substitute at once, as max allows it,
 * and is freed once the grace period is over.
 */
static void
test_zone_lost(void)
{
	struct placement_model model = { "m", 10, 3, 4 };
	struct fixture f;

	fixture_init(&f);
	apply_all_steps(&f, &model);
	f.confirm = false;
	for (int i = 0; i < RUNNERS; i += 3) {
		f.runners[i].usable = false;
		f.runners[i].unreachable = true;
	}
	apply_all_steps(&f, &model);
	g_assert_cmpint(slots_in_zone(&f, 0), ==, 1);
	g_assert_cmpint(slots_in_zone(&f, 1) + slots_in_zone(&f, 2), ==, 3);
	for (int i = 0; i < RUNNERS; i += 3)
		f.runners[i].removed = true;
	apply_all_steps(&f, &model);
	g_assert_cmpint(slots_in_zone(&f, 0), ==, 0);
	g_assert_cmpint(slots(&f), ==, 3);
	control_destroy(f.fold);
}

static void
test_undeclared(void)
{
	struct placement_model model = { "m", 10, 2, 2 };
	struct fixture f;

	fixture_init(&f);
	apply_all_steps(&f, &model);
	model.desired = 0;
	model.max = 0;
	apply_all_steps(&f, &model);
	g_assert_cmpint(slots(&f), ==, 0);
	g_assert_cmpint(control_model(f.fold, "m")->decided, ==, 0);
	control_destroy(f.fold);
}

static void
test_too_big(void)
{
	struct placement_model model = { "m", 1000, 1, 2 };
	struct fixture f;

	fixture_init(&f);
	apply_all_steps(&f, &model);
	g_assert_cmpint(slots(&f), ==, 0);
	control_destroy(f.fold);
}

/* ---- scaling ---- */

static unsigned
desired_after(
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

	g_assert_cmpint(desired_after(s, &now, 30, 20, 0), ==, 1);
	/* Demand at twice one replica's rate scales out within 10 s. */
	g_assert_cmpint(desired_after(s, &now, 10, 200, 0), >=, 3);
	/* Scales in only after low demand for shrink_us. */
	g_assert_cmpint(desired_after(s, &now, 200, 0, 0), >=, 3);
	g_assert_cmpint(desired_after(s, &now, 1200, 0, 0), ==, 1);
	/* A refusal scales out by one, whatever the demand. */
	g_assert_cmpint(desired_after(s, &now, 1, 1, 1), ==, 2);
	scaling_destroy(s);
}

/* ---- permits ---- */

static struct permits *
create_permits(void)
{
	struct permits_options opts = { 2.0, 4, 32, 60 * USEC_PER_SEC,
		3 * USEC_PER_SEC, 0 };

	return permits_create(&opts);
}

static struct permit_reply
request_permit(struct permits *p, const char *runner, bool adapter,
    unsigned rank, int64_t deadline, int64_t now)
{
	struct permit_request request = { runner, adapter ? "a" : "m", adapter,
		rank, deadline };

	return permits_request(p, &request, now);
}

static void
test_permit_rate(void)
{
	struct permits *p = create_permits();
	unsigned granted = 0;
	char runner[16];

	/* 10 s at 2 permits per second, each returned at once. */
	for (int64_t now = 0; now < 10 * USEC_PER_SEC;
	     now += 10 * USEC_PER_MSEC) {
		struct permit_reply reply;

		g_snprintf(runner, sizeof(runner), "r%u", granted);
		reply = request_permit(p, runner, false, 0, 0, now);
		granted += reply.permit != 0;
		permits_return(p, reply.permit);
	}
	g_assert_cmpint(granted, >=, 19);
	g_assert_cmpint(granted, <=, 20);
	permits_destroy(p);
}

static void
test_permit_transit(void)
{
	struct permits *p = create_permits();
	unsigned granted = 0;
	char runner[16];

	for (int i = 0; i < 40; i++) {
		g_snprintf(runner, sizeof(runner), "r%d", i);
		granted += request_permit(p, runner, true, 0, 0, i).permit != 0;
	}
	g_assert_cmpint(granted, ==, 32);
	/* A permit whose return was lost expires. */
	g_assert_cmpint(
	    request_permit(p, "late", true, 0, 0, 61 * USEC_PER_SEC).permit, !=,
	    0);
	g_assert_cmpint(permits_in_transit(p, true), ==, 1);
	permits_destroy(p);
}

/* Permits are granted by rank, then by deadline, not in order of request. */
static void
test_permit_order(void)
{
	struct permits *p = create_permits();
	int64_t now = 10 * USEC_PER_SEC;

	for (int i = 0; i < 4; i++) {
		static const char *const first[] = { "a", "b", "c", "d" };

		g_assert_cmpint(
		    request_permit(p, first[i], false, 1, 0, now).permit, !=,
		    0);
	}
	g_assert_cmpint(
	    request_permit(p, "draft", false, 2, 5, now).permit, ==, 0);
	g_assert_cmpint(
	    request_permit(p, "late", false, 0, 9, now).permit, ==, 0);
	g_assert_cmpint(
	    request_permit(p, "soon", false, 0, 5, now).permit, ==, 0);
	permits_return(p, 1);
	now += 600 * USEC_PER_MSEC; /* the rate allows one more */
	g_assert_cmpint(
	    request_permit(p, "draft", false, 2, 5, now).permit, ==, 0);
	g_assert_cmpint(
	    request_permit(p, "late", false, 0, 9, now).permit, ==, 0);
	g_assert_cmpint(
	    request_permit(p, "soon", false, 0, 5, now).permit, !=, 0);
	/* An agent that lost the reply gets the same permit. */
	g_assert_cmpint(
	    request_permit(p, "soon", false, 0, 5, now).permit, !=, 0);
	g_assert_cmpint(permits_in_transit(p, false), ==, 4);
	permits_destroy(p);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placement/spread", test_zone_spread);
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
