/*
 * Limits of an entry against callers that hold many connections, send headers
 * slowly or send too much, and a reload of the settings by SIGHUP.  The entry
 * must go on serving others, and a file with errors must change nothing.
 */
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>

#include "harness.h"

#define IDLE_CALLERS 1000
#define MAX_CONNECTIONS 1050
#define EXTRA_CALLERS 8
#define ENTRY_SETTINGS                                                         \
	"[http]\nmax_connections = 1050\nmax_headers = 4096\n"                 \
	"max_body = 65536\nfirst_request_ms = 15000\n"

static struct cluster *cluster;
static const char *const json_headers[] = { "Content-Type: application/json",
	NULL };

static int
connect_to(const char *address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char **parts = g_strsplit(address, ":", 2);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, parts[0], &sin.sin_addr);
	sin.sin_port = htons((uint16_t)atoi(parts[1]));
	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
	g_strfreev(parts);
	return fd;
}

/* Reads until the peer closes the connection. */
static char *
read_all(int fd)
{
	GString *text = g_string_new(NULL);
	struct timeval tv = { HARNESS_TIMEOUT_MS / 1000, 0 };
	char buf[4096];
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(text, buf, n);
	g_assert_false(n == -1 && errno == EAGAIN);
	return g_string_free(text, FALSE);
}

static void
assert_serves(void)
{
	struct response resp;

	http_call(&resp, "POST", cluster->entries[0].http, "/v1/completions",
	    json_headers,
	    "{\"model\":\"alpha\",\"prompt\":\"hello\",\"max_tokens\":2}");
	g_assert_cmpint(resp.code, ==, 200);
	response_clear(&resp);
}

static bool
connections_at_least(void *ctx)
{
	return read_metric(cluster->entries[0].http, "http_connections") >=
	       *(const int *)ctx;
}

static bool
connections_at_most(void *ctx)
{
	return read_metric(cluster->entries[0].http, "http_connections") <=
	       *(const int *)ctx;
}

static int callers[MAX_CONNECTIONS + EXTRA_CALLERS];

/* Reads the refusals that have come so far, which are closed behind them. */
static unsigned
count_refused(void)
{
	unsigned count = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		char byte, *text;

		if (callers[i] == -1 ||
		    recv(callers[i], &byte, 1, MSG_PEEK | MSG_DONTWAIT) == -1)
			continue;
		text = read_all(callers[i]);
		g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503 "));
		g_assert_nonnull(strstr(text, "TOO_MANY_CONNECTIONS"));
		g_assert_nonnull(strstr(text, "not_run"));
		g_free(text);
		close(callers[i]);
		callers[i] = -1;
		count++;
	}
	return count;
}

/*
 * Which callers are refused is open: one that has just left counts until the
 * entry reads the end of its connection.
 */
static bool
extra_callers_are_refused(void *refused)
{
	*(unsigned *)refused += count_refused();
	return *(unsigned *)refused >= EXTRA_CALLERS;
}

static void
test_idle_callers(void)
{
	const char *http = cluster->entries[0].http;
	int expected = IDLE_CALLERS, few = 20;
	unsigned refused = 0;

	for (int i = 0; i < IDLE_CALLERS; i++)
		callers[i] = connect_to(http);
	await_true(connections_at_least, &expected, "idle callers counted");
	assert_serves();

	for (size_t i = IDLE_CALLERS; i < G_N_ELEMENTS(callers); i++)
		callers[i] = connect_to(http);
	await_true(extra_callers_are_refused, &refused, "refusals");

	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		if (callers[i] != -1)
			close(callers[i]);
	}
	await_true(connections_at_most, &few, "closed connections uncounted");
	g_assert_cmpint(read_metric(http, "http_refused_connections_total"), >=,
	    EXTRA_CALLERS);
	assert_serves();
}

static void
test_large_headers(void)
{
	const char *http = cluster->entries[0].http;
	char *long_text = g_strnfill(5000, 'x');
	char *header = g_strconcat("X-Long: ", long_text, NULL);
	const char *const headers[] = { header, NULL };
	struct response resp;

	http_call(&resp, "GET", http, "/v1/models", headers, NULL);
	g_assert_cmpint(resp.code, ==, 431);
	g_assert_cmpstr(
	    response_text(&resp, "result"), ==, "HEADERS_TOO_LARGE");
	g_assert_cmpint(
	    read_metric(http, "http_refused_requests_total{limit=\"headers\"}"),
	    ==, 1);
	g_free(header);
	g_free(long_text);
	response_clear(&resp);
}

static void
test_large_body(void)
{
	const char *http = cluster->entries[0].http;
	char *body = g_strnfill(100000, ' ');
	struct response resp;

	http_call(&resp, "POST", http, "/v1/completions", json_headers, body);
	g_assert_cmpint(resp.code, ==, 413);
	g_assert_cmpstr(response_text(&resp, "result"), ==, "TOO_LARGE");
	g_assert_cmpint(
	    read_metric(http, "http_refused_requests_total{limit=\"body\"}"),
	    ==, 1);
	g_free(body);
	response_clear(&resp);
}

/* ---- settings ---- */

static void
replace_setting(const char *from, const char *to)
{
	const char *path = cluster->entries[1].ini;
	char *text, **parts;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	parts = g_strsplit(text, from, 2);
	g_assert_nonnull(parts[1]);
	g_free(text);
	text = g_strjoinv(to, parts);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_strfreev(parts);
	g_free(text);
}

static bool
entry_has_logged(void *text)
{
	return proc_log_contains(&cluster->entries[1].daemon, text);
}

static void
test_reload(void)
{
	struct proc *daemon = &cluster->entries[1].daemon;

	replace_setting("first_request_ms = 15000",
	    "first_request_ms = 500\n[request]\nmax_attempts = 2");
	proc_signal(daemon, SIGHUP);
	await_true(entry_has_logged, (void *)"\"after_restart\":1", "reload");
	g_assert_true(entry_has_logged((void *)"\"option\":\"max_attempts\""));
	g_assert_true(
	    entry_has_logged((void *)"setting changes at the next restart"));

	replace_setting("max_attempts = 2", "max_attempts = 99");
	proc_signal(daemon, SIGHUP);
	await_true(
	    entry_has_logged, (void *)"settings not reloaded", "bad file");
	g_assert_true(
	    entry_has_logged((void *)"max_attempts = 99: allowed is 1 to 8"));

	replace_setting("max_attempts = 99", "max_attempts = 2");
	proc_signal(daemon, SIGHUP);
	await_true(
	    entry_has_logged, (void *)"\"applied\":0", "nothing changed");
}

static bool
entry_serves_http(void *ctx)
{
	struct member *entry = ctx;

	return read_metric(entry->http, "http_connections") > 0;
}

/* Runs last: the entry restarts with the first_request_ms of test_reload(). */
static void
test_slow_headers(void)
{
	static const char part[] = "POST /v1/completions HTTP/1.1\r\nHost";
	struct member *entry = &cluster->entries[1];
	char *text;
	int fd;

	proc_stop(&entry->daemon);
	proc_start(&entry->daemon);
	await_true(entry_has_logged, (void *)"\"started\"", "entry is back");
	await_true(entry_serves_http, entry, "entry answers");
	fd = connect_to(entry->http);
	g_assert_cmpint(send(fd, part, strlen(part), 0), >, 0);
	text = read_all(fd);
	g_assert_cmpint(
	    read_metric(entry->http, "http_slow_connections_total"), ==, 1);
	g_free(text);
	close(fd);
}

int
main(int argc, char **argv)
{
	struct cluster_options opts = {
		.engines = 1,
		.entry_settings = ENTRY_SETTINGS,
	};
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/http/idle_callers", test_idle_callers);
	g_test_add_func("/http/large_headers", test_large_headers);
	g_test_add_func("/http/large_body", test_large_body);
	g_test_add_func("/http/reload", test_reload);
	g_test_add_func("/http/slow_headers", test_slow_headers);
	rc = g_test_run();
	cluster_stop(cluster);
	return rc;
}
