/*
 * http_server -- evhttp with a route table and bounded input.
 */
#ifndef TRANSPORT_HTTP_SERVER_H
#define TRANSPORT_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/http.h>
#include <event2/util.h>

#include "transport/http_conns.h"

struct event_base;
struct evhttp_request;
struct http_server;
struct http_close_watch;
struct json_t;
struct metrics;
struct tls;

#define HTTP_HEADERS_TOO_LARGE 431

struct http_route {
	const char *prefix; /* longest match wins; "/x/" also matches below */
	unsigned methods; /* EVHTTP_REQ_GET | ... */
	void (*handle)(void *ctx, struct evhttp_request *);
};

struct http_server_options {
	struct event_base *base;
	const struct http_route *routes; /* ends with a NULL prefix */
	void *ctx;
	size_t max_body;
	size_t max_headers;
	int64_t idle_timeout_us; /* for reading a request and writing answers */
	unsigned max_connections; /* 0: no bound; further ones are refused */
	struct http_conns_timeouts timeouts;
	const char *connection_refusal; /* a whole answer; NULL: none */
	struct metrics *metrics; /* for what is refused here */
	const struct tls *tls;
	/* Answers and returns false if this may not be; NULL: anybody may. */
	bool (*authorize)(void *ctx, struct evhttp_request *);
	/* Answers what no route takes: 400, 404, 405, 413, 431. */
	void (*refuse)(void *ctx, struct evhttp_request *, int http_status);
};

struct http_server *http_server_create(const struct http_server_options *);
void http_server_destroy(struct http_server *);
int http_server_listen(struct http_server *, const char *address);
void http_server_stop_listening(struct http_server *);
/* Closes kept connections whose requests are all answered. */
void http_server_close_idle(struct http_server *);
/* Also for the connections that are open. */
void http_server_set_timeouts(
    struct http_server *, const struct http_conns_timeouts *);
/*
 * The answer was written: to be called where a handler set
 * a completion callback of its own, which takes the place of the server's.
 */
void http_server_response_sent(struct http_server *, struct evhttp_request *);

/* Answers with a body of the given type. */
void http_reply(struct evhttp_request *, int code, const char *content_type,
    const void *body, size_t len);
/* Answers with a document; steals the reference. */
void http_reply_json(struct evhttp_request *, int code, struct json_t *);

/* Answers with all series of the registry, as scrapers expect them. */
void http_reply_metrics(struct evhttp_request *, const struct metrics *);

const char *http_request_header(struct evhttp_request *, const char *name);

/*
 * Calls on_disconnect() once when the caller closes the connection of a request
 * that has no answer yet.  http_close_watch_free() stops it; free it before the
 * last chunk is sent.
 */
struct http_close_watch *http_close_watch_create(struct http_server *,
    struct evhttp_request *, void (*on_disconnect)(void *ctx), void *ctx);
void http_close_watch_free(struct http_close_watch *);

#endif
