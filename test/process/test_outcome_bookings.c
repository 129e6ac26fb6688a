/*
 * Calls that may not be repeated, while connections break and agents and
 * entries are killed or paused.  A retry after a lost answer could run a call
 * twice, and a late dispatch could run a call that was reported as not run.
 * Checked in the services' journals.
 */
#include <signal.h>
#include <string.h>

#include <glib.h>

#include "harness.h"

#define CALL_COUNT 2400
#define CALL_INTERVAL_MS 3
#define RESET_COUNT 24
#define LATE_START_MS 1500
#define RANDOM_SEED 3
#define RANDOM_FAULTS_MS 8000

static struct cluster_options opts = {
	.entries = 2,
	.engines = 1,
	.services = 2,
	.proxied = true,
	.entry_settings = "[request]\nresume_window_ms = 1000\n"
			  "dispatch_timeout_ms = 500\n",
};
static struct cluster *cluster;
/* libcurl repeats a call if a reused connection breaks: so reuse none. */
static const char *const headers[] = { "Connection: close", NULL };
static struct batch_call calls[CALL_COUNT];

static void *
run_calls(void *arg)
{
	http_call_batch(calls, CALL_COUNT);
	return NULL;
}

static void
restart_daemon(struct member *m)
{
	proc_kill(&m->daemon);
	proc_start(&m->daemon);
	await_true(is_ready, m->http, "ready after a restart");
}

static void
inject_resets(void)
{
	for (int i = 0; i < RESET_COUNT; i++) {
		set_faults(cluster->services[i % 2].rpc_proxy_control,
		    "{\"reset\": true}");
		sleep_ms(150);
		if (i == RESET_COUNT / 3)
			restart_daemon(&cluster->services[0]);
		if (i == 2 * RESET_COUNT / 3)
			restart_daemon(&cluster->entries[1]);
	}
}

static void
pause_process(struct proc *p, int ms)
{
	proc_signal(p, SIGSTOP);
	sleep_ms(ms);
	proc_signal(p, SIGCONT);
}

struct conn_fault {
	const char *on;
	const char *off;
};

static void
inject_conn_fault(GRand *rand, const char *control)
{
	static const struct conn_fault faults[] = {
		{ "{\"reset\": true}", "{}" },
		{ "{\"stall\": true}", "{\"stall\": false}" },
		{ "{\"one_way\": \"up\"}", "{\"one_way\": \"\"}" },
		{ "{\"one_way\": \"down\"}", "{\"one_way\": \"\"}" },
		{ "{\"cut\": true}", "{\"cut\": false}" },
		{ "{\"link_delay_ms\": 30}", "{\"link_delay_ms\": 0}" },
	};
	const struct conn_fault *f =
	    &faults[g_rand_int_range(rand, 0, G_N_ELEMENTS(faults))];

	set_faults(control, f->on);
	sleep_ms(g_rand_int_range(rand, 20, 700));
	set_faults(control, f->off);
}

/* Injects faults of all kinds, in an order given by the seed. */
static void
inject_random_faults(void)
{
	GRand *rand = g_rand_new_with_seed(RANDOM_SEED);
	int64_t end = now_ms() + RANDOM_FAULTS_MS;

	while (now_ms() < end) {
		int i = g_rand_int_range(rand, 0, 2);
		int ms = g_rand_int_range(rand, 50, 1500);

		switch (g_rand_int_range(rand, 0, 10)) {
		case 0:
			restart_daemon(&cluster->services[i]);
			break;
		case 1:
			restart_daemon(&cluster->entries[i]);
			break;
		case 2:
			pause_process(&cluster->services[i].daemon, ms);
			break;
		case 3:
			pause_process(&cluster->entries[i].daemon, ms);
			break;
		default:
			inject_conn_fault(
			    rand, cluster->services[i].rpc_proxy_control);
			break;
		}
	}
	g_rand_free(rand);
}

/* ---- check of the outcomes ---- */

static void
read_journals(struct response *journals, GHashTable *count)
{
	for (int i = 0; i < opts.services; i++) {
		json_t *run;
		size_t k;

		http_call(&journals[i], "GET", cluster->services[i].backend,
		    "/journal", NULL, NULL);
		json_array_foreach(
		    json_object_get(journals[i].doc, "runs"), k, run)
		{
			const char *path =
			    json_string_value(json_object_get(run, "path"));
			int n =
			    GPOINTER_TO_INT(g_hash_table_lookup(count, path));

			g_hash_table_insert(
			    count, (void *)path, GINT_TO_POINTER(n + 1));
		}
	}
}

/* Whether the response is that of a run of this path, not of another's. */
static bool
answer_matches_run(const struct response *journals, const struct response *resp,
    const char *path)
{
	for (int i = 0; i < opts.services; i++) {
		json_t *run =
		    json_array_get(json_object_get(journals[i].doc, "runs"),
			(size_t)response_int(resp, "booked") - 1);
		const char *ran =
		    json_string_value(json_object_get(run, "path"));

		if (ran != NULL && strcmp(ran, path) == 0)
			return true;
	}
	return false;
}

static void
check_outcomes(void)
{
	struct response journals[2];
	GHashTable *count = g_hash_table_new(g_str_hash, g_str_equal);
	int answered = 0, not_run = 0, unknown = 0, cut = 0, twice = 0;
	int false_not_run = 0, false_answered = 0, crossed = 0;

	read_journals(journals, count);
	for (int i = 0; i < CALL_COUNT; i++) {
		const struct response *resp = &calls[i].response;
		const char *path = calls[i].path + strlen("/services/booking");
		const char *outcome = response_text(resp, "outcome");
		int runs = GPOINTER_TO_INT(g_hash_table_lookup(count, path));

		twice += runs > 1;
		if (resp->code == 200 && !resp->cut) {
			answered++;
			false_answered += runs != 1;
			crossed += !answer_matches_run(journals, resp, path);
		} else if (strcmp(outcome, "not_run") == 0) {
			not_run++;
			false_not_run += runs != 0;
		} else if (strcmp(outcome, "unknown") == 0) {
			unknown++;
		} else {
			cut++;
		}
	}
	g_test_message("%d calls: %d answered, %d not run, %d unknown, %d cut",
	    CALL_COUNT, answered, not_run, unknown, cut);
	g_assert_cmpint(twice, ==, 0);
	g_assert_cmpint(false_not_run, ==, 0);
	g_assert_cmpint(false_answered, ==, 0);
	g_assert_cmpint(crossed, ==, 0);
	g_assert_cmpint(answered, >, CALL_COUNT / 2);
	for (int i = 0; i < opts.services; i++)
		response_clear(&journals[i]);
	g_hash_table_unref(count);
}

static void
run_bookings(const char *name, void (*inject_faults)(void))
{
	GThread *thread;

	for (int i = 0; i < CALL_COUNT; i++) {
		calls[i].method = "POST";
		calls[i].address = cluster->entries[i % 2].http;
		calls[i].path =
		    g_strdup_printf("/services/booking/%s%d", name, i);
		calls[i].headers = headers;
		calls[i].body = (char *)"{}";
		calls[i].start_after_ms = i * CALL_INTERVAL_MS;
	}
	thread = g_thread_new("calls", run_calls, NULL);
	inject_faults();
	g_thread_join(thread);
	/* A call that was reported as not run must not start late either. */
	sleep_ms(LATE_START_MS);
	check_outcomes();
	for (int i = 0; i < CALL_COUNT; i++) {
		g_free(calls[i].path);
		response_clear(&calls[i].response);
	}
}

static void
test_resets(void)
{
	run_bookings("r", inject_resets);
}

static void
test_random_faults(void)
{
	run_bookings("x", inject_random_faults);
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/outcome/resets", test_resets);
	g_test_add_func("/outcome/random_faults", test_random_faults);
	rc = g_test_run();
	cluster_stop(cluster);
	return rc;
}
