#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "transport/rpc_internal.h"
#include "transport/socket.h"
#include "transport/tls.h"

#define FRAGMENTS_MAX 64 /* of one record; max_record ignores empty ones */
/*
 * Of incomplete records, of all connections: beyond, the connection with the
 * largest is closed.  Peers seldom send more than one large record at once.
 */
#define PARTIAL_MAX_BYTES (12 * 1024 * 1024)
/* Least that must arrive of an incomplete record within stall_us. */
#define STALL_PROGRESS_BYTES 2048

/* ---- reading ---- */

static void
close_malformed(struct rpc_conn *conn, const char *reason)
{
	(*conn->rpc->malformed)++;
	log_warn(conn->rpc->opts.logger, "closing a peer's connection",
	    LF_S("reason", reason));
	rpc_conn_close(conn);
}

/*
 * Moves a complete fragment into conn->record.  Returns 1; 0 if more bytes are
 * needed; -1 if the record is too large, with the connection closed.
 */
static int
read_fragment(struct rpc_conn *conn, struct evbuffer *in, bool *last)
{
	uint32_t mark;
	size_t len;

	if (evbuffer_copyout(in, &mark, sizeof(mark)) != sizeof(mark))
		return 0;
	mark = ntohl(mark);
	len = mark & ~RPC_LAST_FRAGMENT;
	if (len + evbuffer_get_length(conn->record) >
		conn->rpc->opts.max_record ||
	    conn->fragments >= FRAGMENTS_MAX) {
		close_malformed(conn, "record too large");
		return -1;
	}
	if (evbuffer_get_length(in) < len + sizeof(mark))
		return 0;
	evbuffer_drain(in, sizeof(mark));
	evbuffer_remove_buffer(in, conn->record, len);
	conn->fragments++;
	*last = (mark & RPC_LAST_FRAGMENT) != 0;
	return 1;
}

/* A fragment without data counts as begun too. */
static size_t
incomplete_bytes(const struct rpc_conn *conn)
{
	return evbuffer_get_length(bufferevent_get_input(conn->bev)) +
	       evbuffer_get_length(conn->record) + conn->fragments;
}

static void
start_stall_timer(struct rpc_conn *conn)
{
	struct timeval tv = clock_timeval(conn->rpc->opts.stall_us);

	conn->stall_bytes = incomplete_bytes(conn);
	event_add(conn->stall_timer, &tv);
}

/* Starts the timer at the first byte of a record, and stops it at its end. */
static void
update_stall_timer(struct rpc_conn *conn, bool completed)
{
	size_t partial = incomplete_bytes(conn);

	if (conn->rpc->opts.stall_us == 0 || conn->closing)
		return;
	if (completed || partial == 0)
		event_del(conn->stall_timer);
	if (partial > 0 && !event_pending(conn->stall_timer, EV_TIMEOUT, NULL))
		start_stall_timer(conn);
}

static void
on_stall(evutil_socket_t fd, short what, void *arg)
{
	struct rpc_conn *conn = arg;

	if (incomplete_bytes(conn) >=
	    conn->stall_bytes + STALL_PROGRESS_BYTES) {
		start_stall_timer(conn);
		return;
	}
	(*conn->rpc->stalled)++;
	log_warn(conn->rpc->opts.logger, "closing a peer's connection",
	    LF_S("reason", "record not complete in time"));
	rpc_conn_close(conn);
}

static void
count_partial(struct rpc_conn *conn, size_t bytes)
{
	conn->rpc->partial += bytes - conn->partial;
	conn->partial = bytes;
}

static void
limit_partial(struct rpc *rpc)
{
	struct rpc_conn *conn, *largest = NULL;

	if (rpc->partial <= PARTIAL_MAX_BYTES)
		return;
	TAILQ_FOREACH(conn, &rpc->conns, link) {
		if (!conn->closing &&
		    (largest == NULL || conn->partial > largest->partial))
			largest = conn;
	}
	if (largest == NULL)
		return;
	(*rpc->over_memory)++;
	log_warn(rpc->opts.logger, "closing a peer's connection",
	    LF_S("reason", "incomplete records take too much memory"),
	    LF_I("bytes", largest->partial));
	count_partial(largest, 0);
	evbuffer_drain(largest->record, evbuffer_get_length(largest->record));
	rpc_conn_close(largest);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct rpc_conn *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	bool last = false, completed = false;
	size_t len;
	int rc;

	while (!conn->closing && read_fragment(conn, in, &last) == 1) {
		if (!last)
			continue;
		len = evbuffer_get_length(conn->record);
		rc = rpc_handle_record(
		    conn, (char *)evbuffer_pullup(conn->record, -1), len);
		evbuffer_drain(conn->record, len);
		conn->fragments = 0;
		completed = true;
		if (rc == -1 && !conn->closing)
			close_malformed(conn, "malformed record");
	}
	update_stall_timer(conn, completed);
	if (conn->closing)
		return;
	count_partial(conn, incomplete_bytes(conn));
	limit_partial(conn->rpc);
}

/* ---- connections ---- */

static void
on_reap(evutil_socket_t fd, short what, void *arg)
{
	rpc_conn_free(arg);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct rpc_conn *conn = arg;

	if (what & BEV_EVENT_CONNECTED) {
		conn->open = true;
		tls_set_nodelay(bufferevent_getfd(bev));
		socket_set_peer_timeout(
		    bufferevent_getfd(bev), conn->rpc->opts.peer_timeout_us);
		if (conn->on_opened != NULL)
			conn->on_opened(conn->opened_ctx, conn, true);
		return;
	}
	if ((what & BEV_EVENT_TIMEOUT) && conn->open)
		(*conn->rpc->stalled)++;
	rpc_conn_close(conn);
}

static void
set_write_timeout(struct rpc_conn *conn)
{
	struct timeval tv = clock_timeval(conn->rpc->opts.stall_us);

	if (conn->rpc->opts.stall_us > 0)
		bufferevent_set_timeouts(conn->bev, NULL, &tv);
}

struct rpc_conn *
rpc_conn_create(struct rpc *rpc, evutil_socket_t fd, bool connecting)
{
	struct rpc_conn *conn = calloc(1, sizeof(*conn));

	if (conn == NULL)
		return NULL;
	conn->rpc = rpc;
	conn->next_xid = 1;
	TAILQ_INIT(&conn->calls);
	conn->record = evbuffer_new();
	conn->reaper = event_new(rpc->opts.base, -1, 0, on_reap, conn);
	conn->stall_timer = evtimer_new(rpc->opts.base, on_stall, conn);
	conn->bev = tls_bufferevent(
	    rpc->opts.tls, TLS_RPC, rpc->opts.base, fd, connecting);
	if (conn->record == NULL || conn->reaper == NULL ||
	    conn->stall_timer == NULL || conn->bev == NULL)
		goto fail;
	bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
	set_write_timeout(conn);
	TAILQ_INSERT_TAIL(&rpc->conns, conn, link);
	return conn;

fail:
	if (conn->bev != NULL)
		bufferevent_free(conn->bev);
	if (conn->stall_timer != NULL)
		event_free(conn->stall_timer);
	if (conn->reaper != NULL)
		event_free(conn->reaper);
	if (conn->record != NULL)
		evbuffer_free(conn->record);
	free(conn);
	return NULL;
}

void
rpc_conn_free(struct rpc_conn *conn)
{
	struct pending_call *p, *next;
	struct rpc_call *call, *call_next;

	conn->closing = true;
	HASH_ITER(hh, conn->pending, p, next) {
		bool may_have_arrived = p->sent && conn->open;

		rpc_pending_end(
		    p, may_have_arrived ? RPC_CONN_LOST : RPC_NOT_SENT, NULL);
	}
	if (conn->open && conn->rpc->opts.on_closed != NULL)
		conn->rpc->opts.on_closed(conn->rpc->opts.ctx, conn);
	else if (!conn->open && conn->on_opened != NULL)
		conn->on_opened(conn->opened_ctx, conn, false);
	/* Nobody calls on it any more. */
	rpc_pending_end_unsent(conn);
	TAILQ_FOREACH_SAFE(call, &conn->calls, link, call_next) {
		TAILQ_REMOVE(&conn->calls, call, link);
		call->conn = NULL;
	}
	TAILQ_REMOVE(&conn->rpc->conns, conn, link);
	conn->rpc->accepted -= conn->incoming;
	count_partial(conn, 0);
	bufferevent_free(conn->bev);
	event_free(conn->reaper);
	event_free(conn->stall_timer);
	evbuffer_free(conn->record);
	free(conn);
}

struct rpc_conn *
rpc_connect(struct rpc *rpc, const char *address,
    void (*on_opened)(void *, struct rpc_conn *, bool), void *ctx)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	struct rpc_conn *conn;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len) ==
	    -1)
		return NULL;
	conn = rpc_conn_create(rpc, -1, true);
	if (conn == NULL)
		return NULL;
	conn->on_opened = on_opened;
	conn->opened_ctx = ctx;
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(
		conn->bev, (struct sockaddr *)&ss, len) == -1)
		rpc_conn_close(conn);
	return conn;
}

void
rpc_conn_set_owner(struct rpc_conn *conn, void *owner)
{
	conn->owner = owner;
}

void *
rpc_conn_owner(const struct rpc_conn *conn)
{
	return conn->owner;
}

struct rpc_conn *
rpc_next_conn(struct rpc *rpc, struct rpc_conn *conn)
{
	conn = conn == NULL ? TAILQ_FIRST(&rpc->conns) : TAILQ_NEXT(conn, link);
	while (conn != NULL && (!conn->open || conn->closing))
		conn = TAILQ_NEXT(conn, link);
	return conn;
}

size_t
rpc_conn_backlog(const struct rpc_conn *conn)
{
	return evbuffer_get_length(bufferevent_get_output(conn->bev));
}
