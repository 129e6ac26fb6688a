/*
 * http_conns -- limits number and idle time of an HTTP server's connections.
 *
 * evhttp neither counts its connections nor reports when one is closed.  So a
 * table keeps each descriptor with its peer's address, and a periodic sweep
 * removes an entry once the descriptor is closed or has another peer.
 */
#ifndef TRANSPORT_HTTP_CONNS_H
#define TRANSPORT_HTTP_CONNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/util.h>

struct bufferevent;
struct evconnlistener;
struct evhttp_request;
struct event_base;
struct http_conns;
struct metrics;

/* Time until a complete request must have arrived; 0: unlimited. */
struct http_conns_timeouts {
	int64_t first_request_us; /* since the connection was accepted */
	int64_t next_request_us; /* since its last response was written */
};

/* Whole HTTP responses to connections that are closed; NULL: only closes. */
struct http_refusals {
	const char *connection; /* over max */
	const char *memory; /* the largest, with max_held or max_heads passed */
	const char *headers; /* a head over the limit */
	const char *body;
	const char *malformed;
};

struct http_conns_options {
	struct event_base *base;
	struct metrics *metrics;
	unsigned max; /* connections; 0: unlimited */
	size_t max_body; /* bytes of a request */
	size_t max_head; /* bytes; more closes the connection at once */
	/*
	 * Memory for what was received and is not answered, of all connections,
	 * and the part of it for heads that are not complete.
	 */
	size_t max_held;
	size_t max_heads;
	struct http_conns_timeouts timeouts;
	struct http_refusals refusals;
};

struct http_conns *http_conns_create(const struct http_conns_options *);
void http_conns_destroy(struct http_conns *);

/*
 * Sets the listener to pause until the next sweep when an accept fails: without
 * free descriptors, it would fail again at once for each waiting connection.
 * NULL: none.
 */
void http_conns_set_listener(struct http_conns *, struct evconnlistener *);

/*
 * Adds a connection.  evhttp sets its descriptor after this returns, before the
 * event loop runs the next callback.
 */
void http_conns_add(struct http_conns *, struct bufferevent *);
/*
 * Returns the HTTP status with which a request that evhttp has read must be
 * refused, and its connection closed, or 0; see http_framing_check().  To be
 * called once for each request.
 */
int http_conns_check_request(
    struct http_conns *, struct evhttp_request *, const char **why);
/* Bytes of the head of the request that was checked last. */
size_t http_conns_head_bytes(const struct http_conns *, evutil_socket_t fd);
/* Sets the limits of these names, for open connections too. */
void http_conns_set_limits(
    struct http_conns *, size_t max_head, size_t max_body);
/* A complete request has arrived: no timeout applies until the response. */
void http_conns_request_received(struct http_conns *, evutil_socket_t fd);
/* The response has been written. */
void http_conns_response_sent(struct http_conns *, evutil_socket_t fd);
/* Applies to open connections too. */
void http_conns_set_timeouts(
    struct http_conns *, const struct http_conns_timeouts *);

/*
 * Closes the connections without a pending request, also in part, and without
 * bytes that have not been read.
 */
void http_conns_close_idle(struct http_conns *);
/* Whether the connection has been closed here, and evhttp may not know it. */
bool http_conns_is_shut(const struct http_conns *, evutil_socket_t fd);
/* Whether a part of a request has arrived on a connection, not all of it. */
bool http_conns_receive(const struct http_conns *);

#endif
