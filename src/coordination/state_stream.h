/*
 * state_stream -- keeps one fold of the store up to date with its log stream.
 *
 * Folds the records that it reads from the log or pulls from a peer.  If the
 * log has dropped records that the fold has not read, it restores the fold from
 * a snapshot instead: from a complete checkpoint in the log, or from a peer.
 * It also replies to pulls of peers, and appends checkpoints.
 */
#ifndef COORDINATION_STATE_STREAM_H
#define COORDINATION_STATE_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/checkpoint.h"
#include "coordination/fold_codec.h"

struct clock;
struct event_base;
struct log_client;
struct logger;
struct metrics;
struct rpc_call;
struct rpc_conn;
struct state_stream;

struct state_stream_options {
	struct event_base *base;
	const struct clock *clock;
	struct logger *logger;
	struct metrics *metrics;
	const struct log_client *log;
	int64_t poll_us; /* longest wait of a log read for new records */
	int64_t retry_us; /* pause after a failed read or checkpoint append */
	struct checkpoint_policy checkpoints;
	size_t keep_records; /* newest ones, kept for peers */
	const struct fold_codec *codec;
	void *fold; /* of the codec's type; owned by the caller */
	/* Whether a peer's snapshot may replace the state now. */
	bool (*may_restore)(void *ctx);
	/* Runs after records or a snapshot have been read. */
	void (*fold_changed)(void *ctx);
	void *ctx;
};

/* Starts to read the log. */
struct state_stream *state_stream_create(const struct state_stream_options *);
void state_stream_destroy(struct state_stream *);

/*
 * NULL if the fold has been as new as the log, a peer or a checkpoint, and
 * lacks no records that the log has dropped; otherwise a text with the reason.
 */
const char *state_stream_unready_reason(const struct state_stream *);

/* When the newest read that the log has answered was sent; 0: none yet. */
int64_t state_stream_last_log_contact(const struct state_stream *);

/* Appends a checkpoint if one is due. */
void state_stream_write_checkpoint(struct state_stream *);

/* Pulls from the peer if its version is newer and no pull is pending. */
void state_stream_pull(
    struct state_stream *, struct rpc_conn *, uint64_t peer_version);
/* Call when a connection has been closed; ends a pull over it. */
void state_stream_conn_closed(struct state_stream *, struct rpc_conn *);
/* Handler of TM_PULL. */
void state_stream_handle_pull(
    struct state_stream *, struct rpc_call *, const struct tm_pull_args *);

#endif
