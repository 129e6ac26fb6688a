#include "protocol/caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "protocol/problem.h"
#include "transport/http_client.h"
#include "transport/http_fields.h"
#include "transport/http_server.h"
#include "transport/socket.h"
#include "transport/tls.h"

#define UNSENT_MAX_BYTES 65536 /* in the kernel, of one connection */

struct caller {
	struct http_server *server;
	struct evhttp_request *req; /* NULL once the connection is closed */
	struct evhttp_request *orphan; /* the same, if evhttp has left it */
	struct http_close_watch *watch;
	size_t max_backlog;
	bool response_started;
	bool response_complete; /* all of it is queued for writing */
	bool chunk_refused; /* a part of the response was left out */
	size_t *open_count; /* see caller_count_open(); NULL: not counted */
	struct evbuffer_cb_entry *output_watch; /* NULL: none */
	struct http_buffer_quota *quota; /* counts the backlog */
	size_t held; /* bytes of it that the quota counts */
	size_t high_backlog;
	bool behind; /* the backlog has exceeded high_backlog */
	void (*on_drained)(void *);
	void (*on_disconnect)(void *);
	void *ctx;
};

static void
on_watch_closed(void *ctx)
{
	struct caller *c = ctx;

	c->on_disconnect(c->ctx);
}

static struct evbuffer *
connection_output(struct evhttp_connection *evcon)
{
	return bufferevent_get_output(evhttp_connection_get_bufferevent(evcon));
}

/* To be called before the connection serves another request or is freed. */
static void
unwatch_output(struct caller *c, struct evhttp_connection *evcon)
{
	if (c->output_watch == NULL)
		return;
	evbuffer_remove_cb_entry(connection_output(evcon), c->output_watch);
	c->output_watch = NULL;
	http_quota_update(c->quota, &c->held, 0);
}

static void
caller_free(struct caller *c)
{
	http_close_watch_free(c->watch);
	if (c->open_count != NULL)
		(*c->open_count)--;
	if (c->orphan != NULL)
		evhttp_request_free(c->orphan);
	free(c);
}

/*
 * evhttp frees the requests of a connection with it.  A request whose response
 * has not ended when evhttp reads an end or an error, it takes off the
 * connection instead and leaves to its owner, who may still use its body.
 */
static void
on_conn_closed(struct evhttp_connection *evcon, void *ctx)
{
	struct caller *c = ctx;

	unwatch_output(c, evcon);
	if (evhttp_request_get_connection(c->req) == NULL)
		c->orphan = c->req;
	if (c->response_complete) {
		caller_free(c);
		return;
	}
	http_close_watch_free(c->watch);
	c->watch = NULL;
	c->req = NULL;
	c->on_disconnect(c->ctx);
}

/* Runs when the last byte of the response has been written. */
static void
on_complete(struct evhttp_request *req, void *ctx)
{
	struct evhttp_connection *evcon = evhttp_request_get_connection(req);
	struct caller *c = ctx;

	evhttp_connection_set_closecb(evcon, NULL, NULL);
	unwatch_output(c, evcon);
	http_server_response_sent(c->server, req);
	caller_free(c);
}

static evutil_socket_t
request_fd(struct evhttp_request *req)
{
	return bufferevent_getfd(evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req)));
}

/*
 * TCP_NOTSENT_LOWAT keeps the kernel from buffering megabytes for a caller that
 * doesn't read.  TCP_NODELAY sends a small chunk before the previous one is
 * acknowledged; a caller with delayed ACKs would hold it back for 40 ms.
 */
static void
set_caller_socket_options(struct evhttp_request *req)
{
	evutil_socket_t fd = request_fd(req);
	int bytes = UNSENT_MAX_BYTES;

	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof(bytes));
	tls_set_nodelay(fd);
}

struct caller *
caller_create(struct http_server *server, struct evhttp_request *req,
    size_t max_backlog, void (*on_disconnect)(void *), void *ctx)
{
	struct caller *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	c->server = server;
	c->req = req;
	c->max_backlog = max_backlog;
	c->on_disconnect = on_disconnect;
	c->ctx = ctx;
	set_caller_socket_options(req);
	c->watch = http_close_watch_create(server, req, on_watch_closed, c);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_conn_closed, c);
	return c;
}

/*
 * Detaches the caller's object before the last write: on_complete() frees it.
 * Returns NULL, with the object freed, if the connection is closed already.
 */
static struct evhttp_request *
finish_exchange(struct caller *c)
{
	struct evhttp_request *req = c->req;

	if (req == NULL) {
		caller_free(c);
		return NULL;
	}
	http_close_watch_free(c->watch);
	c->watch = NULL;
	c->response_complete = true;
	evhttp_request_set_on_complete_cb(req, on_complete, c);
	return req;
}

void
caller_count_open(struct caller *c, size_t *open_count)
{
	c->open_count = open_count;
	(*open_count)++;
}

struct evhttp_request *
caller_request(const struct caller *c)
{
	return c->req;
}

void
caller_add_header(struct caller *c, const char *name, const char *value)
{
	if (c->req != NULL)
		evhttp_add_header(
		    evhttp_request_get_output_headers(c->req), name, value);
}

void
caller_reply(struct caller *c, int code, const char *content_type,
    const void *body, size_t len)
{
	struct evhttp_request *req = finish_exchange(c);

	if (req != NULL)
		http_reply(req, code, content_type, body, len);
}

void
caller_reply_buffer(struct caller *c, int code, struct evbuffer *body)
{
	struct evhttp_request *req = finish_exchange(c);

	if (req == NULL)
		return;
	http_reply_buffer(req, code, body);
	http_fields_drop_sent(req);
}

void
caller_reply_json(struct caller *c, int code, json_t *doc)
{
	struct evhttp_request *req = finish_exchange(c);

	if (req != NULL)
		http_reply_json(req, code, doc);
	else
		json_decref(doc);
}

void
reply_problem(struct evhttp_request *req, const struct problem *p)
{
	struct problem known = *p;
	const struct result_info *info;
	json_t *doc;
	char *text, seconds[32];

	known.code = result_if_run(p->code, p->outcome != OUTCOME_NOT_RUN);
	info = result_info(known.code);
	doc = problem_to_json(&known);
	text = json_dumps(doc, JSON_COMPACT);
	if (p->retry_after_ms > 0) {
		snprintf(seconds, sizeof(seconds), "%lld",
		    (long long)(p->retry_after_ms + 999) / 1000);
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Retry-After", seconds);
	}
	http_reply(req, info->http_status, "application/problem+json", text,
	    strlen(text));
	free(text);
	json_decref(doc);
}

void
caller_reply_problem(struct caller *c, const struct problem *p)
{
	struct evhttp_request *req = finish_exchange(c);

	if (req != NULL)
		reply_problem(req, p);
}

void
caller_reply_start(struct caller *c, int code, const char *content_type)
{
	c->response_started = true;
	if (c->req == NULL)
		return;
	if (content_type != NULL)
		caller_add_header(c, "Content-Type", content_type);
	evhttp_send_reply_start(c->req, code, NULL);
	http_fields_drop_sent(c->req);
}

bool
caller_is_replying(const struct caller *c)
{
	return c->response_started;
}

static void
on_last_chunk_written(struct evhttp_connection *evcon, void *ctx)
{
	caller_abort(ctx);
}

void
caller_abort_after(struct caller *c, const void *data, size_t len)
{
	struct evbuffer *buf;

	if (c->req == NULL) {
		caller_free(c);
		return;
	}
	buf = evbuffer_new();
	if (buf == NULL)
		abort();
	c->response_complete = true;
	evbuffer_add(buf, data, len);
	evhttp_send_reply_chunk_with_cb(c->req, buf, on_last_chunk_written, c);
	evbuffer_free(buf);
}

static void
on_output_changed(
    struct evbuffer *out, const struct evbuffer_cb_info *info, void *arg)
{
	struct caller *c = arg;

	http_quota_update(c->quota, &c->held, evbuffer_get_length(out));
	if (!c->behind || evbuffer_get_length(out) >= c->high_backlog / 2)
		return;
	c->behind = false;
	if (!c->response_complete)
		c->on_drained(c->ctx);
}

void
caller_watch_backlog(struct caller *c, size_t high,
    struct http_buffer_quota *quota, void (*on_drained)(void *ctx))
{
	if (c->req == NULL)
		return;
	c->high_backlog = high;
	c->quota = quota;
	c->on_drained = on_drained;
	c->output_watch = evbuffer_add_cb(
	    connection_output(evhttp_request_get_connection(c->req)),
	    on_output_changed, c);
	if (c->output_watch == NULL)
		abort();
}

bool
caller_is_behind(const struct caller *c)
{
	return c->behind;
}

/*
 * Writes a chunk as evhttp_send_reply_chunk() does, but into the buffers that
 * the connection has: that function gives each chunk one of 1 KB or more, which
 * no count of bytes shows.
 */
static void
write_chunk(struct evhttp_request *req, struct evbuffer *out, const void *data,
    size_t len)
{
	if (req->chunked)
		evbuffer_add_printf(out, "%zx\r\n", len);
	evbuffer_add(out, data, len);
	if (req->chunked)
		evbuffer_add(out, "\r\n", 2);
}

int
caller_reply_chunk(struct caller *c, const void *data, size_t len)
{
	struct evbuffer *out;

	if (c->req == NULL || len == 0 ||
	    !http_response_has_body(
		c->req, evhttp_request_get_response_code(c->req)))
		return 0;
	out = connection_output(evhttp_request_get_connection(c->req));
	if (evbuffer_get_length(out) + len > c->max_backlog) {
		c->chunk_refused = true;
		return -1;
	}
	write_chunk(c->req, out, data, len);
	c->behind =
	    c->high_backlog > 0 && evbuffer_get_length(out) > c->high_backlog;
	return 0;
}

/* A response in parts has no chunks below HTTP/1.1. */
static bool
ends_by_close(const struct evhttp_request *req)
{
	return req->major < 1 || (req->major == 1 && req->minor < 1);
}

void
caller_abort(struct caller *c)
{
	struct evhttp_request *req = c->req;

	if (req != NULL) {
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(req), NULL, NULL);
		unwatch_output(c, evhttp_request_get_connection(req));
	}
	if (req != NULL && c->response_started && ends_by_close(req))
		socket_reset(request_fd(req));
	caller_free(c);
	if (req != NULL)
		evhttp_connection_free(evhttp_request_get_connection(req));
}

void
caller_reply_end(struct caller *c)
{
	struct evhttp_request *req;

	if (c->chunk_refused) {
		caller_abort(c);
		return;
	}
	req = finish_exchange(c);
	if (req != NULL)
		evhttp_send_reply_end(req);
}
