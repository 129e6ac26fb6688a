/*
 * state_offer -- gives one stream's state to peers that are behind.
 *
 * A peer that is a little behind gets the records it lacks, so that one changed
 * declaration travels alone; any other gets the whole state in chunks.
 */
#ifndef COORDINATION_STATE_OFFER_H
#define COORDINATION_STATE_OFFER_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

struct rpc_call;
struct state_offer;

struct state_offer_options {
	size_t max_bytes; /* of records remembered */
	size_t max_records;
	uint64_t (*position)(void *ctx);
	uint64_t (*version)(void *ctx);
	void *(*encode)(void *ctx, size_t *len); /* the whole state */
	void *ctx;
};

struct state_offer *state_offer_create(const struct state_offer_options *);
void state_offer_destroy(struct state_offer *);

/* Remembers a folded record; a gap in the offsets forgets all before it. */
void state_offer_add_record(
    struct state_offer *, uint64_t offset, const void *data, size_t len);

/* Answers a TM_PULL. */
void state_offer_handle_pull(
    struct state_offer *, struct rpc_call *, const struct tm_pull_args *);

#endif
