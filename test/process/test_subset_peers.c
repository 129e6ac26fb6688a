/*
 * Entries of a fleet too large for a full mesh.  An entry that isn't the holder
 * keeps connections to a sample of agents; it must connect to others on demand,
 * so that every model answers, and close these connections after disuse.
 */
#include <string.h>

#include <glib.h>

#include "harness.h"

#define ENGINES 9
#define ZONES 3

static struct cluster *cluster;

static const char *
read_holder(void)
{
	static char name[HARNESS_TEXT_SIZE];
	struct response resp;

	http_call(&resp, "GET", cluster->entries[0].http, "/apis/v1/status",
	    NULL, NULL);
	g_strlcpy(name, response_text(&resp, "holder"), sizeof(name));
	response_clear(&resp);
	return name;
}

static const struct member *
non_holder_entry(void)
{
	const char *name = read_holder();

	for (int i = 0; i < 2; i++) {
		if (strcmp(cluster->entries[i].vm, name) != 0)
			return &cluster->entries[i];
	}
	return NULL;
}

/* Connected to sample_per_zone = 1 agent in each data centre. */
static bool
has_only_sample_conns(void *ctx)
{
	const struct member *m = ctx;

	return read_metric(m->http, "peers_connected") == ZONES;
}

static void
test_sample_and_demand(void)
{
	const struct member *entry = non_holder_entry();
	static const char *const headers[] = { "Rank: urgent", NULL };

	g_assert_nonnull(entry);
	await_true(has_only_sample_conns, (void *)entry,
	    "only connections of the sample");
	for (int i = 0; i < ENGINES; i++) {
		char *body = g_strdup_printf("{\"model\":\"m%d\",\"prompt\":"
					     "\"x\",\"max_tokens\":2}",
		    i);
		struct response resp;

		http_call(&resp, "POST", entry->http, "/v1/completions",
		    headers, body);
		if (resp.code != 200)
			g_test_message("%s", resp.body);
		g_assert_cmpint(resp.code, ==, 200);
		response_clear(&resp);
		g_free(body);
	}
	g_assert_cmpint(read_metric(entry->http, "peers_connected"), >, ZONES);
	await_true(
	    has_only_sample_conns, (void *)entry, "unused connections closed");
}

static char *
declarations(void)
{
	GString *docs = g_string_new(
	    "{\"kind\":\"rank\",\"name\":\"urgent\",\"spec\":{\"order\":0,"
	    "\"deadline_ms\":20000}}"
	    "{\"kind\":\"deployment\",\"name\":\"all\",\"spec\":{}}");

	for (int i = 0; i < ENGINES; i++)
		g_string_append_printf(docs,
		    "{\"kind\":\"model\",\"name\":\"m%d\","
		    "\"spec\":{\"memory_mib\":1000}}",
		    i);
	return g_string_free(docs, FALSE);
}

int
main(int argc, char **argv)
{
	char *docs = declarations();
	struct cluster_options opts = {
		.engines = ENGINES,
		.declarations = docs,
		.engine_args = { "--remote-ms", "50" },
		.entry_settings = "[peers]\nsmall_fleet = 0\n"
				  "sample_per_zone = 1\nkeep_ms = 3000\n",
	};
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/subset/sample_and_demand", test_sample_and_demand);
	rc = g_test_run();
	cluster_stop(cluster);
	g_free(docs);
	return rc;
}
