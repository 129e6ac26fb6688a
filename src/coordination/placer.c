#include "coordination/placer.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/clock.h"
#include "coordination/membership.h"
#include "coordination/placement.h"
#include "coordination/scaling.h"
#include "coordination/store.h"
#include "transport/rpc.h"

#define RELEASE_TIMEOUT_US (1 * USEC_PER_SEC)
#define RELEASE_RETRY_US (200 * USEC_PER_MSEC) /* between two requests */
#define APPEND_WAIT_US (3 * USEC_PER_SEC) /* for a record's verdict */
/* Absence after which a runner's slots get substitutes. */
#define UNREACHABLE_US (5 * USEC_PER_SEC)
#define PENDING_RECORDS_MAX 64 /* models that change at the same time */

/* How long a runner that holds slots has not been connected. */
struct absence {
	char runner[CONTROL_NAME_MAX];
	int64_t since_us; /* last connected, or first tracked */
	bool in_fold; /* scratch of update_absences() */
	UT_hash_handle hh;
};

/* A model's appended record that has no verdict yet. */
struct pending_record {
	struct placer *placer;
	char model[CONTROL_NAME_MAX];
	UT_hash_handle hh;
};

/* A slot whose agent was asked to confirm the release. */
struct release {
	struct placer *placer;
	uint64_t slot;
	bool pending; /* a request is not answered yet */
	bool confirmed;
	int64_t requested_us; /* when last */
	UT_hash_handle hh;
};

struct placer {
	struct placer_options opts;
	uint64_t epoch;
	struct absence *absences;
	struct pending_record *pending_records;
	struct release *releases;
};

static const struct control *
fold(const struct placer *p)
{
	return store_control(p->opts.store);
}

struct placer *
placer_create(const struct placer_options *opts)
{
	struct placer *p = calloc(1, sizeof(*p));

	if (p == NULL)
		abort();
	p->opts = *opts;
	return p;
}

void
placer_destroy(struct placer *p)
{
	struct pending_record *rec, *rec_next;
	struct release *r, *r_next;

	if (p == NULL)
		return;
	placer_reset_absences(p);
	HASH_ITER(hh, p->pending_records, rec, rec_next) {
		HASH_DEL(p->pending_records, rec);
		free(rec);
	}
	HASH_ITER(hh, p->releases, r, r_next) {
		HASH_DEL(p->releases, r);
		free(r);
	}
	free(p);
}

/* ---- runners ---- */

static bool
is_listed(struct placer *p, const char *runner)
{
	struct peer *peer = membership_find(p->opts.membership, runner);

	return peer != NULL && peer->listed;
}

static bool
is_connected(struct placer *p, const char *runner)
{
	struct peer *peer = membership_find(p->opts.membership, runner);

	return peer != NULL && peer->conn != NULL && peer->incarnation != 0;
}

/*
 * An absence counts from the end of this daemon's own connection, not from when
 * the list dropped the VM: it may have run unlisted for long.
 */
static void
update_absence(struct placer *p, const char *runner, int64_t now)
{
	struct absence *a;

	HASH_FIND_STR(p->absences, runner, a);
	if (a == NULL) {
		a = calloc(1, sizeof(*a));
		if (a == NULL)
			abort();
		strncpy(a->runner, runner, sizeof(a->runner) - 1);
		a->since_us = now;
		HASH_ADD_STR(p->absences, runner, a);
	}
	a->in_fold = true;
	if (is_connected(p, runner))
		a->since_us = now;
}

void
placer_reset_absences(struct placer *p)
{
	struct absence *a, *next;

	HASH_ITER(hh, p->absences, a, next) {
		HASH_DEL(p->absences, a);
		free(a);
	}
}

static void
update_absences(struct placer *p)
{
	int64_t now = clock_now(p->opts.clock);
	const struct control_slot *slot = NULL;
	struct absence *a, *next;

	HASH_ITER(hh, p->absences, a, next)
		a->in_fold = false;
	while ((slot = control_next_slot(fold(p), NULL, slot)) != NULL)
		update_absence(p, slot->runner, now);
	HASH_ITER(hh, p->absences, a, next) {
		if (a->in_fold)
			continue;
		HASH_DEL(p->absences, a);
		free(a);
	}
}

static int64_t
absent_us(const struct placer *p, const char *runner, int64_t now)
{
	struct absence *a;

	HASH_FIND_STR(p->absences, runner, a);
	return a == NULL ? 0 : now - a->since_us;
}

/* A runner counts as removed if a fresh list lacks it past the grace period. */
static void
set_absence(struct placer *p, struct placement_runner *out, int64_t now)
{
	bool list_fresh = membership_list_fresh(p->opts.membership);
	int64_t absent = absent_us(p, out->id, now);
	bool lost =
	    list_fresh && !is_listed(p, out->id) && !is_connected(p, out->id);

	out->unreachable = absent > UNREACHABLE_US;
	/* Release early: a reachable agent then stops before the grace ends. */
	if (lost && absent > p->opts.removal_grace_us / 2)
		out->leaving = true;
	out->removed = lost && absent > p->opts.removal_grace_us;
}

static size_t
fill_peers(struct placer *p, struct placement_runner *out, int64_t now)
{
	struct peer *peer = NULL;
	size_t n = 0;

	while ((peer = membership_next(p->opts.membership, peer)) != NULL) {
		if (peer->vm.role != VM_ENGINE)
			continue;
		out[n].id = peer->vm.id;
		out[n].zone = peer->vm.zone;
		out[n].memory = peer->memory_total;
		out[n].usable = peer->conn != NULL && peer->incarnation != 0 &&
				!peer->leaving;
		out[n].leaving = peer->leaving;
		set_absence(p, &out[n], now);
		n++;
	}
	return n;
}

/* Runners that hold slots, but that membership has removed. */
static size_t
fill_unknown(struct placer *p, struct placement_runner *out, int64_t now)
{
	struct absence *a, *next;
	size_t n = 0;

	HASH_ITER(hh, p->absences, a, next) {
		if (membership_find(p->opts.membership, a->runner) != NULL)
			continue;
		out[n].id = a->runner;
		out[n].zone = "";
		set_absence(p, &out[n], now);
		n++;
	}
	return n;
}

static struct placement_fleet *
create_fleet(struct placer *p, int64_t now)
{
	struct placement_fleet *fleet;
	struct placement_runner *runners;
	struct peer *peer = NULL;
	size_t count = HASH_COUNT(p->absences);

	while ((peer = membership_next(p->opts.membership, peer)) != NULL)
		count++;
	runners = calloc(count + 1, sizeof(*runners));
	if (runners == NULL)
		abort();
	count = fill_peers(p, runners, now);
	count += fill_unknown(p, runners + count, now);
	fleet = placement_fleet_create(fold(p), runners, count);
	free(runners);
	return fleet;
}

/* ---- releases ---- */

static struct release *
find_release(const struct placer *p, uint64_t slot)
{
	struct release *r;

	HASH_FIND(hh, p->releases, &slot, sizeof(slot), r);
	return r;
}

static bool
is_confirmed(void *ctx, uint64_t slot)
{
	const struct release *r = find_release(ctx, slot);

	return r != NULL && r->confirmed;
}

static struct release *
get_release(struct placer *p, uint64_t slot)
{
	struct release *r = find_release(p, slot);

	if (r != NULL)
		return r;
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		abort();
	r->placer = p;
	r->slot = slot;
	HASH_ADD(hh, p->releases, slot, sizeof(r->slot), r);
	return r;
}

static void
on_release_reply(void *ctx, enum rpc_status status, void *arg)
{
	struct release *r = ctx;
	const struct tm_release_reply *reply = arg;

	r->pending = false;
	if (status == RPC_OK && reply->released)
		r->confirmed = true;
}

static void
request_release(struct placer *p, const struct control_slot *slot, int64_t now)
{
	struct peer *peer = membership_find(p->opts.membership, slot->runner);
	struct release *r = get_release(p, slot->id);
	struct tm_release_args args = {
		.shard = p->opts.shard,
		.epoch = p->epoch,
		.slot = slot->id,
	};

	if (r->pending || r->confirmed || peer == NULL || peer->conn == NULL ||
	    now - r->requested_us < RELEASE_RETRY_US)
		return;
	r->pending = true;
	r->requested_us = now;
	rpc_conn_call(peer->conn, TM_RELEASE_SLOT,
	    (xdrproc_t)xdr_tm_release_args, &args,
	    (xdrproc_t)xdr_tm_release_reply, sizeof(struct tm_release_reply),
	    RELEASE_TIMEOUT_US, on_release_reply, r);
}

static void
request_releases(struct placer *p, int64_t now)
{
	const struct control_slot *slot = NULL;
	struct release *r, *next;

	while ((slot = control_next_slot(fold(p), NULL, slot)) != NULL) {
		if (slot->releasing &&
		    control_shard_of(fold(p), slot->model) == p->opts.shard)
			request_release(p, slot, now);
	}
	HASH_ITER(hh, p->releases, r, next) {
		if (r->pending || control_slot(fold(p), r->slot) != NULL)
			continue;
		HASH_DEL(p->releases, r);
		free(r);
	}
}

/* ---- records ---- */

static void
on_verdict(void *ctx, enum result code, uint64_t offset)
{
	struct pending_record *rec = ctx;

	HASH_DEL(rec->placer->pending_records, rec);
	free(rec);
}

static bool
fill_record(const struct placer *p, const struct placement_model *model,
    const struct placement_step *step, struct tm_control_record *record)
{
	const struct control_model *m = control_model(fold(p), model->name);
	union {
		struct tm_decide *decide;
		struct tm_assign *assign;
	} body;

	*record = (struct tm_control_record){ .shard = p->opts.shard };
	record->epoch = p->epoch;
	record->expects = m == NULL ? 0 : m->version;
	switch (step->action) {
	case PLACEMENT_NOTHING:
		return false;
	case PLACEMENT_DECIDE:
		record->body.type = TM_DECIDE;
		body.decide = &record->body.tm_control_body_u.decide;
		body.decide->model = (char *)model->name;
		body.decide->replicas = step->replicas;
		break;
	case PLACEMENT_ASSIGN:
		record->body.type = TM_ASSIGN;
		body.assign = &record->body.tm_control_body_u.assign;
		body.assign->model = (char *)model->name;
		body.assign->runner = (char *)step->runner;
		break;
	case PLACEMENT_RELEASE:
		record->body.type = TM_RELEASE;
		record->body.tm_control_body_u.release_slot = step->slot;
		break;
	case PLACEMENT_FREE:
		record->body.type = TM_RELEASED;
		record->body.tm_control_body_u.released_slot = step->slot;
		break;
	}
	return true;
}

static void
advance_model(struct placer *p, struct placement_fleet *fleet,
    const struct placement_model *model)
{
	struct tm_control_record record;
	struct placement_step step;
	struct pending_record *rec;

	HASH_FIND_STR(p->pending_records, model->name, rec);
	if (rec != NULL ||
	    HASH_COUNT(p->pending_records) >= PENDING_RECORDS_MAX)
		return;
	step = placement_next(fold(p), fleet, model, is_confirmed, p);
	if (!fill_record(p, model, &step, &record))
		return;
	rec = calloc(1, sizeof(*rec));
	if (rec == NULL)
		abort();
	rec->placer = p;
	strncpy(rec->model, model->name, sizeof(rec->model) - 1);
	HASH_ADD_STR(p->pending_records, model, rec);
	store_append_control(
	    p->opts.store, &record, APPEND_WAIT_US, on_verdict, rec);
}

/* ---- models ---- */

/* Mean over the runners; a replica shares its runner with others. */
static uint32_t
mean_tokens_per_sec(struct placer *p)
{
	struct peer *peer = NULL;
	uint64_t sum = 0, count = 0;

	while ((peer = membership_next(p->opts.membership, peer)) != NULL) {
		if (peer->vm.role != VM_ENGINE || peer->tokens_per_sec == 0)
			continue;
		sum += peer->tokens_per_sec;
		count++;
	}
	return count == 0 ? 0 : (uint32_t)(sum / count);
}

static void
advance_declared(struct placer *p, struct placement_fleet *fleet,
    const struct config_entry *entry, uint32_t rate, int64_t now)
{
	const struct decl_model *spec = &entry->decl.spec.model;
	struct scaling_query query = { .model = entry->name,
		.min = spec->min_replicas > 0 ? spec->min_replicas : 1,
		.max = spec->max_replicas,
		.tokens_per_sec = rate };
	struct placement_model model = { .name = entry->name,
		.memory = spec->memory_bytes };

	if (query.max < query.min)
		query.max = query.min;
	model.max = query.max;
	model.desired = scaling_desired(p->opts.scaling, &query, now);
	advance_model(p, fleet, &model);
}

static void
advance_undeclared(struct placer *p, struct placement_fleet *fleet)
{
	const struct config *config = store_config(p->opts.store);
	const struct control_model *m = NULL;

	while ((m = control_next_model(fold(p), m)) != NULL) {
		struct placement_model model = { .name = m->name };

		if (control_shard_of(fold(p), m->name) == p->opts.shard &&
		    config_find(config, DECL_MODEL, m->name) == NULL)
			advance_model(p, fleet, &model);
	}
}

void
placer_run(struct placer *p, uint64_t epoch)
{
	const struct config *config = store_config(p->opts.store);
	const struct config_entry *entry = NULL;
	int64_t now = clock_now(p->opts.clock);
	uint32_t rate = mean_tokens_per_sec(p);
	struct placement_fleet *fleet;

	p->epoch = epoch;
	update_absences(p);
	request_releases(p, now);
	fleet = create_fleet(p, now);
	while ((entry = config_next(config, DECL_MODEL, entry)) != NULL) {
		if (entry->valid &&
		    control_shard_of(fold(p), entry->name) == p->opts.shard)
			advance_declared(p, fleet, entry, rate, now);
	}
	advance_undeclared(p, fleet);
	placement_fleet_destroy(fleet);
}
