/*
 * Entries of another writer among those of the replicas.
 *
 * Guards against a daemon that ends by such an entry, stops following the list,
 * or does not pass the others on.
 */
#include <string.h>

#include <glib.h>

#include "harness_fleet.h"

#define NESTED 200000 /* levels; parsers that recurse without a limit end */
#define LARGE_ENTRY (6 * 1024 * 1024) /* bytes */

/* An entry of a plain service with one odd member, at an address of its own. */
static char *
entry_with(const char *member)
{
	return g_strdup_printf(
	    "{\"service\":\"app\",\"address\":\"127.0.0.9:9\",\"zone\":\"a\","
	    "\"slots\":8,\"state\":\"draining\",\"born\":1000,\"seq\":0,"
	    "\"models\":[],%s}",
	    member);
}

static char *
nest(const char *open, int levels)
{
	GString *s = g_string_new("");

	for (int i = 0; i < levels; i++)
		g_string_append(s, open);
	return g_string_free(s, FALSE);
}

static void
write_odd(const char *value)
{
	static int number;
	char *key = g_strdup_printf("odd-%d", number++);

	fleet_write_key("keyed.servers", key, value);
	g_free(key);
}

static void
write_odd_member(const char *member)
{
	char *value = entry_with(member);

	write_odd(value);
	g_free(value);
}

static const char *const numbers[] = { "1e400", "1e308", "-1e308",
	"99999999999999999999999999", "9223372036854775807",
	"-9223372036854775808", "18446744073709551616", "4294967296", "-1", "0",
	"0.5", "null", "\"8\"", "[]", "{}" };

static const char *const fields[] = { "slots", "born", "seq", "remaining_ms",
	"queued", "active", "kv_used", "kv_total", "cold_left_ms" };

static const char *const members[] = {
	"\"address\":\"127.0.0.9:99999\"",
	"\"address\":\"127.0.0.9:65536\"",
	"\"address\":\"127.0.0.9:-1\"",
	"\"address\":\"127.0.0.9:0\"",
	"\"address\":\"127.0.0.9\"",
	"\"address\":\"\"",
	"\"address\":\":\"",
	"\"address\":\"[::1]:99999\"",
	"\"address\":[]",
	"\"service\":{}",
	"\"state\":\"\\u0000\"",
	"\"state\":7",
	"\"zone\":\"\\ud800\"",
	"\"zone\":\"\xff\xfe\"",
	"\"models\":7",
	"\"models\":[7]",
	"\"models\":[{\"name\":{}}]",
	"\"models\":[{\"name\":\"m1\",\"version\":1e400}]",
	"\"models\":[{\"name\":\"m1\",\"adapters\":[7,{},[]]}]",
	"\"runs\":[[],7,{}]",
	"\"incoming_adapters\":[\"/\",\"m1/\",7]",
	"\"at_hand\":[]",
	"\"at_hand\":{\"in_memory\":7,\"on_disk\":[{}]}",
};

static void
write_all_odd(void)
{
	static const char *const opens[] = { "[", "{\"a\":" };
	char *text, *member;

	for (size_t i = 0; i < G_N_ELEMENTS(members); i++)
		write_odd_member(members[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(numbers); j++) {
			member =
			    g_strdup_printf("\"%s\":%s", fields[i], numbers[j]);
			write_odd_member(member);
			g_free(member);
		}
	}
	for (size_t i = 0; i < G_N_ELEMENTS(opens); i++) {
		text = nest(opens[i], NESTED);
		write_odd(text);
		member = g_strdup_printf("\"models\":%s", text);
		write_odd_member(member);
		g_free(member);
		g_free(text);
		text = nest(opens[i], 1000);
		write_odd(text);
		g_free(text);
	}
	write_odd("[]");
	write_odd("7");
	write_odd("====");
	write_odd("\xff");
	fleet_write_key("keyed.servers", "", "{}");
	text = nest("k", 255);
	fleet_write_key("keyed.servers", text, "{}");
	g_free(text);
}

static bool
draining_is_known(void *gateway)
{
	char *text = g_strdup_printf("\"msg\":\"replica drains\","
				     "\"replica\":\"%s\"",
	    fleet.services[0].id);
	bool known = proc_log_contains(gateway, text);

	g_free(text);
	return known;
}

static void
check_list_is_followed(void)
{
	fleet_write_replica(&fleet.services[0], "app", "draining", 1000);
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		await_true(draining_is_known, &fleet.gateways[i],
		    "gateway knows what was written after the odd entries");
		proc_assert_running(&fleet.gateways[i]);
	}
	for (int i = 0; i < FLEET_ENGINES; i++)
		proc_assert_running(&fleet.engines[i].sidecar);
}

static void
check_requests_are_served(void)
{
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		struct response resp;
		int r = fleet_request(&resp, i, "/stream/1", "m1");

		g_assert_true(fleet_is_complete_stream(&resp, r));
		response_clear(&resp);
		(void)fleet_request(&resp, i, "/look/1", NULL);
		g_assert_cmpint(resp.code, ==, 200);
		response_clear(&resp);
	}
}

static void
restart_gateway(int i)
{
	proc_kill(&fleet.gateways[i]);
	proc_clear(&fleet.gateways[i]);
	fleet_start_gateway(i);
	await_true(
	    fleet_gateway_ready, fleet.ready_address[i], "gateway ready");
}

/* Read as they come, and in a snapshot. */
static void
test_odd_entry_ends_daemons(void)
{
	fleet_start();
	write_all_odd();
	check_list_is_followed();
	check_requests_are_served();
	restart_gateway(1);
	check_requests_are_served();
	fleet_stop();
}

/* A gateway that starts while the store is down asks another one. */
static void
test_odd_entry_keeps_list_from_peers(void)
{
	char *large = nest("[", LARGE_ENTRY), *text = nest("x", LARGE_ENTRY);
	char *member = g_strdup_printf("\"note\":\"%s\"", text);

	fleet_start();
	write_all_odd();
	write_odd(large);
	write_odd_member(member);
	check_list_is_followed();
	set_faults(fleet.store, "{\"down\": true}");
	restart_gateway(1);
	check_requests_are_served();
	g_free(large);
	g_free(text);
	g_free(member);
	fleet_stop();
}

/* Values that are not base64, or only its padding. */
static void
test_odd_value_ends_gateway(void)
{
	static const char *const values[] = { "====", "=", "a", "!!!!",
		"======================" };

	fleet_start();
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		char *fault =
		    g_strdup_printf("{\"odd_value\": \"%s\"}", values[i]);

		set_faults(fleet.store, fault);
		restart_gateway(1);
		proc_assert_running(&fleet.gateways[1]);
		g_free(fault);
	}
	check_requests_are_served();
	fleet_stop();
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/odd_entries/odd_entry_ends_daemons", test_odd_entry_ends_daemons);
	g_test_add_func(
	    "/odd_entries/odd_value_ends_gateway", test_odd_value_ends_gateway);
	g_test_add_func("/odd_entries/odd_entry_keeps_list_from_peers",
	    test_odd_entry_keeps_list_from_peers);
	return g_test_run();
}
