#include "agent/daemon_conns.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>

#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

#define DAEMON_CONNS_MAX 4096 /* the longest unused is forgotten beyond */

struct link {
	char vm[TM_NAME_MAX + 1];
	uint64_t incarnation;
	uint64_t connection;
	struct rpc_conn *conn; /* NULL while down */
	TAILQ_ENTRY(link) link;
};

struct links {
	TAILQ_HEAD(link_list, link) list; /* newest hello first */
	unsigned count;
};

struct links *
daemon_conns_create(void)
{
	struct links *links = calloc(1, sizeof(*links));

	if (links == NULL)
		abort();
	TAILQ_INIT(&links->list);
	return links;
}

static void
drop(struct links *links, struct link *l)
{
	TAILQ_REMOVE(&links->list, l, link);
	links->count--;
	free(l);
}

void
daemon_conns_destroy(struct links *links)
{
	if (links == NULL)
		return;
	while (!TAILQ_EMPTY(&links->list))
		drop(links, TAILQ_FIRST(&links->list));
	free(links);
}

static struct link *
find(const struct links *links, const char *vm)
{
	struct link *l;

	TAILQ_FOREACH(l, &links->list, link) {
		if (strcmp(l->vm, vm) == 0)
			return l;
	}
	return NULL;
}

static struct link *
add(struct links *links, const char *vm)
{
	struct link *l = calloc(1, sizeof(*l)), *oldest;

	if (l == NULL)
		abort();
	strlcpy(l->vm, vm, sizeof(l->vm));
	TAILQ_INSERT_HEAD(&links->list, l, link);
	if (++links->count > DAEMON_CONNS_MAX) {
		oldest = TAILQ_LAST(&links->list, link_list);
		if (oldest->conn == NULL)
			drop(links, oldest);
	}
	return l;
}

void
daemon_conns_on_hello(struct links *links, struct rpc_conn *conn,
    const struct tm_hello_args *args)
{
	struct link *l = find(links, args->vm);
	struct rpc_conn *older;

	if (l == NULL)
		l = add(links, args->vm);
	if (l->incarnation == args->incarnation &&
	    args->connection < l->connection) {
		rpc_conn_close(conn);
		return;
	}
	older = l->conn;
	l->incarnation = args->incarnation;
	l->connection = args->connection;
	l->conn = conn;
	if (older != NULL && older != conn)
		rpc_conn_close(older);
}

void
daemon_conns_on_closed(struct links *links, struct rpc_conn *conn)
{
	struct link *l;

	TAILQ_FOREACH(l, &links->list, link) {
		if (l->conn == conn)
			l->conn = NULL;
	}
}

bool
daemon_conns_is_current(const struct links *links, const struct rpc_conn *conn)
{
	const struct link *l;

	TAILQ_FOREACH(l, &links->list, link) {
		if (l->conn == conn)
			return true;
	}
	return false;
}

struct rpc_conn *
daemon_conns_find(const struct links *links, const char *vm)
{
	const struct link *l = find(links, vm);

	return l == NULL ? NULL : l->conn;
}
