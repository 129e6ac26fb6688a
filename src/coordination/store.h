/*
 * store -- this daemon's copy of the agreed state, and the way to change it.
 *
 * Follows the `config` and `control` streams, takes newer state from peers when
 * the log cannot be read, and appends records.  A record's verdict is known
 * only once it has been read back.
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
	uint32_t shards;
	int64_t poll_us;
	int64_t retry_us;
	int64_t stale_us; /* not ready after so long without log and peers */
	struct checkpoint_policy checkpoints;
	size_t keep_records; /* newest ones that peers can be given */
	void (*config_changed)(void *ctx, const struct config_event *);
	/* Runs before config_changed() for what a snapshot brings. */
	void (*config_restoring)(void *ctx, uint64_t version);
	void (*model_changed)(void *ctx, const struct control_model *);
	void (*lease_changed)(void *ctx, const struct control_lease *);
	void *ctx;
};

struct store *store_create(const struct store_options *);
void store_destroy(struct store *);

const struct config *store_config(const struct store *);
const struct control *store_control(const struct store *);

/* NULL when ready to act on the state; otherwise the reason why not. */
const char *store_unready_reason(const struct store *);

/*
 * When the newest question that the log answered was asked; 0 if there was
 * none.  A daemon that was paused reads old answers late, so only the time of
 * the question shows how new one is.
 */
int64_t store_last_log_contact(const struct store *);
/* Likewise of the log or a peer. */
int64_t store_last_contact(const struct store *);
/* A peer has answered a question asked at that time. */
void store_note_peer_contact(struct store *, int64_t asked_us);

/* Appends checkpoints that are due; for the holder of a control shard. */
void store_write_checkpoints(struct store *);

/*
 * Appends changes as one record and waits for its verdict: RESULT_OK,
 * RESULT_VERSION_CONFLICT, RESULT_LOG_UNAVAILABLE (never appended) or
 * RESULT_VERDICT_UNKNOWN after wait_us.  done() never runs before this returns.
 */
void store_change_config(struct store *, const struct tm_change *changes,
    size_t count, int64_t wait_us,
    void (*done)(void *ctx, enum result, uint64_t version), void *ctx);

/* As above for a control record; id is filled in. */
void store_append_control(struct store *, struct tm_control_record *,
    int64_t wait_us, void (*done)(void *ctx, enum result, uint64_t offset),
    void *ctx);

/* ---- peers ---- */

void store_fill_versions(const struct store *, struct rpc_versions *);

/* Pulls a peer's state if it is ahead. */
void store_on_peer_versions(
    struct store *, struct rpc_conn *, const struct rpc_versions *);

/*
 * Calls done() with true once this store is at least as new as `versions`,
 * which it pulls from conn if need be; with false after wait_us.  May run
 * before this returns.
 */
void store_await_versions(struct store *, struct rpc_conn *,
    const struct rpc_versions *versions, int64_t wait_us,
    void (*done)(void *ctx, bool reached), void *ctx);

void store_conn_closed(struct store *, struct rpc_conn *);

/* Handler of TM_PULL. */
void store_handle_pull(
    struct store *, struct rpc_call *, const struct tm_pull_args *);

#endif
