/* Copies the control fold to a snapshot and restores it from one. */
#include "state/control_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

static void
snapshot_leases(const struct control *control, struct tm_control_snapshot *snap)
{
	struct tm_lease *out =
	    calloc(control->opts.shards, sizeof(struct tm_lease));

	if (out == NULL)
		abort();
	for (uint32_t i = 0; i < control->opts.shards; i++) {
		const struct control_lease *lease = &control->leases[i];

		out[i].shard = lease->shard;
		out[i].epoch = lease->epoch;
		out[i].ver = lease->version;
		out[i].holder = strdup(lease->holder);
		out[i].address = strdup(lease->address);
		out[i].term_ms = lease->term_ms;
	}
	snap->leases.leases_val = out;
	snap->leases.leases_len = control->opts.shards;
}

static void
snapshot_models(const struct control *control, struct tm_control_snapshot *snap)
{
	struct tm_model_entry *out = calloc(
	    HASH_COUNT(control->models) + 1, sizeof(struct tm_model_entry));
	struct model *model, *next;
	u_int n = 0;

	if (out == NULL)
		abort();
	HASH_ITER(hh, control->models, model, next) {
		out[n].model = strdup(model->pub.name);
		out[n].decided = model->pub.decided;
		out[n].ver = model->pub.version;
		n++;
	}
	snap->models.models_val = out;
	snap->models.models_len = n;
}

static void
snapshot_slots(const struct control *control, struct tm_control_snapshot *snap)
{
	struct tm_slot *out =
	    calloc(HASH_COUNT(control->slots) + 1, sizeof(struct tm_slot));
	const struct slot *slot;
	u_int n = 0;

	if (out == NULL)
		abort();
	TAILQ_FOREACH(slot, &control->all_slots, all_link) {
		out[n].id = slot->pub.id;
		out[n].model = strdup(slot->pub.model);
		out[n].runner = strdup(slot->pub.runner);
		out[n].state =
		    slot->pub.releasing ? TM_SLOT_RELEASING : TM_SLOT_ASSIGNED;
		n++;
	}
	snap->slots.slots_val = out;
	snap->slots.slots_len = n;
}

void
control_snapshot(
    const struct control *control, struct tm_control_snapshot *snap)
{
	memset(snap, 0, sizeof(*snap));
	snap->position = control->position;
	snap->ver = control->version;
	snapshot_leases(control, snap);
	snapshot_models(control, snap);
	snapshot_slots(control, snap);
}

static void
restore_leases(struct control *control, const struct tm_control_snapshot *snap)
{
	for (u_int i = 0; i < snap->leases.leases_len; i++) {
		const struct tm_lease *in = &snap->leases.leases_val[i];
		struct control_lease *lease;

		if (in->shard >= control->opts.shards)
			continue;
		lease = &control->leases[in->shard];
		lease->epoch = in->epoch;
		lease->version = in->ver;
		lease->term_ms = in->term_ms;
		strlcpy(lease->holder, in->holder, sizeof(lease->holder));
		strlcpy(lease->address, in->address, sizeof(lease->address));
	}
}

static void
restore_models(struct control *control, const struct tm_control_snapshot *snap)
{
	for (u_int i = 0; i < snap->models.models_len; i++) {
		const struct tm_model_entry *in = &snap->models.models_val[i];
		struct model *model =
		    control_find_or_add_model(control, in->model);

		model->pub.decided = in->decided;
		model->pub.version = in->ver;
	}
	for (u_int i = 0; i < snap->slots.slots_len; i++) {
		const struct tm_slot *in = &snap->slots.slots_val[i];
		struct model *model =
		    control_find_or_add_model(control, in->model);
		struct slot *slot =
		    control_add_slot(control, model, in->id, in->runner);

		slot->pub.releasing = in->state == TM_SLOT_RELEASING;
	}
}

static void
notify_all(struct control *control)
{
	struct model *model, *next;

	for (uint32_t i = 0; i < control->opts.shards; i++) {
		if (control->opts.lease_changed != NULL)
			control->opts.lease_changed(
			    control->opts.ctx, &control->leases[i]);
	}
	HASH_ITER(hh, control->models, model, next) {
		if (control->opts.model_changed != NULL)
			control->opts.model_changed(
			    control->opts.ctx, &model->pub);
	}
}

int
control_restore(struct control *control, const struct tm_control_snapshot *snap)
{
	if (snap->position <= control->position || snap->ver < control->version)
		return -1;
	control_clear(control);
	control->position = snap->position;
	control->version = snap->ver;
	restore_leases(control, snap);
	restore_models(control, snap);
	notify_all(control);
	return 0;
}
