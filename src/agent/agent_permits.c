/*
 * Leave to load from the weight store: from the holder of the model's control
 * shard, or out of a fixed share while no holder can be asked.
 */
#include "agent/agent_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "agent/links.h"
#include "common/clock.h"
#include "common/metrics.h"
#include "coordination/loader.h"
#include "coordination/store.h"
#include "transport/rpc.h"

#define ASK_TIMEOUT_US (300 * USEC_PER_MSEC)

enum permit_state {
	PERMIT_ASKING,
	PERMIT_LATER, /* ask again at retry_us */
	PERMIT_HOLDER, /* granted by the holder */
	PERMIT_SHARE, /* out of the fixed share */
	PERMIT_FREE, /* from a local copy: needs none */
};

struct agent_permit {
	struct agent *agent;
	char model[TM_NAME_MAX + 1];
	char adapter[TM_NAME_MAX + 1];
	enum permit_state state;
	int64_t retry_us;
	uint64_t id;
	TAILQ_ENTRY(agent_permit) link;
};

static struct agent_permit *
find(struct agent *a, const char *model, const char *adapter)
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
drop(struct agent_permit *p)
{
	TAILQ_REMOVE(&p->agent->permits, p, link);
	free(p);
}

static struct rpc_conn *
holder_conn(struct agent *a, const char *model)
{
	const struct control *control = store_control(a->node->store);
	const struct control_lease *lease =
	    control_lease(control, control_shard_of(control, model));

	return lease->holder[0] == '\0' ? NULL
					: links_find(a->links, lease->holder);
}

static void
grant(struct agent_permit *p, enum permit_state state)
{
	p->state = state;
	loader_permitted(p->agent->loader, p->model, p->adapter, true);
}

/* The loader asks again at its next tick. */
static void
refuse(struct agent_permit *p)
{
	struct agent *a = p->agent;
	char model[TM_NAME_MAX + 1], adapter[TM_NAME_MAX + 1];

	strlcpy(model, p->model, sizeof(model));
	strlcpy(adapter, p->adapter, sizeof(adapter));
	drop(p);
	loader_permitted(a->loader, model, adapter, false);
}

static unsigned
on_share(const struct agent *a, bool adapter)
{
	const struct agent_permit *p;
	unsigned n = 0;

	TAILQ_FOREACH(p, &a->permits, link)
		n += p->state == PERMIT_SHARE &&
		     (p->adapter[0] != '\0') == adapter;
	return n;
}

static void
take_share(struct agent_permit *p)
{
	struct agent *a = p->agent;
	bool adapter = p->adapter[0] != '\0';
	int64_t most = adapter ? a->settings.max_offline_adapter_loads
			       : a->settings.max_offline_loads;

	if (on_share(a, adapter) >= most) {
		refuse(p);
		return;
	}
	(*a->share_permits)++;
	grant(p, PERMIT_SHARE);
}

static void
on_reply(void *ctx, enum rpc_status status, void *arg)
{
	struct agent_permit *p = ctx;
	struct agent *a = p->agent;
	struct tm_permit_reply *reply = arg;

	if (status != RPC_OK || !reply->holder) {
		take_share(p);
		return;
	}
	if (reply->granted) {
		p->id = reply->permit;
		(*a->holder_permits)++;
		grant(p, PERMIT_HOLDER);
		return;
	}
	p->state = PERMIT_LATER;
	p->retry_us = clock_now(a->node->clock) +
		      (int64_t)reply->retry_after_ms * USEC_PER_MSEC;
}

static void
ask_holder(struct agent_permit *p, struct rpc_conn *conn,
    const struct loader_want *request)
{
	struct agent *a = p->agent;
	int64_t left = request->deadline_us - clock_now(a->node->clock);
	struct tm_permit_args args = {
		.runner = a->settings.node.vm,
		.model = p->adapter[0] != '\0' ? p->adapter : p->model,
		.adapter = p->adapter[0] != '\0',
		.rank = (char *)request->rank,
		.wait_us = left > 0 ? (u_quad_t)left : 0,
	};

	p->state = PERMIT_ASKING;
	rpc_conn_call(conn, TM_PERMIT, (xdrproc_t)xdr_tm_permit_args, &args,
	    (xdrproc_t)xdr_tm_permit_reply, sizeof(struct tm_permit_reply),
	    ASK_TIMEOUT_US, on_reply, p);
}

void
agent_ask_permit(void *ctx, const struct loader_want *request, bool adapter)
{
	struct agent *a = ctx;
	const char *name = adapter ? request->adapter : "";
	struct agent_permit *p = find(a, request->model, name);
	struct rpc_conn *conn = holder_conn(a, request->model);

	if (p != NULL)
		return; /* asked for an earlier wish: its answer serves */
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		abort();
	p->agent = a;
	strlcpy(p->model, request->model, sizeof(p->model));
	strlcpy(p->adapter, name, sizeof(p->adapter));
	TAILQ_INSERT_TAIL(&a->permits, p, link);
	if (!adapter && !loader_is_remote(a->loader, request->model))
		grant(p, PERMIT_FREE);
	else if (conn != NULL)
		ask_holder(p, conn, request);
	else
		take_share(p);
}

void
agent_return_permit(void *ctx, const char *model, const char *adapter)
{
	struct agent *a = ctx;
	struct agent_permit *p = find(a, model, adapter);
	struct tm_permit_return args;
	struct rpc_conn *conn;

	if (p == NULL)
		return;
	conn = holder_conn(a, model);
	if (p->state == PERMIT_HOLDER && conn != NULL) {
		args.permit = p->id;
		(void)rpc_conn_send(conn, TM_PERMIT_RETURN,
		    (xdrproc_t)xdr_tm_permit_return, &args);
	}
	drop(p);
}

void
agent_retry_permits(struct agent *a)
{
	int64_t now = clock_now(a->node->clock);
	struct agent_permit *p, *next;

	TAILQ_FOREACH_SAFE(p, &a->permits, link, next) {
		if (p->state == PERMIT_LATER && p->retry_us <= now)
			refuse(p);
	}
}

void
agent_drop_permits(struct agent *a)
{
	while (!TAILQ_EMPTY(&a->permits))
		drop(TAILQ_FIRST(&a->permits));
}
