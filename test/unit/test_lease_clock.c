/* Two daemons and one lease on a paused clock, with a fold between them. */
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "coordination/lease.h"

#define TERM_US (3 * USEC_PER_SEC)
#define DRIFT_US (500 * USEC_PER_MSEC)

struct side {
	struct lease *lease;
	enum lease_step step;
	struct tm_control_record record;
	bool sent; /* a record is on its way */
};

struct world {
	struct control *fold;
	struct side sides[2];
	uint64_t offset;
	enum control_verdict verdict;
	int64_t now;
};

static void
on_lease(void *ctx, const struct control_lease *lease)
{
	struct world *w = ctx;

	for (int i = 0; i < 2; i++)
		(void)lease_on_record(w->sides[i].lease, lease, w->now);
}

static void
on_judged(void *ctx, const char id[TM_ID_SIZE], enum control_verdict verdict,
    uint64_t offset)
{
	struct world *w = ctx;

	w->verdict = verdict;
}

static void
world_init(struct world *w)
{
	struct control_options opts = {
		.shards = 1,
		.lease_changed = on_lease,
		.on_verdict = on_judged,
		.ctx = w,
	};

	memset(w, 0, sizeof(*w));
	w->now = USEC_PER_SEC;
	w->offset = 1;
	for (int i = 0; i < 2; i++) {
		struct lease_options lease = { i == 0 ? "one" : "two", "addr",
			TERM_US, DRIFT_US, w->now };

		w->sides[i].lease = lease_create(&lease);
	}
	w->fold = control_create(&opts);
}

static void
world_clear(struct world *w)
{
	for (int i = 0; i < 2; i++)
		lease_destroy(w->sides[i].lease);
	control_destroy(w->fold);
}

static const struct control_lease *
folded(const struct world *w)
{
	return control_lease(w->fold, 0);
}

/* Lets a side send its record; it has not landed yet. */
static enum lease_step
send_record(struct world *w, int i)
{
	struct side *s = &w->sides[i];

	s->step = lease_next(s->lease, folded(w), w->now, &s->record);
	s->sent = s->step != LEASE_NOTHING;
	return s->step;
}

static bool
land(struct world *w, int i, bool answer)
{
	struct side *s = &w->sides[i];
	uint64_t offset = w->offset++;
	bool ok;

	control_apply(w->fold, offset, &s->record);
	ok = w->verdict == CONTROL_ACCEPTED;
	if (answer)
		lease_on_verdict(s->lease, s->step, ok ? offset : 0);
	return ok;
}

static bool
held(const struct world *w, int i)
{
	return lease_held(w->sides[i].lease, folded(w), w->now);
}

static void
take(struct world *w, int i)
{
	g_assert_cmpint(send_record(w, i), ==, LEASE_CLAIM);
	g_assert_true(land(w, i, true));
	g_assert_true(held(w, i));
}

static void
test_race(void)
{
	struct world w;

	world_init(&w);
	g_assert_cmpint(send_record(&w, 0), ==, LEASE_CLAIM);
	g_assert_cmpint(send_record(&w, 1), ==, LEASE_CLAIM);
	g_assert_true(land(&w, 1, true));
	g_assert_false(land(&w, 0, true));
	g_assert_true(held(&w, 1));
	g_assert_false(held(&w, 0));
	world_clear(&w);
}

/* Its own term counts from before the record left, not from the answer. */
static void
test_slow_claim(void)
{
	struct world w;

	world_init(&w);
	g_assert_cmpint(send_record(&w, 0), ==, LEASE_CLAIM);
	w.now += TERM_US + 1;
	g_assert_true(land(&w, 0, true));
	g_assert_false(held(&w, 0));
	world_clear(&w);
}

static void
test_renewal(void)
{
	struct world w;

	world_init(&w);
	take(&w, 0);
	for (int i = 0; i < 10; i++) {
		w.now += TERM_US / 3 + 1;
		g_assert_cmpint(send_record(&w, 1), ==, LEASE_NOTHING);
		g_assert_cmpint(send_record(&w, 0), ==, LEASE_RENEW);
		g_assert_true(land(&w, 0, true));
		g_assert_true(held(&w, 0));
	}
	world_clear(&w);
}

/* A holder dies: the other holds it within 5 s. */
static void
test_takeover(void)
{
	struct world w;
	int64_t died;

	world_init(&w);
	take(&w, 0);
	died = w.now;
	while (send_record(&w, 1) == LEASE_NOTHING)
		w.now += 50 * USEC_PER_MSEC;
	g_assert_true(land(&w, 1, true));
	g_assert_true(held(&w, 1));
	g_assert_cmpint(w.now - died, <, 5 * USEC_PER_SEC);
	world_clear(&w);
}

/* Paused past its term, it knows at once, and its old records are dropped. */
static void
test_pause(void)
{
	struct world w;
	struct tm_control_record late = { 0 };

	world_init(&w);
	take(&w, 0);
	late.epoch = lease_epoch(w.sides[0].lease);
	late.body.type = TM_DECIDE;
	late.body.tm_control_body_u.decide.model = (char *)"m";
	late.body.tm_control_body_u.decide.replicas = 1;
	w.now += TERM_US + DRIFT_US + 1;
	g_assert_false(held(&w, 0));
	take(&w, 1);
	control_apply(w.fold, w.offset++, &late);
	g_assert_cmpint(w.verdict, ==, CONTROL_STALE_EPOCH);
	g_assert_false(held(&w, 0));
	g_assert_cmpint(send_record(&w, 0), ==, LEASE_NOTHING);
	world_clear(&w);
}

/* Both claimed, and the loser's claim lands late: nobody holds it twice. */
static void
test_late_claim(void)
{
	struct world w;

	world_init(&w);
	g_assert_cmpint(send_record(&w, 0), ==, LEASE_CLAIM);
	take(&w, 1);
	g_assert_false(land(&w, 0, false));
	g_assert_true(held(&w, 1));
	lease_on_verdict(w.sides[0].lease, LEASE_CLAIM, 0);
	g_assert_false(held(&w, 0));
	world_clear(&w);
}

static void
test_resign(void)
{
	struct world w;

	world_init(&w);
	take(&w, 0);
	lease_resign(w.sides[0].lease);
	g_assert_cmpint(send_record(&w, 0), ==, LEASE_RESIGN);
	g_assert_false(held(&w, 0));
	g_assert_true(land(&w, 0, true));
	take(&w, 1);
	g_assert_cmpint(send_record(&w, 0), ==, LEASE_NOTHING);
	world_clear(&w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease/race", test_race);
	g_test_add_func("/lease/slow_claim", test_slow_claim);
	g_test_add_func("/lease/renewal", test_renewal);
	g_test_add_func("/lease/takeover", test_takeover);
	g_test_add_func("/lease/pause", test_pause);
	g_test_add_func("/lease/late_claim", test_late_claim);
	g_test_add_func("/lease/resign", test_resign);
	return g_test_run();
}
