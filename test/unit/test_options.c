/*
 * Loads and reloads a settings file.
 *
 * Guards against a wrong setting that is accepted or reported without its line
 * and allowed values, and a reload that changes settings that need a restart.
 */
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/options.h"

struct settings {
	char *name;
	char *address;
	int64_t count;
	bool flag;
};

static const struct option_desc table[] = {
	{ "one", "name", OPT_STRING, offsetof(struct settings, name), 0, 0,
	    NULL, NULL, "a name", false },
	{ "one", "address", OPT_ADDR, offsetof(struct settings, address), 0, 0,
	    "", NULL, "an address", false },
	{ "two", "count", OPT_INT, offsetof(struct settings, count), 1, 10, "3",
	    "ms", "a count", true },
	{ "two", "flag", OPT_BOOL, offsetof(struct settings, flag), 0, 0,
	    "false", NULL, "a flag", false },
	OPTION_END,
};

static int
load_text(const char *text, struct settings *s, struct options_error *err)
{
	char *path = NULL;
	int fd = g_file_open_tmp("options-XXXXXX", &path, NULL);
	int rc;

	g_assert_cmpint(write(fd, text, strlen(text)), ==, strlen(text));
	close(fd);
	memset(s, 0, sizeof(*s));
	rc = options_load(table, path, s, err);
	unlink(path);
	g_free(path);
	return rc;
}

static void
test_good(void)
{
	struct options_error err;
	struct settings s;

	g_assert_cmpint(
	    load_text("[one]\nname = x\n[two]\nflag = true\n", &s, &err), ==,
	    0);
	g_assert_cmpstr(s.name, ==, "x");
	g_assert_cmpint(s.count, ==, 3);
	g_assert_true(s.flag);
	options_free(table, &s);
}

static void
test_bad(void)
{
	static const struct {
		const char *text;
		const char *message;
	} cases[] = {
		{ "[one]\nname = x\n[two]\ncount = 11\n",
		    ":4: [two] count = 11: allowed is 1 to 10 ms" },
		{ "[one]\nname = x\nnone = 1\n",
		    ":3: [one] none: no such option" },
		{ "[one]\naddress = host:1\n", "allowed is IP:PORT" },
		{ "[two]\ncount = 2\n", "[one] name must be given" },
		{ "[one]\nname = x\nnonsense\n",
		    ":3: not a section, option or comment" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct options_error err;
		struct settings s;

		g_assert_cmpint(load_text(cases[i].text, &s, &err), ==, -1);
		g_assert_nonnull(strstr(err.text, cases[i].message));
		options_free(table, &s);
	}
}

static void
record_change(void *ctx, const struct option_desc *o, bool applied)
{
	g_string_append_printf(
	    ctx, "%s=%s ", o->name, applied ? "applied" : "restart");
}

static void
test_reload(void)
{
	GString *changes = g_string_new(NULL);
	struct options_error err;
	struct settings a, b;

	load_text("[one]\nname = x\n", &a, &err);
	load_text("[one]\nname = y\n[two]\ncount = 9\n", &b, &err);
	options_reload(table, &a, &b, record_change, changes);
	g_assert_cmpstr(changes->str, ==, "name=restart count=applied ");
	g_assert_cmpstr(a.name, ==, "x");
	g_assert_cmpint(a.count, ==, 9);
	options_free(table, &a);
	options_free(table, &b);
	g_string_free(changes, TRUE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/options/good", test_good);
	g_test_add_func("/options/bad", test_bad);
	g_test_add_func("/options/reload", test_reload);
	return g_test_run();
}
