#include "coordination/load_permit.h"

#include <endian.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/process.h"
#include "common/rng.h"
#include "coordination/load_window.h"

/* Loads besides the rate that the platform allows in a window, less one. */
#define BURST 2
/* Wall clocks of daemons differ, and may be set back by some seconds. */
#define CLOCK_SLACK_US (2500 * USEC_PER_MSEC)
#define RETRY_US (200 * USEC_PER_MSEC)
/* An unused permit is as old as a load that has begun. */
#define PERMIT_KEEP_US (2 * USEC_PER_SEC)
/* Who asks asks again at each report, several times a second. */
#define ASK_KEEP_US (1 * USEC_PER_SEC)

struct load_permit {
	struct load_permit_options opts;
	struct load_window window;
	struct event *retry;
	struct rng rng;
	double rate;
	uint64_t end; /* read so far */
	bool asking;
	int64_t asked_us; /* last */
	bool held;
	int64_t held_us;
	int64_t alone_us; /* the last load without the store */
	bool was_alone;
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
		p->alone_us = p->held_us;
		p->was_alone = true;
	}
	log_info(process->logger, "load permitted", LF_I("alone", alone),
	    LF_I("end", p->end), LF_I("limit", p->window.limit));
	p->opts.granted(p->opts.ctx);
}

static void
try_append(struct load_permit *p)
{
	struct process *process = p->opts.process;
	int64_t now = clock_wall(process->clock);
	uint64_t record = htobe64((uint64_t)now);

	if (clock_now(process->clock) - p->asked_us > ASK_KEEP_US) {
		p->asking = false; /* nobody waits for it any more */
		return;
	}
	if (!load_window_allows(&p->window, now)) {
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

	if (!p->was_alone || now - p->alone_us >= p->opts.alone_us)
		grant(p, true);
	else
		process_timer_add(p->retry, RETRY_US);
}

static void
on_append(void *ctx, const struct fleet_batch *batch)
{
	struct load_permit *p = ctx;

	switch (batch->status) {
	case FLEET_OK:
		load_window_note(
		    &p->window, clock_wall(p->opts.process->clock));
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

static void
on_read(void *ctx, const struct fleet_batch *batch)
{
	struct load_permit *p = ctx;
	uint64_t at;

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
		if (batch->records[i].len != sizeof(at))
			continue; /* no daemon of ours writes such */
		memcpy(&at, batch->records[i].value, sizeof(at));
		load_window_note(&p->window, (int64_t)be64toh(at));
	}
	p->end = batch->count > 0 ? batch->records[batch->count - 1].offset + 1
				  : batch->end;
	try_append(p);
}

void
load_permit_ask(struct load_permit *p, double rate)
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
			load_window_note(&p->window, old.began_us[i]);
	}
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

struct load_permit *
load_permit_create(const struct load_permit_options *opts)
{
	struct load_permit *p = calloc(1, sizeof(*p));

	if (p == NULL)
		return NULL;
	p->opts = *opts;
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
