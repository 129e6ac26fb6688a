#include "coordination/placement.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

struct runner_entry {
	struct placement_runner runner;
	unsigned slots; /* of all models */
	UT_hash_handle hh;
};

struct placement_fleet {
	struct runner_entry *entries;
	struct runner_entry *by_id;
	size_t count;
};

static struct runner_entry *
find_runner(const struct placement_fleet *fleet, const char *id)
{
	struct runner_entry *e;

	HASH_FIND_STR(fleet->by_id, id, e);
	return e;
}

struct placement_fleet *
placement_fleet_create(const struct control *control,
    const struct placement_runner *runners, size_t count)
{
	struct placement_fleet *fleet = calloc(1, sizeof(*fleet));
	const struct control_slot *slot = NULL;

	if (fleet == NULL)
		abort();
	fleet->entries = calloc(count + 1, sizeof(*fleet->entries));
	if (fleet->entries == NULL)
		abort();
	fleet->count = count;
	for (size_t i = 0; i < count; i++) {
		struct runner_entry *e = &fleet->entries[i];

		e->runner = runners[i];
		HASH_ADD_KEYPTR(
		    hh, fleet->by_id, e->runner.id, strlen(e->runner.id), e);
	}
	while ((slot = control_next_slot(control, NULL, slot)) != NULL) {
		struct runner_entry *e = find_runner(fleet, slot->runner);

		if (e != NULL)
			e->slots++;
	}
	return fleet;
}

void
placement_fleet_destroy(struct placement_fleet *fleet)
{
	HASH_CLEAR(hh, fleet->by_id);
	free(fleet->entries);
	free(fleet);
}

const struct placement_runner *
placement_fleet_find(const struct placement_fleet *fleet, const char *id)
{
	const struct runner_entry *e = find_runner(fleet, id);

	return e == NULL ? NULL : &e->runner;
}

/* ---- the model's slots ---- */

struct slot_view {
	const struct control_slot *slot;
	const struct placement_runner *runner; /* NULL: unknown */
};

static struct slot_view
view_slot(const struct placement_fleet *fleet, const struct control_slot *slot)
{
	return (struct slot_view){ slot,
		placement_fleet_find(fleet, slot->runner) };
}

static bool
is_removed(const struct slot_view *v)
{
	return v->runner != NULL && v->runner->removed;
}

/* Whether the slot serves and is not about to end. */
static bool
is_serving(const struct slot_view *v)
{
	return !v->slot->releasing && v->runner != NULL &&
	       !v->runner->removed && !v->runner->leaving &&
	       !v->runner->unreachable;
}

static unsigned
count_zone(const struct control *control, const struct placement_fleet *fleet,
    const char *model, const char *zone)
{
	const struct control_slot *slot = NULL;
	unsigned count = 0;

	while ((slot = control_next_slot(control, model, slot)) != NULL) {
		struct slot_view v = view_slot(fleet, slot);

		count += v.runner != NULL && strcmp(v.runner->zone, zone) == 0;
	}
	return count;
}

/* ---- steps ---- */

static struct placement_step
step_free(const struct control *control, const struct placement_fleet *fleet,
    const char *model, bool (*confirmed)(void *, uint64_t), void *ctx)
{
	struct placement_step step = { .action = PLACEMENT_NOTHING };
	const struct control_slot *slot = NULL;

	while ((slot = control_next_slot(control, model, slot)) != NULL) {
		struct slot_view v = view_slot(fleet, slot);

		if (!slot->releasing)
			continue;
		if (!is_removed(&v) && !confirmed(ctx, slot->id))
			continue;
		step.action = PLACEMENT_FREE;
		step.slot = slot->id;
		return step;
	}
	return step;
}

/* Releases a slot of an undeclared model, or on a removed or leaving VM. */
static struct placement_step
step_release(const struct control *control, const struct placement_fleet *fleet,
    const struct placement_model *model)
{
	struct placement_step step = { .action = PLACEMENT_NOTHING };
	const struct control_slot *slot = NULL;

	while ((slot = control_next_slot(control, model->name, slot)) != NULL) {
		struct slot_view v = view_slot(fleet, slot);
		bool leaving = v.runner != NULL && v.runner->leaving;

		if (slot->releasing ||
		    (model->desired > 0 && !leaving && !is_removed(&v)))
			continue;
		step.action = PLACEMENT_RELEASE;
		step.slot = slot->id;
		return step;
	}
	return step;
}

static unsigned
count_serving(const struct control *control,
    const struct placement_fleet *fleet, const char *model)
{
	const struct control_slot *slot = NULL;
	unsigned count = 0;

	while ((slot = control_next_slot(control, model, slot)) != NULL) {
		struct slot_view v = view_slot(fleet, slot);

		count += is_serving(&v);
	}
	return count;
}

static struct placement_step
step_decide(const struct placement_model *model, unsigned decided,
    unsigned slots, unsigned serving)
{
	struct placement_step step = { .action = PLACEMENT_NOTHING };
	/* Slots that do not serve any more count until they are freed. */
	unsigned target = model->desired + (slots - serving);

	if (target > model->max)
		target = model->max;
	if (serving > model->desired && target < serving)
		target = serving;
	if (target < slots)
		target = slots;
	if (target == decided)
		return step;
	step.action = PLACEMENT_DECIDE;
	step.replicas = target;
	return step;
}

/* Orders runners; lower values are better. */
struct score {
	unsigned zone; /* slots of the model in the runner's zone */
	unsigned slots;
	uint64_t hash; /* distributes models over equal runners */
};

static bool
is_better(const struct score *a, const struct score *b)
{
	if (a->zone != b->zone)
		return a->zone < b->zone;
	if (a->slots != b->slots)
		return a->slots < b->slots;
	return a->hash < b->hash;
}

static struct score
score_of(const struct control *control, const struct placement_fleet *fleet,
    const char *model, const struct runner_entry *e)
{
	const char *id = e->runner.id;

	return (struct score){
		.zone = count_zone(control, fleet, model, e->runner.zone),
		.slots = e->slots,
		.hash = XXH3_64bits_withSeed(
		    id, strlen(id), XXH3_64bits(model, strlen(model))),
	};
}

static bool
is_eligible(const struct placement_runner *runner)
{
	return runner->usable && !runner->leaving && !runner->unreachable &&
	       !runner->removed;
}

/* Assigns a slot in the zone with fewest, at the runner with fewest slots. */
static struct placement_step
step_assign(const struct control *control, struct placement_fleet *fleet,
    const struct placement_model *model)
{
	struct placement_step step = { .action = PLACEMENT_NOTHING };
	struct runner_entry *best = NULL;
	struct score best_score = { 0 };

	for (size_t i = 0; i < fleet->count; i++) {
		struct runner_entry *e = &fleet->entries[i];
		struct score score;

		if (!is_eligible(&e->runner) ||
		    e->runner.memory < model->memory ||
		    control_runner_slot(control, model->name, e->runner.id) !=
			NULL)
			continue;
		score = score_of(control, fleet, model->name, e);
		if (best != NULL && !is_better(&score, &best_score))
			continue;
		best = e;
		best_score = score;
	}
	if (best == NULL)
		return step;
	best->slots++; /* for the next model in this round */
	step.action = PLACEMENT_ASSIGN;
	step.runner = best->runner.id;
	return step;
}

/* Releases a slot in the zone with most, at the runner with most slots. */
static struct placement_step
step_scale_in(const struct control *control,
    const struct placement_fleet *fleet, const char *model)
{
	struct placement_step step = { .action = PLACEMENT_NOTHING };
	const struct control_slot *slot = NULL;
	struct score worst = { 0 };

	while ((slot = control_next_slot(control, model, slot)) != NULL) {
		struct slot_view v = view_slot(fleet, slot);
		struct score score;

		if (!is_serving(&v))
			continue;
		score = score_of(
		    control, fleet, model, find_runner(fleet, slot->runner));
		if (step.action != PLACEMENT_NOTHING &&
		    !is_better(&worst, &score))
			continue;
		worst = score;
		step.action = PLACEMENT_RELEASE;
		step.slot = slot->id;
	}
	return step;
}

struct placement_step
placement_next(const struct control *control, struct placement_fleet *fleet,
    const struct placement_model *model, bool (*confirmed)(void *, uint64_t),
    void *ctx)
{
	const struct control_model *m = control_model(control, model->name);
	unsigned decided = m == NULL ? 0 : m->decided;
	unsigned slots = m == NULL ? 0 : m->slots;
	unsigned serving = count_serving(control, fleet, model->name);
	struct placement_step step;

	step = step_free(control, fleet, model->name, confirmed, ctx);
	if (step.action == PLACEMENT_NOTHING)
		step = step_release(control, fleet, model);
	if (step.action == PLACEMENT_NOTHING)
		step = step_decide(model, decided, slots, serving);
	if (step.action == PLACEMENT_NOTHING && slots < decided &&
	    serving < model->desired)
		step = step_assign(control, fleet, model);
	if (step.action == PLACEMENT_NOTHING && serving > model->desired)
		step = step_scale_in(control, fleet, model->name);
	return step;
}
