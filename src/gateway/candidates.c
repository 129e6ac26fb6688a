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
#include "gateway/backends.h"
#include "gateway/gateway_internal.h"
#include "gateway/sidecar_links.h"
#include "state/deployment.h"

#define SPREAD_PAUSE_US (300 * USEC_PER_MSEC) /* between two spreads */
#define SPREAD_WANT_US (2 * USEC_PER_SEC) /* such a want lapses then */
#define GUARD_PAUSE_US                                                         \
	(1 * USEC_PER_SEC) /* between two looks for lost models */
#define GUARD_WANT_US (10 * USEC_PER_SEC)
#define GUARD_RANK 9 /* behind all that requests wait for */
/* A replica that was listed just now may still bring copies. */
#define GUARD_SETTLE_US (3 * USEC_PER_SEC)
/* Only what was unused for so long makes way for a model nobody waits for. */
#define GUARD_VICTIM_US (10 * USEC_PER_SEC)

uint64_t
candidates_hash(const struct backend *b)
{
	return XXH3_64bits(b->entry.id, strlen(b->entry.id));
}

static bool
was_tried(const struct backend *b, const uint64_t *tried, unsigned count)
{
	uint64_t hash = candidates_hash(b);

	for (unsigned i = 0; i < count; i++) {
		if (tried[i] == hash)
			return true;
	}
	return false;
}

/* Tokens of the prompt's head that the replica read before. */
static uint32_t
cached_tokens(const struct gateway *g, const struct request_terms *t,
    const struct backend *b)
{
	uint32_t tokens = 0;

	for (unsigned i = 0; i < t->part_count; i++) {
		uint64_t key = prefix_map_key(
		    t->model, t->adapter, t->parts[i].id, b->entry.id);

		if (!prefix_map_has(g->prefixes, key))
			break;
		tokens += t->parts[i].tokens;
	}
	return tokens;
}

static void
fill(const struct gateway *g, const struct model_spec *spec,
    const struct request_terms *terms, const struct backend *b, int64_t now,
    struct select_replica *r)
{
	memset(r, 0, sizeof(*r));
	r->id = b->entry.id;
	r->ejected = outlier_ejected(&b->outlier, now);
	r->same_zone = strcmp(b->entry.zone, g->settings.zone) == 0;
	r->slots = b->entry.slots;
	/* What others run there, as far as the report tells, and own work. */
	r->running = b->in_flight;
	if (b->has_report && b->reported > b->own_at_report)
		r->running += b->reported - b->own_at_report;
	r->pending_tokens = b->pending_tokens > b->gate_tokens
				? b->pending_tokens
				: b->gate_tokens;
	r->cached_tokens = cached_tokens(g, terms, b);
	r->prefill_share = b->has_report ? b->prefill_share : 0;
	r->slowdown = b->slowdown;
	r->failure_share = b->outlier.failure_share;
	r->kv_free = b->has_report && b->entry.state.kv_total > 0
			 ? b->entry.state.kv_total - b->kv_used
			 : -1;
	if (terms->model[0] == '\0')
		return;
	r->victim_idle_us = backend_has_room(b, spec)
				? INT64_MAX
				: backend_victim_idle_us(b, now);
	r->load_us =
	    backend_load_us(b, spec, terms->model, terms->adapter, now);
}

/* A replica resets what is beyond its bound, and then may have run it. */
static bool
has_connection(const struct backend *b, const struct service_spec *service)
{
	return service->max_conns == 0 || b->in_flight < service->max_conns;
}

struct candidates *
candidates_list(struct gateway *g, const struct service_spec *service,
    const struct request_terms *terms, const uint64_t *tried,
    unsigned tried_count)
{
	static struct candidates c;
	struct backend *b = NULL;
	int64_t now = clock_now(g->process.clock);
	const struct model_spec *spec =
	    service->has_engine ? engine_model(&service->engine, terms->model)
				: NULL;

	c.count = 0;
	c.query.model = terms->model;
	c.query.prompt_tokens = terms->prompt_tokens;
	c.query.parts = terms->parts;
	c.query.part_count = terms->part_count;
	c.query.answer_tokens = terms->expected_tokens != 0
				    ? terms->expected_tokens
				    : terms->max_tokens;
	c.query.rate = model_rates_get(g->rates, terms->model, now);
	c.query.prefill_factor = model_prefill_factor(g->paces, terms->model);
	while ((b = backends_next(g->backends, b)) != NULL &&
	       c.count < CANDIDATES_MAX) {
		if (!b->listed || strcmp(b->entry.service, service->name) != 0)
			continue;
		fill(g, spec, terms, b, now, &c.replicas[c.count]);
		c.replicas[c.count].usable =
		    backend_takes_work(b) &&
		    !was_tried(b, tried, tried_count) &&
		    has_connection(b, service);
		c.backends[c.count++] = b;
	}
	return &c;
}

void
candidates_spread(struct gateway *g, const struct candidates *c,
    const struct request_terms *terms, unsigned rank)
{
	int64_t now = clock_now(g->process.clock);
	int index;

	if (now - g->spread_us < SPREAD_PAUSE_US)
		return;
	index = select_scale_out(&c->query, c->replicas, c->count);
	if (index == -1)
		return;
	g->spread_us = now;
	log_info(g->process.logger, "model spread", LF_S("model", terms->model),
	    LF_S("replica", c->backends[index]->entry.id),
	    LF_I("load_us", c->replicas[index].load_us));
	sidecar_links_want(
	    g->links, c->backends[index], terms, rank, SPREAD_WANT_US);
}

/* ---- models without a copy ---- */

/* A model that had a copy while this gateway ran. */
struct kept_model {
	char name[FLEET_NAME_MAX];
	UT_hash_handle hh;
};

static void
note_kept(struct gateway *g, const char *model)
{
	struct kept_model *kept;

	HASH_FIND_STR(g->kept, model, kept);
	if (kept != NULL)
		return;
	kept = calloc(1, sizeof(*kept));
	if (kept == NULL)
		abort();
	strlcpy(kept->name, model, sizeof(kept->name));
	HASH_ADD_STR(g->kept, name, kept);
}

static bool
was_kept(const struct gateway *g, const char *model)
{
	struct kept_model *kept;

	HASH_FIND_STR(g->kept, model, kept);
	return kept != NULL;
}

void
candidates_forget(struct gateway *g)
{
	struct kept_model *kept, *next;

	HASH_ITER(hh, g->kept, kept, next) {
		HASH_DEL(g->kept, kept);
		free(kept);
	}
}

/* Whether every replica of the service has told what it holds. */
static bool
all_known(struct gateway *g, const struct service_spec *service, int64_t now)
{
	struct backend *b = NULL;
	unsigned known = 0;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (!b->listed || strcmp(b->entry.service, service->name) != 0)
			continue;
		if (!b->has_report || now - b->listed_us < GUARD_SETTLE_US)
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

static void
load_again(struct gateway *g, const struct service_spec *service,
    const struct model_spec *model)
{
	static struct request_terms terms; /* the candidates point to it */
	struct candidates *c;
	struct select_choice choice;

	strlcpy(terms.model, model->name, sizeof(terms.model));
	c = candidates_list(g, service, &terms, NULL, 0);
	choice = select_replica(&c->query, c->replicas, c->count);
	if (choice.index == -1 ||
	    c->replicas[choice.index].victim_idle_us < GUARD_VICTIM_US)
		return;
	log_info(g->process.logger, "model has no copy left",
	    LF_S("model", model->name),
	    LF_S("replica", c->backends[choice.index]->entry.id));
	sidecar_links_want(g->links, c->backends[choice.index], &terms,
	    GUARD_RANK, GUARD_WANT_US);
}

void
candidates_guard(struct gateway *g)
{
	int64_t now = clock_now(g->process.clock);

	if (g->deployment == NULL || now - g->guard_us < GUARD_PAUSE_US)
		return;
	g->guard_us = now;
	for (size_t i = 0; i < g->deployment->service_count; i++) {
		const struct service_spec *s = &g->deployment->services[i];

		if (!s->has_engine || !all_known(g, s, now))
			continue;
		for (size_t m = 0; m < s->engine.model_count; m++) {
			const struct model_spec *spec = &s->engine.models[m];

			if (has_any_copy(g, s, spec->name)) {
				note_kept(g, spec->name);
			} else if (was_kept(g, spec->name)) {
				load_again(g, s, spec);
				break;
			}
		}
	}
}
