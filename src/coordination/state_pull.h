/*
 * state_pull -- takes one stream's newer state from a peer.
 *
 * Records are folded as if the log had given them, with their verdicts.  A
 * whole state replaces the own one at once, never in part.
 */
#ifndef COORDINATION_STATE_PULL_H
#define COORDINATION_STATE_PULL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

struct rpc_conn;
struct state_pull;

struct state_pull_options {
	enum tm_stream stream;
	uint64_t (*position)(void *ctx);
	uint64_t (*version)(void *ctx);
	/* Folds one record that is next in order. */
	void (*fold)(void *ctx, uint64_t offset, const void *data, size_t len);
	/* Whether a whole state may replace the own one now. */
	bool (*may_restore)(void *ctx);
	/* Returns 0, or -1 if the state is malformed or not newer. */
	int (*restore)(void *ctx, const void *data, size_t len);
	/*
	 * Runs after state was taken: a whole one, or records; level says that
	 * the fold is now as new as the peer.
	 */
	void (*pulled)(void *ctx, bool snapshot, bool up_to_date);
	void *ctx;
};

struct state_pull *state_pull_create(const struct state_pull_options *);
void state_pull_destroy(struct state_pull *);

/* Pulls from the peer if it is ahead and no transfer is under way. */
void state_pull_start(
    struct state_pull *, struct rpc_conn *, uint64_t peer_version);

void state_pull_conn_closed(struct state_pull *, struct rpc_conn *);

#endif
