/*
 * control -- fold of the `control` stream: leases of the shards, and placement
 * of models on runners.
 *
 * Decides for each record, from its epoch and the version that it expects,
 * whether it is accepted.  A slot is the assignment of a model to a runner; it
 * exists until a record says that it is released: the runner has confirmed the
 * unload, or its VM has been removed.  For every prefix of the stream: each
 * model has at most as many slots, assigned or releasing, as replicas are
 * decided; only records of a shard's newest epoch change its state; a record
 * that is appended twice changes it once.
 */
#ifndef STATE_CONTROL_H
#define STATE_CONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

#define CONTROL_NAME_MAX 128 /* size of a name, with the NUL */

struct control;

/* The lease of a shard: its holder decides for the shard's models. */
struct control_lease {
	uint32_t shard;
	uint64_t epoch; /* log offset of the newest claim; 0: never claimed */
	uint64_t version; /* log offset of the last accepted lease record */
	char holder[CONTROL_NAME_MAX]; /* "": never claimed, or resigned */
	char address[CONTROL_NAME_MAX]; /* RPC address of the holder */
	uint32_t term_ms; /* lease term, as last claimed or renewed */
};

struct control_slot {
	uint64_t id; /* log offset of the record that assigned it */
	const char *model;
	const char *runner;
	bool releasing; /* unload ordered, not known to be done */
};

struct control_model {
	const char *name;
	unsigned decided; /* number of replicas that the holder decided on */
	unsigned slots; /* assigned and releasing */
	uint64_t version; /* log offset of the model's last accepted record */
};

enum control_verdict {
	CONTROL_ACCEPTED,
	CONTROL_STALE_EPOCH, /* the lease was claimed again, or resigned */
	CONTROL_CONFLICT, /* version, shard or slot does not match the state */
	CONTROL_EXCEEDS_DECIDED, /* more slots than decided replicas */
};

/*
 * All callbacks may be NULL.  control_restore() runs the first two for all
 * models and leases.
 */
struct control_options {
	uint32_t shards; /* number of shards; the same in all daemons */
	/* Runs after each accepted change to a model's slots or replicas. */
	void (*model_changed)(void *ctx, const struct control_model *);
	/* Runs after each accepted claim, renewal or resignation. */
	void (*lease_changed)(void *ctx, const struct control_lease *);
	/* Runs once for each record other than a checkpoint. */
	void (*on_verdict)(void *ctx, const char id[TM_ID_SIZE],
	    enum control_verdict, uint64_t offset);
	void *ctx;
};

/* Returns NULL if out of memory.  The position is 1, the first offset. */
struct control *control_create(const struct control_options *);
void control_destroy(struct control *);

/* Log offset of the next record to apply. */
uint64_t control_position(const struct control *);
/* Log offset of the last accepted record; 0 if there is none. */
uint64_t control_version(const struct control *);

/* The shard to which a model belongs, by hash of its name. */
uint32_t control_shard_of(const struct control *, const char *model);

/*
 * Applies one record.  Offsets below the position are ignored.  Checkpoint
 * records only move the position.
 */
void control_apply(
    struct control *, uint64_t offset, const struct tm_control_record *);

/* Moves the position past a record that could not be decoded. */
void control_skip(struct control *, uint64_t offset);

/* shard is below control_options.shards. */
const struct control_lease *control_lease(
    const struct control *, uint32_t shard);
/* Returns NULL if no record has named the model. */
const struct control_model *control_model(
    const struct control *, const char *name);
/* Iterates over all models; NULL starts, NULL ends. */
const struct control_model *control_next_model(
    const struct control *, const struct control_model *);

/* Iterates over one model's slots, or over all slots if model is NULL. */
const struct control_slot *control_next_slot(
    const struct control *, const char *model, const struct control_slot *);
/* Iterates over one runner's slots. */
const struct control_slot *control_next_runner_slot(
    const struct control *, const char *runner, const struct control_slot *);
/* Returns NULL if there is none. */
const struct control_slot *control_slot(const struct control *, uint64_t id);
/* The model's slot on the runner; NULL if there is none. */
const struct control_slot *control_runner_slot(
    const struct control *, const char *model, const char *runner);

/* Copies the state; free it with xdr_free(). */
void control_snapshot(const struct control *, struct tm_control_snapshot *);

/*
 * Replaces the state by a newer snapshot.  Returns -1 and does nothing unless
 * the snapshot's position is higher and its version is not lower.
 */
int control_restore(struct control *, const struct tm_control_snapshot *);

#endif
