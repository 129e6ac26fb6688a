/*
 * The store against a log that expires records, goes down and loses answers.
 *
 * Guards against a state with records missing, a change that takes effect late
 * and a ready store that is out of date.
 */
#include <fcntl.h>
#include <unistd.h>

#include "fake_log.h"

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/checkpoint.h"
#include "coordination/store.h"

#define LOOP_RUNS_MAX 20000

struct fixture {
	struct event_base *base;
	struct clock *clock;
	struct logger *logger;
	struct fake_log log;
	struct metrics *metrics;
	GPtrArray *stores;
};

static void
fixture_init(struct fixture *f)
{
	struct logger_options logger = { 0 };

	f->base = event_base_new();
	f->clock = clock_create_manual(USEC_PER_SEC);
	logger.clock = f->clock;
	logger.process = "test";
	logger.fd = open("/dev/null", O_WRONLY);
	f->logger = logger_create(&logger);
	fake_log_init(&f->log, f->base);
	f->metrics = metrics_create();
	f->stores = g_ptr_array_new();
}

static void
fixture_clear(struct fixture *f)
{
	for (guint i = 0; i < f->stores->len; i++)
		store_destroy(f->stores->pdata[i]);
	g_ptr_array_unref(f->stores);
	event_base_free(f->base);
	fake_log_clear(&f->log);
	metrics_destroy(f->metrics);
	logger_destroy(f->logger);
	clock_destroy(f->clock);
}

static struct store *
start_store(struct fixture *f)
{
	struct store_options opts = {
		.base = f->base,
		.clock = f->clock,
		.logger = f->logger,
		.metrics = f->metrics,
		.log = &f->log.client,
		.shards = 1,
		.poll_us = 1000,
		.retry_us = 1000,
		.stale_us = 5 * USEC_PER_SEC,
		.keep_records = 100,
		.checkpoints.max_records = 1000000,
		.checkpoints.max_age_us = 60 * USEC_PER_SEC,
	};

	struct store *store = store_create(&opts);

	g_ptr_array_add(f->stores, store);
	return store;
}

static void
run_until_ready(struct fixture *f, struct store *store)
{
	for (int i = 0; store_unready_reason(store) != NULL; i++) {
		if (i == LOOP_RUNS_MAX)
			g_error("not ready: %s", store_unready_reason(store));
		event_base_loop(f->base, EVLOOP_ONCE);
	}
}

static void
run_loop(struct fixture *f, int runs)
{
	for (int i = 0; i < runs; i++)
		event_base_loop(f->base, EVLOOP_ONCE);
}

struct verdict {
	bool known;
	enum result code;
	uint64_t version;
};

static void
on_verdict(void *ctx, enum result code, uint64_t version)
{
	struct verdict *v = ctx;

	v->known = true;
	v->code = code;
	v->version = version;
}

static void
propose_rank(struct store *store, const char *name, enum tm_expect expect,
    uint64_t version, enum tm_change_op op, struct verdict *v)
{
	struct tm_change change = {
		.op = op,
		.kind = (char *)"rank",
		.name = (char *)name,
		.expect = expect,
		.ver = version,
		.body = (char *)"{\"order\":0,\"deadline_ms\":1000}",
	};

	memset(v, 0, sizeof(*v));
	store_change_config(
	    store, &change, 1, 60 * USEC_PER_SEC, on_verdict, v);
}

static void
await_verdict(struct fixture *f, struct verdict *v)
{
	for (int i = 0; !v->known; i++) {
		g_assert_cmpint(i, <, LOOP_RUNS_MAX);
		event_base_loop(f->base, EVLOOP_ONCE);
	}
}

static void
put_rank(struct fixture *f, struct store *store, const char *name)
{
	struct verdict v;

	propose_rank(store, name, TM_EXPECT_ABSENT, 0, TM_PUT, &v);
	await_verdict(f, &v);
	g_assert_cmpint(v.code, ==, RESULT_OK);
}

static void
write_checkpoint(struct fixture *f, struct store *store)
{
	unsigned before = f->log.appends;

	clock_advance(f->clock, 61 * USEC_PER_SEC);
	store_write_checkpoints(store);
	g_assert_cmpint(f->log.appends, >, before);
	run_loop(f, 20);
}

/* A store that starts after the first records expired has their state. */
static void
test_checkpoint_and_tail(void)
{
	__attribute__((cleanup(fixture_clear))) struct fixture f;
	struct store *writer, *reader;

	fixture_init(&f);
	writer = start_store(&f);
	run_until_ready(&f, writer);
	put_rank(&f, writer, "one");
	put_rank(&f, writer, "two");
	write_checkpoint(&f, writer);
	put_rank(&f, writer, "three");
	f.log.first = 3;

	reader = start_store(&f);
	run_until_ready(&f, reader);
	run_loop(&f, 20);
	for (int i = 0; i < 3; i++) {
		static const char *const names[] = { "one", "two", "three" };

		g_assert_nonnull(
		    config_find(store_config(reader), DECL_RANK, names[i]));
	}
	g_assert_cmpint(config_version(store_config(reader)), ==,
	    config_version(store_config(writer)));
}

/* After records expired without a checkpoint, a new store is not ready. */
static void
test_no_checkpoint(void)
{
	__attribute__((cleanup(fixture_clear))) struct fixture f;
	struct store *writer, *reader;

	fixture_init(&f);
	writer = start_store(&f);
	run_until_ready(&f, writer);
	put_rank(&f, writer, "one");
	put_rank(&f, writer, "two");
	f.log.first = 2;
	reader = start_store(&f);
	run_loop(&f, 200);
	g_assert_nonnull(store_unready_reason(reader));
	g_assert_nonnull(
	    strstr(store_unready_reason(reader), "dropped records"));
	/* It finds a checkpoint that another daemon writes meanwhile. */
	write_checkpoint(&f, writer);
	run_until_ready(&f, reader);
	g_assert_nonnull(config_find(store_config(reader), DECL_RANK, "one"));
}

/* With a checkpoint older than the log's start, records between are lost. */
static void
test_checkpoint_too_old(void)
{
	__attribute__((cleanup(fixture_clear))) struct fixture f;
	struct store *writer, *reader;

	fixture_init(&f);
	writer = start_store(&f);
	run_until_ready(&f, writer);
	put_rank(&f, writer, "one");
	f.log.hold_appends = true;
	clock_advance(f.clock, 61 * USEC_PER_SEC);
	store_write_checkpoints(writer);
	run_loop(&f, 5);
	f.log.hold_appends = false;
	put_rank(&f, writer, "two");
	put_rank(&f, writer, "three");
	fake_log_append_held(&f.log);
	f.log.first = 3;
	reader = start_store(&f);
	run_loop(&f, 50);
	g_assert_nonnull(store_unready_reason(reader));
	g_assert_null(config_find(store_config(reader), DECL_RANK, "one"));
}

/*
 * A creation whose answer was lost, and whose second attempt was refused since
 * the name was taken, must not take effect after the name is free again.
 */
static void
test_late_creation(void)
{
	__attribute__((cleanup(fixture_clear))) struct fixture f;
	struct store *store;
	struct verdict lost, other;

	fixture_init(&f);
	store = start_store(&f);
	run_until_ready(&f, store);
	f.log.hold_appends = true;
	propose_rank(store, "rank", TM_EXPECT_ABSENT, 0, TM_PUT, &lost);
	run_loop(&f, 5);
	f.log.hold_appends = false;
	put_rank(&f, store, "rank");
	await_verdict(&f, &lost);
	g_assert_cmpint(lost.code, ==, RESULT_VERSION_CONFLICT);
	propose_rank(store, "rank", TM_EXPECT_VERSION,
	    config_version(store_config(store)), TM_DELETE, &other);
	await_verdict(&f, &other);
	g_assert_cmpint(other.code, ==, RESULT_OK);
	fake_log_append_held(&f.log);
	run_loop(&f, 20);
	g_assert_null(config_find(store_config(store), DECL_RANK, "rank"));
}

static void
test_lost_answers(void)
{
	__attribute__((cleanup(fixture_clear))) struct fixture f;
	struct store *store;
	struct verdict v;

	fixture_init(&f);
	store = start_store(&f);
	run_until_ready(&f, store);
	f.log.lose_answers = true;
	propose_rank(store, "rank", TM_EXPECT_ABSENT, 0, TM_PUT, &v);
	await_verdict(&f, &v);
	g_assert_cmpint(v.code, ==, RESULT_OK);
	g_assert_cmpint(v.version, ==, config_version(store_config(store)));
}

static void
test_not_ready_when_isolated(void)
{
	__attribute__((cleanup(fixture_clear))) struct fixture f;
	struct store *store;

	fixture_init(&f);
	store = start_store(&f);
	run_until_ready(&f, store);
	f.log.down = true;
	run_loop(&f, 20);
	clock_advance(f.clock, 6 * USEC_PER_SEC);
	run_loop(&f, 20);
	g_assert_nonnull(store_unready_reason(store));
	store_note_peer_contact(store, clock_now(f.clock));
	g_assert_null(store_unready_reason(store));
}

static void
test_checkpoint_due(void)
{
	struct checkpoint_policy policy = { 1000, 60 * USEC_PER_SEC };
	struct checkpoint_state s = { 1, 1, 1, 0 };

	g_assert_false(checkpoint_due(&policy, &s, 100 * USEC_PER_SEC));
	s.end = 500;
	g_assert_false(checkpoint_due(&policy, &s, 10 * USEC_PER_SEC));
	g_assert_true(checkpoint_due(&policy, &s, 60 * USEC_PER_SEC));
	s.end = 1001;
	g_assert_true(checkpoint_due(&policy, &s, 10 * USEC_PER_SEC));
	/* Of 100 records kept, the checkpoint must be in the newer half. */
	s = (struct checkpoint_state){ 901, 1001, 960, 0 };
	g_assert_false(checkpoint_due(&policy, &s, 10 * USEC_PER_SEC));
	s.checkpoint_position = 940;
	g_assert_true(checkpoint_due(&policy, &s, 10 * USEC_PER_SEC));
}

static void
fill_chunk(struct tm_checkpoint_chunk *chunk, uint32_t index, const char *data)
{
	memset(chunk, 0, sizeof(*chunk));
	chunk->position = 5;
	chunk->index = index;
	chunk->count = 2;
	chunk->digest = 7;
	chunk->data.data_val = (char *)data;
	chunk->data.data_len = (u_int)strlen(data);
}

/* A complete sequence of chunks with a wrong digest is not a checkpoint. */
static void
test_wrong_digest(void)
{
	struct checkpoint_reader *reader = checkpoint_reader_create();
	struct tm_checkpoint_chunk chunk;
	struct checkpoint complete;

	checkpoint_reader_reset(reader, true);
	fill_chunk(&chunk, 0, "a");
	g_assert_false(checkpoint_reader_add(reader, &chunk, &complete));
	g_assert_false(checkpoint_reader_add(reader, &chunk, &complete));
	fill_chunk(&chunk, 1, "b");
	g_assert_false(checkpoint_reader_add(reader, &chunk, &complete));
	checkpoint_reader_destroy(reader);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store/checkpoint_and_tail", test_checkpoint_and_tail);
	g_test_add_func("/store/no_checkpoint", test_no_checkpoint);
	g_test_add_func("/store/checkpoint_too_old", test_checkpoint_too_old);
	g_test_add_func("/store/late_creation", test_late_creation);
	g_test_add_func("/store/lost_answers", test_lost_answers);
	g_test_add_func("/store/cut_off", test_not_ready_when_isolated);
	g_test_add_func("/checkpoint/due", test_checkpoint_due);
	g_test_add_func("/checkpoint/digest", test_wrong_digest);
	return g_test_run();
}
