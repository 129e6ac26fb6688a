/*
 * Callers that leave in each state of their request, in each way.
 *
 * Guards against requests that are kept for ever as their caller has left,
 * against callers whose end is noticed late or never, and against an event loop
 * that spins meanwhile.
 */
#include <malloc.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "common/metrics.h"
#include "protocol/caller.h"
#include "transport/http_server.h"

#define CALLERS 200 /* one after the other */
#define BODY_BYTES 100000
#define BACKLOG (8 * 1024 * 1024)
#define LARGE (6 * 1024 * 1024) /* more than a connection takes unread */
#define NOTICE_MS 500
#define MEMORY_MAX (512 * 1024) /* bytes, of all callers together */
#define CPU_MS_MAX 5 /* for each caller */

/* What has happened to the request when its caller leaves. */
enum state {
	WAITING, /* no answer has begun */
	BEGUN, /* its head has been written */
	MIDWAY, /* parts of it have been written and read */
	UNREAD, /* more is queued than the connection takes */
	ENDED_UNREAD, /* and its end, too */
	ABORTING, /* and the connection is to be closed behind it */
	STATES,
};

enum ending {
	CLOSE,
	RESET,
	ONE_SIDE, /* the caller sends no more, and reads on */
	ENDINGS,
};

static const char *const state_names[] = { "waiting", "begun", "midway",
	"unread", "ended, unread", "aborting, unread" };
static const char *const ending_names[] = { "close", "reset", "one side" };

struct fixture {
	struct event_base *base;
	struct http_server *server;
	struct sockaddr_in sin;
	enum state state;
	struct caller *caller; /* NULL: none, or it ends by itself */
	bool received;
	unsigned left;
};

static void
on_disconnect(void *ctx)
{
	struct fixture *f = ctx;

	f->left++;
	caller_abort(f->caller);
	f->caller = NULL;
}

static void
on_refuse(void *ctx, struct evhttp_request *req, int status)
{
	g_assert_not_reached();
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	static char large[LARGE];
	struct fixture *f = ctx;
	struct caller *c =
	    caller_create(f->server, req, BACKLOG, on_disconnect, f);

	f->received = true;
	f->caller = c;
	if (f->state == WAITING)
		return;
	caller_reply_start(c, 200, "text/plain");
	if (f->state == MIDWAY)
		g_assert_cmpint(caller_reply_chunk(c, "part", 4), ==, 0);
	if (f->state >= UNREAD)
		g_assert_cmpint(
		    caller_reply_chunk(c, large, sizeof(large)), ==, 0);
	if (f->state == ENDED_UNREAD)
		caller_reply_end(c);
	else if (f->state == ABORTING)
		caller_abort_after(c, "error", 5);
	if (f->state >= ENDED_UNREAD)
		f->caller = NULL;
}

static const struct http_route routes[] = {
	{ "/", EVHTTP_REQ_POST, on_request },
	{ 0 },
};

static void
run_loop(struct fixture *f, int ms)
{
	struct timeval tv = { 0, ms * 1000 };

	event_base_loopexit(f->base, &tv);
	event_base_dispatch(f->base);
}

static int
connect_caller(const struct fixture *f, bool pipelines)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char *body = g_strnfill(BODY_BYTES, 'b');
	char *request = g_strdup_printf("POST / HTTP/1.1\r\nHost: x\r\n"
					"Content-Length: %d\r\n\r\n%s%s",
	    BODY_BYTES, body,
	    pipelines ? "POST / HTTP/1.1\r\nHost: x\r\n" : "");

	g_assert_cmpint(
	    connect(fd, (const struct sockaddr *)&f->sin, sizeof(f->sin)), ==,
	    0);
	g_assert_cmpint(send(fd, request, strlen(request), MSG_NOSIGNAL), ==,
	    (ssize_t)strlen(request));
	g_free(request);
	g_free(body);
	return fd;
}

static void
leave(int fd, enum ending ending)
{
	struct linger now = { 1, 0 };

	if (ending == ONE_SIDE) {
		shutdown(fd, SHUT_WR);
		return;
	}
	if (ending == RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
}

static int64_t
cpu_us(void)
{
	struct rusage r;

	getrusage(RUSAGE_SELF, &r);
	return (r.ru_utime.tv_sec + r.ru_stime.tv_sec) * 1000000LL +
	       r.ru_utime.tv_usec + r.ru_stime.tv_usec;
}

static unsigned
open_descriptors(void)
{
	GDir *dir = g_dir_open("/proc/self/fd", 0, NULL);
	unsigned count = 0;

	while (g_dir_read_name(dir) != NULL)
		count++;
	g_dir_close(dir);
	return count;
}

/* Returns whether the caller's end was noticed in time. */
static bool
play_caller(struct fixture *f, enum ending ending, bool pipelines)
{
	int64_t until_us = 0;
	unsigned left = f->left;
	bool awaited = f->state < ENDED_UNREAD;
	char buf[256];
	int fd;

	f->received = false;
	fd = connect_caller(f, pipelines);
	while (!f->received)
		event_base_loop(f->base, EVLOOP_ONCE);
	if (f->state == MIDWAY) {
		event_base_loop(f->base, EVLOOP_NONBLOCK);
		g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), >, 0);
	}
	leave(fd, ending);
	until_us = g_get_monotonic_time() + NOTICE_MS * 1000;
	while (awaited && f->left == left && g_get_monotonic_time() < until_us)
		run_loop(f, 1);
	run_loop(f, 1);
	if (ending == ONE_SIDE)
		close(fd);
	if (f->caller != NULL) {
		caller_abort(f->caller);
		f->caller = NULL;
		return false;
	}
	return true;
}

static void
listen_anywhere(struct fixture *f)
{
	char address[32];

	f->sin.sin_family = AF_INET;
	f->sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int port = 30000; port < 32000; port++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
		f->sin.sin_port = htons((uint16_t)port);
		if (http_server_listen(f->server, address) == 0)
			return;
	}
	g_assert_not_reached();
}

static void
play_cell(enum state state, enum ending ending, bool pipelines)
{
	struct fixture f = { .state = state };
	struct metrics *metrics = metrics_create();
	struct http_server_options opts = {
		.routes = routes, .refuse = on_refuse, .ctx = &f
	};
	unsigned noticed = 0, descriptors;
	size_t before;
	int64_t cpu;

	f.base = event_base_new();
	opts.base = f.base;
	opts.metrics = metrics;
	f.server = http_server_create(&opts);
	listen_anywhere(&f);
	(void)play_caller(&f, CLOSE, false); /* what is allocated once */
	run_loop(&f, 300);
	before = mallinfo2().uordblks;
	descriptors = open_descriptors();
	cpu = cpu_us();
	for (int i = 0; i < CALLERS; i++) {
		noticed += play_caller(&f, ending, pipelines);
		if (noticed + 3 < (unsigned)i)
			break; /* it isn't noticed */
	}
	cpu = cpu_us() - cpu;
	run_loop(&f, 600); /* closed connections are swept */
	g_test_message("%s, %s%s: %u noticed, %ld bytes, %ld us each",
	    state_names[state], ending_names[ending],
	    pipelines ? ", pipelined" : "", noticed,
	    (long)mallinfo2().uordblks - (long)before, (long)cpu / CALLERS);
	g_assert_cmpuint(noticed, ==, CALLERS);
	g_assert_cmpuint(open_descriptors(), <=, descriptors);
	g_assert_cmpuint(mallinfo2().uordblks, <, before + MEMORY_MAX);
	g_assert_cmpint(cpu, <, CALLERS * CPU_MS_MAX * 1000);
	http_server_destroy(f.server);
	event_base_free(f.base);
	metrics_destroy(metrics);
}

static void
test_state(gconstpointer state)
{
	for (int i = 0; i < ENDINGS * 2; i++)
		play_cell(GPOINTER_TO_INT(state), i / 2, i % 2 == 1);
}

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN); /* as common/process.c does */
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func(
	    "/caller/leaves/waiting", GINT_TO_POINTER(WAITING), test_state);
	g_test_add_data_func(
	    "/caller/leaves/begun", GINT_TO_POINTER(BEGUN), test_state);
	g_test_add_data_func(
	    "/caller/leaves/midway", GINT_TO_POINTER(MIDWAY), test_state);
	g_test_add_data_func(
	    "/caller/leaves/unread", GINT_TO_POINTER(UNREAD), test_state);
	g_test_add_data_func("/caller/leaves/ended_unread",
	    GINT_TO_POINTER(ENDED_UNREAD), test_state);
	g_test_add_data_func(
	    "/caller/leaves/aborting", GINT_TO_POINTER(ABORTING), test_state);
	return g_test_run();
}
