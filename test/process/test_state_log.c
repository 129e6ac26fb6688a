/*
 * The log is down, drops old records, or loses answers.  Entries must serve on,
 * restore the whole state from a checkpoint or a peer, refuse changes while the
 * log is down, and find a new holder.
 */
#include <string.h>

#include <glib.h>

#include "harness.h"

#define PROMPT_HEADERS                                                         \
	{                                                                      \
		"Rank: urgent", "Content-Type: application/json", NULL         \
	}

static const char *const headers[] = PROMPT_HEADERS;

static const char short_entry_timeouts[] =
    "[log]\nstale_ms = 1500\npoll_ms = 300\ncheckpoint_records = 20\n"
    "[control]\nlease_term_ms = 1000\nlease_drift_ms = 200\n"
    "gone_ms = 6000\n";
static const char short_agent_timeouts[] =
    "[log]\nstale_ms = 1500\npoll_ms = 300\n"
    "[backend]\ncut_off_ms = 2500\n";

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

struct version_wait {
	const char *address;
	int64_t version;
};

static bool
has_version(void *ctx)
{
	const struct version_wait *w = ctx;

	return read_metric(w->address, "config_version") >= w->version;
}

static bool
has_checkpoint(void *address)
{
	return read_metric(address, "checkpoints_begun_total") > 0;
}

static void
put_rank(struct cluster *c, const char *name, long code)
{
	char path[64];
	struct response resp;

	g_snprintf(path, sizeof(path), "/apis/v1/rank/%s", name);
	http_call(&resp, "PUT", c->entries[0].http, path, headers,
	    "{\"order\":3,\"deadline_ms\":1000}");
	if (resp.code / 100 != code / 100)
		g_test_message("%s", resp.body ? resp.body : "");
	g_assert_cmpint(resp.code / 100, ==, code / 100);
	response_clear(&resp);
}

static struct cluster *
start_cluster(void)
{
	struct cluster_options opts = {
		.entry_settings = short_entry_timeouts,
		.agent_settings = short_agent_timeouts,
	};

	return cluster_start(&opts);
}

static char *
read_body(const char *address, const char *path)
{
	struct response resp;
	char *body;

	http_call(&resp, "GET", address, path, NULL, NULL);
	g_assert_cmpint(resp.code, ==, 200);
	body = g_strdup(resp.body);
	response_clear(&resp);
	return body;
}

/* An entry was down while the log dropped records: it restores all state. */
static void
test_retention(void)
{
	struct cluster *c = start_cluster();
	struct version_wait wait;
	char *expected_body, *restored_body;

	proc_kill(&c->entries[1].daemon);
	for (int i = 0; i < 12; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "rank-%d", i);
		put_rank(c, name, 201);
	}
	await_true(has_checkpoint, c->entries[0].http, "checkpoint");
	set_faults(c->log, "{\"retain\": 8}");
	/* Lease renewals go on, until only a newer checkpoint is retained. */
	sleep_ms(4000);
	wait.version = read_metric(c->entries[0].http, "config_version");
	wait.address = c->entries[1].http;
	proc_start(&c->entries[1].daemon);
	await_true(is_ready, c->entries[1].http, "entry ready again");
	await_true(has_version, &wait, "the newest version");
	expected_body = read_body(c->entries[0].http, "/apis/v1/rank");
	restored_body = read_body(c->entries[1].http, "/apis/v1/rank");
	g_assert_cmpstr(expected_body, ==, restored_body);
	g_free(expected_body);
	g_free(restored_body);
	cluster_stop(c);
}

/* While the log is down, a cold model is loaded and an entry starts. */
static void
test_outage(void)
{
	struct cluster *c = start_cluster();

	set_faults(c->log, "{\"outage\": true}");
	proc_kill(&c->entries[1].daemon);
	sleep_ms(2000);
	g_assert_true(answers_prompt(c->entries[0].http));
	g_assert_true(is_ready(c->entries[0].http));
	proc_start(&c->entries[1].daemon);
	await_true(is_ready, c->entries[1].http, "ready from a peer");
	g_assert_true(answers_prompt(c->entries[1].http));
	/* Changes are refused until the log is back. */
	put_rank(c, "later", 503);
	set_faults(c->log, "{\"outage\": false}");
	await_true(is_ready, c->entries[0].http, "ready");
	put_rank(c, "later", 201);
	cluster_stop(c);
}

/* The holder is killed while the log loses answers and appends late. */
static void
test_holder_killed_with_lost_answers(void)
{
	struct cluster *c = start_cluster();
	int64_t start_ms, takeover_ms;

	set_faults(c->log, "{\"lose_answers\": 3, \"late_ms\": 700}");
	for (int i = 0; i < 2; i++) {
		if (read_metric(c->entries[i].http, "lease_held") != 1)
			continue;
		start_ms = now_ms();
		proc_kill(&c->entries[i].daemon);
		while (read_metric(c->entries[1 - i].http, "lease_held") != 1 &&
		       now_ms() - start_ms < HARNESS_TIMEOUT_MS)
			sleep_ms(20);
		takeover_ms = now_ms() - start_ms;
		g_test_message("takeover took %d ms", (int)takeover_ms);
		g_assert_cmpint(takeover_ms, <, HARNESS_TIMEOUT_MS);
		g_assert_true(answers_prompt(c->entries[1 - i].http));
		break;
	}
	cluster_stop(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/retention", test_retention);
	g_test_add_func("/state/outage", test_outage);
	g_test_add_func("/state/holder_killed_with_lost_answers",
	    test_holder_killed_with_lost_answers);
	return g_test_run();
}
