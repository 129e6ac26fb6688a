#include "gateway/candidates.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <uthash.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/model_rates.h"
#include "coordination/model_prefill.h"
#include "coordination/prefix_map.h"
#include "coordination/rate_limit.h"
#include "gateway/backends.h"
#include "gateway/crash_guard.h"
#include "gateway/gateway_internal.h"
#include "gateway/limits.h"
#include "gateway/sidecar_conns.h"
#include "state/deployment.h"

/* Least pause between two load requests for scale out, by this gateway. */
#define SCALE_OUT_PAUSE_US (300 * USEC_PER_MSEC)
/* Load requests for scale out and of lost models expire after these times. */
#define SCALE_OUT_REQUEST_US (2 * USEC_PER_SEC)
#define RELOAD_REQUEST_US (10 * USEC_PER_SEC)
#define RELOAD_RANK 9 /* less urgent than loads with waiting callers */
#define RELOAD_CHECK_PAUSE_US (1 * USEC_PER_SEC)
/* Requests per second from which free memory is filled with a model. */
#define FILL_RATE 0.02
#define FILL_PAUSE_US (200 * USEC_PER_MSEC)
/* A replica listed more recently may not have reported its copies yet. */
#define RELOAD_SETTLE_US (3 * USEC_PER_SEC)
/* No model used more recently is evicted for a model without callers. */
#define RELOAD_VICTIM_IDLE_US (10 * USEC_PER_SEC)

uint64_t
candidates_id_hash(const struct backend *b)
{
	return XXH3_64bits(b->entry.id, strlen(b->entry.id));
}

static bool
was_tried(const struct backend *b, const uint64_t *tried, unsigned count)
{
	uint64_t hash = candidates_id_hash(b);

	for (unsigned i = 0; i < count; i++) {
		if (tried[i] == hash)
			return true;
	}
	return false;
}

/* Tokens of the prompt's prefix that the replica has lately prefilled. */
static uint32_t
cached_tokens(const struct gateway *g, const struct request_params *params,
    const struct backend *b)
{
	uint32_t tokens = 0;

	for (unsigned i = 0; i < params->part_count; i++) {
		uint64_t key = prefix_map_key(params->model, params->adapter,
		    params->parts[i].id, b->entry.id);

		if (!prefix_map_has(g->prefix_map, key))
			break;
		tokens += params->parts[i].tokens;
	}
	return tokens;
}

static void
fill_replica(const struct gateway *g, const struct model_spec *spec,
    const struct request_params *params, struct backend *b, int64_t now,
    struct select_replica *r)
{
	uint64_t pending;

	memset(r, 0, sizeof(*r));
	r->id = b->entry.id;
	r->ejected = outlier_ejected(&b->outlier, now);
	r->same_zone = strcmp(b->entry.zone, g->settings.zone) == 0;
	r->slots = b->entry.slots;
	/* This gateway's requests, and others' as of the last report. */
	r->running = b->in_flight;
	if (b->holdings_known &&
	    b->reported_requests > b->own_in_flight_at_report)
		r->running += b->reported_requests - b->own_in_flight_at_report;
	r->prefill_factor = backend_prefill_factor(b, params->model);
	pending = b->pending_tokens;
	if (r->prefill_factor > 0)
		pending = (uint64_t)((double)pending * r->prefill_factor);
	r->pending_tokens = pending > b->gate_tokens ? pending : b->gate_tokens;
	r->cached_tokens = cached_tokens(g, params, b);
	r->prefill_share = b->holdings_known ? b->prefill_share : 0;
	/* What the sidecar has measured includes how slow the replica is. */
	r->slowdown = r->prefill_factor > 0
			  ? replica_speed_stated(&b->speed, now)
			  : replica_speed_slowdown(&b->speed, now);
	r->failure_share = b->outlier.failure_share;
	r->limited = b->limit.per_s > 0;
	r->wait_us = limits_wait_us(g, b, now);
	r->quiet_us = quiet_wait_us(&b->quiet, now);
	r->kv_free = b->holdings_known && b->entry.state.kv_total > 0
			 ? b->entry.state.kv_total - b->kv_used
			 : -1;
	if (params->model[0] == '\0')
		return;
	r->load_us =
	    backend_load_us(b, spec, params->model, params->adapter, now);
	r->loading = strcmp(b->loading, params->model) == 0;
	r->has_model = backend_has_loaded(b, params->model);
	/* An adapter, or a load in progress, evicts no further model. */
	r->victim_idle_us =
	    r->loading || r->has_model || backend_has_free_memory(b, spec)
		? INT64_MAX
		: backend_victim_idle_us(b, now);
}

/*
 * A replica resets connections beyond its limit, which leaves open whether it
 * ran the request.
 */
static bool
below_connection_limit(
    const struct backend *b, const struct service_spec *service)
{
	return service->max_conns == 0 || b->in_flight < service->max_conns;
}

/* Its limit makes a replica unusable if the next request must wait long. */
static void
check_limit(struct candidates *c, struct select_replica *r)
{
	if (r->wait_us <= RATE_LIMIT_AHEAD_US)
		return;
	r->usable = false;
	if (c->limit_wait_us == 0 || r->wait_us < c->limit_wait_us)
		c->limit_wait_us = r->wait_us;
}

/* The shortest goal for pauses of the routes to the service; 0: none. */
static int64_t
least_gap_goal(struct gateway *g, const struct service_spec *service)
{
	static const struct deployment *of;
	static uint64_t version;
	static const char *name;
	static int64_t least;
	const struct deployment *d = g->deployment;

	if (!service->has_engine || d == NULL)
		return 0;
	if (of == d && version == d->version && name == service->name)
		return least;
	of = d;
	version = d->version;
	name = service->name;
	least = deployment_least_gap_goal(d, service->name);
	return least;
}

struct candidates *
candidates_list(struct gateway *g, const struct service_spec *service,
    const struct request_params *params, const uint64_t *tried,
    unsigned tried_count)
{
	static struct candidates c;
	struct backend *b = NULL;
	int64_t now = clock_now(g->process.clock);
	const struct model_spec *spec =
	    service->has_engine
		? engine_find_model(&service->engine, params->model)
		: NULL;

	c.count = 0;
	c.limit_wait_us = 0;
	c.query.model = params->model;
	c.query.prompt_tokens = params->prompt_tokens;
	c.query.parts = params->parts;
	c.query.part_count = params->part_count;
	c.query.answer_tokens = params->expected_tokens != 0
				    ? params->expected_tokens
				    : params->max_tokens;
	c.query.gap_goal_us = least_gap_goal(g, service);
	c.query.suspect = crash_guard_suspects(g->crash_guard, params);
	c.query.rate = model_rates_get(g->request_rates, params->model, now);
	c.query.prefill_factor =
	    model_prefill_factor(g->prefill_factors, params->model);
	while ((b = backends_next(g->backends, b)) != NULL &&
	       c.count < CANDIDATES_MAX) {
		if (!b->listed || strcmp(b->entry.service, service->name) != 0)
			continue;
		fill_replica(g, spec, params, b, now, &c.replicas[c.count]);
		c.replicas[c.count].usable =
		    backend_takes_work(b) &&
		    !was_tried(b, tried, tried_count) &&
		    below_connection_limit(b, service);
		if (c.replicas[c.count].usable)
			check_limit(&c, &c.replicas[c.count]);
		c.backends[c.count++] = b;
	}
	return &c;
}

void
candidates_scale_out(struct gateway *g, const struct candidates *c,
    const struct request_params *params, unsigned rank)
{
	int64_t now = clock_now(g->process.clock);
	int index;

	if (now - g->scale_out_us < SCALE_OUT_PAUSE_US)
		return;
	index = select_scale_out(&c->query, c->replicas, c->count);
	if (index == -1)
		return;
	g->scale_out_us = now;
	log_info(g->process.logger, "model spread",
	    LF_S("model", params->model),
	    LF_S("replica", c->backends[index]->entry.id),
	    LF_I("load_us", c->replicas[index].load_us));
	sidecar_conns_request_load(g->sidecar_conns, c->backends[index], params,
	    rank, SCALE_OUT_REQUEST_US);
}

/* ---- models that lost their last copy ---- */

/* A model that had a copy at some time since this gateway started. */
struct seen_model {
	char name[FLEET_NAME_MAX];
	UT_hash_handle hh;
};

static void
note_seen(struct gateway *g, const char *model)
{
	struct seen_model *seen;

	HASH_FIND_STR(g->seen_models, model, seen);
	if (seen != NULL)
		return;
	seen = calloc(1, sizeof(*seen));
	if (seen == NULL)
		abort();
	strlcpy(seen->name, model, sizeof(seen->name));
	HASH_ADD_STR(g->seen_models, name, seen);
}

static bool
was_seen(const struct gateway *g, const char *model)
{
	struct seen_model *seen;

	HASH_FIND_STR(g->seen_models, model, seen);
	return seen != NULL;
}

void
candidates_free_seen(struct gateway *g)
{
	struct seen_model *seen, *next;

	HASH_ITER(hh, g->seen_models, seen, next) {
		HASH_DEL(g->seen_models, seen);
		free(seen);
	}
}

/* Whether each of the service's replicas has reported its models and copies. */
static bool
all_holdings_known(
    struct gateway *g, const struct service_spec *service, int64_t now)
{
	struct backend *b = NULL;
	unsigned known = 0;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (!b->listed || strcmp(b->entry.service, service->name) != 0)
			continue;
		if (!b->holdings_known || now - b->listed_us < RELOAD_SETTLE_US)
			return false;
		known++;
	}
	return known > 0;
}

static bool
has_any_copy(
    struct gateway *g, const struct service_spec *service, const char *model)
{
	struct backend *b = NULL;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (backend_takes_work(b) &&
		    strcmp(b->entry.service, service->name) == 0 &&
		    backend_has_copy(b, model))
			return true;
	}
	return false;
}

/* Whether a replica has the model loaded, or is loading it. */
static bool
is_placed(
    struct gateway *g, const struct service_spec *service, const char *model)
{
	struct backend *b = NULL;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (backend_takes_work(b) &&
		    strcmp(b->entry.service, service->name) == 0 &&
		    (backend_has_loaded(b, model) ||
			strcmp(b->loading, model) == 0))
			return true;
	}
	return false;
}

/*
 * Requests a load that takes load_max_us at most and evicts nothing that was
 * used within victim_idle_us.  Returns false if no replica can load it so.
 */
static bool
load_unused(struct gateway *g, const struct service_spec *service,
    const struct model_spec *model, int64_t load_max_us, int64_t victim_idle_us,
    const char *why)
{
	static struct request_params params; /* the query points into it */
	struct candidates *c;
	struct select_choice choice;

	strlcpy(params.model, model->name, sizeof(params.model));
	c = candidates_list(g, service, &params, NULL, 0);
	for (size_t i = 0; i < c->count; i++) {
		if (c->replicas[i].victim_idle_us < victim_idle_us ||
		    c->replicas[i].load_us > load_max_us)
			c->replicas[i].usable = false;
	}
	choice = select_replica(&c->query, c->replicas, c->count);
	if (choice.index == -1)
		return false;
	log_info(g->process.logger, why, LF_S("model", model->name),
	    LF_S("replica", c->backends[choice.index]->entry.id),
	    LF_I("load_us", choice.load_us));
	sidecar_conns_request_load(g->sidecar_conns, c->backends[choice.index],
	    &params, RELOAD_RANK, RELOAD_REQUEST_US);
	return true;
}

/* Requests the load of a model whose last copy has disappeared. */
static void
reload_lost(struct gateway *g, const struct service_spec *s)
{
	for (size_t i = 0; i < s->engine.model_count; i++) {
		const struct model_spec *spec = &s->engine.models[i];

		if (has_any_copy(g, s, spec->name)) {
			note_seen(g, spec->name);
		} else if (was_seen(g, spec->name)) {
			(void)load_unused(g, s, spec, INT64_MAX,
			    RELOAD_VICTIM_IDLE_US, "model has no copy left");
			return;
		}
	}
}

static bool
has_free_memory(struct gateway *g, const struct service_spec *s)
{
	struct backend *b = NULL;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (backend_takes_work(b) &&
		    strcmp(b->entry.service, s->name) == 0 &&
		    s->engine.model_count > 0 &&
		    backend_has_free_memory(b, &s->engine.models[0]))
			return true;
	}
	return false;
}

/*
 * Requests the load of a model in demand that no replica has loaded; not from
 * the weight store, which requests that wait need.
 */
static void
fill_memory(struct gateway *g, const struct service_spec *s, int64_t now)
{
	if (!has_free_memory(g, s))
		return;
	for (size_t i = 0; i < s->engine.model_count; i++) {
		const struct model_spec *spec = &s->engine.models[i];

		if (model_rates_get(g->request_rates, spec->name, now) >=
			FILL_RATE &&
		    !is_placed(g, s, spec->name) &&
		    load_unused(g, s, spec, SELECT_SCALE_OUT_LOAD_MAX_US,
			INT64_MAX, "memory is free"))
			return;
	}
}

void
candidates_load_ahead(struct gateway *g)
{
	int64_t now = clock_now(g->process.clock);
	bool check_lost = now - g->reload_check_us >= RELOAD_CHECK_PAUSE_US;

	if (g->deployment == NULL || now - g->fill_us < FILL_PAUSE_US)
		return;
	g->fill_us = now;
	if (check_lost)
		g->reload_check_us = now;
	for (size_t i = 0; i < g->deployment->service_count; i++) {
		const struct service_spec *s = &g->deployment->services[i];

		if (!s->has_engine || !all_holdings_known(g, s, now))
			continue;
		if (check_lost)
			reload_lost(g, s);
		fill_memory(g, s, now);
	}
}
