/*
 * The feed of a keyed topic against a store that swallows reads.
 *
 * Guards against a feed that stays deaf although another daemon has read
 * further, against reads without end for records that the store has lost, and
 * against late answers that take the feed back.
 */
#include <string.h>

#include <event2/event.h>
#include <glib.h>

#include "common/clock.h"
#include "common/process.h"
#include "coordination/keyed_feed.h"

#define READS_MAX 16
#define POLL_US (25 * USEC_PER_SEC)
#define END 10 /* of the topic at the snapshot */

struct fake_read {
	uint64_t from;
	int64_t wait_us;
	fleet_batch_cb *done;
	void *ctx;
};

static struct fake_store {
	struct process process;
	struct fake_read reads[READS_MAX];
	unsigned read_count;
	unsigned records;
	unsigned deaf;
	unsigned snapshots;
	unsigned cancelled;
	struct fake_read end_read; /* the last one; done: NULL: none */
	bool answers; /* the answer to a read is on its way */
} store;

static void
fake_snapshot(void *arg, enum fleet_topic topic, const char *after,
    fleet_batch_cb *done, void *ctx)
{
	struct fleet_batch batch = { .status = FLEET_OK, .end = END };

	store.snapshots++;
	done(ctx, &batch);
}

static void
fake_read(void *arg, enum fleet_topic topic, uint64_t from, int64_t wait_us,
    fleet_batch_cb *done, void *ctx)
{
	g_assert_cmpuint(store.read_count, <, READS_MAX);
	store.reads[store.read_count++] =
	    (struct fake_read){ from, wait_us, done, ctx };
}

static void
fake_read_end(
    void *arg, enum fleet_topic topic, fleet_batch_cb *done, void *ctx)
{
	store.end_read = (struct fake_read){ .done = done, .ctx = ctx };
}

static bool
fake_answers(void *arg, const void *ctx)
{
	return store.answers;
}

static void
fake_cancel(void *arg, const void *ctx)
{
	store.cancelled++;
}

static const struct fleet_store_ops fake_ops = {
	.snapshot = fake_snapshot,
	.read = fake_read,
	.read_end = fake_read_end,
	.answers = fake_answers,
	.cancel = fake_cancel,
};

static void
on_record(void *ctx, const struct fleet_record *record)
{
	store.records++;
}

static void
on_deaf(void *ctx)
{
	store.deaf++;
}

static void
ignore(void *ctx)
{
}

static void
run_loop(int64_t us)
{
	struct timeval tv = clock_timeval(us);

	event_base_loopexit(store.process.base, &tv);
	event_base_dispatch(store.process.base);
}

/* Answers a read with so many records. */
static void
answer(unsigned read, unsigned count)
{
	struct fleet_record records[4] = { 0 };
	struct fake_read *r = &store.reads[read];
	struct fleet_batch batch = { .status = FLEET_OK,
		.records = records,
		.count = count,
		.next = r->from + count,
		.end = r->from + count };

	for (unsigned i = 0; i < count; i++)
		records[i].offset = r->from + i;
	r->done(r->ctx, &batch);
}

static void
fail(unsigned read)
{
	struct fake_read *r = &store.reads[read];
	struct fleet_batch batch = { .status = FLEET_UNKNOWN };

	r->done(r->ctx, &batch);
}

static void
answer_end(uint64_t end)
{
	struct fleet_batch batch = { .status = FLEET_OK, .end = end };
	struct fake_read read = store.end_read;

	g_assert_nonnull(read.done);
	store.end_read.done = NULL;
	read.done(read.ctx, &batch);
}

static struct keyed_feed *
open_feed_of(bool newest_only, bool check, int64_t check_pause_us)
{
	struct process_options process = { .name = "test",
		.log_levels = "error" };
	struct keyed_feed_options opts = { .process = &store.process,
		.ops = &fake_ops,
		.name = "test",
		.poll_us = POLL_US,
		.check = check,
		.check_pause_us = check_pause_us,
		.newest_only = newest_only,
		.record = on_record,
		.snapshot_begin = ignore,
		.snapshot_end = ignore,
		.deaf = on_deaf };
	struct keyed_feed *f;

	memset(&store, 0, sizeof(store));
	g_assert_cmpint(process_open(&store.process, &process), ==, 0);
	f = keyed_feed_create(&opts);
	run_loop(10 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 1);
	g_assert_cmpuint(store.reads[0].from, ==, END);
	return f;
}

static struct keyed_feed *
open_feed(bool check, int64_t check_pause_us)
{
	return open_feed_of(false, check, check_pause_us);
}

static void
close_feed(struct keyed_feed *f)
{
	keyed_feed_destroy(f);
	process_close(&store.process);
}

static void
test_swallowed_read_leaves_feed_deaf(void)
{
	struct keyed_feed *f = open_feed(false, 0);

	keyed_feed_hint(f, END);
	run_loop(400 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 1); /* nothing new */
	keyed_feed_hint(f, END + 2);
	run_loop(400 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 2);
	g_assert_cmpuint(store.deaf, ==, 1);
	answer(1, 2);
	g_assert_cmpuint(store.records, ==, 2);
	run_loop(10 * USEC_PER_MSEC);
	g_assert_cmpuint(store.reads[2].from, ==, END + 2);
	answer(0, 1); /* late */
	g_assert_cmpuint(store.records, ==, 2);
	g_assert_cmpuint(keyed_feed_next_offset(f), ==, END + 2);
	keyed_feed_destroy(f);
	process_close(&store.process);
}

/* The records of the hint are lost: the store has nothing new to answer. */
static void
test_lost_records_are_read_without_end(void)
{
	struct keyed_feed *f = open_feed(false, 0);

	for (int i = 0; i < 20; i++) {
		keyed_feed_hint(f, END + 2);
		run_loop(400 * USEC_PER_MSEC);
	}
	g_assert_cmpuint(store.read_count, >, 2);
	g_assert_cmpuint(store.read_count, <=, 1 + 3);
	keyed_feed_destroy(f);
	process_close(&store.process);
}

/* A read that the store answers without a record is left to wait. */
static void
test_answered_check_leaves_read(void)
{
	struct keyed_feed *f = open_feed(true, 0);

	run_loop(400 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 2);
	g_assert_cmpint(store.reads[0].wait_us, ==, POLL_US);
	g_assert_cmpint(store.reads[1].wait_us, ==, 0);
	answer(1, 0);
	run_loop(400 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 2); /* one check is enough */
	answer(0, 1);
	g_assert_cmpuint(store.records, ==, 1);
	g_assert_cmpuint(store.deaf, ==, 0);
	keyed_feed_destroy(f);
	process_close(&store.process);
}

/* The store falls silent before the read and stays so for two checks. */
static void
test_silence_leaves_feed_deaf(void)
{
	struct keyed_feed *f = open_feed(true, 0);

	run_loop(400 * USEC_PER_MSEC);
	fail(1);
	g_assert_cmpint(keyed_feed_contact_since(f), ==, -1);
	run_loop(300 * USEC_PER_MSEC);
	fail(2);
	run_loop(500 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 4);
	answer(3, 0);
	g_assert_cmpint(keyed_feed_contact_since(f), !=, -1);
	g_assert_cmpuint(store.deaf, ==, 1);
	run_loop(10 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 5);
	g_assert_cmpint(store.reads[4].wait_us, ==, POLL_US);
	answer(0, 1); /* to the swallowed read, late */
	g_assert_cmpuint(store.records, ==, 0);
	answer(4, 2);
	g_assert_cmpuint(store.records, ==, 2);
	keyed_feed_destroy(f);
	process_close(&store.process);
}

/* A slow store fails the checks, and answers the read in the end. */
static void
test_failed_check_drops_read(void)
{
	struct keyed_feed *f = open_feed(true, 0);

	run_loop(400 * USEC_PER_MSEC);
	fail(1);
	answer(0, 1);
	g_assert_cmpuint(store.records, ==, 1);
	g_assert_cmpint(keyed_feed_contact_since(f), !=, -1);
	keyed_feed_destroy(f);
	process_close(&store.process);
}

/* The answer to a read that was checked once is lost. */
static void
test_lost_answer_leaves_feed_deaf(void)
{
	struct keyed_feed *f = open_feed(true, 200 * USEC_PER_MSEC);

	run_loop(400 * USEC_PER_MSEC);
	answer(1, 0);
	run_loop(300 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 3);
	answer(2, 2);
	g_assert_cmpuint(store.records, ==, 2);
	g_assert_cmpuint(store.deaf, ==, 1);
	run_loop(10 * USEC_PER_MSEC);
	g_assert_cmpuint(store.reads[3].from, ==, END + 2);
	answer(0, 2);
	g_assert_cmpuint(store.records, ==, 2);
	keyed_feed_destroy(f);
	process_close(&store.process);
}

/* A store that was lost is asked without a wait first. */
static void
test_read_begins_in_silence(void)
{
	struct keyed_feed *f = open_feed(true, 0);

	fail(0);
	run_loop(200 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 2);
	g_assert_cmpint(store.reads[1].wait_us, ==, 0);
	answer(1, 0);
	run_loop(10 * USEC_PER_MSEC);
	g_assert_cmpint(store.reads[2].wait_us, ==, POLL_US);
	keyed_feed_destroy(f);
	process_close(&store.process);
}

/* A large record is on its way for longer than until the check. */
static void
test_check_requests_record_twice(void)
{
	struct keyed_feed *f = open_feed_of(true, true, 0);

	store.answers = true;
	run_loop(400 * USEC_PER_MSEC);
	answer_end(END + 1);
	run_loop(400 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 1);
	keyed_feed_read_again(f);
	g_assert_cmpuint(store.read_count, ==, 1);
	g_assert_cmpuint(store.cancelled, ==, 0);
	close_feed(f);
}

/* The read was swallowed: the store has a record, and nothing arrives. */
static void
test_swallowed_read_of_large_record(void)
{
	struct keyed_feed *f = open_feed_of(true, true, 0);

	run_loop(400 * USEC_PER_MSEC);
	answer_end(END + 1);
	g_assert_cmpuint(store.read_count, ==, 1); /* it may be coming */
	run_loop(400 * USEC_PER_MSEC);
	answer_end(END + 1);
	g_assert_cmpuint(store.read_count, ==, 2);
	g_assert_cmpuint(store.reads[1].from, ==, END);
	close_feed(f);
}

/* Only the newest of several large records counts. */
static void
test_reads_outdated_records(void)
{
	struct keyed_feed *f = open_feed_of(true, false, 0);
	struct fleet_record record = { .offset = END };
	struct fleet_batch batch = { .status = FLEET_OK,
		.records = &record,
		.count = 1,
		.next = END + 1,
		.end = END + 3 };

	store.reads[0].done(store.reads[0].ctx, &batch);
	run_loop(10 * USEC_PER_MSEC);
	g_assert_cmpuint(store.snapshots, ==, 2);
	close_feed(f);
}

static void
test_paused_feed_reads(void)
{
	struct keyed_feed *f = open_feed_of(true, true, 200 * USEC_PER_MSEC);

	keyed_feed_pause(f, true);
	g_assert_cmpuint(store.cancelled, ==, 1);
	keyed_feed_skip(f, END + 1);
	run_loop(400 * USEC_PER_MSEC);
	answer_end(END + 1);
	run_loop(400 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 1);
	keyed_feed_pause(f, false);
	g_assert_cmpuint(store.cancelled, ==, 2); /* a check */
	run_loop(10 * USEC_PER_MSEC);
	g_assert_cmpuint(store.read_count, ==, 2);
	g_assert_cmpuint(store.reads[1].from, ==, END + 1);
	/* What arrives in another way ends the read of it. */
	keyed_feed_skip(f, END + 2);
	g_assert_cmpuint(store.cancelled, ==, 3);
	run_loop(10 * USEC_PER_MSEC);
	g_assert_cmpuint(store.reads[2].from, ==, END + 2);
	close_feed(f);
}

/* Nobody brings the record while the feed pauses. */
static void
test_paused_feed_stays_behind(void)
{
	struct keyed_feed *f = open_feed_of(true, true, 200 * USEC_PER_MSEC);

	keyed_feed_pause(f, true);
	run_loop(400 * USEC_PER_MSEC);
	answer_end(END + 1);
	g_assert_cmpuint(store.snapshots, ==, 1); /* it may be coming */
	run_loop(1200 * USEC_PER_MSEC);
	answer_end(END + 1);
	g_assert_cmpuint(store.snapshots, ==, 2);
	close_feed(f);
}

/* Answers a read with a record of an era. */
static void
answer_in_era(unsigned read, uint64_t era)
{
	struct fake_read *r = &store.reads[read];
	struct fleet_record record = { .offset = r->from };
	struct fleet_batch batch = { .status = FLEET_OK,
		.records = &record,
		.count = 1,
		.next = r->from + 1,
		.end = r->from + 1,
		.era = era };

	r->done(r->ctx, &batch);
}

/* The store gives offsets out again; an answer of the era before comes late. */
static void
test_offset_of_older_era(void)
{
	struct keyed_feed *f = open_feed(false, 0);

	answer_in_era(0, 7);
	run_loop(10 * USEC_PER_MSEC);
	g_assert_cmpuint(store.records, ==, 1);
	answer_in_era(1, 8);
	g_assert_cmpuint(store.snapshots, ==, 2);
	g_assert_cmpuint(store.records, ==, 1);
	run_loop(10 * USEC_PER_MSEC);
	g_assert_cmpuint(store.reads[2].from, ==, END);
	answer_in_era(2, 7);
	g_assert_cmpuint(store.records, ==, 1);
	g_assert_cmpuint(keyed_feed_next_offset(f), ==, END);
	run_loop(200 * USEC_PER_MSEC);
	answer_in_era(3, 8);
	g_assert_cmpuint(store.records, ==, 2);
	g_assert_cmpuint(store.snapshots, ==, 2);
	close_feed(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/keyed_feed/swallowed_read_leaves_feed_deaf",
	    test_swallowed_read_leaves_feed_deaf);
	g_test_add_func("/keyed_feed/lost_records_are_read_without_end",
	    test_lost_records_are_read_without_end);
	g_test_add_func("/keyed_feed/answered_check_leaves_read",
	    test_answered_check_leaves_read);
	g_test_add_func("/keyed_feed/silence_leaves_feed_deaf",
	    test_silence_leaves_feed_deaf);
	g_test_add_func("/keyed_feed/failed_check_drops_read",
	    test_failed_check_drops_read);
	g_test_add_func("/keyed_feed/lost_answer_leaves_feed_deaf",
	    test_lost_answer_leaves_feed_deaf);
	g_test_add_func(
	    "/keyed_feed/read_begins_in_silence", test_read_begins_in_silence);
	g_test_add_func("/keyed_feed/check_requests_record_twice",
	    test_check_requests_record_twice);
	g_test_add_func("/keyed_feed/swallowed_read_of_large_record",
	    test_swallowed_read_of_large_record);
	g_test_add_func(
	    "/keyed_feed/reads_outdated_records", test_reads_outdated_records);
	g_test_add_func(
	    "/keyed_feed/paused_feed_reads", test_paused_feed_reads);
	g_test_add_func("/keyed_feed/paused_feed_stays_behind",
	    test_paused_feed_stays_behind);
	g_test_add_func(
	    "/keyed_feed/offset_of_older_era", test_offset_of_older_era);
	return g_test_run();
}
