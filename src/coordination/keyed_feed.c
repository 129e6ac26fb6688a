#include "coordination/keyed_feed.h"

#include <stdlib.h>

#include <bsd/string.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/process.h"
#include "common/rng.h"

#define RETRY_FIRST_US (100 * USEC_PER_MSEC)
/* Longest pauses: of one that knows nothing yet, and of one that does. */
#define RETRY_NEW_US (800 * USEC_PER_MSEC)
#define RETRY_MAX_US (2 * USEC_PER_SEC) /* each call has its price */

struct keyed_feed {
	struct keyed_feed_options opts;
	struct event *timer;
	struct rng rng;
	bool complete;
	bool in_snapshot;
	char after[FLEET_ID_MAX];
	uint64_t snapshot_end; /* of its first page */
	uint64_t next;
	int64_t contact_since_us; /* -1: none */
	int64_t retry_us;
};

static void on_read(void *, const struct fleet_batch *);
static void on_page(void *, const struct fleet_batch *);

static void
note_contact(struct keyed_feed *f, const struct fleet_batch *batch)
{
	struct process *p = f->opts.process;
	bool up = batch->status == FLEET_OK || batch->status == FLEET_EXPIRED;

	if (up && f->contact_since_us == -1) {
		f->contact_since_us = clock_now(p->clock);
		log_info(p->logger, "store reached", LF_S("feed", f->opts.name),
		    LF_I("next", f->next));
	} else if (!up && f->contact_since_us != -1) {
		f->contact_since_us = -1;
		log_warn(p->logger, "store lost", LF_S("feed", f->opts.name),
		    LF_I("status", batch->status), LF_I("next", f->next));
	}
}

static void
start_snapshot(struct keyed_feed *f)
{
	f->in_snapshot = true;
	f->after[0] = '\0';
	f->opts.ops->snapshot(
	    f->opts.store, f->opts.topic, f->after, on_page, f);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct keyed_feed *f = arg;

	if (!f->complete || f->in_snapshot)
		start_snapshot(f);
	else
		f->opts.ops->read(f->opts.store, f->opts.topic, f->next,
		    f->opts.wait_us, on_read, f);
}

/* Waits longer after each failure, and unlike other daemons. */
static void
retry(struct keyed_feed *f)
{
	int64_t most = f->complete ? RETRY_MAX_US : RETRY_NEW_US;
	int64_t pause =
	    (int64_t)((double)f->retry_us * (0.5 + 0.5 * rng_real(&f->rng)));

	process_timer_add(f->timer, pause);
	f->retry_us *= 2;
	if (f->retry_us > most)
		f->retry_us = most;
}

static void
tell(struct keyed_feed *f, const struct fleet_batch *batch)
{
	for (size_t i = 0; i < batch->count; i++)
		f->opts.record(f->opts.ctx, &batch->records[i]);
}

static void
on_page(void *ctx, const struct fleet_batch *batch)
{
	struct keyed_feed *f = ctx;
	const struct fleet_record *last;

	note_contact(f, batch);
	if (batch->status != FLEET_OK) {
		retry(f);
		return;
	}
	f->retry_us = RETRY_FIRST_US;
	if (f->after[0] == '\0') {
		/* Later pages may show later records; those are read again. */
		f->snapshot_end = batch->end;
		f->opts.snapshot_begin(f->opts.ctx);
	}
	tell(f, batch);
	if (batch->more && batch->count > 0) {
		last = &batch->records[batch->count - 1];
		strlcpy(f->after, last->key, sizeof(f->after));
		f->opts.ops->snapshot(
		    f->opts.store, f->opts.topic, f->after, on_page, f);
		return;
	}
	f->in_snapshot = false;
	f->complete = true;
	f->next = f->snapshot_end;
	f->opts.snapshot_end(f->opts.ctx);
	process_timer_add(f->timer, 0);
}

static void
on_read(void *ctx, const struct fleet_batch *batch)
{
	struct keyed_feed *f = ctx;

	note_contact(f, batch);
	if (batch->status == FLEET_EXPIRED) {
		log_warn(f->opts.process->logger, "records expired",
		    LF_S("feed", f->opts.name), LF_I("next", f->next));
		start_snapshot(f);
		return;
	}
	if (batch->status != FLEET_OK) {
		retry(f);
		return;
	}
	f->retry_us = RETRY_FIRST_US;
	tell(f, batch);
	if (batch->count > 0)
		f->next = batch->records[batch->count - 1].offset + 1;
	process_timer_add(f->timer, f->opts.pause_us);
}

struct keyed_feed *
keyed_feed_create(const struct keyed_feed_options *opts)
{
	struct keyed_feed *f = calloc(1, sizeof(*f));

	if (f == NULL)
		return NULL;
	f->opts = *opts;
	f->contact_since_us = -1;
	f->retry_us = RETRY_FIRST_US;
	rng_seed_system(&f->rng);
	f->timer = process_timer_new(opts->process, on_timer, f);
	start_snapshot(f);
	return f;
}

void
keyed_feed_destroy(struct keyed_feed *f)
{
	if (f == NULL)
		return;
	event_free(f->timer);
	free(f);
}

bool
keyed_feed_complete(const struct keyed_feed *f)
{
	return f->complete;
}

int64_t
keyed_feed_contact_since(const struct keyed_feed *f)
{
	return f->contact_since_us;
}
