/*
 * Responses to a caller over a real connection.
 *
 * Guards against an incomplete response that looks complete to the caller, and
 * against a response in small chunks that takes many times the memory of its
 * bytes while its caller does not read.
 */
#include <malloc.h>
#include <signal.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "common/metrics.h"
#include "protocol/caller.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#define BACKLOG 1024 /* bytes */
#define LARGE_BACKLOG (1024 * 1024)

struct fixture {
	struct event_base *base;
	struct http_server *server;
	GString *received;
	struct http_buffer_quota quota;
};

static void
on_disconnect(void *ctx)
{
	g_assert_not_reached();
}

static void
on_refuse(void *ctx, struct evhttp_request *req, int status)
{
	g_assert_not_reached();
}

/* Sends a chunk, one that exceeds the backlog, and the end. */
static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct fixture *f = ctx;
	struct caller *c =
	    caller_create(f->server, req, BACKLOG, on_disconnect, NULL);
	char large[BACKLOG + 1] = { 0 };

	caller_reply_start(c, 200, "text/plain");
	g_assert_cmpint(caller_reply_chunk(c, "first", 5), ==, 0);
	g_assert_cmpint(caller_reply_chunk(c, large, sizeof(large)), ==, -1);
	caller_reply_end(c);
}

/* The caller gets no chance to read meanwhile. */
static void
on_small_chunks(void *ctx, struct evhttp_request *req)
{
	struct fixture *f = ctx;
	struct caller *c =
	    caller_create(f->server, req, LARGE_BACKLOG, on_disconnect, NULL);
	size_t before = mallinfo2().uordblks;

	caller_reply_start(c, 200, "text/plain");
	while (caller_reply_chunk(c, "\n", 1) == 0) {
	}
	g_assert_cmpuint(mallinfo2().uordblks, <, before + 2 * LARGE_BACKLOG);
	caller_reply_end(c);
}

static void
on_drained(void *ctx)
{
}

/* A whole response that waits for its caller is counted until it is written. */
static void
on_large(void *ctx, struct evhttp_request *req)
{
	struct fixture *f = ctx;
	struct caller *c =
	    caller_create(f->server, req, BACKLOG, on_disconnect, NULL);
	char *text = g_strnfill(LARGE_BACKLOG, 'x');

	caller_watch_backlog(c, BACKLOG, &f->quota, on_drained);
	caller_reply(c, 200, "text/plain", text, LARGE_BACKLOG);
	g_assert_cmpuint(f->quota.used, >=, LARGE_BACKLOG);
	g_free(text);
}

static const struct http_route routes[] = {
	{ "/", EVHTTP_REQ_GET, on_request },
	{ "/small", EVHTTP_REQ_GET, on_small_chunks },
	{ "/large", EVHTTP_REQ_GET, on_large },
	{ 0 },
};

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct fixture *f = arg;
	char buf[256];
	size_t n;

	while ((n = bufferevent_read(bev, buf, sizeof(buf))) > 0)
		g_string_append_len(f->received, buf, (gssize)n);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct fixture *f = arg;

	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		event_base_loopbreak(f->base);
}

static struct sockaddr_in
listen_anywhere(struct http_server *server)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char address[32];

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int port = 20000; port < 30000; port++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
		sin.sin_port = htons((uint16_t)port);
		if (http_server_listen(server, address) == 0)
			break;
	}
	return sin;
}

/* Makes a request; returns what the caller has received at its end. */
static GString *
receive(const char *path)
{
	struct fixture f = { .received = g_string_new(NULL) };
	struct metrics *metrics = metrics_create();
	struct http_server_options opts = {
		.routes = routes, .refuse = on_refuse, .ctx = &f
	};
	char *request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: x\r\n"
					"Connection: close\r\n\r\n",
	    path);
	struct sockaddr_in sin;
	struct bufferevent *bev;

	f.base = event_base_new();
	opts.base = f.base;
	opts.metrics = metrics;
	f.server = http_server_create(&opts);
	sin = listen_anywhere(f.server);
	bev = bufferevent_socket_new(f.base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(bev, on_read, NULL, on_event, &f);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(bev, (struct sockaddr *)&sin, sizeof(sin));
	bufferevent_write(bev, request, strlen(request));
	event_base_dispatch(f.base);
	bufferevent_free(bev);
	http_server_destroy(f.server);
	event_base_free(f.base);
	metrics_destroy(metrics);
	g_assert_cmpuint(f.quota.used, ==, 0);
	g_free(request);
	return f.received;
}

static void
test_refused_chunk_ends_as_complete(void)
{
	GString *received = receive("/");

	/* The end of a body in chunks. */
	g_assert_null(strstr(received->str, "\r\n0\r\n\r\n"));
	g_string_free(received, TRUE);
}

static void
test_small_chunks_exhaust_memory(void)
{
	g_string_free(receive("/small"), TRUE);
}

static void
test_unread_response_is_uncounted(void)
{
	GString *received = receive("/large");

	g_assert_cmpuint(received->len, >, LARGE_BACKLOG);
	g_string_free(received, TRUE);
}

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN); /* as common/process.c does */
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/caller/refused_chunk_ends_as_complete",
	    test_refused_chunk_ends_as_complete);
	g_test_add_func("/caller/small_chunks_exhaust_memory",
	    test_small_chunks_exhaust_memory);
	g_test_add_func("/caller/unread_response_is_uncounted",
	    test_unread_response_is_uncounted);
	return g_test_run();
}
