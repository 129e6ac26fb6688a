#include "entry/report_poll.h"

#include <stdlib.h>

#include <bsd/string.h>
#include <event2/event.h>

#include "common/clock.h"
#include "coordination/daemon.h"
#include "coordination/membership.h"
#include "transport/rpc.h"

struct report_poll {
	struct daemon *daemon;
	int64_t interval_us;
	struct event *timer;
};

struct status_call {
	struct daemon *daemon;
	char vm[VM_TEXT_MAX];
};

static void
on_status_reply(void *ctx, enum rpc_status status, void *arg)
{
	struct status_call *call = ctx;
	struct tm_status_reply *reply = arg;
	struct peer *peer = membership_find(call->daemon->membership, call->vm);

	if (status == RPC_OK && peer != NULL)
		membership_apply_report(
		    call->daemon->membership, peer, &reply->load);
	free(call);
}

static bool_t
xdr_nothing(XDR *xdrs, ...)
{
	return TRUE;
}

static void
request_status(struct report_poll *p, const struct peer *peer)
{
	struct status_call *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	call->daemon = p->daemon;
	strlcpy(call->vm, peer->vm.id, sizeof(call->vm));
	rpc_conn_call(peer->conn, TM_STATUS, xdr_nothing, NULL,
	    (xdrproc_t)xdr_tm_status_reply, sizeof(struct tm_status_reply),
	    p->interval_us, on_status_reply, call);
}

static bool
has_no_report(const struct peer *peer)
{
	return peer->conn != NULL && peer->incarnation != 0 &&
	       peer->vm.role == VM_ENGINE && peer->memory_total == 0;
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct report_poll *p = arg;
	struct peer *peer = NULL;

	while ((peer = membership_next(p->daemon->membership, peer)) != NULL) {
		if (has_no_report(peer))
			request_status(p, peer);
	}
}

struct report_poll *
report_poll_create(struct daemon *daemon, int64_t interval_us)
{
	struct report_poll *p = calloc(1, sizeof(*p));
	struct timeval tv = clock_timeval(interval_us);

	if (p == NULL)
		abort();
	p->daemon = daemon;
	p->interval_us = interval_us;
	p->timer = event_new(daemon->base, -1, EV_PERSIST, on_timer, p);
	if (p->timer == NULL)
		abort();
	event_add(p->timer, &tv);
	return p;
}

void
report_poll_destroy(struct report_poll *p)
{
	if (p == NULL)
		return;
	event_free(p->timer);
	free(p);
}
