#include "state/control_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <xxhash.h>

struct control *
control_create(const struct control_options *opts)
{
	struct control *control = calloc(1, sizeof(*control));

	if (control == NULL)
		return NULL;
	control->opts = *opts;
	control->position = 1;
	TAILQ_INIT(&control->all_slots);
	control->leases = calloc(opts->shards, sizeof(*control->leases));
	if (control->leases == NULL) {
		free(control);
		return NULL;
	}
	for (uint32_t i = 0; i < opts->shards; i++)
		control->leases[i].shard = i;
	return control;
}

static struct runner *
find_runner(const struct control *control, const char *name)
{
	struct runner *runner;

	HASH_FIND_STR(control->runners, name, runner);
	return runner;
}

static struct runner *
find_or_add_runner(struct control *control, const char *name)
{
	struct runner *runner = find_runner(control, name);

	if (runner != NULL)
		return runner;
	runner = calloc(1, sizeof(*runner));
	if (runner == NULL)
		abort();
	runner->name = strdup(name);
	TAILQ_INIT(&runner->slots);
	HASH_ADD_KEYPTR(
	    hh, control->runners, runner->name, strlen(runner->name), runner);
	return runner;
}

/* Frees the runner with its last slot. */
static void
runner_remove_slot(struct control *control, struct slot *slot)
{
	struct runner *runner = slot->runner;

	TAILQ_REMOVE(&runner->slots, slot, runner_link);
	if (!TAILQ_EMPTY(&runner->slots))
		return;
	HASH_DEL(control->runners, runner);
	free(runner->name);
	free(runner);
}

static void
remove_slot(struct control *control, struct slot *slot)
{
	HASH_DEL(control->slots, slot);
	TAILQ_REMOVE(&control->all_slots, slot, all_link);
	TAILQ_REMOVE(&slot->model->slots, slot, model_link);
	slot->model->pub.slots--;
	runner_remove_slot(control, slot);
	free(slot);
}

void
control_clear(struct control *control)
{
	struct model *model, *next;
	struct slot *slot, *slot_next;

	TAILQ_FOREACH_SAFE(slot, &control->all_slots, all_link, slot_next)
		remove_slot(control, slot);
	HASH_ITER(hh, control->models, model, next) {
		HASH_DEL(control->models, model);
		free((char *)model->pub.name);
		free(model);
	}
}

void
control_destroy(struct control *control)
{
	if (control == NULL)
		return;
	control_clear(control);
	free(control->leases);
	free(control);
}

uint64_t
control_position(const struct control *control)
{
	return control->position;
}

uint64_t
control_version(const struct control *control)
{
	return control->version;
}

uint32_t
control_shard_of(const struct control *control, const char *model)
{
	return (
	    uint32_t)(XXH3_64bits(model, strlen(model)) % control->opts.shards);
}

struct model *
control_find_or_add_model(struct control *control, const char *name)
{
	struct model *model;

	HASH_FIND_STR(control->models, name, model);
	if (model != NULL)
		return model;
	model = calloc(1, sizeof(*model));
	if (model == NULL)
		abort();
	model->pub.name = strdup(name);
	TAILQ_INIT(&model->slots);
	HASH_ADD_KEYPTR(hh, control->models, model->pub.name,
	    strlen(model->pub.name), model);
	return model;
}

static struct slot *
find_slot(const struct control *control, uint64_t id)
{
	struct slot *slot;

	HASH_FIND(hh, control->slots, &id, sizeof(id), slot);
	return slot;
}

struct slot *
control_add_slot(struct control *control, struct model *model, uint64_t id,
    const char *runner)
{
	struct slot *slot = calloc(1, sizeof(*slot));

	if (slot == NULL)
		abort();
	slot->pub.id = id;
	slot->pub.model = model->pub.name;
	slot->runner = find_or_add_runner(control, runner);
	slot->pub.runner = slot->runner->name;
	TAILQ_INSERT_TAIL(&slot->runner->slots, slot, runner_link);
	slot->model = model;
	TAILQ_INSERT_TAIL(&model->slots, slot, model_link);
	TAILQ_INSERT_TAIL(&control->all_slots, slot, all_link);
	HASH_ADD(hh, control->slots, pub.id, sizeof(slot->pub.id), slot);
	model->pub.slots++;
	return slot;
}

/* ---- verdicts ---- */

static void
lease_accept(
    struct control *control, struct control_lease *lease, uint64_t offset)
{
	lease->version = offset;
	control->version = offset;
	if (control->opts.lease_changed != NULL)
		control->opts.lease_changed(control->opts.ctx, lease);
}

static void
model_accept(struct control *control, struct model *model, uint64_t offset)
{
	model->pub.version = offset;
	control->version = offset;
	if (control->opts.model_changed != NULL)
		control->opts.model_changed(control->opts.ctx, &model->pub);
}

static enum control_verdict
apply_claim(struct control *control, uint64_t offset,
    struct control_lease *lease, const struct tm_lease_claim *claim)
{
	if (claim->replaces != lease->epoch)
		return CONTROL_STALE_EPOCH;
	lease->epoch = offset;
	lease->term_ms = claim->term_ms;
	strlcpy(lease->holder, claim->holder, sizeof(lease->holder));
	strlcpy(lease->address, claim->address, sizeof(lease->address));
	lease_accept(control, lease, offset);
	return CONTROL_ACCEPTED;
}

static enum control_verdict
apply_renew(struct control *control, uint64_t offset,
    struct control_lease *lease, const struct tm_control_record *record)
{
	if (record->expects != lease->version)
		return CONTROL_CONFLICT;
	lease->term_ms = record->body.tm_control_body_u.term_ms;
	lease_accept(control, lease, offset);
	return CONTROL_ACCEPTED;
}

static enum control_verdict
apply_resign(
    struct control *control, uint64_t offset, struct control_lease *lease)
{
	lease->holder[0] = '\0';
	lease->address[0] = '\0';
	lease_accept(control, lease, offset);
	return CONTROL_ACCEPTED;
}

static enum control_verdict
apply_decide(struct control *control, uint64_t offset,
    const struct tm_control_record *record)
{
	const struct tm_decide *d = &record->body.tm_control_body_u.decide;
	struct model *model = control_find_or_add_model(control, d->model);

	if (record->expects != model->pub.version)
		return CONTROL_CONFLICT;
	if (d->replicas < model->pub.slots)
		return CONTROL_EXCEEDS_DECIDED;
	model->pub.decided = d->replicas;
	model_accept(control, model, offset);
	return CONTROL_ACCEPTED;
}

static bool
runner_has_slot(const struct model *model, const char *runner)
{
	const struct slot *slot;

	TAILQ_FOREACH(slot, &model->slots, model_link) {
		if (strcmp(slot->pub.runner, runner) == 0)
			return true;
	}
	return false;
}

static enum control_verdict
apply_assign(struct control *control, uint64_t offset,
    const struct tm_control_record *record)
{
	const struct tm_assign *a = &record->body.tm_control_body_u.assign;
	struct model *model = control_find_or_add_model(control, a->model);

	if (record->expects != model->pub.version ||
	    runner_has_slot(model, a->runner))
		return CONTROL_CONFLICT;
	if (model->pub.slots >= model->pub.decided)
		return CONTROL_EXCEEDS_DECIDED;
	control_add_slot(control, model, offset, a->runner);
	model_accept(control, model, offset);
	return CONTROL_ACCEPTED;
}

static enum control_verdict
apply_release(struct control *control, uint64_t offset,
    const struct tm_control_record *record)
{
	struct slot *slot =
	    find_slot(control, record->body.tm_control_body_u.release_slot);

	if (slot == NULL || slot->pub.releasing ||
	    record->expects != slot->model->pub.version)
		return CONTROL_CONFLICT;
	slot->pub.releasing = true;
	model_accept(control, slot->model, offset);
	return CONTROL_ACCEPTED;
}

static enum control_verdict
apply_released(struct control *control, uint64_t offset,
    const struct tm_control_record *record)
{
	struct slot *slot =
	    find_slot(control, record->body.tm_control_body_u.released_slot);
	struct model *model;

	if (slot == NULL || !slot->pub.releasing ||
	    record->expects != slot->model->pub.version)
		return CONTROL_CONFLICT;
	model = slot->model;
	remove_slot(control, slot);
	model_accept(control, model, offset);
	return CONTROL_ACCEPTED;
}

static const char *
record_model(
    const struct control *control, const struct tm_control_record *record)
{
	const struct slot *slot;

	switch (record->body.type) {
	case TM_DECIDE:
		return record->body.tm_control_body_u.decide.model;
	case TM_ASSIGN:
		return record->body.tm_control_body_u.assign.model;
	case TM_RELEASE:
		slot = find_slot(
		    control, record->body.tm_control_body_u.release_slot);
		return slot == NULL ? NULL : slot->pub.model;
	case TM_RELEASED:
		slot = find_slot(
		    control, record->body.tm_control_body_u.released_slot);
		return slot == NULL ? NULL : slot->pub.model;
	default:
		return NULL;
	}
}

static enum control_verdict
apply_record(struct control *control, uint64_t offset,
    const struct tm_control_record *record)
{
	struct control_lease *lease;
	const char *model = record_model(control, record);

	if (record->shard >= control->opts.shards)
		return CONTROL_CONFLICT;
	lease = &control->leases[record->shard];
	if (record->body.type == TM_LEASE_CLAIM)
		return apply_claim(control, offset, lease,
		    &record->body.tm_control_body_u.claim);
	if (record->epoch != lease->epoch || lease->holder[0] == '\0')
		return CONTROL_STALE_EPOCH;
	if (model != NULL && control_shard_of(control, model) != record->shard)
		return CONTROL_CONFLICT;

	switch (record->body.type) {
	case TM_LEASE_RENEW:
		return apply_renew(control, offset, lease, record);
	case TM_LEASE_RESIGN:
		return apply_resign(control, offset, lease);
	case TM_DECIDE:
		return apply_decide(control, offset, record);
	case TM_ASSIGN:
		return apply_assign(control, offset, record);
	case TM_RELEASE:
		return apply_release(control, offset, record);
	case TM_RELEASED:
		return apply_released(control, offset, record);
	default:
		return CONTROL_CONFLICT;
	}
}

void
control_apply(struct control *control, uint64_t offset,
    const struct tm_control_record *record)
{
	enum control_verdict verdict;

	if (offset < control->position)
		return;
	control->position = offset + 1;
	if (record->body.type == TM_CONTROL_CHECKPOINT)
		return;
	verdict = apply_record(control, offset, record);
	if (control->opts.on_verdict != NULL)
		control->opts.on_verdict(
		    control->opts.ctx, record->id, verdict, offset);
}

void
control_skip(struct control *control, uint64_t offset)
{
	if (offset >= control->position)
		control->position = offset + 1;
}

/* ---- look-ups ---- */

const struct control_lease *
control_lease(const struct control *control, uint32_t shard)
{
	return &control->leases[shard];
}

const struct control_model *
control_model(const struct control *control, const char *name)
{
	struct model *model;

	HASH_FIND_STR(control->models, name, model);
	return model == NULL ? NULL : &model->pub;
}

const struct control_model *
control_next_model(
    const struct control *control, const struct control_model *after)
{
	const struct model *model = (const struct model *)after;

	model = model == NULL ? control->models : model->hh.next;
	return model == NULL ? NULL : &model->pub;
}

const struct control_slot *
control_next_slot(const struct control *control, const char *model,
    const struct control_slot *after)
{
	const struct slot *slot = (const struct slot *)after;
	struct model *m;

	if (model == NULL) {
		slot = slot == NULL ? TAILQ_FIRST(&control->all_slots)
				    : TAILQ_NEXT(slot, all_link);
		return slot == NULL ? NULL : &slot->pub;
	}
	if (slot != NULL) {
		slot = TAILQ_NEXT(slot, model_link);
		return slot == NULL ? NULL : &slot->pub;
	}
	HASH_FIND_STR(control->models, model, m);
	if (m == NULL)
		return NULL;
	slot = TAILQ_FIRST(&m->slots);
	return slot == NULL ? NULL : &slot->pub;
}

const struct control_slot *
control_next_runner_slot(const struct control *control, const char *name,
    const struct control_slot *after)
{
	const struct slot *slot = (const struct slot *)after;
	const struct runner *runner;

	if (slot != NULL) {
		slot = TAILQ_NEXT(slot, runner_link);
		return slot == NULL ? NULL : &slot->pub;
	}
	runner = find_runner(control, name);
	return runner == NULL ? NULL : &TAILQ_FIRST(&runner->slots)->pub;
}

const struct control_slot *
control_slot(const struct control *control, uint64_t id)
{
	const struct slot *slot = find_slot(control, id);

	return slot == NULL ? NULL : &slot->pub;
}

const struct control_slot *
control_runner_slot(
    const struct control *control, const char *model, const char *runner)
{
	const struct control_slot *slot = NULL;

	while ((slot = control_next_slot(control, model, slot)) != NULL) {
		if (strcmp(slot->runner, runner) == 0)
			return slot;
	}
	return NULL;
}
