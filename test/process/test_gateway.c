/* Gateways and sidecars on the platform's wire, against stand-ins of it. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "common/addr.h"
#include "harness_fleet.h"

/* ---- tests ---- */

static void
test_serves(void)
{
	struct answer a;
	int r;

	fleet_start();
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		r = fleet_request(&a, i, "/stream/1", "m1");
		g_assert_true(fleet_whole_stream(&a, r));
		answer_clear(&a);
		r = fleet_request(&a, i, "/book/1?x=1", NULL);
		g_assert_cmpint(a.code, ==, 200);
		answer_clear(&a);
		r = fleet_request(&a, i, "/nowhere/", NULL);
		g_assert_cmpint(a.code, ==, 404);
		answer_clear(&a);
	}
	fleet_stop();
}

/* m2 lies on the disk of one replica, m3 only in the weight store. */
static void
test_cold_models(void)
{
	struct answer a;
	int r;

	fleet_start();
	r = fleet_request(&a, 0, "/stream/1", "m2");
	g_assert_true(fleet_whole_stream(&a, r));
	answer_clear(&a);
	g_assert_cmpint(journal_int(fleet.engines[1].address, "loads"), ==, 1);
	/* Both gateways ask at once: one load. */
	r = fleet_request(&a, 1, "/stream/1", "m3");
	g_assert_true(fleet_whole_stream(&a, r));
	answer_clear(&a);
	g_assert_cmpint(
	    fleet_journal(fleet.engines, FLEET_ENGINES, "loads"), ==, 2);
	fleet_stop();
}

/* A replica breaks off midway: another goes on within the same answer. */
#define REFILL 10 /* requests that earn a gateway two sendings again */

/* Whole streams through both gateways; returns how many. */
static int
stream_whole(int each)
{
	for (int n = 0; n < each * FLEET_GATEWAYS; n++) {
		struct answer a;
		int r =
		    fleet_request(&a, n % FLEET_GATEWAYS, "/stream/1", "m1");

		g_assert_true(fleet_whole_stream(&a, r));
		answer_clear(&a);
	}
	return each * FLEET_GATEWAYS;
}

static void
test_resumes_stream(void)
{
	int requests = 0;

	fleet_start();
	/* One replica of the two breaks off, then the other: whichever the
	 * gateways prefer meets a stream. */
	for (int i = 0; i < FLEET_ENGINES; i++) {
		requests += stream_whole(REFILL);
		fault(fleet.engines[i].address, "{\"cut_after\": 3}");
		requests += stream_whole(2);
		fault(fleet.engines[i].address, "{\"cut_after\": 0}");
	}
	g_assert_cmpint(
	    fleet_journal(fleet.engines, FLEET_ENGINES, "runs"), >, requests);
	fleet_stop();
}

/* What runs at most once is not sent again unless it is known not to have run.
 */
static void
test_runs_once(void)
{
	struct answer a;

	fleet_start();
	fleet_fault_all(
	    fleet.services, FLEET_SERVICES, "{\"break_off\": true}");
	(void)fleet_request(&a, 0, "/book/1", NULL);
	g_assert_cmpint(a.code, ==, 502);
	answer_clear(&a);
	g_assert_cmpint(
	    fleet_journal(fleet.services, FLEET_SERVICES, "runs"), ==, 1);
	fleet_fault_all(fleet.services, FLEET_SERVICES,
	    "{\"break_off\": false, \"hang\": true}");
	(void)fleet_request(&a, 1, "/book/1", NULL);
	g_assert_cmpint(a.code, ==, 504); /* at the route's time-out */
	g_assert_cmpfloat(a.seconds, <, 3);
	answer_clear(&a);
	g_assert_cmpint(
	    fleet_journal(fleet.services, FLEET_SERVICES, "runs"), ==, 2);
	/* The way from its id to the cause, as docs/OPERATIONS.md has it. */
	g_assert_true(proc_logged(&fleet.gateways[0], "answer lost"));
	g_assert_true(proc_logged(&fleet.gateways[1], "deadline passed"));
	fleet_stop();
}

/* A refusal that says "not run" goes elsewhere; if all refuse, so is told. */
static void
test_refusals(void)
{
	struct answer a;

	fleet_start();
	fault(fleet.services[0].address, "{\"shed\": 1}");
	fault(fleet.services[1].address, "{\"shed\": 1}");
	(void)fleet_request(&a, 0, "/book/1", NULL);
	g_assert_cmpint(a.code, ==, 429);
	answer_clear(&a);
	g_assert_cmpint(
	    fleet_journal(fleet.services, FLEET_SERVICES, "runs"), ==, 0);
	(void)fleet_request(&a, 0, "/book/1", NULL);
	g_assert_cmpint(a.code, ==, 200);
	answer_clear(&a);
	fleet_stop();
}

/* A silent replica is left where the request may run again. */
static void
test_leaves_silent_replica(void)
{
	struct answer a;

	fleet_start();
	fault(fleet.services[0].address, "{\"hang\": true}");
	for (int i = 0; i < 4; i++) {
		(void)fleet_request(&a, 0, "/look/1", NULL);
		g_assert_cmpint(a.code, ==, 200);
		g_assert_cmpfloat(a.seconds, <, 2);
		answer_clear(&a);
	}
	fleet_stop();
}

static bool
serves_new_route(void *ctx)
{
	struct answer a;
	bool ok;

	(void)fleet_request(&a, *(int *)ctx, "/new/1", NULL);
	ok = a.code == 200;
	answer_clear(&a);
	return ok;
}

static bool
refuses_drained(void *ctx)
{
	int64_t before = journal_int(fleet.services[0].address, "runs");
	struct answer a;

	(void)fleet_request(&a, 0, "/look/1", NULL);
	answer_clear(&a);
	return journal_int(fleet.services[0].address, "runs") == before;
}

static void
test_configuration_and_drain(void)
{
	int64_t start = now_ms();

	fleet_start();
	fleet_configure(
	    ",{\"name\":\"new\",\"host\":\"h.example\",\"path_prefix\":"
	    "\"/new/\",\"kind\":\"safe\",\"service\":\"app\"}");
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		await_true(serves_new_route, &i, "new route served");
	g_assert_cmpint(now_ms() - start, <, HARNESS_LIMIT_MS);
	/* Entries of another kind change nothing. */
	fleet_write_key("keyed.servers", "i-torn", "{\"service\":");
	fleet_write_key("keyed.op", "config", "{\"version\":1}");
	fleet_list_replica(&fleet.services[0], "app", "draining", 1000);
	await_true(refuses_drained, NULL, "drained replica gets no work");
	for (int i = 0; i < 4; i++)
		g_assert_true(refuses_drained(NULL));
	g_assert_true(serves_new_route(&(int){ 0 }));
	fleet_stop();
}

/* The store stands still: what is known serves on. */
static void
test_without_store(void)
{
	struct answer a;
	int r;

	fleet_start();
	proc_signal(&fleet.store_proc, SIGSTOP);
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		r = fleet_request(&a, i, "/stream/1", "m1");
		g_assert_true(fleet_whole_stream(&a, r));
		answer_clear(&a);
		r = fleet_request(&a, i, "/stream/1", "m2"); /* loads as well */
		g_assert_true(fleet_whole_stream(&a, r));
		answer_clear(&a);
		g_assert_true(fleet_gateway_ready(fleet.ready[i]));
	}
	proc_signal(&fleet.store_proc, SIGCONT);
	fleet_stop();
}

/* A gateway that starts meanwhile asks another for all that it needs. */
static void
test_starts_without_store(void)
{
	struct answer a;
	int r;

	fleet_start();
	proc_stop(&fleet.gateways[1]);
	proc_clear(&fleet.gateways[1]);
	proc_signal(&fleet.store_proc, SIGSTOP);
	fleet_start_gateway(1);
	await_true(fleet_gateway_ready, fleet.ready[1], "ready out of a peer");
	r = fleet_request(&a, 1, "/stream/1", "m1");
	g_assert_true(fleet_whole_stream(&a, r));
	answer_clear(&a);
	r = fleet_request(&a, 1, "/book/1", NULL);
	g_assert_cmpint(a.code, ==, 200);
	answer_clear(&a);
	proc_signal(&fleet.store_proc, SIGCONT);
	fleet_stop();
}

static void *
stream_once(void *answer)
{
	return GINT_TO_POINTER(fleet_request(answer, 0, "/stream/1", "m1"));
}

static bool
takes_connections(void *front)
{
	struct answer a;
	bool takes;

	http_call(&a, "GET", front, "/", NULL, NULL);
	takes = a.code != 0;
	answer_clear(&a);
	return takes;
}

/* All daemons end while the store is away: requests wait for its return. */
static void
test_waits_for_deployment(void)
{
	struct answer a = { 0 }, refused = { 0 };
	GThread *thread;
	int r;

	fleet_start();
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		proc_stop(&fleet.gateways[i]);
		proc_clear(&fleet.gateways[i]);
	}
	proc_signal(&fleet.store_proc, SIGSTOP);
	fleet_start_gateway(0);
	await_true(takes_connections, fleet.front[0], "listening");
	/* Not for ever: it is told when to come back. */
	fleet_request(&refused, 0, "/stream/1", "m1");
	g_assert_cmpint(refused.code, ==, 503);
	answer_clear(&refused);
	thread = g_thread_new("caller", stream_once, &a);
	sleep_ms(200);
	g_assert_false(fleet_gateway_ready(fleet.ready[0]));
	proc_signal(&fleet.store_proc, SIGCONT);
	r = GPOINTER_TO_INT(g_thread_join(thread));
	g_assert_true(fleet_whole_stream(&a, r));
	answer_clear(&a);
	fleet_stop();
}

static bool
not_ready(void *ready)
{
	return !fleet_gateway_ready(ready);
}

/* SIGTERM: not ready at once, the stream under way ends whole, exit 0. */
static void
test_graceful_stop(void)
{
	struct answer a = { 0 };
	GThread *thread;
	int r;

	fleet_start();
	thread = g_thread_new("caller", stream_once, &a);
	while (fleet_journal(fleet.engines, FLEET_ENGINES, "runs") == 0)
		sleep_ms(5);
	proc_signal(&fleet.gateways[0], SIGTERM);
	await_true(not_ready, fleet.ready[0], "not ready");
	r = GPOINTER_TO_INT(g_thread_join(thread));
	g_assert_true(fleet_whole_stream(&a, r));
	answer_clear(&a);
	g_assert_cmpint(proc_wait(&fleet.gateways[0]), ==, 0);
	fleet_stop();
}

static int
connect_front(int gateway)
{
	struct addr addr;
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(addr_parse(&addr, fleet.front[gateway]), ==, 0);
	inet_pton(AF_INET, addr.host, &sin.sin_addr);
	sin.sin_port = htons(addr.port);
	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
	return fd;
}

/* Milliseconds until the gateway closes the connection. */
static int64_t
until_closed(int fd)
{
	int64_t start = now_ms();
	char buf[4096];

	while (recv(fd, buf, sizeof(buf), 0) > 0)
		;
	close(fd);
	return now_ms() - start;
}

/*
 * The limits of the configuration: a whole request within both time-outs, of
 * the start or of the last answer; no answer under way is cut off.
 */
static void
test_idle_callers(void)
{
	static const char whole[] = "GET /look/1 HTTP/1.1\r\n"
				    "Host: h.example\r\n"
				    "Tamarackmast-Request-Id: idle1\r\n\r\n";
	const int64_t both_ms = 600;
	int open[2], kept, half;
	struct answer a;
	int r;

	fleet_start();
	open[0] = connect_front(0);
	open[1] = connect_front(0);
	fleet.limits = ",\"header_timeout_ms\":200,\"idle_timeout_ms\":400";
	fleet_configure(
	    ",{\"name\":\"new\",\"host\":\"h.example\",\"path_prefix\":"
	    "\"/new/\",\"kind\":\"safe\",\"service\":\"app\"}");
	await_true(serves_new_route, &(int){ 0 }, "new limits in force");
	/* Connections from before keep to them as well. */
	for (int i = 0; i < 2; i++)
		g_assert_cmpint(until_closed(open[i]), <, HARNESS_LIMIT_MS);
	kept = connect_front(0);
	half = connect_front(0);
	g_assert_cmpint((int)send(kept, whole, sizeof(whole) - 1, 0), >, 0);
	g_assert_cmpint((int)send(half, whole, 20, 0), >, 0);
	g_assert_cmpint(until_closed(kept), >=, both_ms);
	g_assert_cmpint(until_closed(half), <, HARNESS_LIMIT_MS);
	/* This one waits for a load that takes a second. */
	r = fleet_request(&a, 0, "/stream/1", "m3");
	g_assert_true(fleet_whole_stream(&a, r));
	answer_clear(&a);
	fleet_stop();
}

/* A second request that hides in the body of a first one. */
static void
test_smuggling(void)
{
	static const char *const bad[] = {
		"POST /look/1 HTTP/1.1\r\nHost: h.example\r\n"
		"Tamarackmast-Request-Id: x1\r\nContent-Length: 4\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		"GET /book/1 HTTP/1.1\r\nHost: h.example\r\n"
		"Tamarackmast-Request-Id: x2\r\n\r\n",
		"POST /look/1 HTTP/1.1\r\nHost: h.example\r\n"
		"Tamarackmast-Request-Id: x3\r\n"
		"Transfer-Encoding: xchunked\r\n\r\n"
		"GET /book/1 HTTP/1.1\r\nHost: h.example\r\n"
		"Tamarackmast-Request-Id: x4\r\n\r\n",
		"POST /look/1 HTTP/1.1\r\nHost: h.example\r\n"
		"Tamarackmast-Request-Id: x5\r\nContent-Length: 0\r\n"
		"Content-Length: 60\r\n\r\n"
		"GET /book/1 HTTP/1.1\r\nHost: h.example\r\n"
		"Tamarackmast-Request-Id: x6\r\n\r\n",
	};
	char buf[256];

	fleet_start();
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		int fd = connect_front(0);
		ssize_t n;

		g_assert_cmpint((int)send(fd, bad[i], strlen(bad[i]), 0), >, 0);
		n = recv(fd, buf, sizeof(buf) - 1, 0);
		g_assert_cmpint((int)n, >, 12);
		buf[n] = '\0';
		g_assert_nonnull(strstr(buf, " 400 "));
		while (recv(fd, buf, sizeof(buf), 0) > 0)
			;
		close(fd);
	}
	g_assert_cmpint(
	    fleet_journal(fleet.services, FLEET_SERVICES, "runs"), ==, 0);
	fleet_stop();
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway/serves", test_serves);
	g_test_add_func("/gateway/cold_models", test_cold_models);
	g_test_add_func("/gateway/resumes", test_resumes_stream);
	g_test_add_func("/gateway/runs_once", test_runs_once);
	g_test_add_func("/gateway/refusals", test_refusals);
	g_test_add_func("/gateway/silent_replica", test_leaves_silent_replica);
	g_test_add_func("/gateway/configuration", test_configuration_and_drain);
	g_test_add_func("/gateway/without_store", test_without_store);
	g_test_add_func(
	    "/gateway/starts_without_store", test_starts_without_store);
	g_test_add_func(
	    "/gateway/waits_for_deployment", test_waits_for_deployment);
	g_test_add_func("/gateway/graceful_stop", test_graceful_stop);
	g_test_add_func("/gateway/idle_callers", test_idle_callers);
	g_test_add_func("/gateway/smuggling", test_smuggling);
	return g_test_run();
}
