/*
 * Replays a seeded week of requests for each workload through the idle policy,
 * and compares it with a fixed idle timeout.  Guards against a policy that
 * saves little idle memory, or saves it by more or longer cold starts.  The
 * simulated runner has memory for all models.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/rng.h"
#include "coordination/idle.h"

#define HOUR_US (3600 * USEC_PER_SEC)
#define DAY_US (24 * HOUR_US)
#define WEEK_US (7 * DAY_US)
#define STEP_US (10 * USEC_PER_SEC)
#define FIXED_TIMEOUT_US (900 * USEC_PER_SEC) /* a common setting */
#define MIN_KEEP_US (30 * USEC_PER_SEC) /* the agent's default */
#define USES_MAX 200000
#define MODELS_MAX 64

struct workload {
	const char *name;
	int models;
	int open_hour, close_hour; /* business hours */
	int days; /* business days, from the first of the week */
	double bursts_per_day; /* of one model, on average */
	double burst_size; /* uses, on average */
	double hour_worth, cold_second_worth;
	int64_t load_us;
};

static const struct workload workloads[] = {
	{ "Markisenverbund", 40, 7, 18, 5, 4, 8, 1, 0.02, 6 * USEC_PER_SEC },
	{ "Fjellduk", 25, 6, 20, 7, 3, 6, 1, 0.005, 6 * USEC_PER_SEC },
};

struct use {
	int64_t at_us;
	int model;
};

struct replay_result {
	double idle_hours;
	double p99_sec;
	double mean_sec;
	int cold_starts;
	int uses;
};

static int
compare_uses(const void *a, const void *b)
{
	const struct use *x = a, *y = b;

	return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

/*
 * Generates bursts of uses at random times within business hours.  The rates of
 * the models differ by up to 8 times.
 */
static int
generate_week(const struct workload *w, uint64_t seed, struct use *uses)
{
	struct rng rng;
	int n = 0;

	rng_seed(&rng, seed);
	for (int m = 0; m < w->models; m++) {
		double rate = w->bursts_per_day * 2 / (1 + m % 8);
		double open = (w->close_hour - w->open_hour) * HOUR_US;

		for (int day = 0; day < w->days; day++) {
			double t = rng_exponential(&rng, open / rate);

			for (; t < open;
			     t += rng_exponential(&rng, open / rate)) {
				double at = t;
				int size = 1 + (int)rng_exponential(
						   &rng, w->burst_size);

				while (size-- > 0 && n < USES_MAX) {
					uses[n].model = m;
					uses[n++].at_us =
					    day * DAY_US +
					    w->open_hour * HOUR_US +
					    (int64_t)at;
					at += rng_exponential(
					    &rng, 40.0 * USEC_PER_SEC);
				}
			}
		}
	}
	qsort(uses, (size_t)n, sizeof(*uses), compare_uses);
	return n;
}

struct fake_runner {
	bool loaded[MODELS_MAX];
	int64_t ready_us[MODELS_MAX]; /* when its load ends */
	int64_t last_us[MODELS_MAX];
};

static void
start_load(struct fake_runner *r, int m, int64_t now, int64_t load_us)
{
	r->loaded[m] = true;
	r->ready_us[m] = now + load_us;
}

static int
compare_waits(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static void
apply_decision(struct idle_policy *p, struct fake_runner *r,
    const struct workload *w, int m, int64_t now)
{
	char name[16];

	if (p == NULL) {
		if (r->loaded[m] && now - r->last_us[m] > FIXED_TIMEOUT_US)
			r->loaded[m] = false;
		return;
	}
	snprintf(name, sizeof(name), "m%d", m);
	switch (idle_decide(p, name, "", r->loaded[m], 1, w->load_us, now)) {
	case IDLE_KEEP:
		break;
	case IDLE_UNLOAD:
		r->loaded[m] = false;
		break;
	case IDLE_PRELOAD:
		start_load(r, m, now, w->load_us);
		break;
	}
}

/*
 * Replays the uses with the policy, or with the fixed timeout if it is NULL.
 * Each model occupies one accelerator, a share of 1.
 */
static struct replay_result
replay_week(const struct workload *w, const struct use *uses, int n,
    struct idle_policy *p)
{
	struct fake_runner r = { 0 };
	struct replay_result out = { .uses = n };
	double *waits = calloc((size_t)n, sizeof(*waits));
	char name[16];
	int i = 0;

	for (int64_t now = 0; now < WEEK_US; now += STEP_US) {
		for (; i < n && uses[i].at_us <= now; i++) {
			int m = uses[i].model;
			int64_t at = uses[i].at_us;

			if (!r.loaded[m]) {
				start_load(&r, m, at, w->load_us);
				out.cold_starts++;
			}
			waits[i] =
			    r.ready_us[m] > at
				? (double)(r.ready_us[m] - at) / USEC_PER_SEC
				: 0;
			r.last_us[m] = at;
			snprintf(name, sizeof(name), "m%d", m);
			if (p != NULL)
				idle_record_use(p, name, "", at);
		}
		for (int m = 0; m < w->models; m++) {
			apply_decision(p, &r, w, m, now);
			out.idle_hours +=
			    r.loaded[m] ? (double)STEP_US / HOUR_US : 0;
		}
	}
	for (i = 0; i < n; i++)
		out.mean_sec += waits[i] / n;
	qsort(waits, (size_t)n, sizeof(*waits), compare_waits);
	out.p99_sec = waits[(int)(0.99 * n)];
	free(waits);
	return out;
}

static void
test_week(const void *arg)
{
	const struct workload *w = arg;
	struct use *uses = calloc(USES_MAX, sizeof(*uses));

	for (uint64_t seed = 1; seed <= 3; seed++) {
		int n = generate_week(w, seed, uses);
		struct idle_options opts = {
			.hour_worth = w->hour_worth,
			.cold_second_worth = w->cold_second_worth,
			.min_keep_us = MIN_KEEP_US,
			.max_items = 1000,
		};
		struct idle_policy *p = idle_create(&opts);
		struct replay_result fixed = replay_week(w, uses, n, NULL);
		struct replay_result policy = replay_week(w, uses, n, p);

		g_test_message("%s seed %d: %d uses; fixed: %.0f h idle, "
			       "%d cold, p99 %.2f s, mean %.3f s; policy: "
			       "%.0f h idle, %d cold, p99 %.2f s, mean %.3f s",
		    w->name, (int)seed, n, fixed.idle_hours, fixed.cold_starts,
		    fixed.p99_sec, fixed.mean_sec, policy.idle_hours,
		    policy.cold_starts, policy.p99_sec, policy.mean_sec);
		g_assert_cmpfloat(
		    policy.idle_hours, <=, 0.5 * fixed.idle_hours);
		g_assert_cmpfloat(policy.p99_sec, <=, fixed.p99_sec);
		idle_destroy(p);
	}
	free(uses);
}

/* Uses at a regular interval: unloaded in between, loaded before the next. */
static void
test_regular(void)
{
	struct idle_options opts = {
		.hour_worth = 1,
		.cold_second_worth = 0.05,
		.max_items = 10,
	};
	struct idle_policy *p = idle_create(&opts);
	int64_t now = 0, load_us = 10 * USEC_PER_SEC;

	for (int i = 0; i < 30; i++, now += 4 * HOUR_US)
		idle_record_use(p, "m", "", now);
	now -= 4 * HOUR_US;
	g_assert_cmpint(
	    idle_decide(p, "m", "", true, 1, load_us, now + HOUR_US / 2), ==,
	    IDLE_UNLOAD);
	g_assert_cmpint(
	    idle_decide(p, "m", "", false, 1, load_us, now + HOUR_US), ==,
	    IDLE_KEEP);
	g_assert_cmpint(idle_decide(p, "m", "", false, 1, load_us,
			    now + 4 * HOUR_US - HOUR_US / 12),
	    ==, IDLE_PRELOAD);
	idle_destroy(p);
}

/* The higher the cost of a cold start, the longer an item stays loaded. */
static void
test_costs(void)
{
	struct idle_options opts = { .hour_worth = 1, .max_items = 10 };
	int64_t kept[2] = { 0 }, load_us = 10 * USEC_PER_SEC;

	for (int i = 0; i < 2; i++) {
		struct idle_policy *p;
		int64_t last = 0;

		opts.cold_second_worth = i == 0 ? 0.001 : 0.1;
		p = idle_create(&opts);
		for (int n = 0; n < 50; n++) {
			last += n % 7 == 6 ? HOUR_US : HOUR_US / 60;
			idle_record_use(p, "m", "", last);
		}
		while (idle_decide(p, "m", "", true, 1, load_us,
			   last + kept[i]) == IDLE_KEEP &&
		       kept[i] < DAY_US)
			kept[i] += USEC_PER_SEC;
		idle_destroy(p);
	}
	g_assert_cmpint(kept[0], <, kept[1]);
}

/* Beyond max_items, the least recently used item is removed. */
static void
test_bounded(void)
{
	struct idle_options opts = { .hour_worth = 1, .max_items = 3 };
	struct idle_policy *p = idle_create(&opts);
	char name[16];

	for (int i = 0; i < 100; i++) {
		snprintf(name, sizeof(name), "m%d", i);
		idle_record_use(p, name, "a", i * USEC_PER_SEC);
	}
	g_assert_cmpint(idle_decide(p, "m1", "a", false, 1, USEC_PER_SEC,
			    100 * USEC_PER_SEC),
	    ==, IDLE_KEEP);
	idle_destroy(p);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func(
	    "/idle/week/markisenverbund", &workloads[0], test_week);
	g_test_add_data_func("/idle/week/fjellduk", &workloads[1], test_week);
	g_test_add_func("/idle/regular", test_regular);
	g_test_add_func("/idle/worth", test_costs);
	g_test_add_func("/idle/bounded", test_bounded);
	return g_test_run();
}
