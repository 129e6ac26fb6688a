/*
 * Log levels by area, their validation, and the limit on repeated messages.
 *
 * Guards against a bad level that changes the active ones, and a repeated
 * message that crowds out others.
 */
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "common/clock.h"
#include "common/log.h"

static void
test_levels(void)
{
	struct clock *clock = clock_create_real();
	struct logger_options opts = { .clock = clock, .process = "vm-1" };
	struct logger *root, *rpc;
	char buf[4096] = { 0 };
	int fds[2];

	g_assert_cmpint(pipe(fds), ==, 0);
	opts.fd = fds[1];
	root = logger_create(&opts);
	rpc = logger_child(root, "rpc");
	g_assert_cmpint(logger_set_levels(root, "warn,rpc=debug"), ==, 0);
	log_info(root, "hidden");
	log_debug(rpc, "shown", LF_S("peer", "a\"b\n"));
	g_assert_cmpint(logger_set_levels(root, "info,rpc"), ==, -1);
	log_info(root, "hidden as before");
	close(fds[1]);
	g_assert_cmpint(read(fds[0], buf, sizeof(buf) - 1), >, 0);
	g_assert_null(strstr(buf, "hidden"));
	g_assert_nonnull(strstr(buf, "\"area\":\"rpc\",\"msg\":\"shown\""));
	g_assert_nonnull(strstr(buf, "a\\\"b\\n"));
	close(fds[0]);
	logger_destroy(rpc);
	logger_destroy(root);
	clock_destroy(clock);
}

static void
test_bad_levels(void)
{
	static const char *const bad[] = { "", "loud", "info,rpc", "info,=warn",
		"rpc=info", "info,rpc=loud", "info,info" };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(log_levels_valid(bad[i]));
	g_assert_true(log_levels_valid("error"));
	g_assert_true(log_levels_valid("info,a=warn,b=debug"));
}

static unsigned
occurrences(const char *text, const char *what)
{
	unsigned n = 0;

	while ((text = strstr(text, what)) != NULL) {
		text += strlen(what);
		n++;
	}
	return n;
}

/*
 * Repeats of a message beyond LOG_RATE_PER_MESSAGE are counted instead of
 * logged; other messages, and the same one at another level, are logged.
 */
static void
test_rate_limits(void)
{
	struct clock *clock = clock_create_manual(1000000);
	struct logger_options opts = {
		.clock = clock, .process = "vm-1", .level = LOG_LEVEL_INFO
	};
	char buf[65536] = { 0 };
	struct logger *lg;
	int fds[2];

	g_assert_cmpint(pipe(fds), ==, 0);
	opts.fd = fds[1];
	lg = logger_create(&opts);
	for (int i = 0; i < LOG_RATE_PER_MESSAGE + 7; i++)
		log_info(lg, "often");
	log_info(lg, "rare");
	log_error(lg, "often");
	clock_advance(clock, 1000000);
	log_info(lg, "often");
	close(fds[1]);
	g_assert_cmpint(read(fds[0], buf, sizeof(buf) - 1), >, 0);
	g_assert_cmpuint(occurrences(buf, "\"msg\":\"often\""), ==,
	    LOG_RATE_PER_MESSAGE + 2);
	g_assert_cmpuint(occurrences(buf, "\"msg\":\"rare\""), ==, 1);
	g_assert_cmpuint(
	    occurrences(buf, "\"msg\":\"lines suppressed\",\"of\":\"often\","
			     "\"at\":\"info\",\"count\":7"),
	    ==, 1);
	close(fds[0]);
	logger_destroy(lg);
	clock_destroy(clock);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log/levels", test_levels);
	g_test_add_func("/log/bad_levels", test_bad_levels);
	g_test_add_func("/log/budgets", test_rate_limits);
	return g_test_run();
}
