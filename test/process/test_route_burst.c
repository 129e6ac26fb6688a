/*
 * Requests for one cold model at several entries at once: each slot must load
 * it only once, every caller must be answered, and demand must be reported
 * to the holder only.
 */
#include <string.h>

#include <glib.h>

#include "harness.h"

#define ENTRIES 4
#define CALLS 40

static const char *const urgent_headers[] = { "Rank: urgent", NULL };

static struct cluster_options opts = {
	.entries = ENTRIES,
	.engines = 3,
	.engine_args = { "--token-ms", "10", "--remote-ms", "600" },
};
static struct cluster *cluster;

static void
test_one_load_per_slot(void)
{
	struct batch_call calls[CALLS] = { 0 };
	int64_t loads = 0, serving = 0;

	for (int i = 0; i < CALLS; i++) {
		calls[i].method = "POST";
		calls[i].address = cluster->entries[i % ENTRIES].http;
		calls[i].path = (char *)"/v1/completions";
		calls[i].headers = urgent_headers;
		calls[i].body = g_strdup_printf(
		    "{\"model\":\"alpha\",\"prompt\":\"burst %d\","
		    "\"max_tokens\":8}",
		    i);
	}
	http_call_batch(calls, CALLS);
	for (int i = 0; i < CALLS; i++) {
		if (calls[i].response.code != 200)
			g_test_message("%s", calls[i].response.body);
		g_assert_cmpint(calls[i].response.code, ==, 200);
		g_free(calls[i].body);
		response_clear(&calls[i].response);
	}
	for (int i = 0; i < opts.engines; i++) {
		const char *engine = cluster->engines[i].backend;

		loads += read_journal_int(engine, "loads");
		serving += read_journal_int(engine, "started_runs") > 0;
		g_assert_cmpint(read_journal_int(engine, "loads"), <=, 1);
		g_assert_cmpint(read_journal_int(engine, "overcommits"), ==, 0);
		g_assert_cmpint(
		    read_journal_int(engine, "double_loads"), ==, 0);
	}
	g_assert_cmpint(loads, ==, serving);
}

static int64_t
sum_metric(const char *series)
{
	int64_t n = 0;

	for (int i = 0; i < ENTRIES; i++)
		n += read_metric(cluster->entries[i].http, series);
	return n;
}

static bool
all_reports_received(void *ctx)
{
	int64_t received = sum_metric("demand_reports_received_total");

	return received >= ENTRIES &&
	       received == sum_metric("demand_reports_total");
}

static void
test_demand(void)
{
	int holders = 0;

	await_true(all_reports_received, NULL, "the holder got every report");
	for (int i = 0; i < ENTRIES; i++)
		holders += read_metric(cluster->entries[i].http,
			       "demand_reports_received_total") > 0;
	g_assert_cmpint(holders, ==, 1);
}

/* Whether an entry knows how much memory the engine has. */
static bool
memory_is_known(void *ctx)
{
	const struct member *m = ctx;
	struct response resp;
	int64_t total = 0;
	size_t i;
	json_t *vm;

	http_call(&resp, "GET", cluster->entries[0].http, "/apis/v1/status",
	    NULL, NULL);
	json_array_foreach(json_object_get(resp.doc, "vms"), i, vm)
	{
		const char *id = json_string_value(json_object_get(vm, "vm"));

		if (id != NULL && strcmp(id, m->vm) == 0)
			total = json_integer_value(
			    json_object_get(vm, "memory_total"));
	}
	response_clear(&resp);
	return total > 0;
}

static bool
memory_is_unknown(void *ctx)
{
	return !memory_is_known(ctx);
}

/*
 * An agent that connects before its engine answers reports no memory; it must
 * report it later, or nothing can be placed there.
 */
static void
test_late_engine(void)
{
	struct member *m = &cluster->engines[2];

	set_faults(m->backend, "{\"down\": true}");
	proc_kill(&m->daemon);
	proc_start(&m->daemon);
	await_true(memory_is_unknown, m, "the new agent connected");
	set_faults(m->backend, "{\"down\": false}");
	await_true(memory_is_known, m, "the entry knows the engine's memory");
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/route/one_load_per_slot", test_one_load_per_slot);
	g_test_add_func("/route/demand", test_demand);
	g_test_add_func("/route/late_engine", test_late_engine);
	rc = g_test_run();
	cluster_stop(cluster);
	return rc;
}
