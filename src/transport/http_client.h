/*
 * http_client -- calls to one HTTP server over a pool of connections.
 *
 * Each connection carries one call at a time.  Answers are parsed by
 * http_parser: evhttp cannot leave out an answer that belongs to an earlier
 * call, nor tell a body that ended with its connection from one cut short.
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

struct http_client_options {
	struct event_base *base;
	const char *address; /* IP:PORT */
	unsigned max_idle; /* kept-alive connections */
	size_t max_body; /* bytes; 0: no bound */
	int64_t connect_timeout_us; /* 0: that of the call */
	/* Closes a kept connection so long after its last use; 0: never. */
	int64_t idle_timeout_us;
	/* Ends a connection so long after its peer fell silent; 0: never. */
	int64_t peer_timeout_us;
	const struct tls *tls; /* NULL: plain text */
};

enum http_call_status {
	HTTP_CALL_OK,
	HTTP_CALL_NOT_SENT, /* no connection: the server saw nothing */
	HTTP_CALL_FAILED, /* the server may have acted */
	HTTP_CALL_TIMED_OUT,
};

struct http_response {
	enum http_call_status status;
	int code;
	struct evkeyvalq *headers; /* NULL unless HTTP_CALL_OK */
	struct evbuffer *body; /* likewise; empty if on_chunk took it */
};

enum http_response_verdict {
	HTTP_RESPONSE_ACCEPT,
	HTTP_RESPONSE_DISCARD, /* another call's late answer: wait for the next
				*/
};

struct http_header {
	const char *name;
	const char *value;
};

struct http_call_options {
	enum evhttp_cmd_type method;
	const char *path;
	const struct http_header *headers; /* ends with a NULL name; or NULL */
	const char *content_type;
	const void *body;
	size_t body_len;
	int64_t timeout_us; /* for the whole call; 0: none */
	bool new_connection; /* on a connection that nothing used before */
	/* Sees status and headers before the body; NULL: takes any answer. */
	enum http_response_verdict (*on_headers)(
	    void *ctx, int code, struct evkeyvalq *headers);
	/* Takes the answer's bytes as they come; drain the buffer. */
	void (*on_chunk)(void *ctx, struct evbuffer *);
	void (*on_done)(void *ctx, const struct http_response *);
	/* Frees ctx if on_done will never run; may be NULL. */
	void (*free_ctx)(void *ctx);
	void *ctx;
};

struct http_client *http_client_create(const struct http_client_options *);
/* Drops all calls without calling back; not from within a callback. */
void http_client_destroy(struct http_client *);

/*
 * on_done runs exactly once unless cancelled, never before this returns.  Sends
 * "Host: ADDRESS" unless the headers name another host.
 */
struct http_call *http_client_call(
    struct http_client *, const struct http_call_options *);
/* No callback runs after this but free_ctx, later.  Closes the connection. */
void http_call_cancel(struct http_call *);

/* Whether all bytes of the call have left this process. */
bool http_call_sent(const struct http_call *);

/* Connections open or being opened. */
unsigned http_client_conn_count(const struct http_client *);
/* Closes idle connections beyond the bound, the longest idle first. */
void http_client_set_max_idle(struct http_client *, unsigned max_idle);
/* Closes all idle connections, as after a change of the server there. */
void http_client_close_idle(struct http_client *);

#endif
