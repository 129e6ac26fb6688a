#include "coordination/store.h"

#include <stdlib.h>

#include <bsd/sys/queue.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/rng.h"
#include "coordination/fold_codec.h"
#include "coordination/proposals.h"
#include "coordination/state_stream.h"
#include "protocol/codec.h"
#include "transport/rpc.h"

/* A pending store_await_versions(). */
struct waiter {
	struct store *store;
	struct rpc_versions versions;
	struct event *timer;
	void (*done)(void *, bool);
	void *ctx;
	TAILQ_ENTRY(waiter) link;
};

struct store {
	struct store_options opts;
	struct config *config;
	struct control *control;
	struct state_stream *config_stream;
	struct state_stream *control_stream;
	struct proposals *config_proposals;
	struct proposals *control_proposals;
	int64_t peer_contact_us; /* see store_note_peer_contact(); 0: none */
	TAILQ_HEAD(, waiter) waiters;
};

/* ---- proposals ---- */

static void
on_config_verdict(void *ctx, const char id[TM_ID_SIZE],
    enum config_verdict verdict, uint64_t offset)
{
	struct store *store = ctx;

	proposals_on_verdict(store->config_proposals, id,
	    verdict == CONFIG_ACCEPTED ? RESULT_OK : RESULT_VERSION_CONFLICT,
	    offset);
}

static void
on_control_verdict(void *ctx, const char id[TM_ID_SIZE],
    enum control_verdict verdict, uint64_t offset)
{
	struct store *store = ctx;

	proposals_on_verdict(store->control_proposals, id,
	    verdict == CONTROL_ACCEPTED ? RESULT_OK : RESULT_VERSION_CONFLICT,
	    offset);
}

static void
propose_record(struct proposals *proposals, const char *id, xdrproc_t proc,
    const void *record, int64_t wait_us,
    void (*done)(void *, enum result, uint64_t), void *ctx)
{
	size_t len = 0;
	void *data = codec_encode(proc, record, &len);

	proposals_add(proposals, id, data, len, wait_us, done, ctx);
}

/*
 * A creation carries the version that this daemon has read: the fold refuses it
 * if it is appended late, after a deletion that its writer had not read.
 */
static struct tm_change *
copy_changes(
    const struct store *store, const struct tm_change *changes, size_t count)
{
	struct tm_change *copy = calloc(count + 1, sizeof(*copy));

	if (copy == NULL)
		abort();
	for (size_t i = 0; i < count; i++) {
		copy[i] = changes[i];
		if (copy[i].expect == TM_EXPECT_ABSENT)
			copy[i].ver = config_version(store->config);
	}
	return copy;
}

void
store_change_config(struct store *store, const struct tm_change *changes,
    size_t count, int64_t wait_us, void (*done)(void *, enum result, uint64_t),
    void *ctx)
{
	struct tm_config_record record = { .type = TM_CONFIG_CHANGE };
	struct tm_config_change *change = &record.tm_config_record_u.change;
	struct tm_change *copy = copy_changes(store, changes, count);

	random_id(change->id, TM_ID_SIZE);
	change->changes.changes_val = copy;
	change->changes.changes_len = (u_int)count;
	propose_record(store->config_proposals, change->id,
	    (xdrproc_t)xdr_tm_config_record, &record, wait_us, done, ctx);
	free(copy);
}

void
store_append_control(struct store *store, struct tm_control_record *record,
    int64_t wait_us, void (*done)(void *, enum result, uint64_t), void *ctx)
{
	random_id(record->id, TM_ID_SIZE);
	propose_record(store->control_proposals, record->id,
	    (xdrproc_t)xdr_tm_control_record, record, wait_us, done, ctx);
}

/* ---- waiting for a version ---- */

static void
waiter_end(struct waiter *w, bool reached)
{
	TAILQ_REMOVE(&w->store->waiters, w, link);
	w->done(w->ctx, reached);
	event_free(w->timer);
	free(w);
}

static bool
has_reached(const struct store *store, const struct rpc_versions *v)
{
	return config_version(store->config) >= v->config &&
	       control_version(store->control) >= v->control;
}

static void
wake_waiters(struct store *store)
{
	struct waiter *w, *next;

	TAILQ_FOREACH_SAFE(w, &store->waiters, link, next) {
		if (has_reached(store, &w->versions))
			waiter_end(w, true);
	}
}

static void
on_waiter_timeout(evutil_socket_t fd, short what, void *arg)
{
	waiter_end(arg, false);
}

void
store_await_versions(struct store *store, struct rpc_conn *conn,
    const struct rpc_versions *versions, int64_t wait_us,
    void (*done)(void *, bool), void *ctx)
{
	struct timeval tv = clock_timeval(wait_us);
	struct waiter *w;

	if (has_reached(store, versions)) {
		done(ctx, true);
		return;
	}
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		abort();
	w->store = store;
	w->versions = *versions;
	w->done = done;
	w->ctx = ctx;
	w->timer = evtimer_new(store->opts.base, on_waiter_timeout, w);
	if (w->timer == NULL)
		abort();
	evtimer_add(w->timer, &tv);
	TAILQ_INSERT_TAIL(&store->waiters, w, link);
	store_on_peer_versions(store, conn, versions);
}

/* ---- peers ---- */

void
store_handle_pull(
    struct store *store, struct rpc_call *call, const struct tm_pull_args *args)
{
	state_stream_handle_pull(args->stream == TM_STREAM_CONFIG
				     ? store->config_stream
				     : store->control_stream,
	    call, args);
}

void
store_on_peer_versions(
    struct store *store, struct rpc_conn *conn, const struct rpc_versions *seen)
{
	state_stream_pull(store->config_stream, conn, seen->config);
	state_stream_pull(store->control_stream, conn, seen->control);
}

void
store_conn_closed(struct store *store, struct rpc_conn *conn)
{
	state_stream_conn_closed(store->config_stream, conn);
	state_stream_conn_closed(store->control_stream, conn);
}

void
store_fill_versions(const struct store *store, struct rpc_versions *out)
{
	out->config = config_version(store->config);
	out->control = control_version(store->control);
}

void
store_note_peer_contact(struct store *store, int64_t sent_us)
{
	if (sent_us > store->peer_contact_us)
		store->peer_contact_us = sent_us;
}

/* ---- readiness ---- */

int64_t
store_last_log_contact(const struct store *store)
{
	int64_t config = state_stream_last_log_contact(store->config_stream);
	int64_t control = state_stream_last_log_contact(store->control_stream);

	return config > control ? config : control;
}

int64_t
store_last_contact(const struct store *store)
{
	int64_t log = store_last_log_contact(store);

	return log > store->peer_contact_us ? log : store->peer_contact_us;
}

const char *
store_unready_reason(const struct store *store)
{
	int64_t now = clock_now(store->opts.clock);
	const char *reason = state_stream_unready_reason(store->config_stream);

	if (reason == NULL)
		reason = state_stream_unready_reason(store->control_stream);
	if (reason != NULL)
		return reason;
	if (now - store_last_contact(store) > store->opts.stale_us)
		return "neither the log nor any peer answers";
	return NULL;
}

void
store_write_checkpoints(struct store *store)
{
	state_stream_write_checkpoint(store->config_stream);
	state_stream_write_checkpoint(store->control_stream);
}

/* ---- creation and destruction ---- */

static void
on_config_restoring(void *ctx, uint64_t version)
{
	struct store *store = ctx;

	if (store->opts.config_restoring != NULL)
		store->opts.config_restoring(store->opts.ctx, version);
}

static void
on_config_changed(void *ctx, const struct config_event *event)
{
	struct store *store = ctx;

	if (store->opts.config_changed != NULL)
		store->opts.config_changed(store->opts.ctx, event);
}

static void
on_model_changed(void *ctx, const struct control_model *model)
{
	struct store *store = ctx;

	if (store->opts.model_changed != NULL)
		store->opts.model_changed(store->opts.ctx, model);
}

static void
on_lease_changed(void *ctx, const struct control_lease *lease)
{
	struct store *store = ctx;

	if (store->opts.lease_changed != NULL)
		store->opts.lease_changed(store->opts.ctx, lease);
}

static void
create_folds(struct store *store)
{
	struct config_options config = {
		.changed = on_config_changed,
		.restoring = on_config_restoring,
		.on_verdict = on_config_verdict,
		.ctx = store,
	};
	struct control_options control = {
		.shards = store->opts.shards,
		.model_changed = on_model_changed,
		.lease_changed = on_lease_changed,
		.on_verdict = on_control_verdict,
		.ctx = store,
	};

	store->config = config_create(&config);
	store->control = control_create(&control);
}

static void
on_fold_changed(void *ctx)
{
	wake_waiters(ctx);
}

static bool
no_config_pending(void *ctx)
{
	return !proposals_pending(((struct store *)ctx)->config_proposals);
}

static bool
no_control_pending(void *ctx)
{
	return !proposals_pending(((struct store *)ctx)->control_proposals);
}

static struct proposals *
create_proposals(struct store *store, const struct fold_codec *codec)
{
	struct proposals_options opts = {
		.base = store->opts.base,
		.clock = store->opts.clock,
		.log = store->opts.log,
		.stream = codec->stream,
	};

	return proposals_create(&opts);
}

/*
 * No snapshot is restored while a proposal is pending: it would skip the
 * records with the proposals' verdicts.
 */
static void
create_streams(struct store *store)
{
	const struct store_options *o = &store->opts;
	struct state_stream_options stream = {
		.base = o->base,
		.clock = o->clock,
		.logger = o->logger,
		.metrics = o->metrics,
		.log = o->log,
		.poll_us = o->poll_us,
		.retry_us = o->retry_us,
		.checkpoints = o->checkpoints,
		.keep_records = o->keep_records,
		.fold_changed = on_fold_changed,
		.ctx = store,
	};

	stream.codec = &config_codec;
	stream.fold = store->config;
	stream.may_restore = no_config_pending;
	store->config_stream = state_stream_create(&stream);
	stream.codec = &control_codec;
	stream.fold = store->control;
	stream.may_restore = no_control_pending;
	store->control_stream = state_stream_create(&stream);
}

struct store *
store_create(const struct store_options *opts)
{
	struct store *store = calloc(1, sizeof(*store));

	if (store == NULL)
		return NULL;
	store->opts = *opts;
	TAILQ_INIT(&store->waiters);
	store->config_proposals = create_proposals(store, &config_codec);
	store->control_proposals = create_proposals(store, &control_codec);
	create_folds(store);
	create_streams(store);
	return store;
}

void
store_destroy(struct store *store)
{
	struct waiter *w, *next;

	if (store == NULL)
		return;
	TAILQ_FOREACH_SAFE(w, &store->waiters, link, next) {
		event_free(w->timer);
		free(w);
	}
	state_stream_destroy(store->config_stream);
	state_stream_destroy(store->control_stream);
	proposals_destroy(store->config_proposals);
	proposals_destroy(store->control_proposals);
	config_destroy(store->config);
	control_destroy(store->control);
	free(store);
}

const struct config *
store_config(const struct store *store)
{
	return store->config;
}

const struct control *
store_control(const struct store *store)
{
	return store->control;
}
