/*
 * Permits for loads from the weight store, against a store that has lost
 * records.
 *
 * Guards against calls without a pause while the store answers appends with a
 * conflict and reads as expired.
 */
#include <string.h>

#include <event2/event.h>
#include <glib.h>

#include "common/clock.h"
#include "common/process.h"
#include "coordination/load_permit.h"

#define ANSWER_US 1000 /* of the store */
#define RUN_US (900 * USEC_PER_MSEC) /* a request expires after a second */
#define APPENDS_MAX 6

struct fake_call {
	fleet_batch_cb *done;
	void *ctx;
};

static struct fake_store {
	struct process process;
	struct event *answer; /* pending while a call is */
	struct fake_call call;
	enum fleet_status status;
	uint64_t end;
	unsigned appends;
	unsigned reads;
	unsigned granted;
	bool accepts; /* appends */
} store;

static void
on_answer(evutil_socket_t fd, short what, void *arg)
{
	struct fleet_batch batch = { .status = store.status, .end = store.end };

	store.call.done(store.call.ctx, &batch);
}

static void
begin_call(enum fleet_status status, fleet_batch_cb *done, void *ctx)
{
	struct timeval tv = clock_timeval(ANSWER_US);

	store.call = (struct fake_call){ done, ctx };
	store.status = status;
	evtimer_add(store.answer, &tv);
}

/* The topic ends at 5, and what is asked for is not there. */
static void
fake_append(void *arg, enum fleet_topic topic, uint64_t at,
    const struct fleet_record *records, size_t count, fleet_batch_cb *done,
    void *ctx)
{
	store.appends++;
	if (store.accepts) {
		store.end++;
		begin_call(FLEET_OK, done, ctx);
		return;
	}
	store.end = 5;
	begin_call(FLEET_CONFLICT, done, ctx);
}

static void
fake_read(void *arg, enum fleet_topic topic, uint64_t from, int64_t wait_us,
    fleet_batch_cb *done, void *ctx)
{
	store.reads++;
	store.end = 0;
	begin_call(FLEET_EXPIRED, done, ctx);
}

static const struct fleet_store_ops fake_ops = {
	.append = fake_append,
	.read = fake_read,
};

static void
on_granted(void *ctx)
{
	store.granted++;
}

static void
test_expired_records_are_read_without_pause(void)
{
	struct process_options process = { .name = "test",
		.log_levels = "error" };
	struct load_permit_options opts = { .process = &store.process,
		.ops = &fake_ops,
		.window_us = 5 * USEC_PER_SEC,
		.overage = 1,
		.offline_interval_us = 9 * USEC_PER_SEC,
		.initial_limit = 4,
		.granted = on_granted };
	struct timeval tv = clock_timeval(RUN_US);
	struct load_permit *p;

	g_assert_cmpint(process_open(&store.process, &process), ==, 0);
	store.answer = evtimer_new(store.process.base, on_answer, NULL);
	p = load_permit_create(&opts);
	load_permit_request(p, 2, USEC_PER_SEC);
	event_base_loopexit(store.process.base, &tv);
	event_base_dispatch(store.process.base);
	g_test_message("%u appends, %u reads", store.appends, store.reads);
	g_assert_cmpuint(store.granted, ==, 0);
	g_assert_cmpuint(store.appends, >, 1);
	g_assert_cmpuint(store.appends, <=, APPENDS_MAX);
	event_free(store.answer);
	load_permit_destroy(p);
	process_close(&store.process);
}

/* Requests a permit until one is granted, for at most RUN_US. */
static bool
is_granted(struct load_permit *p)
{
	unsigned before = store.granted;
	struct timeval tv = clock_timeval(20 * USEC_PER_MSEC);

	(void)load_permit_take(p);
	for (int i = 0; i < 20 && store.granted == before; i++) {
		load_permit_request(p, 1, USEC_PER_MSEC);
		event_base_loopexit(store.process.base, &tv);
		event_base_dispatch(store.process.base);
	}
	return store.granted != before;
}

/*
 * The time of day jumps, in the middle of the window of a store that allows a
 * load a second: ahead it must not end the window, back not prolong it.
 */
static void
test_clock_steps_change_no_window(void)
{
	static const int64_t steps[] = { 20 * USEC_PER_SEC, -20 * USEC_PER_SEC,
		0 };
	struct process_options process = { .name = "test",
		.log_levels = "error" };
	struct load_permit_options opts = { .process = &store.process,
		.ops = &fake_ops,
		.window_us = 5 * USEC_PER_SEC,
		.overage = 1,
		.offline_interval_us = 9 * USEC_PER_SEC,
		.initial_limit = 4,
		.granted = on_granted };

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		struct load_permit *p;
		unsigned loads = 0;

		memset(&store, 0, sizeof(store));
		store.accepts = true;
		g_assert_cmpint(process_open(&store.process, &process), ==, 0);
		clock_destroy(store.process.clock);
		store.process.clock = clock_create_manual(100 * USEC_PER_SEC);
		store.answer = evtimer_new(store.process.base, on_answer, NULL);
		p = load_permit_create(&opts);
		while (loads < 20 && is_granted(p)) {
			loads++;
			clock_advance(store.process.clock, 50 * USEC_PER_MSEC);
		}
		g_assert_cmpuint(loads, ==, 7); /* five, and two at once */
		clock_step_wall(store.process.clock, steps[i]);
		g_assert_false(is_granted(p));
		clock_advance(store.process.clock, 10 * USEC_PER_SEC);
		g_assert_true(is_granted(p));
		event_free(store.answer);
		load_permit_destroy(p);
		process_close(&store.process);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load_permit/expired_records_are_read_without_pause",
	    test_expired_records_are_read_without_pause);
	g_test_add_func("/load_permit/clock_steps_change_no_window",
	    test_clock_steps_change_no_window);
	return g_test_run();
}
