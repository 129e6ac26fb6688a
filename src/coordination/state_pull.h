/*
 * state_pull -- pulls newer state of one stream from a peer.
 *
 * The peer replies with records or with a snapshot in chunks (state_offer.h).
 * Records are folded as if read from the log, so that proposals get their
 * verdicts.  A snapshot is restored once all chunks have arrived and match its
 * digest.
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
	/* As in struct fold_codec. */
	uint64_t (*position)(void *ctx);
	uint64_t (*version)(void *ctx);
	/* Folds the record at position(). */
	void (*fold)(void *ctx, uint64_t offset, const void *data, size_t len);
	/* Whether a snapshot may replace the state now. */
	bool (*may_restore)(void *ctx);
	/* Returns 0, or -1 if the snapshot is malformed or not newer. */
	int (*restore)(void *ctx, const void *data, size_t len);
	/*
	 * Runs after a snapshot was restored (snapshot is true) or records were
	 * folded.  up_to_date: the fold is as new as the peer announced.
	 */
	void (*pulled)(void *ctx, bool snapshot, bool up_to_date);
	void *ctx;
};

struct state_pull *state_pull_create(const struct state_pull_options *);
void state_pull_destroy(struct state_pull *);

/* Pulls from the peer if its version is newer and no pull is pending. */
void state_pull_start(
    struct state_pull *, struct rpc_conn *, uint64_t peer_version);

/* Call when a connection has been closed; ends a pull over it. */
void state_pull_conn_closed(struct state_pull *, struct rpc_conn *);

#endif
