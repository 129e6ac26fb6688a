#include "coordination/load_permit.h"

#include <endian.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/process.h"
#include "common/rng.h"
#include "coordination/load_concurrency.h"
#include "coordination/load_offline.h"
#include "coordination/load_window.h"

/* Loads beyond the rate in a window; the platform allows one more. */
#define WINDOW_BURST 2
/* The wall clocks of daemons may differ by some seconds as they start. */
#define CLOCK_SLACK_US (2500 * USEC_PER_MSEC)
#define APPEND_RETRY_US (200 * USEC_PER_MSEC)
/* Longer than APPEND_RETRY_US: calls to an unreachable store are costly. */
#define OFFLINE_RETRY_US (400 * USEC_PER_MSEC)
/* A permit counts as a load since its grant, so it expires soon. */
#define PERMIT_EXPIRY_US (2 * USEC_PER_SEC)
/* Callers repeat a request at each replica report, several times a second. */
#define REQUEST_EXPIRY_US (1 * USEC_PER_SEC)

/* Record of FLEET_STORE_LOADS, in network byte order; times of clock_common().
 */
struct load_record {
	uint64_t began_us;
	uint32_t load_ms; /* without concurrent loads */
	uint32_t limit; /* concurrent loads at full speed */
	uint64_t learned_us; /* when the writer learned the limit; 0: never */
};

struct load_permit {
	struct load_permit_options opts;
	struct load_window window;
	struct load_concurrency concurrency;
	int64_t load_us; /* of the requested load, without concurrent ones */
	unsigned concurrent; /* running loads at the grant; 0: unknown */
	unsigned granted_limit; /* concurrent loads that were allowed then */
	struct event *retry;
	struct rng rng;
	double rate; /* loads a second */
	uint64_t log_end; /* offset after the last record read */
	bool pending; /* a request is not granted yet */
	int64_t requested_us; /* when it was last repeated */
	bool held;
	int64_t held_us; /* time of the grant */
	struct load_offline offline;
};

static void on_append(void *, const struct fleet_batch *);
static void on_read(void *, const struct fleet_batch *);

static void
grant(struct load_permit *p, bool offline)
{
	struct process *process = p->opts.process;

	p->pending = false;
	p->held = true;
	p->held_us = clock_now(process->clock);
	if (offline) {
		load_offline_record(&p->offline, p->held_us);
		p->concurrent = 0;
	}
	log_info(process->logger, "load permitted", LF_I("alone", offline),
	    LF_I("end", p->log_end), LF_I("limit", p->window.limit),
	    LF_I("beside", p->concurrent),
	    LF_I("concurrent", p->concurrency.limit));
	p->opts.granted(p->opts.ctx);
}

static void
try_append(struct load_permit *p)
{
	struct process *process = p->opts.process;
	int64_t now = clock_common(process->clock);
	struct load_record load = { .began_us = htobe64((uint64_t)now),
		.load_ms = htobe32((uint32_t)(p->load_us / USEC_PER_MSEC)),
		.limit = htobe32(p->concurrency.limit),
		.learned_us = htobe64((uint64_t)p->concurrency.learned_us) };
	struct fleet_record record = { .value = (unsigned char *)&load,
		.len = sizeof(load) };

	if (clock_now(process->clock) - p->requested_us > REQUEST_EXPIRY_US) {
		p->pending = false; /* no longer needed */
		return;
	}
	if (!load_window_allows(&p->window, now) ||
	    !load_concurrency_allows(&p->concurrency, now)) {
		process_timer_add(
		    p->retry, APPEND_RETRY_US +
				  (int64_t)rng_below(&p->rng, APPEND_RETRY_US));
		return;
	}
	p->opts.ops->append(p->opts.store, FLEET_STORE_LOADS, p->log_end,
	    &record, 1, on_append, p);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
	try_append(arg);
}

/* The store is unreachable: decides by load_offline. */
static void
try_offline(struct load_permit *p)
{
	int64_t now = clock_now(p->opts.process->clock);

	if (load_offline_allows(
		&p->offline, p->concurrency.limit, rng_real(&p->rng), now))
		grant(p, true);
	else
		process_timer_add(p->retry, OFFLINE_RETRY_US);
}

static void
on_append(void *ctx, const struct fleet_batch *batch)
{
	struct load_permit *p = ctx;
	int64_t now;

	if (batch->status == FLEET_OK || batch->status == FLEET_CONFLICT)
		load_offline_end(&p->offline);
	switch (batch->status) {
	case FLEET_OK:
		now = clock_common(p->opts.process->clock);
		load_window_record(&p->window, now);
		p->granted_limit = p->concurrency.limit;
		p->concurrent =
		    load_concurrency_begin(&p->concurrency, now, p->load_us);
		p->log_end = batch->end;
		grant(p, false);
		return;
	case FLEET_CONFLICT:
		/* Others appended records, or the topic was truncated. */
		if (batch->end < p->log_end)
			p->log_end = batch->end;
		p->opts.ops->read(p->opts.store, FLEET_STORE_LOADS, p->log_end,
		    0, on_read, p);
		return;
	default:
		try_offline(p);
	}
}

/* A record from the future shows a wrong clock at its writer. */
static int64_t
clamp_to_now(int64_t then, int64_t now)
{
	return then < now ? then : now;
}

static void
note_record(struct load_permit *p, const struct load_record *r)
{
	int64_t now = clock_common(p->opts.process->clock);
	int64_t began_us = clamp_to_now((int64_t)be64toh(r->began_us), now);
	int64_t load_us = (int64_t)be32toh(r->load_ms) * USEC_PER_MSEC;

	load_window_record(&p->window, began_us);
	load_concurrency_adopt(&p->concurrency, be32toh(r->limit),
	    clamp_to_now((int64_t)be64toh(r->learned_us), now));
	(void)load_concurrency_begin(&p->concurrency, began_us, load_us);
}

static void
on_read(void *ctx, const struct fleet_batch *batch)
{
	struct load_permit *p = ctx;
	struct load_record record;

	if (batch->status == FLEET_EXPIRED) {
		/* Not at once: the store may answer the append with 409. */
		p->log_end = batch->end;
		process_timer_add(p->retry, APPEND_RETRY_US);
		return;
	}
	if (batch->status != FLEET_OK) {
		try_offline(p);
		return;
	}
	for (size_t i = 0; i < batch->count; i++) {
		if (batch->records[i].len != sizeof(record))
			continue; /* not written by this software */
		memcpy(&record, batch->records[i].value, sizeof(record));
		note_record(p, &record);
	}
	p->log_end = batch->next;
	try_append(p);
}

void
load_permit_request(struct load_permit *p, double rate, int64_t load_us)
{
	p->requested_us = clock_now(p->opts.process->clock);
	if (p->pending || load_permit_held(p))
		return;
	if (rate != p->rate) {
		struct load_window old = p->window;

		p->rate = rate;
		load_window_init(&p->window, rate, p->opts.window_us,
		    p->opts.overage, WINDOW_BURST, CLOCK_SLACK_US);
		for (unsigned i = 0; i < old.count; i++)
			load_window_record(&p->window, old.began_us[i]);
	}
	p->load_us = load_us;
	p->pending = true;
	try_append(p);
}

bool
load_permit_held(const struct load_permit *p)
{
	int64_t now = clock_now(p->opts.process->clock);

	return p->held && now - p->held_us < PERMIT_EXPIRY_US;
}

bool
load_permit_take(struct load_permit *p)
{
	bool held = load_permit_held(p);

	p->held = false;
	return held;
}

void
load_permit_update(
    struct load_permit *p, unsigned running, unsigned limit, int64_t learned_us)
{
	int64_t wall = clock_common(p->opts.process->clock);

	load_offline_report(
	    &p->offline, running, clock_now(p->opts.process->clock));
	load_concurrency_adopt(
	    &p->concurrency, limit, clamp_to_now(learned_us, wall));
}

unsigned
load_permit_limit(const struct load_permit *p, int64_t *learned_us)
{
	*learned_us = p->concurrency.learned_us;
	return p->concurrency.limit;
}

unsigned
load_permit_concurrent(const struct load_permit *p)
{
	return p->concurrent;
}

int64_t
load_permit_expected_us(const struct load_permit *p)
{
	if (p->concurrent <= p->concurrency.limit)
		return p->load_us;
	return p->load_us * p->concurrent / p->concurrency.limit;
}

void
load_permit_record_time(struct load_permit *p, int64_t took_us)
{
	unsigned before = p->concurrency.limit;

	load_concurrency_learn(&p->concurrency, p->concurrent, p->granted_limit,
	    p->load_us, took_us, clock_common(p->opts.process->clock));
	if (p->concurrency.limit != before)
		log_info(p->opts.process->logger, "loads at full speed",
		    LF_I("concurrent", p->concurrency.limit),
		    LF_I("beside", p->concurrent), LF_I("took_us", took_us),
		    LF_I("alone_us", p->load_us));
}

struct load_permit *
load_permit_create(const struct load_permit_options *opts)
{
	struct load_permit *p = calloc(1, sizeof(*p));

	if (p == NULL)
		return NULL;
	p->opts = *opts;
	load_concurrency_init(&p->concurrency, opts->initial_limit);
	load_offline_init(&p->offline, opts->offline_interval_us,
	    clock_now(opts->process->clock));
	rng_seed_system(&p->rng);
	p->retry = process_timer_new(opts->process, on_retry, p);
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
