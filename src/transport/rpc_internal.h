/*
 * rpc_internal -- what the RPC layer's files share.
 *
 * Each uses only those above it:
 *
 *	rpc_record.c	records out, and the end of a connection
 *	rpc_call.c	own calls until they end
 *	rpc_serve.c	whole records in: peers' calls, replies to own ones
 *	rpc_conn.c	connections: bytes in, opening, closing
 *	rpc.c		the endpoint
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
	bool in_handler; /* its handler is still at work */
	bool replied;
	void *args;
	TAILQ_ENTRY(rpc_call) link;
};

struct rpc_conn {
	struct rpc *rpc;
	struct bufferevent *bev;
	struct event *reaper;
	struct event *stall_timer; /* pending while a record is incomplete */
	bool open;
	bool closing;
	void (*on_opened)(void *, struct rpc_conn *, bool);
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
	struct event *resume_timer; /* pending while the listener pauses */
	TAILQ_HEAD(rpc_conn_head, rpc_conn) conns;
	unsigned accepted; /* open connections that peers began */
	uint32_t next_unsent_id;
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

/* ---- rpc_record.c ---- */

/* Both return -1 if the record could not be queued. */
int rpc_write_call(struct rpc_conn *, uint32_t xid, uint32_t proc,
    xdrproc_t xdr_args, const void *args);
int rpc_write_reply(struct rpc_conn *, uint32_t xid, enum accept_stat,
    xdrproc_t xdr_reply, const void *reply);
/* -1 if the verifier holds none. */
int rpc_decode_versions(const struct opaque_auth *, struct rpc_versions *);

/* ---- rpc_call.c ---- */

/* Frees the call, and reports its end. */
void rpc_pending_end(struct pending_call *, enum rpc_status, void *reply);

/* ---- rpc_serve.c ---- */

/* -1 if the record is malformed. */
int rpc_handle_record(struct rpc_conn *, char *data, size_t len);

/* ---- rpc_conn.c ---- */

/* fd -1: none yet. */
struct rpc_conn *rpc_conn_create(
    struct rpc *, evutil_socket_t fd, bool connecting);
/* Ends its calls. */
void rpc_conn_free(struct rpc_conn *);

#endif
