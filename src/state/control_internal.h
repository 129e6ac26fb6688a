/* control_internal -- the parts of the control fold. */
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
	TAILQ_ENTRY(slot) model_link; /* of the model */
	TAILQ_ENTRY(slot) runner_link;
	TAILQ_ENTRY(slot) all_link; /* of the fold */
	UT_hash_handle hh; /* by id */
};

struct model {
	struct control_model pub;
	TAILQ_HEAD(, slot) slots;
	UT_hash_handle hh;
};

/* A runner that holds slots. */
struct runner {
	char *name;
	TAILQ_HEAD(, slot) slots;
	UT_hash_handle hh;
};

struct control {
	struct control_options opts;
	uint64_t position;
	uint64_t version;
	struct control_lease *leases;
	struct model *models;
	struct slot *slots;
	struct runner *runners;
	TAILQ_HEAD(, slot) all_slots;
};

/* The named model, made if there is none. */
struct model *control_find_or_add_model(struct control *, const char *name);
struct slot *control_add_slot(
    struct control *, struct model *, uint64_t id, const char *runner);
/* Forgets all models and slots. */
void control_clear(struct control *);

#endif
