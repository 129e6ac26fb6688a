#include "coordination/keyed_feed.h"

#include <stdlib.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/process.h"
#include "common/rng.h"

/*
 * The pause after a failed read doubles up to a maximum.  It is short until the
 * first snapshot has been read; later it is longer, since each call has a cost.
 */
#define RETRY_MIN_US (100 * USEC_PER_MSEC)
#define RETRY_INITIAL_MAX_US (800 * USEC_PER_MSEC)
#define RETRY_MAX_US (2 * USEC_PER_SEC)
/* For the answer that a read in progress gets with the same records. */
#define HINT_WAIT_US (200 * USEC_PER_MSEC)
#define HINT_RETRY_US (2 * USEC_PER_SEC) /* the store may still be silent */
#define HINT_READS_MAX 3 /* for one offset */
/*
 * From the begin of a read to its first check.  A silence that is shorter, and
 * falls in between, stays unnoticed until the next check.
 */
#define FIRST_CHECK_US (300 * USEC_PER_MSEC)
/* While the feed pauses, the record arrives in another way by then. */
#define PAUSED_WAIT_US (1 * USEC_PER_SEC)

/* A read in progress. */
struct feed_read {
	struct keyed_feed *feed;
	LIST_ENTRY(feed_read) link;
};

struct keyed_feed {
	struct keyed_feed_options opts;
	struct event *timer;
	struct rng rng;
	bool complete; /* a snapshot has been read */
	bool in_snapshot; /* one is being read */
	char after_key[FLEET_ID_MAX]; /* last key read of it; "": none */
	uint64_t snapshot_end_offset; /* end of the topic at its first page */
	uint64_t next_offset; /* to read */
	uint64_t era; /* of the store, that next_offset belongs to; 0: none */
	int64_t contact_since_us; /* -1: none, or the last read failed */
	int64_t retry_us; /* next pause after a failed read, before jitter */
	/* The newest read; NULL: none.  Answers to older ones are ignored. */
	struct feed_read *read;
	struct feed_read *check; /* the newest read's; NULL: none */
	bool check_failed; /* the last one of the newest read */
	bool paused;
	/* Only with newest_only: */
	bool suspect; /* the last check has shown more than the feed has */
	struct event *check_timer;
	LIST_HEAD(, feed_read) reads;
	struct event *hint_timer;
	uint64_t hint; /* the highest offset that another daemon has read to */
	unsigned hint_reads; /* because of it */
};

static void add_check_timer(struct keyed_feed *);
static void on_read(void *, const struct fleet_batch *);
static void on_page(void *, const struct fleet_batch *);
static void on_check(void *, const struct fleet_batch *);

static void
note_contact(struct keyed_feed *f, const struct fleet_batch *batch)
{
	struct process *p = f->opts.process;
	bool up = batch->status == FLEET_OK || batch->status == FLEET_EXPIRED;

	if (up && f->contact_since_us == -1) {
		f->contact_since_us = clock_now(p->clock);
		log_info(p->logger, "store reached", LF_S("feed", f->opts.name),
		    LF_I("next", f->next_offset));
	} else if (!up && f->contact_since_us != -1) {
		f->contact_since_us = -1;
		log_warn(p->logger, "store lost", LF_S("feed", f->opts.name),
		    LF_I("status", batch->status),
		    LF_I("next", f->next_offset));
	}
}

enum era_change {
	ERA_SAME,
	ERA_NEWER, /* the store came back from a copy */
	ERA_OLDER, /* a late answer */
};

/* Offsets and hints belong to the era that they were read in. */
static enum era_change
note_era(struct keyed_feed *f, const struct fleet_batch *batch)
{
	uint64_t was = f->era;

	if (batch->era == 0 || batch->era == was)
		return ERA_SAME;
	if (batch->era < was)
		return ERA_OLDER;
	f->era = batch->era;
	if (was == 0)
		return ERA_SAME;
	f->hint = 0;
	log_warn(f->opts.process->logger, "store came back from a copy",
	    LF_S("feed", f->opts.name), LF_I("era", batch->era),
	    LF_I("was", was), LF_I("next", f->next_offset));
	return ERA_NEWER;
}

static void
start_snapshot(struct keyed_feed *f)
{
	f->in_snapshot = true;
	f->after_key[0] = '\0';
	f->opts.ops->snapshot(
	    f->opts.store, f->opts.topic, f->after_key, on_page, f);
}

static struct feed_read *
new_read(struct keyed_feed *f)
{
	struct feed_read *read = calloc(1, sizeof(*read));

	if (read == NULL)
		abort();
	read->feed = f;
	LIST_INSERT_HEAD(&f->reads, read, link);
	return read;
}

/*
 * A read that waits begins only once the store has answered one that does not:
 * it would be swallowed if the store were still silent.
 */
static void
start_read(struct keyed_feed *f)
{
	int64_t wait_us = f->contact_since_us == -1 ? 0 : f->opts.poll_us;

	f->read = new_read(f);
	f->check = NULL;
	f->check_failed = false;
	f->suspect = false;
	event_del(f->check_timer);
	if (f->opts.check && wait_us > 0)
		process_timer_add(f->check_timer, FIRST_CHECK_US);
	f->opts.ops->read(f->opts.store, f->opts.topic, f->next_offset, wait_us,
	    on_read, f->read);
}

static void
on_check_timer(evutil_socket_t fd, short what, void *arg)
{
	struct keyed_feed *f = arg;

	if (f->read == NULL && !f->paused)
		return;
	f->check = new_read(f);
	if (f->opts.newest_only)
		f->opts.ops->read_end(
		    f->opts.store, f->opts.topic, on_check, f->check);
	else
		f->opts.ops->read(f->opts.store, f->opts.topic, f->next_offset,
		    0, on_check, f->check);
}

/* The newest read has ended, or is given up. */
static void
end_read(struct keyed_feed *f)
{
	f->read = NULL;
	f->check = NULL;
	event_del(f->check_timer);
}

static void
cancel_read(struct keyed_feed *f, struct feed_read *read)
{
	if (read == NULL)
		return;
	f->opts.ops->cancel(f->opts.store, read);
	LIST_REMOVE(read, link);
	free(read);
}

static void
cancel_reads(struct keyed_feed *f)
{
	cancel_read(f, f->read);
	cancel_read(f, f->check);
	end_read(f);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct keyed_feed *f = arg;

	if (!f->complete || f->in_snapshot)
		start_snapshot(f);
	else if (f->paused)
		add_check_timer(f);
	else
		start_read(f);
}

static void
on_hint_timer(evutil_socket_t fd, short what, void *arg)
{
	struct keyed_feed *f = arg;

	if (f->next_offset >= f->hint || f->hint_reads == HINT_READS_MAX)
		return;
	if (f->read != NULL) {
		f->hint_reads++;
		log_info(f->opts.process->logger, "read again",
		    LF_S("feed", f->opts.name), LF_I("next", f->next_offset),
		    LF_I("hint", f->hint));
		start_read(f);
		if (f->opts.deaf != NULL)
			f->opts.deaf(f->opts.ctx);
	}
	process_timer_add(f->hint_timer, HINT_RETRY_US);
}

void
keyed_feed_set_check_pause(struct keyed_feed *f, int64_t us)
{
	f->opts.check_pause_us = us;
}

void
keyed_feed_read_again(struct keyed_feed *f)
{
	if (f->read == NULL || keyed_feed_receives(f))
		return;
	if (f->opts.newest_only)
		cancel_reads(f);
	start_read(f);
}

bool
keyed_feed_receives(const struct keyed_feed *f)
{
	const void *ctx = f->in_snapshot ? (const void *)f : f->read;

	return ctx != NULL && f->opts.newest_only &&
	       f->opts.ops->answers(f->opts.store, ctx);
}

void
keyed_feed_pause(struct keyed_feed *f, bool pause)
{
	if (f->paused == pause)
		return;
	f->paused = pause;
	f->suspect = false;
	log_info(f->opts.process->logger,
	    pause ? "feed paused" : "feed goes on", LF_S("feed", f->opts.name),
	    LF_I("next", f->next_offset));
	if (!f->complete || f->in_snapshot)
		return;
	cancel_reads(f);
	process_timer_add(f->timer, 0);
}

void
keyed_feed_skip(struct keyed_feed *f, uint64_t offset)
{
	if (offset <= f->next_offset || !f->complete || f->in_snapshot)
		return;
	f->next_offset = offset;
	f->suspect = false;
	if (f->read == NULL)
		return;
	cancel_reads(f);
	process_timer_add(f->timer, 0);
}

void
keyed_feed_hint(struct keyed_feed *f, uint64_t offset)
{
	if (offset <= f->hint)
		return;
	f->hint = offset;
	f->hint_reads = 0;
	if (f->next_offset < offset &&
	    !event_pending(f->hint_timer, EV_TIMEOUT, NULL))
		process_timer_add(f->hint_timer, HINT_WAIT_US);
}

/* With jitter, so that the daemons do not all call the store at once. */
static void
add_retry_timer(struct keyed_feed *f, struct event *timer)
{
	int64_t max_us = f->complete ? RETRY_MAX_US : RETRY_INITIAL_MAX_US;
	int64_t pause =
	    (int64_t)((double)f->retry_us * (0.5 + 0.5 * rng_real(&f->rng)));

	process_timer_add(timer, pause);
	f->retry_us *= 2;
	if (f->retry_us > max_us)
		f->retry_us = max_us;
}

static void
retry(struct keyed_feed *f)
{
	add_retry_timer(f, f->timer);
}

static void
report_records(struct keyed_feed *f, const struct fleet_batch *batch)
{
	for (size_t i = 0; i < batch->count; i++)
		f->opts.record(f->opts.ctx, &batch->records[i]);
}

static void
on_page(void *ctx, const struct fleet_batch *batch)
{
	struct keyed_feed *f = ctx;
	const struct fleet_record *last;
	enum era_change era = note_era(f, batch);

	note_contact(f, batch);
	if (batch->status != FLEET_OK || era == ERA_OLDER) {
		retry(f);
		return;
	}
	if (era == ERA_NEWER && f->after_key[0] != '\0') {
		start_snapshot(f); /* the first pages were of the older era */
		return;
	}
	f->retry_us = RETRY_MIN_US;
	if (f->after_key[0] == '\0') {
		/* Later pages may have newer records, which are read twice. */
		f->snapshot_end_offset = batch->end;
		f->opts.snapshot_begin(f->opts.ctx);
	}
	report_records(f, batch);
	if (batch->more && batch->count > 0) {
		last = &batch->records[batch->count - 1];
		strlcpy(f->after_key, last->key, sizeof(f->after_key));
		f->opts.ops->snapshot(
		    f->opts.store, f->opts.topic, f->after_key, on_page, f);
		return;
	}
	f->in_snapshot = false;
	f->complete = true;
	f->next_offset = f->snapshot_end_offset;
	f->opts.snapshot_end(f->opts.ctx);
	process_timer_add(f->timer, 0);
}

static void
apply_read(struct keyed_feed *f, const struct fleet_batch *batch)
{
	enum era_change era = note_era(f, batch);

	end_read(f);
	note_contact(f, batch);
	if (era == ERA_NEWER) {
		start_snapshot(f);
		return;
	}
	if (batch->status == FLEET_EXPIRED) {
		log_warn(f->opts.process->logger, "records expired",
		    LF_S("feed", f->opts.name), LF_I("next", f->next_offset));
		start_snapshot(f);
		return;
	}
	if (batch->status != FLEET_OK || era == ERA_OLDER) {
		retry(f);
		return;
	}
	f->retry_us = RETRY_MIN_US;
	report_records(f, batch);
	f->next_offset = batch->next;
	if (f->opts.newest_only && batch->end > batch->next + 1)
		start_snapshot(f); /* all but the last are outdated */
	else
		process_timer_add(f->timer, f->opts.pause_us);
}

static void
on_read(void *ctx, const struct fleet_batch *batch)
{
	struct feed_read *read = ctx;
	struct keyed_feed *f = read->feed;
	bool newest = f->read == read;

	LIST_REMOVE(read, link);
	free(read);
	if (newest)
		apply_read(f, batch);
}

static void
add_check_timer(struct keyed_feed *f)
{
	int64_t pause = f->opts.check_pause_us;

	/* With jitter, so that gateways do not all check at the same time. */
	if (pause > 0)
		process_timer_add(f->check_timer,
		    (int64_t)((double)pause *
			      (0.75 + 0.5 * rng_real(&f->rng))));
}

/* Whether a check shows that the store has more than the feed. */
static bool
shows_more(const struct keyed_feed *f, const struct fleet_batch *check)
{
	if (check->status == FLEET_EXPIRED)
		return true;
	return f->opts.newest_only ? check->end != f->next_offset
				   : check->count > 0;
}

/* What the store has more may arrive until the next check. */
static bool
may_arrive(struct keyed_feed *f, int64_t wait_us)
{
	if (!f->opts.newest_only || f->suspect)
		return false;
	f->suspect = true;
	process_timer_add(f->check_timer, wait_us);
	return true;
}

/* The end of the topic while the feed pauses. */
static void
apply_paused_check(struct keyed_feed *f, const struct fleet_batch *batch)
{
	note_contact(f, batch);
	if (batch->status != FLEET_OK || !shows_more(f, batch)) {
		f->suspect = false;
		add_check_timer(f);
		return;
	}
	if (may_arrive(f, PAUSED_WAIT_US))
		return;
	log_warn(f->opts.process->logger, "paused feed is behind",
	    LF_S("feed", f->opts.name), LF_I("next", f->next_offset),
	    LF_I("end", batch->end));
	start_snapshot(f);
}

/*
 * A failed check leaves the read alone, as a slow store may still answer it.
 * The first one that succeeds after that reads again.
 */
static void
on_check(void *ctx, const struct fleet_batch *batch)
{
	struct feed_read *check = ctx;
	struct keyed_feed *f = check->feed;
	bool newest = f->check == check;
	bool deaf;

	LIST_REMOVE(check, link);
	free(check);
	if (!newest)
		return;
	f->check = NULL;
	if (note_era(f, batch) == ERA_NEWER) {
		note_contact(f, batch);
		end_read(f);
		start_snapshot(f);
		return;
	}
	if (f->paused) {
		apply_paused_check(f, batch);
		return;
	}
	if (batch->status != FLEET_OK && batch->status != FLEET_EXPIRED) {
		note_contact(f, batch);
		f->check_failed = true;
		add_retry_timer(f, f->check_timer);
		return;
	}
	if (keyed_feed_receives(f))
		return;
	deaf = shows_more(f, batch);
	if (!deaf && !f->check_failed) {
		f->suspect = false;
		add_check_timer(f);
		return;
	}
	if (deaf && may_arrive(f, FIRST_CHECK_US))
		return;
	log_info(f->opts.process->logger, "read was swallowed",
	    LF_S("feed", f->opts.name), LF_I("next", f->next_offset),
	    LF_I("records", batch->count),
	    LF_I("check_failed", f->check_failed));
	if (f->opts.newest_only) {
		cancel_reads(f);
		note_contact(f, batch);
		start_read(f);
	} else {
		apply_read(f, batch);
	}
	if (f->opts.deaf != NULL)
		f->opts.deaf(f->opts.ctx);
}

struct keyed_feed *
keyed_feed_create(const struct keyed_feed_options *opts)
{
	struct keyed_feed *f = calloc(1, sizeof(*f));

	if (f == NULL)
		return NULL;
	f->opts = *opts;
	f->contact_since_us = -1;
	f->retry_us = RETRY_MIN_US;
	rng_seed_system(&f->rng);
	LIST_INIT(&f->reads);
	f->timer = process_timer_new(opts->process, on_timer, f);
	f->hint_timer = process_timer_new(opts->process, on_hint_timer, f);
	f->check_timer = process_timer_new(opts->process, on_check_timer, f);
	start_snapshot(f);
	return f;
}

void
keyed_feed_destroy(struct keyed_feed *f)
{
	struct feed_read *read;

	if (f == NULL)
		return;
	while ((read = LIST_FIRST(&f->reads)) != NULL) {
		LIST_REMOVE(read, link);
		free(read);
	}
	event_free(f->timer);
	event_free(f->hint_timer);
	event_free(f->check_timer);
	free(f);
}

bool
keyed_feed_complete(const struct keyed_feed *f)
{
	return f->complete;
}

uint64_t
keyed_feed_next_offset(const struct keyed_feed *f)
{
	return f->next_offset;
}

int64_t
keyed_feed_contact_since(const struct keyed_feed *f)
{
	return f->contact_since_us;
}
