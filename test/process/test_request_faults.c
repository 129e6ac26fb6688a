/*
 * Streams and service calls while connections break or stall, agents are killed
 * or paused, and callers disconnect or stop reading.  An answer must be
 * complete or visibly broken off, an error must state the true outcome by the
 * deadline, and the engines' work must be cancelled with the request.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <glib.h>

#include "harness.h"

#define TOKENS 40

static const char *const urgent_headers[] = { "Rank: urgent",
	"Content-Type: application/json", NULL };
static const char *const deadline_400ms_headers[] = { "Rank: urgent",
	"Deadline-Ms: 400", NULL };
static const char *const deadline_2s_headers[] = { "Rank: urgent",
	"Deadline-Ms: 2000", NULL };

static const char declarations[] =
    "{\"kind\":\"rank\",\"name\":\"urgent\",\"spec\":"
    "{\"order\":0,\"floor_percent\":20,\"deadline_ms\":10000}}"
    "{\"kind\":\"model\",\"name\":\"alpha\",\"spec\":"
    "{\"memory_mib\":8000,\"max_replicas\":2,\"max_tokens\":1000000}}"
    "{\"kind\":\"service\",\"name\":\"booking\",\"spec\":"
    "{\"timeout_ms\":5000}}"
    "{\"kind\":\"deployment\",\"name\":\"all\",\"spec\":{}}";

static struct cluster_options opts = {
	.declarations = declarations,
	.entries = 2,
	.engines = 2,
	.services = 1,
	.proxied = true,
	.entry_settings = "[request]\nresume_window_ms = 1500\n"
			  "dispatch_timeout_ms = 500\nsilence_ms = 500\n"
			  "[http]\ncaller_backlog = 16384\n"
			  "max_tenant_requests = 8\n",
	.engine_args = { "--token-ms", "25", "--remote-ms", "100" },
};
static struct cluster *cluster;

/* ---- calls in the background ---- */

struct batch {
	struct batch_call calls[16];
	size_t count;
	GThread *thread;
};

static void *
run_batch(void *arg)
{
	struct batch *b = arg;

	http_call_batch(b->calls, b->count);
	return NULL;
}

static void
add_call(struct batch *b, int entry, const char *path,
    const char *const *headers, char *body)
{
	struct batch_call *c = &b->calls[b->count++];

	c->method = "POST";
	c->address = cluster->entries[entry].http;
	c->path = (char *)path;
	c->headers = headers;
	c->body = body;
}

static void
add_stream(struct batch *b, int entry, const char *prompt, int tokens)
{
	add_call(b, entry, "/v1/completions", urgent_headers,
	    g_strdup_printf("{\"model\":\"alpha\",\"prompt\":\"%s\","
			    "\"max_tokens\":%d,\"stream\":true}",
		prompt, tokens));
}

static void
start_batch(struct batch *b)
{
	b->thread = g_thread_new("calls", run_batch, b);
}

static void
clear_batch(struct batch *b)
{
	for (size_t i = 0; i < b->count; i++) {
		g_free(b->calls[i].body);
		response_clear(&b->calls[i].response);
	}
	memset(b, 0, sizeof(*b));
}

/* Joins the texts of all events up to [DONE] or the end of the body. */
static char *
stream_text(const struct response *resp)
{
	GString *text = g_string_new(NULL);
	char **lines = g_strsplit(resp->body, "\n", -1);

	for (int i = 0; lines[i] != NULL; i++) {
		json_t *doc, *choices;
		const char *part;

		if (!g_str_has_prefix(lines[i], "data: {"))
			continue;
		doc = json_loads(lines[i] + 6, 0, NULL);
		choices = json_object_get(doc, "choices");
		part = json_string_value(
		    json_object_get(json_array_get(choices, 0), "text"));
		g_string_append(text, part ? part : "");
		json_decref(doc);
	}
	g_strfreev(lines);
	return g_string_free(text, FALSE);
}

static void
assert_complete(const struct response *resp, const char *prompt, int tokens)
{
	char *expected = expected_text(prompt, (unsigned)tokens);
	char *text = stream_text(resp);

	if (resp->code != 200 || resp->cut)
		g_test_message("%ld %s", resp->code, resp->body);
	g_assert_cmpint(resp->code, ==, 200);
	g_assert_false(resp->cut);
	g_assert_true(g_str_has_suffix(resp->body, "data: [DONE]\n\n"));
	g_assert_cmpstr(text, ==, expected);
	g_free(expected);
	g_free(text);
}

/* ---- conditions ---- */

static int64_t
count_running(const struct member *m)
{
	struct response resp;
	int64_t n;

	http_call(&resp, "GET", m->backend, "/engine/state", NULL, NULL);
	n = response_int(&resp, "running");
	response_clear(&resp);
	return n;
}

static void
set_engine_faults(const char *json)
{
	for (int i = 0; i < opts.engines; i++)
		set_faults(cluster->engines[i].backend, json);
}

static void
set_proxy_faults(const char *json)
{
	for (int i = 0; i < opts.engines; i++)
		set_faults(cluster->engines[i].rpc_proxy_control, json);
}

static bool
all_engines_idle(void *ctx)
{
	for (int i = 0; i < opts.engines; i++) {
		if (count_running(&cluster->engines[i]) > 0)
			return false;
	}
	return true;
}

static bool
any_engine_busy(void *ctx)
{
	return !all_engines_idle(ctx);
}

static struct member *
busy_engine(void)
{
	for (int i = 0; i < opts.engines; i++) {
		if (count_running(&cluster->engines[i]) > 0)
			return &cluster->engines[i];
	}
	g_assert_not_reached();
}

static void
warm_up(void)
{
	struct batch b = { 0 };

	add_stream(&b, 0, "warm", 1);
	http_call_batch(b.calls, b.count);
	assert_complete(&b.calls[0].response, "warm", 1);
	clear_batch(&b);
}

/* ---- the tests ---- */

/* All connections are reset during the streams, twice: answers are complete. */
static void
test_reset_resumes(void)
{
	struct batch b = { 0 };
	char prompt[32];
	int64_t resumed;

	warm_up();
	for (int i = 0; i < 6; i++) {
		snprintf(prompt, sizeof(prompt), "reset %d", i);
		add_stream(&b, i % 2, prompt, TOKENS);
	}
	start_batch(&b);
	await_true(any_engine_busy, NULL, "streams run");
	for (int k = 0; k < 2; k++) {
		sleep_ms(250);
		set_proxy_faults("{\"reset\": true}");
	}
	g_thread_join(b.thread);
	for (int i = 0; i < 6; i++) {
		snprintf(prompt, sizeof(prompt), "reset %d", i);
		assert_complete(&b.calls[i].response, prompt, TOKENS);
	}
	resumed =
	    read_metric(cluster->entries[0].http, "request_resumes_total");
	g_assert_cmpint(resumed, >, 0);
	clear_batch(&b);
}

/* Chunks that are lost on an open connection are requested again. */
static void
test_stall_resumes(void)
{
	struct batch b = { 0 };

	add_stream(&b, 0, "stall", TOKENS);
	start_batch(&b);
	await_true(any_engine_busy, NULL, "the stream runs");
	sleep_ms(200);
	set_proxy_faults("{\"one_way\": \"down\"}");
	sleep_ms(800);
	set_proxy_faults("{\"one_way\": \"\"}");
	g_thread_join(b.thread);
	assert_complete(&b.calls[0].response, "stall", TOKENS);
	clear_batch(&b);
}

/* The agent is killed after the first chunks: the stream ends with an error. */
static void
test_agent_killed(void)
{
	struct batch b = { 0 };
	struct member *m;
	char *text, *expected = expected_text("killed", TOKENS);

	add_stream(&b, 0, "killed", TOKENS);
	start_batch(&b);
	await_true(any_engine_busy, NULL, "the stream runs");
	m = busy_engine();
	sleep_ms(300);
	proc_kill(&m->daemon);
	g_thread_join(b.thread);
	text = stream_text(&b.calls[0].response);
	g_assert_cmpint(b.calls[0].response.code, ==, 200);
	g_assert_true(b.calls[0].response.cut);
	g_assert_null(strstr(b.calls[0].response.body, "[DONE]"));
	g_assert_nonnull(strstr(b.calls[0].response.body, "STREAM_BROKEN"));
	g_assert_true(g_str_has_prefix(expected, text));
	g_assert_cmpuint(strlen(text), <, strlen(expected));
	proc_start(&m->daemon);
	await_true(is_ready, m->http, "agent back");
	await_true(all_engines_idle, NULL, "engines idle");
	g_free(text);
	g_free(expected);
	clear_batch(&b);
}

/*
 * The agent is killed before the first chunk: the request is retried at another
 * agent or at the restarted one.
 */
static void
test_agent_killed_unbegun(void)
{
	struct batch b = { 0 };
	struct member *m;

	set_engine_faults("{\"slow\": 40}");
	add_stream(&b, 0, "unbegun", 3);
	start_batch(&b);
	await_true(any_engine_busy, NULL, "the stream runs");
	m = busy_engine();
	proc_kill(&m->daemon);
	proc_start(&m->daemon);
	set_engine_faults("{\"slow\": 1}");
	g_thread_join(b.thread);
	assert_complete(&b.calls[0].response, "unbegun", 3);
	await_true(is_ready, m->http, "agent back");
	clear_batch(&b);
}

/* All agents are paused: requests end at the deadline, with unknown outcome. */
static void
test_frozen(void)
{
	struct batch b = { 0 };
	struct response *resp = &b.calls[0].response;
	const char *outcome;

	for (int i = 0; i < opts.engines; i++)
		proc_signal(&cluster->engines[i].daemon, SIGSTOP);
	proc_signal(&cluster->services[0].daemon, SIGSTOP);
	add_call(&b, 0, "/v1/completions", deadline_2s_headers,
	    g_strdup("{\"model\":\"alpha\",\"prompt\":\"x\"}"));
	add_call(
	    &b, 1, "/services/booking/x", deadline_2s_headers, g_strdup("{}"));
	http_call_batch(b.calls, b.count);
	for (size_t i = 0; i < b.count; i++) {
		resp = &b.calls[i].response;
		outcome = response_text(resp, "outcome");
		g_assert_cmpint(resp->code, >=, 500);
		g_assert_cmpstr(outcome, ==, "unknown");
		g_assert_cmpfloat(resp->seconds, <, 2.1);
	}
	for (int i = 0; i < opts.engines; i++)
		proc_signal(&cluster->engines[i].daemon, SIGCONT);
	proc_signal(&cluster->services[0].daemon, SIGCONT);
	await_true(all_engines_idle, NULL, "the runs are cancelled");
	/* The booking's dispatch may arrive before or after its withdrawal. */
	g_assert_cmpint(
	    read_journal_int(cluster->services[0].backend, "count"), <=, 1);
	clear_batch(&b);
}

/* Paused agents and a hanging engine: requests end at most 100 ms late. */
static void
test_deadline(void)
{
	struct batch b = { 0 };

	proc_signal(&cluster->engines[0].daemon, SIGSTOP);
	proc_signal(&cluster->services[0].daemon, SIGSTOP);
	set_faults(cluster->engines[1].backend, "{\"freeze\": true}");
	for (int i = 0; i < 16; i++) {
		if (i % 2 == 0)
			add_call(&b, i / 2 % 2, "/services/booking/x",
			    deadline_400ms_headers, g_strdup("{}"));
		else
			add_call(&b, i / 2 % 2, "/v1/completions",
			    deadline_400ms_headers,
			    g_strdup("{\"model\":\"alpha\",\"prompt\":\"x\","
				     "\"max_tokens\":4}"));
	}
	http_call_batch(b.calls, b.count);
	for (size_t i = 0; i < b.count; i++)
		g_assert_cmpfloat(b.calls[i].response.seconds, <, 0.5);
	set_faults(cluster->engines[1].backend, "{\"freeze\": false}");
	proc_signal(&cluster->engines[0].daemon, SIGCONT);
	proc_signal(&cluster->services[0].daemon, SIGCONT);
	await_true(all_engines_idle, NULL, "engines idle");
	clear_batch(&b);
}

/* A raw TCP connection of a caller, for disconnects and pipelining. */
static int
tcp_open(const char *address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char host[HARNESS_TEXT_SIZE];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char *colon;

	g_strlcpy(host, address, sizeof(host));
	colon = strchr(host, ':');
	*colon = '\0';
	sin.sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, host, &sin.sin_addr);
	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
	return fd;
}

static void
tcp_post(int fd, const char *body)
{
	char *text = g_strdup_printf(
	    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nRank: urgent\r\n"
	    "Deadline-Ms: 86400000\r\nContent-Length: %zu\r\n\r\n%s",
	    strlen(body), body);

	g_assert_cmpint(
	    write(fd, text, strlen(text)), ==, (gssize)strlen(text));
	g_free(text);
}

/* Reads until the text has come so many times; false if the peer closes. */
static bool
tcp_await(int fd, const char *text, int times)
{
	GString *got = g_string_new(NULL);
	char buf[4096];
	int seen = 0;
	ssize_t n;

	while (seen < times && (n = read(fd, buf, sizeof(buf))) > 0) {
		g_string_append_len(got, buf, n);
		seen = 0;
		for (char *at = got->str; (at = strstr(at, text)) != NULL; at++)
			seen++;
	}
	g_string_free(got, TRUE);
	return seen >= times;
}

static void
disconnect_mid_request(const char *awaited_text)
{
	int fd = tcp_open(cluster->entries[0].http);

	tcp_post(fd, "{\"model\":\"alpha\",\"prompt\":\"leave\","
		     "\"max_tokens\":400,\"stream\":true}");
	await_true(any_engine_busy, NULL, "the stream runs");
	if (awaited_text != NULL)
		g_assert_true(tcp_await(fd, awaited_text, 2));
	close(fd);
	await_true(all_engines_idle, NULL, "the run is cancelled");
}

static void
test_caller_leaves_before_first_byte(void)
{
	set_engine_faults("{\"slow\": 200}");
	disconnect_mid_request(NULL);
	set_engine_faults("{\"slow\": 1}");
}

static void
test_caller_leaves_during_chunks(void)
{
	disconnect_mid_request("data: {");
}

/* A pipelined request is answered after the first one. */
static void
test_pipelined(void)
{
	int fd = tcp_open(cluster->entries[0].http);

	tcp_post(fd, "{\"model\":\"alpha\",\"prompt\":\"one\","
		     "\"max_tokens\":10,\"stream\":true}");
	tcp_post(fd, "{\"model\":\"alpha\",\"prompt\":\"two\","
		     "\"max_tokens\":10,\"stream\":true}");
	g_assert_true(tcp_await(fd, "data: [DONE]", 2));
	close(fd);
}

/* A caller that never reads is aborted, without harm to other streams. */
static void
test_slow_caller(void)
{
	struct batch b = { 0 };
	int fd = tcp_open(cluster->entries[0].http);
	int small = 4096;

	set_engine_faults("{\"slow\": 0.002}");
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	tcp_post(fd, "{\"model\":\"alpha\",\"prompt\":\"never read\","
		     "\"max_tokens\":1000000,\"stream\":true}");
	await_true(any_engine_busy, NULL, "the stream runs");
	add_stream(&b, 0, "beside", TOKENS);
	http_call_batch(b.calls, b.count);
	assert_complete(&b.calls[0].response, "beside", TOKENS);
	await_true(
	    all_engines_idle, NULL, "the slow caller's run is cancelled");
	g_assert_cmpint(
	    read_metric(cluster->entries[0].http, "slow_callers_aborted_total"),
	    ==, 1);
	set_engine_faults("{\"slow\": 1}");
	close(fd);
	clear_batch(&b);
}

/*
 * Requests above max_tenant_requests are refused with a time for a retry, so
 * that one tenant can't take the whole entry.
 */
static void
test_tenant_limit(void)
{
	static const char *const tenant_headers[] = { "Rank: urgent",
		"Tenant: t", NULL };
	struct batch b = { 0 };
	int answered = 0, refused = 0;

	for (int i = 0; i < 10; i++) {
		add_stream(&b, 0, "tenant", TOKENS);
		b.calls[i].headers = tenant_headers;
	}
	http_call_batch(b.calls, b.count);
	for (int i = 0; i < 10; i++) {
		const struct response *resp = &b.calls[i].response;

		answered += resp->code == 200;
		if (resp->code != 429)
			continue;
		refused++;
		g_assert_cmpstr(response_text(resp, "outcome"), ==, "not_run");
		g_assert_cmpint(response_int(resp, "retry_after_ms"), >=, 1000);
	}
	g_assert_cmpint(answered, ==, 8);
	g_assert_cmpint(refused, ==, 2);
	clear_batch(&b);
}

/*
 * A tenant too long for the message to an agent is refused at the entry: the
 * request must not get lost on the way to the agent.
 */
static void
test_too_long(void)
{
	char *name = g_strnfill(200, 'x');
	char *header = g_strdup_printf("Tenant: %s", name);
	const char *headers[] = { "Rank: urgent", header, NULL };
	struct response resp;

	http_call(&resp, "POST", cluster->entries[0].http,
	    "/services/booking/x", headers, "{}");
	g_assert_cmpint(resp.code, ==, 400);
	g_assert_cmpstr(response_text(&resp, "result"), ==, "BAD_REQUEST");
	g_assert_nonnull(strstr(response_text(&resp, "detail"), "Tenant"));
	response_clear(&resp);
	g_free(header);
	g_free(name);
}

int
main(int argc, char **argv)
{
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/request/reset_resumes", test_reset_resumes);
	g_test_add_func("/request/stall_resumes", test_stall_resumes);
	g_test_add_func("/request/agent_killed", test_agent_killed);
	g_test_add_func(
	    "/request/agent_killed_unbegun", test_agent_killed_unbegun);
	g_test_add_func("/request/frozen", test_frozen);
	g_test_add_func("/request/deadline", test_deadline);
	g_test_add_func("/request/caller_leaves_before_first_byte",
	    test_caller_leaves_before_first_byte);
	g_test_add_func("/request/caller_leaves_during_chunks",
	    test_caller_leaves_during_chunks);
	g_test_add_func("/request/pipelined", test_pipelined);
	g_test_add_func("/request/slow_caller", test_slow_caller);
	g_test_add_func("/request/tenant_limit", test_tenant_limit);
	g_test_add_func("/request/too_long", test_too_long);
	rc = g_test_run();
	cluster_stop(cluster);
	return rc;
}
