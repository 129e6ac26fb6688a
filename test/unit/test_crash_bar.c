/*
 * Entries that share by the log which jobs crash backend servers: trials that
 * several entries begin at once, an entry that starts later, a log that is
 * away, and a job that one entry knows to be sound.
 */
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/daemon.h"
#include "entry/crash_bar.h"
#include "fake_log.h"
#include "protocol/tm_xdr.h"

#define ENTRIES 3
#define JOB 77
/* Pause before the first trial of a whole request. */
#define TRIAL_DUE_US (50 * USEC_PER_SEC)
#define LOOP_MS 20 /* some reads and appends of the fake log */
#define SOUND_MS 400 /* more than until a sound job is reported */

struct fixture {
	struct event_base *base;
	struct clock *clock;
	struct logger *logger;
	struct fake_log log;
	struct daemon_settings settings;
	struct daemon daemons[ENTRIES];
	struct crash_bar *bars[ENTRIES];
};

static void
start_entry(struct fixture *f, int i)
{
	f->daemons[i] = (struct daemon){
		.base = f->base,
		.clock = f->clock,
		.logger = f->logger,
		.log = &f->log.client,
		.settings = &f->settings,
		.incarnation = (uint64_t)i + 1,
	};
	f->bars[i] = crash_bar_create(&f->daemons[i]);
	g_assert_nonnull(f->bars[i]);
}

static void
run_loop(struct fixture *f, int ms)
{
	struct timeval tv = clock_timeval(ms * USEC_PER_MSEC);

	event_base_loopexit(f->base, &tv);
	event_base_dispatch(f->base);
}

static void
set_up(struct fixture *f)
{
	struct logger_options log = {
		.process = "test", .level = LOG_LEVEL_ERROR, .fd = STDERR_FILENO
	};

	memset(f, 0, sizeof(*f));
	f->base = event_base_new();
	f->clock = clock_create_manual(1000 * USEC_PER_SEC);
	log.clock = f->clock;
	f->logger = logger_create(&log);
	f->settings.log_service = (char *)"127.0.0.1:1";
	f->settings.log_retry_ms = 1;
	fake_log_init(&f->log, f->base);
	start_entry(f, 0);
	start_entry(f, 1);
	run_loop(f, LOOP_MS);
}

static void
tear_down(struct fixture *f)
{
	for (int i = 0; i < ENTRIES; i++)
		crash_bar_destroy(f->bars[i]);
	event_base_free(f->base);
	fake_log_clear(&f->log);
	logger_destroy(f->logger);
	clock_destroy(f->clock);
}

static enum crash_verdict
check(struct fixture *f, int entry)
{
	int64_t wait_us;

	return crash_bar_check(f->bars[entry], JOB, &wait_us);
}

/* The job ends a backend server so often. */
static void
lose_job(struct fixture *f, int entry, int times)
{
	for (int i = 0; i < times; i++) {
		const struct crash_bar_end end = { "vm", 1, (uint64_t)i };

		crash_bar_lost(f->bars[entry], JOB, &end, false);
		clock_advance(f->clock, USEC_PER_SEC);
	}
}

static void
test_entries_try_at_once(void)
{
	struct fixture f;
	unsigned admitted = 0;

	set_up(&f);
	lose_job(&f, 0, 3);
	run_loop(&f, LOOP_MS);
	g_assert_cmpint(check(&f, 0), ==, CRASH_REFUSE);
	g_assert_cmpint(check(&f, 1), ==, CRASH_REFUSE);
	clock_advance(f.clock, TRIAL_DUE_US);
	g_assert_cmpint(check(&f, 0), ==, CRASH_TRIAL);
	g_assert_cmpint(check(&f, 1), ==, CRASH_TRIAL);
	run_loop(&f, LOOP_MS);
	for (int i = 0; i < 2; i++) {
		enum crash_verdict v = check(&f, i);

		g_assert_true(v == CRASH_ADMIT || v == CRASH_REFUSE);
		if (v != CRASH_ADMIT)
			continue;
		admitted++;
		crash_bar_sent(f.bars[i], JOB);
		g_assert_cmpint(check(&f, i), ==, CRASH_REFUSE);
	}
	g_assert_cmpuint(admitted, ==, 1);
	tear_down(&f);
}

static void
test_new_entry_sends_barred_job(void)
{
	struct fixture f;

	set_up(&f);
	lose_job(&f, 0, 3);
	run_loop(&f, LOOP_MS);
	start_entry(&f, 2);
	run_loop(&f, LOOP_MS);
	g_assert_cmpint(check(&f, 2), ==, CRASH_REFUSE);
	tear_down(&f);
}

static void
test_tries_without_log(void)
{
	struct fixture f;

	set_up(&f);
	f.log.down = true;
	lose_job(&f, 0, 3);
	run_loop(&f, LOOP_MS);
	g_assert_cmpint(check(&f, 0), ==, CRASH_REFUSE);
	/* The other one does not know. */
	g_assert_cmpint(check(&f, 1), ==, CRASH_ADMIT);
	clock_advance(f.clock, TRIAL_DUE_US);
	for (int i = 0; i < 5; i++) {
		g_assert_cmpint(check(&f, 0), !=, CRASH_ADMIT);
		run_loop(&f, LOOP_MS);
		clock_advance(f.clock, USEC_PER_SEC);
	}
	f.log.down = false;
	clock_advance(f.clock, 3 * USEC_PER_SEC);
	/* The last record is lost; what waited for it is refused. */
	g_assert_cmpint(check(&f, 0), ==, CRASH_REFUSE);
	g_assert_cmpint(check(&f, 0), ==, CRASH_TRIAL);
	run_loop(&f, LOOP_MS);
	g_assert_cmpint(check(&f, 0), ==, CRASH_ADMIT);
	tear_down(&f);
}

static void
test_sound_job_is_barred(void)
{
	struct fixture f;

	set_up(&f);
	crash_bar_answered(f.bars[1], JOB);
	lose_job(&f, 0, 3);
	g_assert_cmpint(check(&f, 0), ==, CRASH_REFUSE);
	run_loop(&f, SOUND_MS);
	g_assert_cmpint(check(&f, 0), ==, CRASH_ADMIT);
	tear_down(&f);
}

/* Two entries see one end of a backend server. */
static void
test_one_end_counts_twice(void)
{
	struct fixture f;

	set_up(&f);
	for (int i = 0; i < 2; i++) {
		const struct crash_bar_end end = { "vm", 1, (uint64_t)i };

		crash_bar_lost(f.bars[0], JOB, &end, false);
		crash_bar_lost(f.bars[1], JOB, &end, false);
		run_loop(&f, LOOP_MS);
		clock_advance(f.clock, USEC_PER_SEC);
	}
	g_assert_cmpint(check(&f, 0), ==, CRASH_ADMIT);
	g_assert_cmpint(check(&f, 1), ==, CRASH_ADMIT);
	tear_down(&f);
}

static void
test_other_content_is_the_same_job(void)
{
	char method[] = "POST", path[] = "/a", target[] = "booking",
	     none[] = "";
	struct tm_dispatch_args a = { .target = target,
		.adapter = none,
		.method = method,
		.path = path };
	struct fixture f;
	uint64_t job;

	set_up(&f);
	a.body.body_val = (char *)"one";
	a.body.body_len = 3;
	job = crash_bar_job(f.bars[0], &a);
	g_assert_cmpuint(crash_bar_job(f.bars[1], &a), ==, job);
	a.body.body_val = (char *)"two";
	g_assert_cmpuint(crash_bar_job(f.bars[0], &a), !=, job);
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/crash_bar/entries_try_at_once", test_entries_try_at_once);
	g_test_add_func("/crash_bar/new_entry_sends_barred_job",
	    test_new_entry_sends_barred_job);
	g_test_add_func("/crash_bar/tries_without_log", test_tries_without_log);
	g_test_add_func(
	    "/crash_bar/sound_job_is_barred", test_sound_job_is_barred);
	g_test_add_func(
	    "/crash_bar/one_end_counts_twice", test_one_end_counts_twice);
	g_test_add_func("/crash_bar/other_content_is_the_same_job",
	    test_other_content_is_the_same_job);
	return g_test_run();
}
