/*
 * Replicas that say in their answers that they leave, while the store does not
 * know it or is silent.
 *
 * Guards against requests that are sent there after a gateway has passed on
 * such an answer: by this gateway or another one, new ones and those that wait;
 * and against a replica that is taken for leaving since one before it at its
 * address was.
 */
#include <string.h>

#include <glib.h>

#include "harness_fleet.h"

/* The pages allow 2 s; a message to another gateway takes milliseconds. */
#define HEARD_MAX_MS 1000
#define REQUESTS 20
#define RELIST_MS 800 /* until gateways have read an entry */

static void
send_request(int gateway, const char *path, const char *model)
{
	struct response resp;

	(void)fleet_request(&resp, gateway, path, model);
	response_clear(&resp);
}

static int64_t
count_arrivals(const struct fleet_backend *b)
{
	return read_journal_int(b->address, "arrived");
}

static bool
log_has_drains(int gateway, const struct fleet_backend *b)
{
	char *text = g_strdup_printf(
	    "\"msg\":\"replica drains\",\"replica\":\"%s\"", b->id);
	bool found = proc_log_contains(&fleet.gateways[gateway], text);

	g_free(text);
	return found;
}

/* Waits until all gateways know; asserts that this takes not too long. */
static void
await_received(const struct fleet_backend *b)
{
	int64_t start_ms = now_ms();

	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		while (!log_has_drains(i, b)) {
			g_assert_cmpint(now_ms() - start_ms, <, HEARD_MAX_MS);
			sleep_ms(10);
		}
	}
}

/* Sends requests at all gateways; returns how many reached the replica. */
static int64_t
send_requests(
    const struct fleet_backend *b, const char *path, const char *model)
{
	int64_t before = count_arrivals(b);

	for (int i = 0; i < REQUESTS; i++)
		send_request(i % FLEET_GATEWAYS, path, model);
	return count_arrivals(b) - before;
}

#define REACH_MAX_MS 5000

/* Requests of the first gateway, until the replica gets one. */
static void
reach(const struct fleet_backend *b, const char *path, const char *model)
{
	int64_t before = count_arrivals(b), start_ms = now_ms();

	while (count_arrivals(b) == before) {
		g_assert_cmpint(now_ms() - start_ms, <, REACH_MAX_MS);
		send_request(0, path, model);
	}
}

static void
check_plain_service(bool silent)
{
	struct fleet_backend *b = &fleet.services[0];

	fleet_start();
	set_faults(
	    fleet.store, silent ? "{\"silent\": true}" : "{\"silent\": false}");
	set_faults(b->address, "{\"leaving\": true}");
	/* The other one is away, so that this one gets the request. */
	set_faults(fleet.services[1].address, "{\"shed\": 100}");
	reach(b, "/look/1", NULL);
	set_faults(fleet.services[1].address, "{\"shed\": 0}");
	await_received(b);
	g_assert_cmpint(send_requests(b, "/look/1", NULL), ==, 0);
	fleet_stop();
}

static void
test_leaving_replica_gets_requests(void)
{
	check_plain_service(false);
}

static void
test_leaving_replica_gets_requests_while_store_is_silent(void)
{
	check_plain_service(true);
}

static bool
all_have_unlisted(void *replica)
{
	const struct fleet_backend *b = replica;
	char *text = g_strdup_printf(
	    "\"msg\":\"replica gone\",\"replica\":\"%s\"", b->id);
	bool all = true;

	for (int i = 0; i < FLEET_GATEWAYS; i++)
		all &= proc_log_contains(&fleet.gateways[i], text);
	g_free(text);
	return all;
}

/* Its entry goes, and a store that goes back lists it again as ready. */
static void
test_leaving_is_forgotten_with_entry(void)
{
	struct fleet_backend *b = &fleet.services[0];

	fleet_start();
	set_faults(b->address, "{\"leaving\": true}");
	set_faults(fleet.services[1].address, "{\"shed\": 100}");
	reach(b, "/look/1", NULL);
	set_faults(fleet.services[1].address, "{\"shed\": 0}");
	await_received(b);
	fleet_write_key("keyed.servers", b->id, NULL);
	await_true(all_have_unlisted, b, "entry gone");
	fleet_write_replica(b, "app", "ready", 1000);
	sleep_ms(RELIST_MS);
	g_assert_cmpint(send_requests(b, "/look/1", NULL), ==, 0);
	/* Another start of it has not said that it leaves. */
	set_faults(b->address, "{\"leaving\": false}");
	fleet_write_replica(b, "app", "ready", 2000);
	sleep_ms(RELIST_MS);
	g_assert_cmpint(send_requests(b, "/look/1", NULL), >, 0);
	fleet_stop();
}

/* A refusal says it too. */
static void
test_refusing_replica_gets_requests(void)
{
	struct fleet_backend *b = &fleet.services[0];

	fleet_start();
	for (int i = 0; i < FLEET_SERVICES; i++)
		set_faults(fleet.services[i].address, "{\"shed\": 1000}");
	set_faults(b->address, "{\"leaving\": true}");
	reach(b, "/look/1", NULL);
	await_received(b);
	set_faults(fleet.services[1].address, "{\"shed\": 0}");
	g_assert_cmpint(send_requests(b, "/look/1", NULL), ==, 0);
	fleet_stop();
}

/* The sidecar sees it before any request does. */
static void
test_leaving_engine_gets_requests(void)
{
	struct fleet_backend *b = &fleet.engines[0];

	fleet_start();
	set_faults(b->address, "{\"leaving\": true}");
	await_received(b);
	g_assert_cmpint(send_requests(b, "/stream/1", "m1"), ==, 0);
	fleet_stop();
}

static void *
send_stream(void *response)
{
	return GINT_TO_POINTER(fleet_request(response, 0, "/stream/1", "m1"));
}

/* A stream that runs there is not cut. */
static void
test_leaving_cuts_stream(void)
{
	struct response resp;
	GThread *thread;
	int64_t before;
	int r;

	fleet_start();
	before = fleet_sum_journals(fleet.engines, FLEET_ENGINES, "runs");
	thread = g_thread_new("caller", send_stream, &resp);
	while (
	    fleet_sum_journals(fleet.engines, FLEET_ENGINES, "runs") == before)
		sleep_ms(1);
	fleet_set_faults(fleet.engines, FLEET_ENGINES, "{\"leaving\": true}");
	r = GPOINTER_TO_INT(g_thread_join(thread));
	g_assert_true(fleet_is_complete_stream(&resp, r));
	response_clear(&resp);
	fleet_stop();
}

static bool
only_one_engine(void *gateway)
{
	return proc_log_contains(gateway, "\"msg\":\"replica gone\"");
}

static bool
waits_for_place(void *gateway)
{
	return proc_log_contains(
	    gateway, "\"msg\":\"request waits for a limit\"");
}

static void *
send_some_streams(void *unused)
{
	for (int i = 0; i < 3; i++)
		send_request(0, "/stream/1", "m1");
	return NULL;
}

/* A request has been given a place within the replica's limit. */
static void
test_waiting_request_reaches_leaving_replica(void)
{
	struct fleet_backend *b = &fleet.engines[0];
	GThread *thread;
	int64_t before;

	fleet_start();
	fleet_write_key("keyed.servers", fleet.engines[1].id, NULL);
	await_true(only_one_engine, &fleet.gateways[0], "one engine");
	set_faults(b->address, "{\"limit\": 1}");
	thread = g_thread_new("caller", send_some_streams, NULL);
	await_true(waits_for_place, &fleet.gateways[0], "a request waits");
	set_faults(b->address, "{\"leaving\": true}");
	while (!log_has_drains(0, b))
		sleep_ms(1);
	before = count_arrivals(b);
	g_thread_join(thread);
	g_assert_cmpint(count_arrivals(b), ==, before);
	fleet_stop();
}

/* The next incarnation at the address serves at once. */
static void
test_next_incarnation_gets_no_requests(void)
{
	struct fleet_backend *b = &fleet.services[0];
	struct response resp;

	fleet_start();
	set_faults(fleet.services[1].address, "{\"shed\": 1000}");
	set_faults(b->address, "{\"leaving\": true}");
	reach(b, "/look/1", NULL);
	await_received(b);
	set_faults(b->address,
	    "{\"leaving\": false, \"crash_path\": \"end\", \"crash_ms\": 1}");
	/* Ends it from outside the gateways. */
	http_call(&resp, "GET", b->address, "/end",
	    (const char *[]){ "Tamarackmast-Request-Id: end", NULL }, NULL);
	response_clear(&resp);
	fleet_register_restarts(fleet.services, FLEET_SERVICES, "app");
	reach(b, "/look/1", NULL);
	fleet_stop();
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/leaving/leaving_replica_gets_requests",
	    test_leaving_replica_gets_requests);
	g_test_add_func(
	    "/leaving/leaving_replica_gets_requests_while_store_is_silent",
	    test_leaving_replica_gets_requests_while_store_is_silent);
	g_test_add_func("/leaving/leaving_is_forgotten_with_entry",
	    test_leaving_is_forgotten_with_entry);
	g_test_add_func("/leaving/refusing_replica_gets_requests",
	    test_refusing_replica_gets_requests);
	g_test_add_func("/leaving/leaving_engine_gets_requests",
	    test_leaving_engine_gets_requests);
	g_test_add_func(
	    "/leaving/leaving_cuts_stream", test_leaving_cuts_stream);
	g_test_add_func("/leaving/waiting_request_reaches_leaving_replica",
	    test_waiting_request_reaches_leaving_replica);
	g_test_add_func("/leaving/next_incarnation_gets_no_requests",
	    test_next_incarnation_gets_no_requests);
	return g_test_run();
}
