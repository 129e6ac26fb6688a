/*
 * RPC endpoints against raw sockets.
 *
 * Guards against a peer that affects others: malformed or stalled input, and
 * output that is not read, must close the peer's own connection only.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>
#include <glib.h>

#include "common/metrics.h"
#include "protocol/codec.h"
#include "protocol/tm_xdr.h"
#include "transport/rpc_internal.h"

#define MAX_RECORD 16384
#define MAX_OUTPUT 65536
#define STALL_US 50000
#define TIMEOUT_MS 10000

struct fixture {
	struct event_base *base;
	struct metrics *metrics;
	struct rpc *rpc;
	int good; /* socket of a correct peer */
	int bad; /* socket of the faulty peer */
	int flood; /* notices that the handler sends for each call */
	unsigned handled;
	unsigned not_sent;
};

static void
on_drain(void *ctx, struct rpc_call *call, void *arg)
{
	struct fixture *f = ctx;
	struct tm_leaving notice = { .vm = (char *)"runner-1" };
	struct tm_drain_reply reply = { .code = 7 };
	const struct tm_drain_args *args = arg;
	char *vm = g_strdup(args->vm);

	f->handled++;
	for (int i = 0; i < f->flood; i++)
		(void)rpc_conn_send(rpc_call_conn(call), TM_LEAVING,
		    (xdrproc_t)xdr_tm_leaving, &notice);
	rpc_call_reply(call, &reply);
	/* Valid until the handler returns, also after the reply: see rpc.h. */
	g_assert_cmpstr(args->vm, ==, vm);
	g_free(vm);
}

static const struct rpc_handler handlers[] = {
	{ TM_DRAIN, (xdrproc_t)xdr_tm_drain_args, sizeof(struct tm_drain_args),
	    (xdrproc_t)xdr_tm_drain_reply, on_drain, NULL },
	{ .proc = 0 },
};

static void
on_closed(void *ctx, struct rpc_conn *conn)
{
}

static int
connect_raw(struct fixture *f)
{
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), ==, 0);
	evutil_make_socket_nonblocking(fds[0]);
	evutil_make_socket_nonblocking(fds[1]);
	(void)rpc_accept_socket(f->rpc, fds[1]);
	return fds[0];
}

static void
set_up(struct fixture *f, gconstpointer data)
{
	struct rpc_options opts = {
		.program = TM_PROG,
		.version = TM_V1,
		.handlers = handlers,
		.ctx = f,
		.max_record = MAX_RECORD,
		.max_output = MAX_OUTPUT,
		.max_accepted = 3,
		.stall_us = data == NULL ? STALL_US : *(const int64_t *)data,
		.on_closed = on_closed,
	};

	f->base = event_base_new();
	f->metrics = metrics_create();
	opts.base = f->base;
	opts.metrics = f->metrics;
	f->rpc = rpc_create(&opts);
	f->good = connect_raw(f);
	f->bad = connect_raw(f);
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
	rpc_destroy(f->rpc);
	metrics_destroy(f->metrics);
	event_base_free(f->base);
	close(f->good);
	close(f->bad);
}

static uint64_t
counter_value(struct fixture *f, const char *name)
{
	return *metrics_counter(f->metrics, name, "");
}

/* Runs the loop until fd has len bytes; returns -1 if it is closed before. */
static ssize_t
read_bytes(struct fixture *f, int fd, void *buf, size_t len)
{
	size_t received = 0;

	for (int ms = 0; ms < TIMEOUT_MS; ms++) {
		ssize_t n;

		event_base_loop(f->base, EVLOOP_NONBLOCK);
		n = read(fd, (char *)buf + received, len - received);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			return -1;
		received += n > 0 ? (size_t)n : 0;
		if (received == len)
			return (ssize_t)received;
		g_usleep(1000);
	}
	g_error("neither closed nor answered");
}

static size_t
encode_call(uint32_t *words, uint32_t program, uint32_t version, uint32_t proc)
{
	const uint32_t call[] = { 0, 9, 0, 2, program, version, proc, 0, 0, 0,
		0, 1, 0x61000000 };
	size_t n = G_N_ELEMENTS(call);

	for (size_t i = 0; i < n; i++)
		words[i] = htonl(call[i]);
	words[0] = htonl((uint32_t)(n - 1) * 4 | 0x80000000U);
	return n * 4;
}

/*
 * Sends a call and returns the accept status of its reply, which is the record
 * mark, xid, direction, reply status, verifier (2 words), accept status.
 */
static uint32_t
call_raw(struct fixture *f, int fd, uint32_t program, uint32_t version,
    uint32_t proc)
{
	uint32_t words[32], mark;
	size_t len = encode_call(words, program, version, proc);

	g_assert_cmpint(write(fd, words, len), ==, (ssize_t)len);
	g_assert_cmpint(read_bytes(f, fd, &mark, 4), ==, 4);
	len = ntohl(mark) & 0x7fffffff;
	g_assert_cmpuint(len, <=, sizeof(words));
	g_assert_cmpint(read_bytes(f, fd, words, len), ==, (ssize_t)len);
	g_assert_cmpuint(ntohl(words[0]), ==, 9);
	return ntohl(words[9]);
}

static void
assert_only_bad_closed(struct fixture *f, const char *counter)
{
	char byte;

	g_assert_cmpint(read_bytes(f, f->bad, &byte, 1), ==, -1);
	g_assert_cmpuint(counter_value(f, counter), ==, 1);
	g_assert_cmpuint(
	    call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN), ==, SUCCESS);
}

static void
test_oversized(struct fixture *f, gconstpointer data)
{
	uint32_t mark = htonl((MAX_RECORD + 1) | 0x80000000U);

	call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN);
	g_assert_cmpint(write(f->bad, &mark, 4), ==, 4);
	assert_only_bad_closed(f, "rpc_malformed_records_total");
}

static void
test_many_fragments(struct fixture *f, gconstpointer data)
{
	uint32_t marks[200] = { 0 };

	call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN);
	g_assert_cmpint(write(f->bad, marks, sizeof(marks)), ==, sizeof(marks));
	assert_only_bad_closed(f, "rpc_malformed_records_total");
}

static void
test_garbage(struct fixture *f, gconstpointer data)
{
	uint32_t words[16];

	call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN);
	memset(words, 0x5a, sizeof(words));
	words[0] = htonl(60 | 0x80000000U);
	g_assert_cmpint(write(f->bad, words, sizeof(words)), ==, sizeof(words));
	assert_only_bad_closed(f, "rpc_malformed_records_total");
}

/* The arguments end within a string that is declared to be longer. */
static void
test_truncated_args(struct fixture *f, gconstpointer data)
{
	uint32_t words[32];
	size_t len = encode_call(words, TM_PROG, TM_V1, TM_DRAIN);

	call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN);
	words[11] = htonl(40);
	g_assert_cmpint(write(f->bad, words, len), ==, (ssize_t)len);
	assert_only_bad_closed(f, "rpc_malformed_records_total");
}

static void
test_never_finishing(struct fixture *f, gconstpointer data)
{
	uint32_t words[32];
	size_t len = encode_call(words, TM_PROG, TM_V1, TM_DRAIN);

	call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN);
	g_assert_cmpint(write(f->bad, words, len - 1), ==, (ssize_t)len - 1);
	assert_only_bad_closed(f, "rpc_stalled_connections_total");
}

#define SLOW_STALL_US 500000
static const int64_t slow_stall_us = SLOW_STALL_US;
#define SLOW_PARTS 4 /* of a record, SLOW_STALL_US / 3 apart */
#define SLOW_PART_BYTES 4096

/* A large record over a thin link takes longer than the timeout. */
static void
test_slow_record_closes_connection(struct fixture *f, gconstpointer data)
{
	struct timeval tv = { 0, SLOW_STALL_US / 3 };
	char record[SLOW_PARTS * SLOW_PART_BYTES] = { 0 };
	uint32_t words[32];
	size_t len = encode_call(words, TM_PROG, TM_V1, TM_DRAIN);

	call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN);
	/* Bytes after the arguments are ignored. */
	words[0] = htonl((uint32_t)(sizeof(record) - 4) | 0x80000000U);
	memcpy(record, words, len);
	for (int i = 0; i < SLOW_PARTS; i++) {
		(void)send(f->bad, record + i * SLOW_PART_BYTES,
		    SLOW_PART_BYTES, MSG_NOSIGNAL);
		event_base_loopexit(f->base, &tv);
		event_base_dispatch(f->base);
	}
	g_assert_cmpuint(
	    counter_value(f, "rpc_stalled_connections_total"), ==, 0);
	g_assert_cmpuint(f->handled, ==, 2);
}

static void
test_silent(struct fixture *f, gconstpointer data)
{
	call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN);
	assert_only_bad_closed(f, "rpc_stalled_connections_total");
}

/* A connection may stay idle after its first call. */
static void
test_idle(struct fixture *f, gconstpointer data)
{
	struct timeval tv = { 0, 4 * STALL_US };

	call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN);
	event_base_loopexit(f->base, &tv);
	event_base_dispatch(f->base);
	g_assert_cmpuint(
	    call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN), ==, SUCCESS);
}

/* Rejected with the statuses of RFC 5531; the connection stays open. */
static void
test_unknown(struct fixture *f, gconstpointer data)
{
	g_assert_cmpuint(call_raw(f, f->bad, TM_PROG + 1, TM_V1, TM_DRAIN), ==,
	    PROG_UNAVAIL);
	g_assert_cmpuint(call_raw(f, f->bad, TM_PROG, TM_V1 + 1, TM_DRAIN), ==,
	    PROG_MISMATCH);
	g_assert_cmpuint(
	    call_raw(f, f->bad, TM_PROG, TM_V1, 9999), ==, PROC_UNAVAIL);
	g_assert_cmpuint(counter_value(f, "rpc_rejected_calls_total"), ==, 3);
	g_assert_cmpuint(f->handled, ==, 0);
	g_assert_cmpuint(
	    call_raw(f, f->bad, TM_PROG, TM_V1, TM_DRAIN), ==, SUCCESS);
}

static void
test_unread(struct fixture *f, gconstpointer data)
{
	uint32_t words[32];
	size_t len = encode_call(words, TM_PROG, TM_V1, TM_DRAIN);

	call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN);
	f->flood = 2 * MAX_OUTPUT / 64;
	g_assert_cmpint(write(f->bad, words, len), ==, (ssize_t)len);
	for (int ms = 0; ms < TIMEOUT_MS &&
			 counter_value(f, "rpc_unread_connections_total") == 0;
	     ms++) {
		event_base_loop(f->base, EVLOOP_NONBLOCK);
		g_usleep(1000);
	}
	f->flood = 0;
	g_assert_cmpuint(
	    counter_value(f, "rpc_unread_connections_total"), ==, 1);
	g_assert_cmpuint(
	    call_raw(f, f->good, TM_PROG, TM_V1, TM_DRAIN), ==, SUCCESS);
}

static void
test_too_many(struct fixture *f, gconstpointer data)
{
	int third = connect_raw(f), fourth = connect_raw(f);
	char byte;

	g_assert_cmpint(read_bytes(f, fourth, &byte, 1), ==, -1);
	g_assert_cmpuint(
	    counter_value(f, "rpc_refused_connections_total"), ==, 1);
	close(fourth);
	close(third);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	third = connect_raw(f);
	g_assert_cmpuint(
	    call_raw(f, third, TM_PROG, TM_V1, TM_DRAIN), ==, SUCCESS);
	close(third);
}

/* ---- calls on a connection that closes ---- */

struct call_ctx {
	struct fixture *f;
	struct rpc_conn *conn;
};

static void
on_retried(void *ctx, enum rpc_status status, void *reply)
{
	struct call_ctx *call_ctx = ctx;

	g_assert_cmpint(status, ==, RPC_NOT_SENT);
	call_ctx->f->not_sent++;
}

static void
on_lost(void *ctx, enum rpc_status status, void *reply)
{
	struct call_ctx *call_ctx = ctx;
	struct tm_drain_args args = { .vm = (char *)"x" };

	g_assert_cmpint(status, ==, RPC_CONN_LOST);
	rpc_conn_call(call_ctx->conn, TM_DRAIN, (xdrproc_t)xdr_tm_drain_args,
	    &args, (xdrproc_t)xdr_tm_drain_reply, sizeof(struct tm_drain_reply),
	    1000000, on_retried, call_ctx);
}

/* A call's callback may start another call on a connection being closed. */
static void
test_call_while_closing(struct fixture *f, gconstpointer data)
{
	struct call_ctx call_ctx = { .f = f,
		.conn = rpc_next_conn(f->rpc, NULL) };
	struct tm_drain_args args = { .vm = (char *)"x" };

	rpc_conn_call(call_ctx.conn, TM_DRAIN, (xdrproc_t)xdr_tm_drain_args,
	    &args, (xdrproc_t)xdr_tm_drain_reply, sizeof(struct tm_drain_reply),
	    1000000, on_lost, &call_ctx);
	rpc_conn_close(call_ctx.conn);
	for (int ms = 0; ms < TIMEOUT_MS && f->not_sent == 0; ms++) {
		event_base_loop(f->base, EVLOOP_NONBLOCK);
		g_usleep(1000);
	}
	g_assert_cmpuint(f->not_sent, ==, 1);
}

static bool
is_listed(const struct rpc *rpc, const struct rpc_conn *conn)
{
	const struct rpc_conn *c;

	TAILQ_FOREACH(c, &rpc->conns, link) {
		if (c == conn)
			return true;
	}
	return false;
}

/* As its owner does that gives the call up. */
static void
on_ended(void *ctx, enum rpc_status status, void *reply)
{
	struct call_ctx *call_ctx = ctx;

	g_assert_true(is_listed(call_ctx->f->rpc, call_ctx->conn));
	rpc_conn_drop_callbacks(call_ctx->conn, call_ctx->f->metrics);
	call_ctx->f->not_sent += status == RPC_NOT_SENT;
}

/*
 * Guards against a connection that is freed before a call ends that it closed
 * within: owners keep it until then, to give the call up.
 */
static void
test_call_outlives_connection(struct fixture *f, gconstpointer data)
{
	struct call_ctx call_ctx = { .f = f,
		.conn = rpc_next_conn(f->rpc, NULL) };
	char *vm = g_strnfill(TM_NAME_MAX, 'v');
	struct tm_drain_args args = { .vm = vm };

	/* The peer reads nothing: the output queue fills up. */
	for (int i = 0; i < MAX_OUTPUT / TM_NAME_MAX && !call_ctx.conn->closing;
	     i++)
		rpc_conn_call(call_ctx.conn, TM_DRAIN,
		    (xdrproc_t)xdr_tm_drain_args, &args,
		    (xdrproc_t)xdr_tm_drain_reply,
		    sizeof(struct tm_drain_reply), 1000000, on_ended,
		    &call_ctx);
	g_assert_true(call_ctx.conn->closing);
	for (int ms = 0; ms < TIMEOUT_MS && f->not_sent == 0; ms++) {
		event_base_loop(f->base, EVLOOP_NONBLOCK);
		g_usleep(1000);
	}
	g_assert_cmpuint(f->not_sent, ==, 1);
	g_free(vm);
}

#define ADD_TEST(name)                                                         \
	g_test_add("/rpc/" #name, struct fixture, NULL, set_up, test_##name,   \
	    tear_down)

/* The size of a record is limited, as its reader allocates that much. */
static void
test_record_max(void)
{
	struct tm_raw_record record = { .offset = 1 };
	char *data = g_malloc0(TM_RECORD_MAX + 1);
	void *bytes;
	size_t len;

	record.data.data_val = data;
	record.data.data_len = TM_RECORD_MAX;
	bytes = codec_encode((xdrproc_t)xdr_tm_raw_record, &record, &len);
	g_assert_nonnull(bytes);
	free(bytes);
	record.data.data_len = TM_RECORD_MAX + 1;
	g_assert_null(
	    codec_encode((xdrproc_t)xdr_tm_raw_record, &record, &len));
	g_free(data);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST(oversized);
	ADD_TEST(many_fragments);
	ADD_TEST(garbage);
	ADD_TEST(truncated_args);
	ADD_TEST(never_finishing);
	g_test_add("/rpc/slow_record_closes_connection", struct fixture,
	    &slow_stall_us, set_up, test_slow_record_closes_connection,
	    tear_down);
	ADD_TEST(silent);
	ADD_TEST(idle);
	ADD_TEST(unknown);
	ADD_TEST(unread);
	ADD_TEST(too_many);
	ADD_TEST(call_while_closing);
	ADD_TEST(call_outlives_connection);
	g_test_add_func("/rpc/huge_record", test_record_max);
	return g_test_run();
}
