/*
 * Replicas that refuse requests and ask for a pause: one of a service, then all
 * of it, for seconds or for an hour, or in words that cannot be read.
 *
 * Guards against requests that are sent there meanwhile, against requests that
 * wait although no replica returns in time, and against ones that are refused
 * although one does.
 */
#include <string.h>

#include <glib.h>

#include "harness_fleet.h"

#define REQUESTS 60
#define REQUEST_GAP_MS 25
/* The pages' bound: requests of one gateway during the pause. */
#define QUIET_REQUESTS_MAX 2
#define SETTLE_MS 500 /* from the refusal on, it is not judged */
#define REFUSAL_MAX_S 0.5
#define DEADLINE_S 5.0 /* timeout of the route */

static struct response
look(int gateway)
{
	struct response resp;

	(void)fleet_request(&resp, gateway, "/look/1", NULL);
	return resp;
}

static void
set_quiet(const struct fleet_backend *list, int count, const char *retry_after)
{
	char *fault = g_strdup_printf("{\"quiet\": \"%s\"}", retry_after);

	fleet_set_faults(list, count, fault);
	g_free(fault);
}

/* Sends requests at all gateways in turn; returns how many were answered. */
static int
send_requests(int count)
{
	int answered = 0;

	for (int i = 0; i < count; i++) {
		struct response resp = look(i % FLEET_GATEWAYS);

		answered += resp.code == 200;
		response_clear(&resp);
		sleep_ms(REQUEST_GAP_MS);
	}
	return answered;
}

static void
test_quiet_replica_gets_requests(void)
{
	const struct fleet_backend *b = &fleet.services[0];
	int64_t before;

	fleet_start();
	set_quiet(b, 1, "3");
	(void)send_requests(SETTLE_MS / REQUEST_GAP_MS);
	before = read_journal_int(b->address, "arrived");
	g_assert_cmpint(before, >, 0);
	/* The other one serves them. */
	g_assert_cmpint(send_requests(REQUESTS), ==, REQUESTS);
	g_assert_cmpint(read_journal_int(b->address, "arrived") - before, <=,
	    QUIET_REQUESTS_MAX * FLEET_GATEWAYS);
	fleet_stop();
}

static void
test_quiet_service_gets_requests(void)
{
	int64_t before;

	fleet_start();
	set_quiet(fleet.services, FLEET_SERVICES, "3600");
	(void)send_requests(SETTLE_MS / REQUEST_GAP_MS);
	before = fleet_sum_journals(fleet.services, FLEET_SERVICES, "arrived");
	for (int i = 0; i < REQUESTS; i++) {
		struct response resp = look(i % FLEET_GATEWAYS);

		g_assert_true(resp.code == 503 || resp.code == 429);
		g_assert_cmpfloat(resp.retry_after_s, >, 0);
		g_assert_cmpfloat(resp.seconds, <, REFUSAL_MAX_S);
		response_clear(&resp);
	}
	g_assert_cmpint(
	    fleet_sum_journals(fleet.services, FLEET_SERVICES, "arrived") -
		before,
	    <=, QUIET_REQUESTS_MAX * FLEET_GATEWAYS * FLEET_SERVICES);
	fleet_stop();
}

static void
test_request_is_refused_before_return(void)
{
	struct response resp;

	fleet_start();
	set_quiet(fleet.services, FLEET_SERVICES, "1.5");
	(void)send_requests(SETTLE_MS / REQUEST_GAP_MS);
	set_quiet(fleet.services, FLEET_SERVICES, "");
	resp = look(0);
	g_assert_cmpint(resp.code, ==, 200);
	g_assert_cmpfloat(resp.seconds, <, DEADLINE_S);
	response_clear(&resp);
	fleet_stop();
}

/* Only seconds are a pause. */
static void
test_rubbish_is_a_pause(void)
{
	static const char *const texts[] = { "soon", "-1", "0", "1s", "nan",
		"Fri, 04 Dec 2026 17:00:00 GMT" };

	fleet_start();
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		set_quiet(fleet.services, FLEET_SERVICES, texts[i]);
		(void)send_requests(2);
		set_quiet(fleet.services, FLEET_SERVICES, "");
		g_assert_cmpint(send_requests(2), ==, 2);
	}
	fleet_stop();
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quiet/quiet_replica_gets_requests",
	    test_quiet_replica_gets_requests);
	g_test_add_func("/quiet/quiet_service_gets_requests",
	    test_quiet_service_gets_requests);
	g_test_add_func("/quiet/request_is_refused_before_return",
	    test_request_is_refused_before_return);
	g_test_add_func("/quiet/rubbish_is_a_pause", test_rubbish_is_a_pause);
	return g_test_run();
}
