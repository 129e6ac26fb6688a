#include "entry/crash_bar.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/keyed_hash.h"
#include "common/log.h"
#include "common/rng.h"
#include "coordination/crash_log.h"
#include "coordination/daemon.h"
#include "protocol/tm_xdr.h"

#define MAX_JOBS 4096
#define FORGET_PAUSE_US (10 * USEC_PER_SEC)
/* A trial is recorded, and then its job is sent, within these times. */
#define TRIAL_RECORD_US (2 * USEC_PER_SEC)
#define TRIAL_HELD_US (5 * USEC_PER_SEC)
#define TRIAL_RETRY_US (500 * USEC_PER_MSEC)
/* Several entries may know that a job is sound: the first one reports it. */
#define ANSWERED_SPREAD_US (300 * USEC_PER_MSEC)
#define JOB_TEXT_SIZE 17 /* bytes, with the NUL */

enum trial_state {
	TRIAL_NONE,
	TRIAL_APPENDED,
	TRIAL_GRANTED, /* its record was the first one of this number */
};

struct crash_bar {
	struct daemon *daemon;
	struct crash_parts *jobs;
	struct crash_log *log;
	struct rng rng;
	int64_t forget_us; /* next check */
	enum trial_state trial;
	uint64_t trial_job;
	unsigned trial_number;
	int64_t trial_us; /* when it was appended or granted */
	/* A job that is known to be sound here, to be reported. */
	uint64_t sound; /* 0: none */
	struct event *sound_timer;
};

static int64_t
now_us(const struct crash_bar *bar)
{
	return clock_now(bar->daemon->clock);
}

uint64_t
crash_bar_job(const struct crash_bar *bar, const struct tm_dispatch_args *a)
{
	struct keyed_hash *h =
	    keyed_hash_begin(bar->daemon->settings->log_service);

	keyed_hash_add_text(h, a->target);
	keyed_hash_add_text(h, a->adapter);
	keyed_hash_add_text(h, a->method);
	keyed_hash_add_text(h, a->path);
	keyed_hash_add(h, a->body.body_val, a->body.body_len);
	return keyed_hash_end(h);
}

static bool
is_barred(const struct crash_bar *bar, uint64_t job)
{
	uint64_t barred[CRASH_PARTS_BARRED_MAX];
	unsigned count = crash_parts_barred(bar->jobs, barred);

	for (unsigned i = 0; i < count; i++) {
		if (barred[i] == job)
			return true;
	}
	return false;
}

static void
log_job(const struct crash_bar *bar, const char *message, uint64_t job)
{
	struct crash_loss losses[CRASH_PARTS_LOSSES_KEPT];
	char text[JOB_TEXT_SIZE];

	snprintf(text, sizeof(text), "%" PRIx64, job);
	log_warn(bar->daemon->logger, message, LF_S("job", text),
	    LF_I("losses", crash_parts_losses(bar->jobs, job, losses)),
	    LF_I("trials", crash_parts_trials(bar->jobs, job)));
}

/* ---- records of all entries ---- */

static void
append(struct crash_bar *bar, enum tm_crash_type type, uint64_t job)
{
	const struct tm_crash_record rec = { .type = type, .job = job };

	crash_log_append(bar->log, &rec);
}

static void
on_sound_timer(evutil_socket_t fd, short what, void *arg)
{
	struct crash_bar *bar = arg;

	append(bar, TM_CRASH_ANSWERED, bar->sound);
	bar->sound = 0;
}

static void
tell_sound(struct crash_bar *bar, uint64_t job)
{
	struct timeval tv =
	    clock_timeval((int64_t)rng_below(&bar->rng, ANSWERED_SPREAD_US));

	if (bar->sound != 0)
		return; /* the next loss of this job reports it again */
	bar->sound = job;
	evtimer_add(bar->sound_timer, &tv);
}

static void
apply_loss(struct crash_bar *bar, const struct crash_loss *loss)
{
	bool was_barred = is_barred(bar, loss->part);

	(void)crash_parts_lost(bar->jobs, loss, now_us(bar));
	if (!was_barred && is_barred(bar, loss->part))
		log_job(bar, "job barred", loss->part);
}

static void
apply_answer(struct crash_bar *bar, uint64_t job)
{
	if (bar->sound == job) {
		bar->sound = 0;
		evtimer_del(bar->sound_timer);
	}
	if (is_barred(bar, job))
		log_job(bar, "job admitted", job);
	crash_parts_clear(bar->jobs, job, now_us(bar));
}

/* Of several entries that record the same trial, the first one makes it. */
static void
apply_trial(struct crash_bar *bar, const struct tm_crash_record *rec)
{
	bool own = rec->incarnation == bar->daemon->incarnation;

	if (rec->trials <= crash_parts_trials(bar->jobs, rec->job))
		return;
	crash_parts_tried(bar->jobs, rec->job, rec->trials, now_us(bar));
	if (bar->trial != TRIAL_APPENDED || rec->job != bar->trial_job)
		return;
	bar->trial = own && rec->trials == bar->trial_number ? TRIAL_GRANTED
							     : TRIAL_NONE;
	bar->trial_us = now_us(bar);
	if (bar->trial == TRIAL_GRANTED)
		log_job(bar, "job tried", rec->job);
}

static void
on_record(void *ctx, const struct tm_crash_record *rec)
{
	struct crash_bar *bar = ctx;
	const struct crash_loss loss = { .part = rec->job,
		.incarnation = rec->incarnation,
		.request = rec->job,
		.position = CRASH_PARTS_WHOLE,
		.begun = rec->begun };

	switch (rec->type) {
	case TM_CRASH_LOST:
		if (crash_parts_is_immune(bar->jobs, rec->job, now_us(bar)))
			tell_sound(bar, rec->job);
		else
			apply_loss(bar, &loss);
		break;
	case TM_CRASH_TRIED:
		apply_trial(bar, rec);
		break;
	case TM_CRASH_ANSWERED:
		apply_answer(bar, rec->job);
		break;
	}
}

/* ---- losses and answers of this entry ---- */

static uint64_t
incarnation_of(const struct crash_bar_end *end)
{
	return XXH3_64bits_withSeed(
	    end->vm, strlen(end->vm), end->agent + end->number);
}

void
crash_bar_lost(struct crash_bar *bar, uint64_t job,
    const struct crash_bar_end *end, bool begun)
{
	const struct crash_loss loss = { .part = job,
		.incarnation = incarnation_of(end),
		.request = job,
		.position = CRASH_PARTS_WHOLE,
		.begun = begun };
	const struct tm_crash_record rec = { .type = TM_CRASH_LOST,
		.job = job,
		.incarnation = loss.incarnation,
		.begun = begun };

	if (crash_parts_is_immune(bar->jobs, job, now_us(bar)))
		return;
	apply_loss(bar, &loss);
	crash_log_append(bar->log, &rec);
}

void
crash_bar_answered(struct crash_bar *bar, uint64_t job)
{
	struct crash_loss losses[CRASH_PARTS_LOSSES_KEPT];

	crash_parts_whole_answered(bar->jobs, job, now_us(bar));
	if (crash_parts_losses(bar->jobs, job, losses) == 0)
		return;
	apply_answer(bar, job);
	append(bar, TM_CRASH_ANSWERED, job);
}

/* ---- admission and trials ---- */

static void
forget_old(struct crash_bar *bar)
{
	int64_t now = now_us(bar);
	uint64_t job;

	if (now < bar->forget_us)
		return;
	bar->forget_us = now + FORGET_PAUSE_US;
	while (crash_parts_oldest(bar->jobs, CRASH_PARTS_KEEP_US, now, &job))
		crash_parts_clear(bar->jobs, job, now);
}

bool
crash_bar_is_idle(const struct crash_bar *bar)
{
	return !crash_parts_any_lost(bar->jobs);
}

static void
begin_trial(struct crash_bar *bar, uint64_t job)
{
	const struct tm_crash_record rec = { .type = TM_CRASH_TRIED,
		.job = job,
		.incarnation = bar->daemon->incarnation,
		.trials = crash_parts_trials(bar->jobs, job) + 1 };

	bar->trial = TRIAL_APPENDED;
	bar->trial_job = job;
	bar->trial_number = rec.trials;
	bar->trial_us = now_us(bar);
	crash_log_append(bar->log, &rec);
}

static bool
holds_trial(const struct crash_bar *bar, uint64_t job)
{
	return bar->trial == TRIAL_GRANTED && bar->trial_job == job &&
	       now_us(bar) - bar->trial_us < TRIAL_HELD_US;
}

enum crash_verdict
crash_bar_check(struct crash_bar *bar, uint64_t job, int64_t *wait_us)
{
	struct crash_check c;

	forget_old(bar);
	c = crash_parts_check(bar->jobs, &job, 1, now_us(bar));
	*wait_us = c.wait_us;
	if (c.verdict == CRASH_ADMIT || holds_trial(bar, job))
		return CRASH_ADMIT;
	if (c.verdict == CRASH_REFUSE)
		return CRASH_REFUSE;
	if (bar->trial != TRIAL_APPENDED) {
		begin_trial(bar, job);
		return CRASH_TRIAL;
	}
	*wait_us = TRIAL_RETRY_US;
	if (now_us(bar) - bar->trial_us >= TRIAL_RECORD_US) {
		bar->trial = TRIAL_NONE; /* the log is away */
		return CRASH_REFUSE;
	}
	return bar->trial_job == job ? CRASH_TRIAL : CRASH_REFUSE;
}

void
crash_bar_sent(struct crash_bar *bar, uint64_t job)
{
	if (holds_trial(bar, job))
		bar->trial = TRIAL_NONE;
}

/* ---- creation and destruction ---- */

struct crash_bar *
crash_bar_create(struct daemon *d)
{
	struct crash_bar *bar = calloc(1, sizeof(*bar));
	struct crash_parts_options jobs = crash_parts_defaults;
	struct crash_log_options log = {
		.daemon = d,
		.record = on_record,
		.ctx = bar,
	};

	if (bar == NULL)
		return NULL;
	jobs.max_parts = MAX_JOBS;
	bar->daemon = d;
	rng_seed_system(&bar->rng);
	bar->jobs = crash_parts_create(&jobs);
	bar->sound_timer = evtimer_new(d->base, on_sound_timer, bar);
	if (bar->jobs != NULL && bar->sound_timer != NULL)
		bar->log = crash_log_create(&log);
	if (bar->log != NULL)
		return bar;
	crash_bar_destroy(bar);
	return NULL;
}

void
crash_bar_destroy(struct crash_bar *bar)
{
	if (bar == NULL)
		return;
	crash_log_destroy(bar->log);
	if (bar->sound_timer != NULL)
		event_free(bar->sound_timer);
	crash_parts_destroy(bar->jobs);
	free(bar);
}
