/*
 * config -- fold of the `config` stream: all accepted declarations.
 *
 * Decides for each change record whether its expectations hold, and applies
 * all its changes or none.  The state is a pure function of the records: two
 * readers at the same position hold the same declarations.  Bodies are not
 * validated here, because daemons of two releases must reach the same verdict;
 * the writer validates them before it appends.
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
	uint64_t version; /* log offset of the change that set it */
	const char *body; /* as appended by the writer */
	bool valid; /* body was parsed into decl */
	struct declaration decl; /* only if valid */
};

enum config_verdict {
	CONFIG_ACCEPTED,
	CONFIG_CONFLICT, /* an expectation did not hold */
	CONFIG_MALFORMED, /* the record contains no change */
};

struct config_event {
	/* Log offset of the change; a snapshot's version if that deletes. */
	uint64_t version;
	/* Last state if deleted.  Its body need not be parsed into decl. */
	const struct config_entry *entry;
	bool deleted;
};

struct config_options {
	/*
	 * Runs for each declaration that an accepted record or a snapshot sets
	 * or deletes, in order.  May be NULL.
	 */
	void (*changed)(void *ctx, const struct config_event *);
	/* Runs before changed() reports a snapshot's changes.  May be NULL. */
	void (*restoring)(void *ctx, uint64_t version);
	/* Runs once for each change record, after its changes.  May be NULL. */
	void (*on_verdict)(void *ctx, const char id[TM_ID_SIZE],
	    enum config_verdict, uint64_t offset);
	void *ctx;
};

/* Returns NULL if out of memory.  The position is 1, the first offset. */
struct config *config_create(const struct config_options *);
void config_destroy(struct config *);

/* Log offset of the next record to apply. */
uint64_t config_position(const struct config *);
/* Log offset of the last accepted change; 0 if there is none. */
uint64_t config_version(const struct config *);

/*
 * Applies one record.  Offsets below the position are ignored.  Checkpoint
 * records only move the position.
 */
void config_apply(
    struct config *, uint64_t offset, const struct tm_config_record *);

/* Moves the position past a record that could not be decoded. */
void config_skip(struct config *, uint64_t offset);

/* Returns NULL if there is none.  Valid until the declaration changes. */
const struct config_entry *config_find(
    const struct config *, enum decl_kind, const char *name);

/* Iterates over one kind in order of names; NULL starts, NULL ends. */
const struct config_entry *config_next(
    const struct config *, enum decl_kind, const struct config_entry *);
size_t config_count(const struct config *, enum decl_kind);

/* Copies the state to snap; free it with xdr_free(). */
void config_snapshot(const struct config *, struct tm_config_snapshot *snap);

/*
 * Replaces the state by a newer snapshot and reports each difference through
 * changed().  Returns -1 and does nothing unless the snapshot's position is
 * higher and its version is not lower.
 */
int config_restore(struct config *, const struct tm_config_snapshot *snap);

#endif
