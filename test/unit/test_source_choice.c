/*
 * Where a gateway gets the deployment from.
 *
 * Guards against a gateway that relies on sidecars that do not read the store,
 * and against one that follows all of them.
 */
#include <glib.h>

#include "common/clock.h"
#include "coordination/source_choice.h"

#define SIDECARS 49
#define TICK_US (50 * USEC_PER_MSEC)

struct fleet_state {
	struct source_choice choice;
	int64_t now_us;
	unsigned followed;
	unsigned reading; /* of all sidecars; the first ones */
};

/* Follows in order, so that the first `reading` followed ones are current. */
static void
run_for(struct fleet_state *s, int64_t us)
{
	int64_t end_us = s->now_us + us;

	for (; s->now_us < end_us; s->now_us += TICK_US) {
		unsigned current =
		    s->followed < s->reading ? s->followed : s->reading;

		switch (source_choice_update(
		    &s->choice, s->followed, current, SIDECARS, s->now_us)) {
		case SOURCE_FOLLOW:
			s->followed++;
			break;
		case SOURCE_UNFOLLOW:
			s->followed--;
			break;
		case SOURCE_KEEP:
			break;
		}
	}
}

static void
test_follows_few(void)
{
	struct fleet_state s = { .now_us = USEC_PER_SEC, .reading = SIDECARS };

	run_for(&s, 500 * USEC_PER_MSEC);
	g_assert_false(s.choice.peers); /* not yet */
	run_for(&s, 5 * USEC_PER_SEC);
	g_assert_true(s.choice.peers);
	g_assert_cmpuint(s.followed, ==, 4);
}

/* The store is lost to all sidecars, and comes back. */
static void
test_relies_on_sidecars_without_store(void)
{
	struct fleet_state s = { .now_us = USEC_PER_SEC, .reading = SIDECARS };

	run_for(&s, 5 * USEC_PER_SEC);
	s.reading = 0;
	run_for(&s, TICK_US);
	g_assert_false(s.choice.peers);
	run_for(&s, 10 * USEC_PER_SEC);
	g_assert_cmpuint(s.followed, ==, SIDECARS);
	s.reading = SIDECARS;
	run_for(&s, 500 * USEC_PER_MSEC);
	g_assert_false(s.choice.peers);
	run_for(&s, 10 * USEC_PER_SEC);
	g_assert_true(s.choice.peers);
	g_assert_cmpuint(s.followed, <=, 8);
}

/* One sidecar alone may be deaf without a sign of it. */
static void
test_relies_on_one_sidecar(void)
{
	struct fleet_state s = { .now_us = USEC_PER_SEC, .reading = 1 };

	run_for(&s, 10 * USEC_PER_SEC);
	g_assert_false(s.choice.peers);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/source_choice/follows_few", test_follows_few);
	g_test_add_func("/source_choice/relies_on_sidecars_without_store",
	    test_relies_on_sidecars_without_store);
	g_test_add_func(
	    "/source_choice/relies_on_one_sidecar", test_relies_on_one_sidecar);
	return g_test_run();
}
