#include "bench/loadgen.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "bench/bench_request.h"
#include "bench/journal.h"
#include "bench/schedule.h"
#include "bench/stats.h"
#include "common/clock.h"
#include "common/rng.h"
#include "transport/http_client.h"

#define MAX_IDLE 1024 /* connections kept to each entry */
#define PROGRESS_US USEC_PER_SEC
/*
 * Time between the last outcome and the reading of the journals, so that they
 * show a request that is wrongly run after it was refused.
 */
#define SETTLE_US (2 * USEC_PER_SEC)

struct loadgen {
	struct loadgen_options opts;
	struct event_base *base;
	struct clock *clock;
	struct http_client *entries[BENCH_ADDRESSES_MAX];
	struct schedule *schedule;
	struct stats *stats;
	struct journal *journal;
	struct event *timer;
	struct event *progress;
	int64_t start_us;
	int64_t worst_send_us; /* largest delay after the scheduled time */
	uint64_t run_id;
	size_t next; /* index of the next arrival */
	size_t finished; /* requests */
};

static void
add_timer(struct event *timer, int64_t us)
{
	struct timeval tv = clock_timeval(us);

	evtimer_add(timer, &tv);
}

static void
finish_if_done(struct loadgen *lg)
{
	struct timeval tv = clock_timeval(SETTLE_US);

	if (lg->next == lg->schedule->count && lg->finished == lg->next)
		event_base_loopexit(
		    lg->base, lg->opts.journal_count > 0 ? &tv : NULL);
}

static void
on_request_done(
    void *ctx, const char body[BENCH_BODY_MAX], enum bench_outcome outcome)
{
	struct loadgen *lg = ctx;

	lg->finished++;
	if (body[0] != '\0')
		journal_add_booking(lg->journal, body, outcome);
	finish_if_done(lg);
}

static void
send_request(struct loadgen *lg, const struct arrival *a)
{
	struct bench_request_options opts = {
		.clock = lg->clock,
		.http = lg->entries[a->entry],
		.stats = lg->stats,
		.arrival = a,
		.start_us = lg->start_us,
		.run_id = lg->run_id,
		.check_text = lg->opts.check_text,
		.bare_engine = lg->opts.bare_engine,
		.on_done = on_request_done,
		.ctx = lg,
	};

	bench_request_send(&opts);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct loadgen *lg = arg;
	const struct arrival *a;
	int64_t late;

	while (lg->next < lg->schedule->count) {
		a = &lg->schedule->arrivals[lg->next];
		late = clock_now(lg->clock) - lg->start_us - a->at_us;
		if (late < 0) {
			add_timer(lg->timer, -late);
			return;
		}
		if (late > lg->worst_send_us)
			lg->worst_send_us = late;
		lg->next++;
		send_request(lg, a);
	}
	finish_if_done(lg);
}

static void
on_progress(evutil_socket_t fd, short what, void *arg)
{
	struct loadgen *lg = arg;
	struct stats_totals s;

	stats_totals(lg->stats, &s);
	fprintf(stderr,
	    "%3.0f s: sent %" PRIu64 " of %zu, answered %" PRIu64
	    ", not run %" PRIu64 ", unknown %" PRIu64 ", broken %" PRIu64
	    ", in progress %zu\n",
	    (double)(clock_now(lg->clock) - lg->start_us) / 1e6, s.sent,
	    lg->schedule->count, s.outcomes[BENCH_ANSWERED],
	    s.outcomes[BENCH_NOT_RUN], s.outcomes[BENCH_UNKNOWN],
	    s.outcomes[BENCH_BROKEN], lg->next - lg->finished);
	add_timer(lg->progress, PROGRESS_US);
}

static int
connect_entries(struct loadgen *lg)
{
	for (size_t i = 0; i < lg->opts.entry_count; i++) {
		struct http_client_options http = {
			.base = lg->base,
			.address = lg->opts.entries[i],
			.max_idle = MAX_IDLE,
		};

		lg->entries[i] = http_client_create(&http);
		if (lg->entries[i] == NULL) {
			fprintf(
			    stderr, "%s: not IP:PORT\n", lg->opts.entries[i]);
			return -1;
		}
	}
	return 0;
}

static json_t *
result_json(struct loadgen *lg)
{
	const struct scenario *s = lg->opts.scenario;

	return json_pack("{s:s,s:I,s:f,s:i,s:f,s:o,s:o}", "scenario", s->name,
	    "seed", (json_int_t)lg->opts.seed, "seconds", s->seconds, "entries",
	    (int)lg->opts.entry_count, "worst_send_ms",
	    (double)lg->worst_send_us / 1e3, "ranks", stats_json(lg->stats),
	    "journal", journal_check(lg->journal));
}

static void
loadgen_clear(struct loadgen *lg)
{
	for (size_t i = 0; i < lg->opts.entry_count; i++)
		http_client_destroy(lg->entries[i]);
	if (lg->timer != NULL)
		event_free(lg->timer);
	if (lg->progress != NULL)
		event_free(lg->progress);
	journal_destroy(lg->journal);
	stats_destroy(lg->stats);
	schedule_destroy(lg->schedule);
	clock_destroy(lg->clock);
	event_base_free(lg->base);
}

json_t *
loadgen_run(const struct loadgen_options *opts)
{
	struct loadgen lg = { .opts = *opts };
	json_t *result = NULL;

	lg.clock = clock_create_real();
	lg.base = event_base_new();
	lg.stats = stats_create(
	    (unsigned)opts->scenario->seconds, opts->late_margin_us);
	lg.schedule = schedule_create(
	    opts->scenario, opts->seed, (unsigned)opts->entry_count);
	random_id(&lg.run_id, sizeof(lg.run_id));
	lg.journal =
	    journal_create(lg.base, opts->journals, opts->journal_count);
	if (lg.journal == NULL || connect_entries(&lg) == -1)
		goto out;
	lg.timer = evtimer_new(lg.base, on_timer, &lg);
	lg.progress = evtimer_new(lg.base, on_progress, &lg);
	lg.start_us = clock_now(lg.clock);
	add_timer(lg.timer, 0);
	if (!opts->quiet)
		add_timer(lg.progress, PROGRESS_US);
	event_base_dispatch(lg.base);
	evtimer_del(lg.progress);
	result = result_json(&lg);

out:
	loadgen_clear(&lg);
	return result;
}

bool
loadgen_passed(const json_t *result)
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
