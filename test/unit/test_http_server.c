/*
 * The HTTP server against callers whose requests never end: a server without
 * limits of its own must close their connections with little in memory.
 */
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "common/addr.h"
#include "common/metrics.h"
#include "transport/http_server.h"

#define WRITE_BYTES 16384 /* at once */
/* More than any default limit, with what evhttp reads before it refuses. */
#define ENDLESS_BYTES (64 * 1024 * 1024)

struct endless_caller {
	struct event_base *base;
	const char *repeated;
	size_t sent;
	bool closed;
};

static void
on_written(struct bufferevent *bev, void *arg)
{
	struct endless_caller *c = arg;
	size_t len = strlen(c->repeated);

	if (c->sent >= ENDLESS_BYTES) {
		event_base_loopbreak(c->base);
		return;
	}
	for (size_t n = 0; n < WRITE_BYTES; n += len, c->sent += len)
		bufferevent_write(bev, c->repeated, len);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct endless_caller *c = arg;

	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
		return;
	c->closed = true;
	event_base_loopbreak(c->base);
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	http_reply(req, 200, "text/plain", "ok", 2);
}

static void
on_refuse(void *ctx, struct evhttp_request *req, int status)
{
	http_reply(req, status, "text/plain", "", 0);
}

static const struct http_route routes[] = {
	{ "/", EVHTTP_REQ_GET | EVHTTP_REQ_POST, on_request },
	{ 0 },
};

/* Returns how many bytes the server let the caller send. */
static size_t
send_endless(const char *begin, const char *repeated)
{
	struct endless_caller c = { .repeated = repeated };
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct http_server_options opts = { .routes = routes,
		.refuse = on_refuse };
	struct metrics *metrics = metrics_create();
	struct http_server *server;
	struct bufferevent *bev;
	char address[32];

	c.base = event_base_new();
	opts.base = c.base;
	opts.metrics = metrics;
	server = http_server_create(&opts);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int port = 20000; port < 30000; port++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
		sin.sin_port = htons((uint16_t)port);
		if (http_server_listen(server, address) == 0)
			break;
	}
	bev = bufferevent_socket_new(c.base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(bev, NULL, on_written, on_event, &c);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(bev, (struct sockaddr *)&sin, sizeof(sin));
	bufferevent_write(bev, begin, strlen(begin));
	event_base_dispatch(c.base);
	g_assert_true(c.closed);
	bufferevent_free(bev);
	http_server_destroy(server);
	event_base_free(c.base);
	metrics_destroy(metrics);
	return c.sent;
}

static void
test_endless_requests(void)
{
	g_assert_cmpuint(
	    send_endless("GET / HTTP/1.1\r\n", "A: b\r\n"), <, ENDLESS_BYTES);
	g_assert_cmpuint(
	    send_endless("GET / HTTP/1.1\r\nA: ", "b"), <, ENDLESS_BYTES);
	g_assert_cmpuint(send_endless("GET /", "x"), <, ENDLESS_BYTES);
	g_assert_cmpuint(
	    send_endless(
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"1\r\nx\r\n"),
	    <, ENDLESS_BYTES);
	g_assert_cmpuint(
	    send_endless(
		"POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", "x"),
	    <, ENDLESS_BYTES);
}

#define UPLOADS 8
#define UPLOAD_BYTES (512 * 1024) /* of a body of 1 MiB */
#define MAX_HELD (1024 * 1024)
#define SMALL_BYTES (64 * 1024)

static void
on_upload_request(void *ctx, struct evhttp_request *req)
{
	http_reply(req, 200, "text/plain", "ok", 2);
}

static int
connect_plainly(const struct sockaddr_in *sin, const char *text)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(
	    connect(fd, (const struct sockaddr *)sin, sizeof(*sin)), ==, 0);
	g_assert_cmpint((int)send(fd, text, strlen(text), 0), >, 0);
	evutil_make_socket_nonblocking(fd);
	return fd;
}

/* Returns the status line, "" while there is none; runs the server. */
static void
await_status(struct event_base *base, int fd, char *status, size_t size)
{
	ssize_t n = -1;

	for (int i = 0; i < 1000 && n <= 0; i++) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		n = recv(fd, status, size - 1, 0);
	}
	status[n > 0 ? n : 0] = '\0';
}

#define WHOLE_BYTES 100000 /* of a body */

/*
 * The last bytes of a request exceed the limit: it is served, and not refused
 * as not run as well.
 */
static void
test_whole_request_is_refused(void)
{
	static const struct http_route uploads[] = {
		{ "/", EVHTTP_REQ_POST, on_upload_request },
		{ 0 },
	};
	char *head = g_strdup_printf("POST / HTTP/1.1\r\nHost: x\r\n"
				     "Content-Length: %d\r\n\r\n",
	    WHOLE_BYTES);
	char *body = g_strnfill(WHOLE_BYTES, 'x');
	struct metrics *metrics = metrics_create();
	struct http_server_options opts = { .base = event_base_new(),
		.routes = uploads,
		.refuse = on_refuse,
		.max_held = strlen(head) + WHOLE_BYTES - 1,
		.metrics = metrics };
	struct http_server *server = http_server_create(&opts);
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char address[32], status[512];
	ssize_t done = 0;
	int fd;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int port = 23000; port < 30000; port++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
		sin.sin_port = htons((uint16_t)port);
		if (http_server_listen(server, address) == 0)
			break;
	}
	fd = connect_plainly(&sin, head);
	while (done < WHOLE_BYTES) {
		ssize_t n = send(fd, body + done, (size_t)(WHOLE_BYTES - done),
		    MSG_NOSIGNAL);

		done += n > 0 ? n : 0;
		event_base_loop(opts.base, EVLOOP_NONBLOCK);
	}
	await_status(opts.base, fd, status, sizeof(status));
	g_assert_true(g_str_has_prefix(status, "HTTP/1.1 200"));
	g_assert_null(strstr(status, "503"));
	close(fd);
	http_server_destroy(server);
	event_base_free(opts.base);
	metrics_destroy(metrics);
	g_free(head);
	g_free(body);
}

/* Guards against bodies of many callers that exhaust the memory together. */
static void
test_many_uploads_exhaust_memory(void)
{
	static const struct http_route uploads[] = {
		{ "/", EVHTTP_REQ_GET | EVHTTP_REQ_POST, on_upload_request },
		{ 0 },
	};
	struct metrics *metrics = metrics_create();
	struct http_server_options opts = { .base = event_base_new(),
		.routes = uploads,
		.refuse = on_refuse,
		.max_body = 2 * 1024 * 1024,
		.max_held = MAX_HELD,
		.metrics = metrics };
	struct http_server *server = http_server_create(&opts);
	int64_t *held = metrics_gauge(metrics, "http_held_bytes", "");
	struct sockaddr_in sin = { .sin_family = AF_INET };
	static char part[4096];
	char address[32], status[256];
	unsigned refused = 0;
	int fds[UPLOADS], small;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int port = 22000; port < 30000; port++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
		sin.sin_port = htons((uint16_t)port);
		if (http_server_listen(server, address) == 0)
			break;
	}
	for (int i = 0; i < UPLOADS; i++) {
		fds[i] =
		    connect_plainly(&sin, "POST / HTTP/1.1\r\nHost: x\r\n"
					  "Content-Length: 1048576\r\n\r\n");
		for (int n = 0; n < UPLOAD_BYTES / (int)sizeof(part); n++) {
			(void)!send(fds[i], part, sizeof(part), MSG_NOSIGNAL);
			event_base_loop(opts.base, EVLOOP_NONBLOCK);
			/* Small requests are not refused, so that each may hold
			 * one. */
			g_assert_cmpint(
			    *held, <, MAX_HELD + UPLOADS * SMALL_BYTES);
		}
	}
	for (int i = 0; i < UPLOADS; i++) {
		ssize_t n = recv(fds[i], status, sizeof(status) - 1, 0);

		refused += n == 0 || (n == -1 && errno != EAGAIN) ||
			   (n > 0 && strncmp(status, "HTTP/1.1 503", 12) == 0);
	}
	g_assert_cmpuint(refused, >, 0);
	g_assert_cmpuint(refused, <, UPLOADS);
	/* A small request is served beside them. */
	small = connect_plainly(&sin, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	await_status(opts.base, small, status, sizeof(status));
	g_assert_true(g_str_has_prefix(status, "HTTP/1.1 200"));
	close(small);
	for (int i = 0; i < UPLOADS; i++)
		close(fds[i]);
	http_server_destroy(server);
	event_base_free(opts.base);
	metrics_destroy(metrics);
}

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN); /* as common/process.c does */
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http_server/endless_requests", test_endless_requests);
	g_test_add_func("/http_server/whole_request_is_refused",
	    test_whole_request_is_refused);
	g_test_add_func("/http_server/many_uploads_exhaust_memory",
	    test_many_uploads_exhaust_memory);
	return g_test_run();
}
