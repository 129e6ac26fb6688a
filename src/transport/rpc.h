/*
 * rpc -- ONC RPC (RFC 5531) with record marking over bufferevents.
 *
 * Connections are symmetric: once open, either side may call the other.  A
 * procedure whose handler has no reply codec is one-way: it is never answered
 * (RFC 5531, section 8.2, "batching").
 *
 * Each call and reply carries the sender's versions in its verifier, of the
 * private flavor RPC_AUTH_VERSIONS.
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
	RPC_CONN_LOST, /* the call may or may not have arrived */
	RPC_TIMED_OUT, /* likewise */
	RPC_NOT_SENT, /* the call never left this process */
	RPC_REJECTED, /* the peer could not decode or has no such procedure */
};

struct rpc_versions {
	uint64_t config;
	uint64_t control;
};

struct rpc_handler {
	uint32_t proc;
	xdrproc_t xdr_args;
	size_t args_size;
	xdrproc_t xdr_reply; /* NULL: one-way */
	/* args live until the handler returns, and until the reply. */
	void (*handle)(void *ctx, struct rpc_call *, void *args);
	void *ctx; /* NULL: that of the endpoint */
};

struct rpc_options {
	struct event_base *base;
	struct logger *logger;
	struct metrics *metrics;
	uint32_t program;
	uint32_t version;
	const struct rpc_handler *handlers; /* ends with proc 0 */
	void *ctx; /* for all callbacks here */
	size_t max_record; /* bytes */
	size_t max_output; /* bytes queued on a connection; more close it */
	unsigned max_accepted; /* connections that peers began; 0: no bound */
	/*
	 * Longest time for a record to arrive whole, for the first one after a
	 * connection was accepted, and for queued bytes to move; 0: no bound.
	 */
	int64_t stall_us;
	/* Ends a connection so long after its peer fell silent; 0: never. */
	int64_t peer_timeout_us;
	const struct tls *tls; /* NULL: plain text */
	void (*fill_versions)(void *ctx, struct rpc_versions *);
	void (*on_versions)(
	    void *ctx, struct rpc_conn *, const struct rpc_versions *);
	/* The connection is unusable and freed after this returns. */
	void (*on_closed)(void *ctx, struct rpc_conn *);
};

struct rpc *rpc_create(const struct rpc_options *);
/* Closes all connections; pending calls end with RPC_CONN_LOST. */
void rpc_destroy(struct rpc *);

/* Listens on IP:PORT.  Returns 0, or -1 with errno set. */
int rpc_listen(struct rpc *, const char *address);
/* Serves a connected socket that a peer opened; -1 if it was refused. */
int rpc_accept_socket(struct rpc *, evutil_socket_t fd);
/* Takes no further connections. */
void rpc_stop_listening(struct rpc *);

/*
 * Starts to connect.  on_opened() is called once with ok true, or with false
 * when the connection failed and is freed; on_closed() is then not called.
 */
struct rpc_conn *rpc_connect(struct rpc *, const char *address,
    void (*on_opened)(void *ctx, struct rpc_conn *, bool ok), void *ctx);
void rpc_conn_close(struct rpc_conn *);

/* A cell for the connection's owner. */
void rpc_conn_set_owner(struct rpc_conn *, void *owner);
void *rpc_conn_owner(const struct rpc_conn *);

/* Iterates over the open connections; pass NULL to start. */
struct rpc_conn *rpc_next_conn(struct rpc *, struct rpc_conn *);

/* Bytes queued for writing. */
size_t rpc_conn_backlog(const struct rpc_conn *);

/*
 * Sends a call.  done() runs exactly once, never before this returns; reply is
 * NULL unless status is RPC_OK, and is freed after done() returns.
 */
void rpc_conn_call(struct rpc_conn *, uint32_t proc, xdrproc_t xdr_args,
    const void *args, xdrproc_t xdr_reply, size_t reply_size,
    int64_t timeout_us, void (*done)(void *ctx, enum rpc_status, void *reply),
    void *ctx);

/* Forgets the done() of every pending call that has this ctx. */
void rpc_conn_drop_callbacks(struct rpc_conn *, void *ctx);

/* Sends a one-way call; -1 if the connection is closing or its output full. */
int rpc_conn_send(
    struct rpc_conn *, uint32_t proc, xdrproc_t xdr_args, const void *args);

/* The connection of a call, or NULL once it has closed. */
struct rpc_conn *rpc_call_conn(const struct rpc_call *);

/* What the caller knew when it sent the call; zeroes if it did not say. */
struct rpc_versions rpc_call_versions(const struct rpc_call *);

/* Answers and frees the call. */
void rpc_call_reply(struct rpc_call *, const void *reply);

#endif
