#include "coordination/state_stream.h"

#include <stdlib.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/log_follower.h"
#include "coordination/state_offer.h"
#include "coordination/state_pull.h"
#include "transport/platform_log.h"

#define KEPT_BYTES_MAX (2 * 1024 * 1024) /* records kept for peers */
/* Between two checkpoints, however few records the log retains. */
#define CHECKPOINT_INTERVAL_MIN_US (2 * USEC_PER_SEC)

struct state_stream {
	struct state_stream_options opts;
	struct log_follower *follower;
	struct state_offer *offer;
	struct state_pull *pull;
	struct checkpoint_reader *reader;
	struct checkpoint_writer *writer;
	/*
	 * Next offset to search for a complete checkpoint, because the log has
	 * dropped records that the fold has not read; 0: no search.
	 */
	uint64_t scan_offset;
	uint64_t log_first; /* oldest offset in the log, as of the last read */
	bool synced; /* has been as new as a peer or a checkpoint */
	uint64_t checkpoint_position; /* of the newest complete one; 0: none */
	/* When that was read, or when this daemon last began to write one. */
	int64_t checkpoint_us;
	int64_t *version_gauge;
	uint64_t *undecodable_total;
	uint64_t *pulls_total;
	uint64_t *restores_total;
	uint64_t *checkpoints_total;
};

static uint64_t
position_of(void *ctx)
{
	const struct state_stream *st = ctx;

	return st->opts.codec->position(st->opts.fold);
}

static uint64_t
version_of(void *ctx)
{
	const struct state_stream *st = ctx;

	return st->opts.codec->version(st->opts.fold);
}

static void *
encode(void *ctx, size_t *len)
{
	const struct state_stream *st = ctx;

	return st->opts.codec->encode(st->opts.fold, len);
}

static int
restore(void *ctx, const void *data, size_t len)
{
	struct state_stream *st = ctx;

	return st->opts.codec->restore(st->opts.fold, data, len);
}

static bool
may_restore(void *ctx)
{
	const struct state_stream *st = ctx;

	return st->opts.may_restore(st->opts.ctx);
}

static void
fold_changed(struct state_stream *st)
{
	*st->version_gauge = (int64_t)version_of(st);
	st->opts.fold_changed(st->opts.ctx);
}

/* ---- snapshots ---- */

static void
end_scan(struct state_stream *st)
{
	st->scan_offset = 0;
	checkpoint_reader_reset(st->reader, false);
}

static void
note_restored(struct state_stream *st, const char *from)
{
	st->synced = true;
	end_scan(st);
	log_info(st->opts.logger, "snapshot restored",
	    LF_S("stream", st->opts.codec->stream), LF_S("from", from),
	    LF_I("version", version_of(st)));
}

static void
on_pulled(void *ctx, bool snapshot, bool up_to_date)
{
	struct state_stream *st = ctx;

	(*st->pulls_total)++;
	if (snapshot)
		note_restored(st, "peer");
	st->synced = st->synced || up_to_date;
	fold_changed(st);
}

/* ---- records ---- */

static void
note_checkpoint(struct state_stream *st, const struct checkpoint *checkpoint)
{
	if (checkpoint->position <= st->checkpoint_position)
		return;
	st->checkpoint_position = checkpoint->position;
	st->checkpoint_us = clock_now(st->opts.clock);
}

static void
on_chunk(void *ctx, const struct tm_checkpoint_chunk *chunk)
{
	struct state_stream *st = ctx;
	struct checkpoint complete;

	if (!checkpoint_reader_add(st->reader, chunk, &complete))
		return;
	note_checkpoint(st, &complete);
	/* Records from its position up to log_first would be missing. */
	if (st->scan_offset == 0 || complete.position < st->log_first ||
	    restore(st, complete.data, complete.len) == -1)
		return;
	(*st->restores_total)++;
	note_restored(st, "checkpoint");
}

static void
fold_record(void *ctx, uint64_t offset, const void *data, size_t len)
{
	struct state_stream *st = ctx;

	if (offset < position_of(st))
		return;
	state_offer_add_record(st->offer, offset, data, len);
	if (st->opts.codec->read_record(
		st->opts.fold, offset, data, len, true, on_chunk, st) == -1)
		(*st->undecodable_total)++;
}

static void
scan_batch(struct state_stream *st, const struct log_batch *batch)
{
	for (size_t i = 0; st->scan_offset != 0 && i < batch->count; i++) {
		const struct log_record *rec = &batch->records[i];

		st->scan_offset = rec->offset + 1;
		(void)st->opts.codec->read_record(st->opts.fold, rec->offset,
		    rec->data, rec->len, false, on_chunk, st);
	}
}

static void
begin_scan(struct state_stream *st, const struct log_batch *batch)
{
	if (st->scan_offset == 0) {
		log_warn(st->opts.logger,
		    "the log has dropped records that were not read",
		    LF_S("stream", st->opts.codec->stream),
		    LF_I("needed", position_of(st)),
		    LF_I("first", batch->first));
		checkpoint_reader_reset(st->reader, true);
	}
	st->scan_offset = batch->first;
}

static uint64_t
next_offset(void *ctx)
{
	struct state_stream *st = ctx;

	return st->scan_offset != 0 ? st->scan_offset : position_of(st);
}

static void
on_batch(void *ctx, const struct log_batch *batch)
{
	struct state_stream *st = ctx;

	if (batch->status == LOG_EXPIRED) {
		begin_scan(st, batch);
		return;
	}
	st->log_first = batch->first;
	if (st->scan_offset != 0) {
		/* A pull from a peer may have closed the gap meanwhile. */
		if (position_of(st) >= batch->first)
			end_scan(st);
		else
			scan_batch(st, batch);
	} else {
		for (size_t i = 0; i < batch->count; i++)
			fold_record(st, batch->records[i].offset,
			    batch->records[i].data, batch->records[i].len);
	}
	fold_changed(st);
}

/* ---- interface ---- */

const char *
state_stream_unready_reason(const struct state_stream *st)
{
	if (st->scan_offset != 0)
		return "the log has dropped records that were not read, and "
		       "neither a checkpoint nor a peer has replaced them";
	if (!st->synced && !log_follower_caught_up(st->follower))
		return "the state has not been read from the log or a peer yet";
	return NULL;
}

int64_t
state_stream_last_log_contact(const struct state_stream *st)
{
	return log_follower_last_contact(st->follower);
}

void
state_stream_write_checkpoint(struct state_stream *st)
{
	int64_t now = clock_now(st->opts.clock);
	struct checkpoint_state state = {
		.first = log_follower_first_offset(st->follower),
		.end = position_of(st),
		.checkpoint_position =
		    st->checkpoint_position != 0 ? st->checkpoint_position : 1,
		.checkpoint_us = st->checkpoint_us,
	};
	void *data;
	size_t len;

	if (st->scan_offset != 0 || checkpoint_writer_busy(st->writer) ||
	    now - st->checkpoint_us < CHECKPOINT_INTERVAL_MIN_US ||
	    !checkpoint_due(&st->opts.checkpoints, &state, now))
		return;
	data = encode(st, &len);
	if (data == NULL)
		return;
	st->checkpoint_us = now;
	(*st->checkpoints_total)++;
	checkpoint_writer_start(st->writer, state.end, data, len);
}

void
state_stream_pull(
    struct state_stream *st, struct rpc_conn *conn, uint64_t peer_version)
{
	state_pull_start(st->pull, conn, peer_version);
}

void
state_stream_conn_closed(struct state_stream *st, struct rpc_conn *conn)
{
	state_pull_conn_closed(st->pull, conn);
}

void
state_stream_handle_pull(struct state_stream *st, struct rpc_call *call,
    const struct tm_pull_args *args)
{
	state_offer_handle_pull(st->offer, call, args);
}

/* ---- creation and destruction ---- */

static void
create_follower(struct state_stream *st)
{
	const struct state_stream_options *o = &st->opts;
	struct log_follower_options f = {
		.base = o->base,
		.clock = o->clock,
		.logger = o->logger,
		.log = o->log,
		.stream = o->codec->stream,
		.poll_us = o->poll_us,
		.retry_us = o->retry_us,
		.position = next_offset,
		.batch = on_batch,
		.ctx = st,
	};

	st->follower = log_follower_create(&f);
}

static void
create_peer_sync(struct state_stream *st)
{
	struct state_offer_options offer = {
		.max_bytes = KEPT_BYTES_MAX,
		.max_records = st->opts.keep_records,
		.position = position_of,
		.version = version_of,
		.encode = encode,
		.ctx = st,
	};
	struct state_pull_options pull = {
		.stream = st->opts.codec->stream_id,
		.position = position_of,
		.version = version_of,
		.fold = fold_record,
		.may_restore = may_restore,
		.restore = restore,
		.pulled = on_pulled,
		.ctx = st,
	};

	st->offer = state_offer_create(&offer);
	st->pull = state_pull_create(&pull);
}

static void
create_checkpoints(struct state_stream *st)
{
	struct checkpoint_writer_options writer = {
		.base = st->opts.base,
		.log = st->opts.log,
		.stream = st->opts.codec->stream_id,
		.retry_us = st->opts.retry_us,
	};

	st->reader = checkpoint_reader_create();
	st->writer = checkpoint_writer_create(&writer);
	st->checkpoint_us = clock_now(st->opts.clock);
}

static void
create_metrics(struct state_stream *st)
{
	struct metrics *m = st->opts.metrics;

	st->version_gauge = metrics_gauge(m,
	    st->opts.codec->stream_id == TM_STREAM_CONFIG ? "config_version"
							  : "control_version",
	    "");
	st->undecodable_total =
	    metrics_counter(m, "log_undecodable_records_total", "");
	st->pulls_total = metrics_counter(m, "state_pulls_total", "");
	st->restores_total =
	    metrics_counter(m, "checkpoint_restores_total", "");
	st->checkpoints_total =
	    metrics_counter(m, "checkpoints_begun_total", "");
}

struct state_stream *
state_stream_create(const struct state_stream_options *opts)
{
	struct state_stream *st = calloc(1, sizeof(*st));

	if (st == NULL)
		abort();
	st->opts = *opts;
	create_metrics(st);
	create_checkpoints(st);
	create_peer_sync(st);
	create_follower(st);
	return st;
}

void
state_stream_destroy(struct state_stream *st)
{
	if (st == NULL)
		return;
	log_follower_destroy(st->follower);
	checkpoint_writer_destroy(st->writer);
	checkpoint_reader_destroy(st->reader);
	state_pull_destroy(st->pull);
	state_offer_destroy(st->offer);
	free(st);
}
