#include "gateway/sidecar_conns.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <xxhash.h>

#include "common/addr.h"
#include "common/clock.h"
#include "common/log.h"
#include "coordination/deployment_sync.h"
#include "coordination/keyed_feed.h"
#include "coordination/retry_budget.h"
#include "gateway/backends.h"
#include "gateway/crash_guard.h"
#include "gateway/deployment_source.h"
#include "gateway/exchange.h"
#include "gateway/gateway_internal.h"
#include "gateway/limits.h"
#include "gateway/spare_models.h"
#include "protocol/tm_xdr.h"
#include "state/deployment.h"
#include "transport/rpc.h"

#define MAX_RECORD_BYTES (8 * 1024 * 1024) /* a deployment and its frame */
#define MAX_OUTPUT_BYTES (16 * 1024 * 1024)
#define STALL_US (3 * USEC_PER_SEC) /* a sidecar that does not read */
/* A sidecar without any answer for so long stands still. */
#define CHECK_TIMEOUT_US (800 * USEC_PER_MSEC)
#define PEER_TIMEOUT_US (3 * USEC_PER_SEC) /* a peer that does not answer */
#define RECONNECT_PAUSE_US (500 * USEC_PER_MSEC)
#define SEND_USES_PAUSE_US (500 * USEC_PER_MSEC)
#define USES_PER_MESSAGE 64

static void on_replica_holds(void *, struct rpc_call *, void *);
static void on_replica_load(void *, struct rpc_call *, void *);
static void on_factors(void *, struct rpc_call *, void *);
static void on_limit(void *, struct rpc_call *, void *);
static void on_crash(void *, struct rpc_call *, void *);
static void on_leaves(void *, struct rpc_call *, void *);
static void on_replicas_read(void *, struct rpc_call *, void *);
static void on_deployment_state(void *, struct rpc_call *, void *);

static const struct rpc_handler handlers[] = {
	{ TM_REPLICA_HOLDS, (xdrproc_t)xdr_tm_replica_holds,
	    sizeof(struct tm_replica_holds), NULL, on_replica_holds, NULL },
	{ TM_REPLICA_LOAD, (xdrproc_t)xdr_tm_replica_load,
	    sizeof(struct tm_replica_load), NULL, on_replica_load, NULL },
	{ TM_PREFILL_FACTORS, (xdrproc_t)xdr_tm_prefill_factors,
	    sizeof(struct tm_prefill_factors), NULL, on_factors, NULL },
	{ TM_LIMIT, (xdrproc_t)xdr_tm_limit, sizeof(struct tm_limit), NULL,
	    on_limit, NULL },
	{ TM_CRASH, (xdrproc_t)xdr_tm_crash, sizeof(struct tm_crash), NULL,
	    on_crash, NULL },
	{ TM_REPLICA_LEAVES, (xdrproc_t)xdr_tm_replica_leaves,
	    sizeof(struct tm_replica_leaves), NULL, on_leaves, NULL },
	{ TM_REPLICAS_READ, (xdrproc_t)xdr_tm_replicas_read,
	    sizeof(struct tm_replicas_read), NULL, on_replicas_read, NULL },
	{ TM_DEPLOYMENT_STATE, (xdrproc_t)xdr_tm_deployment_state,
	    sizeof(struct tm_deployment_state), NULL, on_deployment_state,
	    NULL },
	{ 0 },
};

#define HANDLERS (sizeof(handlers) / sizeof(handlers[0]))

struct sidecar_conns {
	struct gateway *gateway;
	struct rpc *rpc;
	struct rpc_handler handlers[HANDLERS + DEPLOYMENT_SYNC_HANDLERS];
	unsigned gateways; /* most that any sidecar has counted */
	/* Concurrent weight store loads at full speed, as learned last. */
	unsigned store_loads_limit;
	int64_t limit_learned_us; /* by a sidecar, Unix time; 0: none yet */
	int64_t uses_sent_us;
	/* How far replicas have been read, as sent to the sidecar of read_conn.
	 */
	uint64_t read_sent;
	struct rpc_conn *read_conn; /* NULL: to be chosen again */
	bool closing;
};

static struct backend *
call_backend(struct rpc_call *call)
{
	struct rpc_conn *conn = rpc_call_conn(call);

	return conn == NULL ? NULL : rpc_conn_owner(conn);
}

/* ---- reports of sidecars ---- */

static void
copy_names(struct weight_copies *out, u_int count, char **names)
{
	out->count = 0;
	for (u_int i = 0; i < count && out->count < FLEET_COPIES_MAX; i++)
		strlcpy(out->names[out->count++], names[i], FLEET_NAME_MAX);
}

static void
copy_models(struct replica_state *s, const struct tm_replica_holds *msg)
{
	s->model_count = 0;
	for (u_int i = 0; i < msg->models.models_len; i++) {
		const struct tm_held_model *from = &msg->models.models_val[i];
		struct loaded_model *m = &s->models[s->model_count++];

		memset(m, 0, sizeof(*m));
		strlcpy(m->name, from->name, sizeof(m->name));
		for (u_int j = 0; j < from->adapters.adapters_len; j++)
			strlcpy(m->adapters[m->adapter_count++],
			    from->adapters.adapters_val[j], FLEET_NAME_MAX);
	}
}

/* The replicas' connections and the retry floor are divided among gateways. */
static void
update_gateway_count(struct sidecar_conns *sc, unsigned gateways)
{
	struct gateway *g = sc->gateway;

	if (gateways <= sc->gateways)
		return;
	sc->gateways = gateways;
	backends_divide_connections(g->backends, gateways);
	gateway_set_check_pauses(g, gateways);
	if (gateways > g->settings.retry_gateways)
		retry_budget_set_burst(
		    g->retry_budget, gateway_retry_burst(g, gateways));
}

static void
on_replica_holds(void *ctx, struct rpc_call *call, void *arg)
{
	struct sidecar_conns *sc = ctx;
	struct backend *b = call_backend(call);
	const struct tm_replica_holds *msg = arg;
	struct replica_state *s;
	int64_t now = clock_now(sc->gateway->process.clock);

	if (b == NULL)
		return;
	s = &b->entry.state;
	if (msg->born_ms != s->born_ms) {
		/* Another incarnation; if newer, the store lists it soon. */
		b->holdings_known = false;
		if (msg->born_ms > s->born_ms && !b->superseded) {
			b->superseded = true;
			log_info(sc->gateway->process.logger,
			    "replica started again",
			    LF_S("replica", b->entry.id),
			    LF_I("born_ms", msg->born_ms));
		}
		return;
	}
	if (!b->holdings_known)
		log_info(sc->gateway->process.logger, "replica's models known",
		    LF_S("replica", b->entry.id),
		    LF_I("models", msg->models.models_len),
		    LF_I("in_memory", msg->in_memory.in_memory_len),
		    LF_I("on_disk", msg->on_disk.on_disk_len));
	b->holdings_known = true;
	b->uncertain_until_us = 0;
	copy_models(s, msg);
	copy_names(&s->in_memory, msg->in_memory.in_memory_len,
	    msg->in_memory.in_memory_val);
	copy_names(
	    &s->on_disk, msg->on_disk.on_disk_len, msg->on_disk.on_disk_val);
	if (msg->draining)
		backend_set_draining(
		    sc->gateway->backends, b, msg->gone_in_us, "its sidecar");
	if (strcmp(b->loading, msg->loading) != 0)
		b->loading_since_us = now;
	strlcpy(b->loading, msg->loading, sizeof(b->loading));
	b->loading_until_us = now + msg->loading_left_us;
	b->loading_from_store = msg->loading_from_store;
	if (msg->limit_learned_us > sc->limit_learned_us) {
		sc->store_loads_limit = msg->store_loads_limit;
		sc->limit_learned_us = msg->limit_learned_us;
	}
	b->free_mb = msg->free_mb;
	b->victim_idle_us = msg->victim_idle_us;
	b->victim_report_us = now;
	update_gateway_count(sc, msg->gateways);
	exchanges_on_holdings(sc->gateway, b);
}

static void
on_replica_load(void *ctx, struct rpc_call *call, void *arg)
{
	struct sidecar_conns *sc = ctx;
	struct backend *b = call_backend(call);
	const struct tm_replica_load *msg = arg;

	if (b == NULL)
		return;
	b->load_report_us = clock_now(sc->gateway->process.clock);
	b->reported_requests = msg->queued + msg->active;
	b->kv_used = msg->kv_used;
	b->gate_tokens = msg->gate_tokens;
	b->prefill_share = msg->reading_permille / 1000.0;
	b->own_in_flight_at_report = b->in_flight;
}

static void
on_factors(void *ctx, struct rpc_call *call, void *arg)
{
	struct backend *b = call_backend(call);
	const struct tm_prefill_factors *msg = arg;

	if (b == NULL)
		return;
	b->factor_count = 0;
	for (u_int i = 0; i < msg->models.models_len; i++) {
		const struct tm_prefill_factor *from =
		    &msg->models.models_val[i];
		struct backend_factor *f = &b->factors[b->factor_count];

		if (b->factor_count == FLEET_MODELS_MAX ||
		    !isfinite(from->factor) || from->factor <= 0)
			continue;
		strlcpy(f->model, from->model, sizeof(f->model));
		f->factor = from->factor;
		b->factor_count++;
	}
}

static void
on_limit(void *ctx, struct rpc_call *call, void *arg)
{
	struct sidecar_conns *sc = ctx;

	limits_on_update(sc->gateway, arg);
}

static void
on_crash(void *ctx, struct rpc_call *call, void *arg)
{
	struct sidecar_conns *sc = ctx;

	crash_guard_on_report(sc->gateway->crash_guard, arg);
}

static void
on_leaves(void *ctx, struct rpc_call *call, void *arg)
{
	struct sidecar_conns *sc = ctx;
	const struct tm_replica_leaves *msg = arg;
	struct backend *b = backends_find(sc->gateway->backends, msg->replica);

	if (b != NULL && b->entry.state.born_ms == msg->born_ms)
		backend_set_draining(
		    sc->gateway->backends, b, -1, "another gateway");
}

/* Another gateway has read so far. */
static void
on_replicas_read(void *ctx, struct rpc_call *call, void *arg)
{
	struct sidecar_conns *sc = ctx;
	const struct tm_replicas_read *msg = arg;

	keyed_feed_hint(sc->gateway->replica_feed, msg->next);
}

static void
on_deployment_state(void *ctx, struct rpc_call *call, void *arg)
{
	struct backend *b = call_backend(call);

	if (b != NULL)
		deployment_source_on_state(b, arg);
}

/* ---- connections ---- */

static void
set_handlers(struct sidecar_conns *sc)
{
	struct deployment_sync *sync = sc->gateway->deployment_sync;
	size_t last = HANDLERS - 1;

	memcpy(sc->handlers, handlers, sizeof(handlers));
	deployment_sync_handlers(sync, &sc->handlers[last]);
}

static void
fill_versions(void *ctx, struct rpc_versions *v)
{
	struct sidecar_conns *sc = ctx;

	deployment_sync_fill_versions(sc->gateway->deployment_sync, v);
	/* The end of what has been read of the replicas' topic. */
	v->control = keyed_feed_next_offset(sc->gateway->replica_feed);
}

static void
on_versions(void *ctx, struct rpc_conn *conn, const struct rpc_versions *v)
{
	struct sidecar_conns *sc = ctx;

	deployment_sync_on_peer_versions(sc->gateway->deployment_sync, conn, v);
	keyed_feed_hint(sc->gateway->replica_feed, v->control);
}

static void
on_closed(void *ctx, struct rpc_conn *conn)
{
	struct sidecar_conns *sc = ctx;
	struct backend *b = rpc_conn_owner(conn);

	deployment_sync_conn_closed(sc->gateway->deployment_sync, conn);
	if (sc->read_conn == conn)
		sc->read_conn = NULL;
	if (b == NULL || b->conn != conn || sc->closing)
		return;
	log_warn(sc->gateway->process.logger, "sidecar lost",
	    LF_S("replica", b->entry.id));
	b->conn = NULL;
	b->holdings_known = false;
	b->loading[0] = '\0';
	b->reconnect_us =
	    clock_now(sc->gateway->process.clock) + RECONNECT_PAUSE_US;
}

static void send_uses(struct sidecar_conns *, struct backend *, bool all);

static void
on_opened(void *ctx, struct rpc_conn *conn, bool ok)
{
	struct backend *b = ctx;
	struct sidecar_conns *sc = NULL;

	b->connecting = false;
	if (!ok) {
		b->conn = NULL;
		return;
	}
	sc = rpc_conn_owner(conn);
	rpc_conn_set_owner(conn, b);
	b->conn = conn;
	b->spares_sent = 0;
	b->peak_sent = 100; /* what a sidecar assumes */
	deployment_source_on_opened(b);
	sc->read_conn = NULL;
	log_info(sc->gateway->process.logger, "sidecar reached",
	    LF_S("replica", b->entry.id));
	send_uses(sc, b, true); /* even if empty: carries the version */
}

static void
connect_to(struct sidecar_conns *sc, struct backend *b)
{
	struct addr addr;
	char address[ADDR_TEXT_MAX + 8];
	struct rpc_conn *conn;

	if (addr_parse(&addr, b->entry.address) == -1)
		return;
	snprintf(address, sizeof(address), "%s:%d", addr.host,
	    (int)sc->gateway->settings.sidecar_port);
	b->reconnect_us =
	    clock_now(sc->gateway->process.clock) + RECONNECT_PAUSE_US;
	conn = rpc_connect(sc->rpc, address, on_opened, b);
	if (conn == NULL)
		return;
	rpc_conn_set_owner(conn, sc);
	b->connecting = true;
	b->conn = NULL;
}

bool
sidecar_conns_has_sidecar(
    const struct sidecar_conns *sc, const struct backend *b)
{
	const struct deployment *d = sc->gateway->deployment;
	const struct service_spec *s =
	    d == NULL ? NULL : deployment_find_service(d, b->entry.service);

	return s != NULL && s->has_engine;
}

void
sidecar_conns_refresh(struct sidecar_conns *sc)
{
	struct backend *b = NULL;
	int64_t now = clock_now(sc->gateway->process.clock);

	while ((b = backends_next(sc->gateway->backends, b)) != NULL) {
		if (b->listed && b->conn == NULL && !b->connecting &&
		    now >= b->reconnect_us && sidecar_conns_has_sidecar(sc, b))
			connect_to(sc, b);
	}
}

/* Outlives its backend if that is freed before the call has ended. */
struct sidecar_check {
	struct sidecar_conns *conns;
	struct backend *backend; /* NULL: gone */
};

void
sidecar_conns_close(struct sidecar_conns *sc, struct backend *b)
{
	struct rpc_conn *conn = NULL;

	if (b->check != NULL)
		b->check->backend = NULL;
	b->check = NULL;
	if (sc == NULL)
		return;
	if (b->conn != NULL) {
		conn = b->conn;
		b->conn = NULL;
		rpc_conn_set_owner(conn, NULL);
		rpc_conn_close(conn);
	}
}

/* ---- messages to sidecars ---- */

/*
 * The listed replica whose sidecar all gateways choose alike for this seed, by
 * rendezvous hashing; connected: only of those that are.  NULL: none.
 */
static struct backend *
choose_sidecar(struct sidecar_conns *sc, uint64_t seed, bool connected)
{
	struct backend *b = NULL, *best = NULL;
	uint64_t most = 0;

	while ((b = backends_next(sc->gateway->backends, b)) != NULL) {
		uint64_t weight = XXH3_64bits_withSeed(
		    b->entry.id, strlen(b->entry.id), seed);

		if (!b->listed || !sidecar_conns_has_sidecar(sc, b) ||
		    (connected && (b->conn == NULL || b->connecting)) ||
		    (best != NULL && weight <= most))
			continue;
		best = b;
		most = weight;
	}
	return best;
}

/* To one sidecar, which hints the gateways that have read less. */
static void
send_read(struct sidecar_conns *sc)
{
	struct tm_replicas_read msg = { keyed_feed_next_offset(
	    sc->gateway->replica_feed) };
	struct backend *b;

	if (msg.next == sc->read_sent && sc->read_conn != NULL)
		return;
	b = choose_sidecar(sc, 0, true);
	if (b == NULL || rpc_conn_send(b->conn, TM_REPLICAS_READ,
			     (xdrproc_t)xdr_tm_replicas_read, &msg) == -1)
		return;
	sc->read_sent = msg.next;
	sc->read_conn = b->conn;
}

static void
send_uses(struct sidecar_conns *sc, struct backend *b, bool all)
{
	struct tm_model_use list[USES_PER_MESSAGE];
	struct tm_replica_use msg = { .uses.uses_val = list };
	struct backend_use *use;

	SLIST_FOREACH(use, &b->uses, link)
	{
		struct tm_model_use *out;

		if ((use->sent && !all) ||
		    msg.uses.uses_len == USES_PER_MESSAGE)
			continue;
		out = &list[msg.uses.uses_len++];
		out->model = use->model;
		out->adapter = use->adapter;
		out->started = use->started;
		out->in_flight = use->in_flight;
		use->started = 0;
		use->sent = true;
	}
	if (msg.uses.uses_len > 0 || all)
		(void)rpc_conn_send(b->conn, TM_REPLICA_USE,
		    (xdrproc_t)xdr_tm_replica_use, &msg);
}

static void
send_slow(struct backend *b, unsigned peak_percent)
{
	struct tm_replica_slow msg = { peak_percent };

	if (peak_percent == b->peak_sent)
		return;
	if (rpc_conn_send(b->conn, TM_REPLICA_SLOW,
		(xdrproc_t)xdr_tm_replica_slow, &msg) == 0)
		b->peak_sent = peak_percent;
}

void
sidecar_conns_tick(struct sidecar_conns *sc)
{
	struct slowdown_peak *peak = &sc->gateway->engine_peak;
	struct backend *b = NULL;
	int64_t now = clock_now(sc->gateway->process.clock);

	send_read(sc);
	if (now - sc->uses_sent_us < SEND_USES_PAUSE_US)
		return;
	sc->uses_sent_us = now;
	sidecar_conns_refresh(sc);
	while ((b = backends_next(sc->gateway->backends, b)) != NULL) {
		if (b->conn == NULL || b->connecting)
			continue;
		send_uses(sc, b, false);
		send_slow(
		    b, (unsigned)(slowdown_peak_update(peak, 0, now) * 100));
	}
	spare_models_send(sc->gateway);
}

void
sidecar_conns_request_load(struct sidecar_conns *sc, struct backend *b,
    const struct request_params *params, unsigned rank, int64_t left_us)
{
	struct tm_replica_want msg = {
		.model = (char *)params->model,
		.adapter = (char *)params->adapter,
		.rank = rank,
		.waiting = 1,
		.left_us = (uint64_t)left_us,
		.store_loads = backends_store_loads(sc->gateway->backends),
		.store_loads_limit = sc->store_loads_limit,
		.limit_learned_us = sc->limit_learned_us,
	};

	if (b->conn != NULL && !b->connecting)
		(void)rpc_conn_send(b->conn, TM_REPLICA_WANT,
		    (xdrproc_t)xdr_tm_replica_want, &msg);
}

struct rpc_conn *
sidecar_conns_request_prefill(struct sidecar_conns *sc, struct backend *b,
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

static void
on_silent(struct sidecar_conns *sc, struct backend *b)
{
	log_warn(sc->gateway->process.logger, "sidecar is silent",
	    LF_S("replica", b->entry.id));
	exchanges_on_silent_sidecar(sc->gateway, b);
}

static void
on_checked(void *ctx, enum rpc_status status, void *reply)
{
	struct sidecar_check *check = ctx;

	if (check->backend != NULL) {
		check->backend->check = NULL;
		if (status == RPC_TIMED_OUT)
			on_silent(check->conns, check->backend);
	}
	free(check);
}

void
sidecar_conns_check(struct sidecar_conns *sc, struct backend *b)
{
	struct sidecar_check *check;

	if (b->check != NULL || b->conn == NULL || b->connecting)
		return;
	check = malloc(sizeof(*check));
	if (check == NULL)
		abort();
	check->conns = sc;
	check->backend = b;
	b->check = check;
	rpc_conn_call(b->conn, NULLPROC, rpc_xdr_void, NULL, rpc_xdr_void, 0,
	    CHECK_TIMEOUT_US, on_checked, check);
}

void
sidecar_conns_prefill_done(struct backend *b, uint64_t id)
{
	struct tm_read_done msg = { id };

	if (b->conn != NULL && !b->connecting)
		(void)rpc_conn_send(
		    b->conn, TM_READ_DONE, (xdrproc_t)xdr_tm_read_done, &msg);
}

/* ---- limits ---- */

struct backend *
sidecar_conns_meter(struct sidecar_conns *sc, struct backend *b)
{
	if (sidecar_conns_has_sidecar(sc, b))
		return b;
	return choose_sidecar(
	    sc, XXH3_64bits(b->entry.id, strlen(b->entry.id)), false);
}

/* The connection to the replica's meter; NULL if there is none. */
static struct rpc_conn *
meter_conn(struct sidecar_conns *sc, struct backend *b)
{
	const struct backend *meter = sidecar_conns_meter(sc, b);

	return meter == NULL || meter->connecting ? NULL : meter->conn;
}

bool
sidecar_conns_meter_connected(struct sidecar_conns *sc, struct backend *b)
{
	return meter_conn(sc, b) != NULL;
}

unsigned
sidecar_conns_gateways(const struct sidecar_conns *sc)
{
	unsigned least = (unsigned)sc->gateway->settings.retry_gateways;

	if (least < 1)
		least = 1;
	return sc->gateways > least ? sc->gateways : least;
}

struct rpc_conn *
sidecar_conns_take_limit(struct sidecar_conns *sc, struct backend *b,
    const struct tm_limit_take *args, int64_t timeout_us,
    void (*done)(void *, enum rpc_status, void *), void *ctx)
{
	struct rpc_conn *conn = meter_conn(sc, b);

	if (conn == NULL)
		return NULL;
	rpc_conn_call(conn, TM_LIMIT_TAKE, (xdrproc_t)xdr_tm_limit_take, args,
	    (xdrproc_t)xdr_tm_limit_taken, sizeof(struct tm_limit_taken),
	    timeout_us, done, ctx);
	return conn;
}

void
sidecar_conns_send_limit(struct sidecar_conns *sc, struct backend *b)
{
	struct rpc_conn *conn = meter_conn(sc, b);
	struct tm_limit msg;

	if (conn == NULL)
		return;
	limits_fill_update(sc->gateway, b, &msg);
	(void)rpc_conn_send(conn, TM_LIMIT, (xdrproc_t)xdr_tm_limit, &msg);
}

/* To the other gateways, by way of any sidecar. */
static void
send_to_gateways(
    struct sidecar_conns *sc, uint32_t proc, xdrproc_t xdr, const void *msg)
{
	struct backend *b = choose_sidecar(sc, 0, true);

	if (b != NULL)
		(void)rpc_conn_send(b->conn, proc, xdr, msg);
}

void
sidecar_conns_send_crash(struct sidecar_conns *sc, const struct tm_crash *msg)
{
	send_to_gateways(sc, TM_CRASH, (xdrproc_t)xdr_tm_crash, msg);
}

void
sidecar_conns_send_leaves(struct sidecar_conns *sc, const struct backend *b)
{
	struct tm_replica_leaves msg = { .replica = (char *)b->entry.id,
		.born_ms = b->entry.state.born_ms };

	send_to_gateways(
	    sc, TM_REPLICA_LEAVES, (xdrproc_t)xdr_tm_replica_leaves, &msg);
}

struct sidecar_conns *
sidecar_conns_create(struct gateway *g)
{
	struct sidecar_conns *sc = calloc(1, sizeof(*sc));
	struct rpc_options opts = {
		.base = g->process.base,
		.logger = g->process.logger,
		.metrics = g->process.metrics,
		.program = TM_PROG,
		.version = TM_V1,
		.max_record = MAX_RECORD_BYTES,
		.max_output = MAX_OUTPUT_BYTES,
		.stall_us = STALL_US,
		.peer_timeout_us = PEER_TIMEOUT_US,
		.on_closed = on_closed,
	};

	if (sc == NULL)
		return NULL;
	sc->gateway = g;
	opts.ctx = sc;
	set_handlers(sc);
	opts.handlers = sc->handlers;
	opts.fill_versions = fill_versions;
	opts.on_versions = on_versions;
	sc->rpc = rpc_create(&opts);
	if (sc->rpc == NULL) {
		free(sc);
		return NULL;
	}
	return sc;
}

void
sidecar_conns_destroy(struct sidecar_conns *sc)
{
	if (sc == NULL)
		return;
	sc->closing = true;
	rpc_destroy(sc->rpc);
	free(sc);
}
