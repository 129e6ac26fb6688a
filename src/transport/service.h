/*
 * service -- interface between an agent and the plain HTTP service on its VM.
 *
 * service_http_create() implements it over HTTP.
 */
#ifndef TRANSPORT_SERVICE_H
#define TRANSPORT_SERVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event_base;
struct service_op;

enum service_status {
	SERVICE_OK, /* the service answered, with any HTTP status */
	SERVICE_NOT_SENT, /* the service received nothing */
	SERVICE_LOST, /* no answer: the service may have executed the call */
};

struct service_call {
	const char *method; /* HTTP method; an unknown one is sent as POST */
	const char *path; /* with the query */
	const char *content_type;
	const char *request_id;
	const void *body;
	size_t body_len; /* bytes */
	int64_t timeout_us;
};

/* Result of a call; valid during the callback. */
struct service_answer {
	enum service_status status;
	bool conn_lost; /* SERVICE_LOST: the service may have ended */
	/* The others are only set if SERVICE_OK. */
	int code; /* HTTP status */
	const char *content_type; /* NULL: none */
	const void *body;
	size_t body_len; /* bytes */
};

struct service_client_ops {
	/* done() runs once unless cancelled, never before this returns. */
	struct service_op *(*call)(void *priv, const struct service_call *,
	    void (*done)(void *ctx, const struct service_answer *), void *ctx);
	/* done() isn't called; the service may still execute the call. */
	void (*cancel)(void *priv, struct service_op *);
	void (*destroy)(void *priv);
};

struct service_client {
	const struct service_client_ops *ops;
	void *priv;
};

struct service_http_options {
	struct event_base *base;
	const char *address; /* IP:PORT */
	size_t max_body; /* bytes of an answer; 0: unlimited */
};

/* Returns 0, or -1 if the address is malformed or if out of memory. */
int service_http_create(
    struct service_client *, const struct service_http_options *);

#endif
