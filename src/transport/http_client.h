/*
 * http_client -- asynchronous client of one HTTP server, with a pool of
 * keep-alive connections.
 *
 * A connection carries one call at a time.  Responses are parsed by
 * http_parser, as evhttp's client can't discard a response to an earlier call,
 * nor distinguish a body that ends with the connection from a truncated one.
 */
#ifndef TRANSPORT_HTTP_CLIENT_H
#define TRANSPORT_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/http.h>

struct evbuffer;
struct evkeyvalq;
struct event_base;
struct http_call;
struct http_client;
struct tls;

#define HTTP_CLIENT_MAX_BODY (16 * 1024 * 1024) /* bytes */
#define HTTP_CLIENT_MAX_ANSWERS (32 * 1024 * 1024) /* bytes */

/*
 * Bounds what several clients hold of all their answers together, heads and
 * bodies, in bytes, and what waits to be written to others.
 */
struct http_buffer_quota {
	size_t max; /* a call that needs more fails */
	size_t used;
};

/*
 * A call that holds no more is not failed by the quota, so that large answers
 * of others do not end calls with small ones.
 */
#define HTTP_QUOTA_FREE 65536 /* bytes */

/* Changes what the quota counts of one holder, *held, to now. */
void http_quota_update(struct http_buffer_quota *, size_t *held, size_t now);

struct http_client_options {
	struct event_base *base;
	const char *address; /* IP:PORT */
	unsigned max_idle; /* keep-alive connections */
	/*
	 * Bytes of an answer that are held at once, and that may be discarded
	 * before it; more fail the call.  0: HTTP_CLIENT_MAX_BODY.
	 */
	size_t max_body;
	/*
	 * Shared with other clients; NULL: one of HTTP_CLIENT_MAX_ANSWERS for
	 * this client.
	 */
	struct http_buffer_quota *quota;
	int64_t connect_timeout_us; /* 0: only the call's timeout applies */
	int64_t idle_timeout_us; /* of a keep-alive connection; 0: none */
	int64_t peer_timeout_us; /* see socket_set_peer_timeout(); 0: none */
	const struct tls *tls; /* NULL: plain text */
};

enum http_call_status {
	HTTP_CALL_OK,
	HTTP_CALL_NOT_SENT, /* no connection: the server received nothing */
	HTTP_CALL_FAILED, /* the server may have executed the request */
	HTTP_CALL_TIMED_OUT, /* the server may have executed the request */
};

struct http_response {
	enum http_call_status status;
	/* The others are only set if HTTP_CALL_OK. */
	int code; /* HTTP status */
	struct evkeyvalq *headers;
	struct evbuffer *body; /* what on_chunk has not drained */
	/*
	 * The body had neither a length nor chunks and ended with the
	 * connection: a sender that broke it off looks the same.
	 */
	bool ended_by_close;
	/*
	 * Only if HTTP_CALL_FAILED: the answer was over a limit of this client,
	 * so that the server has not ended.
	 */
	bool over_limit;
};

/*
 * Whether the connection was lost during the call, other than by a limit of
 * this client: the server may have ended.
 */
bool http_response_conn_lost(const struct http_response *);

enum http_response_verdict {
	HTTP_RESPONSE_ACCEPT,
	HTTP_RESPONSE_DISCARD, /* belongs to another call: wait for the next */
};

struct http_header {
	const char *name;
	const char *value;
};

struct http_call_options {
	enum evhttp_cmd_type method;
	const char *path;
	/* In addition to Host, Content-Type and Content-Length. */
	const struct http_header *headers; /* ends with a NULL name; or NULL */
	const char *content_type; /* NULL: none */
	const void *body; /* copied */
	size_t body_len;
	int64_t timeout_us; /* of the whole call; 0: none */
	/*
	 * Once the answer has begun, the call instead times out when none of it
	 * has arrived for so long, however long it takes.  0: timeout_us holds
	 * to the end.
	 */
	int64_t stall_us;
	size_t max_body; /* see http_client_options; 0: the client's */
	bool new_connection; /* don't use, nor become, an idle connection */
	/*
	 * Not 0: only opens a connection, sends nothing, and closes it after
	 * this time: HTTP_CALL_OK without anything else if the server has kept
	 * it, HTTP_CALL_FAILED if it has closed it.
	 */
	int64_t connect_only_us;
	/*
	 * Called before the body is read; NULL: any response is accepted.  May
	 * move the headers out of the list.
	 */
	enum http_response_verdict (*on_headers)(
	    void *ctx, int code, struct evkeyvalq *headers);
	/*
	 * Called when bytes of the body have arrived; drains them from the
	 * buffer.  NULL: on_done gets the complete body.
	 */
	void (*on_chunk)(void *ctx, struct evbuffer *);
	/* Called once, at the end of the call, unless that is cancelled. */
	void (*on_done)(void *ctx, const struct http_response *);
	/* Frees ctx if on_done is never called; may be NULL. */
	void (*free_ctx)(void *ctx);
	void *ctx;
};

/* Returns NULL if the address is malformed or if out of memory. */
struct http_client *http_client_create(const struct http_client_options *);
/* Cancels all calls.  Not to be called from a callback. */
void http_client_destroy(struct http_client *);

/*
 * Starts a call; no callback runs before this returns.  Sends "Host: ADDRESS"
 * unless the headers contain a Host.
 */
struct http_call *http_client_call(
    struct http_client *, const struct http_call_options *);
/*
 * Closes the call's connection.  No callback runs afterwards but free_ctx, from
 * the event loop.
 */
void http_call_cancel(struct http_call *);

/*
 * Stops reading the answer, so that the server can't send more than the kernel
 * holds, until http_call_resume().  The call's times go on, and the end of the
 * connection is not noticed meanwhile.
 */
void http_call_pause(struct http_call *);
void http_call_resume(struct http_call *);

/* Whether all bytes of the request have been passed to the kernel. */
bool http_call_sent(const struct http_call *);

/* Number of connections, those being opened included. */
unsigned http_client_conn_count(const struct http_client *);
/* Closes excess idle connections, those idle for longest first. */
void http_client_set_max_idle(struct http_client *, unsigned max_idle);
/* Closes all idle connections, as after the server has been replaced. */
void http_client_close_idle(struct http_client *);

#endif
