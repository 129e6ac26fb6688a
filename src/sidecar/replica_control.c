#include "sidecar/replica_control.h"

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
#include "sidecar/gateway_conns.h"
#include "sidecar/order_guard.h"
#include "sidecar/sidecar_internal.h"
#include "state/deployment.h"

#define REPORT_TIMEOUT_US (1 * USEC_PER_SEC) /* also of an identification */
#define ORDER_TIMEOUT_US (1 * USEC_PER_SEC)
/*
 * Pause after an order that was refused or whose answer was lost, doubled each
 * time: the replica may be executing a lost order that no report shows yet.
 */
#define ORDER_PAUSE_MIN_US (50 * USEC_PER_MSEC)
#define ORDER_PAUSE_MAX_US (1 * USEC_PER_SEC)
/* Time constant of the average of prefill_share. */
#define PREFILL_WINDOW_US (2 * USEC_PER_SEC)
/* Reports lag some hundred ms; after this time they show an accepted order. */
#define REPORT_MAX_AGE_US (1 * USEC_PER_SEC)
/* Between two questions for the id; a replica may not answer them. */
#define ID_PAUSE_US (500 * USEC_PER_MSEC)
#define LOAD_REQUESTS_MAX 128 /* pending; further ones are dropped */
/* Fencing token; constant: this VM is the only holder, after restarts too. */
#define ORDER_FENCE 1
#define USE_KEY_SIZE (2 * FLEET_NAME_MAX + 2)

/* The requests for one model without adapter, or for one of its adapters. */
struct model_use {
	char key[USE_KEY_SIZE]; /* "MODEL/ADAPTER"; "MODEL/": no adapter */
	int64_t last_us; /* time of the last use; 0: none */
	unsigned in_flight; /* of all gateways */
	UT_hash_handle hh;
};

/* Requests of any gateway that wait for a model and adapter. */
struct load_request {
	char model[FLEET_NAME_MAX];
	char adapter[FLEET_NAME_MAX]; /* "": none */
	unsigned rank; /* of the most urgent request */
	int64_t since_us;
	int64_t until_us; /* expires then */
};

/* Times are of the process's clock. */
struct replica_control {
	struct sidecar *sidecar;
	struct event *poll;
	struct replica_state state; /* the last report */
	bool replica_answers;
	bool awaiting_order_reply;
	char id[FLEET_ID_MAX]; /* of the incarnation; "": not known */
	bool awaiting_id;
	int64_t ask_id_us; /* earliest next question */
	struct model_use *uses;
	struct load_request load_requests[LOAD_REQUESTS_MAX];
	size_t load_request_count;
	/* Models that another replica has loaded too. */
	char spares[TM_HELD_MAX][FLEET_NAME_MAX];
	unsigned spare_count;
	/* The load in progress, by the last order that was accepted: */
	char loading[FLEET_NAME_MAX]; /* model; "": none */
	int64_t loading_until_us; /* predicted */
	int64_t loading_since_us;
	uint64_t loading_seq; /* orders accepted before it */
	bool loading_from_store; /* the weight store */
	/* The last order sent: */
	bool order_is_load; /* else an unload */
	bool order_from_store;
	char order_model[FLEET_NAME_MAX];
	char order_adapter[FLEET_NAME_MAX]; /* "": the model itself */
	struct order_guard *guard;
	struct load_permit *permit; /* for loads from the weight store */
	double prefill_share; /* of recent time; 0 to 1 */
	int64_t report_us; /* of the last report */
	int64_t order_pause_us; /* after the next failed order */
	int64_t order_pause_until_us; /* earliest next order */
	uint64_t *orders; /* counters of orders sent */
	uint64_t *store_loads;
};

static void send_next_order(struct replica_control *);
static void poll_soon(struct replica_control *);

/* ---- uses ---- */

static struct model_use *
get_use(struct replica_control *rc, const char *model, const char *adapter)
{
	char key[USE_KEY_SIZE];
	struct model_use *use;

	snprintf(key, sizeof(key), "%s/%s", model, adapter);
	HASH_FIND_STR(rc->uses, key, use);
	if (use != NULL)
		return use;
	use = calloc(1, sizeof(*use));
	if (use == NULL)
		abort();
	strlcpy(use->key, key, sizeof(use->key));
	HASH_ADD_STR(rc->uses, key, use);
	return use;
}

void
replica_control_note_use(struct replica_control *rc,
    const struct tm_model_use *msg, unsigned in_flight)
{
	int64_t now = clock_now(rc->sidecar->process.clock);
	struct model_use *use = get_use(rc, msg->model, msg->adapter);

	if (msg->started > 0 || msg->in_flight > 0)
		use->last_us = now;
	use->in_flight = in_flight;
}

void
replica_control_set_spares(
    struct replica_control *rc, const struct tm_replica_spare *msg)
{
	rc->spare_count = 0;
	for (u_int i = 0; i < msg->models.models_len; i++)
		strlcpy(rc->spares[rc->spare_count++],
		    msg->models.models_val[i], FLEET_NAME_MAX);
}

static bool
is_spare(const struct replica_control *rc, const char *model)
{
	for (unsigned i = 0; i < rc->spare_count; i++) {
		if (strcmp(rc->spares[i], model) == 0)
			return true;
	}
	return false;
}

/* ---- load requests ---- */

static struct load_request *
find_load_request(
    struct replica_control *rc, const char *model, const char *adapter)
{
	for (size_t i = 0; i < rc->load_request_count; i++) {
		if (strcmp(rc->load_requests[i].model, model) == 0 &&
		    strcmp(rc->load_requests[i].adapter, adapter) == 0)
			return &rc->load_requests[i];
	}
	return NULL;
}

void
replica_control_request_load(
    struct replica_control *rc, const struct tm_replica_want *msg)
{
	int64_t now = clock_now(rc->sidecar->process.clock);
	struct load_request *req =
	    find_load_request(rc, msg->model, msg->adapter);

	load_permit_update(rc->permit, msg->store_loads, msg->store_loads_limit,
	    msg->limit_learned_us);
	if (req == NULL) {
		if (rc->load_request_count == LOAD_REQUESTS_MAX) {
			log_warn(rc->sidecar->process.logger,
			    "load request dropped: too many are pending",
			    LF_S("model", msg->model));
			return;
		}
		req = &rc->load_requests[rc->load_request_count++];
		memset(req, 0, sizeof(*req));
		strlcpy(req->model, msg->model, sizeof(req->model));
		strlcpy(req->adapter, msg->adapter, sizeof(req->adapter));
		req->rank = msg->rank;
		req->since_us = now;
	}
	if (msg->rank < req->rank)
		req->rank = msg->rank;
	if (req->until_us < now + (int64_t)msg->left_us)
		req->until_us = now + (int64_t)msg->left_us;
	poll_soon(rc);
}

static const struct loaded_model *
find_loaded(const struct replica_control *rc, const char *model)
{
	for (unsigned i = 0; i < rc->state.model_count; i++) {
		if (strcmp(rc->state.models[i].name, model) == 0)
			return &rc->state.models[i];
	}
	return NULL;
}

static bool
is_fulfilled(const struct replica_control *rc, const struct load_request *req)
{
	const struct loaded_model *m = find_loaded(rc, req->model);

	if (m == NULL)
		return false;
	if (req->adapter[0] == '\0')
		return true;
	for (unsigned i = 0; i < m->adapter_count; i++) {
		if (strcmp(m->adapters[i], req->adapter) == 0)
			return true;
	}
	return false;
}

/* Drops load requests that are fulfilled or have expired. */
static void
drop_load_requests(struct replica_control *rc)
{
	int64_t now = clock_now(rc->sidecar->process.clock);

	for (size_t i = 0; i < rc->load_request_count;) {
		struct load_request *req = &rc->load_requests[i];

		if (!is_fulfilled(rc, req) && req->until_us > now) {
			i++;
			continue;
		}
		/* The requests will follow: not to be unloaded before. */
		if (is_fulfilled(rc, req))
			get_use(rc, req->model, req->adapter)->last_us = now;
		*req = rc->load_requests[--rc->load_request_count];
	}
}

/* ---- input of swap_next() ---- */

struct swap_args {
	struct swap_input in;
	/* For load_permit_request(): */
	double loads_per_s; /* the declared rate of the weight store */
	int64_t store_load_us; /* longest load that needs a permit */
	struct swap_model models[FLEET_MODELS_MAX];
	struct swap_adapter adapters[FLEET_MODELS_MAX][2 * FLEET_ADAPTERS_MAX];
	struct swap_request requests[LOAD_REQUESTS_MAX];
};

static void
fill_swap_model(struct replica_control *rc, const struct engine_spec *engine,
    const struct loaded_model *loaded, struct swap_model *out,
    struct swap_adapter *adapters)
{
	const struct model_spec *spec = engine_find_model(engine, loaded->name);
	struct model_use *use = get_use(rc, loaded->name, "");

	out->name = loaded->name;
	out->size_mb = spec == NULL ? 0 : spec->size_mb;
	out->adapter_mb = spec == NULL ? 0 : spec->adapter_mb;
	out->last_use_us = use->last_us;
	out->in_flight = use->in_flight;
	out->spare = is_spare(rc, loaded->name);
	out->adapters = adapters;
	out->adapter_count = loaded->adapter_count + loaded->loading_count;
	for (unsigned i = 0; i < loaded->adapter_count; i++) {
		use = get_use(rc, loaded->name, loaded->adapters[i]);
		adapters[i].name = loaded->adapters[i];
		adapters[i].last_use_us = use->last_us;
		adapters[i].in_flight = use->in_flight;
		out->in_flight += use->in_flight;
		if (use->last_us > out->last_use_us)
			out->last_use_us = use->last_us;
	}
	for (unsigned i = 0; i < loaded->loading_count; i++) {
		adapters[loaded->adapter_count + i].name = loaded->loading[i];
		adapters[loaded->adapter_count + i].loading = true;
	}
}

static bool
has_copy(const struct weight_copies *copies, const char *model)
{
	for (unsigned i = 0; i < copies->count; i++) {
		if (strcmp(copies->names[i], model) == 0)
			return true;
	}
	return false;
}

static bool
needs_weight_store(const struct replica_control *rc, const char *model)
{
	return !has_copy(&rc->state.in_memory, model) &&
	       !has_copy(&rc->state.on_disk, model);
}

static void
fill_swap_requests(struct replica_control *rc, const struct engine_spec *engine,
    struct swap_args *args)
{
	for (size_t i = 0; i < rc->load_request_count; i++) {
		const struct load_request *req = &rc->load_requests[i];
		const struct model_spec *spec =
		    engine_find_model(engine, req->model);
		struct swap_request *out =
		    &args->requests[args->in.request_count];

		if (spec == NULL)
			continue;
		out->model = req->model;
		out->adapter = req->adapter;
		out->rank = req->rank;
		out->since_us = req->since_us;
		out->size_mb = spec->size_mb;
		out->adapter_mb = spec->adapter_mb;
		out->needs_permit = needs_weight_store(rc, req->model) &&
				    !load_permit_held(rc->permit);
		if (out->needs_permit &&
		    spec->load_remote_us > args->store_load_us)
			args->store_load_us = spec->load_remote_us;
		args->in.request_count++;
	}
}

/* Returns -1 if the replica does not answer or no engine is declared. */
static int
fill_swap_args(struct replica_control *rc, struct swap_args *args)
{
	const struct engine_spec *engine = sidecar_engine(rc->sidecar);
	int64_t now = clock_now(rc->sidecar->process.clock);

	memset(args, 0, sizeof(*args));
	if (engine == NULL || !rc->replica_answers)
		return -1;
	args->in.now_us = now;
	args->in.min_keep_us =
	    rc->sidecar->settings.min_keep_ms * USEC_PER_MSEC;
	args->in.memory_mb = engine->memory_mb;
	args->in.adapter_capacity = engine->adapter_capacity;
	args->loads_per_s = engine->loads_per_s;
	args->in.models = args->models;
	args->in.requests = args->requests;
	for (unsigned i = 0; i < rc->state.model_count; i++)
		fill_swap_model(rc, engine, &rc->state.models[i],
		    &args->models[i], args->adapters[i]);
	args->in.model_count = rc->state.model_count;
	fill_swap_requests(rc, engine, args);
	return 0;
}

int64_t
replica_control_victim_idle_us(struct replica_control *rc)
{
	static struct swap_args args;
	const struct swap_model *victim =
	    fill_swap_args(rc, &args) == -1 ? NULL : swap_victim(&args.in);

	return victim == NULL ? -1 : swap_idle_us(&args.in, victim);
}

/* ---- orders ---- */

static int64_t
load_time_us(const struct replica_control *rc, const char *model)
{
	const struct engine_spec *engine = sidecar_engine(rc->sidecar);
	const struct model_spec *spec =
	    engine == NULL ? NULL : engine_find_model(engine, model);

	if (spec == NULL)
		return 0;
	if (has_copy(&rc->state.in_memory, model))
		return spec->load_memory_us;
	return has_copy(&rc->state.on_disk, model) ? spec->load_disk_us
						   : spec->load_remote_us;
}

static void
note_load_start(struct replica_control *rc, int64_t now)
{
	strlcpy(rc->loading, rc->order_model, sizeof(rc->loading));
	rc->loading_since_us = now;
	rc->loading_seq = rc->state.order_seq;
	rc->loading_from_store = rc->order_from_store;
	rc->loading_until_us =
	    now + (rc->order_from_store ? load_permit_expected_us(rc->permit)
					: load_time_us(rc, rc->order_model));
}

/*
 * Notes the end of the load if the last report shows it.  A report of an idle
 * replica may be older than the load's order: it counts only if it shows the
 * order, or once REPORT_MAX_AGE_US has passed.
 */
static void
note_load_end(struct replica_control *rc, int64_t since_report_us)
{
	int64_t took_us =
	    clock_now(rc->sidecar->process.clock) - rc->loading_since_us;

	if (rc->loading[0] == '\0' || rc->state.busy ||
	    (rc->state.order_seq == rc->loading_seq &&
		took_us < REPORT_MAX_AGE_US))
		return;
	log_info(rc->sidecar->process.logger, "load ended",
	    LF_S("model", rc->loading), LF_I("took_us", took_us),
	    LF_I("from_store", rc->loading_from_store),
	    LF_I("held", find_loaded(rc, rc->loading) != NULL),
	    LF_I("beside", rc->loading_from_store
			       ? load_permit_concurrent(rc->permit)
			       : 0));
	/* After a pause of this process, the measured time is too long. */
	if (rc->loading_from_store && find_loaded(rc, rc->loading) != NULL &&
	    since_report_us < REPORT_MAX_AGE_US)
		load_permit_record_time(rc->permit, took_us);
	rc->loading[0] = '\0';
	rc->loading_until_us = 0;
}

static void
on_order_reply(void *ctx, enum order_result result)
{
	struct replica_control *rc = ctx;
	int64_t now = clock_now(rc->sidecar->process.clock);
	bool model_load = rc->order_is_load && rc->order_adapter[0] == '\0';

	rc->awaiting_order_reply = false;
	log_info(rc->sidecar->process.logger, "order answered",
	    LF_S("model", rc->order_model), LF_S("adapter", rc->order_adapter),
	    LF_I("load", rc->order_is_load), LF_I("result", result),
	    LF_I("seq", rc->state.order_seq));
	if (model_load && result == ORDER_STARTED)
		note_load_start(rc, now);
	order_guard_answered(rc->guard, result);
	if (result == ORDER_REFUSED)
		rc->id[0] = '\0'; /* may be an earlier incarnation's */
	if (result == ORDER_STARTED || result == ORDER_ALREADY_DONE) {
		rc->order_pause_us = ORDER_PAUSE_MIN_US;
	} else {
		rc->order_pause_until_us = now + rc->order_pause_us;
		rc->order_pause_us = rc->order_pause_us * 2 < ORDER_PAUSE_MAX_US
					 ? rc->order_pause_us * 2
					 : ORDER_PAUSE_MAX_US;
	}
	poll_soon(rc);
}

static struct late_target
order_target(const struct replica_control *rc)
{
	return (struct late_target){
		.id = rc->id,
		.born_ms = rc->state.born_ms,
		.seq = rc->state.order_seq,
	};
}

static void
send_order(struct replica_control *rc, const struct swap_step *step)
{
	struct sidecar *sc = rc->sidecar;
	const struct late_target target = order_target(rc);
	struct replica_order order = {
		.op = step->op == SWAP_LOAD ? ORDER_LOAD : ORDER_UNLOAD,
		.model = step->model,
		.adapter = step->adapter,
		.holder = sc->settings.vm,
		.fence = ORDER_FENCE,
		.expected_seq = rc->state.order_seq,
		.replica = rc->id,
	};

	order_guard_sent(rc->guard, &target, sidecar_engine(sc), step);
	rc->awaiting_order_reply = true;
	rc->order_is_load = step->op == SWAP_LOAD;
	strlcpy(rc->order_model, step->model, sizeof(rc->order_model));
	strlcpy(rc->order_adapter, step->adapter == NULL ? "" : step->adapter,
	    sizeof(rc->order_adapter));
	rc->order_from_store = rc->order_is_load && step->adapter == NULL &&
			       needs_weight_store(rc, step->model);
	if (rc->order_from_store)
		(*rc->store_loads)++;
	(*rc->orders)++;
	log_info(sc->process.logger, "order sent", LF_S("model", step->model),
	    LF_S("adapter", rc->order_adapter), LF_I("load", rc->order_is_load),
	    LF_I("seq", rc->state.order_seq),
	    LF_I("wants", rc->load_request_count),
	    LF_I("idle_us",
		clock_now(sc->process.clock) -
		    get_use(rc, step->model, rc->order_adapter)->last_us),
	    LF_I("spare", is_spare(rc, step->model)),
	    LF_I("from_store", rc->order_from_store));
	sc->driver->replica->order(
	    sc->replica, &order, ORDER_TIMEOUT_US, on_order_reply, rc);
}

static void
on_id(void *ctx, const char *id)
{
	struct replica_control *rc = ctx;

	rc->awaiting_id = false;
	if (id == NULL || strlcpy(rc->id, id, sizeof(rc->id)) >= sizeof(rc->id))
		rc->id[0] = '\0'; /* asked again */
	log_info(rc->sidecar->process.logger, "replica identified",
	    LF_S("replica", rc->id));
	poll_soon(rc);
}

/*
 * Orders name the incarnation: one that arrives late must not be carried out by
 * the next incarnation, whose count of orders may be the same.
 */
static void
identify_replica(struct replica_control *rc, bool order_is_due)
{
	struct sidecar *sc = rc->sidecar;
	const struct service_spec *service =
	    deployment_find_service(sc->deployment, sc->settings.service);
	int64_t now = clock_now(sc->process.clock);

	if (rc->awaiting_id || service == NULL ||
	    (!order_is_due && now < rc->ask_id_us))
		return;
	rc->awaiting_id = true;
	rc->ask_id_us = now + ID_PAUSE_US;
	sc->driver->replica->identify(
	    sc->replica, service->health_path, REPORT_TIMEOUT_US, on_id, rc);
}

static void
send_next_order(struct replica_control *rc)
{
	static struct swap_args args;
	struct late_target target;
	struct swap_step step;
	bool ask_permit;

	drop_load_requests(rc);
	/* The replica refuses orders while it carries one out. */
	if (rc->awaiting_order_reply || !rc->replica_answers ||
	    rc->state.busy || rc->sidecar->stop_us != 0 ||
	    clock_now(rc->sidecar->process.clock) < rc->order_pause_until_us)
		return;
	if (fill_swap_args(rc, &args) == -1)
		return;
	step = swap_next(&args.in, &ask_permit);
	if (ask_permit)
		load_permit_request(
		    rc->permit, args.loads_per_s, args.store_load_us);
	if (step.op == SWAP_NONE)
		return;
	if (rc->id[0] == '\0') {
		identify_replica(rc, true);
		return;
	}
	target = order_target(rc);
	if (!order_guard_ready(rc->guard, &target))
		return;
	step = order_guard_choose(
	    rc->guard, &target, sidecar_engine(rc->sidecar), &args.in, &step);
	if (step.op == SWAP_NONE)
		return;
	if (!order_guard_may_send(
		rc->guard, &target, sidecar_engine(rc->sidecar), &step))
		return;
	if (step.op == SWAP_LOAD && step.adapter == NULL &&
	    needs_weight_store(rc, step.model) && !load_permit_take(rc->permit))
		return;
	send_order(rc, &step);
}

/* Before an order is due: the replica or the store may be slow to answer. */
static void
prepare_orders(struct replica_control *rc)
{
	struct late_target target = order_target(rc);

	if (!rc->replica_answers || sidecar_engine(rc->sidecar) == NULL ||
	    rc->sidecar->stop_us != 0)
		return;
	if (rc->id[0] == '\0')
		identify_replica(rc, false);
	else
		order_guard_note(rc->guard, &target);
}

/* ---- polling ---- */

static void
update_prefill_share(
    struct replica_control *rc, const struct replica_state *state)
{
	int64_t now = clock_now(rc->sidecar->process.clock);
	double weight = (double)(now - rc->report_us) / PREFILL_WINDOW_US;
	double busy = state->prefilling + state->queued > 0 ? 1 : 0;

	if (weight > 1)
		weight = 1;
	rc->prefill_share += weight * (busy - rc->prefill_share);
	rc->report_us = now;
}

double
replica_control_prefill_share(const struct replica_control *rc)
{
	return rc->prefill_share;
}

static void
on_report(void *ctx, const struct replica_state *state)
{
	struct replica_control *rc = ctx;
	struct process *p = &rc->sidecar->process;
	int64_t since_report_us = clock_now(p->clock) - rc->report_us;
	bool fast;

	if (state == NULL) {
		if (rc->replica_answers)
			log_warn(p->logger, "replica does not answer");
		rc->replica_answers = false;
		rc->id[0] = '\0';
	} else {
		if (!rc->replica_answers || rc->state.born_ms != state->born_ms)
			log_info(p->logger, "replica answers",
			    LF_I("born_ms", state->born_ms),
			    LF_I("seq", state->order_seq),
			    LF_I("models", state->model_count),
			    LF_I("in_memory", state->in_memory.count),
			    LF_I("on_disk", state->on_disk.count));
		if (rc->state.born_ms != state->born_ms)
			rc->id[0] = '\0';
		update_prefill_share(rc, state);
		rc->replica_answers = true;
		rc->state = *state;
		note_load_end(rc, since_report_us);
	}
	prepare_orders(rc);
	send_next_order(rc);
	gateway_conns_report(rc->sidecar->gateway_conns);
	fast = rc->replica_answers &&
	       (rc->awaiting_order_reply || rc->state.busy ||
		   rc->load_request_count > 0);
	process_timer_add(rc->poll, (fast ? rc->sidecar->settings.busy_poll_ms
					  : rc->sidecar->settings.poll_ms) *
					USEC_PER_MSEC);
}

static void
on_poll(evutil_socket_t fd, short what, void *arg)
{
	struct replica_control *rc = arg;

	rc->sidecar->driver->replica->report(
	    rc->sidecar->replica, REPORT_TIMEOUT_US, on_report, rc);
}

/* Polls now, unless a poll is in flight: its end sends the next order too. */
static void
poll_soon(struct replica_control *rc)
{
	if (evtimer_pending(rc->poll, NULL))
		process_timer_add(rc->poll, 0);
}

/* A permit has been granted, or an order need not wait any longer. */
static void
on_may_order(void *ctx)
{
	send_next_order(ctx);
}

struct replica_control *
replica_control_create(struct sidecar *sc)
{
	struct replica_control *rc = calloc(1, sizeof(*rc));
	struct load_permit_options permit = {
		.process = &sc->process,
		.ops = sc->driver->store,
		.store = sc->store,
		.window_us = sc->settings.load_window_ms * USEC_PER_MSEC,
		.overage = sc->settings.load_overage,
		.offline_interval_us =
		    sc->settings.load_offline_ms * USEC_PER_MSEC,
		.initial_limit = (unsigned)sc->settings.load_concurrency,
		.granted = on_may_order,
	};
	struct order_guard_options guard = {
		.process = &sc->process,
		.ops = sc->driver->store,
		.store = sc->store,
		.vm = sc->settings.vm,
		.linger_us = sc->settings.order_linger_ms * USEC_PER_MSEC,
		.changed = on_may_order,
	};

	if (rc == NULL)
		return NULL;
	rc->sidecar = sc;
	rc->order_pause_us = ORDER_PAUSE_MIN_US;
	permit.ctx = guard.ctx = rc;
	rc->permit = load_permit_create(&permit);
	rc->guard = order_guard_create(&guard);
	if (rc->permit == NULL || rc->guard == NULL) {
		load_permit_destroy(rc->permit);
		order_guard_destroy(rc->guard);
		free(rc);
		return NULL;
	}
	rc->orders =
	    metrics_counter(sc->process.metrics, "sidecar_orders_total", "");
	rc->store_loads = metrics_counter(
	    sc->process.metrics, "sidecar_store_loads_total", "");
	rc->poll = process_timer_new(&sc->process, on_poll, rc);
	process_timer_add(rc->poll, 0);
	return rc;
}

void
replica_control_destroy(struct replica_control *rc)
{
	struct model_use *use, *next;

	if (rc == NULL)
		return;
	HASH_ITER(hh, rc->uses, use, next) {
		HASH_DEL(rc->uses, use);
		free(use);
	}
	load_permit_destroy(rc->permit);
	order_guard_destroy(rc->guard);
	event_free(rc->poll);
	free(rc);
}

void
replica_control_fill_loads(
    const struct replica_control *rc, struct tm_replica_holds *msg)
{
	int64_t learned_us;

	msg->loading_from_store =
	    rc->loading[0] != '\0' && rc->loading_from_store;
	msg->store_loads_limit = load_permit_limit(rc->permit, &learned_us);
	msg->limit_learned_us = learned_us;
}

const struct replica_state *
replica_control_state(const struct replica_control *rc)
{
	return rc->replica_answers ? &rc->state : NULL;
}

/*
 * The model that is loaded next, as far as load requests tell; NULL: none.  One
 * that waits for a permit does not keep others from being loaded.
 */
static const char *
next_load(const struct replica_control *rc)
{
	const struct load_request *next = NULL;

	for (size_t i = 0; i < rc->load_request_count; i++) {
		const struct load_request *req = &rc->load_requests[i];

		if (find_loaded(rc, req->model) != NULL ||
		    (needs_weight_store(rc, req->model) &&
			!load_permit_held(rc->permit)))
			continue;
		if (next == NULL || req->rank < next->rank ||
		    (req->rank == next->rank && req->since_us < next->since_us))
			next = req;
	}
	return next == NULL ? NULL : next->model;
}

const char *
replica_control_loading(const struct replica_control *rc, int64_t *left_us)
{
	int64_t now = clock_now(rc->sidecar->process.clock);
	const char *next;

	*left_us = rc->loading_until_us > now ? rc->loading_until_us - now : 0;
	if (rc->loading[0] != '\0')
		return rc->loading;
	next = next_load(rc);
	if (next != NULL)
		*left_us = load_time_us(rc, next);
	return next;
}

/* What the load in progress, or the next one, will take is not free. */
double
replica_control_free_mb(struct replica_control *rc)
{
	static struct swap_args args;
	const struct engine_spec *engine = sidecar_engine(rc->sidecar);
	const struct model_spec *spec;
	const char *loading;
	int64_t left_us;
	double free_mb;

	if (fill_swap_args(rc, &args) == -1)
		return 0;
	free_mb = args.in.memory_mb - swap_used_mb(&args.in);
	loading = replica_control_loading(rc, &left_us);
	if (loading == NULL || find_loaded(rc, loading) != NULL)
		return free_mb;
	spec = engine_find_model(engine, loading);
	return spec == NULL ? free_mb : free_mb - spec->size_mb;
}
