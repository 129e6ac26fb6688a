#include "coordination/peer_ping.h"

#include <stdlib.h>

#include <event2/event.h>

#include "common/clock.h"
#include "coordination/store.h"
#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

#define PING_TIMEOUT_US (2 * USEC_PER_SEC)

struct peer_ping {
	struct peer_ping_options opts;
	struct event *timer;
};

struct ping {
	struct peer_ping *peer_ping;
	int64_t asked_us;
};

static void
on_pong(void *ctx, enum rpc_status status, void *reply)
{
	struct ping *ping = ctx;

	if (status == RPC_OK)
		store_note_contact(ping->peer_ping->opts.store, ping->asked_us);
	free(ping);
}

/* A pull that can have no answer but an empty one. */
static void
send_ping(struct peer_ping *c, struct rpc_conn *conn)
{
	struct tm_pull_args args = { .stream = TM_STREAM_CONTROL,
		.have = UINT64_MAX };
	struct ping *ping = calloc(1, sizeof(*ping));

	if (ping == NULL)
		abort();
	ping->peer_ping = c;
	ping->asked_us = clock_now(c->opts.clock);
	rpc_conn_call(conn, TM_PULL, (xdrproc_t)xdr_tm_pull_args, &args,
	    (xdrproc_t)xdr_tm_pull_reply, sizeof(struct tm_pull_reply),
	    PING_TIMEOUT_US, on_pong, ping);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct peer_ping *c = arg;
	struct timeval tv = clock_timeval(c->opts.interval_us);
	struct rpc_conn *conn = NULL;

	evtimer_add(c->timer, &tv);
	if (clock_now(c->opts.clock) - store_log_contact(c->opts.store) <
	    c->opts.quiet_us)
		return;
	while ((conn = rpc_next_conn(c->opts.rpc, conn)) != NULL)
		send_ping(c, conn);
}

struct peer_ping *
peer_ping_create(const struct peer_ping_options *opts)
{
	struct peer_ping *c = calloc(1, sizeof(*c));
	struct timeval now = { 0, 0 };

	if (c == NULL)
		abort();
	c->opts = *opts;
	c->timer = evtimer_new(opts->base, on_timer, c);
	if (c->timer == NULL)
		abort();
	evtimer_add(c->timer, &now);
	return c;
}

void
peer_ping_destroy(struct peer_ping *c)
{
	if (c == NULL)
		return;
	event_free(c->timer);
	free(c);
}
