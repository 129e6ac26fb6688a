#include "sidecar/steering.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/event.h>
#include <uthash.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/load_permit.h"
#include "coordination/swap.h"
#include "protocol/tm_xdr.h"
#include "sidecar/peers.h"
#include "sidecar/sidecar_internal.h"
#include "state/deployment.h"

#define REPORT_TIMEOUT_US (1 * USEC_PER_SEC)
#define ORDER_TIMEOUT_US (1 * USEC_PER_SEC)
/* Between orders that are not taken: an unseen one may be under way. */
#define PAUSE_FIRST_US (50 * USEC_PER_MSEC)
#define PAUSE_MAX_US (1 * USEC_PER_SEC)
/* Span over which the share of time spent on prompts is averaged. */
#define READING_WINDOW_US (2 * USEC_PER_SEC)
/* A report tells of an order at the latest so long after it was accepted. */
#define REPORT_LATE_US (1 * USEC_PER_SEC)
#define WANTS_MAX 128
#define FENCE 1 /* one holder only: this machine, whatever process runs */
#define KEY_SIZE (2 * FLEET_NAME_MAX + 2)

/* What is known of one model, or of one adapter of it. */
struct use {
	char key[KEY_SIZE]; /* model, slash, adapter */
	int64_t last_us;
	unsigned in_flight;
	UT_hash_handle hh;
};

struct want {
	char model[FLEET_NAME_MAX];
	char adapter[FLEET_NAME_MAX];
	unsigned rank;
	int64_t since_us;
	int64_t until_us;
};

struct steering {
	struct sidecar *sidecar;
	struct event *poll;
	struct replica_state state;
	bool known; /* state is of a replica that answers */
	bool ordering; /* an order's answer is awaited */
	char id[FLEET_ID_MAX]; /* of the incarnation; "": not known yet */
	bool identifying;
	struct use *uses;
	struct want wants[WANTS_MAX];
	size_t want_count;
	/* The load under way, by the last order that was accepted: */
	char loading[FLEET_NAME_MAX];
	int64_t loading_until_us;
	int64_t loading_since_us;
	uint64_t loading_seq; /* orders accepted before it */
	bool loading_from_store;
	bool order_is_load;
	bool order_from_store;
	char order_model[FLEET_NAME_MAX];
	char order_adapter[FLEET_NAME_MAX];
	struct load_permit *permit; /* for loads from the weight store */
	double prefill_share; /* of the time, lately */
	int64_t report_us;
	int64_t pause_us; /* after an order that was not taken */
	int64_t pause_until_us;
	uint64_t *orders;
	uint64_t *store_loads;
};

static void decide(struct steering *);
static void poll_soon(struct steering *);

/* ---- uses ---- */

static struct use *
get_use(struct steering *s, const char *model, const char *adapter)
{
	char key[KEY_SIZE];
	struct use *use;

	snprintf(key, sizeof(key), "%s/%s", model, adapter);
	HASH_FIND_STR(s->uses, key, use);
	if (use != NULL)
		return use;
	use = calloc(1, sizeof(*use));
	if (use == NULL)
		abort();
	strlcpy(use->key, key, sizeof(use->key));
	HASH_ADD_STR(s->uses, key, use);
	return use;
}

void
steering_use(
    struct steering *s, const struct tm_model_use *told, unsigned in_flight)
{
	int64_t now = clock_now(s->sidecar->process.clock);
	struct use *use = get_use(s, told->model, told->adapter);

	if (told->started > 0 || told->in_flight > 0)
		use->last_us = now;
	use->in_flight = in_flight;
}

/* ---- wants ---- */

static struct want *
find_want(struct steering *s, const char *model, const char *adapter)
{
	for (size_t i = 0; i < s->want_count; i++) {
		if (strcmp(s->wants[i].model, model) == 0 &&
		    strcmp(s->wants[i].adapter, adapter) == 0)
			return &s->wants[i];
	}
	return NULL;
}

void
steering_want(struct steering *s, const struct tm_replica_want *told)
{
	int64_t now = clock_now(s->sidecar->process.clock);
	struct want *w = find_want(s, told->model, told->adapter);

	load_permit_hear(s->permit, told->store_loads, told->store_loads_limit,
	    told->limit_learned_us);
	if (w == NULL) {
		if (s->want_count == WANTS_MAX) {
			log_warn(s->sidecar->process.logger,
			    "want left out: too many",
			    LF_S("model", told->model));
			return;
		}
		w = &s->wants[s->want_count++];
		memset(w, 0, sizeof(*w));
		strlcpy(w->model, told->model, sizeof(w->model));
		strlcpy(w->adapter, told->adapter, sizeof(w->adapter));
		w->rank = told->rank;
		w->since_us = now;
	}
	if (told->rank < w->rank)
		w->rank = told->rank;
	if (w->until_us < now + (int64_t)told->left_us)
		w->until_us = now + (int64_t)told->left_us;
	poll_soon(s);
}

static const struct held_model *
held(const struct steering *s, const char *model)
{
	for (unsigned i = 0; i < s->state.model_count; i++) {
		if (strcmp(s->state.models[i].name, model) == 0)
			return &s->state.models[i];
	}
	return NULL;
}

static bool
fulfilled(const struct steering *s, const struct want *w)
{
	const struct held_model *m = held(s, w->model);

	if (m == NULL)
		return false;
	if (w->adapter[0] == '\0')
		return true;
	for (unsigned i = 0; i < m->adapter_count; i++) {
		if (strcmp(m->adapters[i], w->adapter) == 0)
			return true;
	}
	return false;
}

static void
drop_wants(struct steering *s)
{
	int64_t now = clock_now(s->sidecar->process.clock);

	for (size_t i = 0; i < s->want_count;) {
		struct want *w = &s->wants[i];

		if (!fulfilled(s, w) && w->until_us > now) {
			i++;
			continue;
		}
		if (fulfilled(s, w)) /* its requests are on their way */
			get_use(s, w->model, w->adapter)->last_us = now;
		*w = s->wants[--s->want_count];
	}
}

/* ---- the policy's input ---- */

struct swap_view {
	struct swap_input in;
	double loads_per_s;
	int64_t store_load_us; /* of a model that needs a permit; the longest */
	struct swap_model models[FLEET_MODELS_MAX];
	struct swap_adapter adapters[FLEET_MODELS_MAX][2 * FLEET_ADAPTERS_MAX];
	struct swap_request wants[WANTS_MAX];
};

static void
view_model(struct steering *s, const struct engine_spec *engine,
    const struct held_model *held, struct swap_model *out,
    struct swap_adapter *adapters)
{
	const struct model_spec *spec = engine_model(engine, held->name);
	struct use *use = get_use(s, held->name, "");

	out->name = held->name;
	out->size_mb = spec == NULL ? 0 : spec->size_mb;
	out->adapter_mb = spec == NULL ? 0 : spec->adapter_mb;
	out->last_use_us = use->last_us;
	out->in_flight = use->in_flight;
	out->adapters = adapters;
	out->adapter_count = held->adapter_count + held->arriving_count;
	for (unsigned i = 0; i < held->adapter_count; i++) {
		use = get_use(s, held->name, held->adapters[i]);
		adapters[i].name = held->adapters[i];
		adapters[i].last_use_us = use->last_us;
		adapters[i].in_flight = use->in_flight;
		out->in_flight += use->in_flight;
		if (use->last_us > out->last_use_us)
			out->last_use_us = use->last_us;
	}
	for (unsigned i = 0; i < held->arriving_count; i++) {
		adapters[held->adapter_count + i].name = held->arriving[i];
		adapters[held->adapter_count + i].arriving = true;
	}
}

static bool
on_hand(const struct weight_copies *copies, const char *model)
{
	for (unsigned i = 0; i < copies->count; i++) {
		if (strcmp(copies->names[i], model) == 0)
			return true;
	}
	return false;
}

static bool
from_store(const struct steering *s, const char *model)
{
	return !on_hand(&s->state.in_memory, model) &&
	       !on_hand(&s->state.on_disk, model);
}

static void
view_wants(
    struct steering *s, const struct engine_spec *engine, struct swap_view *v)
{
	for (size_t i = 0; i < s->want_count; i++) {
		const struct want *w = &s->wants[i];
		const struct model_spec *spec = engine_model(engine, w->model);
		struct swap_request *out = &v->wants[v->in.request_count];

		if (spec == NULL)
			continue;
		out->model = w->model;
		out->adapter = w->adapter;
		out->rank = w->rank;
		out->since_us = w->since_us;
		out->size_mb = spec->size_mb;
		out->adapter_mb = spec->adapter_mb;
		out->needs_permit =
		    from_store(s, w->model) && !load_permit_held(s->permit);
		if (out->needs_permit &&
		    spec->load_remote_us > v->store_load_us)
			v->store_load_us = spec->load_remote_us;
		v->in.request_count++;
	}
}

/* Returns -1 while there is nothing to decide on. */
static int
make_view(struct steering *s, struct swap_view *v)
{
	const struct engine_spec *engine = sidecar_engine(s->sidecar);
	int64_t now = clock_now(s->sidecar->process.clock);

	memset(v, 0, sizeof(*v));
	if (engine == NULL || !s->known)
		return -1;
	v->in.now_us = now;
	v->in.min_keep_us = s->sidecar->settings.min_keep_ms * USEC_PER_MSEC;
	v->in.memory_mb = engine->memory_mb;
	v->in.adapter_capacity = engine->adapter_capacity;
	v->loads_per_s = engine->loads_per_s;
	v->in.models = v->models;
	v->in.requests = v->wants;
	for (unsigned i = 0; i < s->state.model_count; i++)
		view_model(s, engine, &s->state.models[i], &v->models[i],
		    v->adapters[i]);
	v->in.model_count = s->state.model_count;
	view_wants(s, engine, v);
	return 0;
}

double
steering_free_mb(struct steering *s)
{
	static struct swap_view v;

	return make_view(s, &v) == -1 ? 0
				      : v.in.memory_mb - swap_used_mb(&v.in);
}

int64_t
steering_victim_idle_us(struct steering *s)
{
	static struct swap_view v;
	const struct swap_model *victim =
	    make_view(s, &v) == -1 ? NULL : swap_victim(&v.in);

	return victim == NULL ? -1 : v.in.now_us - victim->last_use_us;
}

/* ---- orders ---- */

static int64_t
load_time_us(const struct steering *s, const char *model)
{
	const struct engine_spec *engine = sidecar_engine(s->sidecar);
	const struct model_spec *spec =
	    engine == NULL ? NULL : engine_model(engine, model);

	if (spec == NULL)
		return 0;
	if (on_hand(&s->state.in_memory, model))
		return spec->load_memory_us;
	return on_hand(&s->state.on_disk, model) ? spec->load_disk_us
						 : spec->load_remote_us;
}

static void
note_loading(struct steering *s, int64_t now)
{
	strlcpy(s->loading, s->order_model, sizeof(s->loading));
	s->loading_since_us = now;
	s->loading_seq = s->state.order_seq;
	s->loading_from_store = s->order_from_store;
	s->loading_until_us =
	    now + (s->order_from_store ? load_permit_expected_us(s->permit)
				       : load_time_us(s, s->order_model));
}

/* The report is some hundred ms old: it may not know of the order yet. */
static void
note_loaded(struct steering *s, int64_t since_report_us)
{
	int64_t took_us =
	    clock_now(s->sidecar->process.clock) - s->loading_since_us;

	if (s->loading[0] == '\0' || s->state.busy ||
	    (s->state.order_seq == s->loading_seq && took_us < REPORT_LATE_US))
		return;
	log_info(s->sidecar->process.logger, "load ended",
	    LF_S("model", s->loading), LF_I("took_us", took_us),
	    LF_I("from_store", s->loading_from_store),
	    LF_I("held", held(s, s->loading) != NULL),
	    LF_I("beside",
		s->loading_from_store ? load_permit_beside(s->permit) : 0));
	/* A daemon that stood still saw the end too late to learn from it. */
	if (s->loading_from_store && held(s, s->loading) != NULL &&
	    since_report_us < REPORT_LATE_US)
		load_permit_measured(s->permit, took_us);
	s->loading[0] = '\0';
	s->loading_until_us = 0;
}

static void
on_ordered(void *ctx, enum order_result result)
{
	struct steering *s = ctx;
	int64_t now = clock_now(s->sidecar->process.clock);
	bool model_load = s->order_is_load && s->order_adapter[0] == '\0';

	s->ordering = false;
	log_info(s->sidecar->process.logger, "order answered",
	    LF_S("model", s->order_model), LF_S("adapter", s->order_adapter),
	    LF_I("load", s->order_is_load), LF_I("result", result),
	    LF_I("seq", s->state.order_seq));
	if (model_load && result == ORDER_STARTED)
		note_loading(s, now);
	if (result == ORDER_REFUSED)
		s->id[0] = '\0'; /* it may be another incarnation's */
	if (result == ORDER_STARTED || result == ORDER_HOLDS_ALREADY) {
		s->pause_us = PAUSE_FIRST_US;
	} else {
		s->pause_until_us = now + s->pause_us;
		s->pause_us = s->pause_us * 2 < PAUSE_MAX_US ? s->pause_us * 2
							     : PAUSE_MAX_US;
	}
	poll_soon(s);
}

static void
send_order(struct steering *s, const struct swap_step *step)
{
	struct sidecar *sc = s->sidecar;
	struct replica_order order = {
		.op = step->op == SWAP_LOAD ? ORDER_LOAD : ORDER_UNLOAD,
		.model = step->model,
		.adapter = step->adapter,
		.holder = sc->settings.vm,
		.fence = FENCE,
		.expected_seq = s->state.order_seq,
		.replica = s->id,
	};

	s->ordering = true;
	s->order_is_load = step->op == SWAP_LOAD;
	strlcpy(s->order_model, step->model, sizeof(s->order_model));
	strlcpy(s->order_adapter, step->adapter == NULL ? "" : step->adapter,
	    sizeof(s->order_adapter));
	s->order_from_store = s->order_is_load && step->adapter == NULL &&
			      from_store(s, step->model);
	if (s->order_from_store)
		(*s->store_loads)++;
	(*s->orders)++;
	log_info(sc->process.logger, "order sent", LF_S("model", step->model),
	    LF_S("adapter", s->order_adapter), LF_I("load", s->order_is_load),
	    LF_I("seq", s->state.order_seq), LF_I("wants", s->want_count),
	    LF_I("from_store", s->order_from_store));
	sc->adapter->replica->order(
	    sc->replica, &order, ORDER_TIMEOUT_US, on_ordered, s);
}

static void
on_id(void *ctx, const char *id)
{
	struct steering *s = ctx;

	s->identifying = false;
	if (id == NULL || strlcpy(s->id, id, sizeof(s->id)) >= sizeof(s->id))
		s->id[0] = '\0'; /* asked again when an order is due */
	log_info(s->sidecar->process.logger, "replica identified",
	    LF_S("replica", s->id));
	poll_soon(s);
}

/* A late order must not reach the next incarnation, whose count may match. */
static void
identify(struct steering *s)
{
	struct sidecar *sc = s->sidecar;
	const struct service_spec *service =
	    deployment_service(sc->deployment, sc->settings.service);

	if (s->identifying || service == NULL)
		return;
	s->identifying = true;
	sc->adapter->replica->identify(
	    sc->replica, service->health_path, REPORT_TIMEOUT_US, on_id, s);
}

static void
decide(struct steering *s)
{
	static struct swap_view v;
	struct swap_step step;
	bool ask;

	drop_wants(s);
	/* The replica refuses any order while it carries one out. */
	if (s->ordering || !s->known || s->state.busy ||
	    s->sidecar->stop_us != 0 ||
	    clock_now(s->sidecar->process.clock) < s->pause_until_us)
		return;
	if (make_view(s, &v) == -1)
		return;
	step = swap_next(&v.in, &ask);
	if (ask)
		load_permit_ask(s->permit, v.loads_per_s, v.store_load_us);
	if (step.op == SWAP_NONE)
		return;
	if (s->id[0] == '\0') {
		identify(s);
		return;
	}
	if (step.op == SWAP_LOAD && step.adapter == NULL &&
	    from_store(s, step.model) && !load_permit_take(s->permit))
		return;
	send_order(s, &step);
}

/* ---- polling ---- */

static void
note_reading(struct steering *s, const struct replica_state *state)
{
	int64_t now = clock_now(s->sidecar->process.clock);
	double weight = (double)(now - s->report_us) / READING_WINDOW_US;
	double reading = state->reading + state->queued > 0 ? 1 : 0;

	if (weight > 1)
		weight = 1;
	s->prefill_share += weight * (reading - s->prefill_share);
	s->report_us = now;
}

double
steering_reading_share(const struct steering *s)
{
	return s->prefill_share;
}

static void
on_report(void *ctx, const struct replica_state *state)
{
	struct steering *s = ctx;
	struct process *p = &s->sidecar->process;
	int64_t since_report_us = clock_now(p->clock) - s->report_us;
	bool fast;

	if (state == NULL) {
		if (s->known)
			log_warn(p->logger, "replica does not answer");
		s->known = false;
		s->id[0] = '\0';
	} else {
		if (!s->known || s->state.born_ms != state->born_ms)
			log_info(p->logger, "replica answers",
			    LF_I("born_ms", state->born_ms),
			    LF_I("seq", state->order_seq),
			    LF_I("models", state->model_count),
			    LF_I("in_memory", state->in_memory.count),
			    LF_I("on_disk", state->on_disk.count));
		if (s->state.born_ms != state->born_ms)
			s->id[0] = '\0';
		note_reading(s, state);
		s->known = true;
		s->state = *state;
		note_loaded(s, since_report_us);
	}
	decide(s);
	peers_tell(s->sidecar->peers);
	fast = s->known && (s->ordering || s->state.busy || s->want_count > 0);
	process_timer_add(s->poll, (fast ? s->sidecar->settings.busy_poll_ms
					 : s->sidecar->settings.poll_ms) *
				       USEC_PER_MSEC);
}

static void
on_poll(evutil_socket_t fd, short what, void *arg)
{
	struct steering *s = arg;

	s->sidecar->adapter->replica->report(
	    s->sidecar->replica, REPORT_TIMEOUT_US, on_report, s);
}

/* Brings the next poll forward; one that is under way decides anyway. */
static void
poll_soon(struct steering *s)
{
	if (evtimer_pending(s->poll, NULL))
		process_timer_add(s->poll, 0);
}

static void
on_permit(void *ctx)
{
	decide(ctx);
}

struct steering *
steering_create(struct sidecar *sc)
{
	struct steering *s = calloc(1, sizeof(*s));
	struct load_permit_options permit = {
		.process = &sc->process,
		.ops = sc->adapter->store,
		.store = sc->store,
		.window_us = sc->settings.load_window_ms * USEC_PER_MSEC,
		.overage = sc->settings.load_overage,
		.alone_us = sc->settings.load_alone_ms * USEC_PER_MSEC,
		.concurrent = (unsigned)sc->settings.load_concurrency,
		.granted = on_permit,
	};

	if (s == NULL)
		return NULL;
	s->sidecar = sc;
	s->pause_us = PAUSE_FIRST_US;
	permit.ctx = s;
	s->permit = load_permit_create(&permit);
	if (s->permit == NULL) {
		free(s);
		return NULL;
	}
	s->orders =
	    metrics_counter(sc->process.metrics, "sidecar_orders_total", "");
	s->store_loads = metrics_counter(
	    sc->process.metrics, "sidecar_store_loads_total", "");
	s->poll = process_timer(&sc->process, on_poll, s);
	process_timer_add(s->poll, 0);
	return s;
}

void
steering_destroy(struct steering *s)
{
	struct use *use, *next;

	if (s == NULL)
		return;
	HASH_ITER(hh, s->uses, use, next) {
		HASH_DEL(s->uses, use);
		free(use);
	}
	load_permit_destroy(s->permit);
	event_free(s->poll);
	free(s);
}

void
steering_fill_loads(const struct steering *s, struct tm_replica_holds *msg)
{
	int64_t learned_us;

	msg->loading_from_store =
	    s->loading[0] != '\0' && s->loading_from_store;
	msg->store_loads_limit = load_permit_limit(s->permit, &learned_us);
	msg->limit_learned_us = learned_us;
}

const struct replica_state *
steering_state(const struct steering *s)
{
	return s->known ? &s->state : NULL;
}

const char *
steering_loading(const struct steering *s, int64_t *left_us)
{
	int64_t now = clock_now(s->sidecar->process.clock);

	*left_us = s->loading_until_us > now ? s->loading_until_us - now : 0;
	return s->loading[0] == '\0' ? NULL : s->loading;
}
