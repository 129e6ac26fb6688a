#include "sidecar/peers_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/deployment_share.h"
#include "coordination/prefill_gate.h"
#include "coordination/swap.h"
#include "protocol/tm_xdr.h"
#include "sidecar/sidecar_internal.h"
#include "sidecar/steering.h"
#include "state/deployment.h"
#include "transport/rpc.h"

#define MAX_RECORD (8 * 1024 * 1024) /* bytes: a deployment and its frame */
#define MAX_OUTPUT (16 * 1024 * 1024) /* bytes */
#define STALL_US (3 * USEC_PER_SEC)
#define DEAD_PEER_US (3 * USEC_PER_SEC)
/* Most peers have had another message by then, which shows the version too. */
#define TELL_VERSION_US (300 * USEC_PER_MSEC)
/* Three pieces of a prompt: streams of five tokens an event stay below 600 ms.
 */
#define READ_BATCH_TOKENS 12000
#define READ_TOKENS_PER_MS 38.0 /* of the engines in use */
#define READ_GRANT_US (2 * USEC_PER_SEC)
#define USES_MAX 256 /* of one gateway */

static void on_use(void *, struct rpc_call *, void *);
static void on_want(void *, struct rpc_call *, void *);
static void on_read(void *, struct rpc_call *, void *);
static void on_read_done(void *, struct rpc_call *, void *);

static const struct rpc_handler handlers[] = {
	{ TM_REPLICA_USE, (xdrproc_t)xdr_tm_replica_use,
	    sizeof(struct tm_replica_use), NULL, on_use, NULL },
	{ TM_REPLICA_WANT, (xdrproc_t)xdr_tm_replica_want,
	    sizeof(struct tm_replica_want), NULL, on_want, NULL },
	{ TM_READ, (xdrproc_t)xdr_tm_read_args, sizeof(struct tm_read_args),
	    (xdrproc_t)xdr_tm_read_reply, on_read, NULL },
	{ TM_READ_DONE, (xdrproc_t)xdr_tm_read_done,
	    sizeof(struct tm_read_done), NULL, on_read_done, NULL },
	{ 0 },
};

static void
peer_free(struct peer *p)
{
	free(p->uses);
	free(p);
}

static struct peer *
peer_of(struct peers *ps, struct rpc_call *call)
{
	struct rpc_conn *conn = rpc_call_conn(call);
	struct peer *p;

	if (conn == NULL)
		return NULL;
	p = rpc_conn_owner(conn);
	if (p != NULL)
		return p;
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		abort();
	p->conn = conn;
	rpc_conn_set_owner(conn, p);
	TAILQ_INSERT_TAIL(&ps->list, p, link);
	ps->count++;
	log_info(ps->sidecar->process.logger, "gateway connected",
	    LF_I("gateways", ps->count));
	return p;
}

/* ---- what gateways tell ---- */

static unsigned
in_flight_of_all(const struct peers *ps, const char *model, const char *adapter)
{
	unsigned sum = 0;
	struct peer *p;

	TAILQ_FOREACH(p, &ps->list, link) {
		for (unsigned i = 0; i < p->use_count; i++) {
			if (strcmp(p->uses[i].model, model) == 0 &&
			    strcmp(p->uses[i].adapter, adapter) == 0)
				sum += p->uses[i].in_flight;
		}
	}
	return sum;
}

static struct peer_use *
peer_use(struct peer *p, const char *model, const char *adapter)
{
	struct peer_use *use;

	for (unsigned i = 0; i < p->use_count; i++) {
		if (strcmp(p->uses[i].model, model) == 0 &&
		    strcmp(p->uses[i].adapter, adapter) == 0)
			return &p->uses[i];
	}
	if (p->use_count == USES_MAX)
		return NULL;
	if (p->use_count == p->use_size) {
		p->use_size = p->use_size * 2 + 8;
		p->uses = reallocarray(p->uses, p->use_size, sizeof(*p->uses));
		if (p->uses == NULL)
			abort();
	}
	use = &p->uses[p->use_count++];
	strlcpy(use->model, model, sizeof(use->model));
	strlcpy(use->adapter, adapter, sizeof(use->adapter));
	use->in_flight = 0;
	return use;
}

static void
on_use(void *ctx, struct rpc_call *call, void *arg)
{
	struct peers *ps = ctx;
	struct peer *p = peer_of(ps, call);
	const struct tm_replica_use *told = arg;

	if (p == NULL)
		return;
	for (u_int i = 0; i < told->uses.uses_len; i++) {
		const struct tm_model_use *u = &told->uses.uses_val[i];
		struct peer_use *use = peer_use(p, u->model, u->adapter);

		if (use == NULL)
			continue;
		use->in_flight = u->in_flight;
		steering_use(ps->sidecar->steering, u,
		    in_flight_of_all(ps, u->model, u->adapter));
	}
	if (p->told_models == 0)
		peers_tell(ps);
}

static void
on_want(void *ctx, struct rpc_call *call, void *arg)
{
	struct peers *ps = ctx;

	const struct tm_replica_want *told = arg;
	struct peer *p = peer_of(ps, call);

	if (p == NULL)
		return;
	p->wants_until_us =
	    clock_now(ps->sidecar->process.clock) + told->left_us;
	steering_want(ps->sidecar->steering, told);
}

/* ---- leave to read prompts ---- */

static void
answer_read(void *call, bool granted)
{
	const struct tm_read_reply reply = { granted };

	rpc_call_reply(call, &reply);
}

/* Lets in what may be read now. */
static void
open_gate(struct peers *ps)
{
	int64_t now = clock_now(ps->sidecar->process.clock);
	struct prefill_request req;
	bool granted;

	while (prefill_gate_next(ps->gate, now, &req, &granted))
		answer_read(req.ctx, granted);
}

static void
on_read(void *ctx, struct rpc_call *call, void *arg)
{
	struct peers *ps = ctx;
	const struct tm_read_args *told = arg;
	int64_t now = clock_now(ps->sidecar->process.clock);
	struct prefill_request req = {
		.owner = peer_of(ps, call),
		.id = told->id,
		.tokens = told->tokens,
		.goal_us = now + told->goal_left_us,
		.deadline_us = now + (int64_t)told->left_us,
		.ctx = call,
	};

	if (req.owner == NULL || !prefill_gate_enqueue(ps->gate, &req, now)) {
		answer_read(call, false);
		return;
	}
	open_gate(ps);
}

static void
on_read_done(void *ctx, struct rpc_call *call, void *arg)
{
	struct peers *ps = ctx;
	const struct tm_read_done *told = arg;
	void *waited = prefill_gate_done(ps->gate, peer_of(ps, call), told->id);

	if (waited != NULL)
		answer_read(waited, false);
	open_gate(ps);
}

static void
forget_reads(struct peers *ps, const struct peer *p)
{
	struct prefill_request req;

	while (prefill_gate_remove(ps->gate, p, &req)) {
		if (req.ctx != NULL)
			answer_read(req.ctx, false);
	}
	open_gate(ps);
}

/* A peer that the store turns away learns of a newer deployment by any message.
 */
void
peers_tick(struct peers *ps)
{
	uint64_t version = deployment_share_version(ps->sidecar->share);
	int64_t now = clock_now(ps->sidecar->process.clock);
	struct peer *p;

	open_gate(ps); /* grants expire, and waiting prompts become too late */
	if (version != ps->version) {
		ps->version = version;
		ps->version_us = now;
		ps->version_told = false;
	}
	if (ps->version_told || now - ps->version_us < TELL_VERSION_US)
		return;
	ps->version_told = true;
	TAILQ_FOREACH(p, &ps->list, link) {
		if (p->sent_us < ps->version_us)
			peers_send_load(ps, p, &ps->load);
	}
}

/* ---- connections ---- */

static void
fill_handlers(struct peers *ps)
{
	struct deployment_share *share = ps->sidecar->share;
	size_t last = sizeof(handlers) / sizeof(handlers[0]) - 1;

	memcpy(ps->handlers, handlers, sizeof(handlers));
	ps->handlers[last++] = (struct rpc_handler){ TM_DEPLOYMENT,
		(xdrproc_t)xdr_tm_deployment_doc,
		sizeof(struct tm_deployment_doc), NULL, deployment_share_on_doc,
		share };
	ps->handlers[last] = (struct rpc_handler){ TM_DEPLOYMENT_ASK,
		(xdrproc_t)xdr_tm_deployment_ask,
		sizeof(struct tm_deployment_ask), NULL, deployment_share_on_ask,
		share };
}

static void
fill_versions(void *ctx, struct rpc_versions *v)
{
	struct peers *ps = ctx;

	deployment_share_fill(ps->sidecar->share, v);
}

static void
seen_versions(void *ctx, struct rpc_conn *conn, const struct rpc_versions *v)
{
	struct peers *ps = ctx;

	deployment_share_seen(ps->sidecar->share, conn, v);
}

static void
on_closed(void *ctx, struct rpc_conn *conn)
{
	struct peers *ps = ctx;
	struct peer *p = rpc_conn_owner(conn);

	deployment_share_closed(ps->sidecar->share, conn);
	if (p == NULL)
		return;
	TAILQ_REMOVE(&ps->list, p, link);
	ps->count--;
	forget_reads(ps, p);
	/* Its requests ended with it, or will soon. */
	for (unsigned i = 0; i < p->use_count; i++) {
		struct tm_model_use use = {
			.model = p->uses[i].model,
			.adapter = p->uses[i].adapter,
		};

		steering_use(ps->sidecar->steering, &use,
		    in_flight_of_all(ps, use.model, use.adapter));
	}
	log_info(ps->sidecar->process.logger, "gateway lost",
	    LF_I("gateways", ps->count));
	peer_free(p);
}

struct peers *
peers_create(struct sidecar *sc)
{
	struct peers *ps = calloc(1, sizeof(*ps));
	struct rpc_options opts = {
		.base = sc->process.base,
		.logger = sc->process.logger,
		.metrics = sc->process.metrics,
		.program = TM_PROG,
		.version = TM_V1,
		.fill_versions = fill_versions,
		.seen_versions = seen_versions,
		.max_record = MAX_RECORD,
		.max_output = MAX_OUTPUT,
		.stall_us = STALL_US,
		.dead_peer_us = DEAD_PEER_US,
		.closed = on_closed,
	};

	const struct prefill_gate_options gate = {
		.batch_tokens = READ_BATCH_TOKENS,
		.tokens_per_ms = READ_TOKENS_PER_MS,
		.permit_us = READ_GRANT_US,
	};

	if (ps == NULL)
		return NULL;
	ps->sidecar = sc;
	TAILQ_INIT(&ps->list);
	ps->gate = prefill_gate_create(&gate);
	if (ps->gate == NULL) {
		peers_destroy(ps);
		return NULL;
	}
	opts.ctx = ps;
	fill_handlers(ps);
	opts.handlers = ps->handlers;
	ps->rpc = rpc_create(&opts);
	if (ps->rpc == NULL || rpc_listen(ps->rpc, sc->settings.listen) == -1) {
		peers_destroy(ps);
		return NULL;
	}
	return ps;
}

void
peers_destroy(struct peers *ps)
{
	if (ps == NULL)
		return;
	if (ps->rpc != NULL)
		rpc_destroy(ps->rpc);
	prefill_gate_destroy(ps->gate);
	free(ps);
}
