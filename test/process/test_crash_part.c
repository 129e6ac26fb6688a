/*
 * Requests with one part in their prompts, or one request that is repeated as a
 * whole, crash each replica that begins to answer them.  Guards against
 * gateways that send such requests to one replica after the other, and against
 * sound requests that are refused for them.
 */
#include <stdio.h>
#include <string.h>

#include <bsd/string.h>
#include <glib.h>

#include "harness_fleet.h"

#define POISON "bad0bad0"
#define CRASH_MS 200 /* a replica's absence after a crash */
/* The pages' bounds: crashes, the time after them, requests sent then. */
#define CRASHES 5
#define STABLE_MS 3000
#define POISONED_MAX 3
#define ANSWER_MAX_S 0.5 /* of a refusal */
#define TRIES_MAX 20

static const char crash_fault[] =
    "{\"crash_part\": \"" POISON "\", \"crash_ms\": 200}";

/* A request with the parts "f1", `part` and one of its own. */
static void
request_with_part(struct response *resp, int gateway, const char *part)
{
	int number = g_atomic_int_add(&fleet.request_count, 1) + 1;
	char *id = g_strdup_printf("Tamarackmast-Request-Id: r%d", number);
	char *parts = g_strdup_printf(
	    "Tamarackmast-Prompt-Prefix: f1:100,%s:50,%x:10", part, number);
	const char *headers[] = { "Host: h.example",
		"Tamarackmast-Deadline-Ms: 10000", "Tamarackmast-Model: m1",
		"Tamarackmast-Token-Count: 160,20", id, parts, NULL };

	http_call(resp, "GET", fleet.http_address[gateway], "/stream/1",
	    headers, NULL);
	if (resp->code == 200)
		g_assert_true(fleet_is_complete_stream(resp, number));
	g_free(id);
	g_free(parts);
}

static bool
gateways_list(void *backend)
{
	const struct fleet_backend *b = backend;
	char text[HARNESS_TEXT_SIZE + 64];

	snprintf(text, sizeof(text),
	    "\"msg\":\"replica's models known\",\"replica\":\"%s\"", b->id);
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		if (!proc_log_contains(&fleet.gateways[i], text))
			return false;
	}
	return true;
}

static void
register_restarts(void)
{
	fleet_register_restarts(fleet.engines, FLEET_ENGINES, "llm");
	for (int i = 0; i < FLEET_ENGINES; i++)
		await_true(gateways_list, &fleet.engines[i], "replica listed");
}

static int64_t
sum_engines(const char *field)
{
	return fleet_sum_journals(fleet.engines, FLEET_ENGINES, field);
}

static void
run_sound_requests(int count)
{
	struct response resp;

	for (int i = 0; i < count; i++) {
		request_with_part(&resp, i % FLEET_GATEWAYS, "500d");
		g_assert_cmpint(resp.code, ==, 200);
		response_clear(&resp);
	}
}

/* Sends requests with the part at both gateways until replicas crashed. */
static void
crash_replicas(int crashes)
{
	struct response resp;

	/* Fewer are needed if the gateways bar the part before. */
	for (int i = 0; i < TRIES_MAX && sum_engines("crashes") < crashes;
	     i++) {
		request_with_part(&resp, i % FLEET_GATEWAYS, POISON);
		g_assert_cmpint(resp.code, !=, 200);
		response_clear(&resp);
		register_restarts();
	}
}

static void
check_refused(int gateway)
{
	struct response resp;

	request_with_part(&resp, gateway, POISON);
	g_assert_cmpint(resp.code, ==, 503);
	g_assert_cmpfloat(resp.seconds, <, ANSWER_MAX_S);
	g_assert_cmpfloat(resp.retry_after_s, >, 0);
	response_clear(&resp);
}

static void
test_requests_crash_replica_after_replica(void)
{
	int64_t poisoned, sent;

	fleet_start();
	run_sound_requests(20);
	fleet_set_faults(fleet.engines, FLEET_ENGINES, crash_fault);
	crash_replicas(CRASHES);
	g_usleep(STABLE_MS * 1000);
	poisoned = sum_engines("poisoned");
	for (int i = 0; i < 12; i++) {
		struct response resp;

		request_with_part(&resp, i % FLEET_GATEWAYS, POISON);
		response_clear(&resp);
		register_restarts();
	}
	sent = sum_engines("poisoned") - poisoned;
	g_assert_cmpint((int)sent, <=, POISONED_MAX);
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		check_refused(i);
	run_sound_requests(8);
	/* What the gateways have learned outlives each of them. */
	proc_kill(&fleet.gateways[0]);
	proc_clear(&fleet.gateways[0]);
	fleet_start_gateway(0);
	await_true(
	    fleet_gateway_ready, fleet.ready_address[0], "gateway ready");
	g_usleep(STABLE_MS * 1000);
	check_refused(0);
	run_sound_requests(4);
	fleet_stop();
}

static bool
answers_part(void *gateway)
{
	struct response resp;
	bool ok;

	request_with_part(&resp, *(int *)gateway, POISON);
	ok = resp.code == 200;
	response_clear(&resp);
	return ok;
}

/* A part that is sound after all, or again, is admitted by every gateway. */
static void
test_part_stays_barred_by_mistake(void)
{
	fleet_start();
	fleet_set_faults(fleet.engines, FLEET_ENGINES, crash_fault);
	crash_replicas(CRASHES);
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		check_refused(i);
	fleet_set_faults(
	    fleet.engines, FLEET_ENGINES, "{\"crash_part\": \"\"}");
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		await_true(answers_part, &i, "part admitted");
	fleet_stop();
}

/* ---- one request that is repeated as a whole ---- */

#define WHOLE_CRASHES 3
#define REPEATS 16
#define REPEATED_PATH "/look/bad"

static const char crash_path_fault[] =
    "{\"crash_path\": \"" REPEATED_PATH "\", \"crash_ms\": 200}";

/* The same prompt each time, with the part as its last one. */
static void
repeat_prompt(struct response *resp, int gateway)
{
	int number = g_atomic_int_add(&fleet.request_count, 1) + 1;
	char *id = g_strdup_printf("Tamarackmast-Request-Id: r%d", number);
	const char *headers[] = { "Host: h.example",
		"Tamarackmast-Deadline-Ms: 10000", "Tamarackmast-Model: m1",
		"Tamarackmast-Token-Count: 160,20", id,
		"Tamarackmast-Prompt-Prefix: f1:100,500d:50," POISON ":10",
		NULL };

	http_call(resp, "GET", fleet.http_address[gateway], "/stream/1",
	    headers, NULL);
	g_free(id);
}

static void
repeat_plain(struct response *resp, int gateway)
{
	(void)fleet_request(resp, gateway, REPEATED_PATH, NULL);
}

static bool
service_is_listed(void *backend)
{
	const struct fleet_backend *b = backend;
	char text[HARNESS_TEXT_SIZE + 64];

	snprintf(text, sizeof(text),
	    "\"msg\":\"replica listed\",\"replica\":\"%s\"", b->id);
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		if (!proc_log_contains(&fleet.gateways[i], text))
			return false;
	}
	return true;
}

static void
register_service_restarts(void)
{
	fleet_register_restarts(fleet.services, FLEET_SERVICES, "app");
	for (int i = 0; i < FLEET_SERVICES; i++)
		await_true(
		    service_is_listed, &fleet.services[i], "replica listed");
}

/* Repeats the request at both gateways, before and after the bound. */
static void
check_repeats(const struct fleet_backend *list, int count,
    void (*repeat)(struct response *, int gateway), void (*restart)(void))
{
	struct response resp;

	for (int i = 0; i < REPEATS; i++) {
		repeat(&resp, i % FLEET_GATEWAYS);
		g_assert_cmpint(resp.code, !=, 200);
		response_clear(&resp);
		restart();
	}
	g_assert_cmpint((int)fleet_sum_journals(list, count, "poisoned"), <=,
	    WHOLE_CRASHES + POISONED_MAX);
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		repeat(&resp, i);
		g_assert_cmpint(resp.code, ==, 503);
		g_assert_cmpfloat(resp.seconds, <, ANSWER_MAX_S);
		g_assert_cmpfloat(resp.retry_after_s, >, 0);
		response_clear(&resp);
	}
}

static void
test_repeated_prompt_crashes_replica_after_replica(void)
{
	fleet_start();
	run_sound_requests(20);
	fleet_set_faults(fleet.engines, FLEET_ENGINES, crash_fault);
	check_repeats(
	    fleet.engines, FLEET_ENGINES, repeat_prompt, register_restarts);
	/* Others with the same first parts are served. */
	run_sound_requests(8);
	fleet_stop();
}

static void
test_plain_request_crashes_replica_after_replica(void)
{
	struct response resp;

	fleet_start();
	for (int i = 0; i < 20; i++) {
		(void)fleet_request(&resp, i % FLEET_GATEWAYS, "/look/1", NULL);
		response_clear(&resp);
	}
	fleet_set_faults(fleet.services, FLEET_SERVICES, crash_path_fault);
	check_repeats(fleet.services, FLEET_SERVICES, repeat_plain,
	    register_service_restarts);
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		(void)fleet_request(&resp, i, "/look/1", NULL);
		g_assert_cmpint(resp.code, ==, 200);
		response_clear(&resp);
	}
	fleet_stop();
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash_part/requests_crash_replica_after_replica",
	    test_requests_crash_replica_after_replica);
	g_test_add_func("/crash_part/part_stays_barred_by_mistake",
	    test_part_stays_barred_by_mistake);
	g_test_add_func(
	    "/crash_part/repeated_prompt_crashes_replica_after_replica",
	    test_repeated_prompt_crashes_replica_after_replica);
	g_test_add_func(
	    "/crash_part/plain_request_crashes_replica_after_replica",
	    test_plain_request_crashes_replica_after_replica);
	return g_test_run();
}
