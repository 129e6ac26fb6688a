#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include "common/log.h"
#include "transport/rpc_internal.h"

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
	    rpc_write_reply(conn, call->xid, SUCCESS, call->handler->xdr_reply,
		reply) == -1) {
		log_warn(conn->rpc->opts.logger, "reply could not be queued",
		    LF_I("proc", call->handler->proc));
		rpc_conn_close(conn);
	}
	call->replied = true;
	if (!call->in_handler)
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
report_versions(struct rpc_conn *conn, const struct opaque_auth *verf)
{
	struct rpc_versions v;

	if (conn->rpc->opts.on_versions == NULL ||
	    rpc_decode_versions(verf, &v) == -1)
		return;
	conn->rpc->opts.on_versions(conn->rpc->opts.ctx, conn, &v);
}

/* Rejects a call that this endpoint does not serve (RFC 5531, section 9). */
static int
reject_call(struct rpc_conn *conn, uint32_t xid, enum accept_stat reason)
{
	(*conn->rpc->rejected)++;
	return rpc_write_reply(conn, xid, reason, NULL, NULL);
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
	/* Each program has it, without arguments and result (section 12.1). */
	if (body->cb_proc == NULLPROC)
		return rpc_write_reply(
		    conn, msg->rm_xid, SUCCESS, rpc_xdr_void, NULL);
	if (h == NULL)
		return reject_call(conn, msg->rm_xid, PROC_UNAVAIL);

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return -1;
	call->conn = conn;
	call->handler = h;
	call->xid = msg->rm_xid;
	(void)rpc_decode_versions(&body->cb_verf, &call->versions);
	TAILQ_INSERT_TAIL(&conn->calls, call, link);
	call->args = calloc(1, h->args_size ? h->args_size : 1);
	if (call->args == NULL || !h->xdr_args(xdrs, call->args)) {
		call_free(call);
		return -1;
	}
	report_versions(conn, &body->cb_verf);
	call->in_handler = true;
	h->handle(
	    h->ctx != NULL ? h->ctx : conn->rpc->opts.ctx, call, call->args);
	call->in_handler = false;
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
		return 0; /* the call has timed out */
	if (msg->rm_reply.rp_stat != MSG_ACCEPTED ||
	    msg->acpted_rply.ar_stat != SUCCESS) {
		rpc_pending_end(p, RPC_REJECTED, NULL);
		return 0;
	}
	reply = calloc(1, p->reply_size ? p->reply_size : 1);
	if (reply == NULL)
		return -1;
	if (p->xdr_reply(xdrs, reply)) {
		xdrproc_t codec = p->xdr_reply;

		report_versions(conn, &msg->acpted_rply.ar_verf);
		rpc_pending_end(p, RPC_OK, reply);
		xdr_free(codec, reply);
		free(reply);
		return 0;
	}
	xdr_free(p->xdr_reply, reply);
	free(reply);
	return -1;
}

static bool_t
decode_empty(XDR *xdrs, ...)
{
	return TRUE;
}

/*
 * Decodes the header of a message.  Arguments or results remain in xdrs, as
 * their type depends on the header.  cred and verf have MAX_AUTH_BYTES each.
 */
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
	msg->acpted_rply.ar_results.proc = decode_empty;
	return xdr_replymsg(xdrs, msg);
}

int
rpc_handle_record(struct rpc_conn *conn, char *data, size_t len)
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
