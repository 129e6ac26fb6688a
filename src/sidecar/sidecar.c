#include "sidecar/sidecar.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <event2/http.h>

#include "common/clock.h"
#include "common/daemon_args.h"
#include "common/log.h"
#include "common/metrics.h"
#include "common/options.h"
#include "common/settings_file.h"
#include "coordination/deployment_sync.h"
#include "coordination/keyed_feed.h"
#include "sidecar/gateway_conns.h"
#include "sidecar/sidecar_internal.h"
#include "sidecar/replica_control.h"
#include "state/deployment.h"
#include "transport/http_server.h"

#define TICK_US (100 * USEC_PER_MSEC)
#define LONG_POLL_US (25 * USEC_PER_SEC) /* longest wait of a store read */
/* Between checks of the deployment's topic; of its end while paused. */
#define CHECK_PAUSE_US (30 * USEC_PER_SEC)
/* Gateways that connect choose whom they follow within this time. */
#define PAUSE_AFTER_US (3 * USEC_PER_SEC)

#define AT(field) offsetof(struct sidecar_settings, field)

static const struct option_desc options[] = {
	{ "daemon", "vm", OPT_STRING, AT(vm), 0, 0, NULL, NULL,
	    "name of this VM", false },
	{ "daemon", "zone", OPT_STRING, AT(zone), 0, 0, NULL, NULL,
	    "data centre of this VM", false },
	{ "daemon", "log_level", OPT_LEVELS, AT(log_level), 0, 0, "info", NULL,
	    "lowest level that is logged, also by area", true },
	{ "rpc", "listen", OPT_ADDR, AT(listen), 0, 0, NULL, NULL,
	    "address for gateways", false },
	{ "http", "metrics", OPT_ADDR, AT(metrics_listen), 0, 0, "", NULL,
	    "address of /metrics; empty: none", false },
	{ "store", "address", OPT_ADDR, AT(store), 0, 0, NULL, NULL,
	    "address of the platform's store", false },
	{ "store", "timeout_ms", OPT_INT, AT(store_timeout_ms), 10, 60000,
	    "2000", "ms", "timeout of a call to the store", false },
	{ "replica", "address", OPT_ADDR, AT(replica), 0, 0, NULL, NULL,
	    "address of the replica beside this daemon", false },
	{ "replica", "service", OPT_STRING, AT(service), 0, 0, NULL, NULL,
	    "service that the replica runs", false },
	{ "replica", "poll_ms", OPT_INT, AT(poll_ms), 5, 60000, "100", "ms",
	    "pause between two polls of the replica", true },
	{ "replica", "busy_poll_ms", OPT_INT, AT(busy_poll_ms), 1, 60000, "10",
	    "ms",
	    "pause between two polls while an order is due or in progress",
	    true },
	{ "replica", "min_keep_ms", OPT_INT, AT(min_keep_ms), 0, 3600000, "500",
	    "ms", "least time that a model stays loaded after its last use",
	    true },
	{ "loads", "window_ms", OPT_INT, AT(load_window_ms), 100, 3600000,
	    "5000", "ms",
	    "window over which loads from the weight store are counted",
	    false },
	{ "loads", "overage", OPT_REAL, AT(load_overage), 0, 100, "1", NULL,
	    "loads allowed in a window beyond those of the declared rate",
	    false },
	{ "loads", "alone_ms", OPT_INT, AT(load_offline_ms), 0, 3600000, "9000",
	    "ms",
	    "pause between two loads from the weight store while the "
	    "platform's store is unreachable",
	    true },
	{ "loads", "concurrent", OPT_INT, AT(load_concurrency), 1, 64, "4",
	    NULL,
	    "weight store loads that run at once at full speed, until measured",
	    false },
	{ "loads", "order_linger_ms", OPT_INT, AT(order_linger_ms), 1000,
	    3600000, "60000", "ms",
	    "longest time until the replica carries out an order whose answer "
	    "is lost",
	    false },
	OPTION_END,
};

const struct engine_spec *
sidecar_engine(const struct sidecar *sc)
{
	const struct service_spec *s =
	    sc->deployment == NULL
		? NULL
		: deployment_find_service(sc->deployment, sc->settings.service);

	return s == NULL || !s->has_engine ? NULL : &s->engine;
}

bool
sidecar_reads_store(const struct sidecar *sc)
{
	return sc->deployment_feed != NULL && !sc->deployment_paused &&
	       keyed_feed_complete(sc->deployment_feed) &&
	       keyed_feed_contact_since(sc->deployment_feed) != -1;
}

static void
on_deployment(void *ctx)
{
	struct sidecar *sc = ctx;

	sc->deployment = deployment_sync_current(sc->deployment_sync);
	if (sc->gateway_conns == NULL)
		return;
	gateway_conns_send_states(sc->gateway_conns);
	gateway_conns_on_deployment(sc->gateway_conns);
	/* The free memory reported depends on the declared model sizes. */
	gateway_conns_report(sc->gateway_conns);
}

static void
on_deployment_received(void *ctx, uint64_t next)
{
	struct sidecar *sc = ctx;

	if (sc->deployment_feed != NULL)
		keyed_feed_skip(sc->deployment_feed, next);
}

static bool
store_answers(void *ctx)
{
	const struct sidecar *sc = ctx;

	return sc->deployment_feed != NULL &&
	       keyed_feed_receives(sc->deployment_feed);
}

static bool
is_paused(void *ctx)
{
	const struct sidecar *sc = ctx;

	return sc->deployment_paused;
}

/*
 * While no gateway takes the deployment from this sidecar, gateways bring it:
 * each message of theirs states its version.
 */
static void
update_pause(struct sidecar *sc)
{
	int64_t now = clock_now(sc->process.clock);

	if (!gateway_conns_unfollowed(sc->gateway_conns))
		sc->unfollowed_us = 0;
	else if (sc->unfollowed_us == 0)
		sc->unfollowed_us = now;
	sc->deployment_paused =
	    sc->unfollowed_us != 0 && now - sc->unfollowed_us >= PAUSE_AFTER_US;
	keyed_feed_pause(sc->deployment_feed, sc->deployment_paused);
}

static void
ignore_snapshot(void *ctx)
{
}

/* ---- metrics ---- */

static void
on_metrics(void *ctx, struct evhttp_request *req)
{
	const struct sidecar *sc = ctx;

	http_reply_metrics(req, sc->process.metrics);
}

static void
on_refuse(void *ctx, struct evhttp_request *req, int status)
{
	http_reply(req, status, "text/plain", "", 0);
}

static const struct http_route metrics_routes[] = {
	{ "/metrics", EVHTTP_REQ_GET, on_metrics },
	{ 0 },
};

/* Failure is not fatal: another daemon on the VM may have the port. */
static void
serve_metrics(struct sidecar *sc)
{
	struct http_server_options opts = {
		.base = sc->process.base,
		.routes = metrics_routes,
		.ctx = sc,
		.metrics = sc->process.metrics,
		.refuse = on_refuse,
	};

	if (sc->settings.metrics_listen[0] == '\0')
		return;
	sc->metrics_http = http_server_create(&opts);
	if (sc->metrics_http == NULL || http_server_listen(sc->metrics_http,
					    sc->settings.metrics_listen) == -1)
		log_warn(sc->process.logger, "cannot serve metrics",
		    LF_S("address", sc->settings.metrics_listen));
}

/* ---- signals and ticks ---- */

/* Exits at once: no state is lost, and the replica keeps its models loaded. */
static void
on_stop(void *ctx)
{
	struct sidecar *sc = ctx;

	sc->stop_us = clock_now(sc->process.clock);
	log_info(sc->process.logger, "stopping");
	event_base_loopexit(sc->process.base, NULL);
}

static void
on_reload(void *ctx)
{
	struct sidecar *sc = ctx;
	const struct settings_file file = { sc->path, options, &sc->settings,
		sizeof(sc->settings), NULL };

	if (settings_file_reload(&file, sc->process.logger) == 0)
		(void)logger_set_levels(
		    sc->process.logger, sc->settings.log_level);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct sidecar *sc = arg;

	process_timer_add(sc->tick, TICK_US);
	deployment_sync_tick(sc->deployment_sync);
	gateway_conns_tick(sc->gateway_conns);
	update_pause(sc);
}

static int
create_modules(struct sidecar *sc)
{
	struct fleet_store_options store = {
		.base = sc->process.base,
		.address = sc->settings.store,
		.timeout_us = sc->settings.store_timeout_ms * USEC_PER_MSEC,
	};
	struct keyed_feed_options feed = {
		.process = &sc->process,
		.ops = sc->driver->store,
		.topic = FLEET_DEPLOYMENT,
		.name = "deployment",
		.poll_us = LONG_POLL_US,
		.check = true,
		.check_pause_us = CHECK_PAUSE_US,
		.newest_only = true,
		.record = deployment_sync_on_record,
		.snapshot_begin = ignore_snapshot,
		.snapshot_end = ignore_snapshot,
	};
	struct deployment_sync_options sync = {
		.process = &sc->process,
		.driver = sc->driver,
		.changed = on_deployment,
		.received = on_deployment_received,
		.store_answers = store_answers,
		.peers_first = is_paused,
		.ctx = sc,
	};

	sc->replica =
	    sc->driver->replica->create(sc->process.base, sc->settings.replica);
	sc->store = sc->driver->store->create(&store);
	if (sc->replica == NULL || sc->store == NULL)
		return -1;
	sc->deployment_sync = deployment_sync_create(&sync);
	if (sc->deployment_sync == NULL)
		return -1;
	sc->gateway_conns = gateway_conns_create(sc);
	sc->replica_control = replica_control_create(sc);
	if (sc->gateway_conns == NULL || sc->replica_control == NULL)
		return -1;
	serve_metrics(sc);
	feed.store = sc->store;
	feed.ctx = sc->deployment_sync;
	sc->deployment_feed = keyed_feed_create(&feed);
	return sc->deployment_feed == NULL ? -1 : 0;
}

static int
run_sidecar(struct sidecar *sc)
{
	struct process_options process = {
		.name = "sidecar",
		.log_levels = sc->settings.log_level,
		.stop = on_stop,
		.reload = on_reload,
		.ctx = sc,
	};
	int rc = 1;

	if (process_open(&sc->process, &process) == -1)
		return 1;
	if (create_modules(sc) == -1) {
		log_error(sc->process.logger, "cannot start",
		    LF_S("why", "invalid address, or in use"));
		goto out;
	}
	sc->tick = process_timer_new(&sc->process, on_tick, sc);
	process_timer_add(sc->tick, TICK_US);
	log_info(sc->process.logger, "started", LF_S("vm", sc->settings.vm),
	    LF_S("replica", sc->settings.replica), LF_S("version", TM_VERSION));
	rc = event_base_dispatch(sc->process.base) == -1 ? 1 : 0;

out:
	keyed_feed_destroy(sc->deployment_feed);
	sc->driver->store->destroy(sc->store);
	sc->driver->replica->destroy(sc->replica);
	gateway_conns_destroy(sc->gateway_conns);
	replica_control_destroy(sc->replica_control);
	http_server_destroy(sc->metrics_http);
	deployment_sync_destroy(sc->deployment_sync);
	if (sc->tick != NULL)
		event_free(sc->tick);
	process_close(&sc->process);
	return rc;
}

int
sidecar_main(int argc, char **argv, const struct fleet_driver *driver)
{
	struct sidecar *sc = calloc(1, sizeof(*sc));
	int rc;

	if (sc == NULL)
		return 1;
	sc->driver = driver;
	rc = daemon_args_load(argc, argv,
	    "Orders one replica's loads, and reports its models to gateways.",
	    options, &sc->settings, NULL, &sc->path);
	if (rc == -1)
		rc = run_sidecar(sc);
	options_free(options, &sc->settings);
	free(sc);
	return rc;
}
