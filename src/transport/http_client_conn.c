#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/number.h"
#include "transport/http_client_internal.h"
#include "transport/http_fields.h"
#include "transport/socket.h"
#include "transport/tls.h"

/*
 * How long before the server's keep-alive timeout an idle connection is closed:
 * a request sent at the same time as the server closes it would be lost.
 */
#define KEEP_ALIVE_MARGIN_US 1000000
#define KEEP_ALIVE_MAX_S 86400 /* a longer one is cut to this */
#define HEADER_VALUE_MIN 256 /* bytes allocated at first */

/* ---- connections ---- */

static void
conn_free(struct http_client_conn *c)
{
	if (c->bev != NULL)
		bufferevent_free(c->bev);
	if (c->timer != NULL)
		event_free(c->timer);
	evhttp_clear_headers(&c->headers);
	free(c->value);
	free(c);
}

void
http_client_conn_close(struct http_client_conn *c)
{
	struct http_client *client = c->client;

	if (c->dead)
		return;
	c->dead = true;
	if (c->call != NULL || !c->connected)
		TAILQ_REMOVE(&client->busy, c, link);
	else
		TAILQ_REMOVE(&client->idle, c, link);
	if (c->call == NULL && c->connected)
		client->idle_count--;
	/*
	 * An end in order could mean that no more is sent, and the server would
	 * run what it reads late.
	 */
	if (c->call != NULL && c->call->connect_only_us == 0 && c->connected &&
	    !c->complete)
		socket_reset_on_close(bufferevent_getfd(c->bev));
	if (c->call != NULL)
		c->call->conn = NULL;
	c->call = NULL;
	client->conn_count--;
	bufferevent_free(c->bev);
	c->bev = NULL;
	event_del(c->timer);
	TAILQ_INSERT_TAIL(&client->dead_conns, c, link);
	event_active(client->reaper, 0, 0);
}

void
http_quota_update(struct http_buffer_quota *quota, size_t *held, size_t now)
{
	quota->used += now - *held;
	*held = now;
}

/* Updates what the quota counts.  Returns -1 if the call must fail by it. */
static int
count_held(struct http_call *call, size_t held)
{
	struct http_buffer_quota *quota = call->client->opts.quota;

	http_quota_update(quota, &call->held, held);
	return quota->used > quota->max && held > HTTP_QUOTA_FREE ? -1 : 0;
}

static int
count_answer(struct http_client_conn *c)
{
	return count_held(c->call, evbuffer_get_length(c->call->body) +
				       c->headers_memory + c->value_size);
}

/* For a callback of the parser: fails the call by a limit of this client. */
static int
refuse_answer(struct http_client_conn *c)
{
	if (c->call != NULL)
		c->call->over_limit = true;
	return -1;
}

static void
call_free(struct http_call *call)
{
	(void)count_held(call, 0);
	if (call->timer != NULL)
		event_free(call->timer);
	if (call->start_failure != NULL)
		event_free(call->start_failure);
	if (call->opts.free_ctx != NULL)
		call->opts.free_ctx(call->opts.ctx);
	evbuffer_free(call->body);
	free(call);
}

void
http_client_reap(evutil_socket_t fd, short what, void *arg)
{
	struct http_client *client = arg;
	struct http_call *call;
	struct http_client_conn *c;

	while ((call = TAILQ_FIRST(&client->dead_calls)) != NULL) {
		TAILQ_REMOVE(&client->dead_calls, call, link);
		call_free(call);
	}
	while ((c = TAILQ_FIRST(&client->dead_conns)) != NULL) {
		TAILQ_REMOVE(&client->dead_conns, c, link);
		conn_free(c);
	}
}

void
http_call_retire(struct http_call *call)
{
	struct http_client *client = call->client;

	call->ended = true;
	if (call->timer != NULL)
		event_del(call->timer);
	TAILQ_REMOVE(&client->calls, call, link);
	TAILQ_INSERT_TAIL(&client->dead_calls, call, link);
	event_active(client->reaper, 0, 0);
}

static void
report_response(struct http_call *call, const struct http_response *resp)
{
	if (call->ended)
		return;
	http_call_retire(call);
	call->opts.free_ctx = NULL;
	call->opts.on_done(call->opts.ctx, resp);
}

void
http_call_failed(struct http_call *call, enum http_call_status status)
{
	struct http_response resp = { .status = status,
		.over_limit = call->over_limit };

	if (call->conn != NULL)
		http_client_conn_close(call->conn);
	report_response(call, &resp);
}

/* Handles a connection that was closed, timed out or sent malformed data. */
static void
conn_failed(struct http_client_conn *c)
{
	struct http_call *call = c->call;
	enum http_call_status status =
	    c->connected ? HTTP_CALL_FAILED : HTTP_CALL_NOT_SENT;

	http_client_conn_close(c);
	if (call != NULL)
		http_call_failed(call, status);
}

/*
 * Returns how long the connection may be idle: the client's limit, or less if
 * the server's Keep-Alive header says so.  0: unlimited; 1: not at all.
 */
static int64_t
keep_alive_timeout_us(const struct http_client_conn *c)
{
	struct evkeyvalq *headers = (struct evkeyvalq *)&c->headers;
	const char *value = evhttp_find_header(headers, "Keep-Alive");
	int64_t us = c->client->opts.idle_timeout_us;
	const char *at = value == NULL ? NULL : strstr(value, "timeout=");
	int64_t server_us;
	uint64_t seconds;

	if (at == NULL)
		return us;
	at += strlen("timeout=");
	(void)number_read(at, strlen(at), KEEP_ALIVE_MAX_S, &seconds);
	server_us = (int64_t)seconds * 1000000 - KEEP_ALIVE_MARGIN_US;
	if (server_us <= 0)
		return 1;
	return us == 0 || server_us < us ? server_us : us;
}

static bool
can_keep_alive(const struct http_client_conn *c)
{
	return http_should_keep_alive(&c->parser) && !c->call->new_connection &&
	       c->client->idle_count < c->client->opts.max_idle &&
	       evbuffer_get_length(bufferevent_get_input(c->bev)) == 0;
}

/* Detaches the completed call; makes the connection idle, or closes it. */
static void
conn_release(struct http_client_conn *c)
{
	struct http_client *client = c->client;
	int64_t idle_us = c->keep_alive_us;
	struct timeval tv = clock_timeval(idle_us);

	if (!can_keep_alive(c) || idle_us == 1) {
		http_client_conn_close(c);
		return;
	}
	http_call_resume(c->call);
	c->call->conn = NULL;
	c->call = NULL;
	c->complete = false;
	TAILQ_REMOVE(&client->busy, c, link);
	TAILQ_INSERT_HEAD(&client->idle, c, link);
	client->idle_count++;
	if (idle_us > 0)
		event_add(c->timer, &tv);
}

/* ---- parser callbacks; a non-zero return value stops the parser ---- */

static int
on_message_begin(http_parser *parser)
{
	struct http_client_conn *c = parser->data;

	evhttp_clear_headers(&c->headers);
	c->headers_memory = 0;
	c->in_trailer = false;
	c->discarding = false;
	c->has_value = false;
	c->name_len = 0;
	c->value_len = 0;
	return 0;
}

/* Returns -1 if the value is too long. */
static int
append_value(struct http_client_conn *c, const char *at, size_t len)
{
	size_t size = c->value_size == 0 ? HEADER_VALUE_MIN : c->value_size;

	if (c->value_len + len >= HEADER_VALUE_MAX)
		return -1;
	while (c->value_len + len >= size)
		size *= 2;
	if (size != c->value_size) {
		c->value = realloc(c->value, size);
		if (c->value == NULL)
			abort();
		c->value_size = size;
	}
	memcpy(c->value + c->value_len, at, len);
	c->value_len += len;
	c->value[c->value_len] = '\0';
	return 0;
}

static void
free_value(struct http_client_conn *c)
{
	free(c->value);
	c->value = NULL;
	c->value_size = 0;
}

/* Returns -1 if the head takes too much memory. */
static int
store_header(struct http_client_conn *c)
{
	int rc = 0;

	if (c->has_value && c->name_len > 0) {
		evhttp_add_header(&c->headers, c->name, c->value);
		c->headers_memory +=
		    HTTP_FIELD_BYTES + c->name_len + c->value_len;
	}
	if (c->headers_memory > FIELDS_MEMORY_MAX ||
	    (c->call != NULL && count_answer(c) == -1))
		rc = -1;
	c->has_value = false;
	c->name_len = 0;
	c->value_len = 0;
	return rc;
}

static int
on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct http_client_conn *c = parser->data;

	if (http_octets_in_name(at, len))
		return -1;
	if (c->in_trailer)
		return 0; /* RFC 9110, section 6.5.1, allows to drop it */
	if (c->has_value && store_header(c) == -1)
		return refuse_answer(c);
	if (c->name_len + len >= HEADER_NAME_MAX)
		return refuse_answer(c);
	memcpy(c->name + c->name_len, at, len);
	c->name_len += len;
	c->name[c->name_len] = '\0';
	return 0;
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct http_client_conn *c = parser->data;

	if (c->in_trailer)
		return 0;
	c->has_value = true;
	return append_value(c, at, len) == -1 ? refuse_answer(c) : 0;
}

/* A server could send messages that are no answer for ever. */
static int
skip_message(struct http_client_conn *c)
{
	return ++c->skipped_messages > SKIPPED_MESSAGES_MAX ? refuse_answer(c)
							    : 0;
}

/* What RFC 9112, section 6.3, lets a recipient repair is an error here. */
static bool
has_clear_length(const struct http_client_conn *c)
{
	static const char chunked[] = "chunked";
	unsigned lengths = 0, codings = 0;
	struct evkeyval *h;

	TAILQ_FOREACH(h, &c->headers, next) {
		if (strcasecmp(h->key, "Content-Length") == 0)
			lengths++;
		if (strcasecmp(h->key, "Transfer-Encoding") != 0)
			continue;
		codings++;
		if (strncasecmp(h->value, chunked, strlen(chunked)) != 0 ||
		    h->value[strlen(chunked) +
			     strspn(h->value + strlen(chunked), " \t")] != '\0')
			return false;
	}
	return lengths <= 1 && codings <= 1 && lengths + codings <= 1;
}

/* Whatever length the head states (RFC 9112, section 6.3). */
static bool
has_body(const struct http_call *call, unsigned code)
{
	return !call->is_head && code != 204 && code != 304;
}

static int
on_headers_complete(http_parser *parser)
{
	struct http_client_conn *c = parser->data;
	struct http_call *call = c->call;

	if (store_header(c) == -1)
		return refuse_answer(c);
	free_value(c);
	if (call == NULL || !has_clear_length(c))
		return -1;
	c->in_trailer = true;
	c->keep_alive_us = keep_alive_timeout_us(c);
	http_octets_head_complete(&c->octets, (parser->flags & F_CHUNKED) != 0);
	http_parser_pause(parser, 1);
	if (parser->status_code < 200)
		return skip_message(c);
	if (call->opts.on_headers != NULL &&
	    call->opts.on_headers(call->opts.ctx, parser->status_code,
		&c->headers) == HTTP_RESPONSE_DISCARD)
		c->discarding = true;
	if (c->dead || (c->discarding && skip_message(c) == -1))
		return -1;
	if (TAILQ_EMPTY(&c->headers))
		c->headers_memory = 0;
	(void)count_answer(c);
	call->code = parser->status_code;
	return has_body(call, parser->status_code) ? 0 : 1;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_client_conn *c = parser->data;
	struct http_call *call = c->call;

	c->body_bytes += len;
	if (c->discarding) {
		c->skipped_bytes += len;
		return c->skipped_bytes > call->max_body ? refuse_answer(c) : 0;
	}
	evbuffer_add(call->body, at, len);
	if (evbuffer_get_length(call->body) > call->max_body ||
	    count_answer(c) == -1)
		return refuse_answer(c);
	return 0;
}

static int
on_chunk_header(http_parser *parser)
{
	struct http_client_conn *c = parser->data;

	http_octets_chunk_header(&c->octets, parser->content_length == 0);
	http_parser_pause(parser, 1);
	return 0;
}

static int
on_chunk_complete(http_parser *parser)
{
	struct http_client_conn *c = parser->data;

	http_octets_chunk_complete(&c->octets);
	http_parser_pause(parser, 1);
	return 0;
}

static int
on_message_complete(http_parser *parser)
{
	struct http_client_conn *c = parser->data;

	if (parser->status_code < 200 || c->discarding) {
		http_octets_begin(&c->octets);
		http_parser_pause(parser, 1);
		return 0;
	}
	c->complete = true;
	/* Any bytes after the response stay unread; can_keep_alive() fails. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_chunk_header = on_chunk_header,
	.on_chunk_complete = on_chunk_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/* ---- reading ---- */

static void
deliver_body(struct http_client_conn *c)
{
	struct http_call *call = c->call;

	if (call != NULL && call->opts.on_chunk != NULL && !call->ended &&
	    evbuffer_get_length(call->body) > 0) {
		call->opts.on_chunk(call->opts.ctx, call->body);
		if (!c->dead)
			(void)count_answer(c);
	}
}

static void
conn_response_complete(struct http_client_conn *c)
{
	struct http_call *call = c->call;
	struct http_response resp = {
		.status = HTTP_CALL_OK,
		.code = call->code,
		.body = call->body,
		.ended_by_close = c->ended_by_close,
	};
	struct evkeyvalq headers;

	http_parser_pause(&c->parser, 0);
	/* The connection may be freed before on_done() reads its headers. */
	TAILQ_INIT(&headers);
	TAILQ_CONCAT(&headers, &c->headers, next);
	c->headers_memory = 0;
	resp.headers = &headers;
	conn_release(c);
	report_response(call, &resp);
	evhttp_clear_headers(&headers);
}

/* An answer that arrives slowly is not cut off: see stall_us. */
static void
restart_timeout(struct http_call *call)
{
	struct timeval tv = clock_timeval(call->opts.stall_us);

	if (call->opts.stall_us > 0 && call->timer != NULL && call->code != 0 &&
	    !call->ended)
		evtimer_add(call->timer, &tv);
}

static bool
is_over_lines(const struct http_client_conn *c)
{
	return c->read_bytes - c->body_bytes >
	       LINE_BYTES_MAX + LINE_BYTES_A_BYTE * c->body_bytes;
}

/*
 * Parses data until the answer is complete; len 0: the server has closed the
 * connection.  Adds what has been read to *used.  Returns -1 if it is malformed
 * or over a limit, or the connection was closed.
 */
static int
execute(struct http_client_conn *c, const char *data, size_t len, size_t *used)
{
	do {
		struct http_octets before = c->octets;
		size_t n = http_parser_execute(
		    &c->parser, &parser_settings, data, len);
		enum http_errno err = HTTP_PARSER_ERRNO(&c->parser);

		if (c->dead || (err != HPE_OK && err != HPE_PAUSED))
			return -1;
		if (!c->complete)
			http_parser_pause(&c->parser, 0);
		if (http_octets_read(&c->octets, &before, data, n) != NULL)
			return -1;
		c->read_bytes += n;
		if (is_over_lines(c))
			return refuse_answer(c);
		data += n;
		len -= n;
		*used += n;
	} while (len > 0 && !c->complete);
	return 0;
}

/*
 * A refusal may come before the server has the whole request; a success that
 * ends with the connection then has been cut.
 */
static bool
is_cut_by_end(const struct http_client_conn *c)
{
	return c->complete && c->call != NULL && c->call->code < 300 &&
	       !http_call_sent(c->call);
}

/* len 0: the server has closed the connection. */
static void
parse_response(struct http_client_conn *c, const char *data, size_t len)
{
	size_t used = 0;
	int rc = execute(c, data, len, &used);

	if (c->dead)
		return;
	if (len > 0)
		evbuffer_drain(bufferevent_get_input(c->bev), used);
	if (rc == -1 || (len == 0 && is_cut_by_end(c))) {
		deliver_body(c);
		if (!c->dead)
			conn_failed(c);
		return;
	}
	if (c->call != NULL)
		restart_timeout(c->call);
	deliver_body(c);
	c->ended_by_close = len == 0;
	if (!c->dead && c->complete)
		conn_response_complete(c);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct http_client_conn *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(in);

	if (c->dead || len == 0)
		return;
	if (c->call == NULL) {
		http_client_conn_close(c); /* no response is expected */
		return;
	}
	parse_response(c, (const char *)evbuffer_pullup(in, -1), len);
}

static void
on_connected(struct http_client_conn *c)
{
	int fd = bufferevent_getfd(c->bev);
	struct http_call *call = c->call;
	struct timeval tv;

	c->connected = true;
	event_del(c->timer);
	if (call != NULL && call->connect_only_us > 0) {
		tv = clock_timeval(call->connect_only_us);
		event_add(c->timer, &tv);
	}
	tls_set_nodelay(fd);
	socket_set_peer_timeout(fd, c->client->opts.peer_timeout_us);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct http_client_conn *c = arg;

	if (c->dead)
		return;
	if (what & BEV_EVENT_CONNECTED) {
		on_connected(c);
		return;
	}
	if (c->call == NULL) {
		http_client_conn_close(c);
		return;
	}
	if ((what & BEV_EVENT_EOF) && c->connected) {
		/* This completes a body without a length. */
		parse_response(c, NULL, 0);
		if (c->dead)
			return;
	}
	conn_failed(c);
}

/*
 * The connection could not be opened in time, or was idle for too long, or has
 * been kept for as long as a call wanted no more than that.
 */
static void
on_conn_timer(evutil_socket_t fd, short what, void *arg)
{
	const struct http_response kept = { .status = HTTP_CALL_OK };
	struct http_client_conn *c = arg;
	struct http_call *call = c->call;

	if (!c->connected || call == NULL) {
		conn_failed(c);
		return;
	}
	http_client_conn_close(c);
	report_response(call, &kept);
}

struct http_client_conn *
http_client_conn_open(struct http_client *client)
{
	struct http_client_conn *c = calloc(1, sizeof(*c));
	struct timeval tv = clock_timeval(client->opts.connect_timeout_us);

	if (c == NULL)
		abort();
	c->client = client;
	TAILQ_INIT(&c->headers);
	c->timer = evtimer_new(client->opts.base, on_conn_timer, c);
	c->bev = tls_bufferevent(
	    client->opts.tls, TLS_HTTP, client->opts.base, -1, true);
	if (c->timer == NULL || c->bev == NULL) {
		conn_free(c);
		return NULL;
	}
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	client->conn_count++;
	TAILQ_INSERT_TAIL(&client->busy, c, link);
	if (bufferevent_socket_connect_hostname(c->bev, NULL, AF_UNSPEC,
		client->addr.host, client->addr.port) == -1 &&
	    !c->dead)
		http_client_conn_close(c);
	if (c->dead)
		return NULL;
	if (client->opts.connect_timeout_us > 0)
		event_add(c->timer, &tv);
	return c;
}
