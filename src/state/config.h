/*
 * config -- the fold of the `config` stream: all accepted declarations.
 *
 * A pure function of the records: two readers at the same position hold the
 * same state.  Bodies are not validated here, since daemons of two releases
 * must reach the same verdict; the writer validates before it appends.
 */
#ifndef STATE_CONFIG_H
#define STATE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/declaration.h"
#include "protocol/tm_xdr.h"

struct config;

struct config_entry {
	enum decl_kind kind;
	const char *name;
	uint64_t version; /* offset of the change that set it */
	const char *body;
	bool valid; /* decl is filled in */
	struct declaration decl;
};

enum config_verdict {
	CONFIG_ACCEPTED,
	CONFIG_CONFLICT, /* an expectation did not hold */
	CONFIG_MALFORMED,
};

struct config_event {
	uint64_t version;
	const struct config_entry *entry; /* as it is now, or was if deleted */
	bool deleted;
};

struct config_options {
	/* Runs for each declaration of an accepted change, in order. */
	void (*changed)(void *ctx, const struct config_event *);
	/* Runs before a snapshot skips to this version; may be NULL. */
	void (*restoring)(void *ctx, uint64_t version);
	/* Runs for each change record with its verdict. */
	void (*on_verdict)(void *ctx, const char id[TM_ID_SIZE],
	    enum config_verdict, uint64_t offset);
	void *ctx;
};

struct config *config_create(const struct config_options *);
void config_destroy(struct config *);

/* Next offset to fold; version: offset of the last accepted change. */
uint64_t config_position(const struct config *);
uint64_t config_version(const struct config *);

/*
 * Folds one record.  Offsets below the position are ignored.  Checkpoint
 * records only move the position.
 */
void config_apply(
    struct config *, uint64_t offset, const struct tm_config_record *);

/* Moves the position past a record that could not be decoded. */
void config_skip(struct config *, uint64_t offset);

const struct config_entry *config_find(
    const struct config *, enum decl_kind, const char *name);

/* Iterates in order of kind and name; pass NULL to start. */
const struct config_entry *config_next(
    const struct config *, enum decl_kind, const struct config_entry *);
size_t config_count(const struct config *, enum decl_kind);

/* Fills snap with copies; free with xdr_free(). */
void config_snapshot(const struct config *, struct tm_config_snapshot *snap);

/*
 * Replaces the state by a newer snapshot and reports each difference through
 * changed().  Returns -1 and does nothing if snap is not newer in position, or
 * is older in version.
 */
int config_restore(struct config *, const struct tm_config_snapshot *snap);

#endif
