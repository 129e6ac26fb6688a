#include "coordination/load_permit.h"

#include <endian.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/process.h"
#include "common/rng.h"
#include "coordination/load_offline.h"
#include "coordination/load_concurrency.h"
#include "coordination/load_window.h"

/* Loads besides the rate that the platform allows in a window, less one. */
#define BURST 2
/* Wall clocks of daemons differ, and may be set back by some seconds. */
#define CLOCK_SLACK_US (2500 * USEC_PER_MSEC)
#define RETRY_US (200 * USEC_PER_MSEC)
/* Between two attempts while the store is away: each call has its price. */
#define ALONE_RETRY_US (400 * USEC_PER_MSEC)
/* An unused permit is as old as a load that has begun. */
#define PERMIT_KEEP_US (2 * USEC_PER_SEC)
/* Who asks asks again at each report, several times a second. */
#define ASK_KEEP_US (1 * USEC_PER_SEC)

/* As it stands in the log, in network byte order. */
struct load_record {
	uint64_t began_us;
	uint32_t load_ms;
	uint32_t limit;
	uint64_t learned_us; /* when its writer learned that; 0: never */
};

struct load_permit {
	struct load_permit_options opts;
	struct load_window window;
	struct load_concurrency running;
	int64_t load_us; /* of the load asked for, alone */
	unsigned beside; /* loads that ran when it was granted, with it */
	struct event *retry;
	struct rng rng;
	double rate;
	uint64_t end; /* read so far */
	bool asking;
	int64_t asked_us; /* last */
	bool held;
	int64_t held_us;
	struct load_offline alone;
};

static void on_append(void *, const struct fleet_batch *);
static void on_read(void *, const struct fleet_batch *);

static void
grant(struct load_permit *p, bool alone)
{
	struct process *process = p->opts.process;

	p->asking = false;
	p->held = true;
	p->held_us = clock_now(process->clock);
	if (alone) {
		load_offline_record(&p->alone, p->held_us);
		p->beside = 0;
	}
	log_info(process->logger, "load permitted", LF_I("alone", alone),
	    LF_I("end", p->end), LF_I("limit", p->window.limit),
	    LF_I("beside", p->beside), LF_I("concurrent", p->running.limit));
	p->opts.granted(p->opts.ctx);
}

static void
try_append(struct load_permit *p)
{
	struct process *process = p->opts.process;
	int64_t now = clock_wall(process->clock);
	struct load_record record = { .began_us = htobe64((uint64_t)now),
		.load_ms = htobe32((uint32_t)(p->load_us / USEC_PER_MSEC)),
		.limit = htobe32(p->running.limit),
		.learned_us = htobe64((uint64_t)p->running.learned_us) };

	if (clock_now(process->clock) - p->asked_us > ASK_KEEP_US) {
		p->asking = false; /* nobody waits for it any more */
		return;
	}
	if (!load_window_allows(&p->window, now) ||
	    !load_concurrency_allows(&p->running, now)) {
		process_timer_add(
		    p->retry, RETRY_US + (int64_t)rng_below(&p->rng, RETRY_US));
		return;
	}
	p->opts.ops->append(p->opts.store, FLEET_LOADS, p->end, &record,
	    sizeof(record), on_append, p);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
	try_append(arg);
}

/* The store cannot be asked: a daemon alone must hold back. */
static void
go_alone(struct load_permit *p)
{
	int64_t now = clock_now(p->opts.process->clock);

	if (load_offline_allows(
		&p->alone, p->running.limit, rng_real(&p->rng), now))
		grant(p, true);
	else
		process_timer_add(p->retry, ALONE_RETRY_US);
}

static void
on_append(void *ctx, const struct fleet_batch *batch)
{
	struct load_permit *p = ctx;
	int64_t now;

	if (batch->status == FLEET_OK || batch->status == FLEET_CONFLICT)
		load_offline_end(&p->alone);
	switch (batch->status) {
	case FLEET_OK:
		now = clock_wall(p->opts.process->clock);
		load_window_record(&p->window, now);
		p->beside =
		    load_concurrency_begin(&p->running, now, p->load_us);
		p->end = batch->end;
		grant(p, false);
		return;
	case FLEET_CONFLICT:
		/* Others recorded loads; the log may also end earlier again. */
		if (batch->end < p->end)
			p->end = batch->end;
		p->opts.ops->read(
		    p->opts.store, FLEET_LOADS, p->end, 0, on_read, p);
		return;
	default:
		go_alone(p);
	}
}

/* What was read has happened, whatever its writer's clock says. */
static int64_t
not_after(int64_t then, int64_t now)
{
	return then < now ? then : now;
}

static void
note_record(struct load_permit *p, const struct load_record *r)
{
	int64_t now = clock_wall(p->opts.process->clock);
	int64_t began_us = not_after((int64_t)be64toh(r->began_us), now);
	int64_t load_us = (int64_t)be32toh(r->load_ms) * USEC_PER_MSEC;

	load_window_record(&p->window, began_us);
	load_concurrency_adopt(&p->running, be32toh(r->limit),
	    not_after((int64_t)be64toh(r->learned_us), now));
	(void)load_concurrency_begin(&p->running, began_us, load_us);
}

static void
on_read(void *ctx, const struct fleet_batch *batch)
{
	struct load_permit *p = ctx;
	struct load_record record;

	if (batch->status == FLEET_EXPIRED) {
		p->end = batch->end;
		try_append(p);
		return;
	}
	if (batch->status != FLEET_OK) {
		go_alone(p);
		return;
	}
	for (size_t i = 0; i < batch->count; i++) {
		if (batch->records[i].len != sizeof(record))
			continue; /* no daemon of ours writes such */
		memcpy(&record, batch->records[i].value, sizeof(record));
		note_record(p, &record);
	}
	p->end = batch->count > 0 ? batch->records[batch->count - 1].offset + 1
				  : batch->end;
	try_append(p);
}

void
load_permit_ask(struct load_permit *p, double rate, int64_t load_us)
{
	p->asked_us = clock_now(p->opts.process->clock);
	if (p->asking || load_permit_held(p))
		return;
	if (rate != p->rate) {
		struct load_window old = p->window;

		p->rate = rate;
		load_window_init(&p->window, rate, p->opts.window_us,
		    p->opts.overage, BURST, CLOCK_SLACK_US);
		for (unsigned i = 0; i < old.count; i++)
			load_window_record(&p->window, old.began_us[i]);
	}
	p->load_us = load_us;
	p->asking = true;
	try_append(p);
}

bool
load_permit_held(const struct load_permit *p)
{
	int64_t now = clock_now(p->opts.process->clock);

	return p->held && now - p->held_us < PERMIT_KEEP_US;
}

bool
load_permit_take(struct load_permit *p)
{
	bool held = load_permit_held(p);

	p->held = false;
	return held;
}

void
load_permit_hear(struct load_permit *p, unsigned under_way, unsigned limit,
    int64_t learned_us)
{
	int64_t wall = clock_wall(p->opts.process->clock);

	load_offline_report(
	    &p->alone, under_way, clock_now(p->opts.process->clock));
	load_concurrency_adopt(&p->running, limit, not_after(learned_us, wall));
}

unsigned
load_permit_limit(const struct load_permit *p, int64_t *learned_us)
{
	*learned_us = p->running.learned_us;
	return p->running.limit;
}

unsigned
load_permit_beside(const struct load_permit *p)
{
	return p->beside;
}

int64_t
load_permit_expected_us(const struct load_permit *p)
{
	if (p->beside <= p->running.limit)
		return p->load_us;
	return p->load_us * p->beside / p->running.limit;
}

void
load_permit_measured(struct load_permit *p, int64_t took_us)
{
	unsigned before = p->running.limit;

	load_concurrency_learn(&p->running, p->beside, p->load_us, took_us,
	    clock_wall(p->opts.process->clock));
	if (p->running.limit != before)
		log_info(p->opts.process->logger, "loads at full speed",
		    LF_I("concurrent", p->running.limit),
		    LF_I("beside", p->beside), LF_I("took_us", took_us),
		    LF_I("alone_us", p->load_us));
}

struct load_permit *
load_permit_create(const struct load_permit_options *opts)
{
	struct load_permit *p = calloc(1, sizeof(*p));

	if (p == NULL)
		return NULL;
	p->opts = *opts;
	load_concurrency_init(&p->running, opts->concurrent);
	load_offline_init(&p->alone, opts->alone_us);
	rng_seed_system(&p->rng);
	p->retry = process_timer(opts->process, on_retry, p);
	return p;
}

void
load_permit_destroy(struct load_permit *p)
{
	if (p == NULL)
		return;
	event_free(p->retry);
	free(p);
}
