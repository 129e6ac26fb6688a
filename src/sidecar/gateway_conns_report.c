/*
 * Sends reports to gateways: TM_REPLICA_HOLDS, the replica's loaded models and
 * local copies, and TM_REPLICA_LOAD, its requests, KV cache and prefill share.
 */
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "coordination/prefill_rates.h"
#include "coordination/swap.h"
#include "sidecar/gateway_conns_internal.h"
#include "sidecar/replica_control.h"
#include "sidecar/sidecar_internal.h"

/* Least pause between two load reports. */
#define LOAD_MIN_PAUSE_US (250 * USEC_PER_MSEC)
/* Least pause between reports of holdings; see holds_due() for exceptions. */
#define HOLDS_MIN_PAUSE_US (200 * USEC_PER_MSEC)

/* Least changes of the load that are reported before LOAD_REFRESH_US. */
#define PREFILL_SHARE_STEP 100 /* permille */
#define REQUESTS_STEP 3 /* running and queued */
#define GATE_TOKENS_STEP 2000 /* of prompts that wait for a permit */
/* Smaller changes are reported this long after the last report. */
#define LOAD_REFRESH_US (1 * USEC_PER_SEC)

/* A message and what its pointers point to. */
struct holds_message {
	struct tm_replica_holds msg;
	struct tm_held_model models[FLEET_MODELS_MAX];
	char *adapters[FLEET_MODELS_MAX][FLEET_ADAPTERS_MAX];
	char *in_memory[FLEET_COPIES_MAX];
	char *on_disk[FLEET_COPIES_MAX];
	struct replica_state state;
};

static u_int
fill_names(struct weight_copies *copies, char **out)
{
	for (unsigned i = 0; i < copies->count; i++)
		out[i] = copies->names[i];
	return copies->count;
}

static void
fill_models(struct holds_message *m)
{
	for (unsigned i = 0; i < m->state.model_count; i++) {
		struct loaded_model *loaded = &m->state.models[i];
		struct tm_held_model *out = &m->models[i];

		out->name = loaded->name;
		for (unsigned j = 0; j < loaded->adapter_count; j++)
			m->adapters[i][j] = loaded->adapters[j];
		out->adapters.adapters_val = m->adapters[i];
		out->adapters.adapters_len = loaded->adapter_count;
	}
	m->msg.models.models_val = m->models;
	m->msg.models.models_len = m->state.model_count;
}

static void
fill_holds(struct gateway_conns *gws, struct holds_message *m)
{
	struct replica_control *rc = gws->sidecar->replica_control;
	const struct replica_state *state = replica_control_state(rc);
	int64_t left_us, idle_us;
	const char *loading = replica_control_loading(rc, &left_us);

	memset(m, 0, sizeof(*m));
	m->msg.loading = (char *)"";
	m->msg.gateways = gws->count;
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
	    fill_names(&m->state.in_memory, m->in_memory);
	m->msg.on_disk.on_disk_val = m->on_disk;
	m->msg.on_disk.on_disk_len = fill_names(&m->state.on_disk, m->on_disk);
	if (loading != NULL)
		m->msg.loading = (char *)loading;
	m->msg.loading_left_us = left_us;
	replica_control_fill_loads(rc, &m->msg);
	m->msg.free_mb = replica_control_free_mb(rc);
	idle_us = replica_control_victim_idle_us(rc);
	m->msg.victim_idle_us = swap_idle_quantize(idle_us);
}

/*
 * Hash of what decides which requests the replica can run, now and after the
 * load in progress; never 0.
 */
static uint64_t
hash_models(const struct holds_message *m, bool knows_sizes)
{
	const struct replica_state *s = &m->state;
	uint64_t hash =
	    XXH3_64bits_withSeed(m->msg.loading, strlen(m->msg.loading),
		(uint64_t)s->born_ms * 4 + s->draining * 2 + knows_sizes);

	for (unsigned i = 0; i < s->model_count; i++)
		hash = XXH3_64bits_withSeed(
		    s->models[i].name, strlen(s->models[i].name), hash);
	return hash == 0 ? 1 : hash;
}

/*
 * A change of the loaded models, or of the one being loaded, is reported at
 * once, so that no two gateways have it loaded; so is any change to a gateway
 * whose requests wait for a load.  Other changes, of adapters and loads
 * in progress, come some milliseconds apart and are reported together.
 */
static bool
holds_due(
    const struct gateway_conn *gw, uint64_t hash, uint64_t models, int64_t now)
{
	if (gw->sent_models_hash == 0)
		return true;
	if (gw->sent_holds_hash == hash)
		return false;
	return gw->sent_models_hash != models || now < gw->load_wait_until_us ||
	       now - gw->holds_sent_us >= HOLDS_MIN_PAUSE_US;
}

/* Hash of all fields whose change is reported. */
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
		const struct loaded_model *loaded = &s->models[i];

		XXH3_64bits_update(h, loaded->name, sizeof(loaded->name));
		XXH3_64bits_update(h, loaded->adapters,
		    loaded->adapter_count * sizeof(loaded->adapters[0]));
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
report_holds(struct gateway_conns *gws)
{
	static struct holds_message m;
	int64_t now = clock_now(gws->sidecar->process.clock);
	uint64_t hash, models;
	struct gateway_conn *gw;

	fill_holds(gws, &m);
	hash = hash_holds(&m);
	models = hash_models(&m, sidecar_engine(gws->sidecar) != NULL);
	TAILQ_FOREACH(gw, &gws->list, link) {
		if (!holds_due(gw, hash, models, now) ||
		    rpc_conn_send(gw->conn, TM_REPLICA_HOLDS,
			(xdrproc_t)xdr_tm_replica_holds, &m.msg) == -1)
			continue;
		gw->sent_holds_hash = hash;
		gw->sent_models_hash = models;
		gw->holds_sent_us = now;
	}
}

void
gateway_conn_send_load(struct gateway_conns *gws, struct gateway_conn *gw,
    const struct tm_replica_load *load)
{
	gw->load_sent_us = clock_now(gws->sidecar->process.clock);
	(void)rpc_conn_send(
	    gw->conn, TM_REPLICA_LOAD, (xdrproc_t)xdr_tm_replica_load, load);
}

static bool
differs_by(int64_t a, int64_t b, int64_t by)
{
	return a - b >= by || b - a >= by;
}

static bool
load_equal(const struct tm_replica_load *a, const struct tm_replica_load *b)
{
	return a->queued == b->queued && a->active == b->active &&
	       a->kv_used == b->kv_used &&
	       a->reading_permille == b->reading_permille &&
	       a->gate_tokens == b->gate_tokens;
}

/* Whether gateways would select other replicas after the change. */
static bool
load_changed(const struct tm_replica_load *old,
    const struct tm_replica_load *new, int64_t kv_total)
{
	int64_t running = (int64_t)old->active + old->queued;
	int64_t step =
	    running / 4 < REQUESTS_STEP ? REQUESTS_STEP : running / 4;

	return differs_by((int64_t) new->active + new->queued, running, step) ||
	       differs_by(new->kv_used, old->kv_used, kv_total / 8 + 1) ||
	       differs_by((int64_t) new->gate_tokens, (int64_t)old->gate_tokens,
		   GATE_TOKENS_STEP) ||
	       differs_by(new->reading_permille, old->reading_permille,
		   PREFILL_SHARE_STEP);
}

static void
report_load(struct gateway_conns *gws)
{
	const struct replica_state *s =
	    replica_control_state(gws->sidecar->replica_control);
	int64_t now = clock_now(gws->sidecar->process.clock);
	struct tm_replica_load load = { 0 };
	struct gateway_conn *gw;

	load.gate_tokens = prefill_gate_waiting_tokens(gws->prefill_gate);
	if (s == NULL || now - gws->load_sent_us < LOAD_MIN_PAUSE_US)
		return;
	load.queued = s->queued;
	load.active = s->active;
	load.kv_used = s->kv_used;
	load.reading_permille = (u_int)(replica_control_prefill_share(
					    gws->sidecar->replica_control) *
					1000);
	if (!load_changed(&gws->sent_load, &load, s->kv_total) &&
	    now - gws->load_sent_us < LOAD_REFRESH_US)
		return;
	if (load_equal(&gws->sent_load, &load))
		return;
	gws->sent_load = load;
	gws->load_sent_us = now;
	TAILQ_FOREACH(gw, &gws->list, link)
		gateway_conn_send_load(gws, gw, &load);
}

struct factors_message {
	struct tm_prefill_factors msg;
	struct tm_prefill_factor list[FLEET_MODELS_MAX];
	char names[FLEET_MODELS_MAX][FLEET_NAME_MAX];
};

static void
add_factor(void *ctx, const char *model, double factor)
{
	struct factors_message *m = ctx;
	u_int i = m->msg.models.models_len;

	if (i == FLEET_MODELS_MAX)
		return;
	strlcpy(m->names[i], model, FLEET_NAME_MAX);
	m->list[i] = (struct tm_prefill_factor){ m->names[i], factor };
	m->msg.models.models_len++;
}

static void
report_factors(struct gateway_conns *gws)
{
	uint64_t generation = prefill_rates_generation(gws->prefill_rates);
	struct factors_message m = { .msg.models.models_val = m.list };
	struct gateway_conn *gw;

	prefill_rates_list(gws->prefill_rates, add_factor, &m);
	TAILQ_FOREACH(gw, &gws->list, link) {
		if (gw->sent_rates != generation &&
		    rpc_conn_send(gw->conn, TM_PREFILL_FACTORS,
			(xdrproc_t)xdr_tm_prefill_factors, &m.msg) == 0)
			gw->sent_rates = generation;
	}
}

void
gateway_conns_report(struct gateway_conns *gws)
{
	if (TAILQ_EMPTY(&gws->list))
		return;
	report_holds(gws);
	report_load(gws);
	report_factors(gws);
}
