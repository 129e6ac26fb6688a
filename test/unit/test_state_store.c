/* The store against a log that expires records, goes down and loses answers. */
#include <fcntl.h>
#include <unistd.h>

#include "fake_log.h"

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/checkpoint.h"
#include "coordination/store.h"

#define LIMIT_TURNS 20000

struct world {
	struct event_base *base;
	struct clock *clock;
	struct logger *logger;
	struct fake_log log;
	struct metrics *metrics;
	GPtrArray *stores;
};

static void
world_init(struct world *w)
{
	struct logger_options logger = { 0 };

	w->base = event_base_new();
	w->clock = clock_create_manual(USEC_PER_SEC);
	logger.clock = w->clock;
	logger.process = "test";
	logger.fd = open("/dev/null", O_WRONLY);
	w->logger = logger_create(&logger);
	fake_log_init(&w->log, w->base);
	w->metrics = metrics_create();
	w->stores = g_ptr_array_new();
}

static void
world_clear(struct world *w)
{
	for (guint i = 0; i < w->stores->len; i++)
		store_destroy(w->stores->pdata[i]);
	g_ptr_array_unref(w->stores);
	event_base_free(w->base);
	fake_log_clear(&w->log);
	metrics_destroy(w->metrics);
	logger_destroy(w->logger);
	clock_destroy(w->clock);
}

static struct store *
start_store(struct world *w)
{
	struct store_options opts = {
		.base = w->base,
		.clock = w->clock,
		.logger = w->logger,
		.metrics = w->metrics,
		.log = &w->log.client,
		.shards = 1,
		.poll_us = 1000,
		.retry_us = 1000,
		.stale_us = 5 * USEC_PER_SEC,
		.keep_records = 100,
		.checkpoints.max_records = 1000000,
		.checkpoints.max_age_us = 60 * USEC_PER_SEC,
	};

	struct store *store = store_create(&opts);

	g_ptr_array_add(w->stores, store);
	return store;
}

static void
run_until_ready(struct world *w, struct store *store)
{
	for (int i = 0; store_unready_reason(store) != NULL; i++) {
		if (i == LIMIT_TURNS)
			g_error("not ready: %s", store_unready_reason(store));
		event_base_loop(w->base, EVLOOP_ONCE);
	}
}

static void
run_turns(struct world *w, int turns)
{
	for (int i = 0; i < turns; i++)
		event_base_loop(w->base, EVLOOP_ONCE);
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
await_verdict(struct world *w, struct verdict *v)
{
	for (int i = 0; !v->known; i++) {
		g_assert_cmpint(i, <, LIMIT_TURNS);
		event_base_loop(w->base, EVLOOP_ONCE);
	}
}

static void
put_rank(struct world *w, struct store *store, const char *name)
{
	struct verdict v;

	propose_rank(store, name, TM_EXPECT_ABSENT, 0, TM_PUT, &v);
	await_verdict(w, &v);
	g_assert_cmpint(v.code, ==, RESULT_OK);
}

static void
write_checkpoint(struct world *w, struct store *store)
{
	unsigned before = w->log.appends;

	clock_advance(w->clock, 61 * USEC_PER_SEC);
	store_write_checkpoints(store);
	g_assert_cmpint(w->log.appends, >, before);
	run_turns(w, 20);
}

/* A store that starts after the first records expired holds them all. */
static void
test_checkpoint_and_tail(void)
{
	__attribute__((cleanup(world_clear))) struct world w;
	struct store *writer, *reader;

	world_init(&w);
	writer = start_store(&w);
	run_until_ready(&w, writer);
	put_rank(&w, writer, "one");
	put_rank(&w, writer, "two");
	write_checkpoint(&w, writer);
	put_rank(&w, writer, "three");
	w.log.first = 3;

	reader = start_store(&w);
	run_until_ready(&w, reader);
	run_turns(&w, 20);
	for (int i = 0; i < 3; i++) {
		static const char *const names[] = { "one", "two", "three" };

		g_assert_nonnull(
		    config_find(store_config(reader), DECL_RANK, names[i]));
	}
	g_assert_cmpint(config_version(store_config(reader)), ==,
	    config_version(store_config(writer)));
}

/* Without a whole checkpoint it is not ready, and says why. */
static void
test_no_checkpoint(void)
{
	__attribute__((cleanup(world_clear))) struct world w;
	struct store *writer, *reader;

	world_init(&w);
	writer = start_store(&w);
	run_until_ready(&w, writer);
	put_rank(&w, writer, "one");
	put_rank(&w, writer, "two");
	w.log.first = 2;
	reader = start_store(&w);
	run_turns(&w, 200);
	g_assert_nonnull(store_unready_reason(reader));
	g_assert_nonnull(
	    strstr(store_unready_reason(reader), "dropped records"));
	/* The one written meanwhile by a daemon that lives is found. */
	write_checkpoint(&w, writer);
	run_until_ready(&w, reader);
	g_assert_nonnull(config_find(store_config(reader), DECL_RANK, "one"));
}

/* A checkpoint older than the oldest record would skip what lies between. */
static void
test_checkpoint_too_old(void)
{
	__attribute__((cleanup(world_clear))) struct world w;
	struct store *writer, *reader;

	world_init(&w);
	writer = start_store(&w);
	run_until_ready(&w, writer);
	put_rank(&w, writer, "one");
	w.log.hold = true;
	clock_advance(w.clock, 61 * USEC_PER_SEC);
	store_write_checkpoints(writer);
	run_turns(&w, 5);
	w.log.hold = false;
	put_rank(&w, writer, "two");
	put_rank(&w, writer, "three");
	fake_log_land(&w.log);
	w.log.first = 3;
	reader = start_store(&w);
	run_turns(&w, 50);
	g_assert_nonnull(store_unready_reason(reader));
	g_assert_null(config_find(store_config(reader), DECL_RANK, "one"));
}

/*
 * A creation whose answer was lost, and whose second attempt was refused since
 * the name was taken, must not land after the name is free again.
 */
static void
test_late_creation(void)
{
	__attribute__((cleanup(world_clear))) struct world w;
	struct store *store;
	struct verdict lost, other;

	world_init(&w);
	store = start_store(&w);
	run_until_ready(&w, store);
	w.log.hold = true;
	propose_rank(store, "rank", TM_EXPECT_ABSENT, 0, TM_PUT, &lost);
	run_turns(&w, 5);
	w.log.hold = false;
	put_rank(&w, store, "rank");
	await_verdict(&w, &lost);
	g_assert_cmpint(lost.code, ==, RESULT_VERSION_CONFLICT);
	propose_rank(store, "rank", TM_EXPECT_VERSION,
	    config_version(store_config(store)), TM_DELETE, &other);
	await_verdict(&w, &other);
	g_assert_cmpint(other.code, ==, RESULT_OK);
	fake_log_land(&w.log);
	run_turns(&w, 20);
	g_assert_null(config_find(store_config(store), DECL_RANK, "rank"));
}

static void
test_lost_answers(void)
{
	__attribute__((cleanup(world_clear))) struct world w;
	struct store *store;
	struct verdict v;

	world_init(&w);
	store = start_store(&w);
	run_until_ready(&w, store);
	w.log.lose = true;
	propose_rank(store, "rank", TM_EXPECT_ABSENT, 0, TM_PUT, &v);
	await_verdict(&w, &v);
	g_assert_cmpint(v.code, ==, RESULT_OK);
	g_assert_cmpint(v.version, ==, config_version(store_config(store)));
}

static void
test_not_ready_when_cut_off(void)
{
	__attribute__((cleanup(world_clear))) struct world w;
	struct store *store;

	world_init(&w);
	store = start_store(&w);
	run_until_ready(&w, store);
	w.log.down = true;
	run_turns(&w, 20);
	clock_advance(w.clock, 6 * USEC_PER_SEC);
	run_turns(&w, 20);
	g_assert_nonnull(store_unready_reason(store));
	store_note_peer_contact(store, clock_now(w.clock));
	g_assert_null(store_unready_reason(store));
}

static void
test_due(void)
{
	struct checkpoint_policy policy = { 1000, 60 * USEC_PER_SEC };
	struct checkpoint_state s = { 1, 1, 1, 0 };

	g_assert_false(checkpoint_due(&policy, &s, 100 * USEC_PER_SEC));
	s.end = 500;
	g_assert_false(checkpoint_due(&policy, &s, 10 * USEC_PER_SEC));
	g_assert_true(checkpoint_due(&policy, &s, 60 * USEC_PER_SEC));
	s.end = 1001;
	g_assert_true(checkpoint_due(&policy, &s, 10 * USEC_PER_SEC));
	/* The log keeps 100 records: the newer half must hold it. */
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

/* A whole run of chunks with a wrong digest is no checkpoint. */
static void
test_digest(void)
{
	struct checkpoint_reader *reader = checkpoint_reader_create();
	struct tm_checkpoint_chunk chunk;
	struct checkpoint whole;

	checkpoint_reader_reset(reader, true);
	fill_chunk(&chunk, 0, "a");
	g_assert_false(checkpoint_reader_add(reader, &chunk, &whole));
	g_assert_false(checkpoint_reader_add(reader, &chunk, &whole));
	fill_chunk(&chunk, 1, "b");
	g_assert_false(checkpoint_reader_add(reader, &chunk, &whole));
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
	g_test_add_func("/store/cut_off", test_not_ready_when_cut_off);
	g_test_add_func("/checkpoint/due", test_due);
	g_test_add_func("/checkpoint/digest", test_digest);
	return g_test_run();
}
