#include "bench/load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "bench/journal.h"
#include "bench/schedule.h"
#include "bench/shot.h"
#include "bench/tally.h"
#include "common/clock.h"
#include "common/rng.h"
#include "transport/http_client.h"

#define MAX_IDLE 1024
#define PROGRESS_US USEC_PER_SEC
/* Work that was refused must not start after the refusal either. */
#define SETTLE_US (2 * USEC_PER_SEC)

struct load {
	struct load_options opts;
	struct event_base *base;
	struct clock *clock;
	struct http_client *entries[LOAD_ADDRESSES_MAX];
	struct schedule *schedule;
	struct tally *tally;
	struct journal *journal;
	struct event *timer;
	struct event *progress;
	int64_t start_us;
	int64_t worst_send_us; /* how late a request left */
	uint64_t run;
	size_t next;
	size_t ended;
};

static void
add_timer(struct event *timer, int64_t us)
{
	struct timeval tv = clock_timeval(us);

	evtimer_add(timer, &tv);
}

static void
maybe_settle(struct load *l)
{
	struct timeval tv = clock_timeval(SETTLE_US);

	if (l->next == l->schedule->count && l->ended == l->next)
		event_base_loopexit(
		    l->base, l->opts.journal_count > 0 ? &tv : NULL);
}

static void
on_ended(void *ctx, const char body[SHOT_BODY_MAX], enum shot_end end)
{
	struct load *l = ctx;

	l->ended++;
	if (body[0] != '\0')
		journal_note_booking(l->journal, body, end);
	maybe_settle(l);
}

static void
fire(struct load *l, const struct arrival *a)
{
	struct shot_options opts = {
		.clock = l->clock,
		.http = l->entries[a->entry],
		.tally = l->tally,
		.arrival = a,
		.start_us = l->start_us,
		.run = l->run,
		.check_text = l->opts.check_text,
		.bare_engine = l->opts.bare_engine,
		.ended = on_ended,
		.ctx = l,
	};

	shot_fire(&opts);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	const struct arrival *a;
	int64_t late;

	while (l->next < l->schedule->count) {
		a = &l->schedule->arrivals[l->next];
		late = clock_now(l->clock) - l->start_us - a->at_us;
		if (late < 0) {
			add_timer(l->timer, -late);
			return;
		}
		if (late > l->worst_send_us)
			l->worst_send_us = late;
		l->next++;
		fire(l, a);
	}
	maybe_settle(l);
}

static void
on_progress(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	struct tally_sums s;

	tally_sums(l->tally, &s);
	fprintf(stderr,
	    "%3.0f s: sent %" PRIu64 " of %zu, answered %" PRIu64
	    ", not run %" PRIu64 ", unknown %" PRIu64 ", broken %" PRIu64
	    ", under way %zu\n",
	    (double)(clock_now(l->clock) - l->start_us) / 1e6, s.sent,
	    l->schedule->count, s.ends[SHOT_ANSWERED], s.ends[SHOT_NOT_RUN],
	    s.ends[SHOT_UNKNOWN], s.ends[SHOT_BROKEN], l->next - l->ended);
	add_timer(l->progress, PROGRESS_US);
}

static int
connect_entries(struct load *l)
{
	for (size_t i = 0; i < l->opts.entry_count; i++) {
		struct http_client_options http = {
			.base = l->base,
			.address = l->opts.entries[i],
			.max_idle = MAX_IDLE,
		};

		l->entries[i] = http_client_create(&http);
		if (l->entries[i] == NULL) {
			fprintf(
			    stderr, "%s: not IP:PORT\n", l->opts.entries[i]);
			return -1;
		}
	}
	return 0;
}

static json_t *
result_json(struct load *l)
{
	const struct scenario *s = l->opts.scenario;

	return json_pack("{s:s,s:I,s:f,s:i,s:f,s:o,s:o}", "scenario", s->name,
	    "seed", (json_int_t)l->opts.seed, "seconds", s->seconds, "entries",
	    (int)l->opts.entry_count, "worst_send_ms",
	    (double)l->worst_send_us / 1e3, "ranks", tally_json(l->tally),
	    "journal", journal_judge(l->journal));
}

static void
load_clear(struct load *l)
{
	for (size_t i = 0; i < l->opts.entry_count; i++)
		http_client_destroy(l->entries[i]);
	if (l->timer != NULL)
		event_free(l->timer);
	if (l->progress != NULL)
		event_free(l->progress);
	journal_destroy(l->journal);
	tally_destroy(l->tally);
	schedule_destroy(l->schedule);
	clock_destroy(l->clock);
	event_base_free(l->base);
}

json_t *
load_run(const struct load_options *opts)
{
	struct load l = { .opts = *opts };
	json_t *result = NULL;

	l.clock = clock_create_real();
	l.base = event_base_new();
	l.tally = tally_create(
	    (unsigned)opts->scenario->seconds, opts->late_margin_us);
	l.schedule = schedule_create(
	    opts->scenario, opts->seed, (unsigned)opts->entry_count);
	random_id(&l.run, sizeof(l.run));
	l.journal = journal_create(l.base, opts->journals, opts->journal_count);
	if (l.journal == NULL || connect_entries(&l) == -1)
		goto out;
	l.timer = evtimer_new(l.base, on_timer, &l);
	l.progress = evtimer_new(l.base, on_progress, &l);
	l.start_us = clock_now(l.clock);
	add_timer(l.timer, 0);
	if (!opts->quiet)
		add_timer(l.progress, PROGRESS_US);
	event_base_dispatch(l.base);
	evtimer_del(l.progress);
	result = result_json(&l);

out:
	load_clear(&l);
	return result;
}

bool
load_promises_held(const json_t *result)
{
	json_t *journal = json_object_get(result, "journal"), *rank, *value;
	const char *name;

	json_object_foreach(json_object_get(result, "ranks"), name, rank)
	{
		if (json_integer_value(json_object_get(rank, "short")) > 0 ||
		    json_integer_value(json_object_get(rank, "late")) > 0)
			return false;
	}
	json_object_foreach(json_object_get(journal, "broken"), name, value)
	{
		if (json_integer_value(value) > 0)
			return false;
	}
	return true;
}
