/*
 * Runs every block of commands in the operators' pages; each must succeed, so
 * that no page has commands or options that the program lacks.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sys/wait.h>

#include "harness.h"

#define PAGES_DIR "docs/operators"
#define CODE_FENCE "```"

/* Run in this order, after all other pages. */
static const char *const page_order[] = { "first-hour.md", "declaring.md",
	"watching.md", "sizing.md", "draining.md" };

static struct cluster *cluster;

static void
run_block(const char *page, const char *block)
{
	char *argv[] = { (char *)"bash", (char *)"-euo", (char *)"pipefail",
		(char *)"-c", (char *)block, NULL };
	char *out, *err;
	int status = -1;

	g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_SEARCH_PATH, NULL,
	    NULL, &out, &err, &status, NULL));
	if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
		g_error("%s: status %d of\n%s\n%s%s", page, WEXITSTATUS(status),
		    block, out, err);
	g_free(out);
	g_free(err);
}

/* Runs the blocks between "```sh" and "```" lines; returns their number. */
static int
run_page(const char *page)
{
	char *path = g_build_filename(PAGES_DIR, page, NULL), *text, **lines;
	GString *block = g_string_new(NULL);
	bool inside = false;
	int blocks = 0;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i] != NULL; i++) {
		char *line = lines[i];
		char *bare = line + strspn(line, " ");

		if (inside && g_str_has_prefix(bare, CODE_FENCE)) {
			run_block(page, block->str);
			g_string_truncate(block, 0);
			inside = false;
			blocks++;
		} else if (inside) {
			g_string_append_printf(block, "%s\n", line);
		} else if (strcmp(bare, CODE_FENCE "sh") == 0) {
			inside = true;
		}
	}
	g_assert_false(inside);
	g_string_free(block, TRUE);
	g_strfreev(lines);
	g_free(text);
	g_free(path);
	return blocks;
}

static bool
is_ordered(const char *page)
{
	for (size_t i = 0; i < G_N_ELEMENTS(page_order); i++) {
		if (strcmp(page_order[i], page) == 0)
			return true;
	}
	return false;
}

static bool
slots_are_decided(void *ctx)
{
	struct response resp;
	bool yes;

	http_call(&resp, "GET", cluster->entries[0].http, "/apis/v1/status",
	    NULL, NULL);
	yes = resp.body != NULL &&
	      strstr(resp.body, "\"rule-helper\"") != NULL &&
	      strstr(resp.body, "\"runner\"") != NULL;
	response_clear(&resp);
	return yes;
}

static void
test_pages(void)
{
	GDir *dir = g_dir_open(PAGES_DIR, 0, NULL);
	const char *page;

	g_assert_nonnull(dir);
	while ((page = g_dir_read_name(dir)) != NULL) {
		if (g_str_has_suffix(page, ".md") && !is_ordered(page))
			run_page(page);
	}
	g_dir_close(dir);
	for (size_t i = 0; i < G_N_ELEMENTS(page_order); i++)
		g_assert_cmpint(run_page(page_order[i]), >, 0);
}

int
main(int argc, char **argv)
{
	struct cluster_options opts = { 0 };
	const char *build = getenv("TM_BUILD");
	char *here = g_get_current_dir(), *path;
	int rc;

	g_test_init(&argc, &argv, NULL);
	path = g_strdup_printf(
	    "%s/%s:%s", here, build ? build : "build", getenv("PATH"));
	setenv("PATH", path, 1);
	g_assert_true(g_file_get_contents("examples/declarations.json",
	    (char **)&opts.declarations, NULL, NULL));
	cluster = cluster_start(&opts);
	await_true(slots_are_decided, NULL, "slots are decided");
	setenv("ENTRY", cluster->entries[0].http, 1);
	setenv("VM", cluster->engines[1].vm, 1);
	g_test_add_func("/docs/pages", test_pages);
	rc = g_test_run();
	cluster_stop(cluster);
	g_free((char *)opts.declarations);
	g_free(path);
	g_free(here);
	return rc;
}
