/*
 * state_stream -- keeps one fold in step with its stream in the log.
 *
 * Folds records from the log or from a peer.  Where the log has dropped what
 * the fold needs next, takes the state from a checkpoint or a peer instead.
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
	int64_t poll_us;
	int64_t retry_us;
	struct checkpoint_policy checkpoints;
	size_t keep_records; /* for peers */
	const struct fold_codec *codec;
	void *fold;
	/* Whether a whole state may replace the own one now. */
	bool (*may_restore)(void *ctx);
	void (*fold_changed)(void *ctx); /* the fold has changed */
	void *ctx;
};

struct state_stream *state_stream_create(const struct state_stream_options *);
void state_stream_destroy(struct state_stream *);

/* NULL, or why the fold may lack something that the log once held. */
const char *state_stream_unready_reason(const struct state_stream *);

/* When the newest read that the log answered left; 0 if none was. */
int64_t state_stream_last_log_contact(const struct state_stream *);

/* Appends a checkpoint if one is due. */
void state_stream_write_checkpoint(struct state_stream *);

/* Pulls from the peer if it is ahead. */
void state_stream_pull(
    struct state_stream *, struct rpc_conn *, uint64_t peer_version);
void state_stream_conn_closed(struct state_stream *, struct rpc_conn *);
void state_stream_handle_pull(
    struct state_stream *, struct rpc_call *, const struct tm_pull_args *);

#endif
