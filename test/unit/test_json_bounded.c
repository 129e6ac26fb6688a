/* Guards against a small text of many values, which takes much memory. */
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/json_bounded.h"

static void
test_many_values(void)
{
	static const struct {
		const char *text;
		size_t values;
	} cases[] = {
		{ "[]", 2 },
		{ "[1,2,3]", 4 },
		{ "{\"a\":[{},{}]}", 7 },
		{ "[\"a,b\"]", 3 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t len = strlen(cases[i].text);
		json_t *doc =
		    json_load_bounded(cases[i].text, len, cases[i].values);

		g_assert_nonnull(doc);
		json_decref(doc);
		g_assert_null(
		    json_load_bounded(cases[i].text, len, cases[i].values - 1));
	}
	g_assert_null(json_load_bounded("{", 1, 9));
	g_assert_null(json_load_bounded("", 0, 9));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/json_bounded/many_values", test_many_values);
	return g_test_run();
}
