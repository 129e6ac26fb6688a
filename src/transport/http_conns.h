/*
 * http_conns -- the bound on connections of one HTTP server.
 *
 * evhttp neither counts its connections nor tells when one ends.  This table
 * remembers each descriptor with its peer: where the descriptor has another
 * peer or none, that connection is gone.
 */
#ifndef TRANSPORT_HTTP_CONNS_H
#define TRANSPORT_HTTP_CONNS_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/util.h>

struct bufferevent;
struct evconnlistener;
struct event_base;
struct http_conns;
struct metrics;

/* How long a connection may be without a whole request; 0: for ever. */
struct http_conns_timeouts {
	int64_t first_request_us; /* since it was accepted */
	int64_t next_request_us; /* since its last answer was written */
};

struct http_conns_options {
	struct event_base *base;
	struct metrics *metrics;
	unsigned max; /* 0: no bound */
	struct http_conns_timeouts timeouts;
	/* Sent to a connection over the bound; NULL: it is only closed. */
	const char *refusal;
};

struct http_conns *http_conns_create(const struct http_conns_options *);
void http_conns_destroy(struct http_conns *);

/*
 * Pauses the listener when an accept fails: with no descriptor left it would
 * fail again at once for each connection that waits.  NULL: no longer.
 */
void http_conns_set_listener(struct http_conns *, struct evconnlistener *);

/* Takes in a bufferevent that gets its descriptor before the loop goes on. */
void http_conns_add(struct http_conns *, struct bufferevent *);
/* Notes that a whole request came: it is not idle until that is answered. */
void http_conns_request_received(struct http_conns *, evutil_socket_t fd);
/* Notes that the answer was written. */
void http_conns_response_sent(struct http_conns *, evutil_socket_t fd);
/* Also for the connections that are open. */
void http_conns_set_timeouts(
    struct http_conns *, const struct http_conns_timeouts *);

/*
 * Has evhttp close the connections whose requests are all answered: it reads
 * their end.
 */
void http_conns_close_idle(struct http_conns *);

#endif
