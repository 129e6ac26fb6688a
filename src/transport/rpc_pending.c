#include <stdlib.h>

#include <event2/event.h>

#include "common/clock.h"
#include "transport/rpc_internal.h"

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

void
rpc_pending_end(struct pending_call *p, enum rpc_status status, void *reply)
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

	/* If the connection isn't open yet, the call may still be sent. */
	rpc_pending_end(p, RPC_TIMED_OUT, NULL);
}

/* Reports a call that could not be sent, after rpc_conn_call() has returned. */
static void
on_not_sent(evutil_socket_t fd, short what, void *arg)
{
	rpc_pending_end(arg, RPC_NOT_SENT, NULL);
}

void
rpc_pending_end_unsent(struct rpc_conn *conn)
{
	struct pending_call *p, *next;

	HASH_ITER(hh, conn->rpc->unsent, p, next) {
		if (p->unsent_on != conn)
			continue;
		rpc_pending_end(p, RPC_NOT_SENT, NULL);
		next = conn->rpc->unsent; /* done() may have ended others */
	}
}

void
rpc_conn_call(struct rpc_conn *conn, uint32_t proc, xdrproc_t xdr_args,
    const void *args, xdrproc_t xdr_reply, size_t reply_size,
    int64_t timeout_us, void (*done)(void *, enum rpc_status, void *),
    void *ctx)
{
	struct rpc *rpc = conn->rpc;
	struct pending_call *p = calloc(1, sizeof(*p));
	struct timeval tv = clock_timeval(timeout_us);

	if (p == NULL)
		abort();
	p->rpc = rpc;
	p->xdr_reply = xdr_reply;
	p->reply_size = reply_size;
	p->done = done;
	p->ctx = ctx;
	p->xid = conn->next_xid++;
	p->sent = !conn->closing &&
		  rpc_write_call(conn, p->xid, proc, xdr_args, args) == 0;
	p->timer = evtimer_new(
	    rpc->opts.base, p->sent ? on_call_timeout : on_not_sent, p);
	if (p->timer == NULL)
		abort();
	if (p->sent) {
		p->conn = conn;
		HASH_ADD(hh, conn->pending, xid, sizeof(p->xid), p);
	} else {
		/* The connection ends it at the latest. */
		p->unsent_on = conn;
		p->xid = rpc->next_unsent_id++;
		HASH_ADD(hh, rpc->unsent, xid, sizeof(p->xid), p);
		tv = clock_timeval(0);
	}
	evtimer_add(p->timer, &tv);
}

void
rpc_conn_drop_callbacks(struct rpc_conn *conn, void *ctx)
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
	return rpc_write_call(conn, conn->next_xid++, proc, xdr_args, args);
}
