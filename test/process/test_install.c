/*
 * make install must install all files below DESTDIR, with examples that pass
 * --check-config, units that have the right PREFIX, and a readable manual page.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include <glib.h>

#include "harness.h"

static char *install_root;

static int
run_command(const char *format, const char *a, const char *b, char **out)
{
	char *command = g_strdup_printf(format, a, b);
	int status = -1;

	g_assert_true(
	    g_spawn_command_line_sync(command, out, NULL, &status, NULL));
	g_free(command);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void
test_files(void)
{
	static const char *const files[] = { "bin/tamarackmast",
		"share/man/man8/tamarackmast.8",
		"share/doc/tamarackmast/examples/entry.ini",
		"share/doc/tamarackmast/examples/agent.ini",
		"share/doc/tamarackmast/examples/declarations.json",
		"share/bash-completion/completions/tamarackmast",
		"lib/systemd/system/tamarackmast-entry.service",
		"lib/systemd/system/tamarackmast-agent.service" };

	for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
		char *path =
		    g_build_filename(install_root, "usr", files[i], NULL);

		if (!g_file_test(path, G_FILE_TEST_IS_REGULAR))
			g_error("%s is missing", path);
		g_free(path);
	}
}

static void
test_examples(void)
{
	static const char *const roles[] = { "entry", "agent" };

	for (size_t i = 0; i < G_N_ELEMENTS(roles); i++) {
		char *command = g_strdup_printf("%%s/usr/bin/tamarackmast %s "
						"--check-config -c %%s/usr/"
						"share/doc/tamarackmast/"
						"examples/%s.ini",
		    roles[i], roles[i]);

		g_assert_cmpint(
		    run_command(command, install_root, install_root, NULL), ==,
		    0);
		g_free(command);
	}
}

static void
test_units(void)
{
	char *path = g_build_filename(install_root,
	    "usr/lib/systemd/system/tamarackmast-entry.service", NULL);
	char *text;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_assert_nonnull(strstr(text, "ExecStart=/usr/bin/tamarackmast entry"));
	g_free(path);
	g_free(text);
}

static void
test_manual(void)
{
	char *text = NULL;

	g_assert_cmpint(
	    run_command("man -l %s/usr/share/man/man8/tamarackmast.8%s",
		install_root, "", &text),
	    ==, 0);
	g_assert_nonnull(strstr(text, "check-config"));
	g_free(text);
}

int
main(int argc, char **argv)
{
	const char *build = getenv("TM_BUILD");
	int rc;

	g_test_init(&argc, &argv, NULL);
	install_root = g_dir_make_tmp("tm-install-XXXXXX", NULL);
	g_assert_cmpint(
	    run_command("make -s install PREFIX=/usr DESTDIR=%s BUILD=%s",
		install_root, build ? build : "build", NULL),
	    ==, 0);
	g_test_add_func("/install/files", test_files);
	g_test_add_func("/install/examples", test_examples);
	g_test_add_func("/install/units", test_units);
	g_test_add_func("/install/manual", test_manual);
	rc = g_test_run();
	run_command("rm -r %s%s", install_root, "", NULL);
	g_free(install_root);
	return rc;
}
