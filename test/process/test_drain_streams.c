/*
 * Draining: SIGTERM to an agent or entry, or a VM that the list names as
 * leaving, must not break off requests in flight.  A draining backend server
 * must get no new work, and a booking during the stop must run exactly once.
 */
#include <signal.h>
#include <string.h>

#include <glib.h>

#include "harness.h"

#define TOKENS 120 /* a stream of 3 s, with --token-ms 25 */
#define STREAM_COUNT 6
#define LIST_REFRESH_WAIT_MS 3000

static const char *const urgent_headers[] = { "Rank: urgent", NULL };

static struct cluster_options opts = {
	.entries = 2,
	.engines = 2,
	.services = 2,
	.engine_args = { "--token-ms", "25", "--remote-ms", "100" },
};
static struct cluster *cluster;

struct batch {
	struct batch_call calls[STREAM_COUNT];
	GThread *thread;
};

static void *
run_batch(void *arg)
{
	struct batch *b = arg;

	http_call_batch(b->calls, STREAM_COUNT);
	return NULL;
}

static void
start_streams(struct batch *b, const char *prompt)
{
	for (int i = 0; i < STREAM_COUNT; i++) {
		b->calls[i].method = "POST";
		b->calls[i].address = cluster->entries[i % 2].http;
		b->calls[i].path = (char *)"/v1/completions";
		b->calls[i].headers = urgent_headers;
		b->calls[i].body =
		    g_strdup_printf("{\"model\":\"alpha\",\"prompt\":\"%s %d\","
				    "\"max_tokens\":%d}",
			prompt, i, TOKENS);
	}
	b->thread = g_thread_new("calls", run_batch, b);
}

static void
assert_streams_complete(struct batch *b, const char *prompt)
{
	g_thread_join(b->thread);
	for (int i = 0; i < STREAM_COUNT; i++) {
		struct response *resp = &b->calls[i].response;
		char *full = g_strdup_printf("%s %d", prompt, i);
		char *expected = expected_text(full, TOKENS);
		json_t *choice =
		    json_array_get(json_object_get(resp->doc, "choices"), 0);

		if (resp->code != 200)
			g_test_message("%ld %s", resp->code, resp->body);
		g_assert_cmpint(resp->code, ==, 200);
		g_assert_cmpstr(
		    json_string_value(json_object_get(choice, "text")), ==,
		    expected);
		g_free(full);
		g_free(expected);
		g_free(b->calls[i].body);
		response_clear(resp);
	}
}

static int64_t
count_runs(const struct member *m)
{
	return read_journal_int(m->backend, "started_runs");
}

static bool
all_streams_started(void *ctx)
{
	int64_t *before = ctx;

	return count_runs(&cluster->engines[0]) +
		   count_runs(&cluster->engines[1]) >=
	       *before + STREAM_COUNT;
}

static struct member *
engine_with_runs(const int64_t before[2])
{
	return count_runs(&cluster->engines[0]) > before[0]
		   ? &cluster->engines[0]
		   : &cluster->engines[1];
}

/* Starts streams; returns an engine that runs some of them. */
static struct member *
start_streams_pick_engine(struct batch *b, const char *prompt)
{
	int64_t before[2] = { count_runs(&cluster->engines[0]),
		count_runs(&cluster->engines[1]) };
	int64_t sum = before[0] + before[1];

	start_streams(b, prompt);
	await_true(all_streams_started, &sum, "all streams run");
	return engine_with_runs(before);
}

/* Makes calls for ms milliseconds; none may end with an unknown outcome. */
static void
call_repeatedly(int ms)
{
	int64_t end = now_ms() + ms;
	struct response resp;

	while (now_ms() < end) {
		http_call(&resp, "POST", cluster->entries[0].http,
		    "/v1/completions", urgent_headers,
		    "{\"model\":\"alpha\",\"prompt\":\"x\",\"max_tokens\":1}");
		g_assert_cmpstr(response_text(&resp, "outcome"), !=, "unknown");
		response_clear(&resp);
	}
}

/* The list names the VM as leaving: its engine gets no new run. */
static void
test_listed_leaving(void)
{
	struct batch b = { 0 };
	struct member *m = start_streams_pick_engine(&b, "listed");
	int64_t runs_before;

	cluster_set_vm_state(cluster, m, "engine", "leaving");
	sleep_ms(LIST_REFRESH_WAIT_MS);
	runs_before = count_runs(m);
	call_repeatedly(500);
	g_assert_cmpint(count_runs(m), ==, runs_before);
	assert_streams_complete(&b, "listed");
	cluster_set_vm_state(cluster, m, "engine", "live");
}

static void
test_agent_signal(void)
{
	struct batch b = { 0 };
	struct member *m = start_streams_pick_engine(&b, "signal");
	int64_t runs_before;

	proc_signal(&m->daemon, SIGTERM);
	runs_before = count_runs(m);
	call_repeatedly(500);
	assert_streams_complete(&b, "signal");
	g_assert_cmpint(count_runs(m), ==, runs_before);
	g_assert_cmpint(proc_wait(&m->daemon), ==, 0);
	proc_start(&m->daemon);
	await_true(is_ready, m->http, "agent back");
}

static void
test_entry_signal(void)
{
	struct batch b = { 0 };

	(void)start_streams_pick_engine(&b, "entry");
	proc_signal(&cluster->entries[0].daemon, SIGTERM);
	sleep_ms(200);
	g_assert_false(is_ready(cluster->entries[0].http));
	assert_streams_complete(&b, "entry");
	g_assert_cmpint(proc_wait(&cluster->entries[0].daemon), ==, 0);
	proc_start(&cluster->entries[0].daemon);
	await_true(is_ready, cluster->entries[0].http, "entry back");
}

static void *
stop_first_service(void *arg)
{
	proc_stop(&cluster->services[0].daemon);
	return NULL;
}

/* All bookings are answered, and each runs once, while one agent stops. */
static void
test_service_signal(void)
{
	struct batch_call calls[300] = { 0 };
	int64_t ran, answered = 0;
	GThread *thread;

	for (int i = 0; i < 300; i++) {
		calls[i].method = "POST";
		calls[i].address = cluster->entries[i % 2].http;
		calls[i].path = (char *)"/services/booking/x";
		calls[i].body = (char *)"{}";
		calls[i].start_after_ms = 5 * i;
	}
	thread = g_thread_new("stop", stop_first_service, NULL);
	http_call_batch(calls, 300);
	g_thread_join(thread);
	ran = read_journal_int(cluster->services[0].backend, "count") +
	      read_journal_int(cluster->services[1].backend, "count");
	for (int i = 0; i < 300; i++) {
		answered += calls[i].response.code == 200;
		g_assert_cmpint(calls[i].response.code, ==, 200);
		response_clear(&calls[i].response);
	}
	g_assert_cmpint(ran, ==, answered);
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/drain/agent_signal", test_agent_signal);
	g_test_add_func("/drain/entry_signal", test_entry_signal);
	g_test_add_func("/drain/service_signal", test_service_signal);
	g_test_add_func("/drain/listed_leaving", test_listed_leaving);
	rc = g_test_run();
	cluster_stop(cluster);
	return rc;
}
