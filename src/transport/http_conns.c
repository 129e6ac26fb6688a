#include "transport/http_conns.h"

#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <uthash.h>

#include "common/metrics.h"

#define SWEEP_US 250000

struct conn {
	int fd;
	struct sockaddr_storage peer;
	struct timeval since; /* accepted, or the last answer was written */
	bool served; /* a whole request came */
	bool answering;
	UT_hash_handle hh;
};

struct http_conns {
	struct http_conns_options opts;
	struct conn *conns; /* by descriptor */
	struct bufferevent **fresh; /* without a descriptor yet */
	size_t fresh_count;
	size_t fresh_size;
	struct event *adopt;
	struct event *sweep;
	struct evconnlistener *listener;
	int64_t *open;
	uint64_t *over_limit;
	uint64_t *slow;
};

static void
forget(struct http_conns *c, struct conn *conn)
{
	HASH_DEL(c->conns, conn);
	free(conn);
	*c->open = (int64_t)HASH_COUNT(c->conns);
}

static bool
is_open(const struct conn *conn)
{
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);

	memset(&peer, 0, sizeof(peer));
	return getpeername(conn->fd, (struct sockaddr *)&peer, &len) == 0 &&
	       memcmp(&peer, &conn->peer, sizeof(peer)) == 0;
}

static bool
is_slow(const struct http_conns *c, const struct conn *conn)
{
	int64_t wait_us = conn->served ? c->opts.timeouts.next_request_us
				       : c->opts.timeouts.first_request_us;
	struct timeval now, age;

	if (conn->answering || wait_us == 0)
		return false;
	event_base_gettimeofday_cached(c->opts.base, &now);
	evutil_timersub(&now, &conn->since, &age);
	return age.tv_sec * 1000000LL + age.tv_usec > wait_us;
}

/* Forgets what is gone, and cuts off what sends no request in time. */
static void
sweep(struct http_conns *c)
{
	struct conn *conn, *next;

	HASH_ITER(hh, c->conns, conn, next) {
		if (!is_open(conn)) {
			forget(c, conn);
		} else if (is_slow(c, conn)) {
			(*c->slow)++;
			/* evhttp reads the end and frees its side. */
			(void)shutdown(conn->fd, SHUT_RDWR);
			forget(c, conn);
		}
	}
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct http_conns *c = arg;
	struct timeval tv = { 0, SWEEP_US };

	sweep(c);
	if (c->listener != NULL)
		evconnlistener_enable(c->listener);
	evtimer_add(c->sweep, &tv);
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
refuse(struct http_conns *c, struct bufferevent *bev)
{
	const char *text = c->opts.refusal;

	(*c->over_limit)++;
	if (text != NULL)
		(void)send(bufferevent_getfd(bev), text, strlen(text),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
	/* evhttp frees the connection, and reads no request from it. */
	bufferevent_trigger_event(bev, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
}

static void
adopt(struct http_conns *c, struct bufferevent *bev)
{
	struct conn *conn;
	socklen_t len = sizeof(conn->peer);
	int fd = bufferevent_getfd(bev);

	HASH_FIND_INT(c->conns, &fd, conn);
	if (conn != NULL)
		forget(c, conn);
	if (c->opts.max != 0 && HASH_COUNT(c->conns) >= c->opts.max) {
		refuse(c, bev);
		return;
	}
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		abort();
	conn->fd = fd;
	(void)getpeername(fd, (struct sockaddr *)&conn->peer, &len);
	event_base_gettimeofday_cached(c->opts.base, &conn->since);
	HASH_ADD_INT(c->conns, fd, conn);
	*c->open = (int64_t)HASH_COUNT(c->conns);
}

static void
on_adopt(evutil_socket_t fd, short what, void *arg)
{
	struct http_conns *c = arg;

	for (size_t i = 0; i < c->fresh_count; i++)
		adopt(c, c->fresh[i]);
	c->fresh_count = 0;
}

void
http_conns_add(struct http_conns *c, struct bufferevent *bev)
{
	if (bev == NULL)
		return;
	if (c->fresh_count == c->fresh_size) {
		c->fresh_size = c->fresh_size * 2 + 16;
		c->fresh = reallocarray(
		    c->fresh, c->fresh_size, sizeof(struct bufferevent *));
		if (c->fresh == NULL)
			abort();
	}
	c->fresh[c->fresh_count++] = bev;
	event_active(c->adopt, 0, 0);
}

void
http_conns_request_received(struct http_conns *c, evutil_socket_t fd)
{
	struct conn *conn;

	HASH_FIND_INT(c->conns, &fd, conn);
	if (conn == NULL)
		return;
	conn->served = true;
	conn->answering = true;
}

void
http_conns_response_sent(struct http_conns *c, evutil_socket_t fd)
{
	struct conn *conn;

	HASH_FIND_INT(c->conns, &fd, conn);
	if (conn == NULL)
		return;
	conn->answering = false;
	event_base_gettimeofday_cached(c->opts.base, &conn->since);
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
		if (!conn->answering && is_open(conn))
			(void)shutdown(conn->fd, SHUT_RD);
	}
}

struct http_conns *
http_conns_create(const struct http_conns_options *opts)
{
	struct http_conns *c = calloc(1, sizeof(*c));
	struct timeval tv = { 0, SWEEP_US };

	if (c == NULL)
		return NULL;
	c->opts = *opts;
	c->open = metrics_gauge(opts->metrics, "http_connections", "");
	c->over_limit = metrics_counter(
	    opts->metrics, "http_refused_connections_total", "");
	c->slow =
	    metrics_counter(opts->metrics, "http_slow_connections_total", "");
	c->adopt = event_new(opts->base, -1, 0, on_adopt, c);
	c->sweep = evtimer_new(opts->base, on_sweep, c);
	if (c->adopt == NULL || c->sweep == NULL) {
		http_conns_destroy(c);
		return NULL;
	}
	evtimer_add(c->sweep, &tv);
	return c;
}

void
http_conns_destroy(struct http_conns *c)
{
	struct conn *conn, *next;

	if (c == NULL)
		return;
	HASH_ITER(hh, c->conns, conn, next)
		forget(c, conn);
	if (c->adopt != NULL)
		event_free(c->adopt);
	if (c->sweep != NULL)
		event_free(c->sweep);
	free(c->fresh);
	free(c);
}
