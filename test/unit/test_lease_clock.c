/*
 * Two daemons and one lease, with times passed in and one fold for both.
 *
 * Guards against two holders at a time, which can come from claims that race,
 * from slow or late records and from a paused holder; and against a lease that
 * nobody takes over.
 */
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "coordination/lease.h"

#define TERM_US (3 * USEC_PER_SEC)
#define DRIFT_US (500 * USEC_PER_MSEC)

struct lease_daemon {
	struct lease *lease;
	enum lease_step step;
	struct tm_control_record record;
	bool sent; /* a record is in flight */
};

struct fixture {
	struct control *fold;
	struct lease_daemon daemons[2];
	uint64_t offset;
	enum control_verdict verdict;
	int64_t now;
};

static void
on_lease(void *ctx, const struct control_lease *lease)
{
	struct fixture *f = ctx;

	for (int i = 0; i < 2; i++)
		(void)lease_on_record(f->daemons[i].lease, lease, f->now);
}

static void
on_verdict(void *ctx, const char id[TM_ID_SIZE], enum control_verdict verdict,
    uint64_t offset)
{
	struct fixture *f = ctx;

	f->verdict = verdict;
}

static void
fixture_init(struct fixture *f)
{
	struct control_options opts = {
		.shards = 1,
		.lease_changed = on_lease,
		.on_verdict = on_verdict,
		.ctx = f,
	};

	memset(f, 0, sizeof(*f));
	f->now = USEC_PER_SEC;
	f->offset = 1;
	for (int i = 0; i < 2; i++) {
		struct lease_options lease = { i == 0 ? "one" : "two", "addr",
			TERM_US, DRIFT_US, f->now };

		f->daemons[i].lease = lease_create(&lease);
	}
	f->fold = control_create(&opts);
}

static void
fixture_clear(struct fixture *f)
{
	for (int i = 0; i < 2; i++)
		lease_destroy(f->daemons[i].lease);
	control_destroy(f->fold);
}

static const struct control_lease *
fold_lease(const struct fixture *f)
{
	return control_lease(f->fold, 0);
}

/* A daemon sends its next record; append_record() appends it to the log. */
static enum lease_step
send_record(struct fixture *f, int i)
{
	struct lease_daemon *d = &f->daemons[i];

	d->step = lease_next(d->lease, fold_lease(f), f->now, &d->record);
	d->sent = d->step != LEASE_NOTHING;
	return d->step;
}

static bool
append_record(struct fixture *f, int i, bool answer)
{
	struct lease_daemon *d = &f->daemons[i];
	uint64_t offset = f->offset++;
	bool ok;

	control_apply(f->fold, offset, &d->record);
	ok = f->verdict == CONTROL_ACCEPTED;
	if (answer)
		lease_on_verdict(d->lease, d->step, ok ? offset : 0);
	return ok;
}

static bool
holds_lease(const struct fixture *f, int i)
{
	return lease_held(f->daemons[i].lease, fold_lease(f), f->now);
}

static void
claim_lease(struct fixture *f, int i)
{
	g_assert_cmpint(send_record(f, i), ==, LEASE_CLAIM);
	g_assert_true(append_record(f, i, true));
	g_assert_true(holds_lease(f, i));
}

/* Of two claims in flight, the first in the log wins. */
static void
test_race(void)
{
	struct fixture f;

	fixture_init(&f);
	g_assert_cmpint(send_record(&f, 0), ==, LEASE_CLAIM);
	g_assert_cmpint(send_record(&f, 1), ==, LEASE_CLAIM);
	g_assert_true(append_record(&f, 1, true));
	g_assert_false(append_record(&f, 0, true));
	g_assert_true(holds_lease(&f, 1));
	g_assert_false(holds_lease(&f, 0));
	fixture_clear(&f);
}

/* The term counts from the sending of the claim, not from its answer. */
static void
test_slow_claim(void)
{
	struct fixture f;

	fixture_init(&f);
	g_assert_cmpint(send_record(&f, 0), ==, LEASE_CLAIM);
	f.now += TERM_US + 1;
	g_assert_true(append_record(&f, 0, true));
	g_assert_false(holds_lease(&f, 0));
	fixture_clear(&f);
}

static void
test_renewal(void)
{
	struct fixture f;

	fixture_init(&f);
	claim_lease(&f, 0);
	for (int i = 0; i < 10; i++) {
		f.now += TERM_US / 3 + 1;
		g_assert_cmpint(send_record(&f, 1), ==, LEASE_NOTHING);
		g_assert_cmpint(send_record(&f, 0), ==, LEASE_RENEW);
		g_assert_true(append_record(&f, 0, true));
		g_assert_true(holds_lease(&f, 0));
	}
	fixture_clear(&f);
}

/* The holder dies: the other daemon takes over within 5 s. */
static void
test_takeover(void)
{
	struct fixture f;
	int64_t died_us;

	fixture_init(&f);
	claim_lease(&f, 0);
	died_us = f.now;
	while (send_record(&f, 1) == LEASE_NOTHING)
		f.now += 50 * USEC_PER_MSEC;
	g_assert_true(append_record(&f, 1, true));
	g_assert_true(holds_lease(&f, 1));
	g_assert_cmpint(f.now - died_us, <, 5 * USEC_PER_SEC);
	fixture_clear(&f);
}

/*
 * A holder that was paused past its term no longer holds the lease, and its
 * records in flight are rejected.
 */
static void
test_pause(void)
{
	struct fixture f;
	struct tm_control_record late = { 0 };

	fixture_init(&f);
	claim_lease(&f, 0);
	late.epoch = lease_epoch(f.daemons[0].lease);
	late.body.type = TM_DECIDE;
	late.body.tm_control_body_u.decide.model = (char *)"m";
	late.body.tm_control_body_u.decide.replicas = 1;
	f.now += TERM_US + DRIFT_US + 1;
	g_assert_false(holds_lease(&f, 0));
	claim_lease(&f, 1);
	control_apply(f.fold, f.offset++, &late);
	g_assert_cmpint(f.verdict, ==, CONTROL_STALE_EPOCH);
	g_assert_false(holds_lease(&f, 0));
	g_assert_cmpint(send_record(&f, 0), ==, LEASE_NOTHING);
	fixture_clear(&f);
}

/* A claim that is appended late does not take the lease from its holder. */
static void
test_late_claim(void)
{
	struct fixture f;

	fixture_init(&f);
	g_assert_cmpint(send_record(&f, 0), ==, LEASE_CLAIM);
	claim_lease(&f, 1);
	g_assert_false(append_record(&f, 0, false));
	g_assert_true(holds_lease(&f, 1));
	lease_on_verdict(f.daemons[0].lease, LEASE_CLAIM, 0);
	g_assert_false(holds_lease(&f, 0));
	fixture_clear(&f);
}

static void
test_resign(void)
{
	struct fixture f;

	fixture_init(&f);
	claim_lease(&f, 0);
	lease_resign(f.daemons[0].lease);
	g_assert_cmpint(send_record(&f, 0), ==, LEASE_RESIGN);
	g_assert_false(holds_lease(&f, 0));
	g_assert_true(append_record(&f, 0, true));
	claim_lease(&f, 1);
	g_assert_cmpint(send_record(&f, 0), ==, LEASE_NOTHING);
	fixture_clear(&f);
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
