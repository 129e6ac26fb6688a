#include "coordination/state_stream.h"

#include <stdlib.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/log_follower.h"
#include "coordination/state_offer.h"
#include "coordination/state_pull.h"
#include "transport/platform_log.h"

#define KEPT_BYTES (2 * 1024 * 1024) /* of records remembered for peers */
#define CHECKPOINT_GAP_US                                                      \
	(2 * USEC_PER_SEC) /* shortest, however small the log */

struct state_stream {
	struct state_stream_options opts;
	struct log_follower *follower;
	struct state_offer *offer;
	struct state_pull *pull;
	struct checkpoint_reader *reader;
	struct checkpoint_writer *writer;
	/*
	 * Not 0: the log has dropped the records that the fold needs next, and
	 * is searched for a whole checkpoint from here on.
	 */
	uint64_t scan;
	uint64_t first; /* oldest record kept, in the batch being read */
	bool level; /* once as new as a peer, or a whole checkpoint */
	uint64_t checkpoint; /* position of the newest whole one; 0: none */
	int64_t checkpoint_us; /* when it was read, or ours was begun */
	int64_t *version_gauge;
	uint64_t *undecodable;
	uint64_t *pulls;
	uint64_t *restores;
	uint64_t *checkpoints;
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
moved(struct state_stream *st)
{
	*st->version_gauge = (int64_t)version_of(st);
	st->opts.moved(st->opts.ctx);
}

/* ---- whole states ---- */

static void
end_scan(struct state_stream *st)
{
	st->scan = 0;
	checkpoint_reader_reset(st->reader, false);
}

static void
restored(struct state_stream *st, const char *from)
{
	st->level = true;
	end_scan(st);
	log_info(st->opts.logger, "whole state taken",
	    LF_S("stream", st->opts.codec->stream), LF_S("from", from),
	    LF_I("version", version_of(st)));
}

static void
on_taken(void *ctx, bool whole, bool level)
{
	struct state_stream *st = ctx;

	(*st->pulls)++;
	if (whole)
		restored(st, "peer");
	st->level = st->level || level;
	moved(st);
}

/* ---- records ---- */

static void
note_whole(struct state_stream *st, const struct checkpoint *whole)
{
	if (whole->position <= st->checkpoint)
		return;
	st->checkpoint = whole->position;
	st->checkpoint_us = clock_now(st->opts.clock);
}

static void
on_chunk(void *ctx, const struct tm_checkpoint_chunk *chunk)
{
	struct state_stream *st = ctx;
	struct checkpoint whole;

	if (!checkpoint_reader_add(st->reader, chunk, &whole))
		return;
	note_whole(st, &whole);
	/* Records between its position and `first` would be missing. */
	if (st->scan == 0 || whole.position < st->first ||
	    restore(st, whole.data, whole.len) == -1)
		return;
	(*st->restores)++;
	restored(st, "checkpoint");
}

static void
fold_record(void *ctx, uint64_t offset, const void *data, size_t len)
{
	struct state_stream *st = ctx;

	if (offset < position_of(st))
		return;
	state_offer_add_record(st->offer, offset, data, len);
	if (st->opts.codec->record(
		st->opts.fold, offset, data, len, true, on_chunk, st) == -1)
		(*st->undecodable)++;
}

static void
scan_batch(struct state_stream *st, const struct log_batch *batch)
{
	for (size_t i = 0; st->scan != 0 && i < batch->count; i++) {
		const struct log_record *rec = &batch->records[i];

		st->scan = rec->offset + 1;
		(void)st->opts.codec->record(st->opts.fold, rec->offset,
		    rec->data, rec->len, false, on_chunk, st);
	}
}

static void
begin_scan(struct state_stream *st, const struct log_batch *batch)
{
	if (st->scan == 0) {
		log_warn(st->opts.logger,
		    "the log has dropped records that were not read",
		    LF_S("stream", st->opts.codec->stream),
		    LF_I("needed", position_of(st)),
		    LF_I("first", batch->first));
		checkpoint_reader_reset(st->reader, true);
	}
	st->scan = batch->first;
}

static uint64_t
read_from(void *ctx)
{
	struct state_stream *st = ctx;

	return st->scan != 0 ? st->scan : position_of(st);
}

static void
on_batch(void *ctx, const struct log_batch *batch)
{
	struct state_stream *st = ctx;

	if (batch->status == LOG_EXPIRED) {
		begin_scan(st, batch);
		return;
	}
	st->first = batch->first;
	if (st->scan != 0) {
		/* Records from a peer may have closed the gap meanwhile. */
		if (position_of(st) >= batch->first)
			end_scan(st);
		else
			scan_batch(st, batch);
	} else {
		for (size_t i = 0; i < batch->count; i++)
			fold_record(st, batch->records[i].offset,
			    batch->records[i].data, batch->records[i].len);
	}
	moved(st);
}

/* ---- what the store asks ---- */

const char *
state_stream_unready_reason(const struct state_stream *st)
{
	if (st->scan != 0)
		return "the log has dropped records that were not read, and "
		       "neither a checkpoint nor a peer has replaced them";
	if (!st->level && !log_follower_caught_up(st->follower))
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
		.checkpoint_position = st->checkpoint != 0 ? st->checkpoint : 1,
		.checkpoint_us = st->checkpoint_us,
	};
	void *data;
	size_t len;

	if (st->scan != 0 || checkpoint_writer_busy(st->writer) ||
	    now - st->checkpoint_us < CHECKPOINT_GAP_US ||
	    !checkpoint_due(&st->opts.checkpoints, &state, now))
		return;
	data = encode(st, &len);
	if (data == NULL)
		return;
	st->checkpoint_us = now;
	(*st->checkpoints)++;
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

/* ---- life ---- */

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
		.position = read_from,
		.batch = on_batch,
		.ctx = st,
	};

	st->follower = log_follower_create(&f);
}

static void
create_sharing(struct state_stream *st)
{
	struct state_offer_options offer = {
		.max_bytes = KEPT_BYTES,
		.max_records = st->opts.keep_records,
		.position = position_of,
		.version = version_of,
		.encode = encode,
		.ctx = st,
	};
	struct state_pull_options pull = {
		.stream = st->opts.codec->id,
		.position = position_of,
		.version = version_of,
		.fold = fold_record,
		.may_restore = may_restore,
		.restore = restore,
		.taken = on_taken,
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
		.stream = st->opts.codec->id,
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
	    st->opts.codec->id == TM_STREAM_CONFIG ? "config_version"
						   : "control_version",
	    "");
	st->undecodable =
	    metrics_counter(m, "log_undecodable_records_total", "");
	st->pulls = metrics_counter(m, "state_pulls_total", "");
	st->restores = metrics_counter(m, "checkpoint_restores_total", "");
	st->checkpoints = metrics_counter(m, "checkpoints_begun_total", "");
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
	create_sharing(st);
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
