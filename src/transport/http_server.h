/*
 * http_server -- HTTP server: evhttp with a route table, limits on requests and
 * connections, and optional TLS and authorization.
 */
#ifndef TRANSPORT_HTTP_SERVER_H
#define TRANSPORT_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/http.h>
#include <event2/util.h>

#include "transport/http_conns.h"

struct evbuffer;
struct event_base;
struct evhttp_request;
struct http_server;
struct http_close_watch;
struct json_t;
struct metrics;
struct tls;

#define HTTP_SERVER_MAX_BODY (1024 * 1024) /* bytes */
#define HTTP_SERVER_MAX_HEADERS 65536 /* bytes */
#define HTTP_SERVER_MAX_HELD (16 * 1024 * 1024) /* bytes */
#define HTTP_SERVER_MAX_HEADS (8 * 1024 * 1024) /* bytes, of open heads */
#define HTTP_HEADERS_TOO_LARGE 431 /* status that evhttp doesn't define */

struct http_route {
	/*
	 * A prefix with a final '/' matches all paths below, another one only
	 * the same path.  The longest match is used.
	 */
	const char *prefix;
	unsigned methods; /* EVHTTP_REQ_GET | ... */
	void (*handle)(void *ctx, struct evhttp_request *);
};

struct http_server_options {
	struct event_base *base;
	const struct http_route *routes; /* ends with a NULL prefix */
	void *ctx; /* of the callbacks */
	size_t max_body; /* bytes; 0: HTTP_SERVER_MAX_BODY */
	size_t max_headers; /* bytes; 0: HTTP_SERVER_MAX_HEADERS */
	/*
	 * Memory for what callers have sent and is not answered yet, of all
	 * connections.  Beyond, those that hold the most for a request which is
	 * not complete are refused with 503.
	 */
	size_t max_held; /* 0: HTTP_SERVER_MAX_HELD */
	/* Time without a byte read or written; 0: evhttp's default. */
	int64_t idle_timeout_us;
	unsigned max_connections; /* 0: unlimited; further ones are refused */
	struct http_conns_timeouts timeouts;
	/*
	 * Responses to connections without TLS that are closed; NULL: without a
	 * body.
	 */
	const struct http_refusals *refusals;
	struct metrics *metrics; /* counts open, refused and slow connections */
	const struct tls *tls; /* NULL: plain text */
	/*
	 * Returns whether the request is allowed; if not, it must have sent the
	 * response.  NULL: all are allowed.
	 */
	bool (*authorize)(void *ctx, struct evhttp_request *);
	/* Sends an error that the server detects: 400, 404, 405, 413, 431. */
	void (*refuse)(void *ctx, struct evhttp_request *, int http_status);
};

/* Copies the options, but not the routes and texts.  Returns NULL on error. */
struct http_server *http_server_create(const struct http_server_options *);
void http_server_destroy(struct http_server *);
/* Listens on IP:PORT.  Returns 0, or -1 on error. */
int http_server_listen(struct http_server *, const char *address);
void http_server_stop_listening(struct http_server *);
/*
 * Closes keep-alive connections without a pending request, or a part of one.
 */
void http_server_close_idle(struct http_server *);
/* Whether a part of a request has arrived on a connection, not all of it. */
bool http_server_receives(const struct http_server *);
/*
 * Sets the limits of these names, 0: those of the options.  Applies to open
 * connections too.
 */
void http_server_set_limits(
    struct http_server *, size_t max_headers, size_t max_body);
/* Bytes of the request's target and headers, as they were received. */
size_t http_server_head_bytes(
    const struct http_server *, struct evhttp_request *);
/* Applies to open connections too. */
void http_server_set_timeouts(
    struct http_server *, const struct http_conns_timeouts *);
/*
 * Marks a request's response as written.  To be called by a handler's own
 * completion callback, as that replaces the server's.
 */
void http_server_response_sent(struct http_server *, struct evhttp_request *);

/* Whether a response to this request has a body (RFC 9112, section 6.3). */
bool http_response_has_body(struct evhttp_request *, int code);
/* Sends a response with a body of the given type; code is the HTTP status. */
void http_reply(struct evhttp_request *, int code, const char *content_type,
    const void *body, size_t len);
/* The same without a type; drains the buffer. */
void http_reply_buffer(struct evhttp_request *, int code, struct evbuffer *);
/* Sends a JSON document, and steals the reference to it. */
void http_reply_json(struct evhttp_request *, int code, struct json_t *);

/* Sends all metrics of the registry in the Prometheus text format. */
void http_reply_metrics(struct evhttp_request *, const struct metrics *);

/* Returns the value of a header of the request; NULL: none. */
const char *http_request_header(struct evhttp_request *, const char *name);

/*
 * Calls on_disconnect() once if the caller closes or resets the connection, or
 * its side of it, while the response is pending.  To be freed before the end of
 * the response is sent.
 */
struct http_close_watch *http_close_watch_create(struct http_server *,
    struct evhttp_request *, void (*on_disconnect)(void *ctx), void *ctx);
void http_close_watch_free(struct http_close_watch *);

#endif
