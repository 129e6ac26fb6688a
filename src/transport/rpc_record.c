#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "transport/rpc_internal.h"

#define FRAGMENT_HEADER_SIZE 4 /* bytes */
#define VERSIONS_SIZE 16 /* bytes of the two hypers */
#define HEADER_SIZE_MAX 128 /* bytes of a call's or reply's header */

void
rpc_conn_close(struct rpc_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	bufferevent_disable(conn->bev, EV_READ | EV_WRITE);
	/* Freed from the event loop, as our callers may still use it. */
	event_active(conn->reaper, 0, 0);
}

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

int
rpc_decode_versions(const struct opaque_auth *verf, struct rpc_versions *v)
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

/*
 * Closes a connection whose output queue is full.  Dropping single messages
 * would leave the peer with an unknown part of them; after a reconnect both
 * sides exchange their state again.
 */
static void
close_slow_reader(struct rpc_conn *conn)
{
	(*conn->rpc->output_full)++;
	log_warn(conn->rpc->opts.logger, "closing a peer's connection",
	    LF_S("reason", "output queue full: the peer reads too slowly"));
	rpc_conn_close(conn);
}

/* Encodes header and body into a record of one fragment, and queues it. */
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
		close_slow_reader(conn);
		return -1;
	}
	if (evbuffer_reserve_space(
		out, (ev_ssize_t)(size + FRAGMENT_HEADER_SIZE), &vec, 1) != 1)
		return -1;

	xdrmem_create(&xdrs, (char *)vec.iov_base + FRAGMENT_HEADER_SIZE,
	    (u_int)size, XDR_ENCODE);
	/* xdr_replymsg() encodes the results too. */
	ok = msg->rm_direction == CALL ? xdr_callmsg(&xdrs, msg)
				       : xdr_replymsg(&xdrs, msg);
	if (ok && msg->rm_direction == CALL && xdr_body != NULL)
		ok = xdr_body(&xdrs, (void *)body);
	if (!ok)
		return -1;
	len = xdr_getpos(&xdrs);
	mark = htonl(len | RPC_LAST_FRAGMENT);
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

int
rpc_write_call(struct rpc_conn *conn, uint32_t xid, uint32_t proc,
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

int
rpc_write_reply(struct rpc_conn *conn, uint32_t xid, enum accept_stat stat,
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
