/*
 * Passes any bytes from a peer to the record reader and the codecs of the
 * messages.  They must not close the connection of another peer.
 */
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>

#include "common/metrics.h"
#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

#define MAX_RECORD_BYTES 65536
#define MAX_OUTPUT_BYTES 65536
#define MAX_INPUT_BYTES 4096
#define LOOP_PASSES 4

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

static void
on_one_way(void *ctx, struct rpc_call *call, void *args)
{
}

static void
on_hello(void *ctx, struct rpc_call *call, void *args)
{
	struct tm_hello_reply reply = { .vm = (char *)"vm" };

	rpc_call_reply(call, &reply);
}

#define ONE_WAY(proc, type)                                                    \
	{                                                                      \
		proc, (xdrproc_t)xdr_##type, sizeof(struct type), NULL,        \
		    on_one_way, NULL                                           \
	}

/* The procedure numbers are not those of TM_PROG: each selects a codec. */
static const struct rpc_handler handlers[] = {
	{ 1, (xdrproc_t)xdr_tm_hello_args, sizeof(struct tm_hello_args),
	    (xdrproc_t)xdr_tm_hello_reply, on_hello, NULL },
	ONE_WAY(2, tm_pull_reply),
	ONE_WAY(3, tm_dispatch_args),
	ONE_WAY(4, tm_chunk),
	ONE_WAY(5, tm_finish),
	ONE_WAY(6, tm_config_record),
	ONE_WAY(7, tm_control_record),
	ONE_WAY(8, tm_status_reply),
	{ .proc = 0 },
};

static void
on_versions(
    void *ctx, struct rpc_conn *conn, const struct rpc_versions *versions)
{
}

static int
connect_peer(struct rpc *rpc)
{
	int fds[2];

	if (socketpair(AF_UNIX, SOCK_STREAM, 0, fds) == -1)
		abort();
	evutil_make_socket_nonblocking(fds[0]);
	evutil_make_socket_nonblocking(fds[1]);
	if (rpc_accept_socket(rpc, fds[1]) == -1)
		abort();
	return fds[0];
}

static void
write_and_dispatch(
    struct event_base *base, int fd, const uint8_t *data, size_t len)
{
	if (write(fd, data, len) != (ssize_t)len)
		abort();
	for (int i = 0; i < LOOP_PASSES; i++)
		event_base_loop(base, EVLOOP_NONBLOCK);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static struct event_base *base;
	struct rpc_options opts = {
		.program = TM_PROG,
		.version = TM_V1,
		.handlers = handlers,
		.max_record = MAX_RECORD_BYTES,
		.max_output = MAX_OUTPUT_BYTES,
		.on_versions = on_versions,
	};
	struct rpc_conn *good_conn;
	struct rpc *rpc;
	int good_fd, fuzzed_fd;

	if (len == 0 || len > MAX_INPUT_BYTES)
		return 0;
	if (base == NULL)
		base = event_base_new();
	opts.base = base;
	opts.metrics = metrics_create();
	rpc = rpc_create(&opts);
	good_fd = connect_peer(rpc);
	good_conn = rpc_next_conn(rpc, NULL);
	fuzzed_fd = connect_peer(rpc);
	write_and_dispatch(base, fuzzed_fd, data, len);
	if (rpc_next_conn(rpc, NULL) != good_conn)
		abort();
	rpc_destroy(rpc);
	metrics_destroy(opts.metrics);
	close(good_fd);
	close(fuzzed_fd);
	return 0;
}
