/*
 * Closing idle connections of a server, as a daemon does while it stops.
 *
 * Guards against a request that has reached the server's socket, in part or
 * complete, and gets no answer as its connection is closed.
 */
#include <errno.h>
#include <signal.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/metrics.h"
#include "protocol/caller.h"
#include "transport/http_server.h"

#define REPLY_US (20 * USEC_PER_MSEC)
#define REQUEST "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"

struct fixture {
	struct event_base *base;
	struct metrics *metrics;
	struct http_server *server;
	struct caller *caller; /* of the request that waits for its reply */
	struct event *reply_timer;
	int requests; /* that the server has begun */
	int disconnects; /* that it has seen */
	int fd; /* of the client */
	GString *received;
	bool closed; /* by the server */
};

static void
on_disconnect(void *ctx)
{
	struct fixture *f = ctx;

	f->disconnects++;
	event_del(f->reply_timer);
	caller_abort(f->caller);
}

static void
on_reply(evutil_socket_t fd, short what, void *arg)
{
	struct fixture *f = arg;

	caller_reply_start(f->caller, 200, "text/plain");
	(void)caller_reply_chunk(f->caller, "done", 4);
	caller_reply_end(f->caller);
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct fixture *f = ctx;
	struct timeval tv = clock_timeval(REPLY_US);

	f->requests++;
	f->caller = caller_create(f->server, req, 65536, on_disconnect, f);
	evtimer_add(f->reply_timer, &tv);
}

static void
on_refuse(void *ctx, struct evhttp_request *req, int status)
{
	g_assert_not_reached();
}

static const struct http_route routes[] = {
	{ "/", EVHTTP_REQ_POST, on_request },
	{ 0 },
};

static void
run_loop(struct fixture *f, int64_t us)
{
	struct timeval tv = clock_timeval(us);
	char buf[1024];
	ssize_t n;

	event_base_loopexit(f->base, &tv);
	event_base_dispatch(f->base);
	while ((n = recv(f->fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		g_string_append_len(f->received, buf, n);
	f->closed = n == 0 || (n < 0 && errno != EAGAIN);
}

static void
send_text(struct fixture *f, const char *text)
{
	g_assert_cmpint((int)send(f->fd, text, strlen(text), MSG_NOSIGNAL), ==,
	    (int)strlen(text));
}

static int
count_replies(const struct fixture *f)
{
	int count = 0;

	for (const char *at = f->received->str;
	     (at = strstr(at, "\r\n0\r\n\r\n")) != NULL; at++)
		count++;
	return count;
}

static void
set_up(struct fixture *f, gconstpointer data)
{
	struct http_server_options opts = {
		.routes = routes, .refuse = on_refuse, .ctx = f
	};
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char address[32];

	f->received = g_string_new(NULL);
	f->base = event_base_new();
	f->metrics = metrics_create();
	opts.base = f->base;
	opts.metrics = f->metrics;
	f->server = http_server_create(&opts);
	f->reply_timer = evtimer_new(f->base, on_reply, f);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int port = 21000; port < 30000; port++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
		sin.sin_port = htons((uint16_t)port);
		if (http_server_listen(f->server, address) == 0)
			break;
	}
	f->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(
	    connect(f->fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
	/* A connection that is kept. */
	send_text(f, REQUEST);
	run_loop(f, 4 * REPLY_US);
	g_assert_cmpint(count_replies(f), ==, 1);
	g_assert_false(f->closed);
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
	http_server_destroy(f->server);
	event_free(f->reply_timer);
	event_base_free(f->base);
	metrics_destroy(f->metrics);
	close(f->fd);
	g_string_free(f->received, TRUE);
}

static void
test_idle(struct fixture *f, gconstpointer data)
{
	http_server_close_idle(f->server);
	run_loop(f, REPLY_US);
	g_assert_true(f->closed);
}

/* The request waits in the socket while the server is busy. */
static void
test_unread_request_is_lost(struct fixture *f, gconstpointer data)
{
	send_text(f, REQUEST);
	http_server_close_idle(f->server);
	run_loop(f, 4 * REPLY_US);
	g_assert_cmpint(f->disconnects, ==, 0);
	g_assert_cmpint(count_replies(f), ==, 2);
}

/*
 * The request arrives after its connection has been found idle: it is not
 * begun, as its response would be cut off.
 */
static void
test_crossing_request_is_begun(struct fixture *f, gconstpointer data)
{
	http_server_close_idle(f->server);
	send_text(f, REQUEST);
	run_loop(f, 4 * REPLY_US);
	g_assert_true(f->closed);
	g_assert_cmpint(f->requests, ==, 1);
	g_assert_cmpint(count_replies(f), ==, 1);
}

static const size_t cuts[] = { 1, 20, 30, sizeof(REQUEST) - 3 };

/* The rest of the request is on its way; data: bytes that have arrived. */
static void
test_partial_request_is_lost(struct fixture *f, gconstpointer data)
{
	size_t cut = *(const size_t *)data;
	char *head = g_strndup(REQUEST, cut);

	send_text(f, head);
	run_loop(f, REPLY_US);
	g_assert_true(http_server_receives(f->server));
	http_server_close_idle(f->server);
	run_loop(f, REPLY_US);
	send_text(f, REQUEST + cut);
	run_loop(f, 4 * REPLY_US);
	g_assert_cmpint(count_replies(f), ==, 2);
	g_assert_false(http_server_receives(f->server));
	/* It is idle then. */
	http_server_close_idle(f->server);
	run_loop(f, REPLY_US);
	g_assert_true(f->closed);
	g_free(head);
}

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN); /* as common/process.c does */
	g_test_init(&argc, &argv, NULL);
	g_test_add("/close_idle/idle", struct fixture, NULL, set_up, test_idle,
	    tear_down);
	g_test_add("/close_idle/unread_request_is_lost", struct fixture, NULL,
	    set_up, test_unread_request_is_lost, tear_down);
	g_test_add("/close_idle/crossing_request_is_begun", struct fixture,
	    NULL, set_up, test_crossing_request_is_begun, tear_down);
	for (size_t i = 0; i < G_N_ELEMENTS(cuts); i++) {
		char *path = g_strdup_printf(
		    "/close_idle/partial_request_is_lost/%zu", cuts[i]);

		g_test_add(path, struct fixture, &cuts[i], set_up,
		    test_partial_request_is_lost, tear_down);
		g_free(path);
	}
	return g_test_run();
}
