/*
 * rpc -- ONC RPC (RFC 5531) with record marking over bufferevents.
 *
 * Connections are symmetric: once open, either side may call the other.  A
 * procedure whose handler has no xdr_reply is one-way: no reply is sent
 * (RFC 5531, section 8.2, "batching").
 *
 * The verifier of each call and reply contains the sender's versions, in the
 * private flavor RPC_AUTH_VERSIONS: two XDR unsigned hypers.
 */
#ifndef TRANSPORT_RPC_H
#define TRANSPORT_RPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/util.h>
#include <rpc/rpc.h>

#define RPC_AUTH_VERSIONS 0x746d7673

struct event_base;
struct logger;
struct metrics;
struct rpc;
struct rpc_call;
struct rpc_conn;
struct tls;

enum rpc_status {
	RPC_OK,
	RPC_CONN_LOST, /* the peer may have executed the call */
	RPC_TIMED_OUT, /* the peer may execute the call, or have done so */
	RPC_NOT_SENT, /* nothing was sent */
	RPC_REJECTED, /* the peer can't decode or doesn't serve the call */
};

/* Versions of the replicated state that a process has. */
struct rpc_versions {
	uint64_t config;
	uint64_t control;
};

struct rpc_handler {
	uint32_t proc;
	xdrproc_t xdr_args;
	size_t args_size;
	xdrproc_t xdr_reply; /* NULL: one-way */
	/*
	 * The call is answered by rpc_call_reply(), during handle() or later.
	 * args are valid until both have returned.
	 */
	void (*handle)(void *ctx, struct rpc_call *, void *args);
	void *ctx; /* NULL: that of struct rpc_options */
};

struct rpc_options {
	struct event_base *base;
	struct logger *logger;
	struct metrics *metrics;
	uint32_t program;
	uint32_t version;
	const struct rpc_handler *handlers; /* ends with proc 0 */
	void *ctx; /* of the callbacks */
	size_t max_record; /* bytes of a record sent or received */
	size_t max_output; /* bytes queued on a connection; more close it */
	unsigned max_accepted; /* open connections from peers; 0: unlimited */
	/*
	 * Closes a connection if the first record does not arrive after the
	 * accept, if almost nothing arrives of an incomplete record, or if
	 * queued bytes are not written, within this time; 0: unlimited.
	 */
	int64_t stall_us;
	int64_t peer_timeout_us; /* see socket_set_peer_timeout(); 0: none */
	const struct tls *tls; /* NULL: plain text */
	/* Sets the versions to send; NULL: zeroes are sent. */
	void (*fill_versions)(void *ctx, struct rpc_versions *);
	/* Called with the versions that a peer has sent; may be NULL. */
	void (*on_versions)(
	    void *ctx, struct rpc_conn *, const struct rpc_versions *);
	/* An open connection was closed; it is freed after this returns. */
	void (*on_closed)(void *ctx, struct rpc_conn *);
};

struct rpc *rpc_create(const struct rpc_options *);
/* Closes all connections, which ends their pending calls. */
void rpc_destroy(struct rpc *);

/* Listens on IP:PORT.  Returns 0, or -1 with errno set. */
int rpc_listen(struct rpc *, const char *address);
/*
 * Adds a connected socket as if it had been accepted.  Returns 0, or -1 with
 * the socket closed: above max_accepted, or on error.
 */
int rpc_accept_socket(struct rpc *, evutil_socket_t fd);
/* Stops accepting connections; open ones stay. */
void rpc_stop_listening(struct rpc *);

/*
 * Starts to connect to IP:PORT.  on_opened() is called once, with ok false if
 * the connection failed; it is then freed without a call of on_closed().
 * Returns NULL, without a callback, if the address is malformed or on error.
 */
struct rpc_conn *rpc_connect(struct rpc *, const char *address,
    void (*on_opened)(void *ctx, struct rpc_conn *, bool ok), void *ctx);
/*
 * Closes a connection.  The event loop then ends its pending calls, runs
 * on_closed() and frees it.
 */
void rpc_conn_close(struct rpc_conn *);

/* A pointer that the user of the connection may set; not used here. */
void rpc_conn_set_owner(struct rpc_conn *, void *owner);
void *rpc_conn_owner(const struct rpc_conn *);

/* Returns the open connection after the given one; NULL starts and ends. */
struct rpc_conn *rpc_next_conn(struct rpc *, struct rpc_conn *);

/* Returns the bytes in the output queue. */
size_t rpc_conn_backlog(const struct rpc_conn *);

/*
 * Sends a call.  done() runs exactly once, never before this returns, and
 * before the connection is freed, also if the call has closed it.  Its reply is
 * NULL unless the status is RPC_OK, and is freed after done() returns.
 */
void rpc_conn_call(struct rpc_conn *, uint32_t proc, xdrproc_t xdr_args,
    const void *args, xdrproc_t xdr_reply, size_t reply_size,
    int64_t timeout_us, void (*done)(void *ctx, enum rpc_status, void *reply),
    void *ctx);

/* Of calls without arguments or result, as those of NULLPROC. */
bool_t rpc_xdr_void(XDR *, ...);

/* Prevents done() for every pending call with this ctx. */
void rpc_conn_drop_callbacks(struct rpc_conn *, void *ctx);

/*
 * Sends a one-way call.  Returns -1 if the connection is closing, its output
 * queue is full or the record is too large.
 */
int rpc_conn_send(
    struct rpc_conn *, uint32_t proc, xdrproc_t xdr_args, const void *args);

/* Returns the connection of a peer's call; NULL once it is closed. */
struct rpc_conn *rpc_call_conn(const struct rpc_call *);

/* Returns the peer's versions when it sent the call; zeroes if not stated. */
struct rpc_versions rpc_call_versions(const struct rpc_call *);

/* Sends the reply, unless the connection is closed, and frees the call. */
void rpc_call_reply(struct rpc_call *, const void *reply);

#endif
