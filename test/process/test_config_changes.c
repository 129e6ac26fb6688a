/*
 * Changes of a configuration with many routes, at a gateway behind the thinnest
 * link that front VMs have.
 */
#include <glib.h>

#include "harness_fleet.h"

#define THIN_LINK_BYTES_PER_S (10 * 1000 * 1000 / 8)
#define MANY_ROUTES 10000 /* of the users' target size */
#define CHANGES 10
#define CHANGE_PAUSE_MS 1000
/* The pages' bound from the acknowledgement to the last gateway. */
#define IN_FORCE_MAX_MS 2000
/* Load reports included; a document of MANY_ROUTES has about 1.7 MB. */
#define CHANGE_MAX_BYTES 16384

/* Appends a route; those of different n have different prefixes. */
static void
add_route(GString *routes, int n)
{
	g_string_append_printf(routes,
	    ",{\"name\":\"r%d\",\"host\":\"h.example\",\"path_prefix\":"
	    "\"/r%d/\",\"kind\":\"safe\",\"timeout_ms\":5000,"
	    "\"latency_goal_ms\":200,\"priority\":1,\"service\":\"app\","
	    "\"max_attempts\":2}",
	    n, n);
}

static bool
serves_route(int gateway, int n)
{
	char *path = g_strdup_printf("/r%d/1", n);
	struct response resp;
	bool ok;

	(void)fleet_request(&resp, gateway, path, NULL);
	ok = resp.code == 200;
	response_clear(&resp);
	g_free(path);
	return ok;
}

struct wanted_route {
	int gateway;
	int n;
};

static bool
serves_wanted_route(void *ctx)
{
	const struct wanted_route *w = ctx;

	return serves_route(w->gateway, w->n);
}

static void
await_route(int gateway, int n)
{
	struct wanted_route wanted = { gateway, n };

	await_true(serves_wanted_route, &wanted, "route served");
}

/* From the acknowledgement of the last change until its route is served. */
static int64_t
time_to_force(int gateway, int n)
{
	int64_t acked_ms = now_ms();

	await_route(gateway, n);
	return now_ms() - acked_ms;
}

static GString *
start_with_routes(int count)
{
	GString *routes = g_string_new("");

	fleet_start_thin_link(THIN_LINK_BYTES_PER_S);
	for (int n = 0; n < count; n++)
		add_route(routes, n);
	fleet_configure(routes->str);
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		await_route(i, count - 1);
	return routes;
}

/*
 * Each change adds a route, while the last ones may still be on their way to
 * the gateway.
 */
static void
test_thin_link_falls_behind(void)
{
	GString *routes = start_with_routes(MANY_ROUTES);
	int64_t next_ms = now_ms(), took_ms;

	for (int n = MANY_ROUTES; n < MANY_ROUTES + CHANGES; n++) {
		while (now_ms() < next_ms)
			sleep_ms(5);
		next_ms += CHANGE_PAUSE_MS;
		add_route(routes, n);
		fleet_configure(routes->str);
		took_ms = time_to_force(FLEET_THIN, n);
		g_test_message(
		    "change %d: %lld ms", n - MANY_ROUTES, (long long)took_ms);
		g_assert_cmpint(took_ms, <=, IN_FORCE_MAX_MS);
	}
	g_string_free(routes, TRUE);
	fleet_stop();
}

static void
test_change_costs_whole_table(void)
{
	GString *routes = start_with_routes(MANY_ROUTES);
	int64_t before = read_journal_int(fleet.link_control, "bytes_down");
	int64_t bytes;

	for (int n = MANY_ROUTES; n < MANY_ROUTES + CHANGES; n++) {
		add_route(routes, n);
		fleet_configure(routes->str);
		await_route(FLEET_THIN, n);
	}
	bytes = read_journal_int(fleet.link_control, "bytes_down") - before;
	g_test_message("%lld bytes a change", (long long)(bytes / CHANGES));
	g_assert_cmpint(bytes, <=, (int64_t)CHANGES * CHANGE_MAX_BYTES);
	g_string_free(routes, TRUE);
	fleet_stop();
}

#define STORM_ROUTES 3000
#define STORM_CHANGES 60
#define STORM_SKEW_MAX_MS 500 /* from the first gateway to the last one */
#define CALLERS 4
#define P99_MAX_FACTOR 1.2 /* of the value without changes */

/* Streams at one gateway. */
struct load {
	int gateway;
	GThread *threads[CALLERS];
	GMutex lock;
	GArray *took_ms; /* of all streams */
	gint stop;
};

/* Runs streams one after the other. */
static gpointer
run_caller(gpointer arg)
{
	struct load *load = arg;

	while (!g_atomic_int_get(&load->stop)) {
		struct response resp;
		int64_t start_ms = now_ms(), took_ms;
		int r = fleet_request(&resp, FLEET_THIN, "/stream/1", "m1");

		took_ms = now_ms() - start_ms;
		g_assert_true(fleet_is_complete_stream(&resp, r));
		response_clear(&resp);
		g_mutex_lock(&load->lock);
		g_array_append_val(load->took_ms, took_ms);
		g_mutex_unlock(&load->lock);
	}
	return NULL;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* The 99th percentile of what the load has measured; starts again. */
static int64_t
take_p99(struct load *load)
{
	int64_t p99;

	g_mutex_lock(&load->lock);
	g_array_sort(load->took_ms, compare_times);
	g_assert_cmpuint(load->took_ms->len, >, 100);
	p99 = g_array_index(
	    load->took_ms, int64_t, load->took_ms->len * 99 / 100);
	g_test_message(
	    "%u streams, p99 %lld ms", load->took_ms->len, (long long)p99);
	g_array_set_size(load->took_ms, 0);
	g_mutex_unlock(&load->lock);
	return p99;
}

static void
start_load(struct load *load, int gateway)
{
	load->gateway = gateway;
	load->took_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	load->stop = 0;
	g_mutex_init(&load->lock);
	for (int i = 0; i < CALLERS; i++)
		load->threads[i] = g_thread_new("caller", run_caller, load);
}

static void
stop_load(struct load *load)
{
	g_atomic_int_set(&load->stop, 1);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(load->threads[i]);
	g_array_free(load->took_ms, TRUE);
	g_mutex_clear(&load->lock);
}

/*
 * Callers stream over the thin link while a route changes every second.  Those
 * of the other gateway show what else the machine does at that time.
 */
static void
test_changes_delay_callers(void)
{
	GString *routes = start_with_routes(STORM_ROUTES);
	struct load thin, wide;
	int64_t next_ms, calm_ms, other_ms, busy_ms, wide_ms;

	start_load(&thin, FLEET_THIN);
	start_load(&wide, 0);
	sleep_ms(STORM_CHANGES * CHANGE_PAUSE_MS / 4);
	calm_ms = take_p99(&thin);
	(void)take_p99(&wide);
	next_ms = now_ms();
	for (int n = STORM_ROUTES; n < STORM_ROUTES + STORM_CHANGES; n++) {
		while (now_ms() < next_ms)
			sleep_ms(5);
		next_ms += CHANGE_PAUSE_MS;
		add_route(routes, n);
		fleet_configure(routes->str);
		await_route(0, n);
		wide_ms = now_ms();
		await_route(FLEET_THIN, n);
		g_assert_cmpint(now_ms() - wide_ms, <=, STORM_SKEW_MAX_MS);
	}
	busy_ms = take_p99(&thin);
	other_ms = take_p99(&wide);
	stop_load(&thin);
	stop_load(&wide);
	if (calm_ms < other_ms)
		calm_ms = other_ms;
	g_assert_cmpfloat(
	    (double)busy_ms, <=, P99_MAX_FACTOR * (double)calm_ms);
	g_string_free(routes, TRUE);
	fleet_stop();
}

/* The document of MANY_ROUTES, compressed, takes about a second. */
#define SLOW_LINK_BYTES_PER_S 20000

static bool
follows_sidecars(void *gateway)
{
	return proc_log_contains(gateway, "\"msg\":\"feed paused\"");
}

static bool
asks_for_deployment(void *gateway)
{
	char *text = g_strdup_printf("\"seen\":%d,", fleet.config_version);
	bool asks = proc_log_contains(gateway, text);

	g_free(text);
	return asks;
}

/* The gateway knows of a newer version, and its document is on its way. */
static void
test_route_of_version_on_its_way_is_denied(void)
{
	GString *routes = g_string_new("");
	struct proc *gateway = &fleet.gateways[FLEET_THIN];
	struct response resp;

	fleet_start_thin_link(SLOW_LINK_BYTES_PER_S);
	await_true(follows_sidecars, gateway, "gateway follows sidecars");
	for (int n = 0; n < MANY_ROUTES; n++)
		add_route(routes, n);
	fleet_configure(routes->str);
	await_true(asks_for_deployment, gateway, "gateway asks");
	(void)fleet_request(&resp, FLEET_THIN, "/r0/1", NULL);
	g_assert_cmpint(resp.code, ==, 200);
	response_clear(&resp);
	/* What no version has is not found, once the gateway has the newest. */
	(void)fleet_request(&resp, FLEET_THIN, "/nowhere/", NULL);
	g_assert_cmpint(resp.code, ==, 404);
	response_clear(&resp);
	g_string_free(routes, TRUE);
	fleet_stop();
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config_changes/thin_link_falls_behind",
	    test_thin_link_falls_behind);
	g_test_add_func("/config_changes/change_costs_whole_table",
	    test_change_costs_whole_table);
	g_test_add_func("/config_changes/route_of_version_on_its_way_is_denied",
	    test_route_of_version_on_its_way_is_denied);
	g_test_add_func("/config_changes/changes_delay_callers",
	    test_changes_delay_callers);
	return g_test_run();
}
