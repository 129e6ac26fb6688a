/*
 * control -- the fold of the `control` stream: leases and placement.
 *
 * Holds for every prefix of the stream: for each model, assigned plus
 * releasing slots are at most the decided replicas; only records of a shard's
 * newest epoch change its state; a record appended twice changes it once.
 */
#ifndef STATE_CONTROL_H
#define STATE_CONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

#define CONTROL_NAME_MAX 128

struct control;

struct control_lease {
	uint32_t shard;
	uint64_t epoch; /* 0: never claimed */
	uint64_t version; /* last accepted record of the lease */
	char holder[CONTROL_NAME_MAX]; /* empty: resigned */
	char address[CONTROL_NAME_MAX];
	uint32_t term_ms;
};

struct control_slot {
	uint64_t id;
	const char *model;
	const char *runner;
	bool releasing;
};

struct control_model {
	const char *name;
	unsigned decided;
	unsigned slots; /* assigned and releasing */
	uint64_t version;
};

enum control_verdict {
	CONTROL_ACCEPTED,
	CONTROL_STALE_EPOCH,
	CONTROL_CONFLICT,
	CONTROL_EXCEEDS_DECIDED,
};

struct control_options {
	uint32_t shards;
	/* Runs after each accepted change to a model's slots or decision. */
	void (*model_changed)(void *ctx, const struct control_model *);
	/* Runs after each accepted claim, renewal or resignation. */
	void (*lease_changed)(void *ctx, const struct control_lease *);
	void (*on_verdict)(void *ctx, const char id[TM_ID_SIZE],
	    enum control_verdict, uint64_t offset);
	void *ctx;
};

struct control *control_create(const struct control_options *);
void control_destroy(struct control *);

uint64_t control_position(const struct control *);
uint64_t control_version(const struct control *);

/* The shard that decides for a model. */
uint32_t control_shard_of(const struct control *, const char *model);

void control_apply(
    struct control *, uint64_t offset, const struct tm_control_record *);
void control_skip(struct control *, uint64_t offset);

const struct control_lease *control_lease(
    const struct control *, uint32_t shard);
const struct control_model *control_model(
    const struct control *, const char *name);
const struct control_model *control_next_model(
    const struct control *, const struct control_model *);

/* Iterates over one model's slots, or all where model is NULL. */
const struct control_slot *control_next_slot(
    const struct control *, const char *model, const struct control_slot *);
/* Iterates over one runner's slots. */
const struct control_slot *control_next_runner_slot(
    const struct control *, const char *runner, const struct control_slot *);
const struct control_slot *control_slot(const struct control *, uint64_t id);
/* The slot that the runner holds for the model, or NULL. */
const struct control_slot *control_runner_slot(
    const struct control *, const char *model, const char *runner);

/* Free with xdr_free(). */
void control_snapshot(const struct control *, struct tm_control_snapshot *);

/* Replaces the state by a newer snapshot; -1 and nothing if not newer. */
int control_restore(struct control *, const struct tm_control_snapshot *);

#endif
