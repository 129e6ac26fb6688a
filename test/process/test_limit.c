/*
 * Replicas that name in their answers how many requests a second they take from
 * all gateways together, while both gateways get several times as many.
 *
 * Guards against gateways that send more than that between them, whatever is
 * sent; against requests that wait although they cannot be served in time; and
 * against a limit that outlasts the replica's need.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "harness_fleet.h"

/* The pages' bound on the requests of any 4 s. */
#define WINDOW_S 4
#define WINDOW_SHARE 1.5
#define WINDOW_MORE 5
#define LOAD_MS 9000 /* of it, the first 3 s are not judged */
#define REQUESTS_PER_S 20 /* at both gateways together */
#define REQUESTS (LOAD_MS * REQUESTS_PER_S / 1000)
#define DEADLINE_MS 4000
#define REFUSAL_MAX_S 1.0

struct outcomes {
	int served;
	int refused;
	int others;
	double slowest_refusal_s;
};

static struct batch_call calls[REQUESTS];
static char ids[REQUESTS][HARNESS_TEXT_SIZE];
static const char *headers[REQUESTS][5];

/* Sends requests at a steady rate, and counts their outcomes. */
static struct outcomes
run_load(const char *path, const char *model)
{
	struct outcomes out = { 0 };

	for (int i = 0; i < REQUESTS; i++) {
		int number = g_atomic_int_add(&fleet.request_count, 1) + 1;

		snprintf(ids[i], sizeof(ids[i]), "Tamarackmast-Request-Id: r%d",
		    number);
		headers[i][0] = "Host: h.example";
		headers[i][1] =
		    "Tamarackmast-Deadline-Ms: " G_STRINGIFY(DEADLINE_MS);
		headers[i][2] = ids[i];
		headers[i][3] = model;
		calls[i] = (struct batch_call){ .method = "GET",
			.address = fleet.http_address[i % FLEET_GATEWAYS],
			.path = (char *)path,
			.headers = headers[i],
			.start_after_ms = (int64_t)i * 1000 / REQUESTS_PER_S };
	}
	http_call_batch(calls, REQUESTS);
	for (int i = 0; i < REQUESTS; i++) {
		const struct response *r = &calls[i].response;

		if (r->code == 200 && !r->cut) {
			out.served++;
		} else if ((r->code == 503 || r->code == 429) &&
			   r->retry_after_s > 0) {
			out.refused++;
			if (r->seconds > out.slowest_refusal_s)
				out.slowest_refusal_s = r->seconds;
		} else {
			out.others++;
		}
		response_clear(&calls[i].response);
	}
	g_test_message("served %d, refused %d in at most %.3f s, others %d",
	    out.served, out.refused, out.slowest_refusal_s, out.others);
	return out;
}

static void
set_limit(const struct fleet_backend *list, int count, double limit)
{
	char fault[64];

	snprintf(fault, sizeof(fault), "{\"limit\": %g}", limit);
	fleet_set_faults(list, count, fault);
}

static void
check_limit(const struct fleet_backend *list, int count, double limit)
{
	for (int i = 0; i < count; i++) {
		int64_t most = read_journal_int(list[i].address, "window_max");

		g_test_message(
		    "%s: %d in %d s", list[i].id, (int)most, WINDOW_S);
		g_assert_cmpint(most, <=,
		    (int64_t)(limit * WINDOW_S * WINDOW_SHARE + WINDOW_MORE));
	}
}

static void
check_refusals(const struct outcomes *out)
{
	g_assert_cmpint(out->others, ==, 0);
	g_assert_cmpfloat(out->slowest_refusal_s, <, REFUSAL_MAX_S);
}

/* The engine to which gateways send the first request. */
static struct fleet_backend *
preferred_engine(void)
{
	struct response resp;
	int64_t before = read_journal_int(fleet.engines[0].address, "runs");

	(void)fleet_request(&resp, 0, "/stream/1", "m1");
	response_clear(&resp);
	return read_journal_int(fleet.engines[0].address, "runs") > before
		   ? &fleet.engines[0]
		   : &fleet.engines[1];
}

static void
test_engine_gets_more_than_its_limit(void)
{
	struct fleet_backend *engine;
	struct outcomes out;

	fleet_start();
	engine = preferred_engine();
	set_limit(engine, 1, 2);
	out = run_load("/stream/1", "Tamarackmast-Model: m1");
	check_limit(engine, 1, 2);
	/* The other one serves the rest. */
	g_assert_cmpint(out.served, ==, REQUESTS);
	fleet_stop();
}

static void
test_all_engines_get_more_than_their_limits(void)
{
	struct outcomes out;

	fleet_start();
	set_limit(fleet.engines, FLEET_ENGINES, 1);
	out = run_load("/stream/1", "Tamarackmast-Model: m1");
	check_limit(fleet.engines, FLEET_ENGINES, 1);
	check_refusals(&out);
	/* About half of what the replicas take, as a lower bound. */
	g_assert_cmpint(out.served, >=, LOAD_MS / 1000);
	fleet_stop();
}

static void
test_plain_service_gets_more_than_its_limit(void)
{
	struct outcomes out;

	fleet_start();
	set_limit(fleet.services, FLEET_SERVICES, 2);
	out = run_load("/look/1", NULL);
	check_limit(fleet.services, FLEET_SERVICES, 2);
	check_refusals(&out);
	g_assert_cmpint(out.served, >=, 2 * LOAD_MS / 1000);
	fleet_stop();
}

/* Gateways cannot reach the processes that meter the limit. */
static void
test_limit_is_broken_without_sidecars(void)
{
	struct outcomes out;

	fleet_start();
	for (int i = 0; i < FLEET_ENGINES; i++)
		proc_signal(&fleet.engines[i].sidecar, SIGSTOP);
	set_limit(fleet.engines, FLEET_ENGINES, 2);
	out = run_load("/stream/1", "Tamarackmast-Model: m1");
	check_limit(fleet.engines, FLEET_ENGINES, 2);
	g_assert_cmpint(out.others, ==, 0);
	g_assert_cmpint(out.served, >, 0);
	for (int i = 0; i < FLEET_ENGINES; i++)
		proc_signal(&fleet.engines[i].sidecar, SIGCONT);
	fleet_stop();
}

static void
restart_gateways_and_sidecars(void)
{
	for (int i = 0; i < FLEET_ENGINES; i++) {
		char *name = g_strdup_printf("sidecar-%d-again", i);

		sleep_ms(1500);
		proc_kill(&fleet.engines[i].sidecar);
		proc_clear(&fleet.engines[i].sidecar);
		fleet_start_sidecar(&fleet.engines[i], name);
		sleep_ms(1000);
		proc_kill(&fleet.gateways[1]);
		proc_clear(&fleet.gateways[1]);
		fleet_start_gateway(1);
		g_free(name);
	}
}

static void *
run_load_of_m1(void *outcomes)
{
	*(struct outcomes *)outcomes =
	    run_load("/stream/1", "Tamarackmast-Model: m1");
	return NULL;
}

/*
 * What was granted before a restart counts after it.  The restarts are made
 * here, as processes end with the thread that has started them.
 */
static void
test_limit_is_broken_by_restarts(void)
{
	struct outcomes out;
	GThread *thread;

	fleet_start();
	set_limit(fleet.engines, FLEET_ENGINES, 2);
	thread = g_thread_new("load", run_load_of_m1, &out);
	restart_gateways_and_sidecars();
	g_thread_join(thread);
	check_limit(fleet.engines, FLEET_ENGINES, 2);
	g_assert_cmpint(out.served, >, 0);
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		g_assert_true(proc_is_running(&fleet.gateways[i]));
	fleet_stop();
}

static bool
is_served(void *ctx)
{
	struct response resp;
	bool served;

	(void)fleet_request(&resp, 0, "/stream/1", "m1");
	served = resp.code == 200;
	response_clear(&resp);
	return served;
}

static bool
is_refused(void *ctx)
{
	return !is_served(ctx);
}

/* For a sidecar to start and to be connected, and two places. */
#define METER_BACK_MS 5000

/* A gateway's turns come seldom, and the meter gives places when it is back. */
static void
test_turns_outlast_absence_of_meter(void)
{
	int64_t start_ms;

	fleet_start();
	for (int i = 0; i < FLEET_ENGINES; i++) {
		proc_kill(&fleet.engines[i].sidecar);
		proc_clear(&fleet.engines[i].sidecar);
	}
	set_limit(fleet.engines, FLEET_ENGINES, 0.5);
	await_true(is_refused, NULL, "replicas limited, no turn soon");
	start_ms = now_ms();
	for (int i = 0; i < FLEET_ENGINES; i++) {
		char *name = g_strdup_printf("sidecar-%d", i);

		fleet_start_sidecar(&fleet.engines[i], name);
		g_free(name);
	}
	await_true(is_served, NULL, "served by a place of the meter");
	g_assert_cmpint(now_ms() - start_ms, <, METER_BACK_MS);
	fleet_stop();
}

static void
test_limit_outlasts_its_naming(void)
{
	struct outcomes out;

	fleet_start();
	set_limit(fleet.engines, FLEET_ENGINES, 1);
	(void)run_load("/stream/1", "Tamarackmast-Model: m1");
	set_limit(fleet.engines, FLEET_ENGINES, 0);
	sleep_ms(1000); /* one answer says that it has ended */
	out = run_load("/stream/1", "Tamarackmast-Model: m1");
	/* Until the first answer, requests may be refused. */
	g_assert_cmpint(out.served, >=, REQUESTS - REQUESTS_PER_S * 2);
	g_assert_cmpint(out.others, ==, 0);
	fleet_stop();
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/engine_gets_more_than_its_limit",
	    test_engine_gets_more_than_its_limit);
	g_test_add_func("/limit/all_engines_get_more_than_their_limits",
	    test_all_engines_get_more_than_their_limits);
	g_test_add_func("/limit/plain_service_gets_more_than_its_limit",
	    test_plain_service_gets_more_than_its_limit);
	g_test_add_func("/limit/limit_is_broken_without_sidecars",
	    test_limit_is_broken_without_sidecars);
	g_test_add_func("/limit/limit_is_broken_by_restarts",
	    test_limit_is_broken_by_restarts);
	g_test_add_func("/limit/turns_outlast_absence_of_meter",
	    test_turns_outlast_absence_of_meter);
	g_test_add_func(
	    "/limit/limit_outlasts_its_naming", test_limit_outlasts_its_naming);
	return g_test_run();
}
