#include "gateway/sidecar_links.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/addr.h"
#include "common/clock.h"
#include "common/log.h"
#include "coordination/deployment_share.h"
#include "coordination/retry_budget.h"
#include "gateway/backends.h"
#include "gateway/exchange.h"
#include "gateway/gateway_internal.h"
#include "protocol/tm_xdr.h"
#include "state/deployment.h"
#include "transport/rpc.h"

#define MAX_RECORD (8 * 1024 * 1024) /* bytes: a deployment and its frame */
#define MAX_OUTPUT (16 * 1024 * 1024) /* bytes */
#define STALL_US (3 * USEC_PER_SEC)
#define DEAD_PEER_US (3 * USEC_PER_SEC)
#define RECONNECT_US (500 * USEC_PER_MSEC)
#define TELL_USES_US (500 * USEC_PER_MSEC)
#define USES_MAX 64 /* in one message */

static void on_holds(void *, struct rpc_call *, void *);
static void on_load(void *, struct rpc_call *, void *);

static const struct rpc_handler handlers[] = {
	{ TM_REPLICA_HOLDS, (xdrproc_t)xdr_tm_replica_holds,
	    sizeof(struct tm_replica_holds), NULL, on_holds, NULL },
	{ TM_REPLICA_LOAD, (xdrproc_t)xdr_tm_replica_load,
	    sizeof(struct tm_replica_load), NULL, on_load, NULL },
	{ 0 },
};

#define HANDLERS (sizeof(handlers) / sizeof(handlers[0]))

struct sidecar_links {
	struct gateway *gateway;
	struct rpc *rpc;
	struct rpc_handler handlers[HANDLERS + 2];
	unsigned gateways; /* that a sidecar counted */
	unsigned store_loads_limit; /* as learned last by any sidecar */
	int64_t limit_learned_us;
	int64_t told_us;
	bool closing;
};

static struct backend *
backend_of(struct rpc_call *call)
{
	struct rpc_conn *conn = rpc_call_conn(call);

	return conn == NULL ? NULL : rpc_conn_owner(conn);
}

/* ---- what sidecars tell ---- */

static void
copy_names(struct weight_copies *out, u_int count, char **names)
{
	out->count = 0;
	for (u_int i = 0; i < count && out->count < FLEET_COPIES_MAX; i++)
		strlcpy(out->names[out->count++], names[i], FLEET_NAME_MAX);
}

static void
copy_models(struct replica_state *s, const struct tm_replica_holds *told)
{
	s->model_count = 0;
	for (u_int i = 0; i < told->models.models_len; i++) {
		const struct tm_held_model *from = &told->models.models_val[i];
		struct held_model *m = &s->models[s->model_count++];

		memset(m, 0, sizeof(*m));
		strlcpy(m->name, from->name, sizeof(m->name));
		for (u_int j = 0; j < from->adapters.adapters_len; j++)
			strlcpy(m->adapters[m->adapter_count++],
			    from->adapters.adapters_val[j], FLEET_NAME_MAX);
	}
}

/* The floor of the retry budget is divided among all gateways. */
static void
note_gateways(struct sidecar_links *l, unsigned gateways)
{
	struct gateway *g = l->gateway;

	if (gateways <= l->gateways)
		return;
	l->gateways = gateways;
	backends_share_connections(g->backends, gateways);
	if (gateways > g->settings.retry_sharers)
		retry_budget_set_burst(
		    g->budget, gateway_retry_burst(g, gateways));
}

static void
on_holds(void *ctx, struct rpc_call *call, void *arg)
{
	struct sidecar_links *l = ctx;
	struct backend *b = backend_of(call);
	const struct tm_replica_holds *told = arg;
	struct replica_state *s;
	int64_t now = clock_now(l->gateway->process.clock);

	if (b == NULL)
		return;
	s = &b->entry.state;
	if (told->born_ms != s->born_ms) {
		/* Not the incarnation listed here: the list will follow. */
		b->has_report = false;
		if (told->born_ms > s->born_ms && !b->superseded) {
			b->superseded = true;
			log_info(l->gateway->process.logger,
			    "replica started again",
			    LF_S("replica", b->entry.id),
			    LF_I("born_ms", told->born_ms));
		}
		return;
	}
	if (!b->has_report)
		log_info(l->gateway->process.logger, "replica's models known",
		    LF_S("replica", b->entry.id),
		    LF_I("models", told->models.models_len),
		    LF_I("in_memory", told->in_memory.in_memory_len),
		    LF_I("on_disk", told->on_disk.on_disk_len));
	b->has_report = true;
	b->doubt_until_us = 0;
	copy_models(s, told);
	copy_names(&s->in_memory, told->in_memory.in_memory_len,
	    told->in_memory.in_memory_val);
	copy_names(
	    &s->on_disk, told->on_disk.on_disk_len, told->on_disk.on_disk_val);
	if (told->draining && !s->draining) {
		s->draining = true;
		log_info(l->gateway->process.logger, "replica drains",
		    LF_S("replica", b->entry.id),
		    LF_I("gone_in_us", told->gone_in_us));
	}
	if (strcmp(b->loading, told->loading) != 0)
		b->loading_since_us = now;
	strlcpy(b->loading, told->loading, sizeof(b->loading));
	b->loading_until_us = now + told->loading_left_us;
	b->loading_from_store = told->loading_from_store;
	if (told->limit_learned_us > l->limit_learned_us) {
		l->store_loads_limit = told->store_loads_limit;
		l->limit_learned_us = told->limit_learned_us;
	}
	b->free_mb = told->free_mb;
	b->victim_idle_us = told->victim_idle_us;
	b->victim_told_us = now;
	note_gateways(l, told->gateways);
	exchanges_on_holds(l->gateway, b);
}

static void
on_load(void *ctx, struct rpc_call *call, void *arg)
{
	struct sidecar_links *l = ctx;
	struct backend *b = backend_of(call);
	const struct tm_replica_load *told = arg;

	if (b == NULL)
		return;
	b->report_us = clock_now(l->gateway->process.clock);
	b->reported = told->queued + told->active;
	b->kv_used = told->kv_used;
	b->gate_tokens = told->gate_tokens;
	b->prefill_share = told->reading_permille / 1000.0;
	b->own_at_report = b->in_flight;
}

/* ---- connections ---- */

static void
fill_handlers(struct sidecar_links *l)
{
	struct deployment_share *share = l->gateway->share;
	size_t last = HANDLERS - 1;

	memcpy(l->handlers, handlers, sizeof(handlers));
	l->handlers[last++] = (struct rpc_handler){ TM_DEPLOYMENT,
		(xdrproc_t)xdr_tm_deployment_doc,
		sizeof(struct tm_deployment_doc), NULL, deployment_share_on_doc,
		share };
	l->handlers[last] = (struct rpc_handler){ TM_DEPLOYMENT_ASK,
		(xdrproc_t)xdr_tm_deployment_ask,
		sizeof(struct tm_deployment_ask), NULL, deployment_share_on_ask,
		share };
}

static void
fill_versions(void *ctx, struct rpc_versions *v)
{
	struct sidecar_links *l = ctx;

	deployment_share_fill(l->gateway->share, v);
}

static void
seen_versions(void *ctx, struct rpc_conn *conn, const struct rpc_versions *v)
{
	struct sidecar_links *l = ctx;

	deployment_share_seen(l->gateway->share, conn, v);
}

static void
on_closed(void *ctx, struct rpc_conn *conn)
{
	struct sidecar_links *l = ctx;
	struct backend *b = rpc_conn_owner(conn);

	deployment_share_closed(l->gateway->share, conn);
	if (b == NULL || b->conn != conn || l->closing)
		return;
	log_warn(l->gateway->process.logger, "sidecar lost",
	    LF_S("replica", b->entry.id));
	b->conn = NULL;
	b->has_report = false;
	b->loading[0] = '\0';
	b->reconnect_us = clock_now(l->gateway->process.clock) + RECONNECT_US;
}

static void send_uses(struct sidecar_links *, struct backend *, bool all);

static void
on_opened(void *ctx, struct rpc_conn *conn, bool ok)
{
	struct backend *b = ctx;
	struct sidecar_links *l = NULL;

	b->connecting = false;
	if (!ok) {
		b->conn = NULL;
		return;
	}
	l = rpc_conn_owner(conn);
	rpc_conn_set_owner(conn, b);
	b->conn = conn;
	log_info(l->gateway->process.logger, "sidecar reached",
	    LF_S("replica", b->entry.id));
	send_uses(l, b, true); /* the first words tell the version */
}

static void
connect_to(struct sidecar_links *l, struct backend *b)
{
	struct addr addr;
	char address[ADDR_TEXT_MAX + 8];
	struct rpc_conn *conn;

	if (addr_parse(&addr, b->entry.address) == -1)
		return;
	snprintf(address, sizeof(address), "%s:%d", addr.host,
	    (int)l->gateway->settings.sidecar_port);
	b->reconnect_us = clock_now(l->gateway->process.clock) + RECONNECT_US;
	conn = rpc_connect(l->rpc, address, on_opened, b);
	if (conn == NULL)
		return;
	rpc_conn_set_owner(conn, l);
	b->connecting = true;
	b->conn = NULL;
}

static bool
has_sidecar(const struct sidecar_links *l, const struct backend *b)
{
	const struct deployment *d = l->gateway->deployment;
	const struct service_spec *s =
	    d == NULL ? NULL : deployment_service(d, b->entry.service);

	return s != NULL && s->has_engine;
}

void
sidecar_links_refresh(struct sidecar_links *l)
{
	struct backend *b = NULL;
	int64_t now = clock_now(l->gateway->process.clock);

	while ((b = backends_next(l->gateway->backends, b)) != NULL) {
		if (b->listed && b->conn == NULL && !b->connecting &&
		    now >= b->reconnect_us && has_sidecar(l, b))
			connect_to(l, b);
	}
}

void
sidecar_links_drop(struct sidecar_links *l, struct backend *b)
{
	struct rpc_conn *conn = NULL;

	if (l == NULL)
		return;
	if (b->conn != NULL) {
		conn = b->conn;
		b->conn = NULL;
		rpc_conn_set_owner(conn, NULL);
		rpc_conn_close(conn);
	}
}

/* ---- what the gateway tells ---- */

static void
send_uses(struct sidecar_links *l, struct backend *b, bool all)
{
	struct tm_model_use list[USES_MAX];
	struct tm_replica_use msg = { .uses.uses_val = list };
	struct backend_use *use;

	SLIST_FOREACH(use, &b->uses, link)
	{
		struct tm_model_use *out;

		if ((use->told && !all) || msg.uses.uses_len == USES_MAX)
			continue;
		out = &list[msg.uses.uses_len++];
		out->model = use->model;
		out->adapter = use->adapter;
		out->started = use->started;
		out->in_flight = use->in_flight;
		use->started = 0;
		use->told = true;
	}
	if (msg.uses.uses_len > 0 || all)
		(void)rpc_conn_send(b->conn, TM_REPLICA_USE,
		    (xdrproc_t)xdr_tm_replica_use, &msg);
}

void
sidecar_links_tick(struct sidecar_links *l)
{
	struct backend *b = NULL;
	int64_t now = clock_now(l->gateway->process.clock);

	if (now - l->told_us < TELL_USES_US)
		return;
	l->told_us = now;
	sidecar_links_refresh(l);
	while ((b = backends_next(l->gateway->backends, b)) != NULL) {
		if (b->conn != NULL && !b->connecting)
			send_uses(l, b, false);
	}
}

void
sidecar_links_want(struct sidecar_links *l, struct backend *b,
    const struct request_terms *terms, unsigned rank, int64_t left_us)
{
	struct tm_replica_want msg = {
		.model = (char *)terms->model,
		.adapter = (char *)terms->adapter,
		.rank = rank,
		.waiting = 1,
		.left_us = (uint64_t)left_us,
		.store_loads = backends_store_loads(l->gateway->backends),
		.store_loads_limit = l->store_loads_limit,
		.limit_learned_us = l->limit_learned_us,
	};

	if (b->conn != NULL && !b->connecting)
		(void)rpc_conn_send(b->conn, TM_REPLICA_WANT,
		    (xdrproc_t)xdr_tm_replica_want, &msg);
}

struct rpc_conn *
sidecar_links_ask_read(struct sidecar_links *l, struct backend *b,
    const struct tm_read_args *args,
    void (*done)(void *, enum rpc_status, void *), void *ctx)
{
	if (b->conn == NULL || b->connecting)
		return NULL;
	rpc_conn_call(b->conn, TM_READ, (xdrproc_t)xdr_tm_read_args, args,
	    (xdrproc_t)xdr_tm_read_reply, sizeof(struct tm_read_reply),
	    (int64_t)args->left_us, done, ctx);
	return b->conn;
}

void
sidecar_links_read_done(struct backend *b, uint64_t id)
{
	struct tm_read_done msg = { id };

	if (b->conn != NULL && !b->connecting)
		(void)rpc_conn_send(
		    b->conn, TM_READ_DONE, (xdrproc_t)xdr_tm_read_done, &msg);
}

struct sidecar_links *
sidecar_links_create(struct gateway *g)
{
	struct sidecar_links *l = calloc(1, sizeof(*l));
	struct rpc_options opts = {
		.base = g->process.base,
		.logger = g->process.logger,
		.metrics = g->process.metrics,
		.program = TM_PROG,
		.version = TM_V1,
		.max_record = MAX_RECORD,
		.max_output = MAX_OUTPUT,
		.stall_us = STALL_US,
		.dead_peer_us = DEAD_PEER_US,
		.closed = on_closed,
	};

	if (l == NULL)
		return NULL;
	l->gateway = g;
	opts.ctx = l;
	fill_handlers(l);
	opts.handlers = l->handlers;
	opts.fill_versions = fill_versions;
	opts.seen_versions = seen_versions;
	l->rpc = rpc_create(&opts);
	if (l->rpc == NULL) {
		free(l);
		return NULL;
	}
	return l;
}

void
sidecar_links_destroy(struct sidecar_links *l)
{
	if (l == NULL)
		return;
	l->closing = true;
	rpc_destroy(l->rpc);
	free(l);
}
