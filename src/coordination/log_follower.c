#include "coordination/log_follower.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "transport/platform_log.h"

#define DELIVERY_RECORDS_MAX 1000 /* per turn of the event loop */

struct log_follower {
	struct log_follower_options opts;
	struct event *timer;
	int64_t read_sent_us; /* of the pending read */
	int64_t last_contact_us; /* see log_follower_last_contact() */
	uint64_t first; /* oldest offset in the log, at the newest answer */
	uint64_t initial_end; /* end of the stream at the first answer */
	bool failing; /* the last read failed */
	/* Copy of a batch that is too large to be delivered in one turn. */
	struct log_batch large_batch;
	struct log_record *records; /* NULL: no such batch */
	char *bytes; /* the records' data */
	size_t delivered; /* records passed to batch() */
};

static void read_next(struct log_follower *);
static void deliver_next(struct log_follower *);

static void
schedule(struct log_follower *f, int64_t delay_us)
{
	struct timeval tv = clock_timeval(delay_us);

	evtimer_add(f->timer, &tv);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct log_follower *f = arg;

	if (f->records != NULL)
		deliver_next(f);
	else
		read_next(f);
}

/* ---- large batches ---- */

static void
drop_large_batch(struct log_follower *f)
{
	free(f->records);
	free(f->bytes);
	f->records = NULL;
	f->bytes = NULL;
	f->delivered = 0;
}

/* Delivers one part per turn of the loop, to let other events run. */
static void
deliver_next(struct log_follower *f)
{
	struct log_batch slice = f->large_batch;
	size_t left = f->large_batch.count - f->delivered;

	slice.records = f->records + f->delivered;
	slice.count = left < DELIVERY_RECORDS_MAX ? left : DELIVERY_RECORDS_MAX;
	f->delivered += slice.count;
	f->opts.batch(f->opts.ctx, &slice);
	if (f->delivered == f->large_batch.count)
		drop_large_batch(f);
	schedule(f, 0);
}

static void
copy_large_batch(struct log_follower *f, const struct log_batch *batch)
{
	size_t len = 0, pos = 0;

	for (size_t i = 0; i < batch->count; i++)
		len += batch->records[i].len;
	f->large_batch = *batch;
	f->records = calloc(batch->count, sizeof(*f->records));
	f->bytes = malloc(len + 1);
	if (f->records == NULL || f->bytes == NULL)
		abort();
	for (size_t i = 0; i < batch->count; i++) {
		const struct log_record *in = &batch->records[i];

		memcpy(f->bytes + pos, in->data, in->len);
		f->records[i] = *in;
		f->records[i].data = f->bytes + pos;
		pos += in->len;
	}
}

static void
note_failure(struct log_follower *f)
{
	if (!f->failing)
		log_warn(f->opts.logger, "log service does not answer",
		    LF_S("stream", f->opts.stream));
	f->failing = true;
	schedule(f, f->opts.retry_us);
}

static void
on_batch(void *ctx, const struct log_batch *batch)
{
	struct log_follower *f = ctx;

	if (batch->status != LOG_OK && batch->status != LOG_EXPIRED) {
		note_failure(f);
		return;
	}
	if (f->failing)
		log_info(f->opts.logger, "log service answers again",
		    LF_S("stream", f->opts.stream));
	f->failing = false;
	f->last_contact_us = f->read_sent_us;
	f->first = batch->first;
	if (f->initial_end == 0)
		f->initial_end = batch->end;
	if (batch->count > DELIVERY_RECORDS_MAX) {
		copy_large_batch(f, batch);
		deliver_next(f);
		return;
	}
	if (batch->count > 0 || batch->status == LOG_EXPIRED)
		f->opts.batch(f->opts.ctx, batch);
	/* By the timer, so that other events run between two reads. */
	schedule(f, batch->status == LOG_EXPIRED ? f->opts.retry_us : 0);
}

/* The first read doesn't wait: its answer has the end of an empty stream. */
static void
read_next(struct log_follower *f)
{
	f->read_sent_us = clock_now(f->opts.clock);
	f->opts.log->ops->read(f->opts.log->priv, f->opts.stream,
	    f->opts.position(f->opts.ctx),
	    f->last_contact_us == 0 ? 0 : f->opts.poll_us, on_batch, f);
}

struct log_follower *
log_follower_create(const struct log_follower_options *opts)
{
	struct log_follower *f = calloc(1, sizeof(*f));

	if (f == NULL)
		return NULL;
	f->opts = *opts;
	f->timer = evtimer_new(opts->base, on_timer, f);
	if (f->timer == NULL) {
		free(f);
		return NULL;
	}
	schedule(f, 0);
	return f;
}

void
log_follower_destroy(struct log_follower *f)
{
	if (f == NULL)
		return;
	event_free(f->timer);
	drop_large_batch(f);
	free(f);
}

int64_t
log_follower_last_contact(const struct log_follower *f)
{
	return f->last_contact_us;
}

uint64_t
log_follower_first_offset(const struct log_follower *f)
{
	return f->first;
}

bool
log_follower_caught_up(const struct log_follower *f)
{
	return f->initial_end != 0 &&
	       f->opts.position(f->opts.ctx) >= f->initial_end;
}
