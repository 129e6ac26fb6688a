#include "sidecar/order_guard.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "common/process.h"
#include "common/rng.h"
#include "protocol/codec.h"
#include "protocol/tm_xdr.h"
#include "state/deployment.h"

/* Reports lag some hundred ms; later ones show what a predecessor saw. */
#define REPORT_MAX_AGE_US (1 * USEC_PER_SEC)
#define START_SPREAD_US (200 * USEC_PER_MSEC)
#define RETRY_MIN_US (100 * USEC_PER_MSEC) /* of a call, doubled each time */
#define RETRY_MAX_US (1600 * USEC_PER_MSEC)

enum guard_state {
	GUARD_READING, /* the predecessor's record */
	GUARD_READ,
	GUARD_JOINING, /* the first record is being written */
	GUARD_READY,
};

struct order_guard {
	struct order_guard_options opts;
	enum guard_state state;
	int64_t created_us;
	struct late_orders orders;
	bool overfull; /* a predecessor had too many, until held_until_us */
	int64_t held_until_us;
	struct tm_orders found; /* the predecessor's record */
	bool has_found;
	char replica[FLEET_ID_MAX]; /* what target.id points to */
	struct late_target target; /* as last seen */
	/* The own record: */
	bool writing;
	bool reading; /* before the write, to learn the epoch */
	void *data; /* of the append, sent again while its answer is lost */
	size_t len;
	uint64_t epoch;
	uint64_t number; /* of the next append of this epoch */
	struct event *retry;
	int64_t retry_us;
	struct rng rng;
	/* What is logged once: */
	bool step_held_back;
	bool waits;
	uint64_t *held_back;
	uint64_t *records;
};

static void read_record(struct order_guard *);
static void write_record(struct order_guard *);

static int64_t
now_us(const struct order_guard *g)
{
	return clock_now(g->opts.process->clock);
}

static void
retry_later(struct order_guard *g)
{
	process_timer_add(g->retry,
	    g->retry_us + (int64_t)rng_below(&g->rng, (uint64_t)g->retry_us));
	if (g->retry_us < RETRY_MAX_US)
		g->retry_us *= 2;
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
	struct order_guard *g = arg;

	if (g->reading)
		read_record(g);
	else if (g->writing)
		write_record(g);
}

/* ---- the predecessor's record ---- */

static bool
is_own(const struct order_guard *g, const struct fleet_record *r)
{
	return r->key_len == strlen(g->opts.vm) &&
	       memcmp(r->key, g->opts.vm, r->key_len) == 0;
}

static void
take_record(struct order_guard *g, const struct fleet_record *r)
{
	struct tm_orders record = { 0 };

	if (codec_decode((xdrproc_t)xdr_tm_orders, r->value, r->len, &record) ==
	    -1) {
		log_warn(g->opts.process->logger,
		    "record of orders cannot be read",
		    LF_I("len", (int64_t)r->len));
		/* Of another release: nothing is known of its orders. */
		record.replica = strdup("");
		if (record.replica == NULL)
			abort();
		record.end = UINT64_MAX;
	}
	xdr_free((xdrproc_t)xdr_tm_orders, (char *)&g->found);
	g->found = record;
	g->has_found = true;
}

static void
begin_epoch(struct order_guard *g)
{
	g->epoch = (uint64_t)clock_wall(g->opts.process->clock) / USEC_PER_MSEC;
	if (g->has_found && g->found.epoch >= g->epoch)
		g->epoch = g->found.epoch + 1;
	g->number = 0;
}

static void
on_read(void *ctx, const struct fleet_batch *batch)
{
	struct order_guard *g = ctx;

	if (batch->status != FLEET_OK) {
		retry_later(g);
		return;
	}
	for (size_t i = 0; i < batch->count; i++) {
		if (is_own(g, &batch->records[i]))
			take_record(g, &batch->records[i]);
	}
	g->reading = false;
	g->retry_us = RETRY_MIN_US;
	begin_epoch(g);
	if (g->writing) {
		write_record(g);
		return;
	}
	g->state = GUARD_READ;
	g->opts.changed(g->opts.ctx);
}

/*
 * Reads the page that begins after all but the last letter of the name: it has
 * hundreds of keys, of which the own one is among the first.
 */
static void
read_record(struct order_guard *g)
{
	char *after = strdup(g->opts.vm);

	if (after == NULL)
		abort();
	if (after[0] != '\0')
		after[strlen(after) - 1] = '\0';
	g->reading = true;
	g->opts.ops->snapshot(g->opts.store, FLEET_ORDERS, after, on_read, g);
	free(after);
}

static void
adopt(struct order_guard *g)
{
	if (late_orders_adopt(&g->orders, &g->found, &g->target, now_us(g)) ==
	    -1) {
		g->overfull = true;
		g->held_until_us = now_us(g) + g->opts.linger_us;
	}
	log_info(g->opts.process->logger, "orders of a predecessor may come",
	    LF_S("replica", g->target.id), LF_I("orders", g->orders.count),
	    LF_I("seq", g->target.seq), LF_S("its_replica", g->found.replica),
	    LF_I("its_first", g->found.first), LF_I("its_end", g->found.end),
	    LF_I("its_ahead", g->found.ahead), LF_I("overfull", g->overfull));
}

/* ---- writing ---- */

static void
on_written(void *ctx, const struct fleet_batch *batch)
{
	struct order_guard *g = ctx;

	if (batch->status == FLEET_CONFLICT) {
		/* A higher epoch, or the store has lost the append before. */
		free(g->data);
		g->data = NULL;
		read_record(g);
		return;
	}
	if (batch->status != FLEET_OK) {
		/* It may be carried out yet: it is sent again as it is. */
		retry_later(g);
		return;
	}
	free(g->data);
	g->data = NULL;
	g->number++;
	g->retry_us = RETRY_MIN_US;
	g->writing = false;
	late_orders_recorded(&g->orders);
	(*g->records)++;
	if (g->state == GUARD_JOINING) {
		g->state = GUARD_READY;
		log_info(g->opts.process->logger, "orders may be sent",
		    LF_S("replica", g->target.id));
	}
	g->opts.changed(g->opts.ctx);
}

/* Encodes the orders as they are now. */
static void
encode_record(struct order_guard *g)
{
	struct tm_orders record;

	late_orders_record(&g->orders, &g->target, now_us(g), &record);
	record.epoch = g->epoch;
	g->data = codec_encode((xdrproc_t)xdr_tm_orders, &record, &g->len);
	if (g->data == NULL)
		abort();
	xdr_free((xdrproc_t)xdr_tm_orders, (char *)&record);
}

static void
write_record(struct order_guard *g)
{
	const struct fleet_writer writer = { g->opts.vm, g->epoch, g->number };
	struct fleet_record record = { .key = g->opts.vm,
		.key_len = strlen(g->opts.vm) };

	if (g->data == NULL)
		encode_record(g);
	record.value = g->data;
	record.len = g->len;
	g->opts.ops->append_in_order(
	    g->opts.store, FLEET_ORDERS, &writer, &record, 1, on_written, g);
}

/* No effect while a record is being written. */
static void
begin_write(struct order_guard *g)
{
	if (g->writing)
		return;
	g->writing = true;
	write_record(g);
}

/* ---- the sender's side ---- */

static bool
wait_for(struct order_guard *g, const char *why)
{
	if (!g->waits)
		log_info(
		    g->opts.process->logger, "orders wait", LF_S("for", why));
	g->waits = true;
	return false;
}

/* Whether its count of orders shows what the predecessor may have sent. */
static bool
is_same_incarnation(const struct order_guard *g)
{
	return g->has_found && strcmp(g->found.replica, g->target.id) == 0 &&
	       g->found.born_ms == g->target.born_ms;
}

/*
 * Reads the predecessor's record, writes the first one, and renews it.  Returns
 * what is waited for, or NULL.
 */
static const char *
advance(struct order_guard *g)
{
	switch (g->state) {
	case GUARD_READING:
		return "the predecessor's record";
	case GUARD_READ:
		if (is_same_incarnation(g) &&
		    now_us(g) - g->created_us < REPORT_MAX_AGE_US)
			return "a report that is new enough";
		if (g->has_found)
			adopt(g);
		g->state = GUARD_JOINING;
		begin_write(g);
		return "the own record";
	case GUARD_JOINING:
		return "the own record";
	case GUARD_READY:
		break;
	}
	late_orders_expire(&g->orders, now_us(g));
	if (late_orders_record_due(&g->orders, &g->target))
		begin_write(g);
	return g->overfull && now_us(g) < g->held_until_us
		   ? "too many orders of predecessors"
		   : NULL;
}

void
order_guard_note(struct order_guard *g, const struct late_target *t)
{
	strlcpy(g->replica, t->id, sizeof(g->replica));
	g->target = *t;
	g->target.id = g->replica;
	(void)advance(g);
}

bool
order_guard_ready(struct order_guard *g, const struct late_target *t)
{
	const char *why;

	order_guard_note(g, t);
	why = advance(g);
	return why == NULL || wait_for(g, why);
}

/* Size of what a step loads or unloads. */
static double
step_size_mb(const struct engine_spec *engine, const struct swap_step *step)
{
	const struct model_spec *spec = engine_find_model(engine, step->model);

	if (spec == NULL)
		return 0;
	return step->adapter == NULL ? spec->size_mb : spec->adapter_mb;
}

static bool
is_held(const struct swap_input *in, const char *model)
{
	for (size_t i = 0; i < in->model_count; i++) {
		if (strcmp(in->models[i].name, model) == 0)
			return true;
	}
	return false;
}

/* A model that the replica holds is not loaded, but an adapter of it may be. */
static struct late_load
largest_load(const struct engine_spec *engine, const struct swap_input *in,
    const struct swap_step *step)
{
	struct late_load most = { .adapters = 1 };

	for (unsigned i = 0; i < engine->model_count; i++) {
		const struct model_spec *m = &engine->models[i];
		bool loads = step->op == SWAP_LOAD && step->adapter == NULL &&
			     strcmp(step->model, m->name) == 0;
		double mb =
		    loads || is_held(in, m->name) ? m->adapter_mb : m->size_mb;

		if (mb > most.mb)
			most.mb = mb;
	}
	return most;
}

struct swap_step
order_guard_choose(struct order_guard *g, const struct late_target *t,
    const struct engine_spec *engine, const struct swap_input *in,
    const struct swap_step *step)
{
	const struct swap_step steps[] = { *step, swap_evict_adapter(in),
		swap_evict_model(in) };
	const struct swap_step none = { .op = SWAP_NONE };

	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		struct late_load most = largest_load(engine, in, &steps[i]);

		if (steps[i].op == SWAP_NONE ||
		    !late_orders_fit(&g->orders, in, &steps[i],
			step_size_mb(engine, &steps[i]), t->id, t->seq, &most))
			continue;
		if (i == 0)
			g->step_held_back = false;
		return steps[i];
	}
	if (!g->step_held_back) {
		(*g->held_back)++;
		log_info(g->opts.process->logger,
		    "order held back: a late one would not fit beside it",
		    LF_S("model", step->model), LF_I("seq", t->seq));
	}
	g->step_held_back = true;
	return none;
}

static struct late_order
make_order(const struct order_guard *g, const struct late_target *t,
    const struct engine_spec *engine, const struct swap_step *step)
{
	struct late_order o = {
		.expected_seq = t->seq,
		.load = step->op == SWAP_LOAD,
		.size_mb = step_size_mb(engine, step),
		.until_us = now_us(g) + g->opts.linger_us,
	};

	strlcpy(o.replica, t->id, sizeof(o.replica));
	strlcpy(o.model, step->model, sizeof(o.model));
	if (step->adapter != NULL)
		strlcpy(o.adapter, step->adapter, sizeof(o.adapter));
	return o;
}

bool
order_guard_may_send(struct order_guard *g, const struct late_target *t,
    const struct engine_spec *engine, const struct swap_step *step)
{
	const struct late_order o = make_order(g, t, engine, step);

	if (late_orders_may_send(&g->orders, t, &o)) {
		g->waits = false;
		return true;
	}
	late_orders_plan(&g->orders, &o);
	if (late_orders_record_due(&g->orders, t))
		begin_write(g);
	return wait_for(g, "orders to be recorded or over");
}

void
order_guard_sent(struct order_guard *g, const struct late_target *t,
    const struct engine_spec *engine, const struct swap_step *step)
{
	const struct late_order o = make_order(g, t, engine, step);

	late_orders_add(&g->orders, &o, now_us(g));
}

void
order_guard_answered(struct order_guard *g, enum order_result result)
{
	if (result != ORDER_UNKNOWN) {
		late_orders_answered(&g->orders);
		return;
	}
	late_orders_lost(&g->orders);
	begin_write(g);
}

struct order_guard *
order_guard_create(const struct order_guard_options *opts)
{
	struct order_guard *g = calloc(1, sizeof(*g));
	struct metrics *m = opts->process->metrics;

	if (g == NULL)
		return NULL;
	g->opts = *opts;
	g->created_us = now_us(g);
	g->orders.linger_us = opts->linger_us;
	g->retry_us = RETRY_MIN_US;
	rng_seed_system(&g->rng);
	g->retry = process_timer_new(opts->process, on_retry, g);
	/* After the first calls of a process that starts with many others. */
	g->reading = true;
	process_timer_add(
	    g->retry, (int64_t)rng_below(&g->rng, START_SPREAD_US));
	g->held_back = metrics_counter(m, "sidecar_orders_held_back_total", "");
	g->records = metrics_counter(m, "sidecar_order_records_total", "");
	return g;
}

void
order_guard_destroy(struct order_guard *g)
{
	if (g == NULL)
		return;
	event_free(g->retry);
	xdr_free((xdrproc_t)xdr_tm_orders, (char *)&g->found);
	free(g->data);
	free(g);
}
