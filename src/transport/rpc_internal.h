/*
 * rpc_internal -- types and functions that the files of the RPC layer share.
 *
 * Each file uses only those above it:
 *
 *	rpc_record.c	encodes and queues records, closes connections
 *	rpc_pending.c	sends calls, and keeps them until they end
 *	rpc_serve.c	handles received records: peers' calls and replies
 *	rpc_conn.c	opens connections, reads records from them, frees them
 *	rpc.c		creates and destroys the endpoint, accepts connections
 */
#ifndef TRANSPORT_RPC_INTERNAL_H
#define TRANSPORT_RPC_INTERNAL_H

#include <bsd/sys/queue.h>
#include <event2/util.h>
#include <uthash.h>

#include "transport/rpc.h"

struct bufferevent;
struct evbuffer;
struct evconnlistener;
struct event;
struct opaque_auth;

#define RPC_LAST_FRAGMENT 0x80000000U

/* A call that this process has made. */
struct pending_call {
	uint32_t xid; /* key in the table of conn, or in rpc->unsent */
	struct rpc_conn *conn; /* NULL: in rpc->unsent */
	struct rpc_conn *unsent_on; /* NULL: not in rpc->unsent */
	struct rpc *rpc;
	struct event *timer;
	bool sent; /* queued for writing */
	xdrproc_t xdr_reply;
	size_t reply_size;
	void (*done)(void *, enum rpc_status, void *);
	void *ctx;
	UT_hash_handle hh;
};

/* A call that a peer has made. */
struct rpc_call {
	struct rpc_conn *conn; /* NULL: closed */
	const struct rpc_handler *handler;
	uint32_t xid;
	struct rpc_versions versions;
	bool in_handler; /* the handler has not returned yet */
	bool replied;
	void *args;
	TAILQ_ENTRY(rpc_call) link;
};

struct rpc_conn {
	struct rpc *rpc;
	struct bufferevent *bev;
	struct event *reaper; /* frees the connection */
	struct event *stall_timer; /* pending while a record is incomplete */
	size_t stall_bytes; /* of the record when the timer was started */
	bool open; /* connected */
	bool closing;
	void (*on_opened)(void *, struct rpc_conn *, bool);
	void *opened_ctx;
	void *owner; /* see rpc_conn_set_owner() */
	struct evbuffer *record; /* complete fragments of the current record */
	unsigned fragments; /* in record */
	size_t partial; /* bytes of the incomplete record, as counted in rpc */
	bool incoming; /* the peer connected */
	uint32_t next_xid;
	struct pending_call *pending; /* sent calls without reply, by xid */
	TAILQ_HEAD(, rpc_call) calls; /* of the peer, without reply */
	TAILQ_ENTRY(rpc_conn) link;
};

struct rpc {
	struct rpc_options opts;
	struct evconnlistener *listener;
	struct event *resume_timer; /* pending while the listener pauses */
	TAILQ_HEAD(rpc_conn_head, rpc_conn) conns;
	unsigned accepted; /* connections with incoming set */
	size_t partial; /* bytes of incomplete records, of all connections */
	uint32_t next_unsent_id;
	/* Calls that were not sent, until that is reported; by id. */
	struct pending_call *unsent;
	/* Metrics. */
	uint64_t *malformed;
	uint64_t *rejected;
	uint64_t *stalled;
	uint64_t *output_full;
	uint64_t *over_limit;
	uint64_t *over_memory;
	uint64_t *records_in;
	uint64_t *records_out;
	uint64_t *bytes_in;
	uint64_t *bytes_out;
};

/* ---- rpc_record.c ---- */

/* Queue a record for writing.  Return -1 if that failed. */
int rpc_write_call(struct rpc_conn *, uint32_t xid, uint32_t proc,
    xdrproc_t xdr_args, const void *args);
int rpc_write_reply(struct rpc_conn *, uint32_t xid, enum accept_stat,
    xdrproc_t xdr_reply, const void *reply);
/* Returns -1 if the verifier contains no versions. */
int rpc_decode_versions(const struct opaque_auth *, struct rpc_versions *);

/* ---- rpc_pending.c ---- */

/* Frees the call and runs its done(). */
void rpc_pending_end(struct pending_call *, enum rpc_status, void *reply);
/* Ends all calls that could not be sent on the connection. */
void rpc_pending_end_unsent(struct rpc_conn *);

/* ---- rpc_serve.c ---- */

/* Handles a complete record.  Returns -1 if it is malformed. */
int rpc_handle_record(struct rpc_conn *, char *data, size_t len);

/* ---- rpc_conn.c ---- */

/*
 * fd: a connected socket, or -1 if the connection is still to be opened.
 * Returns NULL on error.
 */
struct rpc_conn *rpc_conn_create(
    struct rpc *, evutil_socket_t fd, bool connecting);
/* Ends the pending calls, runs the callbacks and frees the connection. */
void rpc_conn_free(struct rpc_conn *);

#endif
