/*
 * ctl against a deployment: its output and exit status.  If an entry fails, ctl
 * must go on at the next one, and a watch must neither lose nor repeat a change
 * when its entry is killed.  Every metric of a daemon must be documented.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "harness.h"

#define CLOSED_ADDRESS "127.0.0.1:1"

static struct cluster *cluster;
static char *folder;

struct output {
	int status;
	char *out;
	char *err;
};

/* Runs ctl with arguments that are separated by spaces. */
static void
run_ctl(struct output *o, const char *entries, const char *words)
{
	const char *build = getenv("TM_BUILD");
	char *line = g_strdup_printf("%s/tamarackmast ctl -e %s %s",
	    build ? build : "build", entries, words);
	int status = 0;

	g_assert_true(
	    g_spawn_command_line_sync(line, &o->out, &o->err, &status, NULL));
	g_assert_true(WIFEXITED(status));
	o->status = WEXITSTATUS(status);
	g_free(line);
}

static void
output_clear(struct output *o)
{
	g_free(o->out);
	g_free(o->err);
}

static void
assert_ctl(const char *entries, const char *words, int status, const char *out,
    const char *err)
{
	struct output o;

	run_ctl(&o, entries, words);
	if (o.status != status || strstr(o.out, out) == NULL ||
	    strstr(o.err, err) == NULL)
		g_error(
		    "ctl %s: status %d\n%s%s", words, o.status, o.out, o.err);
	output_clear(&o);
}

static char *
write_file(const char *name, const char *text)
{
	char *path = g_build_filename(folder, name, NULL);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static const char *
first_entry(void)
{
	return cluster->entries[0].http;
}

static void
test_apply(void)
{
	char *model_file = write_file("a.json",
	    "{\"kind\":\"model\",\"name\":\"one\",\"spec\":"
	    "{\"memory_mib\":10}}\n{\"kind\":\"adapter\",\"name\":\"two\","
	    "\"spec\":{\"model\":\"one\",\"memory_mib\":1}}\n");
	char *rank_file = write_file("b.json",
	    "[{\"kind\":\"rank\",\"name\":\"three\",\"spec\":"
	    "{\"order\":5}}]");
	char *words = g_strdup_printf("diff -f %s", folder);
	char *apply = g_strdup_printf("apply -f %s", folder);
	char *dry = g_strdup_printf("--dry-run apply -f %s", folder);

	assert_ctl(first_entry(), words, 5, "+ {\"order\": 5}", "");
	assert_ctl(first_entry(), dry, 0, "model one: accepted (dry run)", "");
	assert_ctl(first_entry(), apply, 0, "accepted 3 declarations as", "");
	assert_ctl(first_entry(), apply, 0, "unchanged: 3 declarations", "");
	assert_ctl(first_entry(), words, 0, "", "");
	g_remove(model_file);
	g_remove(rank_file);
	g_free(model_file);
	g_free(rank_file);
	g_free(words);
	g_free(apply);
	g_free(dry);
}

static void
test_bad_documents(void)
{
	char *bad = write_file("bad.json",
	    "{\"kind\":\"model\",\"name\":\"fine\",\"spec\":"
	    "{\"memory_mib\":10}}\n{\"kind\":\"model\",\"name\":\"huge\","
	    "\"spec\":{\"memory_mib\":0}}");
	char *words = g_strdup_printf("apply -f %s", bad);

	assert_ctl(first_entry(), words, 3,
	    "model fine: not applied\nmodel huge: refused: model huge: "
	    "memory_mib: must be an integer from 1 to ",
	    "INVALID");
	assert_ctl(first_entry(), "get model fine", 3, "", "NOT_FOUND");
	g_free(write_file("bad.json",
	    "{\"kind\":\"rank\",\"name\":\"x\",\n\"spec\":{\"order\":"));
	assert_ctl(
	    first_entry(), words, 2, "", "bad.json: document 1, line 2:");
	assert_ctl(first_entry(), "apply -f /nowhere.json", 2, "",
	    "/nowhere.json: No such file");
	assert_ctl(first_entry(), "apply", 2, "", "-f FILE is required");
	g_remove(bad);
	g_free(bad);
	g_free(words);
}

static void
test_reading(void)
{
	assert_ctl(first_entry(), "list rank", 0, "urgent", "");
	assert_ctl(first_entry(), "get model alpha", 0, "in force at ", "");
	assert_ctl(first_entry(), "-j get model alpha", 0, "\"in_force\"", "");
	assert_ctl(first_entry(), "delete model alpha", 3, "", "IN_USE");
	assert_ctl(first_entry(), "delete model nothing", 3, "", "NOT_FOUND");
	assert_ctl(first_entry(), "status", 0, "MODEL ", "");
	assert_ctl(first_entry(), "-j status", 0, "\"models\"", "");
	assert_ctl(first_entry(), "explain 405", 0, "IN_USE", "");
	assert_ctl(first_entry(), "explain 9999", 2, "", "no result code");
	assert_ctl(first_entry(), "dance", 2, "", "no command dance");
}

static void
test_entries(void)
{
	char *entries = g_strdup_printf("%s,%s", CLOSED_ADDRESS, first_entry());

	assert_ctl(entries, "list model", 0, "alpha", "");
	assert_ctl(
	    CLOSED_ADDRESS, "list model", 4, "", "no answer from any entry");
	assert_ctl("nowhere", "list model", 2, "", "not IP:PORT");
	g_free(entries);
}

static void
test_trace_and_top(void)
{
	static const char *const headers[] = { "Rank: urgent",
		"Tenant: wool\"hut", NULL };
	struct response resp;
	char *words;

	http_call(&resp, "POST", first_entry(), "/v1/completions", headers,
	    "{\"model\":\"alpha\",\"prompt\":\"hello\",\"max_tokens\":2}");
	g_assert_cmpint(resp.code, ==, 200);
	words = g_strdup_printf("trace %s", response_text(&resp, "id"));
	response_clear(&resp);
	assert_ctl(
	    first_entry(), words, 0, "arrived for alpha, rank urgent", "");
	assert_ctl(first_entry(), words, 0, "admission: OK", "");
	assert_ctl(first_entry(), words, 0, "given to the engine, alpha", "");
	assert_ctl(first_entry(), words, 0, "ended: OK, answered", "");
	assert_ctl(first_entry(), "top", 0, "alpha ", "");
	assert_ctl(first_entry(), "-j top", 0, "wool\\\"hut", "");
	g_assert_cmpint(
	    read_metric(first_entry(), "tenant_request_seconds_count"
				       "{tenant=\"wool\\\"hut\"}"),
	    ==, 1);
	g_free(words);
}

/* ---- metrics ---- */

static void
assert_documented(const char *address)
{
	struct response resp;
	char **lines, *page;

	g_assert_true(
	    g_file_get_contents("docs/METRICS.md", &page, NULL, NULL));
	http_call(&resp, "GET", address, "/metrics", NULL, NULL);
	lines = g_strsplit(resp.body, "\n", -1);
	for (int i = 0; lines[i] != NULL; i++) {
		char **words = g_strsplit(lines[i], " ", -1);
		char *row;

		if (g_str_has_prefix(lines[i], "# TYPE ")) {
			row = g_strdup_printf(
			    "| `%s` | %s |", words[2], words[3]);
			if (strstr(page, row) == NULL)
				g_error("docs/METRICS.md lacks %s", row);
			g_free(row);
		}
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_free(page);
	response_clear(&resp);
}

static void
test_metrics(void)
{
	assert_documented(cluster->entries[0].http);
	assert_documented(cluster->engines[0].http);
	assert_documented(cluster->services[0].http);
}

/* ---- watch ---- */

static bool
has_watcher(void *ctx)
{
	return read_metric(ctx, "watchers") > 0;
}

struct watch_process {
	GPid pid;
	int out;
};

static void
watch_start(struct watch_process *w, const char *entries)
{
	const char *build = getenv("TM_BUILD");
	char *program =
	    g_build_filename(build ? build : "build", "tamarackmast", NULL);
	char *argv[] = { program, (char *)"ctl", (char *)"-e", (char *)entries,
		(char *)"watch", (char *)"rank", NULL };

	g_assert_true(g_spawn_async_with_pipes(NULL, argv, NULL,
	    G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &w->pid, NULL, &w->out, NULL,
	    NULL));
	g_free(program);
}

/* Reads until the output contains the text. */
static char *
watch_read_until(struct watch_process *w, const char *last)
{
	GString *text = g_string_new(NULL);
	char buf[1024];
	ssize_t n;

	while (strstr(text->str, last) == NULL) {
		n = read(w->out, buf, sizeof(buf));
		g_assert_cmpint(n, >, 0);
		g_string_append_len(text, buf, n);
	}
	return g_string_free(text, FALSE);
}

/* The watched entry is killed: ctl continues at the other one. */
static void
test_watch(void)
{
	char *entries = g_strdup_printf(
	    "%s,%s", cluster->entries[1].http, cluster->entries[0].http);
	struct watch_process w;
	char **lines, *text;
	int status;

	watch_start(&w, entries);
	await_true(has_watcher, cluster->entries[1].http, "watch started");
	for (int i = 0; i < 10; i++) {
		char *path = g_strdup_printf("/apis/v1/rank/seen%d", i);
		struct response resp;

		http_call(
		    &resp, "PUT", first_entry(), path, NULL, "{\"order\":3}");
		g_assert_cmpint(resp.code, ==, 200);
		if (i == 4)
			proc_kill(&cluster->entries[1].daemon);
		response_clear(&resp);
		g_free(path);
	}
	text = watch_read_until(&w, "seen9");
	lines = g_strsplit(g_strstrip(text), "\n", -1);
	g_assert_cmpuint(g_strv_length(lines), ==, 10);
	for (int i = 0; i < 10; i++) {
		char *expected = g_strdup_printf("seen%d ", i);

		g_assert_true(g_str_has_prefix(lines[i], "changed  rank "));
		g_assert_nonnull(strstr(lines[i], expected));
		g_free(expected);
	}
	kill(w.pid, SIGTERM);
	waitpid(w.pid, &status, 0);
	close(w.out);
	proc_start(&cluster->entries[1].daemon);
	g_strfreev(lines);
	g_free(text);
	g_free(entries);
}

static void
test_drain(void)
{
	char *words = g_strdup_printf("drain %s", cluster->engines[0].vm);

	assert_ctl(first_entry(), words, 0, "has left", "");
	g_assert_cmpint(proc_wait(&cluster->engines[0].daemon), ==, 0);
	assert_ctl(first_entry(), "drain nobody", 3, "", "NOT_FOUND");
	g_free(words);
}

int
main(int argc, char **argv)
{
	struct cluster_options opts = { 0 };
	int rc;

	g_test_init(&argc, &argv, NULL);
	folder = g_dir_make_tmp("tm-ctl-XXXXXX", NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/ctl/apply", test_apply);
	g_test_add_func("/ctl/bad_documents", test_bad_documents);
	g_test_add_func("/ctl/reading", test_reading);
	g_test_add_func("/ctl/entries", test_entries);
	g_test_add_func("/ctl/trace_and_top", test_trace_and_top);
	g_test_add_func("/ctl/metrics", test_metrics);
	g_test_add_func("/ctl/watch", test_watch);
	g_test_add_func("/ctl/drain", test_drain);
	rc = g_test_run();
	cluster_stop(cluster);
	g_rmdir(folder);
	g_free(folder);
	return rc;
}
