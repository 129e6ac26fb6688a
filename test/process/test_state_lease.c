/*
 * The holder of the lease is killed, paused or stopped: the other entry must
 * take over in time, and never may both hold the lease, also if an append of
 * the old holder is late.  A VM listed as leaving must lose its slots.
 */
#include <signal.h>
#include <string.h>

#include <glib.h>

#include "harness.h"

#define TAKEOVER_LIMIT_MS 5000 /* required, from the holder's death */

static struct cluster *cluster;

static const char *const headers[] = { "Rank: urgent",
	"Content-Type: application/json", NULL };

static bool
holds_lease(int i)
{
	return proc_is_running(&cluster->entries[i].daemon) &&
	       read_metric(cluster->entries[i].http, "lease_held") == 1;
}

static bool
one_holds_lease(void *ctx)
{
	return holds_lease(0) != holds_lease(1);
}

static bool
is_holder(void *ctx)
{
	return holds_lease(*(int *)ctx);
}

static bool
is_not_holder(void *ctx)
{
	return !holds_lease(*(int *)ctx);
}

static int
await_holder(void)
{
	await_true(one_holds_lease, NULL, "one holder");
	return holds_lease(0) ? 0 : 1;
}

static bool
answers_prompt(void *address)
{
	struct response resp;
	bool ok;

	http_call(&resp, "POST", address, "/v1/completions", headers,
	    "{\"model\":\"alpha\",\"prompt\":\"hello\",\"max_tokens\":2}");
	ok = resp.code == 200;
	response_clear(&resp);
	return ok;
}

/* With the default settings, and the log available. */
static void
test_killed(void)
{
	int old = await_holder(), other = 1 - old;
	int64_t start_ms = now_ms();

	proc_kill(&cluster->entries[old].daemon);
	await_true(is_holder, &other, "takeover");
	g_test_message("takeover took %d ms", (int)(now_ms() - start_ms));
	g_assert_cmpint(now_ms() - start_ms, <, TAKEOVER_LIMIT_MS);
	g_assert_true(answers_prompt(cluster->entries[other].http));
	proc_start(&cluster->entries[old].daemon);
	await_true(is_ready, cluster->entries[old].http, "ready again");
}

/* A holder paused beyond its term resumes: it doesn't hold the lease too. */
static void
test_frozen(void)
{
	int old = await_holder(), other = 1 - old;

	proc_signal(&cluster->entries[old].daemon, SIGSTOP);
	await_true(is_holder, &other, "takeover");
	proc_signal(&cluster->entries[old].daemon, SIGCONT);
	for (int i = 0; i < 20; i++) {
		g_assert_false(holds_lease(old) && holds_lease(other));
		sleep_ms(20);
	}
	await_true(is_not_holder, &old, "the old holder has lost the lease");
	g_assert_true(holds_lease(other));
	await_true(answers_prompt, cluster->entries[old].http,
	    "the old holder serves");
}

/* The holder is paused while its renewal is appended late. */
static void
test_frozen_with_late_append(void)
{
	int old = await_holder(), other = 1 - old;

	set_faults(cluster->log, "{\"late_ms\": 6000, \"lose_answers\": 2}");
	sleep_ms(1200); /* until the log holds back its next renewal */
	proc_signal(&cluster->entries[old].daemon, SIGSTOP);
	await_true(is_holder, &other, "takeover");
	proc_signal(&cluster->entries[old].daemon, SIGCONT);
	sleep_ms(3000);
	g_assert_false(holds_lease(old) && holds_lease(other));
	await_true(one_holds_lease, NULL, "one holder");
	set_faults(cluster->log, "{\"late_ms\": 0, \"lose_answers\": 0}");
}

static void
test_resigned(void)
{
	int old = await_holder(), other = 1 - old;
	int64_t start_ms = now_ms();

	proc_signal(&cluster->entries[old].daemon, SIGTERM);
	await_true(is_holder, &other, "takeover");
	g_test_message("takeover after a resignation took %d ms",
	    (int)(now_ms() - start_ms));
	proc_wait(&cluster->entries[old].daemon);
	proc_start(&cluster->entries[old].daemon);
	await_true(is_ready, cluster->entries[old].http, "ready again");
}

static bool
first_engine_has_no_slot(void *ctx)
{
	struct response resp;
	bool none;

	http_call(&resp, "GET", cluster->entries[0].http, "/apis/v1/status",
	    NULL, NULL);
	none = resp.code == 200 && resp.body != NULL;
	if (none) {
		char *models = json_dumps(
		    json_object_get(resp.doc, "models"), JSON_COMPACT);

		none = strstr(models, "\"engine-1\"") == NULL &&
		       strstr(models, "\"engine-2\"") != NULL;
		free(models);
	}
	response_clear(&resp);
	return none;
}

/* The list names a VM as leaving: its slots move, and requests are answered. */
static void
test_vm_leaving(void)
{
	(void)await_holder();
	cluster_set_vm_state(
	    cluster, &cluster->engines[0], "engine", "leaving");
	await_true(first_engine_has_no_slot, NULL, "slots have moved");
	await_true(answers_prompt, cluster->entries[0].http,
	    "the other engine answers");
	g_assert_cmpint(read_journal_int(cluster->engines[0].backend, "loads"),
	    ==, read_journal_int(cluster->engines[0].backend, "unloads"));
}

int
main(int argc, char **argv)
{
	struct cluster_options opts = { .fencing = true };
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/lease/killed", test_killed);
	g_test_add_func("/lease/frozen", test_frozen);
	g_test_add_func(
	    "/lease/frozen_with_late_append", test_frozen_with_late_append);
	g_test_add_func("/lease/resigned", test_resigned);
	g_test_add_func("/membership/vm_leaving", test_vm_leaving);
	rc = g_test_run();
	cluster_stop(cluster);
	return rc;
}
