#include "sidecar/gateway_conns_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/deployment_sync.h"
#include "coordination/accounts/quota_meter.h"
#include "coordination/limit_meter.h"
#include "coordination/prefill_gate.h"
#include "coordination/prefill_rates.h"
#include "coordination/swap.h"
#include "protocol/tm_xdr.h"
#include "sidecar/sidecar_internal.h"
#include "sidecar/replica_control.h"
#include "state/deployment.h"
#include "transport/rpc.h"

#define MAX_RECORD_BYTES (8 * 1024 * 1024) /* a deployment and its frame */
#define MAX_OUTPUT_BYTES (16 * 1024 * 1024)
#define STALL_US (3 * USEC_PER_SEC) /* a gateway that does not read */
#define PEER_TIMEOUT_US (3 * USEC_PER_SEC) /* a peer that does not answer */
/* By then a load report has carried the version to most gateways. */
#define SEND_VERSION_DELAY_US (300 * USEC_PER_MSEC)
/* Where no route states a goal for the pauses of its streams. */
#define PREFILL_BATCH_TOKENS 12000
#define PREFILL_TOKENS_PER_MS 38.0 /* of the engines in use */
#define PREFILL_PERMIT_US (2 * USEC_PER_SEC) /* a permit expires then */
#define USES_PER_GATEWAY 256 /* further ones are ignored */
/* One gateway alone may be cut off from what others follow. */
#define UNFOLLOWED_MIN_GATEWAYS 2

static void on_replica_use(void *, struct rpc_call *, void *);
static void on_load_request(void *, struct rpc_call *, void *);
static void on_spares(void *, struct rpc_call *, void *);
static void on_slow(void *, struct rpc_call *, void *);
static void on_prefill_request(void *, struct rpc_call *, void *);
static void on_prefill_done(void *, struct rpc_call *, void *);
static void on_crash(void *, struct rpc_call *, void *);
static void on_leaves(void *, struct rpc_call *, void *);
static void on_follow(void *, struct rpc_call *, void *);

static const struct rpc_handler handlers[] = {
	{ TM_REPLICA_USE, (xdrproc_t)xdr_tm_replica_use,
	    sizeof(struct tm_replica_use), NULL, on_replica_use, NULL },
	{ TM_REPLICA_WANT, (xdrproc_t)xdr_tm_replica_want,
	    sizeof(struct tm_replica_want), NULL, on_load_request, NULL },
	{ TM_REPLICA_SPARE, (xdrproc_t)xdr_tm_replica_spare,
	    sizeof(struct tm_replica_spare), NULL, on_spares, NULL },
	{ TM_REPLICA_SLOW, (xdrproc_t)xdr_tm_replica_slow,
	    sizeof(struct tm_replica_slow), NULL, on_slow, NULL },
	{ TM_READ, (xdrproc_t)xdr_tm_read_args, sizeof(struct tm_read_args),
	    (xdrproc_t)xdr_tm_read_reply, on_prefill_request, NULL },
	{ TM_READ_DONE, (xdrproc_t)xdr_tm_read_done,
	    sizeof(struct tm_read_done), NULL, on_prefill_done, NULL },
	{ TM_LIMIT, (xdrproc_t)xdr_tm_limit, sizeof(struct tm_limit), NULL,
	    gateway_conns_on_limit, NULL },
	{ TM_LIMIT_TAKE, (xdrproc_t)xdr_tm_limit_take,
	    sizeof(struct tm_limit_take), (xdrproc_t)xdr_tm_limit_taken,
	    gateway_conns_on_limit_take, NULL },
	{ TM_QUOTA_TAKE, (xdrproc_t)xdr_tm_quota_take,
	    sizeof(struct tm_quota_take), (xdrproc_t)xdr_tm_quota_taken,
	    gateway_conns_on_quota_take, NULL },
	{ TM_QUOTA_RETURN, (xdrproc_t)xdr_tm_quota_return,
	    sizeof(struct tm_quota_return), NULL, gateway_conns_on_quota_return,
	    NULL },
	{ TM_CRASH, (xdrproc_t)xdr_tm_crash, sizeof(struct tm_crash), NULL,
	    on_crash, NULL },
	{ TM_REPLICAS_READ, (xdrproc_t)xdr_tm_replicas_read,
	    sizeof(struct tm_replicas_read), NULL, gateway_conns_on_read,
	    NULL },
	{ TM_REPLICA_LEAVES, (xdrproc_t)xdr_tm_replica_leaves,
	    sizeof(struct tm_replica_leaves), NULL, on_leaves, NULL },
	{ TM_DEPLOYMENT_FOLLOW, (xdrproc_t)xdr_tm_deployment_follow,
	    sizeof(struct tm_deployment_follow), NULL, on_follow, NULL },
	{ 0 },
};

static void
gateway_conn_free(struct gateway_conn *gw)
{
	free(gw->uses);
	free(gw);
}

struct gateway_conn *
gateway_conns_caller(struct gateway_conns *gws, struct rpc_call *call)
{
	struct rpc_conn *conn = rpc_call_conn(call);
	struct gateway_conn *gw;

	if (conn == NULL)
		return NULL;
	gw = rpc_conn_owner(conn);
	if (gw != NULL)
		return gw;
	gw = calloc(1, sizeof(*gw));
	if (gw == NULL)
		abort();
	gw->conn = conn;
	rpc_conn_set_owner(conn, gw);
	TAILQ_INSERT_TAIL(&gws->list, gw, link);
	gws->count++;
	log_info(gws->sidecar->process.logger, "gateway connected",
	    LF_I("gateways", gws->count));
	gateway_conn_send_limits(gws, gw);
	return gw;
}

/* ---- uses and load requests ---- */

static unsigned
in_flight_of_all(
    const struct gateway_conns *gws, const char *model, const char *adapter)
{
	unsigned sum = 0;
	struct gateway_conn *gw;

	TAILQ_FOREACH(gw, &gws->list, link) {
		for (unsigned i = 0; i < gw->use_count; i++) {
			if (strcmp(gw->uses[i].model, model) == 0 &&
			    strcmp(gw->uses[i].adapter, adapter) == 0)
				sum += gw->uses[i].in_flight;
		}
	}
	return sum;
}

static struct gateway_use *
get_use(struct gateway_conn *gw, const char *model, const char *adapter)
{
	struct gateway_use *use;

	for (unsigned i = 0; i < gw->use_count; i++) {
		if (strcmp(gw->uses[i].model, model) == 0 &&
		    strcmp(gw->uses[i].adapter, adapter) == 0)
			return &gw->uses[i];
	}
	if (gw->use_count == USES_PER_GATEWAY)
		return NULL;
	if (gw->use_count == gw->use_size) {
		gw->use_size = gw->use_size * 2 + 8;
		gw->uses =
		    reallocarray(gw->uses, gw->use_size, sizeof(*gw->uses));
		if (gw->uses == NULL)
			abort();
	}
	use = &gw->uses[gw->use_count++];
	strlcpy(use->model, model, sizeof(use->model));
	strlcpy(use->adapter, adapter, sizeof(use->adapter));
	use->in_flight = 0;
	return use;
}

static void
on_replica_use(void *ctx, struct rpc_call *call, void *arg)
{
	struct gateway_conns *gws = ctx;
	struct gateway_conn *gw = gateway_conns_caller(gws, call);
	const struct tm_replica_use *msg = arg;

	if (gw == NULL)
		return;
	for (u_int i = 0; i < msg->uses.uses_len; i++) {
		const struct tm_model_use *u = &msg->uses.uses_val[i];
		struct gateway_use *use = get_use(gw, u->model, u->adapter);

		if (use == NULL)
			continue;
		use->in_flight = u->in_flight;
		replica_control_note_use(gws->sidecar->replica_control, u,
		    in_flight_of_all(gws, u->model, u->adapter));
	}
	if (gw->sent_models_hash == 0)
		gateway_conns_report(gws);
}

static void
on_load_request(void *ctx, struct rpc_call *call, void *arg)
{
	struct gateway_conns *gws = ctx;
	const struct tm_replica_want *msg = arg;
	struct gateway_conn *gw = gateway_conns_caller(gws, call);
	const char *loading;
	int64_t left_us;

	if (gw == NULL)
		return;
	gw->load_wait_until_us =
	    clock_now(gws->sidecar->process.clock) + msg->left_us;
	replica_control_request_load(gws->sidecar->replica_control, msg);
	loading =
	    replica_control_loading(gws->sidecar->replica_control, &left_us);
	/* Otherwise the next poll comes first: the last one may be outdated. */
	if (loading != NULL && strcmp(loading, msg->model) == 0)
		gateway_conns_report(gws);
}

static void
on_spares(void *ctx, struct rpc_call *call, void *arg)
{
	struct gateway_conns *gws = ctx;

	if (gateway_conns_caller(gws, call) != NULL)
		replica_control_set_spares(gws->sidecar->replica_control, arg);
}

/* ---- prefill permits ---- */

static void
reply_prefill(void *call, bool granted)
{
	const struct tm_read_reply reply = { granted };

	rpc_call_reply(call, &reply);
}

/* Grants the permits that are due, and refuses requests that are too late. */
static void
answer_prefills(struct gateway_conns *gws)
{
	int64_t now = clock_now(gws->sidecar->process.clock);
	struct prefill_request req;
	bool granted;

	while (prefill_gate_next(gws->prefill_gate, now, &req, &granted)) {
		if (granted)
			prefill_rates_begin(gws->prefill_rates, req.owner,
			    req.id, req.model, req.prompt_tokens, now);
		reply_prefill(req.ctx, granted);
	}
}

static void
on_prefill_request(void *ctx, struct rpc_call *call, void *arg)
{
	struct gateway_conns *gws = ctx;
	const struct tm_read_args *msg = arg;
	int64_t now = clock_now(gws->sidecar->process.clock);
	struct prefill_request req = {
		.owner = gateway_conns_caller(gws, call),
		.id = msg->id,
		.tokens = (uint32_t)(msg->tokens *
				     prefill_rates_factor(
					 gws->prefill_rates, msg->model)),
		.prompt_tokens = msg->tokens,
		.goal_us = now + msg->goal_left_us,
		.deadline_us = now + (int64_t)msg->left_us,
		.ctx = call,
	};

	strlcpy(req.model, msg->model, sizeof(req.model));
	if (req.owner == NULL ||
	    !prefill_gate_enqueue(gws->prefill_gate, &req, now)) {
		reply_prefill(call, false);
		return;
	}
	answer_prefills(gws);
}

static void
on_prefill_done(void *ctx, struct rpc_call *call, void *arg)
{
	struct gateway_conns *gws = ctx;
	const struct tm_read_done *msg = arg;
	const struct gateway_conn *gw = gateway_conns_caller(gws, call);
	void *withdrawn = prefill_gate_done(gws->prefill_gate, gw, msg->id);

	prefill_rates_end(gws->prefill_rates, gw, msg->id,
	    clock_now(gws->sidecar->process.clock));
	if (withdrawn != NULL)
		reply_prefill(withdrawn, false);
	answer_prefills(gws);
}

/* Adapts the batches of prompts to the machines and to the routes' goals. */
static void
update_batch(struct gateway_conns *gws)
{
	uint32_t batch = PREFILL_BATCH_TOKENS;

	if (gws->gap_goal_us > 0)
		batch = prefill_gate_batch(gws->gap_goal_us, gws->slowdown_peak,
		    PREFILL_TOKENS_PER_MS);
	prefill_gate_set_batch(gws->prefill_gate, batch,
	    batch < PREFILL_BATCH_TOKENS / 4 ? PREFILL_BATCH_TOKENS : 0);
}

/* The gateways see other answers; the highest of them is what may come. */
static void
on_slow(void *ctx, struct rpc_call *call, void *arg)
{
	struct gateway_conns *gws = ctx;
	struct gateway_conn *gw = gateway_conns_caller(gws, call);
	const struct tm_replica_slow *msg = arg;

	if (gw == NULL)
		return;
	gw->peak_percent = msg->peak_percent;
	gws->slowdown_peak = 1;
	TAILQ_FOREACH(gw, &gws->list, link) {
		if (gw->peak_percent / 100.0 > gws->slowdown_peak)
			gws->slowdown_peak = gw->peak_percent / 100.0;
	}
	update_batch(gws);
}

void
gateway_conns_on_deployment(struct gateway_conns *gws)
{
	const struct sidecar *sc = gws->sidecar;

	gws->gap_goal_us = sc->deployment == NULL
			       ? 0
			       : deployment_least_gap_goal(
				     sc->deployment, sc->settings.service);
	update_batch(gws);
}

static void
remove_prefills(struct gateway_conns *gws, const struct gateway_conn *gw)
{
	struct prefill_request req;

	prefill_rates_drop(gws->prefill_rates, gw);
	while (prefill_gate_remove(gws->prefill_gate, gw, &req)) {
		if (req.ctx != NULL)
			reply_prefill(req.ctx, false);
	}
	answer_prefills(gws);
}

/* Passes a message on to the other gateways, which are all connected here. */
static void
pass_on(struct gateway_conns *gws, struct rpc_call *call, uint32_t proc,
    xdrproc_t xdr, const void *arg)
{
	const struct gateway_conn *from = gateway_conns_caller(gws, call), *gw;

	TAILQ_FOREACH(gw, &gws->list, link) {
		if (gw != from)
			(void)rpc_conn_send(gw->conn, proc, xdr, arg);
	}
}

static void
on_crash(void *ctx, struct rpc_call *call, void *arg)
{
	pass_on(ctx, call, TM_CRASH, (xdrproc_t)xdr_tm_crash, arg);
}

static void
on_leaves(void *ctx, struct rpc_call *call, void *arg)
{
	pass_on(ctx, call, TM_REPLICA_LEAVES, (xdrproc_t)xdr_tm_replica_leaves,
	    arg);
}

/* ---- versions of the deployment ---- */

/* The message's header has the version. */
static void
send_state(struct gateway_conns *gws, struct gateway_conn *gw)
{
	struct tm_deployment_state msg = { sidecar_reads_store(gws->sidecar) };
	uint64_t version =
	    deployment_sync_version(gws->sidecar->deployment_sync);

	if (!gw->follows ||
	    (gw->state_sent && gw->sent_current == msg.current &&
		gw->sent_version == version))
		return;
	if (rpc_conn_send(gw->conn, TM_DEPLOYMENT_STATE,
		(xdrproc_t)xdr_tm_deployment_state, &msg) == -1)
		return;
	gw->state_sent = true;
	gw->sent_current = msg.current;
	gw->sent_version = version;
}

static void
on_follow(void *ctx, struct rpc_call *call, void *arg)
{
	struct gateway_conns *gws = ctx;
	struct gateway_conn *gw = gateway_conns_caller(gws, call);
	const struct tm_deployment_follow *msg = arg;

	if (gw == NULL)
		return;
	gw->chooses = true;
	gw->follows = msg->follow;
	gw->state_sent = false;
	send_state(gws, gw);
}

bool
gateway_conns_unfollowed(const struct gateway_conns *gws)
{
	const struct gateway_conn *gw;

	TAILQ_FOREACH(gw, &gws->list, link) {
		if (gw->follows || !gw->chooses)
			return false;
	}
	return gws->count >= UNFOLLOWED_MIN_GATEWAYS;
}

void
gateway_conns_send_states(struct gateway_conns *gws)
{
	struct gateway_conn *gw;

	TAILQ_FOREACH(gw, &gws->list, link)
		send_state(gws, gw);
}

/*
 * Every message carries the version, so that a gateway that cannot reach the
 * store learns of a newer deployment.
 */
void
gateway_conns_tick(struct gateway_conns *gws)
{
	uint64_t version =
	    deployment_sync_version(gws->sidecar->deployment_sync);
	int64_t now = clock_now(gws->sidecar->process.clock);
	struct gateway_conn *gw;

	/* Meanwhile permits expire, and waiting requests become too late. */
	answer_prefills(gws);
	gateway_conns_hint_idle(gws);
	gateway_conns_send_states(gws);
	if (version != gws->version) {
		gws->version = version;
		gws->version_us = now;
		gws->version_sent = false;
	}
	if (gws->version_sent || now - gws->version_us < SEND_VERSION_DELAY_US)
		return;
	gws->version_sent = true;
	TAILQ_FOREACH(gw, &gws->list, link) {
		if (!gw->chooses && gw->load_sent_us < gws->version_us)
			gateway_conn_send_load(gws, gw, &gws->sent_load);
	}
}

/* ---- connections ---- */

static void
set_handlers(struct gateway_conns *gws)
{
	struct deployment_sync *sync = gws->sidecar->deployment_sync;
	size_t last = sizeof(handlers) / sizeof(handlers[0]) - 1;

	_Static_assert(
	    sizeof(handlers) / sizeof(handlers[0]) + DEPLOYMENT_SYNC_HANDLERS ==
		GATEWAY_CONNS_HANDLERS,
	    "GATEWAY_CONNS_HANDLERS");
	memcpy(gws->handlers, handlers, sizeof(handlers));
	deployment_sync_handlers(sync, &gws->handlers[last]);
}

static void
fill_versions(void *ctx, struct rpc_versions *v)
{
	struct gateway_conns *gws = ctx;

	deployment_sync_fill_versions(gws->sidecar->deployment_sync, v);
	v->control = gws->replicas_offset;
}

static void
on_versions(void *ctx, struct rpc_conn *conn, const struct rpc_versions *v)
{
	struct gateway_conns *gws = ctx;

	deployment_sync_on_peer_versions(
	    gws->sidecar->deployment_sync, conn, v);
	gateway_conns_note_read(gws, rpc_conn_owner(conn), v->control);
}

static void
on_closed(void *ctx, struct rpc_conn *conn)
{
	struct gateway_conns *gws = ctx;
	struct gateway_conn *gw = rpc_conn_owner(conn);

	deployment_sync_conn_closed(gws->sidecar->deployment_sync, conn);
	if (gw == NULL)
		return;
	TAILQ_REMOVE(&gws->list, gw, link);
	gws->count--;
	remove_prefills(gws, gw);
	/* Its requests have ended or will end soon. */
	for (unsigned i = 0; i < gw->use_count; i++) {
		struct tm_model_use use = {
			.model = gw->uses[i].model,
			.adapter = gw->uses[i].adapter,
		};

		replica_control_note_use(gws->sidecar->replica_control, &use,
		    in_flight_of_all(gws, use.model, use.adapter));
	}
	log_info(gws->sidecar->process.logger, "gateway lost",
	    LF_I("gateways", gws->count));
	gateway_conn_free(gw);
}

struct gateway_conns *
gateway_conns_create(struct sidecar *sc)
{
	struct gateway_conns *gws = calloc(1, sizeof(*gws));
	struct rpc_options opts = {
		.base = sc->process.base,
		.logger = sc->process.logger,
		.metrics = sc->process.metrics,
		.program = TM_PROG,
		.version = TM_V1,
		.fill_versions = fill_versions,
		.on_versions = on_versions,
		.max_record = MAX_RECORD_BYTES,
		.max_output = MAX_OUTPUT_BYTES,
		.stall_us = STALL_US,
		.peer_timeout_us = PEER_TIMEOUT_US,
		.on_closed = on_closed,
	};

	const struct prefill_gate_options gate = {
		.batch_tokens = PREFILL_BATCH_TOKENS,
		.tokens_per_ms = PREFILL_TOKENS_PER_MS,
		.permit_expiry_us = PREFILL_PERMIT_US,
	};

	if (gws == NULL)
		return NULL;
	gws->sidecar = sc;
	gws->slowdown_peak = 1;
	TAILQ_INIT(&gws->list);
	gws->prefill_gate = prefill_gate_create(&gate);
	gws->prefill_rates = prefill_rates_create(PREFILL_TOKENS_PER_MS);
	gws->limit_meter = limit_meter_create(clock_now(sc->process.clock));
	if (gws->prefill_gate == NULL || gws->limit_meter == NULL ||
	    gateway_conns_create_quotas(gws) == -1) {
		gateway_conns_destroy(gws);
		return NULL;
	}
	gateway_conns_on_deployment(gws);
	opts.ctx = gws;
	set_handlers(gws);
	opts.handlers = gws->handlers;
	gws->rpc = rpc_create(&opts);
	if (gws->rpc == NULL ||
	    rpc_listen(gws->rpc, sc->settings.listen) == -1) {
		gateway_conns_destroy(gws);
		return NULL;
	}
	return gws;
}

void
gateway_conns_destroy(struct gateway_conns *gws)
{
	if (gws == NULL)
		return;
	if (gws->rpc != NULL)
		rpc_destroy(gws->rpc);
	prefill_gate_destroy(gws->prefill_gate);
	prefill_rates_destroy(gws->prefill_rates);
	limit_meter_destroy(gws->limit_meter);
	quota_meter_destroy(gws->quota_meter);
	free(gws);
}
