#include "transport/http_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "common/clock.h"
#include "transport/http_client_internal.h"

/* ---- calls ---- */

static const char *
method_name(enum evhttp_cmd_type method)
{
	switch (method) {
	case EVHTTP_REQ_GET:
		return "GET";
	case EVHTTP_REQ_POST:
		return "POST";
	case EVHTTP_REQ_HEAD:
		return "HEAD";
	case EVHTTP_REQ_PUT:
		return "PUT";
	case EVHTTP_REQ_DELETE:
		return "DELETE";
	case EVHTTP_REQ_OPTIONS:
		return "OPTIONS";
	case EVHTTP_REQ_TRACE:
		return "TRACE";
	case EVHTTP_REQ_CONNECT:
		return "CONNECT";
	case EVHTTP_REQ_PATCH:
		return "PATCH";
	default:
		return "GET";
	}
}

static bool
has_host_header(const struct http_header *headers)
{
	for (const struct http_header *h = headers;
	     h != NULL && h->name != NULL; h++) {
		if (strcasecmp(h->name, "Host") == 0)
			return true;
	}
	return false;
}

static bool
sends_content_length(const struct http_call_options *opts)
{
	return opts->body_len > 0 || opts->method == EVHTTP_REQ_POST ||
	       opts->method == EVHTTP_REQ_PUT ||
	       opts->method == EVHTTP_REQ_PATCH;
}

static void
write_request(struct http_client *client, struct http_client_conn *c,
    const struct http_call_options *o)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	evbuffer_add_printf(
	    out, "%s %s HTTP/1.1\r\n", method_name(o->method), o->path);
	if (!has_host_header(o->headers))
		evbuffer_add_printf(out, "Host: %s\r\n", client->host_header);
	if (o->content_type != NULL)
		evbuffer_add_printf(
		    out, "Content-Type: %s\r\n", o->content_type);
	if (o->new_connection)
		evbuffer_add_printf(out, "Connection: close\r\n");
	if (sends_content_length(o))
		evbuffer_add_printf(
		    out, "Content-Length: %zu\r\n", o->body_len);
	for (const struct http_header *h = o->headers;
	     h != NULL && h->name != NULL; h++)
		evbuffer_add_printf(out, "%s: %s\r\n", h->name, h->value);
	evbuffer_add(out, "\r\n", 2);
	if (o->body_len > 0)
		evbuffer_add(out, o->body, o->body_len);
}

static struct http_client_conn *
acquire_conn(struct http_client *client, bool new_connection)
{
	struct http_client_conn *c = TAILQ_FIRST(&client->idle);

	if (c == NULL || new_connection)
		return http_client_conn_open(client);
	TAILQ_REMOVE(&client->idle, c, link);
	TAILQ_INSERT_TAIL(&client->busy, c, link);
	client->idle_count--;
	event_del(c->timer);
	return c;
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct http_call *call = arg;
	bool connected = call->conn != NULL && call->conn->connected;

	http_call_failed(
	    call, connected ? HTTP_CALL_TIMED_OUT : HTTP_CALL_NOT_SENT);
}

static void
on_start_failed(evutil_socket_t fd, short what, void *arg)
{
	http_call_failed(arg, HTTP_CALL_NOT_SENT);
}

static int
start_call(struct http_call *call, const struct http_call_options *opts)
{
	struct http_client_conn *c = acquire_conn(
	    call->client, opts->new_connection || opts->connect_only_us > 0);

	if (c == NULL)
		return -1;
	c->call = call;
	call->conn = c;
	c->complete = false;
	c->skipped_messages = 0;
	c->skipped_bytes = 0;
	c->read_bytes = 0;
	c->body_bytes = 0;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	c->octets = (struct http_octets){ .is_answer = true };
	http_octets_begin(&c->octets);
	if (opts->connect_only_us == 0)
		write_request(call->client, c, opts);
	return 0;
}

struct http_call *
http_client_call(
    struct http_client *client, const struct http_call_options *opts)
{
	struct http_call *call = calloc(1, sizeof(*call));
	struct timeval tv = clock_timeval(opts->timeout_us);

	if (call == NULL)
		abort();
	call->client = client;
	call->new_connection = opts->new_connection;
	call->connect_only_us = opts->connect_only_us;
	call->is_head = opts->method == EVHTTP_REQ_HEAD;
	call->opts = *opts;
	call->max_body =
	    opts->max_body != 0 ? opts->max_body : client->opts.max_body;
	call->body = evbuffer_new();
	if (call->body == NULL)
		abort();
	TAILQ_INSERT_TAIL(&client->calls, call, link);
	if (start_call(call, opts) == -1) {
		call->start_failure =
		    event_new(client->opts.base, -1, 0, on_start_failed, call);
		event_active(call->start_failure, 0, 0);
		return call;
	}
	if (opts->timeout_us > 0) {
		call->timer = evtimer_new(client->opts.base, on_timeout, call);
		evtimer_add(call->timer, &tv);
	}
	return call;
}

void
http_call_cancel(struct http_call *call)
{
	if (call->ended)
		return;
	if (call->conn != NULL)
		http_client_conn_close(call->conn);
	http_call_retire(call);
}

void
http_call_pause(struct http_call *call)
{
	if (call->conn != NULL)
		bufferevent_disable(call->conn->bev, EV_READ);
}

void
http_call_resume(struct http_call *call)
{
	if (call->conn != NULL)
		bufferevent_enable(call->conn->bev, EV_READ);
}

bool
http_call_sent(const struct http_call *call)
{
	return call->conn != NULL && call->conn->connected &&
	       evbuffer_get_length(bufferevent_get_output(call->conn->bev)) ==
		   0;
}

/* ---- the client ---- */

bool
http_response_conn_lost(const struct http_response *resp)
{
	return resp->status == HTTP_CALL_FAILED && !resp->over_limit;
}

struct http_client *
http_client_create(const struct http_client_options *opts)
{
	struct http_client *client = calloc(1, sizeof(*client));

	if (client == NULL)
		return NULL;
	/* Its own limit is for all parsers of the process. */
	http_parser_set_max_header_size(UINT32_MAX);
	client->opts = *opts;
	client->opts.address = NULL;
	if (client->opts.max_body == 0)
		client->opts.max_body = HTTP_CLIENT_MAX_BODY;
	client->own_quota.max = HTTP_CLIENT_MAX_ANSWERS;
	if (client->opts.quota == NULL)
		client->opts.quota = &client->own_quota;
	TAILQ_INIT(&client->idle);
	TAILQ_INIT(&client->busy);
	TAILQ_INIT(&client->dead_conns);
	TAILQ_INIT(&client->calls);
	TAILQ_INIT(&client->dead_calls);
	client->reaper = event_new(opts->base, -1, 0, http_client_reap, client);
	if (client->reaper == NULL ||
	    addr_parse(&client->addr, opts->address) == -1) {
		http_client_destroy(client);
		return NULL;
	}
	snprintf(client->host_header, sizeof(client->host_header), "%s:%d",
	    client->addr.host, client->addr.port);
	return client;
}

void
http_client_set_max_idle(struct http_client *client, unsigned max_idle)
{
	client->opts.max_idle = max_idle;
	while (client->idle_count > max_idle)
		http_client_conn_close(
		    TAILQ_LAST(&client->idle, http_client_conn_list));
}

void
http_client_close_idle(struct http_client *client)
{
	struct http_client_conn *c, *next;

	TAILQ_FOREACH_SAFE(c, &client->idle, link, next)
		http_client_conn_close(c);
}

void
http_client_destroy(struct http_client *client)
{
	struct http_call *call, *call_next;
	struct http_client_conn *c, *conn_next;

	if (client == NULL)
		return;
	TAILQ_FOREACH_SAFE(call, &client->calls, link, call_next)
		http_call_cancel(call);
	TAILQ_FOREACH_SAFE(c, &client->busy, link, conn_next)
		http_client_conn_close(c);
	http_client_close_idle(client);
	http_client_reap(-1, 0, client);
	if (client->reaper != NULL)
		event_free(client->reaper);
	free(client);
}

unsigned
http_client_conn_count(const struct http_client *client)
{
	return client->conn_count;
}
