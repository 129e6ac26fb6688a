/* control_internal -- types shared by the files of the control fold. */
#ifndef STATE_CONTROL_INTERNAL_H
#define STATE_CONTROL_INTERNAL_H

#include <bsd/sys/queue.h>
#include <uthash.h>

#include "state/control.h"

struct model;
struct runner;

struct slot {
	struct control_slot pub;
	struct model *model;
	struct runner *runner;
	TAILQ_ENTRY(slot) model_link;
	TAILQ_ENTRY(slot) runner_link;
	TAILQ_ENTRY(slot) all_link;
	UT_hash_handle hh; /* by id */
};

struct model {
	struct control_model pub;
	TAILQ_HEAD(, slot) slots;
	UT_hash_handle hh; /* by name */
};

/* A runner with at least one slot. */
struct runner {
	char *name;
	TAILQ_HEAD(, slot) slots;
	UT_hash_handle hh; /* by name */
};

struct control {
	struct control_options opts;
	uint64_t position; /* log offset of the next record */
	uint64_t version; /* log offset of the last accepted record */
	struct control_lease *leases; /* by shard */
	struct model *models;
	struct slot *slots;
	struct runner *runners;
	TAILQ_HEAD(, slot) all_slots; /* oldest first */
};

struct model *control_find_or_add_model(struct control *, const char *name);
struct slot *control_add_slot(
    struct control *, struct model *, uint64_t id, const char *runner);
/* Frees all models, slots and runners; leases stay. */
void control_clear(struct control *);

#endif
