#include "transport/http_conns.h"

#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <uthash.h>

#include "common/metrics.h"

#define SWEEP_INTERVAL_US 250000 /* greatest delay of a time-out */

struct conn {
	int fd;
	struct sockaddr_storage peer;
	struct timeval idle_since; /* accept, or end of the last response */
	bool had_request; /* a complete request has arrived */
	bool in_request; /* its response is pending */
	UT_hash_handle hh;
};

struct http_conns {
	struct http_conns_options opts;
	struct conn *conns; /* by descriptor */
	struct bufferevent **unregistered; /* their descriptor isn't set yet */
	size_t unregistered_count;
	size_t unregistered_size;
	struct event *register_event;
	struct event *sweep_timer;
	struct evconnlistener *listener;
	/* Metrics. */
	int64_t *open_conns;
	uint64_t *over_limit;
	uint64_t *timed_out;
};

static void
conn_remove(struct http_conns *c, struct conn *conn)
{
	HASH_DEL(c->conns, conn);
	free(conn);
	*c->open_conns = (int64_t)HASH_COUNT(c->conns);
}

static bool
conn_is_open(const struct conn *conn)
{
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);

	memset(&peer, 0, sizeof(peer));
	return getpeername(conn->fd, (struct sockaddr *)&peer, &len) == 0 &&
	       memcmp(&peer, &conn->peer, sizeof(peer)) == 0;
}

static bool
conn_is_timed_out(const struct http_conns *c, const struct conn *conn)
{
	int64_t wait_us = conn->had_request ? c->opts.timeouts.next_request_us
					    : c->opts.timeouts.first_request_us;
	struct timeval now, age;

	if (conn->in_request || wait_us == 0)
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
		} else if (conn_is_timed_out(c, conn)) {
			(*c->timed_out)++;
			/* evhttp reads an end of file and frees its object. */
			(void)shutdown(conn->fd, SHUT_RDWR);
			conn_remove(c, conn);
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
	const char *text = c->opts.refusal;

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

void
http_conns_request_received(struct http_conns *c, evutil_socket_t fd)
{
	struct conn *conn;

	HASH_FIND_INT(c->conns, &fd, conn);
	if (conn == NULL)
		return;
	conn->had_request = true;
	conn->in_request = true;
}

void
http_conns_response_sent(struct http_conns *c, evutil_socket_t fd)
{
	struct conn *conn;

	HASH_FIND_INT(c->conns, &fd, conn);
	if (conn == NULL)
		return;
	conn->in_request = false;
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
		if (!conn->in_request && conn_is_open(conn))
			(void)shutdown(conn->fd, SHUT_RD);
	}
}

struct http_conns *
http_conns_create(const struct http_conns_options *opts)
{
	struct http_conns *c = calloc(1, sizeof(*c));
	struct timeval tv = { 0, SWEEP_INTERVAL_US };

	if (c == NULL)
		return NULL;
	c->opts = *opts;
	c->open_conns = metrics_gauge(opts->metrics, "http_connections", "");
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
