/*
 * An agent that restarts during a load, or whose engine loses the answer to a
 * load order, doesn't know what the engine holds.  It must neither load a model
 * twice nor overcommit the engine's memory, whether or not the engine checks
 * fencing numbers.  Checked in the engines' journals.
 */
#include <signal.h>
#include <string.h>

#include <glib.h>

#include "harness.h"

static struct cluster *cluster;

static const char *const urgent_headers[] = { "Rank: urgent",
	"Deadline-Ms: 10000", "Content-Type: application/json", NULL };

static int64_t
sum_journals(const char *field)
{
	return read_journal_int(cluster->engines[0].backend, field) +
	       read_journal_int(cluster->engines[1].backend, field);
}

static void
assert_no_overcommit(void)
{
	g_assert_cmpint(sum_journals("overcommits"), ==, 0);
	g_assert_cmpint(sum_journals("double_loads"), ==, 0);
}

static bool
model_answers(void *model)
{
	char *body = g_strdup_printf(
	    "{\"model\":\"%s\",\"prompt\":\"hello\",\"max_tokens\":3}",
	    (const char *)model);
	struct response resp;
	bool ok;

	http_call(&resp, "POST", cluster->entries[0].http, "/v1/completions",
	    urgent_headers, body);
	ok = resp.code == 200;
	response_clear(&resp);
	g_free(body);
	return ok;
}

struct background_call {
	const char *model;
	bool ok;
};

static gpointer
run_background(gpointer arg)
{
	struct background_call *b = arg;

	b->ok = model_answers((void *)b->model);
	return NULL;
}

static bool
load_has_started(void *ctx)
{
	return sum_journals("loads") > *(int64_t *)ctx;
}

static void
set_slow_factor(const char *factor)
{
	char *json = g_strdup_printf("{\"slow\": %s}", factor);

	for (int i = 0; i < 2; i++)
		set_faults(cluster->engines[i].backend, json);
	g_free(json);
}

/* Both agents are killed during a load and restart with the same engines. */
static void
test_killed_mid_load(void)
{
	struct background_call b = { .model = "alpha" };
	int64_t before = sum_journals("loads");
	GThread *thread;

	set_slow_factor("10");
	thread = g_thread_new("call", run_background, &b);
	await_true(load_has_started, &before, "a load starts");
	for (int i = 0; i < 2; i++)
		proc_kill(&cluster->engines[i].daemon);
	for (int i = 0; i < 2; i++)
		proc_start(&cluster->engines[i].daemon);
	g_thread_join(thread);
	set_slow_factor("1");
	await_true(model_answers, (void *)"alpha", "the model answers");
	g_assert_cmpint(sum_journals("loads"), <=, before + 2);
	assert_no_overcommit();
}

static int64_t
count_permits(const char *from)
{
	char *series = g_strdup_printf("permits_total{from=\"%s\"}", from);
	int64_t n = read_metric(cluster->engines[0].http, series) +
		    read_metric(cluster->engines[1].http, series);

	g_free(series);
	return n;
}

/* The engine carries out each order, but its answer is lost. */
static void
test_lost_answers(void)
{
	for (int i = 0; i < 2; i++)
		set_faults(
		    cluster->engines[i].backend, "{\"lose_answers\": 3}");
	await_true(model_answers, (void *)"beta", "beta answers");
	for (int i = 0; i < 2; i++)
		set_faults(
		    cluster->engines[i].backend, "{\"lose_answers\": 0}");
	await_true(model_answers, (void *)"alpha", "alpha answers");
	await_true(model_answers, (void *)"beta", "beta answers again");
	g_test_message("permits: %d from the holder, %d decided offline",
	    (int)count_permits("holder"), (int)count_permits("share"));
	g_assert_cmpint(count_permits("holder"), >, 0);
	assert_no_overcommit();
}

static gpointer
run_long_completion(gpointer arg)
{
	struct background_call *b = arg;
	char *expected = expected_text("long", 60);
	struct response resp;

	http_call(&resp, "POST", cluster->entries[0].http, "/v1/completions",
	    urgent_headers,
	    "{\"model\":\"alpha\",\"prompt\":\"long\",\"max_tokens\":60}");
	b->ok = resp.code == 200 && strstr(resp.body, expected) != NULL;
	if (!b->ok)
		g_test_message("%ld %s", resp.code, resp.body ? resp.body : "");
	response_clear(&resp);
	g_free(expected);
	return NULL;
}

static bool
run_has_started(void *ctx)
{
	return sum_journals("started_runs") > *(int64_t *)ctx;
}

/* Agents that stop on SIGTERM let their streams finish. */
static void
test_drain(void)
{
	struct background_call b = { 0 };
	int64_t before = sum_journals("started_runs");
	GThread *thread;

	set_slow_factor("3");
	thread = g_thread_new("call", run_long_completion, &b);
	await_true(run_has_started, &before, "the stream runs");
	for (int i = 0; i < 2; i++)
		proc_signal(&cluster->engines[i].daemon, SIGTERM);
	g_thread_join(thread);
	g_assert_true(b.ok);
	for (int i = 0; i < 2; i++)
		proc_stop_repeatedly(&cluster->engines[i].daemon);
	assert_no_overcommit();
}

static void
run_with_fencing(bool fencing)
{
	struct cluster_options opts = { .fencing = fencing, .services = 1 };

	cluster = cluster_start(&opts);
	test_killed_mid_load();
	test_lost_answers();
	test_drain();
	cluster_stop(cluster);
}

static void
test_fencing_checked(void)
{
	run_with_fencing(true);
}

static void
test_fencing_ignored(void)
{
	run_with_fencing(false);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/agent_loads/fencing_checked", test_fencing_checked);
	g_test_add_func("/agent_loads/fencing_ignored", test_fencing_ignored);
	return g_test_run();
}
