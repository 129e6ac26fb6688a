#include "transport/http_server.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/addr.h"
#include "common/metrics.h"
#include "transport/http_conns.h"
#include "transport/tls.h"

#define ALL_METHODS                                                            \
	(EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | \
	    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE |        \
	    EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH)

/*
 * evhttp 2.1 answers a request over its own limits with a fixed HTML page.  Its
 * limits are never reached: http_conns closes a connection first.  A request
 * that is over a limit by less than this is answered by refuse().
 */
#define HEAD_SLACK_BYTES 1024
#define EVHTTP_MAX_HEADERS (1024 * 1024 * 1024)
#define EVHTTP_BODY_FACTOR 4
/* Pages state no measure of a head to the byte. */
#define HEAD_TOLERANCE 64
/* Of further requests, while a response is pending. */
#define PIPELINED_BYTES 16384
/* How late a caller is noticed that leaves behind a pipelined request. */
#define CLOSE_POLL_US 100000

struct http_server {
	struct http_server_options opts;
	struct evhttp *evhttp;
	struct evhttp_bound_socket *listen_socket;
	struct http_conns *conns;
	uint64_t *refused_bodies;
	uint64_t *refused_headers;
	uint64_t *malformed;
	size_t max_headers; /* in force, as max_body */
	size_t max_body;
	size_t input_max; /* bytes that evhttp has not read */
};

struct http_close_watch {
	struct event *event;
	struct event *poll_timer; /* in place of it; NULL: not needed yet */
	void (*on_disconnect)(void *);
	void *ctx;
};

static bool
route_matches(const struct http_route *route, const char *path)
{
	size_t len = strlen(route->prefix);

	if (strncmp(route->prefix, path, len) != 0)
		return false;
	return path[len] == '\0' || route->prefix[len - 1] == '/';
}

static const struct http_route *
find_route(const struct http_route *routes, const char *path)
{
	const struct http_route *best = NULL;

	for (const struct http_route *r = routes; r->prefix != NULL; r++) {
		if (!route_matches(r, path))
			continue;
		if (best == NULL || strlen(r->prefix) > strlen(best->prefix))
			best = r;
	}
	return best;
}

static evutil_socket_t
request_fd(struct evhttp_request *req)
{
	return bufferevent_getfd(evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req)));
}

static void
on_complete(struct evhttp_request *req, void *server)
{
	http_server_response_sent(server, req);
}

/*
 * evhttp reads on while a response is pending; what is read of further requests
 * is then limited, so that a client that reads no response fills only the
 * socket.
 */
static void
limit_input(
    struct http_server *server, struct evhttp_request *req, bool pending)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req));

	bufferevent_setwatermark(
	    bev, EV_READ, 0, pending ? PIPELINED_BYTES : server->input_max);
}

static void
track_request(struct http_server *server, struct evhttp_request *req)
{
	limit_input(server, req, true);
	http_conns_request_received(server->conns, request_fd(req));
	evhttp_request_set_on_complete_cb(req, on_complete, server);
}

/* Returns the HTTP status for a request that exceeds a limit, or 0. */
static int
find_exceeded_limit(struct http_server *server, struct evhttp_request *req)
{
	const struct http_server_options *opts = &server->opts;

	if (http_server_head_bytes(server, req) >
	    server->max_headers + HEAD_TOLERANCE) {
		(*server->refused_headers)++;
		return HTTP_HEADERS_TOO_LARGE;
	}
	if (evbuffer_get_length(evhttp_request_get_input_buffer(req)) >
	    opts->max_body) {
		(*server->refused_bodies)++;
		return HTTP_ENTITYTOOLARGE;
	}
	return 0;
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct http_server *server = arg;
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = uri == NULL ? NULL : evhttp_uri_get_path(uri);
	const struct http_route *route;
	const char *why = NULL;
	int fault = http_conns_check_request(server->conns, req, &why);
	int status = find_exceeded_limit(server, req);

	track_request(server, req);
	if (fault != 0) {
		/* What follows on the connection may be a part of its body. */
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Connection", "close");
		(*server->malformed)++;
	}
	if (status == 0)
		status = fault;
	if (http_conns_is_shut(server->conns, request_fd(req))) {
		/* It has crossed the close: the caller sees that instead. */
		http_reply(req, HTTP_SERVUNAVAIL, "text/plain", "", 0);
		return;
	}
	if (status != 0) {
		server->opts.refuse(server->opts.ctx, req, status);
		return;
	}
	if (path == NULL) {
		server->opts.refuse(server->opts.ctx, req, HTTP_BADREQUEST);
		return;
	}
	route = find_route(server->opts.routes, path);
	if (route == NULL)
		server->opts.refuse(server->opts.ctx, req, HTTP_NOTFOUND);
	else if (!(route->methods & evhttp_request_get_command(req)))
		server->opts.refuse(server->opts.ctx, req, HTTP_BADMETHOD);
	else if (server->opts.authorize == NULL ||
		 server->opts.authorize(server->opts.ctx, req))
		route->handle(server->opts.ctx, req);
}

static struct bufferevent *
create_bufferevent(struct event_base *base, void *arg)
{
	struct http_server *server = arg;
	struct bufferevent *bev =
	    tls_bufferevent(server->opts.tls, TLS_HTTP, base, -1, false);

	/* evhttp reads on while a response is pending. */
	if (bev != NULL)
		bufferevent_setwatermark(bev, EV_READ, 0, server->input_max);
	http_conns_add(server->conns, bev);
	return bev;
}

/* Not run, and but for the memory not to be repeated as they are. */
static const struct http_refusals bare_refusals = {
	.memory = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
		  "Retry-After: 1\r\nContent-Length: 0\r\n\r\n",
	.headers = "HTTP/1.1 431 Request Header Fields Too Large\r\n"
		   "Connection: close\r\nContent-Length: 0\r\n\r\n",
	.body = "HTTP/1.1 413 Content Too Large\r\n"
		"Connection: close\r\nContent-Length: 0\r\n\r\n",
	.malformed = "HTTP/1.1 400 Bad Request\r\n"
		     "Connection: close\r\nContent-Length: 0\r\n\r\n",
};

static int
create_conns(struct http_server *server)
{
	const struct http_server_options *opts = &server->opts;
	struct http_conns_options conns = {
		.base = opts->base,
		.metrics = opts->metrics,
		.max = opts->max_connections,
		.max_body = opts->max_body,
		.max_head = opts->max_headers + HEAD_SLACK_BYTES,
		.max_held = opts->max_held,
		.max_heads = HTTP_SERVER_MAX_HEADS,
		.timeouts = opts->timeouts,
		.refusals = opts->tls != NULL ? (struct http_refusals){ 0 }
			    : opts->refusals != NULL ? *opts->refusals
						     : bare_refusals,
	};

	server->refused_bodies = metrics_counter(
	    opts->metrics, "http_refused_requests_total", "limit=\"body\"");
	server->refused_headers = metrics_counter(
	    opts->metrics, "http_refused_requests_total", "limit=\"headers\"");
	server->malformed = metrics_counter(
	    opts->metrics, "http_refused_requests_total", "limit=\"framing\"");
	server->conns = http_conns_create(&conns);
	return server->conns == NULL ? -1 : 0;
}

struct http_server *
http_server_create(const struct http_server_options *opts)
{
	struct http_server *server = calloc(1, sizeof(*server));
	struct timeval tv = clock_timeval(opts->idle_timeout_us);

	if (server == NULL)
		return NULL;
	server->opts = *opts;
	if (opts->max_body == 0)
		server->opts.max_body = HTTP_SERVER_MAX_BODY;
	if (opts->max_headers == 0)
		server->opts.max_headers = HTTP_SERVER_MAX_HEADERS;
	if (opts->max_held == 0)
		server->opts.max_held = HTTP_SERVER_MAX_HELD;
	server->max_headers = server->opts.max_headers;
	server->max_body = server->opts.max_body;
	server->input_max = EVHTTP_BODY_FACTOR * server->opts.max_body +
			    HEAD_SLACK_BYTES + server->opts.max_headers;
	server->evhttp = evhttp_new(opts->base);
	if (server->evhttp == NULL || create_conns(server) == -1) {
		http_server_destroy(server);
		return NULL;
	}
	evhttp_set_allowed_methods(server->evhttp, ALL_METHODS);
	evhttp_set_default_content_type(server->evhttp, NULL);
	evhttp_set_gencb(server->evhttp, on_request, server);
	evhttp_set_bevcb(server->evhttp, create_bufferevent, server);
	evhttp_set_max_body_size(server->evhttp,
	    (ev_ssize_t)server->opts.max_body * EVHTTP_BODY_FACTOR);
	evhttp_set_max_headers_size(server->evhttp, EVHTTP_MAX_HEADERS);
	if (opts->idle_timeout_us != 0)
		evhttp_set_timeout_tv(server->evhttp, &tv);
	return server;
}

void
http_server_destroy(struct http_server *server)
{
	if (server == NULL)
		return;
	if (server->evhttp != NULL)
		evhttp_free(server->evhttp);
	http_conns_destroy(server->conns);
	free(server);
}

int
http_server_listen(struct http_server *server, const char *address)
{
	struct addr addr;

	if (addr_parse(&addr, address) == -1)
		return -1;
	server->listen_socket = evhttp_bind_socket_with_handle(
	    server->evhttp, addr.host, addr.port);
	if (server->listen_socket == NULL)
		return -1;
	http_conns_set_listener(server->conns,
	    evhttp_bound_socket_get_listener(server->listen_socket));
	return 0;
}

void
http_server_stop_listening(struct http_server *server)
{
	http_conns_set_listener(server->conns, NULL);
	if (server->listen_socket != NULL)
		evhttp_del_accept_socket(server->evhttp, server->listen_socket);
	server->listen_socket = NULL;
}

void
http_server_close_idle(struct http_server *server)
{
	http_conns_close_idle(server->conns);
}

bool
http_server_receives(const struct http_server *server)
{
	return http_conns_receive(server->conns);
}

void
http_server_set_timeouts(
    struct http_server *server, const struct http_conns_timeouts *timeouts)
{
	http_conns_set_timeouts(server->conns, timeouts);
}

void
http_server_set_limits(
    struct http_server *server, size_t max_headers, size_t max_body)
{
	const struct http_server_options *opts = &server->opts;

	server->max_headers =
	    max_headers == 0 ? opts->max_headers : max_headers;
	server->max_body = max_body == 0 || max_body > opts->max_body
			       ? opts->max_body
			       : max_body;
	http_conns_set_limits(server->conns,
	    server->max_headers + HEAD_SLACK_BYTES, opts->max_body);
}

size_t
http_server_head_bytes(
    const struct http_server *server, struct evhttp_request *req)
{
	return http_conns_head_bytes(server->conns, request_fd(req));
}

void
http_server_response_sent(
    struct http_server *server, struct evhttp_request *req)
{
	limit_input(server, req, false);
	http_conns_response_sent(server->conns, request_fd(req));
}

bool
http_response_has_body(struct evhttp_request *req, int code)
{
	return evhttp_request_get_command(req) != EVHTTP_REQ_HEAD &&
	       code >= 200 && code != HTTP_NOCONTENT &&
	       code != HTTP_NOTMODIFIED;
}

void
http_reply_buffer(struct evhttp_request *req, int code, struct evbuffer *body)
{
	bool has_body = http_response_has_body(req, code);

	/* evhttp would write it behind the head, as the next response. */
	evhttp_send_reply(req, code, NULL, has_body ? body : NULL);
}

void
http_reply(struct evhttp_request *req, int code, const char *content_type,
    const void *body, size_t len)
{
	struct evbuffer *out = evbuffer_new();

	if (out == NULL)
		abort();
	evbuffer_add(out, body, len);
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", content_type);
	http_reply_buffer(req, code, out);
	evbuffer_free(out);
}

void
http_reply_json(struct evhttp_request *req, int code, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	if (text == NULL)
		abort();
	http_reply(req, code, "application/json", text, strlen(text));
	free(text);
	json_decref(doc);
}

void
http_reply_metrics(struct evhttp_request *req, const struct metrics *metrics)
{
	struct evbuffer *out = evbuffer_new();

	if (out == NULL)
		abort();
	metrics_render(metrics, out);
	http_reply(req, 200, "text/plain; version=0.0.4",
	    evbuffer_pullup(out, -1), evbuffer_get_length(out));
	evbuffer_free(out);
}

const char *
http_request_header(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

static void
end_watch(struct http_close_watch *watch)
{
	event_del(watch->event);
	if (watch->poll_timer != NULL)
		event_del(watch->poll_timer);
	watch->on_disconnect(watch->ctx);
}

static void
on_poll_timer(evutil_socket_t fd, short what, void *arg)
{
	struct http_close_watch *watch = arg;
	struct timeval tv = { 0, CLOSE_POLL_US };
	struct pollfd pfd = { .fd = event_get_fd(watch->event),
		.events = POLLRDHUP };

	if (poll(&pfd, 1, 0) == 1)
		end_watch(watch);
	else
		event_add(watch->poll_timer, &tv);
}

/*
 * The event would be active again for as long as bytes of a pipelined request
 * are unread, and without EV_READ for as long as a reset is.
 */
static void
watch_by_timer(struct http_close_watch *watch)
{
	struct timeval tv = { 0, CLOSE_POLL_US };

	event_del(watch->event);
	watch->poll_timer =
	    evtimer_new(event_get_base(watch->event), on_poll_timer, watch);
	if (watch->poll_timer == NULL)
		abort();
	event_add(watch->poll_timer, &tv);
}

static void
on_readable(evutil_socket_t fd, short what, void *arg)
{
	struct http_close_watch *watch = arg;
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if ((what & EV_CLOSED) || n == 0 || (n == -1 && errno != EAGAIN))
		end_watch(watch);
	else if (n == 1)
		watch_by_timer(watch);
}

/*
 * evhttp stops reading until a response begins, and thus doesn't notice that
 * the connection is closed.  An end in order is EV_CLOSED, a reset is EV_READ;
 * neither is read, so pipelined requests stay in the socket's buffer.
 */
struct http_close_watch *
http_close_watch_create(struct http_server *server, struct evhttp_request *req,
    void (*on_disconnect)(void *), void *ctx)
{
	struct evhttp_connection *evcon = evhttp_request_get_connection(req);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(evcon);
	struct http_close_watch *watch = calloc(1, sizeof(*watch));

	if (watch == NULL)
		abort();
	watch->on_disconnect = on_disconnect;
	watch->ctx = ctx;
	watch->event = event_new(server->opts.base, bufferevent_getfd(bev),
	    EV_CLOSED | EV_READ | EV_PERSIST, on_readable, watch);
	if (watch->event == NULL)
		abort();
	event_add(watch->event, NULL);
	return watch;
}

void
http_close_watch_free(struct http_close_watch *watch)
{
	if (watch == NULL)
		return;
	if (watch->poll_timer != NULL)
		event_free(watch->poll_timer);
	event_free(watch->event);
	free(watch);
}
