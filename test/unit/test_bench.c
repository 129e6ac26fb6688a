/*
 * The load generator: scenarios, schedules and statistics.
 *
 * Guards against wrong figures: from a misspelt scenario field, from a schedule
 * that differs between runs or from its scenario, and from late ends that are
 * not counted as late.
 */
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "bench/scenario.h"
#include "bench/schedule.h"
#include "bench/stats.h"

static struct scenario *
load_scenario(const char *text, char err[SCENARIO_ERROR_LEN])
{
	char path[] = "/tmp/tamarackmast-scenario-XXXXXX";
	int fd = mkstemp(path);
	struct scenario *s;

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	s = scenario_load(path, err);
	unlink(path);
	return s;
}

static const char two_flows[] =
    "{\"name\":\"t\",\"seconds\":10,\"flows\":["
    "{\"name\":\"a\",\"rank\":\"urgent\",\"rate\":50,\"prefix\":\"m\","
    "\"count\":10,\"zipf\":1.5},"
    "{\"name\":\"b\",\"burst\":{\"every_s\":4,\"size\":7,\"spread_ms\":100},"
    "\"targets\":[\"x\"],\"max_tokens\":{\"median\":20,\"sigma\":2,"
    "\"max\":50}}]}";

static void
test_bad_scenarios(void)
{
	static const char *const bad[] = {
		"{",
		"{\"name\":\"t\",\"seconds\":0,\"flows\":[{\"name\":\"a\"}]}",
		"{\"name\":\"t\",\"seconds\":5,\"flows\":[]}",
		"{\"name\":\"t\",\"seconds\":5,\"flows\":[{\"name\":\"a\"}]}",
		"{\"name\":\"t\",\"seconds\":5,\"flows\":[{\"name\":\"a\","
		"\"targets\":[\"x\"],\"raet\":5}]}",
		"{\"name\":\"t\",\"seconds\":5,\"flows\":[{\"name\":\"a\","
		"\"targets\":[\"x\"],\"end_s\":6}]}",
	};
	char err[SCENARIO_ERROR_LEN];

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		err[0] = '\0';
		g_assert_null(load_scenario(bad[i], err));
		g_assert_cmpstr(err, !=, "");
	}
}

static void
test_schedule_repeats_by_seed(void)
{
	char err[SCENARIO_ERROR_LEN];
	struct scenario *s = load_scenario(two_flows, err);
	struct schedule *a, *b, *c;

	g_assert_nonnull(s);
	a = schedule_create(s, 3, 2);
	b = schedule_create(s, 3, 2);
	c = schedule_create(s, 4, 2);
	g_assert_cmpuint(a->count, ==, b->count);
	g_assert_cmpmem(a->arrivals, a->count * sizeof(*a->arrivals),
	    b->arrivals, b->count * sizeof(*b->arrivals));
	g_assert_true(
	    a->count != c->count || memcmp(a->arrivals, c->arrivals,
					a->count * sizeof(*a->arrivals)) != 0);
	schedule_destroy(a);
	schedule_destroy(b);
	schedule_destroy(c);
	scenario_destroy(s);
}

static void
test_schedule_shape(void)
{
	char err[SCENARIO_ERROR_LEN];
	struct scenario *s = load_scenario(two_flows, err);
	struct schedule *a = schedule_create(s, 1, 3);
	size_t first_target = 0, last_target = 0, bursts = 0, at_random;
	int64_t before = 0;

	for (size_t i = 0; i < a->count; i++) {
		const struct arrival *x = &a->arrivals[i];

		g_assert_cmpint(x->at_us, >=, before);
		before = x->at_us;
		g_assert_cmpuint(x->entry, <, 3);
		first_target += strcmp(x->target, "m0") == 0;
		last_target += strcmp(x->target, "m9") == 0;
		if (x->flow != &s->flows[1])
			continue;
		bursts++;
		g_assert_cmpint(x->at_us % 4000000, <, 100000);
		g_assert_cmpuint(x->max_tokens, <=, 50);
	}
	at_random = a->count - bursts;
	g_assert_cmpuint(bursts, ==, 3 * 7);
	/* 500 expected at random; 5 standard deviations are 112. */
	g_assert_cmpuint(at_random, >, 388);
	g_assert_cmpuint(at_random, <, 612);
	g_assert_cmpuint(
	    first_target, >, 10 * last_target); /* 31 times as likely */
	schedule_destroy(a);
	scenario_destroy(s);
}

/* A request counts as late only if it ends past its deadline and the margin. */
static void
test_stats_count_late_outcomes(void)
{
	struct stats *stats = stats_create(5, 100000);
	struct bench_result r = {
		.rank = "urgent",
		.outcome = BENCH_NOT_RUN,
		.code = "EXPIRED",
		.deadline_us = 1000000,
		.latency_us = 1000000 + 100000,
	};
	struct stats_totals totals;
	json_t *doc, *rank;

	stats_add_result(stats, &r);
	r.latency_us++;
	stats_add_result(stats, &r);
	stats_totals(stats, &totals);
	g_assert_cmpuint(totals.late, ==, 1);
	g_assert_cmpuint(totals.outcomes[BENCH_NOT_RUN], ==, 2);
	doc = stats_json(stats);
	rank = json_object_get(doc, "urgent");
	g_assert_cmpint(json_integer_value(json_object_get(
			    json_object_get(rank, "codes"), "EXPIRED")),
	    ==, 2);
	json_decref(doc);
	stats_destroy(stats);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bench/bad_scenarios", test_bad_scenarios);
	g_test_add_func("/bench/schedule_seed", test_schedule_repeats_by_seed);
	g_test_add_func("/bench/schedule_shape", test_schedule_shape);
	g_test_add_func("/bench/late_ends", test_stats_count_late_outcomes);
	return g_test_run();
}
