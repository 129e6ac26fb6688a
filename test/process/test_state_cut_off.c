/*
 * Daemons isolated from the log, from their peers, or from both.  An isolated
 * daemon must not go on with old state: an agent must unload, and an entry
 * report that it isn't ready.  One that reaches either must stay in service.
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
is_not_ready(void *address)
{
	return !is_ready(address);
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

static bool
engine_is_empty(void *address)
{
	return read_journal_int(address, "loads") ==
	       read_journal_int(address, "unloads");
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
		.proxied = true,
		.entry_settings = short_entry_timeouts,
		.agent_settings = short_agent_timeouts,
	};

	return cluster_start(&opts);
}

/* An agent isolated from the log and all entries unloads; it isn't ready. */
static void
test_isolated_agent(void)
{
	struct cluster *c = start_cluster();

	g_assert_true(answers_prompt(c->entries[0].http));
	for (int i = 0; i < 2; i++) {
		set_faults(
		    c->engines[i].rpc_proxy_control, "{\"stall\": true}");
		set_faults(
		    c->engines[i].log_proxy_control, "{\"stall\": true}");
	}
	await_true(is_not_ready, c->engines[0].http, "agent not ready");
	for (int i = 0; i < 2; i++)
		await_true(
		    engine_is_empty, c->engines[i].backend, "engine is empty");
	for (int i = 0; i < 2; i++) {
		set_faults(
		    c->engines[i].rpc_proxy_control, "{\"stall\": false}");
		set_faults(
		    c->engines[i].log_proxy_control, "{\"stall\": false}");
	}
	await_true(
	    answers_prompt, c->entries[0].http, "the model answers again");
	cluster_stop(c);
}

/* An entry isolated from the log and its agents reports it isn't ready. */
static void
test_isolated_entry(void)
{
	struct cluster *c = start_cluster();
	int64_t start_ms = now_ms();

	set_faults(c->entries[0].log_proxy_control, "{\"cut\": true}");
	for (int i = 0; i < 2; i++)
		set_faults(c->engines[i].rpc_proxy_control, "{\"cut\": true}");
	set_faults(c->services[0].rpc_proxy_control, "{\"cut\": true}");
	/* Either entry may be the holder, to which the other one connects. */
	for (int i = 0; i < 2; i++)
		set_faults(c->entries[i].rpc_proxy_control, "{\"cut\": true}");
	await_true(is_not_ready, c->entries[0].http, "entry not ready");
	g_assert_cmpint(now_ms() - start_ms, <, 10000);
	/* The other entry still reads the log. */
	g_assert_true(is_ready(c->entries[1].http));
	set_faults(c->entries[0].log_proxy_control, "{\"cut\": false}");
	await_true(is_ready, c->entries[0].http, "entry ready again");
	cluster_stop(c);
}

/* An entry that lacks only the log stays ready; agents report new versions. */
static void
test_entry_without_log(void)
{
	struct cluster *c = start_cluster();
	struct version_wait wait = { .address = c->entries[1].http };

	set_faults(c->entries[1].log_proxy_control, "{\"cut\": true}");
	put_rank(c, "new", 201);
	wait.version = read_metric(c->entries[0].http, "config_version");
	await_true(has_version, &wait, "the new version, from agents");
	g_assert_true(is_ready(c->entries[1].http));
	cluster_stop(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cut_off/agent", test_isolated_agent);
	g_test_add_func("/cut_off/entry", test_isolated_entry);
	g_test_add_func("/cut_off/entry_without_log", test_entry_without_log);
	return g_test_run();
}
