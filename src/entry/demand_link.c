#include "entry/demand_link.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/metrics.h"
#include "coordination/demand.h"
#include "coordination/membership.h"
#include "coordination/node.h"
#include "coordination/store.h"
#include "transport/rpc.h"

struct demand_link {
	struct demand_link_options opts;
	char holder[CONTROL_NAME_MAX];
	char address[CONTROL_NAME_MAX];
	struct rpc_conn *conn; /* open or opening; NULL: none */
	bool open;
	uint64_t sequence;
	int64_t reported_us;
	struct event *timer;
	uint64_t *reports;
};

static void
close_conn(struct demand_link *l)
{
	struct rpc_conn *conn = l->conn;

	l->conn = NULL;
	l->open = false;
	if (conn != NULL)
		rpc_conn_close(conn);
}

static void
on_opened(void *ctx, struct rpc_conn *conn, bool ok)
{
	struct demand_link *l = ctx;

	if (l->conn != conn)
		return; /* the holder changed meanwhile */
	if (ok)
		l->open = true;
	else
		l->conn = NULL;
}

/* Where the platform lists the holder; else where it says itself. */
static const char *
holder_address(const struct demand_link *l, const struct control_lease *lease)
{
	const struct peer *peer =
	    membership_find(l->opts.node->membership, lease->holder);

	return peer != NULL && peer->listed ? peer->vm.address : lease->address;
}

/* One shard decides for all models today. */
static void
follow_lease(struct demand_link *l)
{
	const struct control_lease *lease =
	    control_lease(store_control(l->opts.node->store), 0);
	const char *address = holder_address(l, lease);

	if (strcmp(l->holder, lease->holder) == 0 &&
	    strcmp(l->address, address) == 0)
		return;
	strlcpy(l->holder, lease->holder, sizeof(l->holder));
	strlcpy(l->address, address, sizeof(l->address));
	close_conn(l);
}

void
demand_link_conn_closed(struct demand_link *l, const struct rpc_conn *conn)
{
	if (l->conn != conn)
		return;
	l->conn = NULL;
	l->open = false;
}

static void
send_report(struct demand_link *l, bool local)
{
	int64_t now = clock_now(l->opts.node->clock);
	struct tm_demand_report report = {
		.entry = (char *)l->opts.self,
		.sequence = l->sequence + 1,
		.interval_ms = (u_int)((now - l->reported_us) / USEC_PER_MSEC),
	};

	if (!demand_take(l->opts.demand, &report))
		return;
	l->sequence++;
	l->reported_us = now;
	(*l->reports)++;
	if (local)
		l->opts.local(l->opts.ctx, &report);
	else
		(void)rpc_conn_send(l->conn, TM_DEMAND,
		    (xdrproc_t)xdr_tm_demand_report, &report);
	demand_report_clear(&report);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct demand_link *l = arg;

	follow_lease(l);
	if (l->holder[0] == '\0')
		return;
	if (strcmp(l->holder, l->opts.self) == 0)
		send_report(l, true);
	else if (l->open)
		send_report(l, false);
	else if (l->conn == NULL)
		l->conn =
		    rpc_connect(l->opts.node->rpc, l->address, on_opened, l);
}

struct demand_link *
demand_link_create(const struct demand_link_options *opts)
{
	struct demand_link *l = calloc(1, sizeof(*l));
	struct timeval tv = clock_timeval(opts->interval_us);

	if (l == NULL)
		abort();
	l->opts = *opts;
	l->reported_us = clock_now(opts->node->clock);
	l->reports =
	    metrics_counter(opts->node->metrics, "demand_reports_total", "");
	l->timer = event_new(opts->node->base, -1, EV_PERSIST, on_timer, l);
	if (l->timer == NULL)
		abort();
	event_add(l->timer, &tv);
	return l;
}

void
demand_link_destroy(struct demand_link *l)
{
	if (l == NULL)
		return;
	event_free(l->timer);
	free(l);
}
