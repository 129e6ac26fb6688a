#include "transport/rpc.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <uthash.h>

#include "common/log.h"
#include "common/metrics.h"
#include "transport/socket.h"
#include "transport/tls.h"

#define FRAGMENT_HEADER_SIZE 4
#define LAST_FRAGMENT 0x80000000U
#define VERSIONS_SIZE 16
#define HEADER_SIZE_MAX 128
#define MAX_FRAGMENTS 64
#define ACCEPT_PAUSE_US 100000

struct pending_call {
	uint32_t xid;
	struct rpc_conn *conn; /* NULL: in rpc->unsent */
	struct rpc *rpc;
	struct event *timer;
	bool sent;
	xdrproc_t xdr_reply;
	size_t reply_size;
	void (*done)(void *, enum rpc_status, void *);
	void *ctx;
	UT_hash_handle hh;
};

struct rpc_call {
	struct rpc_conn *conn;
	const struct rpc_handler *handler;
	uint32_t xid;
	struct rpc_versions versions;
	bool handling; /* its handler is still at work */
	bool replied;
	void *args;
	TAILQ_ENTRY(rpc_call) link;
};

struct rpc_conn {
	struct rpc *rpc;
	struct bufferevent *bev;
	struct event *reaper;
	struct event *stall; /* pending while a record is incomplete */
	bool open;
	bool closing;
	void (*opened)(void *, struct rpc_conn *, bool);
	void *opened_ctx;
	void *owner;
	struct evbuffer *record; /* fragments read so far */
	unsigned fragments;
	bool incoming; /* the peer began it */
	uint32_t next_xid;
	struct pending_call *pending;
	TAILQ_HEAD(, rpc_call) calls;
	TAILQ_ENTRY(rpc_conn) link;
};

struct rpc {
	struct rpc_options opts;
	struct evconnlistener *listener;
	struct event *resume; /* pending while the listener pauses */
	TAILQ_HEAD(rpc_conn_head, rpc_conn) conns;
	unsigned accepted; /* open connections that peers began */
	uint32_t next_unsent;
	struct pending_call *unsent; /* calls on connections that are closing */
	uint64_t *malformed;
	uint64_t *rejected;
	uint64_t *stalled;
	uint64_t *output_full;
	uint64_t *over_limit;
	uint64_t *records_in;
	uint64_t *records_out;
	uint64_t *bytes_in;
	uint64_t *bytes_out;
};

static void conn_finish_close(struct rpc_conn *);

/* ---- encoding ---- */

static int
encode_versions(const struct rpc_versions *v, char *out)
{
	XDR xdrs;
	u_quad_t config = v->config, control = v->control;

	xdrmem_create(&xdrs, out, VERSIONS_SIZE, XDR_ENCODE);
	return xdr_u_hyper(&xdrs, &config) && xdr_u_hyper(&xdrs, &control) ? 0
									   : -1;
}

static int
decode_versions(const struct opaque_auth *verf, struct rpc_versions *v)
{
	XDR xdrs;
	u_quad_t config = 0, control = 0;

	if (verf->oa_flavor != RPC_AUTH_VERSIONS ||
	    verf->oa_length != VERSIONS_SIZE)
		return -1;
	xdrmem_create(&xdrs, verf->oa_base, VERSIONS_SIZE, XDR_DECODE);
	if (!xdr_u_hyper(&xdrs, &config) || !xdr_u_hyper(&xdrs, &control))
		return -1;
	v->config = config;
	v->control = control;
	return 0;
}

/* A peer that reads nothing may have missed anything: both sides start anew. */
static void
close_unread(struct rpc_conn *conn)
{
	(*conn->rpc->output_full)++;
	log_warn(conn->rpc->opts.logger, "closing the connection of a peer",
	    LF_S("reason", "it does not read"));
	rpc_conn_close(conn);
}

/* Encodes header and body into one record and queues it. */
static int
write_record(struct rpc_conn *conn, struct rpc_msg *msg, xdrproc_t xdr_body,
    const void *body)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	size_t size = HEADER_SIZE_MAX;
	struct evbuffer_iovec vec;
	XDR xdrs;
	uint32_t mark;
	u_int len;
	bool ok;

	if (xdr_body != NULL)
		size += xdr_sizeof(xdr_body, (void *)body);
	if (size > conn->rpc->opts.max_record)
		return -1;
	if (evbuffer_get_length(out) + size > conn->rpc->opts.max_output) {
		close_unread(conn);
		return -1;
	}
	if (evbuffer_reserve_space(
		out, (ev_ssize_t)(size + FRAGMENT_HEADER_SIZE), &vec, 1) != 1)
		return -1;

	xdrmem_create(&xdrs, (char *)vec.iov_base + FRAGMENT_HEADER_SIZE,
	    (u_int)size, XDR_ENCODE);
	ok = msg->rm_direction == CALL ? xdr_callmsg(&xdrs, msg)
				       : xdr_replymsg(&xdrs, msg);
	if (ok && msg->rm_direction == CALL && xdr_body != NULL)
		ok = xdr_body(&xdrs, (void *)body);
	if (!ok)
		return -1;
	len = xdr_getpos(&xdrs);
	mark = htonl(len | LAST_FRAGMENT);
	memcpy(vec.iov_base, &mark, sizeof(mark));
	vec.iov_len = len + FRAGMENT_HEADER_SIZE;
	if (evbuffer_commit_space(out, &vec, 1) == -1)
		return -1;
	(*conn->rpc->records_out)++;
	*conn->rpc->bytes_out += vec.iov_len;
	return 0;
}

static void
fill_verifier(struct rpc *rpc, struct opaque_auth *verf, char *buf)
{
	struct rpc_versions v = { 0, 0 };

	if (rpc->opts.fill_versions != NULL)
		rpc->opts.fill_versions(rpc->opts.ctx, &v);
	(void)encode_versions(&v, buf);
	verf->oa_flavor = RPC_AUTH_VERSIONS;
	verf->oa_base = buf;
	verf->oa_length = VERSIONS_SIZE;
}

static int
write_call(struct rpc_conn *conn, uint32_t xid, uint32_t proc,
    xdrproc_t xdr_args, const void *args)
{
	struct rpc_msg msg;
	char verf[VERSIONS_SIZE];

	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = conn->rpc->opts.program;
	msg.rm_call.cb_vers = conn->rpc->opts.version;
	msg.rm_call.cb_proc = proc;
	msg.rm_call.cb_cred = _null_auth;
	fill_verifier(conn->rpc, &msg.rm_call.cb_verf, verf);
	return write_record(conn, &msg, xdr_args, args);
}

static int
write_reply(struct rpc_conn *conn, uint32_t xid, enum accept_stat stat,
    xdrproc_t xdr_reply, const void *reply)
{
	struct rpc_msg msg;
	char verf[VERSIONS_SIZE];

	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_stat = stat;
	fill_verifier(conn->rpc, &msg.acpted_rply.ar_verf, verf);
	if (stat == SUCCESS) {
		msg.acpted_rply.ar_results.proc = xdr_reply;
		msg.acpted_rply.ar_results.where = (caddr_t)reply;
	} else if (stat == PROG_MISMATCH) {
		msg.acpted_rply.ar_vers.low = conn->rpc->opts.version;
		msg.acpted_rply.ar_vers.high = conn->rpc->opts.version;
	}
	return write_record(
	    conn, &msg, stat == SUCCESS ? xdr_reply : NULL, reply);
}

/* ---- pending calls ---- */

static void
pending_free(struct pending_call *p)
{
	if (p->conn != NULL)
		HASH_DEL(p->conn->pending, p);
	else
		HASH_DEL(p->rpc->unsent, p);
	event_free(p->timer);
	free(p);
}

static void
pending_end(struct pending_call *p, enum rpc_status status, void *reply)
{
	void (*done)(void *, enum rpc_status, void *) = p->done;
	void *ctx = p->ctx;

	pending_free(p);
	if (done != NULL)
		done(ctx, status, reply);
}

static void
on_call_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct pending_call *p = arg;

	/* What waits for a connection to open may still leave. */
	pending_end(p, RPC_TIMED_OUT, NULL);
}

/* A call that never left still reports from the loop, not from the caller. */
static void
on_not_sent(evutil_socket_t fd, short what, void *arg)
{
	pending_end(arg, RPC_NOT_SENT, NULL);
}

static struct timeval
usec_to_timeval(int64_t us)
{
	struct timeval tv;

	if (us < 0)
		us = 0;
	tv.tv_sec = us / 1000000;
	tv.tv_usec = us % 1000000;
	return tv;
}

void
rpc_conn_call(struct rpc_conn *conn, uint32_t proc, xdrproc_t xdr_args,
    const void *args, xdrproc_t xdr_reply, size_t reply_size,
    int64_t timeout_us, void (*done)(void *, enum rpc_status, void *),
    void *ctx)
{
	struct rpc *rpc = conn->rpc;
	struct pending_call *p = calloc(1, sizeof(*p));
	struct timeval tv = usec_to_timeval(timeout_us);

	if (p == NULL)
		abort();
	p->rpc = rpc;
	p->xdr_reply = xdr_reply;
	p->reply_size = reply_size;
	p->done = done;
	p->ctx = ctx;
	p->xid = conn->next_xid++;
	p->sent = !conn->closing &&
		  write_call(conn, p->xid, proc, xdr_args, args) == 0;
	p->timer = evtimer_new(
	    rpc->opts.base, p->sent ? on_call_timeout : on_not_sent, p);
	if (p->timer == NULL)
		abort();
	if (p->sent) {
		p->conn = conn;
		HASH_ADD(hh, conn->pending, xid, sizeof(p->xid), p);
	} else {
		/* The connection may be freed before done() runs. */
		p->xid = rpc->next_unsent++;
		HASH_ADD(hh, rpc->unsent, xid, sizeof(p->xid), p);
		tv = usec_to_timeval(0);
	}
	evtimer_add(p->timer, &tv);
}

void
rpc_conn_forget(struct rpc_conn *conn, void *ctx)
{
	struct pending_call *p, *next;

	HASH_ITER(hh, conn->pending, p, next) {
		if (p->ctx == ctx)
			p->done = NULL;
	}
	HASH_ITER(hh, conn->rpc->unsent, p, next) {
		if (p->ctx == ctx)
			p->done = NULL;
	}
}

int
rpc_conn_send(
    struct rpc_conn *conn, uint32_t proc, xdrproc_t xdr_args, const void *args)
{
	if (conn->closing)
		return -1;
	return write_call(conn, conn->next_xid++, proc, xdr_args, args);
}

/* ---- incoming ---- */

static void
call_free(struct rpc_call *call)
{
	if (call->args != NULL) {
		xdr_free(call->handler->xdr_args, call->args);
		free(call->args);
	}
	if (call->conn != NULL)
		TAILQ_REMOVE(&call->conn->calls, call, link);
	free(call);
}

struct rpc_conn *
rpc_call_conn(const struct rpc_call *call)
{
	return call->conn;
}

struct rpc_versions
rpc_call_versions(const struct rpc_call *call)
{
	return call->versions;
}

void
rpc_call_reply(struct rpc_call *call, const void *reply)
{
	struct rpc_conn *conn = call->conn;

	if (conn != NULL && !conn->closing &&
	    write_reply(conn, call->xid, SUCCESS, call->handler->xdr_reply,
		reply) == -1) {
		log_warn(conn->rpc->opts.logger, "reply could not be queued",
		    LF_I("proc", call->handler->proc));
		rpc_conn_close(conn);
	}
	call->replied = true;
	if (!call->handling)
		call_free(call);
}

static const struct rpc_handler *
find_handler(const struct rpc *rpc, uint32_t proc)
{
	const struct rpc_handler *h;

	for (h = rpc->opts.handlers; h != NULL && h->proc != 0; h++) {
		if (h->proc == proc)
			return h;
	}
	return NULL;
}

static void
note_versions(struct rpc_conn *conn, const struct opaque_auth *verf)
{
	struct rpc_versions v;

	if (conn->rpc->opts.seen_versions == NULL ||
	    decode_versions(verf, &v) == -1)
		return;
	conn->rpc->opts.seen_versions(conn->rpc->opts.ctx, conn, &v);
}

/* Answers a call that this endpoint does not serve (RFC 5531, section 9). */
static int
reject_call(struct rpc_conn *conn, uint32_t xid, enum accept_stat why)
{
	(*conn->rpc->rejected)++;
	return write_reply(conn, xid, why, NULL, NULL);
}

static int
handle_call(struct rpc_conn *conn, XDR *xdrs, struct rpc_msg *msg)
{
	const struct call_body *body = &msg->rm_call;
	const struct rpc_handler *h = find_handler(conn->rpc, body->cb_proc);
	struct rpc_call *call;

	if (body->cb_prog != conn->rpc->opts.program)
		return reject_call(conn, msg->rm_xid, PROG_UNAVAIL);
	if (body->cb_vers != conn->rpc->opts.version)
		return reject_call(conn, msg->rm_xid, PROG_MISMATCH);
	if (h == NULL)
		return reject_call(conn, msg->rm_xid, PROC_UNAVAIL);

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return -1;
	call->conn = conn;
	call->handler = h;
	call->xid = msg->rm_xid;
	(void)decode_versions(&body->cb_verf, &call->versions);
	TAILQ_INSERT_TAIL(&conn->calls, call, link);
	call->args = calloc(1, h->args_size ? h->args_size : 1);
	if (call->args == NULL || !h->xdr_args(xdrs, call->args)) {
		call_free(call);
		return -1;
	}
	note_versions(conn, &body->cb_verf);
	call->handling = true;
	h->handle(
	    h->ctx != NULL ? h->ctx : conn->rpc->opts.ctx, call, call->args);
	call->handling = false;
	if (call->replied || h->xdr_reply == NULL)
		call_free(call);
	return 0;
}

static int
handle_reply(struct rpc_conn *conn, XDR *xdrs, struct rpc_msg *msg)
{
	struct pending_call *p;
	void *reply;

	HASH_FIND(hh, conn->pending, &msg->rm_xid, sizeof(uint32_t), p);
	if (p == NULL)
		return 0; /* timed out before */
	if (msg->rm_reply.rp_stat != MSG_ACCEPTED ||
	    msg->acpted_rply.ar_stat != SUCCESS) {
		pending_end(p, RPC_REJECTED, NULL);
		return 0;
	}
	reply = calloc(1, p->reply_size ? p->reply_size : 1);
	if (reply == NULL)
		return -1;
	if (p->xdr_reply(xdrs, reply)) {
		xdrproc_t codec = p->xdr_reply;

		note_versions(conn, &msg->acpted_rply.ar_verf);
		pending_end(p, RPC_OK, reply);
		xdr_free(codec, reply);
		free(reply);
		return 0;
	}
	xdr_free(p->xdr_reply, reply);
	free(reply);
	return -1;
}

static bool_t
decode_nothing(XDR *xdrs, ...)
{
	return TRUE;
}

/* Decodes the fields of a message; the body stays in xdrs. */
static bool_t
decode_header(XDR *xdrs, struct rpc_msg *msg, char *cred, char *verf)
{
	uint32_t direction;

	memset(msg, 0, sizeof(*msg));
	if (xdrs->x_handy < 8)
		return FALSE;
	memcpy(&direction, (char *)xdrs->x_private + 4, sizeof(direction));
	if (ntohl(direction) == CALL) {
		msg->rm_call.cb_cred.oa_base = cred;
		msg->rm_call.cb_verf.oa_base = verf;
		return xdr_callmsg(xdrs, msg);
	}
	msg->acpted_rply.ar_verf.oa_base = verf;
	msg->acpted_rply.ar_results.proc = decode_nothing;
	return xdr_replymsg(xdrs, msg);
}

static int
handle_record(struct rpc_conn *conn, char *data, size_t len)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;
	XDR xdrs;

	(*conn->rpc->records_in)++;
	*conn->rpc->bytes_in += len;
	xdrmem_create(&xdrs, data, (u_int)len, XDR_DECODE);
	if (!decode_header(&xdrs, &msg, cred, verf))
		return -1;
	if (msg.rm_direction == CALL)
		return handle_call(conn, &xdrs, &msg);
	return handle_reply(conn, &xdrs, &msg);
}

static void
reject_malformed(struct rpc_conn *conn, const char *why)
{
	(*conn->rpc->malformed)++;
	log_warn(conn->rpc->opts.logger, "closing the connection of a peer",
	    LF_S("reason", why));
	rpc_conn_close(conn);
}

/* Moves one whole fragment into conn->record; 0 when more bytes are needed. */
static int
take_fragment(struct rpc_conn *conn, struct evbuffer *in, bool *last)
{
	uint32_t mark;
	size_t len;

	if (evbuffer_copyout(in, &mark, sizeof(mark)) != sizeof(mark))
		return 0;
	mark = ntohl(mark);
	len = mark & ~LAST_FRAGMENT;
	if (len + evbuffer_get_length(conn->record) >
		conn->rpc->opts.max_record ||
	    conn->fragments >= MAX_FRAGMENTS) {
		reject_malformed(conn, "record too large");
		return -1;
	}
	if (evbuffer_get_length(in) < len + sizeof(mark))
		return 0;
	evbuffer_drain(in, sizeof(mark));
	evbuffer_remove_buffer(in, conn->record, len);
	conn->fragments++;
	*last = (mark & LAST_FRAGMENT) != 0;
	return 1;
}

/* Runs the timer only while a record is incomplete, from its first byte on. */
static void
watch_stall(struct rpc_conn *conn, bool completed)
{
	struct timeval tv = usec_to_timeval(conn->rpc->opts.stall_us);
	size_t partial = evbuffer_get_length(bufferevent_get_input(conn->bev)) +
			 evbuffer_get_length(conn->record) + conn->fragments;

	if (conn->rpc->opts.stall_us == 0 || conn->closing)
		return;
	if (completed || partial == 0)
		event_del(conn->stall);
	if (partial > 0 && !event_pending(conn->stall, EV_TIMEOUT, NULL))
		event_add(conn->stall, &tv);
}

static void
on_stall(evutil_socket_t fd, short what, void *arg)
{
	struct rpc_conn *conn = arg;

	(*conn->rpc->stalled)++;
	log_warn(conn->rpc->opts.logger, "closing the connection of a peer",
	    LF_S("reason", "record not finished in time"));
	rpc_conn_close(conn);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct rpc_conn *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	bool last = false, completed = false;
	size_t len;
	int rc;

	while (!conn->closing && take_fragment(conn, in, &last) == 1) {
		if (!last)
			continue;
		len = evbuffer_get_length(conn->record);
		rc = handle_record(
		    conn, (char *)evbuffer_pullup(conn->record, -1), len);
		evbuffer_drain(conn->record, len);
		conn->fragments = 0;
		completed = true;
		if (rc == -1 && !conn->closing)
			reject_malformed(conn, "malformed record");
	}
	watch_stall(conn, completed);
}

/* ---- connections ---- */

static void
on_reap(evutil_socket_t fd, short what, void *arg)
{
	conn_finish_close(arg);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct rpc_conn *conn = arg;

	if (what & BEV_EVENT_CONNECTED) {
		conn->open = true;
		tls_set_nodelay(bufferevent_getfd(bev));
		socket_set_dead_peer(
		    bufferevent_getfd(bev), conn->rpc->opts.dead_peer_us);
		if (conn->opened != NULL)
			conn->opened(conn->opened_ctx, conn, true);
		return;
	}
	if ((what & BEV_EVENT_TIMEOUT) && conn->open)
		(*conn->rpc->stalled)++;
	rpc_conn_close(conn);
}

static void
set_write_timeout(struct rpc_conn *conn)
{
	struct timeval tv = usec_to_timeval(conn->rpc->opts.stall_us);

	if (conn->rpc->opts.stall_us > 0)
		bufferevent_set_timeouts(conn->bev, NULL, &tv);
}

static struct rpc_conn *
conn_create(struct rpc *rpc, evutil_socket_t fd, bool connecting)
{
	struct rpc_conn *conn = calloc(1, sizeof(*conn));

	if (conn == NULL)
		return NULL;
	conn->rpc = rpc;
	conn->next_xid = 1;
	TAILQ_INIT(&conn->calls);
	conn->record = evbuffer_new();
	conn->reaper = event_new(rpc->opts.base, -1, 0, on_reap, conn);
	conn->stall = evtimer_new(rpc->opts.base, on_stall, conn);
	conn->bev = tls_bufferevent(
	    rpc->opts.tls, TLS_RPC, rpc->opts.base, fd, connecting);
	if (conn->record == NULL || conn->reaper == NULL ||
	    conn->stall == NULL || conn->bev == NULL)
		goto fail;
	bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
	set_write_timeout(conn);
	TAILQ_INSERT_TAIL(&rpc->conns, conn, link);
	return conn;

fail:
	if (conn->bev != NULL)
		bufferevent_free(conn->bev);
	if (conn->stall != NULL)
		event_free(conn->stall);
	if (conn->reaper != NULL)
		event_free(conn->reaper);
	if (conn->record != NULL)
		evbuffer_free(conn->record);
	free(conn);
	return NULL;
}

void
rpc_conn_close(struct rpc_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	bufferevent_disable(conn->bev, EV_READ | EV_WRITE);
	/* Freed from the loop: callers up the stack may still use it. */
	event_active(conn->reaper, 0, 0);
}

static void
conn_finish_close(struct rpc_conn *conn)
{
	struct pending_call *p, *next;
	struct rpc_call *call, *call_next;

	conn->closing = true;
	HASH_ITER(hh, conn->pending, p, next) {
		bool may_have_left = p->sent && conn->open;

		pending_end(
		    p, may_have_left ? RPC_CONN_LOST : RPC_NOT_SENT, NULL);
	}
	if (conn->open && conn->rpc->opts.closed != NULL)
		conn->rpc->opts.closed(conn->rpc->opts.ctx, conn);
	else if (!conn->open && conn->opened != NULL)
		conn->opened(conn->opened_ctx, conn, false);
	TAILQ_FOREACH_SAFE(call, &conn->calls, link, call_next) {
		TAILQ_REMOVE(&conn->calls, call, link);
		call->conn = NULL;
	}
	TAILQ_REMOVE(&conn->rpc->conns, conn, link);
	conn->rpc->accepted -= conn->incoming;
	bufferevent_free(conn->bev);
	event_free(conn->reaper);
	event_free(conn->stall);
	evbuffer_free(conn->record);
	free(conn);
}

struct rpc_conn *
rpc_connect(struct rpc *rpc, const char *address,
    void (*opened)(void *, struct rpc_conn *, bool), void *ctx)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	struct rpc_conn *conn;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len) ==
	    -1)
		return NULL;
	conn = conn_create(rpc, -1, true);
	if (conn == NULL)
		return NULL;
	conn->opened = opened;
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

int
rpc_adopt(struct rpc *rpc, evutil_socket_t fd)
{
	struct timeval tv = usec_to_timeval(rpc->opts.stall_us);
	struct rpc_conn *conn;

	if (rpc->opts.max_accepted != 0 &&
	    rpc->accepted >= rpc->opts.max_accepted) {
		(*rpc->over_limit)++;
		log_warn(rpc->opts.logger, "refusing the connection of a peer",
		    LF_S("reason", "too many connections"));
		evutil_closesocket(fd);
		return -1;
	}
	conn = conn_create(rpc, fd, false);
	if (conn == NULL) {
		evutil_closesocket(fd);
		return -1;
	}
	conn->open = true;
	conn->incoming = true;
	rpc->accepted++;
	socket_set_dead_peer(fd, rpc->opts.dead_peer_us);
	/* The side that connects speaks first. */
	if (rpc->opts.stall_us > 0)
		event_add(conn->stall, &tv);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	return 0;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *sa, int len, void *arg)
{
	(void)rpc_adopt(arg, fd);
}

/* With no descriptor left, each accept would fail again at once. */
static void
on_accept_error(struct evconnlistener *listener, void *arg)
{
	struct rpc *rpc = arg;
	struct timeval tv = usec_to_timeval(ACCEPT_PAUSE_US);

	evconnlistener_disable(listener);
	evtimer_add(rpc->resume, &tv);
}

static void
on_resume(evutil_socket_t fd, short what, void *arg)
{
	struct rpc *rpc = arg;

	if (rpc->listener != NULL)
		evconnlistener_enable(rpc->listener);
}

struct rpc *
rpc_create(const struct rpc_options *opts)
{
	struct rpc *rpc = calloc(1, sizeof(*rpc));

	if (rpc == NULL)
		return NULL;
	rpc->opts = *opts;
	TAILQ_INIT(&rpc->conns);
	rpc->resume = evtimer_new(opts->base, on_resume, rpc);
	if (rpc->resume == NULL) {
		free(rpc);
		return NULL;
	}
	rpc->malformed =
	    metrics_counter(opts->metrics, "rpc_malformed_records_total", "");
	rpc->rejected =
	    metrics_counter(opts->metrics, "rpc_rejected_calls_total", "");
	rpc->stalled =
	    metrics_counter(opts->metrics, "rpc_stalled_connections_total", "");
	rpc->output_full =
	    metrics_counter(opts->metrics, "rpc_unread_connections_total", "");
	rpc->over_limit =
	    metrics_counter(opts->metrics, "rpc_refused_connections_total", "");
	rpc->records_in =
	    metrics_counter(opts->metrics, "rpc_records_received_total", "");
	rpc->records_out =
	    metrics_counter(opts->metrics, "rpc_records_sent_total", "");
	rpc->bytes_in =
	    metrics_counter(opts->metrics, "rpc_received_bytes_total", "");
	rpc->bytes_out =
	    metrics_counter(opts->metrics, "rpc_sent_bytes_total", "");
	return rpc;
}

int
rpc_listen(struct rpc *rpc, const char *address)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len) ==
	    -1) {
		errno = EINVAL;
		return -1;
	}
	rpc->listener = evconnlistener_new_bind(rpc->opts.base, on_accept, rpc,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    -1, (struct sockaddr *)&ss, len);
	if (rpc->listener == NULL)
		return -1;
	evconnlistener_set_error_cb(rpc->listener, on_accept_error);
	return 0;
}

void
rpc_stop_listening(struct rpc *rpc)
{
	if (rpc->listener != NULL)
		evconnlistener_free(rpc->listener);
	rpc->listener = NULL;
}

void
rpc_destroy(struct rpc *rpc)
{
	struct rpc_conn *conn, *next;
	struct pending_call *p, *p_next;

	if (rpc == NULL)
		return;
	rpc_stop_listening(rpc);
	TAILQ_FOREACH_SAFE(conn, &rpc->conns, link, next)
		conn_finish_close(conn);
	HASH_ITER(hh, rpc->unsent, p, p_next)
		pending_end(p, RPC_NOT_SENT, NULL);
	event_free(rpc->resume);
	free(rpc);
}
