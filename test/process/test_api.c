/*
 * The resource API: pages, dry runs, references between declarations, status,
 * and two failures.  Operators who write at two entries at once must not
 * overwrite each other, although an entry may lag behind the log.  A watch that
 * goes on at another entry must neither lose nor repeat a change.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "harness.h"

#define RACE_ROUNDS 1000
#define WATCHED_CHANGES 40

static struct cluster *cluster;

static const char *
entry_http(int i)
{
	return cluster->entries[i].http;
}

static void
assert_call(int entry, const char *method, const char *path, const char *body,
    long code, const char *result, const char *detail)
{
	struct response resp;

	http_call(&resp, method, entry_http(entry), path, NULL, body);
	if (resp.code != code)
		g_test_message("%s %s: %s", method, path, resp.body);
	g_assert_cmpint(resp.code, ==, code);
	g_assert_cmpstr(response_text(&resp, "result"), ==, result);
	g_assert_nonnull(strstr(response_text(&resp, "detail"), detail));
	response_clear(&resp);
}

static void
test_pages(void)
{
	GString *names = g_string_new(NULL);
	char *path = g_strdup("/apis/v1/?limit=3");
	int pages = 0;

	while (path != NULL) {
		struct response resp;
		const char *more;
		json_t *item;
		size_t i;

		http_call(&resp, "GET", entry_http(0), path, NULL, NULL);
		g_assert_cmpint(resp.code, ==, 200);
		g_assert_cmpint(
		    json_array_size(json_object_get(resp.doc, "items")), <=, 3);
		json_array_foreach(json_object_get(resp.doc, "items"), i, item)
		    g_string_append_printf(names, "%s ",
			json_string_value(json_object_get(item, "name")));
		more = response_text(&resp, "continue");
		g_free(path);
		path = *more == '\0'
			   ? NULL
			   : g_strconcat(
				 "/apis/v1/?limit=3&continue=", more, NULL);
		pages++;
		response_clear(&resp);
	}
	g_assert_cmpint(pages, ==, 3);
	g_assert_cmpstr(names->str, ==,
	    "alpha beta alpha-one booking draft standard urgent all ");
	g_string_free(names, TRUE);
	assert_call(0, "GET", "/apis/v1/model?limit=0", NULL, 400,
	    "BAD_REQUEST", "limit: must be an integer from 1 to 10000");
	assert_call(0, "GET", "/apis/v1/model?page=2", NULL, 400, "BAD_REQUEST",
	    "allowed parameters");
}

static void
test_dry_run(void)
{
	struct response resp;

	http_call(&resp, "PUT", entry_http(0), "/apis/v1/model/dry?dry-run",
	    NULL, "{\"memory_mib\":10}");
	g_assert_cmpint(resp.code, ==, 200);
	g_assert_true(json_is_true(json_object_get(resp.doc, "dry_run")));
	response_clear(&resp);
	assert_call(0, "GET", "/apis/v1/model/dry", NULL, 404, "NOT_FOUND", "");
	assert_call(0, "PUT", "/apis/v1/model/dry?dry-run",
	    "{\"memory_mib\":-1}", 422, "INVALID",
	    "memory_mib: must be an integer from 1 to ");
	assert_call(0, "PUT", "/apis/v1/model/dry", "{\"memory_mib\":1", 422,
	    "INVALID", "line 1: not a JSON object");
}

static void
test_references(void)
{
	assert_call(0, "PUT", "/apis/v1/adapter/lost",
	    "{\"model\":\"nowhere\",\"memory_mib\":1}", 422, "INVALID",
	    "model: no model named nowhere is declared");
	assert_call(0, "PUT", "/apis/v1/deployment/lost",
	    "{\"ranks\":[\"urgent\",\"idle\"]}", 422, "INVALID",
	    "ranks: no rank named idle is declared");
	assert_call(0, "DELETE", "/apis/v1/model/alpha", NULL, 409, "IN_USE",
	    "adapter alpha-one refers to it");
	assert_call(0, "POST", "/apis/v1/batch",
	    "{\"changes\":[{\"kind\":\"model\",\"name\":\"gamma\","
	    "\"spec\":{\"memory_mib\":9}},{\"kind\":\"adapter\","
	    "\"name\":\"gamma-one\",\"spec\":{\"model\":\"gamma\","
	    "\"memory_mib\":1}}]}",
	    200, "", "");
	assert_call(0, "POST", "/apis/v1/batch",
	    "{\"changes\":[{\"kind\":\"model\",\"name\":\"gamma\","
	    "\"delete\":true},{\"kind\":\"adapter\",\"name\":\"gamma-one\","
	    "\"delete\":true}]}",
	    200, "", "");
	assert_call(
	    0, "GET", "/apis/v1/adapter/gamma-one", NULL, 404, "NOT_FOUND", "");
}

/* ---- status ---- */

static bool
active_on_all_agents(void *ctx)
{
	struct response resp;
	int known, active_count, listed;

	http_call(&resp, "GET", entry_http(0), "/apis/v1/model/alpha?status",
	    NULL, NULL);
	known = json_unpack(resp.doc, "{s:{s:i,s:i,s:{s:i}}}", "status",
	    "in_force", &active_count, "daemons", &listed, "replicas",
	    "decided", &known);
	response_clear(&resp);
	g_assert_cmpint(known, ==, 0);
	/* The other entry counts as a daemon, but entries don't connect. */
	return listed == 5 && active_count >= 4;
}

static void
test_status(void)
{
	await_true(active_on_all_agents, NULL, "active on all agents");
}

/* ---- races ---- */

/* Two operators read the same version at two entries and write at once. */
static void
test_races(void)
{
	int64_t version = 0, accepted[2] = { 0, 0 };
	struct response resp;

	assert_call(
	    0, "PUT", "/apis/v1/rank/raced", "{\"order\":9}", 200, "", "");
	http_call(
	    &resp, "GET", entry_http(0), "/apis/v1/rank/raced", NULL, NULL);
	version = response_int(&resp, "version");
	response_clear(&resp);
	for (int round = 0; round < RACE_ROUNDS; round++) {
		char match[64], bodies[2][96];
		const char *headers[] = { match, NULL };
		struct batch_call calls[2] = { 0 };
		int64_t before = version;
		int won = 0;

		snprintf(match, sizeof(match),
		    "If-Match: \"%" G_GINT64_FORMAT "\"", version);
		for (int i = 0; i < 2; i++) {
			snprintf(bodies[i], sizeof(bodies[i]),
			    "{\"order\":9,\"deadline_ms\":%d}",
			    1 + 2 * round + i);
			calls[i].method = "PUT";
			calls[i].address = entry_http(i);
			calls[i].path = (char *)"/apis/v1/rank/raced";
			calls[i].headers = headers;
			calls[i].body = bodies[i];
		}
		http_call_batch(calls, 2);
		for (int i = 0; i < 2; i++) {
			if (calls[i].response.code == 200) {
				version =
				    response_int(&calls[i].response, "version");
				accepted[i]++;
				won++;
			} else if (calls[i].response.code != 409) {
				/* The entry already had the other change. */
				g_assert_cmpint(
				    calls[i].response.code, ==, 412);
			}
			response_clear(&calls[i].response);
		}
		/* An entry that lags behind must refuse, not overwrite. */
		g_assert_cmpint(won, <=, 1);
		if (won == 1)
			g_assert_cmpint(version, >, before);
	}
	http_call(
	    &resp, "GET", entry_http(0), "/apis/v1/rank/raced", NULL, NULL);
	g_assert_cmpint(response_int(&resp, "version"), ==, version);
	response_clear(&resp);
	g_test_message("%d rounds, accepted %d and %d", RACE_ROUNDS,
	    (int)accepted[0], (int)accepted[1]);
	g_assert_cmpint(accepted[0] + accepted[1], >, RACE_ROUNDS / 2);
}

/* ---- watches ---- */

struct watch {
	int entry;
	int64_t since_version;
	struct response response;
	GThread *thread;
};

static void *
run_watch(void *arg)
{
	struct watch *w = arg;
	char path[64];

	snprintf(path, sizeof(path), "/apis/v1/rank?watch=%" G_GINT64_FORMAT,
	    w->since_version);
	http_call(&w->response, "GET", entry_http(w->entry), path, NULL, NULL);
	return NULL;
}

/*
 * Appends the names of the changes that a bookmark follows.  Returns the
 * version of the last bookmark; since_version if there is none.
 */
static int64_t
collect_committed_names(const char *body, int64_t since_version, GString *names)
{
	char **lines = g_strsplit(body ? body : "", "\n", -1);
	GString *group = g_string_new(NULL);

	/* The text after the last newline is an incomplete line. */
	for (int i = 0; lines[i] != NULL && lines[i + 1] != NULL; i++) {
		json_t *doc = json_loads(lines[i], 0, NULL);
		const char *type = "", *name = "";
		json_int_t version = 0;

		g_assert_cmpint(json_unpack(doc, "{s:s,s?s,s:I}", "type", &type,
				    "name", &name, "version", &version),
		    ==, 0);
		if (strcmp(type, "bookmark") == 0) {
			g_string_append(names, group->str);
			g_string_truncate(group, 0);
			since_version = version;
		} else {
			g_string_append_printf(group, "%s ", name);
		}
		json_decref(doc);
	}
	g_string_free(group, TRUE);
	g_strfreev(lines);
	return since_version;
}

static bool
has_watcher(void *ctx)
{
	return read_metric(ctx, "watchers") > 0;
}

static void
start_watch(struct watch *w)
{
	w->thread = g_thread_new("watch", run_watch, w);
	await_true(has_watcher, (void *)entry_http(w->entry), "watch started");
}

static void
put_rank(int entry, int i)
{
	char path[64];

	snprintf(path, sizeof(path), "/apis/v1/rank/w%02d", i);
	assert_call(entry, "PUT", path, "{\"order\":7}", 200, "", "");
}

static void
test_watch_across_kill(void)
{
	struct watch first = { .entry = 1 }, second = { .entry = 0 };
	GString *names = g_string_new(NULL), *expected = g_string_new(NULL);
	struct response resp;

	http_call(&resp, "GET", entry_http(1), "/apis/v1/rank", NULL, NULL);
	first.since_version = response_int(&resp, "version");
	response_clear(&resp);
	start_watch(&first);
	for (int i = 0; i < WATCHED_CHANGES; i++) {
		put_rank(i % 2 == 0 || i > WATCHED_CHANGES / 2 ? 0 : 1, i);
		g_string_append_printf(expected, "w%02d ", i);
		if (i == WATCHED_CHANGES / 2)
			proc_kill(&cluster->entries[1].daemon);
	}
	g_thread_join(first.thread);
	second.since_version = collect_committed_names(
	    first.response.body, first.since_version, names);
	g_assert_cmpint(second.since_version, >, first.since_version);
	start_watch(&second);
	put_rank(0, WATCHED_CHANGES);
	g_string_append_printf(expected, "w%02d ", WATCHED_CHANGES);
	proc_stop(&cluster->entries[0].daemon);
	g_thread_join(second.thread);
	g_assert_false(second.response.cut);
	collect_committed_names(
	    second.response.body, second.since_version, names);
	g_assert_cmpstr(names->str, ==, expected->str);
	response_clear(&first.response);
	response_clear(&second.response);
	g_string_free(names, TRUE);
	g_string_free(expected, TRUE);
}

static bool
entry_is_ready(void *ctx)
{
	struct response resp;
	bool yes;

	http_call(&resp, "GET", ctx, "/readyz", NULL, NULL);
	yes = resp.code == 200;
	response_clear(&resp);
	return yes;
}

/*
 * An entry that restored its state from a peer has no records of earlier
 * versions: it must refuse a watch that starts at one of them.
 */
static void
test_watch_gone(void)
{
	set_faults(cluster->log, "{\"down\":true}");
	proc_start(&cluster->entries[0].daemon);
	await_true(
	    entry_is_ready, (void *)entry_http(0), "ready without the log");
	assert_call(0, "GET", "/apis/v1/?watch=1", NULL, 410, "GONE", "");
	set_faults(cluster->log, "{\"down\":false}");
}

/* So few records that a starting entry restores a snapshot instead. */
#define SHORT_RETENTION "[log]\nkeep_records = 10\n"

int
main(int argc, char **argv)
{
	struct cluster_options opts = {
		.entry_settings = SHORT_RETENTION,
		.agent_settings = SHORT_RETENTION,
	};
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/api/pages", test_pages);
	g_test_add_func("/api/dry_run", test_dry_run);
	g_test_add_func("/api/references", test_references);
	g_test_add_func("/api/status", test_status);
	g_test_add_func("/api/races", test_races);
	g_test_add_func("/api/watch_across_kill", test_watch_across_kill);
	g_test_add_func("/api/watch_gone", test_watch_gone);
	rc = g_test_run();
	cluster_stop(cluster);
	return rc;
}
