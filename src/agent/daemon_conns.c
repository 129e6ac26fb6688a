#include "agent/daemon_conns.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>

#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

#define DAEMON_CONNS_MAX 4096 /* above it, the oldest is removed if closed */

struct daemon_conn {
	char vm[TM_NAME_MAX + 1];
	uint64_t incarnation; /* of the daemon, from its newest hello */
	uint64_t connection; /* number in that hello */
	struct rpc_conn *conn; /* NULL: closed */
	TAILQ_ENTRY(daemon_conn) link;
};

struct daemon_conns {
	TAILQ_HEAD(daemon_conn_list, daemon_conn) list; /* newest first */
	unsigned count;
};

struct daemon_conns *
daemon_conns_create(void)
{
	struct daemon_conns *conns = calloc(1, sizeof(*conns));

	if (conns == NULL)
		abort();
	TAILQ_INIT(&conns->list);
	return conns;
}

static void
remove_daemon(struct daemon_conns *conns, struct daemon_conn *d)
{
	TAILQ_REMOVE(&conns->list, d, link);
	conns->count--;
	free(d);
}

void
daemon_conns_destroy(struct daemon_conns *conns)
{
	if (conns == NULL)
		return;
	while (!TAILQ_EMPTY(&conns->list))
		remove_daemon(conns, TAILQ_FIRST(&conns->list));
	free(conns);
}

static struct daemon_conn *
find_daemon(const struct daemon_conns *conns, const char *vm)
{
	struct daemon_conn *d;

	TAILQ_FOREACH(d, &conns->list, link) {
		if (strcmp(d->vm, vm) == 0)
			return d;
	}
	return NULL;
}

static struct daemon_conn *
add_daemon(struct daemon_conns *conns, const char *vm)
{
	struct daemon_conn *d = calloc(1, sizeof(*d)), *oldest;

	if (d == NULL)
		abort();
	strlcpy(d->vm, vm, sizeof(d->vm));
	TAILQ_INSERT_HEAD(&conns->list, d, link);
	if (++conns->count > DAEMON_CONNS_MAX) {
		oldest = TAILQ_LAST(&conns->list, daemon_conn_list);
		if (oldest->conn == NULL)
			remove_daemon(conns, oldest);
	}
	return d;
}

void
daemon_conns_on_hello(struct daemon_conns *conns, struct rpc_conn *conn,
    const struct tm_hello_args *args)
{
	struct daemon_conn *d = find_daemon(conns, args->vm);
	struct rpc_conn *older;

	if (d == NULL)
		d = add_daemon(conns, args->vm);
	if (d->incarnation == args->incarnation &&
	    args->connection < d->connection) {
		rpc_conn_close(conn);
		return;
	}
	older = d->conn;
	d->incarnation = args->incarnation;
	d->connection = args->connection;
	d->conn = conn;
	if (older != NULL && older != conn)
		rpc_conn_close(older);
}

void
daemon_conns_on_closed(struct daemon_conns *conns, struct rpc_conn *conn)
{
	struct daemon_conn *d;

	TAILQ_FOREACH(d, &conns->list, link) {
		if (d->conn == conn)
			d->conn = NULL;
	}
}

bool
daemon_conns_is_current(
    const struct daemon_conns *conns, const struct rpc_conn *conn)
{
	const struct daemon_conn *d;

	TAILQ_FOREACH(d, &conns->list, link) {
		if (d->conn == conn)
			return true;
	}
	return false;
}

struct rpc_conn *
daemon_conns_find(const struct daemon_conns *conns, const char *vm)
{
	const struct daemon_conn *d = find_daemon(conns, vm);

	return d == NULL ? NULL : d->conn;
}
