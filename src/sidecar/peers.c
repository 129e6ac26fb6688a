#include "sidecar/peers.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/deployment_share.h"
#include "coordination/read_gate.h"
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
#define LOAD_PAUSE_US (250 * USEC_PER_MSEC) /* between two load messages */
/* Changes of adapters and loads come in series of some milliseconds each. */
#define HOLDS_PAUSE_US (200 * USEC_PER_MSEC)
/* Most peers have had another message by then, which shows the version too. */
#define TELL_VERSION_US (300 * USEC_PER_MSEC)
/* Three pieces of a prompt: streams of five tokens an event stay below 600 ms.
 */
#define READ_BATCH_TOKENS 12000
#define READ_TOKENS_PER_MS 38.0 /* of the engines in use */
#define READ_GRANT_US (2 * USEC_PER_SEC)
/* Changes that are worth a message to all gateways at once. */
#define READING_STEP 100 /* permille */
#define LOAD_STEP 3 /* requests */
#define GATE_STEP 2000 /* tokens */
#define LOAD_REFRESH_US (1 * USEC_PER_SEC) /* smaller ones wait for it */
#define USES_MAX 256 /* of one gateway */
#define KEY_SIZE (2 * FLEET_NAME_MAX + 2)

struct peer_use {
	char model[FLEET_NAME_MAX];
	char adapter[FLEET_NAME_MAX];
	unsigned in_flight;
};

struct peer {
	struct rpc_conn *conn;
	int64_t sent_us; /* the last message to it */
	uint64_t told_hash; /* of what it was told that the replica holds */
	uint64_t told_models; /* likewise, of the models only; 0: nothing */
	int64_t told_us;
	int64_t wants_until_us; /* its requests wait for a load until then */
	struct peer_use uses[USES_MAX];
	unsigned use_count;
	TAILQ_ENTRY(peer) link;
};

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

#define HANDLERS (sizeof(handlers) / sizeof(handlers[0]))

struct peers {
	struct sidecar *sidecar;
	struct rpc *rpc;
	unsigned count;
	struct read_gate *gate;
	struct tm_replica_load load; /* as told last */
	int64_t load_us;
	uint64_t version; /* of the deployment */
	int64_t version_us;
	bool version_told;
	struct rpc_handler handlers[HANDLERS + 2];
	TAILQ_HEAD(, peer) list;
};

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
	struct read_request req;
	bool granted;

	while (read_gate_next(ps->gate, now, &req, &granted))
		answer_read(req.ctx, granted);
}

static void
on_read(void *ctx, struct rpc_call *call, void *arg)
{
	struct peers *ps = ctx;
	const struct tm_read_args *told = arg;
	int64_t now = clock_now(ps->sidecar->process.clock);
	struct read_request req = {
		.owner = peer_of(ps, call),
		.id = told->id,
		.tokens = told->tokens,
		.goal_us = now + told->goal_left_us,
		.deadline_us = now + (int64_t)told->left_us,
		.ctx = call,
	};

	if (req.owner == NULL || !read_gate_ask(ps->gate, &req, now)) {
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
	void *waited = read_gate_done(ps->gate, peer_of(ps, call), told->id);

	if (waited != NULL)
		answer_read(waited, false);
	open_gate(ps);
}

static void
forget_reads(struct peers *ps, const struct peer *p)
{
	struct read_request req;

	while (read_gate_forget(ps->gate, p, &req)) {
		if (req.ctx != NULL)
			answer_read(req.ctx, false);
	}
	open_gate(ps);
}

/* ---- what this sidecar tells ---- */

struct holds_message {
	struct tm_replica_holds msg;
	struct tm_held_model models[FLEET_MODELS_MAX];
	char *adapters[FLEET_MODELS_MAX][FLEET_ADAPTERS_MAX];
	char *in_memory[FLEET_COPIES_MAX];
	char *on_disk[FLEET_COPIES_MAX];
	struct replica_state state;
};

static u_int
name_list(struct weight_copies *copies, char **out)
{
	for (unsigned i = 0; i < copies->count; i++)
		out[i] = copies->names[i];
	return copies->count;
}

static void
fill_models(struct holds_message *m)
{
	for (unsigned i = 0; i < m->state.model_count; i++) {
		struct held_model *held = &m->state.models[i];
		struct tm_held_model *out = &m->models[i];

		out->name = held->name;
		for (unsigned j = 0; j < held->adapter_count; j++)
			m->adapters[i][j] = held->adapters[j];
		out->adapters.adapters_val = m->adapters[i];
		out->adapters.adapters_len = held->adapter_count;
	}
	m->msg.models.models_val = m->models;
	m->msg.models.models_len = m->state.model_count;
}

static void
fill_holds(struct peers *ps, struct holds_message *m)
{
	struct steering *s = ps->sidecar->steering;
	const struct replica_state *state = steering_state(s);
	int64_t left_us, idle_us;
	const char *loading = steering_loading(s, &left_us);

	memset(m, 0, sizeof(*m));
	m->msg.loading = (char *)"";
	m->msg.gateways = ps->count;
	m->msg.gone_in_us = -1;
	m->msg.victim_idle_us = -1;
	if (state == NULL)
		return;
	m->state = *state;
	m->msg.born_ms = state->born_ms;
	m->msg.draining = state->draining;
	m->msg.gone_in_us = state->gone_in_us;
	fill_models(m);
	m->msg.in_memory.in_memory_val = m->in_memory;
	m->msg.in_memory.in_memory_len =
	    name_list(&m->state.in_memory, m->in_memory);
	m->msg.on_disk.on_disk_val = m->on_disk;
	m->msg.on_disk.on_disk_len = name_list(&m->state.on_disk, m->on_disk);
	if (loading != NULL)
		m->msg.loading = (char *)loading;
	m->msg.loading_left_us = left_us;
	m->msg.free_mb = steering_free_mb(s);
	idle_us = steering_victim_idle_us(s);
	m->msg.victim_idle_us = swap_idle_step(idle_us);
}

/* Of what changes where requests may go; never 0. */
static uint64_t
hash_models(const struct replica_state *s, bool knows_sizes)
{
	uint64_t hash =
	    (uint64_t)s->born_ms * 4 + s->draining * 2 + knows_sizes;

	for (unsigned i = 0; i < s->model_count; i++)
		hash = XXH3_64bits_withSeed(
		    s->models[i].name, strlen(s->models[i].name), hash);
	return hash == 0 ? 1 : hash;
}

/*
 * A model that came or went is told at once, and all to those whose requests
 * wait for it; other changes come in series and are told together.
 */
static bool
holds_due(const struct peer *p, uint64_t hash, uint64_t models, int64_t now)
{
	if (p->told_models == 0)
		return true;
	if (p->told_hash == hash)
		return false;
	return p->told_models != models || now < p->wants_until_us ||
	       now - p->told_us >= HOLDS_PAUSE_US;
}

/* Of all fields that are worth a message when they change. */
static uint64_t
hash_holds(const struct holds_message *m)
{
	const struct replica_state *s = &m->state;
	XXH3_state_t *h = XXH3_createState();
	uint64_t hash;

	if (h == NULL)
		abort();
	XXH3_64bits_reset(h);
	XXH3_64bits_update(h, &s->born_ms, sizeof(s->born_ms));
	XXH3_64bits_update(h, &s->draining, sizeof(s->draining));
	for (unsigned i = 0; i < s->model_count; i++) {
		const struct held_model *held = &s->models[i];

		XXH3_64bits_update(h, held->name, sizeof(held->name));
		XXH3_64bits_update(h, held->adapters,
		    held->adapter_count * sizeof(held->adapters[0]));
	}
	XXH3_64bits_update(h, &s->in_memory, sizeof(s->in_memory));
	XXH3_64bits_update(h, &s->on_disk, sizeof(s->on_disk));
	XXH3_64bits_update(h, m->msg.loading, strlen(m->msg.loading));
	XXH3_64bits_update(
	    h, &m->msg.victim_idle_us, sizeof(m->msg.victim_idle_us));
	XXH3_64bits_update(h, &m->msg.free_mb, sizeof(m->msg.free_mb));
	hash = XXH3_64bits_digest(h);
	XXH3_freeState(h);
	return hash;
}

static void
tell_holds(struct peers *ps)
{
	static struct holds_message m;
	int64_t now = clock_now(ps->sidecar->process.clock);
	uint64_t hash, models;
	struct peer *p;

	fill_holds(ps, &m);
	hash = hash_holds(&m);
	models = hash_models(&m.state, sidecar_engine(ps->sidecar) != NULL);
	TAILQ_FOREACH(p, &ps->list, link) {
		if (!holds_due(p, hash, models, now) ||
		    rpc_conn_send(p->conn, TM_REPLICA_HOLDS,
			(xdrproc_t)xdr_tm_replica_holds, &m.msg) == -1)
			continue;
		p->told_hash = hash;
		p->told_models = models;
		p->told_us = now;
	}
}

static void
send_load(struct peers *ps, struct peer *p, const struct tm_replica_load *load)
{
	p->sent_us = clock_now(ps->sidecar->process.clock);
	(void)rpc_conn_send(
	    p->conn, TM_REPLICA_LOAD, (xdrproc_t)xdr_tm_replica_load, load);
}

static bool
differs(int64_t a, int64_t b, int64_t by)
{
	return a - b >= by || b - a >= by;
}

static bool
load_same(const struct tm_replica_load *a, const struct tm_replica_load *b)
{
	return a->queued == b->queued && a->active == b->active &&
	       a->kv_used == b->kv_used &&
	       a->reading_permille == b->reading_permille &&
	       a->gate_tokens == b->gate_tokens;
}

/* Whether gateways would choose otherwise. */
static bool
load_changed(const struct tm_replica_load *old,
    const struct tm_replica_load *new, int64_t kv_total)
{
	int64_t running = (int64_t)old->active + old->queued;
	int64_t step = running / 4 < LOAD_STEP ? LOAD_STEP : running / 4;

	return differs((int64_t) new->active + new->queued, running, step) ||
	       differs(new->kv_used, old->kv_used, kv_total / 8 + 1) ||
	       differs((int64_t) new->gate_tokens, (int64_t)old->gate_tokens,
		   GATE_STEP) ||
	       differs(
		   new->reading_permille, old->reading_permille, READING_STEP);
}

static void
tell_load(struct peers *ps)
{
	const struct replica_state *s = steering_state(ps->sidecar->steering);
	int64_t now = clock_now(ps->sidecar->process.clock);
	struct tm_replica_load load = { 0 };
	struct peer *p;

	load.gate_tokens = read_gate_waiting(ps->gate);
	if (s == NULL || now - ps->load_us < LOAD_PAUSE_US)
		return;
	load.queued = s->queued;
	load.active = s->active;
	load.kv_used = s->kv_used;
	load.reading_permille =
	    (u_int)(steering_reading_share(ps->sidecar->steering) * 1000);
	if (!load_changed(&ps->load, &load, s->kv_total) &&
	    now - ps->load_us < LOAD_REFRESH_US)
		return;
	if (load_same(&ps->load, &load))
		return;
	ps->load = load;
	ps->load_us = now;
	TAILQ_FOREACH(p, &ps->list, link)
		send_load(ps, p, &load);
}

void
peers_tell(struct peers *ps)
{
	if (TAILQ_EMPTY(&ps->list))
		return;
	tell_holds(ps);
	tell_load(ps);
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
			send_load(ps, p, &ps->load);
	}
}

/* ---- connections ---- */

static void
fill_handlers(struct peers *ps)
{
	struct deployment_share *share = ps->sidecar->share;
	size_t last = HANDLERS - 1;

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
	free(p);
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

	const struct read_gate_options gate = {
		.batch_tokens = READ_BATCH_TOKENS,
		.tokens_per_ms = READ_TOKENS_PER_MS,
		.grant_us = READ_GRANT_US,
	};

	if (ps == NULL)
		return NULL;
	ps->sidecar = sc;
	TAILQ_INIT(&ps->list);
	ps->gate = read_gate_create(&gate);
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
	read_gate_destroy(ps->gate);
	free(ps);
}
