#include "entry/demand_reporter.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/metrics.h"
#include "coordination/daemon.h"
#include "coordination/demand.h"
#include "coordination/membership.h"
#include "coordination/store.h"
#include "transport/rpc.h"

struct demand_reporter {
	struct demand_reporter_options opts;
	char holder[CONTROL_NAME_MAX];
	char address[CONTROL_NAME_MAX]; /* RPC address of the holder */
	struct rpc_conn *conn; /* connected or connecting; NULL: none */
	bool connected;
	uint64_t sequence; /* of the last report */
	int64_t reported_us; /* time of the last report */
	struct event *timer;
	uint64_t *reports_sent;
};

static void
close_conn(struct demand_reporter *r)
{
	struct rpc_conn *conn = r->conn;

	r->conn = NULL;
	r->connected = false;
	if (conn != NULL)
		rpc_conn_close(conn);
}

static void
on_opened(void *ctx, struct rpc_conn *conn, bool ok)
{
	struct demand_reporter *r = ctx;

	if (r->conn != conn)
		return; /* the holder changed meanwhile */
	if (ok)
		r->connected = true;
	else
		r->conn = NULL;
}

/* The address in the platform's list, or if not listed that in the lease. */
static const char *
holder_address(
    const struct demand_reporter *r, const struct control_lease *lease)
{
	const struct peer *peer =
	    membership_find(r->opts.daemon->membership, lease->holder);

	return peer != NULL && peer->listed ? peer->vm.address : lease->address;
}

/* Shard 0 decides for all models. */
static void
follow_lease(struct demand_reporter *r)
{
	const struct control_lease *lease =
	    control_lease(store_control(r->opts.daemon->store), 0);
	const char *address = holder_address(r, lease);

	if (strcmp(r->holder, lease->holder) == 0 &&
	    strcmp(r->address, address) == 0)
		return;
	strlcpy(r->holder, lease->holder, sizeof(r->holder));
	strlcpy(r->address, address, sizeof(r->address));
	close_conn(r);
}

void
demand_reporter_conn_closed(
    struct demand_reporter *r, const struct rpc_conn *conn)
{
	if (r->conn != conn)
		return;
	r->conn = NULL;
	r->connected = false;
}

static void
send_report(struct demand_reporter *r, bool local)
{
	int64_t now = clock_now(r->opts.daemon->clock);
	struct tm_demand_report report = {
		.entry = (char *)r->opts.self,
		.sequence = r->sequence + 1,
		.interval_ms = (u_int)((now - r->reported_us) / USEC_PER_MSEC),
	};

	if (!demand_take(r->opts.demand, &report))
		return;
	r->sequence++;
	r->reported_us = now;
	(*r->reports_sent)++;
	if (local)
		r->opts.deliver_local(r->opts.ctx, &report);
	else
		(void)rpc_conn_send(r->conn, TM_DEMAND,
		    (xdrproc_t)xdr_tm_demand_report, &report);
	demand_report_clear(&report);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct demand_reporter *r = arg;

	follow_lease(r);
	if (r->holder[0] == '\0')
		return;
	if (strcmp(r->holder, r->opts.self) == 0)
		send_report(r, true);
	else if (r->connected)
		send_report(r, false);
	else if (r->conn == NULL)
		r->conn =
		    rpc_connect(r->opts.daemon->rpc, r->address, on_opened, r);
}

struct demand_reporter *
demand_reporter_create(const struct demand_reporter_options *opts)
{
	struct demand_reporter *r = calloc(1, sizeof(*r));
	struct timeval tv = clock_timeval(opts->interval_us);

	if (r == NULL)
		abort();
	r->opts = *opts;
	r->reported_us = clock_now(opts->daemon->clock);
	r->reports_sent =
	    metrics_counter(opts->daemon->metrics, "demand_reports_total", "");
	r->timer = event_new(opts->daemon->base, -1, EV_PERSIST, on_timer, r);
	if (r->timer == NULL)
		abort();
	event_add(r->timer, &tv);
	return r;
}

void
demand_reporter_destroy(struct demand_reporter *r)
{
	if (r == NULL)
		return;
	event_free(r->timer);
	free(r);
}
