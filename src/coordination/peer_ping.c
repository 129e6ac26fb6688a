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
	int64_t sent_us;
};

static void
on_reply(void *ctx, enum rpc_status status, void *reply)
{
	struct ping *ping = ctx;

	if (status == RPC_OK)
		store_note_peer_contact(
		    ping->peer_ping->opts.store, ping->sent_us);
	free(ping);
}

/* A ping is a pull from the highest version: the reply is always empty. */
static void
send_ping(struct peer_ping *p, struct rpc_conn *conn)
{
	struct tm_pull_args args = { .stream = TM_STREAM_CONTROL,
		.have = UINT64_MAX };
	struct ping *ping = calloc(1, sizeof(*ping));

	if (ping == NULL)
		abort();
	ping->peer_ping = p;
	ping->sent_us = clock_now(p->opts.clock);
	rpc_conn_call(conn, TM_PULL, (xdrproc_t)xdr_tm_pull_args, &args,
	    (xdrproc_t)xdr_tm_pull_reply, sizeof(struct tm_pull_reply),
	    PING_TIMEOUT_US, on_reply, ping);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct peer_ping *p = arg;
	struct timeval tv = clock_timeval(p->opts.interval_us);
	struct rpc_conn *conn = NULL;

	evtimer_add(p->timer, &tv);
	if (clock_now(p->opts.clock) - store_last_log_contact(p->opts.store) <
	    p->opts.log_silence_us)
		return;
	while ((conn = rpc_next_conn(p->opts.rpc, conn)) != NULL)
		send_ping(p, conn);
}

struct peer_ping *
peer_ping_create(const struct peer_ping_options *opts)
{
	struct peer_ping *p = calloc(1, sizeof(*p));
	struct timeval now = { 0, 0 };

	if (p == NULL)
		abort();
	p->opts = *opts;
	p->timer = evtimer_new(opts->base, on_timer, p);
	if (p->timer == NULL)
		abort();
	evtimer_add(p->timer, &now);
	return p;
}

void
peer_ping_destroy(struct peer_ping *p)
{
	if (p == NULL)
		return;
	event_free(p->timer);
	free(p);
}
