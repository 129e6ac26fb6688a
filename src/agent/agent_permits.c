/*
 * Permits for the loader to load from the weight store.
 *
 * The holder of the model's control shard grants a permit, or refuses it for
 * some time.  While no holder can be reached, the agent grants permits itself,
 * up to the numbers of loads set in [weights].  Loading a model from a local
 * copy needs no permit of the holder.
 */
#include "agent/agent_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "agent/daemon_conns.h"
#include "common/clock.h"
#include "common/metrics.h"
#include "coordination/loader.h"
#include "coordination/store.h"
#include "transport/rpc.h"

/* Longest wait for the holder's reply, before offline permits are used. */
#define PERMIT_TIMEOUT_US (300 * USEC_PER_MSEC)

enum permit_state {
	PERMIT_REQUESTED, /* waiting for the holder's reply */
	PERMIT_REFUSED, /* by the holder, until retry_us */
	PERMIT_FROM_HOLDER, /* granted by the holder */
	PERMIT_OFFLINE, /* granted here, as no holder could be reached */
	PERMIT_NOT_NEEDED, /* the load is from a local copy */
};

/* A permit that is requested or granted. */
struct agent_permit {
	struct agent *agent;
	char model[TM_NAME_MAX + 1];
	char adapter[TM_NAME_MAX + 1]; /* empty: for the model itself */
	enum permit_state state;
	int64_t retry_us; /* if PERMIT_REFUSED */
	uint64_t id; /* given by the holder, if PERMIT_FROM_HOLDER */
	TAILQ_ENTRY(agent_permit) link;
};

static struct agent_permit *
find_permit(struct agent *a, const char *model, const char *adapter)
{
	struct agent_permit *p;

	TAILQ_FOREACH(p, &a->permits, link) {
		if (strcmp(p->model, model) == 0 &&
		    strcmp(p->adapter, adapter) == 0)
			return p;
	}
	return NULL;
}

static void
free_permit(struct agent_permit *p)
{
	TAILQ_REMOVE(&p->agent->permits, p, link);
	free(p);
}

/* The connection to the holder of the model's shard; NULL if none. */
static struct rpc_conn *
holder_conn(struct agent *a, const char *model)
{
	const struct control *control = store_control(a->daemon->store);
	const struct control_lease *lease =
	    control_lease(control, control_shard_of(control, model));

	return lease->holder[0] == '\0'
		   ? NULL
		   : daemon_conns_find(a->daemon_conns, lease->holder);
}

static void
grant_permit(struct agent_permit *p, enum permit_state state)
{
	p->state = state;
	loader_permit_reply(p->agent->loader, p->model, p->adapter, true);
}

/* Frees the permit; the loader requests a new one at its next tick. */
static void
refuse_permit(struct agent_permit *p)
{
	struct agent *a = p->agent;
	char model[TM_NAME_MAX + 1], adapter[TM_NAME_MAX + 1];

	strlcpy(model, p->model, sizeof(model));
	strlcpy(adapter, p->adapter, sizeof(adapter));
	free_permit(p);
	loader_permit_reply(a->loader, model, adapter, false);
}

/* Counts the offline permits for adapters or for models. */
static unsigned
count_offline(const struct agent *a, bool adapter)
{
	const struct agent_permit *p;
	unsigned n = 0;

	TAILQ_FOREACH(p, &a->permits, link)
		n += p->state == PERMIT_OFFLINE &&
		     (p->adapter[0] != '\0') == adapter;
	return n;
}

/* Grants the permit without the holder, or refuses it at the limit. */
static void
grant_offline(struct agent_permit *p)
{
	struct agent *a = p->agent;
	bool adapter = p->adapter[0] != '\0';
	int64_t limit = adapter ? a->settings.max_offline_adapter_loads
				: a->settings.max_offline_loads;

	if (count_offline(a, adapter) >= limit) {
		refuse_permit(p);
		return;
	}
	(*a->offline_permits)++;
	grant_permit(p, PERMIT_OFFLINE);
}

static void
on_permit_reply(void *ctx, enum rpc_status status, void *arg)
{
	struct agent_permit *p = ctx;
	struct agent *a = p->agent;
	struct tm_permit_reply *reply = arg;

	if (status != RPC_OK || !reply->holder) {
		grant_offline(p);
		return;
	}
	if (reply->granted) {
		p->id = reply->permit;
		(*a->holder_permits)++;
		grant_permit(p, PERMIT_FROM_HOLDER);
		return;
	}
	p->state = PERMIT_REFUSED;
	p->retry_us = clock_now(a->daemon->clock) +
		      (int64_t)reply->retry_after_ms * USEC_PER_MSEC;
}

static void
request_from_holder(struct agent_permit *p, struct rpc_conn *conn,
    const struct loader_request *request)
{
	struct agent *a = p->agent;
	int64_t left = request->deadline_us - clock_now(a->daemon->clock);
	struct tm_permit_args args = {
		.runner = a->settings.daemon.vm,
		.model = p->adapter[0] != '\0' ? p->adapter : p->model,
		.adapter = p->adapter[0] != '\0',
		.rank = (char *)request->rank,
		.wait_us = left > 0 ? (u_quad_t)left : 0,
	};

	p->state = PERMIT_REQUESTED;
	rpc_conn_call(conn, TM_PERMIT, (xdrproc_t)xdr_tm_permit_args, &args,
	    (xdrproc_t)xdr_tm_permit_reply, sizeof(struct tm_permit_reply),
	    PERMIT_TIMEOUT_US, on_permit_reply, p);
}

void
agent_request_permit(
    void *ctx, const struct loader_request *request, bool adapter)
{
	struct agent *a = ctx;
	const char *name = adapter ? request->adapter : "";
	struct agent_permit *p = find_permit(a, request->model, name);
	struct rpc_conn *conn = holder_conn(a, request->model);

	if (p != NULL)
		return; /* requested before; that answer serves this, too */
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		abort();
	p->agent = a;
	strlcpy(p->model, request->model, sizeof(p->model));
	strlcpy(p->adapter, name, sizeof(p->adapter));
	TAILQ_INSERT_TAIL(&a->permits, p, link);
	if (!adapter && !loader_is_remote(a->loader, request->model))
		grant_permit(p, PERMIT_NOT_NEEDED);
	else if (conn != NULL)
		request_from_holder(p, conn, request);
	else
		grant_offline(p);
}

void
agent_return_permit(void *ctx, const char *model, const char *adapter)
{
	struct agent *a = ctx;
	struct agent_permit *p = find_permit(a, model, adapter);
	struct tm_permit_return args;
	struct rpc_conn *conn;

	if (p == NULL)
		return;
	conn = holder_conn(a, model);
	if (p->state == PERMIT_FROM_HOLDER && conn != NULL) {
		args.permit = p->id;
		(void)rpc_conn_send(conn, TM_PERMIT_RETURN,
		    (xdrproc_t)xdr_tm_permit_return, &args);
	}
	free_permit(p);
}

void
agent_retry_permits(struct agent *a)
{
	int64_t now = clock_now(a->daemon->clock);
	struct agent_permit *p, *next;

	TAILQ_FOREACH_SAFE(p, &a->permits, link, next) {
		if (p->state == PERMIT_REFUSED && p->retry_us <= now)
			refuse_permit(p);
	}
}

void
agent_free_permits(struct agent *a)
{
	while (!TAILQ_EMPTY(&a->permits))
		free_permit(TAILQ_FIRST(&a->permits));
}
