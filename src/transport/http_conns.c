#include "transport/http_conns.h"

#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <uthash.h>

#include "common/metrics.h"
#include "transport/http_fields.h"
#include "transport/http_framing.h"

/* A request of no more bytes isn't refused for what others hold. */
#define HELD_FREE_BYTES 65536
#define HEAD_FREE_BYTES 8192 /* the same of a head */
#define STATUS_HEADERS_TOO_LARGE 431
#define SWEEP_INTERVAL_US 250000 /* greatest delay of a time-out */

struct conn {
	int fd;
	struct sockaddr_storage peer;
	struct timeval idle_since; /* accept, or end of the last response */
	bool had_request; /* a complete request has arrived */
	bool in_request; /* its response is pending */
	bool received; /* bytes of the next request have arrived */
	size_t buffered; /* bytes that evhttp has not parsed yet */
	struct evbuffer *input; /* a key only: it may have been freed */
	struct http_framing *framing;
	struct bufferevent *bev; /* valid while its input changes */
	size_t held; /* memory, of what came since the last response */
	size_t fields; /* read before the last response */
	size_t head; /* the part of held for a head that is not complete */
	bool refused; /* as all connections hold too much */
	bool shut; /* its reading side, by http_conns */
	UT_hash_handle hh;
	UT_hash_handle hh_input;
};

struct http_conns {
	struct http_conns_options opts;
	struct http_framing_limits limits;
	struct conn *conns; /* by descriptor */
	struct conn *by_input;
	struct bufferevent **unregistered; /* their descriptor isn't set yet */
	size_t unregistered_count;
	size_t unregistered_size;
	struct event *register_event;
	struct event *sweep_timer;
	struct evconnlistener *listener;
	/* Metrics. */
	int64_t *open_conns;
	int64_t *held; /* bytes, of all connections */
	int64_t *heads;
	uint64_t *overruns;
	uint64_t *over_limit;
	uint64_t *refused_held;
	uint64_t *timed_out;
};

static bool
conn_is_open(const struct conn *conn)
{
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);

	memset(&peer, 0, sizeof(peer));
	return getpeername(conn->fd, (struct sockaddr *)&peer, &len) == 0 &&
	       memcmp(&peer, &conn->peer, sizeof(peer)) == 0;
}

static struct conn *
find_by_input(struct http_conns *c, struct evbuffer *input)
{
	struct conn *conn;

	HASH_FIND(hh_input, c->by_input, &input, sizeof(input), conn);
	return conn;
}

#define EXTENTS_MAX 16

/* Passes the last len bytes of the buffer on. */
static void
read_framing(struct conn *conn, struct evbuffer *in, size_t len)
{
	struct evbuffer_iovec extents[EXTENTS_MAX];
	struct evbuffer_ptr at;

	while (len > 0) {
		int count;

		evbuffer_ptr_set(
		    in, &at, evbuffer_get_length(in) - len, EVBUFFER_PTR_SET);
		count = evbuffer_peek(
		    in, (ev_ssize_t)len, &at, extents, EXTENTS_MAX);
		for (int i = 0; i < count && i < EXTENTS_MAX && len > 0; i++) {
			size_t part =
			    extents[i].iov_len < len ? extents[i].iov_len : len;

			http_framing_read(
			    conn->framing, extents[i].iov_base, part);
			len -= part;
		}
	}
}

static void
set_held(struct http_conns *c, struct conn *conn, size_t held, size_t head)
{
	*c->held += (int64_t)held - (int64_t)conn->held;
	*c->heads += (int64_t)head - (int64_t)conn->head;
	conn->held = held;
	conn->head = head;
}

/* Closes the connection, as what it sends passes a limit. */
static void
refuse_conn(struct http_conns *c, struct conn *conn, const char *text)
{
	conn->refused = true;
	if (text != NULL)
		(void)send(
		    conn->fd, text, strlen(text), MSG_NOSIGNAL | MSG_DONTWAIT);
	/* evhttp frees the connection, but not while its input changes. */
	bufferevent_trigger_event(conn->bev, BEV_EVENT_READING | BEV_EVENT_EOF,
	    BEV_TRIG_DEFER_CALLBACKS);
}

static void
refuse_overrun(struct http_conns *c, struct conn *conn)
{
	int status = http_framing_overrun(conn->framing);

	if (status == 0 || conn->refused || conn->in_request)
		return;
	(*c->overruns)++;
	refuse_conn(c, conn,
	    status == STATUS_HEADERS_TOO_LARGE ? c->opts.refusals.headers
	    : status == HTTP_ENTITYTOOLARGE    ? c->opts.refusals.body
					       : c->opts.refusals.malformed);
}

/*
 * Refuses a request that is being read; one that is whole is served.  While a
 * response is pending, what is received waits within the limit of one
 * connection.
 */
static bool
may_refuse(const struct conn *conn)
{
	return !conn->in_request && !conn->refused && !conn->shut &&
	       !http_framing_has_request(conn->framing) && conn_is_open(conn);
}

/* The connection that holds the most memory for a request not complete. */
static struct conn *
find_largest(struct http_conns *c, bool head, size_t least)
{
	struct conn *conn, *largest = NULL;

	for (conn = c->conns; conn != NULL; conn = conn->hh.next) {
		size_t size = head ? conn->head : conn->held;

		if (size <= least || !may_refuse(conn))
			continue;
		least = size;
		largest = conn;
	}
	return largest;
}

/* The largest go first, so that ordinary callers are served. */
static void
refuse_held(struct http_conns *c)
{
	bool heads =
	    c->opts.max_heads != 0 && (size_t)*c->heads > c->opts.max_heads;
	bool all = c->opts.max_held != 0 && (size_t)*c->held > c->opts.max_held;
	struct conn *conn = NULL;

	if (heads)
		conn = find_largest(c, true, HEAD_FREE_BYTES);
	else if (all)
		conn = find_largest(c, false, HELD_FREE_BYTES);
	if (conn == NULL)
		return;
	(*c->refused_held)++;
	set_held(c, conn, 0, 0);
	refuse_conn(c, conn, c->opts.refusals.memory);
}

/* More bytes have come.  A whole request is no longer an open head. */
static void
measure(struct http_conns *c, struct conn *conn, size_t added)
{
	size_t fields = http_framing_fields(conn->framing);
	size_t held =
	    conn->held + added + (fields - conn->fields) * HTTP_FIELD_BYTES;

	conn->fields = fields;
	set_held(c, conn, held,
	    http_framing_in_head(conn->framing) && !conn->in_request ? held
								     : 0);
}

/* Runs for each change of an input buffer; the connection may be removed. */
static void
on_input(struct evbuffer *in, const struct evbuffer_cb_info *info, void *arg)
{
	struct http_conns *c = arg;
	struct conn *conn = find_by_input(c, in);

	if (conn == NULL)
		return;
	conn->buffered = info->orig_size + info->n_added - info->n_deleted;
	if (info->n_added == 0)
		return;
	conn->received = true;
	read_framing(conn, in, info->n_added);
	if (conn->refused)
		return;
	measure(c, conn, info->n_added);
	refuse_overrun(c, conn);
	refuse_held(c);
}

static void
unwatch_input(struct http_conns *c, struct conn *conn)
{
	if (conn->input != NULL)
		HASH_DELETE(hh_input, c->by_input, conn);
	conn->input = NULL;
}

static void
watch_input(struct http_conns *c, struct conn *conn, struct evbuffer *input)
{
	struct conn *former = find_by_input(c, input);

	if (former != NULL)
		unwatch_input(c, former);
	conn->input = input;
	conn->buffered = evbuffer_get_length(input);
	conn->received = conn->buffered > 0;
	read_framing(conn, input, conn->buffered);
	HASH_ADD(hh_input, c->by_input, input, sizeof(input), conn);
	(void)evbuffer_add_cb(input, on_input, c);
}

static void
conn_remove(struct http_conns *c, struct conn *conn)
{
	unwatch_input(c, conn);
	set_held(c, conn, 0, 0);
	HASH_DEL(c->conns, conn);
	http_framing_destroy(conn->framing);
	free(conn);
	*c->open_conns = (int64_t)HASH_COUNT(c->conns);
}

static bool
conn_has_unread(const struct conn *conn)
{
	char byte;

	return recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
}

/* Whether a request, or a part of one, has arrived without its response. */
static bool
conn_has_request(const struct conn *conn)
{
	return conn->in_request || conn->received || conn_has_unread(conn);
}

/*
 * evhttp reads an end of file and frees its object.  Both sides are shut down:
 * a request that arrives from now on could be read, but evhttp would end its
 * response at the end of file.
 */
static void
conn_close(struct conn *conn)
{
	conn->shut = true;
	(void)shutdown(conn->fd, SHUT_RDWR);
}

static bool
conn_is_timed_out(const struct http_conns *c, const struct conn *conn)
{
	int64_t wait_us = conn->had_request ? c->opts.timeouts.next_request_us
					    : c->opts.timeouts.first_request_us;
	struct timeval now, age;

	if (conn->in_request || conn->shut || wait_us == 0)
		return false;
	event_base_gettimeofday_cached(c->opts.base, &now);
	evutil_timersub(&now, &conn->idle_since, &age);
	return age.tv_sec * 1000000LL + age.tv_usec > wait_us;
}

/* Removes closed connections, and closes those that have timed out. */
static void
sweep_conns(struct http_conns *c)
{
	struct conn *conn, *next;

	HASH_ITER(hh, c->conns, conn, next) {
		if (!conn_is_open(conn)) {
			conn_remove(c, conn);
		} else if (conn_is_timed_out(c, conn) &&
			   !conn_has_unread(conn)) {
			(*c->timed_out)++;
			conn_close(conn);
		}
	}
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct http_conns *c = arg;
	struct timeval tv = { 0, SWEEP_INTERVAL_US };

	sweep_conns(c);
	if (c->listener != NULL)
		evconnlistener_enable(c->listener);
	evtimer_add(c->sweep_timer, &tv);
}

static void
on_accept_error(struct evconnlistener *listener, void *arg)
{
	evconnlistener_disable(listener); /* until the next sweep */
}

void
http_conns_set_listener(struct http_conns *c, struct evconnlistener *listener)
{
	c->listener = listener;
	if (listener != NULL)
		evconnlistener_set_error_cb(listener, on_accept_error);
}

static void
conn_refuse(struct http_conns *c, struct bufferevent *bev)
{
	const char *text = c->opts.refusals.connection;

	(*c->over_limit)++;
	if (text != NULL)
		(void)send(bufferevent_getfd(bev), text, strlen(text),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
	/* Makes evhttp free the connection before it reads a request. */
	bufferevent_trigger_event(bev, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
}

static void
register_conn(struct http_conns *c, struct bufferevent *bev)
{
	struct conn *conn;
	socklen_t len = sizeof(conn->peer);
	int fd = bufferevent_getfd(bev);

	HASH_FIND_INT(c->conns, &fd, conn);
	if (conn != NULL)
		conn_remove(c, conn);
	if (c->opts.max != 0 && HASH_COUNT(c->conns) >= c->opts.max) {
		conn_refuse(c, bev);
		return;
	}
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		abort();
	conn->fd = fd;
	conn->bev = bev;
	conn->framing = http_framing_create(&c->limits);
	watch_input(c, conn, bufferevent_get_input(bev));
	(void)getpeername(fd, (struct sockaddr *)&conn->peer, &len);
	event_base_gettimeofday_cached(c->opts.base, &conn->idle_since);
	HASH_ADD_INT(c->conns, fd, conn);
	*c->open_conns = (int64_t)HASH_COUNT(c->conns);
}

static void
on_register(evutil_socket_t fd, short what, void *arg)
{
	struct http_conns *c = arg;

	for (size_t i = 0; i < c->unregistered_count; i++)
		register_conn(c, c->unregistered[i]);
	c->unregistered_count = 0;
}

void
http_conns_add(struct http_conns *c, struct bufferevent *bev)
{
	if (bev == NULL)
		return;
	if (c->unregistered_count == c->unregistered_size) {
		c->unregistered_size = c->unregistered_size * 2 + 16;
		c->unregistered = reallocarray(c->unregistered,
		    c->unregistered_size, sizeof(struct bufferevent *));
		if (c->unregistered == NULL)
			abort();
	}
	c->unregistered[c->unregistered_count++] = bev;
	event_active(c->register_event, 0, 0);
}

int
http_conns_check_request(
    struct http_conns *c, struct evhttp_request *req, const char **why)
{
	int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req)));
	struct conn *conn;

	HASH_FIND_INT(c->conns, &fd, conn);
	return conn == NULL ? 0 : http_framing_check(conn->framing, req, why);
}

size_t
http_conns_head_bytes(const struct http_conns *c, evutil_socket_t fd)
{
	const struct conn *conn;

	HASH_FIND_INT(c->conns, &fd, conn);
	return conn == NULL ? 0 : http_framing_head_bytes(conn->framing);
}

void
http_conns_set_limits(struct http_conns *c, size_t max_head, size_t max_body)
{
	c->limits.max_head = max_head;
	c->limits.max_body = max_body;
}

void
http_conns_request_received(struct http_conns *c, evutil_socket_t fd)
{
	struct conn *conn;

	HASH_FIND_INT(c->conns, &fd, conn);
	if (conn == NULL)
		return;
	conn->had_request = true;
	conn->in_request = true;
	set_held(c, conn, conn->held, 0);
}

void
http_conns_response_sent(struct http_conns *c, evutil_socket_t fd)
{
	struct conn *conn;

	HASH_FIND_INT(c->conns, &fd, conn);
	if (conn == NULL)
		return;
	conn->in_request = false;
	conn->received = conn->buffered > 0;
	set_held(c, conn, conn->buffered, 0);
	event_base_gettimeofday_cached(c->opts.base, &conn->idle_since);
}

void
http_conns_set_timeouts(
    struct http_conns *c, const struct http_conns_timeouts *timeouts)
{
	c->opts.timeouts = *timeouts;
}

void
http_conns_close_idle(struct http_conns *c)
{
	struct conn *conn, *next;

	HASH_ITER(hh, c->conns, conn, next) {
		if (!conn_is_open(conn))
			conn_remove(c, conn);
		else if (!conn->shut && !conn_has_request(conn))
			conn_close(conn);
	}
}

bool
http_conns_is_shut(const struct http_conns *c, evutil_socket_t fd)
{
	const struct conn *conn;

	HASH_FIND_INT(c->conns, &fd, conn);
	return conn != NULL && conn->shut;
}

bool
http_conns_receive(const struct http_conns *c)
{
	const struct conn *conn;

	for (conn = c->conns; conn != NULL; conn = conn->hh.next) {
		if (!conn->in_request && conn_is_open(conn) &&
		    conn_has_request(conn))
			return true;
	}
	return false;
}

struct http_conns *
http_conns_create(const struct http_conns_options *opts)
{
	struct http_conns *c = calloc(1, sizeof(*c));
	struct timeval tv = { 0, SWEEP_INTERVAL_US };

	if (c == NULL)
		return NULL;
	c->opts = *opts;
	c->limits.max_body = opts->max_body;
	c->limits.max_head = opts->max_head;
	c->open_conns = metrics_gauge(opts->metrics, "http_connections", "");
	c->held = metrics_gauge(opts->metrics, "http_held_bytes", "");
	c->heads = metrics_gauge(opts->metrics, "http_heads_bytes", "");
	c->overruns = metrics_counter(
	    opts->metrics, "http_refused_requests_total", "limit=\"overrun\"");
	c->refused_held = metrics_counter(
	    opts->metrics, "http_refused_requests_total", "limit=\"memory\"");
	c->over_limit = metrics_counter(
	    opts->metrics, "http_refused_connections_total", "");
	c->timed_out =
	    metrics_counter(opts->metrics, "http_slow_connections_total", "");
	c->register_event = event_new(opts->base, -1, 0, on_register, c);
	c->sweep_timer = evtimer_new(opts->base, on_sweep, c);
	if (c->register_event == NULL || c->sweep_timer == NULL) {
		http_conns_destroy(c);
		return NULL;
	}
	evtimer_add(c->sweep_timer, &tv);
	return c;
}

void
http_conns_destroy(struct http_conns *c)
{
	struct conn *conn, *next;

	if (c == NULL)
		return;
	HASH_ITER(hh, c->conns, conn, next)
		conn_remove(c, conn);
	if (c->register_event != NULL)
		event_free(c->register_event);
	if (c->sweep_timer != NULL)
		event_free(c->sweep_timer);
	free(c->unregistered);
	free(c);
}
