/* What a sidecar tells its gateways of its replica. */
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "coordination/swap.h"
#include "sidecar/peers_internal.h"
#include "sidecar/sidecar_internal.h"
#include "sidecar/steering.h"

#define LOAD_PAUSE_US (250 * USEC_PER_MSEC) /* between two load messages */

/* Changes of adapters and loads come in series of some milliseconds each. */
#define HOLDS_PAUSE_US (200 * USEC_PER_MSEC)

/* Changes that are worth a message to all gateways at once. */
#define READING_STEP 100 /* permille */
#define LOAD_STEP 3 /* requests */
#define GATE_STEP 2000 /* tokens */
#define LOAD_REFRESH_US (1 * USEC_PER_SEC) /* smaller ones wait for it */

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
	steering_fill_loads(s, &m->msg);
	m->msg.free_mb = steering_free_mb(s);
	idle_us = steering_victim_idle_us(s);
	m->msg.victim_idle_us = swap_idle_quantize(idle_us);
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
	XXH3_64bits_update(
	    h, &m->msg.limit_learned_us, sizeof(m->msg.limit_learned_us));
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

void
peers_send_load(
    struct peers *ps, struct peer *p, const struct tm_replica_load *load)
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

	load.gate_tokens = prefill_gate_waiting_tokens(ps->gate);
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
		peers_send_load(ps, p, &load);
}

void
peers_tell(struct peers *ps)
{
	if (TAILQ_EMPTY(&ps->list))
		return;
	tell_holds(ps);
	tell_load(ps);
}
