/*
 * Requests of many gateways to replicas that name a limit, replayed with 50
 * seeds: with a meter that restarts or that another one takes over from,
 * gateways that cannot reach it, gateways that stop between a place and its
 * use, and limits that change.
 *
 * Guards against more requests than the replica takes, and against a limit that
 * is not used although requests wait.
 */
#include <stdlib.h>

#include <glib.h>

#include "common/clock.h"
#include "common/rng.h"
#include "coordination/limit_meter.h"
#include "coordination/rate_limit.h"

#define SEEDS 50
#define GATEWAYS_MAX 40
#define SENT_MAX 20000
#define WINDOW_US (4 * USEC_PER_SEC)
#define RUN_US (60 * USEC_PER_SEC)
#define SETTLE_US (3 * USEC_PER_SEC)
#define START_US (1000 * USEC_PER_SEC)

/*
 * Gateways hear within this time that another sidecar is the meter of a plain
 * service: the pause between two reads of the replicas, and half a second.
 */
#define HANDOVER_US (1600 * USEC_PER_MSEC)
#define HANDOVER_PAUSE_US (8 * USEC_PER_SEC)

struct replay {
	struct rng rng;
	struct limit_meter *meter;
	struct limit_meter *former; /* the meter before a handover, or NULL */
	int64_t handover_us;
	int64_t moves_us[GATEWAYS_MAX]; /* to the meter, from the former one */
	struct rate_share shares[GATEWAYS_MAX];
	bool cut[GATEWAYS_MAX]; /* cannot reach the meter */
	bool hands_over;
	unsigned gateways;
	double per_s;
	int64_t sent[SENT_MAX];
	size_t sent_count;
};

static int
compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* The most requests in WINDOW_US, from a time on. */
static size_t
most_in_window(struct replay *r, int64_t from_us)
{
	size_t most = 0, first = 0;

	qsort(r->sent, r->sent_count, sizeof(r->sent[0]), compare_times);
	for (size_t i = 0; i < r->sent_count; i++) {
		while (r->sent[first] < from_us ||
		       r->sent[first] <= r->sent[i] - WINDOW_US) {
			if (first == i)
				break;
			first++;
		}
		if (r->sent[first] >= from_us && i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

static size_t
allowed(double per_s)
{
	return (size_t)(per_s * 4 * 1.5 + 5);
}

static void
send_one(struct replay *r, unsigned gateway, int64_t now)
{
	struct limit_update update = {
		.replica = "r", .born_ms = 1, .per_s = r->per_s, .seen_us = now
	};
	struct limit_place place;
	int64_t at;
	bool placed;

	if (r->cut[gateway]) {
		placed = rate_share_take(&r->shares[gateway], r->per_s / 2,
		    r->gateways, gateway, now, RATE_LIMIT_AHEAD_US, &at);
	} else {
		place = limit_meter_take(
		    now < r->moves_us[gateway] ? r->former : r->meter, &update,
		    now, RATE_LIMIT_AHEAD_US);
		placed = place.granted;
		at = place.at_us;
	}
	g_assert_cmpint(at, >=, now);
	if (!placed) {
		g_assert_cmpint(at - now, >, RATE_LIMIT_AHEAD_US);
		return;
	}
	g_assert_cmpint(at - now, <=, RATE_LIMIT_AHEAD_US);
	/* The request is on its way for up to 10 ms. */
	g_assert_cmpuint(r->sent_count, <, SENT_MAX);
	r->sent[r->sent_count++] = at + (int64_t)rng_below(&r->rng, 10000);
}

/* A sidecar that has run for long becomes the meter. */
static void
hand_over(struct replay *r, int64_t now)
{
	limit_meter_destroy(r->former);
	r->former = r->meter;
	r->meter = limit_meter_create(0);
	r->handover_us = now;
	for (unsigned i = 0; i < r->gateways; i++)
		r->moves_us[i] = now + (int64_t)rng_below(&r->rng, HANDOVER_US);
}

/* All gateways want to send several times as many as the replica takes. */
static void
run(struct replay *r, bool restarts)
{
	int64_t now = START_US, step = USEC_PER_SEC / 200;

	for (; now < START_US + RUN_US; now += step) {
		if (restarts && rng_below(&r->rng, 2000) == 0) {
			limit_meter_destroy(r->meter);
			r->meter = limit_meter_create(now);
		}
		if (restarts && rng_below(&r->rng, 400) == 0) {
			unsigned i = (unsigned)rng_below(&r->rng, r->gateways);

			r->cut[i] = !r->cut[i];
		}
		if (r->hands_over && now - r->handover_us >= HANDOVER_PAUSE_US)
			hand_over(r, now);
		send_one(r, (unsigned)rng_below(&r->rng, r->gateways), now);
	}
}

static struct replay *
start(uint64_t seed)
{
	struct replay *r = calloc(1, sizeof(*r));

	g_assert_nonnull(r);
	rng_seed(&r->rng, seed);
	r->meter = limit_meter_create(0);
	r->gateways = 1 + (unsigned)rng_below(&r->rng, GATEWAYS_MAX);
	r->per_s = 0.2 + 20 * rng_real(&r->rng) * rng_real(&r->rng);
	return r;
}

static void
stop(struct replay *r)
{
	limit_meter_destroy(r->meter);
	limit_meter_destroy(r->former);
	free(r);
}

static void
test_gateways_exceed_limit_together(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct replay *r = start(seed);

		run(r, false);
		g_assert_cmpuint(most_in_window(r, START_US + SETTLE_US), <=,
		    allowed(r->per_s));
		/* What the replica takes is used. */
		g_assert_cmpuint(r->sent_count, >=,
		    (size_t)(0.9 * r->per_s * RUN_US / USEC_PER_SEC) - 1);
		stop(r);
	}
}

static void
test_restarts_and_cuts_exceed_limit(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct replay *r = start(seed);

		run(r, true);
		g_assert_cmpuint(most_in_window(r, START_US + SETTLE_US), <=,
		    allowed(r->per_s));
		stop(r);
	}
}

/* Some gateways still ask the former meter. */
static void
test_two_meters_exceed_limit(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct replay *r = start(seed);

		r->hands_over = true;
		r->handover_us = START_US;
		run(r, false);
		g_assert_cmpuint(most_in_window(r, START_US + SETTLE_US), <=,
		    allowed(r->per_s));
		stop(r);
	}
}

/* What has gathered at gateways that reach no meter leaves them together. */
static void
test_unmetered_gateways_send_at_once(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct replay *r = start(seed);

		for (unsigned i = 0; i < r->gateways; i++)
			r->cut[i] = true;
		run(r, false);
		g_assert_cmpuint(most_in_window(r, START_US + SETTLE_US), <=,
		    allowed(r->per_s));
		g_assert_cmpuint(r->sent_count, >, 0);
		stop(r);
	}
}

static struct limit_update
update(double per_s, int64_t seen_us, uint64_t born_ms)
{
	return (struct limit_update){ "r", born_ms, per_s, seen_us };
}

static void
test_older_answer_counts(void)
{
	struct limit_meter *m = limit_meter_create(0);
	struct limit_update n = update(2, 100, 1);
	struct limit_place place;

	g_assert_true(limit_meter_note(m, &n, 200));
	n = update(0, 50, 1); /* came before it, and is reported after it */
	g_assert_false(limit_meter_note(m, &n, 210));
	n = update(2, 150, 1);
	g_assert_false(limit_meter_note(m, &n, 220)); /* newer, the same */
	/* The end of the limit, and what a gateway says that missed it. */
	n = update(0, 300, 1);
	g_assert_true(limit_meter_note(m, &n, 310));
	n = update(2, 150, 1);
	place = limit_meter_take(m, &n, 2000320, RATE_LIMIT_AHEAD_US);
	g_assert_true(place.granted);
	g_assert_false(place.changed);
	g_assert_cmpint(place.at_us, ==, 2000320);
	g_assert_cmpfloat(place.newest.per_s, ==, 0);
	g_assert_cmpint(place.newest.seen_us, ==, 300);
	limit_meter_destroy(m);
}

/* The next incarnation has not named the limit of the one before. */
static void
test_limit_outlasts_incarnation(void)
{
	struct limit_meter *m = limit_meter_create(0);
	struct limit_update n = update(2, 100, 1);
	struct limit_place place;

	g_assert_true(limit_meter_note(m, &n, 100));
	n = update(0, 50, 2);
	g_assert_true(limit_meter_note(m, &n, 200));
	n = update(2, 150, 1);
	g_assert_false(limit_meter_note(m, &n, 300));
	place = limit_meter_take(m, &n, 2000320, RATE_LIMIT_AHEAD_US);
	g_assert_true(place.granted);
	g_assert_cmpfloat(place.newest.per_s, ==, 0);
	limit_meter_destroy(m);
}

/* More replicas than the meter keeps. */
static void
test_meter_grows_without_end(void)
{
	struct limit_meter *m = limit_meter_create(0);
	char id[16];

	for (int i = 0; i < 1000; i++) {
		struct limit_update n = { id, 1, 1, i };

		g_snprintf(id, sizeof(id), "r%d", i);
		g_assert_true(limit_meter_note(m, &n, i));
	}
	limit_meter_destroy(m);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rate_limit/gateways_exceed_limit_together",
	    test_gateways_exceed_limit_together);
	g_test_add_func("/rate_limit/restarts_and_cuts_exceed_limit",
	    test_restarts_and_cuts_exceed_limit);
	g_test_add_func("/rate_limit/two_meters_exceed_limit",
	    test_two_meters_exceed_limit);
	g_test_add_func("/rate_limit/unmetered_gateways_send_at_once",
	    test_unmetered_gateways_send_at_once);
	g_test_add_func(
	    "/rate_limit/older_answer_counts", test_older_answer_counts);
	g_test_add_func("/rate_limit/limit_outlasts_incarnation",
	    test_limit_outlasts_incarnation);
	g_test_add_func("/rate_limit/meter_grows_without_end",
	    test_meter_grows_without_end);
	return g_test_run();
}
