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
} store;

static void
fake_snapshot(void *arg, enum fleet_topic topic, const char *after,
    fleet_batch_cb *done, void *ctx)
{
	struct fleet_batch batch = { .status = FLEET_OK, .end = END };

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

static const struct fleet_store_ops fake_ops = {
	.snapshot = fake_snapshot,
	.read = fake_read,
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

static struct keyed_feed *
open_feed(bool check, int64_t check_pause_us)
{
	struct process_options process = { .name = "test",
		.log_levels = "error" };
	struct keyed_feed_options opts = { .process = &store.process,
		.ops = &fake_ops,
		.name = "test",
		.poll_us = POLL_US,
		.check = check,
		.check_pause_us = check_pause_us,
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
	return g_test_run();
}
