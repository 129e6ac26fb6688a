/*
 * Callers that leave in each state of a request, in each way, at a gateway and
 * at an entry with its agent.  Guards against memory or descriptors that are
 * kept for them, against a process that goes on spinning, and against requests
 * that run on though nobody waits for them.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>

#include "common/addr.h"
#include "harness_fleet.h"

#define CROWD 20 /* at once */
#define CROWDS 10 /* of each state and ending */
#define BODY_BYTES 20000
#define RECEIVE_MS 3000
#define SETTLE_MS 1500 /* until what the last callers left behind has ended */
#define REST_MS 500
#define REST_CPU_MS 50 /* of REST_MS; a loop that spins takes all of it */
#define GROWTH_MAX_KB 2048
#define BACKEND_MAX_MS 1500 /* until a request has gone from its backend */

enum ending {
	CLOSE,
	RESET,
	ONE_SIDE,
	SILENT, /* sends nothing more, until the limit of time */
	ENDINGS,
};

static const char *const ending_names[] = { "close", "reset", "one side",
	"silent" };

/* How much of the request is sent, and what is awaited before leaving. */
enum progress {
	HEAD, /* a part of it */
	BODY, /* a part of it */
	SENT, /* the whole request */
	BEGUN, /* the head of the answer has come */
	ANSWERED, /* the answer has come, and may be unread */
};

struct state {
	const char *name;
	enum progress progress;
	const char *path;
	const char *fields;
	const char *faults; /* of the backend servers; NULL: none */
	const char *calm; /* ends the faults */
};

static const struct state gateway_states[] = {
	{ "head", HEAD, "/look/1", "", NULL, NULL },
	{ "body", BODY, "/look/1", "", NULL, NULL },
	{ "waiting for a pause", SENT, "/look/1", "", "{\"quiet\":\"3\"}",
	    "{\"quiet\":\"\"}" },
	{ "sent, plain", SENT, "/look/1", "", "{\"hang\":true}",
	    "{\"hang\":false}" },
	{ "sent, stream", SENT, "/stream/1", "Tamarackmast-Model: m1\r\n",
	    "{\"hang\":true}", "{\"hang\":false}" },
	{ "midway in a stream", BEGUN, "/stream/1",
	    "Tamarackmast-Model: m1\r\n", "{\"event_ms\":400}",
	    "{\"event_ms\":10}" },
	{ "unread stream", BEGUN, "/stream/1", "Tamarackmast-Model: m1\r\n",
	    "{\"endless\":\"x\\n\",\"endless_after\":1}",
	    "{\"endless\":\"\"}" },
	{ "answered", ANSWERED, "/look/1", "", NULL, NULL },
};

/* ---- processes ---- */

static unsigned
descriptors(const struct proc *p)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)p->pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	unsigned count = 0;

	while (g_dir_read_name(dir) != NULL)
		count++;
	g_dir_close(dir);
	g_free(path);
	return count;
}

/* ---- callers ---- */

static int
connect_to(const char *address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct timeval tv = { RECEIVE_MS / 1000, 0 };
	struct addr addr;

	g_assert_cmpint(addr_parse(&addr, address), ==, 0);
	inet_pton(AF_INET, addr.host, &sin.sin_addr);
	sin.sin_port = htons((uint16_t)addr.port);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
	return fd;
}

static int
send_request(const char *address, const struct state *s, const char *body)
{
	static int number;
	char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h.example\r\n"
				     "Tamarackmast-Request-Id: leave-%d\r\n"
				     "Tamarackmast-Deadline-Ms: 4000\r\n"
				     "Deadline-Ms: 4000\r\n%s"
				     "Content-Length: %zu\r\n\r\n%s",
	    s->path, ++number, s->fields, strlen(body), body);
	size_t len = strlen(text);
	char byte;
	int fd = connect_to(address);

	if (s->progress == HEAD)
		len = 40;
	else if (s->progress == BODY)
		len -= strlen(body) / 2;
	g_assert_cmpint(send(fd, text, len, MSG_NOSIGNAL), ==, (ssize_t)len);
	if (s->progress >= BEGUN)
		g_assert_cmpint(recv(fd, &byte, 1, MSG_PEEK), ==, 1);
	g_free(text);
	return fd;
}

static void
leave(int fd, enum ending ending)
{
	struct linger now = { 1, 0 };

	if (ending == ONE_SIDE)
		shutdown(fd, SHUT_WR);
	if (ending == RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	if (ending == CLOSE || ending == RESET)
		close(fd);
}

/* One caller of each state falls silent, as its limit of time is awaited. */
static void
play(const char *address, const struct state *s, enum ending ending,
    const char *body)
{
	int crowd = ending == SILENT ? 1 : CROWD;
	int rounds = ending == SILENT ? 1 : CROWDS;
	int fds[CROWD];
	char buf[4096];

	for (int round = 0; round < rounds; round++) {
		for (int i = 0; i < crowd; i++)
			fds[i] = send_request(address, s, body);
		if (s->progress == SENT)
			sleep_ms(20); /* on its way to the backend server */
		for (int i = 0; i < crowd; i++)
			leave(fds[i], ending);
		if (ending == ONE_SIDE)
			sleep_ms(20);
		for (int i = 0; ending >= ONE_SIDE && i < crowd; i++) {
			while (ending == SILENT &&
			       recv(fds[i], buf, sizeof(buf), 0) > 0 &&
			       s->progress < BEGUN) {
			}
			close(fds[i]);
		}
	}
}

/* ---- what is left behind ---- */

struct rest {
	const struct proc *p;
	const char *name;
	int64_t kb;
	unsigned descriptors;
};

static void
note_rest(struct rest *r)
{
	r->kb = proc_status_kb(r->p, "VmRSS:");
	r->descriptors = descriptors(r->p);
}

static bool
has_no_more_descriptors(void *rest)
{
	const struct rest *r = rest;

	return descriptors(r->p) <= r->descriptors;
}

static void
check_rest(struct rest *r, const char *when)
{
	int64_t kb, cpu;

	proc_assert_running((struct proc *)r->p);
	await_true(has_no_more_descriptors, r, "descriptors closed");
	cpu = proc_cpu_ms(r->p);
	sleep_ms(REST_MS);
	cpu = proc_cpu_ms(r->p) - cpu;
	kb = proc_status_kb(r->p, "VmRSS:");
	g_test_message("%s after %s: %ld kB, before %ld; %u descriptors; %ld "
		       "ms of %d",
	    r->name, when, (long)kb, (long)r->kb, descriptors(r->p), (long)cpu,
	    REST_MS);
	g_assert_cmpint(cpu, <=, REST_CPU_MS);
	g_assert_cmpint(kb, <=, r->kb + GROWTH_MAX_KB);
}

/* ---- gateways ---- */

static void
set_all_faults(const char *faults)
{
	if (faults == NULL)
		return;
	fleet_set_faults(fleet.engines, FLEET_ENGINES, faults);
	fleet_set_faults(fleet.services, FLEET_SERVICES, faults);
}

static bool
none_in_flight(void *unused)
{
	int64_t waiting =
	    fleet_sum_journals(fleet.services, FLEET_SERVICES, "waiting") +
	    fleet_sum_journals(fleet.engines, FLEET_ENGINES, "waiting");

	return waiting == 0;
}

static void
test_gateway(void)
{
	char *body = g_strnfill(BODY_BYTES, 'b');
	struct rest rest = { .name = "gateway" };

	fleet.extra_limits = ",\"header_timeout_ms\":1000,"
			     "\"idle_timeout_ms\":2000";
	fleet_start();
	rest.p = &fleet.gateways[0];
	for (int pass = 0; pass < 2; pass++) {
		for (size_t i = 0; i < G_N_ELEMENTS(gateway_states); i++) {
			const struct state *s = &gateway_states[i];

			for (int ending = 0; ending < ENDINGS; ending++) {
				int64_t until_ms;

				if (pass == 0 && ending == SILENT)
					continue;
				set_all_faults(s->faults);
				play(fleet.http_address[0], s, ending, body);
				until_ms = now_ms() + BACKEND_MAX_MS;
				while (!none_in_flight(NULL) &&
				       now_ms() < until_ms)
					sleep_ms(10);
				if (!none_in_flight(NULL))
					g_error("%s, %s: requests run on",
					    s->name, ending_names[ending]);
				set_all_faults(s->calm);
			}
			/* The first pass fills what is kept for use again. */
			if (pass == 1) {
				sleep_ms(SETTLE_MS);
				check_rest(&rest, s->name);
			}
		}
		sleep_ms(SETTLE_MS);
		if (pass == 0)
			note_rest(&rest);
	}
	fleet.extra_limits = NULL;
	fleet_stop();
	g_free(body);
}

/* ---- entries and agents ---- */

#define COMPLETION                                                             \
	"{\"model\":\"alpha\",\"prompt\":\"hello\",\"max_tokens\":%d,"         \
	"\"stream\":%s}"

static const struct state entry_states[] = {
	{ "head", HEAD, "/v1/completions", "", NULL, NULL },
	{ "body", BODY, "/v1/completions", "", NULL, NULL },
	{ "sent", SENT, "/v1/completions", "Content-Type: application/json\r\n",
	    NULL, NULL },
	{ "midway in a stream", BEGUN, "/v1/completions",
	    "Content-Type: application/json\r\n", NULL, NULL },
	{ "answered", ANSWERED, "/v1/completions",
	    "Content-Type: application/json\r\n", NULL, NULL },
};

static bool
is_completed(void *cluster)
{
	static const char *const headers[] = { "Content-Type: application/json",
		"Deadline-Ms: 8000", NULL };
	char *body = g_strdup_printf(COMPLETION, 1, "false");
	struct response resp;
	bool ok;

	http_call(&resp, "POST", ((struct cluster *)cluster)->entries[0].http,
	    "/v1/completions", headers, body);
	ok = resp.code == 200;
	response_clear(&resp);
	g_free(body);
	return ok;
}

static void
test_entry(void)
{
	struct cluster_options opts = { .entries = 1,
		.engines = 1,
		/* What has ended is kept for its entry to resume. */
		.agent_settings = "[memory]\nkeep_answers_ms = 1000\n",
		.entry_settings = "[http]\nfirst_request_ms = 1000\n",
		.engine_args = { "--token-ms", "20" } };
	struct cluster *cluster = cluster_start(&opts);
	char *endless = g_strdup_printf(COMPLETION, 150, "true");
	char *whole = g_strdup_printf(COMPLETION, 1, "false");
	struct rest rests[] = { { .name = "entry",
				    .p = &cluster->entries[0].daemon },
		{ .name = "agent", .p = &cluster->engines[0].daemon } };

	await_true(is_completed, cluster, "a completion");
	for (int pass = 0; pass < 2; pass++) {
		for (size_t i = 0; i < G_N_ELEMENTS(entry_states); i++) {
			const struct state *s = &entry_states[i];

			for (int ending = 0; ending < SILENT; ending++) {
				play(cluster->entries[0].http, s, ending,
				    s->progress == ANSWERED ? whole : endless);
				/* No place is kept for who has left. */
				await_true(
				    is_completed, cluster, "a completion");
			}
			sleep_ms(SETTLE_MS);
			for (size_t r = 0; pass == 1 && r < 2; r++)
				check_rest(&rests[r], s->name);
		}
		for (size_t r = 0; pass == 0 && r < 2; r++)
			note_rest(&rests[r]);
	}
	g_free(endless);
	g_free(whole);
	cluster_stop(cluster);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/callers_leave/gateway", test_gateway);
	g_test_add_func("/callers_leave/entry", test_entry);
	return g_test_run();
}
