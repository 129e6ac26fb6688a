/* Gateways and sidecars on the platform's wire, against stand-ins of it. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <bsd/string.h>
#include <glib.h>

#include "common/addr.h"
#include "harness.h"

#define ENGINES 2
#define SERVICES 2
#define GATEWAYS 2
#define EVENTS 8

struct node {
	char id[HARNESS_TEXT];
	char address[HARNESS_TEXT];
	struct proc replica;
	struct proc sidecar;
};

static struct {
	char dir[128];
	char store[HARNESS_TEXT];
	int sidecar_port;
	struct proc store_proc;
	struct node engines[ENGINES];
	struct node services[SERVICES];
	struct proc gateways[GATEWAYS];
	char front[GATEWAYS][HARNESS_TEXT];
	char ready[GATEWAYS][HARNESS_TEXT];
	char peer[GATEWAYS][HARNESS_TEXT];
	int version;
	int requests;
} fleet;

/* ---- the operator and the replicas write to the store ---- */

static void
write_key(const char *topic, const char *key, const char *value)
{
	char *path = g_strdup_printf("/keys/%s/%s", topic, key);
	struct answer a;

	http_call(&a, value == NULL ? "DELETE" : "PUT", fleet.store, path, NULL,
	    value);
	g_assert_cmpint(a.code, ==, 200);
	answer_clear(&a);
	g_free(path);
}

static const char routes[] =
    "{\"name\":\"stream\",\"host\":\"h.example\",\"path_prefix\":\"/stream/\","
    "\"kind\":\"streaming\",\"timeout_ms\":10000,\"latency_goal_ms\":2000,"
    "\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,"
    "\"resumable\":true,\"gap_aim_ms\":600},"
    "{\"name\":\"book\",\"host\":\"h.example\",\"path_prefix\":\"/book/\","
    "\"kind\":\"unsafe\",\"timeout_ms\":1500,\"latency_goal_ms\":100,"
    "\"priority\":1,\"service\":\"app\",\"max_attempts\":2},"
    "{\"name\":\"look\",\"host\":\"h.example\",\"path_prefix\":\"/look/\","
    "\"kind\":\"safe\",\"timeout_ms\":5000,\"latency_goal_ms\":200,"
    "\"priority\":1,\"service\":\"app\",\"max_attempts\":2}";

static void
configure(const char *more_routes)
{
	char *doc = g_strdup_printf(
	    "{\"version\":%d,\"routes\":[%s%s],\"services\":["
	    "{\"name\":\"llm\",\"engine\":{\"slots\":8,\"kv_capacity\":100000,"
	    "\"weights_mb\":200,\"adapter_slots\":4,\"loads_per_s\":2,"
	    "\"models\":[{\"name\":\"m1\",\"weights_mb\":100,\"load_s\":1,"
	    "\"disk_s\":0.1,\"warm_s\":0.1},{\"name\":\"m2\","
	    "\"weights_mb\":100,\"load_s\":1,\"disk_s\":0.1,\"warm_s\":0.1},"
	    "{\"name\":\"m3\",\"weights_mb\":100,\"load_s\":1,\"disk_s\":0.1,"
	    "\"warm_s\":0.1}]}},{\"name\":\"app\"}],"
	    "\"limits\":{\"max_body_bytes\":100000}}",
	    ++fleet.version, routes, more_routes);

	write_key("keyed.op", "config", doc);
	g_free(doc);
}

static void
list_replica(
    const struct node *n, const char *service, const char *state, int64_t born)
{
	char *doc = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"a\","
	    "\"slots\":8,\"state\":\"%s\",\"born\":%lld,\"seq\":0,"
	    "\"models\":[]}",
	    service, n->address, state, (long long)born);

	write_key("keyed.servers", n->id, doc);
	g_free(doc);
}

/* ---- processes ---- */

static void
start_replica(struct node *n, const char *name, const char *const *args)
{
	proc_init(
	    &n->replica, fleet.dir, name, "tamarackmast-standin", "replica");
	add_arg(&n->replica, "--listen");
	add_arg(&n->replica, n->address);
	add_arg(&n->replica, "--id");
	add_arg(&n->replica, n->id);
	add_arg(&n->replica, "--born");
	add_arg(&n->replica, "1000");
	add_arg(&n->replica, "--events");
	add_arg(&n->replica, G_STRINGIFY(EVENTS));
	for (; *args != NULL; args++)
		add_arg(&n->replica, *args);
	proc_start(&n->replica);
	await_true(is_listening, n->address, name);
}

static void
start_daemon(
    struct proc *p, const char *name, const char *command, const char *settings)
{
	char *path = g_strdup_printf("%s/%s.ini", fleet.dir, name);

	g_assert_true(g_file_set_contents(path, settings, -1, NULL));
	proc_init(p, fleet.dir, name, "tamarackmast", command);
	add_arg(p, "--config");
	add_arg(p, path);
	proc_start(p);
	g_free(path);
}

static void
start_sidecar(struct node *n, const char *name)
{
	struct addr addr;
	char *settings;

	g_assert_cmpint(addr_parse(&addr, n->address), ==, 0);
	settings = g_strdup_printf(
	    "[daemon]\nvm = %s\nzone = a\n[rpc]\nlisten = %s:%d\n[store]\n"
	    "address = %s\n[replica]\naddress = %s\nservice = llm\n",
	    name, addr.host, fleet.sidecar_port, fleet.store, n->address);
	start_daemon(&n->sidecar, name, "sidecar", settings);
	g_free(settings);
}

static void
start_gateway(int i)
{
	char *name = g_strdup_printf("gateway-%d", i);
	char *settings = g_strdup_printf(
	    "[daemon]\nvm = %s\nzone = a\n[http]\nlisten = %s\nready = %s\n"
	    "[peers]\nlisten = %s\nseeds = %s,%s\n"
	    "[store]\naddress = %s\n[sidecars]\nport = %d\n",
	    name, fleet.front[i], fleet.ready[i], fleet.peer[i], fleet.peer[0],
	    fleet.peer[1], fleet.store, fleet.sidecar_port);

	start_daemon(&fleet.gateways[i], name, "gateway", settings);
	g_free(settings);
	g_free(name);
}

static bool
gateway_ready(void *ready)
{
	struct answer a;
	bool ok;

	http_call(&a, "GET", ready, "/-/ready", NULL, NULL);
	ok = a.code == 200;
	answer_clear(&a);
	return ok;
}

/* Each engine has an address of its own, so that all sidecars share a port. */
static void
place(struct node *n, const char *id, int host)
{
	char any[HARNESS_TEXT];

	new_address(any);
	strlcpy(n->id, id, sizeof(n->id));
	snprintf(n->address, sizeof(n->address), "127.0.0.%d:%s", host,
	    strchr(any, ':') + 1);
}

static void
start_fleet(void)
{
	static const char *const first[] = { "--model", "m1", "--disk", "m1",
		NULL };
	static const char *const second[] = { "--model", "m1", "--disk", "m2",
		NULL };
	static const char *const none[] = { NULL };
	char any[HARNESS_TEXT];

	memset(&fleet, 0, sizeof(fleet));
	snprintf(fleet.dir, sizeof(fleet.dir), "%s/fleet-XXXXXX", build_dir());
	g_assert_nonnull(mkdtemp(fleet.dir));
	new_address(fleet.store);
	new_address(any);
	fleet.sidecar_port = atoi(strchr(any, ':') + 1);
	proc_init(&fleet.store_proc, fleet.dir, "store", "tamarackmast-standin",
	    "store");
	add_arg(&fleet.store_proc, "--listen");
	add_arg(&fleet.store_proc, fleet.store);
	proc_start(&fleet.store_proc);
	await_true(is_listening, fleet.store, "store");
	configure("");
	place(&fleet.engines[0], "i-e0", 2);
	place(&fleet.engines[1], "i-e1", 3);
	place(&fleet.services[0], "i-s0", 1);
	place(&fleet.services[1], "i-s1", 1);
	start_replica(&fleet.engines[0], "engine-0", first);
	start_replica(&fleet.engines[1], "engine-1", second);
	start_replica(&fleet.services[0], "service-0", none);
	start_replica(&fleet.services[1], "service-1", none);
	for (int i = 0; i < ENGINES; i++) {
		char *name = g_strdup_printf("sidecar-%d", i);

		start_sidecar(&fleet.engines[i], name);
		list_replica(&fleet.engines[i], "llm", "ready", 1000);
		g_free(name);
	}
	for (int i = 0; i < SERVICES; i++)
		list_replica(&fleet.services[i], "app", "ready", 1000);
	for (int i = 0; i < GATEWAYS; i++) {
		new_address(fleet.front[i]);
		new_address(fleet.ready[i]);
		new_address(fleet.peer[i]);
	}
	for (int i = 0; i < GATEWAYS; i++)
		start_gateway(i);
	for (int i = 0; i < GATEWAYS; i++)
		await_true(gateway_ready, fleet.ready[i], "gateway ready");
}

static void
end_node(struct node *n)
{
	proc_kill(&n->replica);
	proc_kill(&n->sidecar);
	proc_clear(&n->replica);
	proc_clear(&n->sidecar);
}

static void
stop_fleet(void)
{
	for (int i = 0; i < GATEWAYS; i++) {
		proc_kill(&fleet.gateways[i]);
		proc_clear(&fleet.gateways[i]);
	}
	for (int i = 0; i < ENGINES; i++)
		end_node(&fleet.engines[i]);
	for (int i = 0; i < SERVICES; i++)
		end_node(&fleet.services[i]);
	proc_kill(&fleet.store_proc);
	proc_clear(&fleet.store_proc);
	if (getenv("TM_KEEP_LOGS") == NULL)
		remove_dir(fleet.dir);
}

/* ---- callers ---- */

static void
send_request(struct answer *a, int gateway, const char *path, const char *model)
{
	char *id =
	    g_strdup_printf("Tamarackmast-Request-Id: r%d", ++fleet.requests);
	char *named = g_strdup_printf("Tamarackmast-Model: %s", model);
	const char *headers[] = { "Host: h.example",
		"Tamarackmast-Deadline-Ms: 10000", id,
		model == NULL ? NULL : named, NULL };

	http_call(a, "GET", fleet.front[gateway], path, headers, NULL);
	g_free(id);
	g_free(named);
}

/* All events of one run, in order, each once. */
static void
assert_whole_stream(const struct answer *a)
{
	GString *expected = g_string_new(NULL);

	for (int i = 1; i <= EVENTS; i++)
		g_string_append_printf(
		    expected, "id: %d\ndata: r%d-%d\n\n", i, fleet.requests, i);
	g_assert_cmpint(a->code, ==, 200);
	g_assert_false(a->cut);
	g_assert_cmpstr(a->body, ==, expected->str);
	g_string_free(expected, TRUE);
}

static int64_t
runs(const struct node *nodes, int count, const char *what)
{
	int64_t sum = 0;

	for (int i = 0; i < count; i++)
		sum += journal_int(nodes[i].address, what);
	return sum;
}

static void
fault_all(const struct node *nodes, int count, const char *json)
{
	for (int i = 0; i < count; i++)
		fault(nodes[i].address, json);
}

/* ---- tests ---- */

static void
test_serves(void)
{
	struct answer a;

	start_fleet();
	for (int i = 0; i < GATEWAYS; i++) {
		send_request(&a, i, "/stream/1", "m1");
		assert_whole_stream(&a);
		answer_clear(&a);
		send_request(&a, i, "/book/1?x=1", NULL);
		g_assert_cmpint(a.code, ==, 200);
		answer_clear(&a);
		send_request(&a, i, "/nowhere/", NULL);
		g_assert_cmpint(a.code, ==, 404);
		answer_clear(&a);
	}
	stop_fleet();
}

/* m2 lies on the disk of one replica, m3 only in the weight store. */
static void
test_cold_models(void)
{
	struct answer a;

	start_fleet();
	send_request(&a, 0, "/stream/1", "m2");
	assert_whole_stream(&a);
	answer_clear(&a);
	g_assert_cmpint(journal_int(fleet.engines[1].address, "loads"), ==, 1);
	/* Both gateways ask at once: one load. */
	send_request(&a, 1, "/stream/1", "m3");
	assert_whole_stream(&a);
	answer_clear(&a);
	g_assert_cmpint(runs(fleet.engines, ENGINES, "loads"), ==, 2);
	stop_fleet();
}

/* A replica breaks off midway: another goes on within the same answer. */
static void
test_resumes_stream(void)
{
	struct answer a;

	start_fleet();
	send_request(&a, 0, "/stream/1", "m1");
	answer_clear(&a);
	/* Quiet gateways choose alike: the next one meets the same replica. */
	for (int i = 0; i < ENGINES; i++) {
		if (journal_int(fleet.engines[i].address, "runs") > 0)
			fault(fleet.engines[i].address, "{\"cut_after\": 3}");
	}
	send_request(&a, 1, "/stream/1", "m1");
	assert_whole_stream(&a);
	answer_clear(&a);
	g_assert_cmpint(runs(fleet.engines, ENGINES, "runs"), ==, 3);
	stop_fleet();
}

/* What runs at most once is not sent again unless it is known not to have run.
 */
static void
test_runs_once(void)
{
	struct answer a;

	start_fleet();
	fault_all(fleet.services, SERVICES, "{\"break_off\": true}");
	send_request(&a, 0, "/book/1", NULL);
	g_assert_cmpint(a.code, ==, 502);
	answer_clear(&a);
	g_assert_cmpint(runs(fleet.services, SERVICES, "runs"), ==, 1);
	fault_all(
	    fleet.services, SERVICES, "{\"break_off\": false, \"hang\": true}");
	send_request(&a, 1, "/book/1", NULL);
	g_assert_cmpint(a.code, ==, 504); /* at the route's time-out */
	g_assert_cmpfloat(a.seconds, <, 3);
	answer_clear(&a);
	g_assert_cmpint(runs(fleet.services, SERVICES, "runs"), ==, 2);
	/* The way from its id to the cause, as docs/OPERATIONS.md has it. */
	g_assert_true(proc_logged(&fleet.gateways[0], "answer lost"));
	g_assert_true(proc_logged(&fleet.gateways[1], "deadline passed"));
	stop_fleet();
}

/* A refusal that says "not run" goes elsewhere; if all refuse, so is told. */
static void
test_refusals(void)
{
	struct answer a;

	start_fleet();
	fault(fleet.services[0].address, "{\"shed\": 1}");
	fault(fleet.services[1].address, "{\"shed\": 1}");
	send_request(&a, 0, "/book/1", NULL);
	g_assert_cmpint(a.code, ==, 429);
	answer_clear(&a);
	g_assert_cmpint(runs(fleet.services, SERVICES, "runs"), ==, 0);
	send_request(&a, 0, "/book/1", NULL);
	g_assert_cmpint(a.code, ==, 200);
	answer_clear(&a);
	stop_fleet();
}

/* A silent replica is left where the request may run again. */
static void
test_leaves_silent_replica(void)
{
	struct answer a;

	start_fleet();
	fault(fleet.services[0].address, "{\"hang\": true}");
	for (int i = 0; i < 4; i++) {
		send_request(&a, 0, "/look/1", NULL);
		g_assert_cmpint(a.code, ==, 200);
		g_assert_cmpfloat(a.seconds, <, 2);
		answer_clear(&a);
	}
	stop_fleet();
}

static bool
serves_new_route(void *ctx)
{
	struct answer a;
	bool ok;

	send_request(&a, *(int *)ctx, "/new/1", NULL);
	ok = a.code == 200;
	answer_clear(&a);
	return ok;
}

static bool
refuses_drained(void *ctx)
{
	int64_t before = journal_int(fleet.services[0].address, "runs");
	struct answer a;

	send_request(&a, 0, "/look/1", NULL);
	answer_clear(&a);
	return journal_int(fleet.services[0].address, "runs") == before;
}

static void
test_configuration_and_drain(void)
{
	int64_t start = now_ms();

	start_fleet();
	configure(",{\"name\":\"new\",\"host\":\"h.example\",\"path_prefix\":"
		  "\"/new/\",\"kind\":\"safe\",\"service\":\"app\"}");
	for (int i = 0; i < GATEWAYS; i++)
		await_true(serves_new_route, &i, "new route served");
	g_assert_cmpint(now_ms() - start, <, HARNESS_LIMIT_MS);
	/* Entries of another kind change nothing. */
	write_key("keyed.servers", "i-torn", "{\"service\":");
	write_key("keyed.op", "config", "{\"version\":1}");
	list_replica(&fleet.services[0], "app", "draining", 1000);
	await_true(refuses_drained, NULL, "drained replica gets no work");
	for (int i = 0; i < 4; i++)
		g_assert_true(refuses_drained(NULL));
	g_assert_true(serves_new_route(&(int){ 0 }));
	stop_fleet();
}

/* The store stands still: what is known serves on. */
static void
test_without_store(void)
{
	struct answer a;

	start_fleet();
	proc_signal(&fleet.store_proc, SIGSTOP);
	for (int i = 0; i < GATEWAYS; i++) {
		send_request(&a, i, "/stream/1", "m1");
		assert_whole_stream(&a);
		answer_clear(&a);
		send_request(&a, i, "/stream/1", "m2"); /* loads as well */
		assert_whole_stream(&a);
		answer_clear(&a);
		g_assert_true(gateway_ready(fleet.ready[i]));
	}
	proc_signal(&fleet.store_proc, SIGCONT);
	stop_fleet();
}

/* A gateway that starts meanwhile asks another for all that it needs. */
static void
test_starts_without_store(void)
{
	struct answer a;

	start_fleet();
	proc_stop(&fleet.gateways[1]);
	proc_clear(&fleet.gateways[1]);
	proc_signal(&fleet.store_proc, SIGSTOP);
	start_gateway(1);
	await_true(gateway_ready, fleet.ready[1], "ready out of a peer");
	send_request(&a, 1, "/stream/1", "m1");
	assert_whole_stream(&a);
	answer_clear(&a);
	send_request(&a, 1, "/book/1", NULL);
	g_assert_cmpint(a.code, ==, 200);
	answer_clear(&a);
	proc_signal(&fleet.store_proc, SIGCONT);
	stop_fleet();
}

static bool
not_ready(void *ready)
{
	return !gateway_ready(ready);
}

static void *
stream_once(void *answer)
{
	send_request(answer, 0, "/stream/1", "m1");
	return NULL;
}

/* SIGTERM: not ready at once, the stream under way ends whole, exit 0. */
static void
test_graceful_stop(void)
{
	struct answer a = { 0 };
	GThread *thread;

	start_fleet();
	thread = g_thread_new("caller", stream_once, &a);
	while (runs(fleet.engines, ENGINES, "runs") == 0)
		sleep_ms(5);
	proc_signal(&fleet.gateways[0], SIGTERM);
	await_true(not_ready, fleet.ready[0], "not ready");
	g_thread_join(thread);
	assert_whole_stream(&a);
	answer_clear(&a);
	g_assert_cmpint(proc_wait(&fleet.gateways[0]), ==, 0);
	stop_fleet();
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
	struct addr addr;
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char buf[256];

	start_fleet();
	g_assert_cmpint(addr_parse(&addr, fleet.front[0]), ==, 0);
	inet_pton(AF_INET, addr.host, &sin.sin_addr);
	sin.sin_port = htons(addr.port);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		ssize_t n;

		g_assert_cmpint(
		    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
		g_assert_cmpint((int)send(fd, bad[i], strlen(bad[i]), 0), >, 0);
		n = recv(fd, buf, sizeof(buf) - 1, 0);
		g_assert_cmpint((int)n, >, 12);
		buf[n] = '\0';
		g_assert_nonnull(strstr(buf, " 400 "));
		while (recv(fd, buf, sizeof(buf), 0) > 0)
			;
		close(fd);
	}
	g_assert_cmpint(runs(fleet.services, SERVICES, "runs"), ==, 0);
	stop_fleet();
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
	g_test_add_func("/gateway/graceful_stop", test_graceful_stop);
	g_test_add_func("/gateway/smuggling", test_smuggling);
	return g_test_run();
}
