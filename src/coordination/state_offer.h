/*
 * state_offer -- replies to pulls of peers whose state of a stream is older.
 *
 * The newest records are kept in memory.  If the peer's next record is among
 * them it gets the records that it lacks, so that a changed declaration does
 * not cost a copy of all others; otherwise it gets a snapshot in chunks.
 */
#ifndef COORDINATION_STATE_OFFER_H
#define COORDINATION_STATE_OFFER_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

struct rpc_call;
struct state_offer;

struct state_offer_options {
	size_t max_bytes; /* all kept records together */
	size_t max_records;
	/* As in struct fold_codec, of the fold whose records are kept. */
	uint64_t (*position)(void *ctx);
	uint64_t (*version)(void *ctx);
	void *(*encode)(void *ctx, size_t *len);
	void *ctx;
};

struct state_offer *state_offer_create(const struct state_offer_options *);
void state_offer_destroy(struct state_offer *);

/* Keeps a folded record; after a gap in the offsets all others are dropped. */
void state_offer_add_record(
    struct state_offer *, uint64_t offset, const void *data, size_t len);

/*
 * Handler of TM_PULL: replies with records or a chunk; with neither if the
 * peer's version is not older, or if the snapshot of its transfer is replaced.
 */
void state_offer_handle_pull(
    struct state_offer *, struct rpc_call *, const struct tm_pull_args *);

#endif
