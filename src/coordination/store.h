/*
 * store -- this daemon's copy of the agreed state, and writes to it.
 *
 * Entries and agents have one.  It folds the log's `config` and `control`
 * streams, and pulls newer state from peers, so that a daemon that cannot read
 * the log stays current.  Whether the state is complete and recent enough to
 * act on follows from what has been read and from the last contact to log and
 * peers.  Changes are appended to the log as records; whether the folds accept
 * a record, its verdict, is known once it has been read back.
 */
#ifndef COORDINATION_STORE_H
#define COORDINATION_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/checkpoint.h"
#include "protocol/result.h"
#include "protocol/tm_xdr.h"
#include "state/config.h"
#include "state/control.h"

struct clock;
struct event_base;
struct log_client;
struct logger;
struct metrics;
struct rpc_call;
struct rpc_conn;
struct rpc_versions;
struct store;

struct store_options {
	struct event_base *base;
	const struct clock *clock;
	struct logger *logger;
	struct metrics *metrics;
	const struct log_client *log;
	uint32_t shards; /* of the control stream; the same in all daemons */
	int64_t poll_us; /* longest wait of a log read for new records */
	int64_t retry_us; /* pause after a failed read or checkpoint append */
	int64_t stale_us; /* not ready after so long without log and peers */
	struct checkpoint_policy checkpoints;
	size_t keep_records; /* newest of each stream, kept for peers */
	/* As in struct config_options and control_options; may be NULL. */
	void (*config_changed)(void *ctx, const struct config_event *);
	void (*config_restoring)(void *ctx, uint64_t version);
	void (*model_changed)(void *ctx, const struct control_model *);
	void (*lease_changed)(void *ctx, const struct control_lease *);
	void *ctx;
};

/* Starts to read the log.  Returns NULL if out of memory. */
struct store *store_create(const struct store_options *);
/* Frees the store; done() of pending calls does not run. */
void store_destroy(struct store *);

const struct config *store_config(const struct store *);
const struct control *store_control(const struct store *);

/* NULL if the state may be acted on; otherwise a text with the reason. */
const char *store_unready_reason(const struct store *);

/*
 * When the newest read that the log has answered was sent, in monotonic time; 0
 * if there is none.  The time of the answer would not do: a daemon that was
 * paused reads old answers late.
 */
int64_t store_last_log_contact(const struct store *);
/* The same for the newest answered read from the log or call to a peer. */
int64_t store_last_contact(const struct store *);
/* Call when a peer has answered a call that was sent at sent_us. */
void store_note_peer_contact(struct store *, int64_t sent_us);

/* Appends the checkpoints that are due; called by holders of a lease. */
void store_write_checkpoints(struct store *);

/*
 * Appends changes as one record and waits for its verdict.  done() runs once,
 * never before this returns, with the record's offset as version and
 *	RESULT_OK		accepted
 *	RESULT_VERSION_CONFLICT	refused, nothing changed
 *	RESULT_TOO_LARGE	not appended, the record exceeds a limit
 *	RESULT_LOG_UNAVAILABLE	not appended, and will not be
 *	RESULT_VERDICT_UNKNOWN	no verdict within wait_us; it may yet come
 */
void store_change_config(struct store *, const struct tm_change *changes,
    size_t count, int64_t wait_us,
    void (*done)(void *ctx, enum result, uint64_t version), void *ctx);

/* The same for a control record, whose id this sets. */
void store_append_control(struct store *, struct tm_control_record *,
    int64_t wait_us, void (*done)(void *ctx, enum result, uint64_t offset),
    void *ctx);

/* ---- peers ---- */

/* Sets the versions of the state that calls and replies carry. */
void store_fill_versions(const struct store *, struct rpc_versions *);

/* Call with the versions in a peer's message; pulls state that is newer. */
void store_on_peer_versions(
    struct store *, struct rpc_conn *, const struct rpc_versions *);

/*
 * Waits until the state is at least as new as `versions`, which it pulls over
 * conn if necessary.  done() runs once, possibly before this returns; reached
 * is false if wait_us passed first.
 */
void store_await_versions(struct store *, struct rpc_conn *,
    const struct rpc_versions *versions, int64_t wait_us,
    void (*done)(void *ctx, bool reached), void *ctx);

/* Call when a connection has been closed; ends a pull over it. */
void store_conn_closed(struct store *, struct rpc_conn *);

/* Handler of TM_PULL. */
void store_handle_pull(
    struct store *, struct rpc_call *, const struct tm_pull_args *);

#endif
