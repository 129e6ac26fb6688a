/*
 * Guards against a replica that is ordered to load more than it holds because
 * an order of before its restart arrives late: the stand-in ends then.
 */
#include <string.h>

#include <glib.h>

#include "harness_fleet.h"

#define LATE_MS 9000 /* after the order is sent */
#define RESTART_MS 300

static struct fleet_backend *engine = &fleet.engines[1];

static bool
has_one_engine(void *gateway)
{
	return proc_log_contains(gateway, "\"msg\":\"replica gone\"");
}

/* Callers ask for the model until it is answered. */
static void
use_model(const char *model)
{
	for (int i = 0; i < 20; i++) {
		struct response resp;
		int r = fleet_request(&resp, 0, "/stream/1", model);
		bool ok = fleet_is_complete_stream(&resp, r);

		response_clear(&resp);
		proc_assert_running(&engine->replica);
		if (ok)
			return;
		sleep_ms(100);
	}
	g_assert_not_reached();
}

static bool
has_accepted(void *seq)
{
	return read_journal_int(engine->address, "seq") == *(int64_t *)seq;
}

/* Or the replica has ended by it. */
static bool
late_order_arrived(void *ctx)
{
	struct response resp;
	bool arrived;

	http_call(&resp, "GET", engine->address, "/journal", NULL, NULL);
	arrived = resp.code != 200 || response_int(&resp, "late_orders") == 1;
	response_clear(&resp);
	return arrived;
}

/*
 * The replica is full when it is ordered to load m3 as its third order, which
 * is lost.  It restarts under its id and is filled again by two orders.
 */
static void
test_late_order_overfills_restarted_replica(void)
{
	int64_t empty = 0;

	fleet_start();
	fleet_write_key("keyed.servers", fleet.engines[0].id, NULL);
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		await_true(has_one_engine, &fleet.gateways[i], "one engine");
	use_model("m1");
	use_model("m2");
	fleet_set_faults(engine, 1, "{\"late_ms\":" G_STRINGIFY(LATE_MS) "}");
	use_model("m3");
	fleet_set_faults(
	    engine, 1, "{\"restart_ms\":" G_STRINGIFY(RESTART_MS) "}");
	sleep_ms(RESTART_MS);
	fleet_write_replica(engine, "llm", "ready", 1001);
	await_true(has_accepted, &empty, "restart");
	use_model("m1");
	use_model("m2");
	await_true(late_order_arrived, NULL, "late order");
	proc_assert_running(&engine->replica);
	use_model("m3");
	fleet_stop();
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/late_orders/late_order_overfills_restarted_replica",
	    test_late_order_overfills_restarted_replica);
	return g_test_run();
}
