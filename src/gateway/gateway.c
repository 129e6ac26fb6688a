#include "gateway/gateway.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <event2/http.h>

#include "common/clock.h"
#include "common/daemon_args.h"
#include "common/log.h"
#include "common/metrics.h"
#include "common/options.h"
#include "common/reload.h"
#include "coordination/deployment_share.h"
#include "coordination/keyed_feed.h"
#include "coordination/model_rates.h"
#include "coordination/model_prefill.h"
#include "coordination/prefix_map.h"
#include "coordination/retry_budget.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/exchange.h"
#include "gateway/gateway_internal.h"
#include "gateway/peer_links.h"
#include "gateway/roster.h"
#include "gateway/sidecar_links.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "state/deployment.h"
#include "transport/http_server.h"

#define TICK_US (50 * USEC_PER_MSEC)
#define LONG_POLL_US (25 * USEC_PER_SEC)
/*
 * Changes of many replicas are gathered into one call for this share of the
 * time within which a draining replica must get no more work.
 */
#define GATHER_SHARE 0.55
#define IDLE_TIMEOUT_US (60 * USEC_PER_SEC) /* beyond what callers may idle */
#define MAX_BODY (8 * 1024 * 1024) /* bytes; the deployment sets less */
#define MAX_HEADERS 65536 /* bytes; likewise */
#define PREFIXES 65536
#define RETRY_TARGETS 256
#define RETRY_START 1.0 /* retries of a gateway that has just started */
/* The rest of the floor covers gateways that restart or are not counted yet. */
#define RETRY_FLOOR_SHARE 0.6
/* Probes that balancers miss before they send no new connection. */
#define STOP_MIN_US (3 * USEC_PER_SEC)
/* Kept for the last answers to leave before the drain time is over. */
#define STOP_ANSWER_US (500 * USEC_PER_MSEC)
#define STOP_CLOSE_US (2500 * USEC_PER_MSEC) /* kept connections end then */
#define ALL_METHODS 0xffff

#define AT(field) offsetof(struct gateway_settings, field)

static const struct option_desc options[] = {
	{ "daemon", "vm", OPT_STRING, AT(vm), 0, 0, NULL, NULL,
	    "name of this VM", false },
	{ "daemon", "zone", OPT_STRING, AT(zone), 0, 0, NULL, NULL,
	    "data centre of this VM", false },
	{ "daemon", "log_level", OPT_LEVELS, AT(log_level), 0, 0, "info", NULL,
	    "least level written, and by area", true },
	{ "daemon", "drain_ms", OPT_INT, AT(drain_ms), 0, 3600000, "8000", "ms",
	    "longest wait for work in flight on shutdown", true },
	{ "http", "listen", OPT_ADDR, AT(listen), 0, 0, NULL, NULL,
	    "address for callers", false },
	{ "http", "ready", OPT_ADDR, AT(ready_listen), 0, 0, NULL, NULL,
	    "address of the readiness probe", false },
	{ "http", "metrics", OPT_ADDR, AT(metrics_listen), 0, 0, "", NULL,
	    "address of /metrics; empty: none", false },
	{ "peers", "listen", OPT_ADDR, AT(peer_listen), 0, 0, "", NULL,
	    "address for other gateways; empty: none", false },
	{ "peers", "seeds", OPT_STRING, AT(seeds), 0, 0, "", NULL,
	    "addresses of some gateways, by commas, to ask while the store is "
	    "away",
	    false },
	{ "store", "address", OPT_ADDR, AT(store), 0, 0, NULL, NULL,
	    "address of the platform's store", false },
	{ "store", "timeout_ms", OPT_INT, AT(store_timeout_ms), 10, 60000,
	    "2000", "ms", "longest wait for an answer of the store", false },
	{ "store", "lapse_ms", OPT_INT, AT(lapse_ms), 0, 60000, "2500", "ms",
	    "entries that expire in an outage are back within this time of its "
	    "end",
	    true },
	{ "store", "drain_within_ms", OPT_INT, AT(drain_within_ms), 100, 60000,
	    "2000", "ms", "a replica that drains gets no work after this time",
	    false },
	{ "sidecars", "port", OPT_INT, AT(sidecar_port), 1, 65535, NULL, NULL,
	    "port of the sidecars", false },
	{ "retries", "share", OPT_REAL, AT(retry_share), 0, 100, "0.2", NULL,
	    "most requests sent again, of those that came, over all gateways",
	    false },
	{ "retries", "floor", OPT_INT, AT(retry_floor), 0, 1000000, "10", NULL,
	    "requests that may be sent again in any case, over all gateways",
	    false },
	{ "retries", "sharers", OPT_INT, AT(retry_sharers), 1, 10000, "8", NULL,
	    "gateways that divide the floor among them", false },
	OPTION_END,
};

/*
 * evhttp tells of whole requests only, not of the end of a head, so that a
 * request has both time-outs to arrive; no caller within them is cut off.
 */
static void
bound_callers(struct gateway *g)
{
	const struct deployment *d = g->deployment;
	struct http_conns_waits waits = { 0 };

	if (d->header_timeout_us > 0 && d->idle_timeout_us > 0) {
		waits.first_us = d->header_timeout_us + d->idle_timeout_us;
		waits.next_us = waits.first_us;
	}
	http_server_set_waits(g->front, &waits);
}

static void
on_deployment(void *ctx)
{
	struct gateway *g = ctx;

	g->deployment = deployment_share_get(g->share);
	bound_callers(g);
	backends_share_connections(g->backends, 0);
	sidecar_links_refresh(g->links);
	exchanges_route(g);
}

static void
on_replica_record(void *ctx, const struct fleet_record *record)
{
	struct gateway *g = ctx;

	roster_record(g->roster, record);
	backends_record(g->backends, record);
}

static void
on_replicas_begin(void *ctx)
{
	struct gateway *g = ctx;

	roster_clear(g->roster);
	backends_snapshot_begin(g->backends);
}

static void
ignore_snapshot(void *ctx)
{
}

/* ---- HTTP ---- */

static void
on_request(void *ctx, struct evhttp_request *req)
{
	exchange_start(ctx, req);
}

static const char *
not_ready(const struct gateway *g)
{
	if (g->stop_us != 0)
		return "stopping";
	if (g->deployment == NULL)
		return "no deployment yet";
	if (!keyed_feed_complete(g->replica_feed) &&
	    backends_count(g->backends) == 0)
		return "no replicas known yet";
	return NULL;
}

static void
on_ready(void *ctx, struct evhttp_request *req)
{
	const char *why = not_ready(ctx);

	if (why == NULL)
		http_reply(req, 200, "text/plain", "ready\n", 6);
	else
		http_reply(req, 503, "text/plain", why, strlen(why));
}

static void
on_metrics(void *ctx, struct evhttp_request *req)
{
	const struct gateway *g = ctx;

	http_reply_metrics(req, g->process.metrics);
}

static void
on_refuse(void *ctx, struct evhttp_request *req, int status)
{
	struct problem p = {
		.code = status == HTTP_ENTITYTOOLARGE ? RESULT_TOO_LARGE
			: status == HTTP_HEADERS_TOO_LARGE
			    ? RESULT_HEADERS_TOO_LARGE
			: status == HTTP_NOTFOUND  ? RESULT_NOT_FOUND
			: status == HTTP_BADMETHOD ? RESULT_BAD_METHOD
						   : RESULT_BAD_REQUEST,
		.outcome = OUTCOME_NOT_RUN,
	};

	reply_problem(req, &p);
}

static const struct http_route front_routes[] = {
	{ "/", ALL_METHODS, on_request },
	{ 0 },
};

static const struct http_route metrics_routes[] = {
	{ "/metrics", EVHTTP_REQ_GET, on_metrics },
	{ 0 },
};

static struct http_server *
serve(struct gateway *g, const char *address, const struct http_route *routes)
{
	struct http_server_options opts = {
		.base = g->process.base,
		.routes = routes,
		.ctx = g,
		.max_body = MAX_BODY,
		.max_headers = MAX_HEADERS,
		.idle_timeout_us = IDLE_TIMEOUT_US,
		.metrics = g->process.metrics,
		.refuse = on_refuse,
	};
	struct http_server *server = http_server_create(&opts);

	if (server == NULL || http_server_listen(server, address) == -1) {
		log_error(g->process.logger, "cannot listen",
		    LF_S("address", address));
		http_server_destroy(server);
		return NULL;
	}
	return server;
}

/* ---- life ---- */

static void
on_stop(void *ctx)
{
	struct gateway *g = ctx;

	if (g->stop_us != 0)
		return;
	g->stop_us = clock_now(g->process.clock);
	log_info(g->process.logger, "stopping", LF_I("open", g->open));
}

static void
on_reload(void *ctx)
{
	struct gateway *g = ctx;
	const struct settings_file file = { g->path, options, &g->settings,
		sizeof(g->settings), NULL };

	if (settings_reload(&file, g->process.logger) == 0)
		(void)logger_set_levels(
		    g->process.logger, g->settings.log_level);
}

static void
check_stopped(struct gateway *g)
{
	int64_t since = clock_now(g->process.clock) - g->stop_us;

	if (since >= STOP_CLOSE_US)
		http_server_close_idle(g->front);
	if (since >= g->settings.drain_ms * USEC_PER_MSEC - STOP_ANSWER_US)
		exchanges_end(g);
	if (since < STOP_MIN_US)
		return;
	if (g->open > 0 &&
	    since < g->settings.drain_ms * USEC_PER_MSEC - 2 * TICK_US)
		return;
	log_info(g->process.logger, "stopped", LF_I("open", g->open));
	event_base_loopbreak(g->process.base);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct gateway *g = arg;

	process_timer_add(g->tick, TICK_US);
	backends_tick(g->backends);
	deployment_share_tick(g->share);
	peer_links_tick(g->peers);
	sidecar_links_tick(g->links);
	exchanges_review(g);
	if (g->stop_us == 0)
		candidates_guard(g);
	if (g->stop_us != 0)
		check_stopped(g);
}

static struct keyed_feed *
follow(struct gateway *g, enum fleet_topic topic, const char *name,
    int64_t pause_us, void (*record)(void *, const struct fleet_record *),
    void (*begin)(void *), void (*end)(void *), void *ctx)
{
	struct keyed_feed_options opts = {
		.process = &g->process,
		.ops = g->adapter->store,
		.store = g->store,
		.topic = topic,
		.name = name,
		.wait_us = LONG_POLL_US,
		.pause_us = pause_us,
		.record = record,
		.snapshot_begin = begin,
		.snapshot_end = end,
		.ctx = ctx,
	};

	return keyed_feed_create(&opts);
}

double
gateway_retry_burst(const struct gateway *g, unsigned gateways)
{
	double burst = RETRY_FLOOR_SHARE * (double)g->settings.retry_floor /
		       (double)gateways;

	return burst < 1 ? 1 : burst;
}

static int
create_policies(struct gateway *g)
{
	struct retry_budget_options retries = {
		.share = g->settings.retry_share,
		.burst =
		    gateway_retry_burst(g, (unsigned)g->settings.retry_sharers),
		.start = RETRY_START,
		.max_targets = RETRY_TARGETS,
	};
	struct deployment_share_options share = {
		.process = &g->process,
		.adapter = g->adapter,
		.changed = on_deployment,
		.ctx = g,
	};

	g->share = deployment_share_create(&share);
	g->budget = retry_budget_create(&retries);
	g->prefixes = prefix_map_create(PREFIXES);
	g->paces = model_prefill_create();
	g->rates = model_rates_create();
	g->roster = roster_create();
	g->backends = backends_create(g);
	g->links = sidecar_links_create(g);
	return g->share == NULL || g->budget == NULL || g->prefixes == NULL ||
		       g->paces == NULL || g->rates == NULL ||
		       g->roster == NULL || g->backends == NULL ||
		       g->links == NULL
		   ? -1
		   : 0;
}

static int
create_store(struct gateway *g)
{
	struct fleet_store_options store = {
		.base = g->process.base,
		.address = g->settings.store,
		.timeout_us = g->settings.store_timeout_ms * USEC_PER_MSEC,
	};
	int64_t gather_us =
	    (int64_t)(GATHER_SHARE * (double)g->settings.drain_within_ms) *
	    USEC_PER_MSEC;

	g->store = g->adapter->store->create(&store);
	if (g->store == NULL)
		return -1;
	g->deployment_feed = follow(g, FLEET_DEPLOYMENT, "deployment", 0,
	    deployment_share_record, ignore_snapshot, ignore_snapshot,
	    g->share);
	g->replica_feed = follow(g, FLEET_REPLICAS, "replicas", gather_us,
	    on_replica_record, on_replicas_begin, ignore_snapshot, g);
	return g->deployment_feed == NULL || g->replica_feed == NULL ? -1 : 0;
}

static void
create_counters(struct gateway *g)
{
	struct metrics *m = g->process.metrics;

	g->counters.answered = metrics_counter(m, "gateway_answered_total", "");
	g->counters.refused = metrics_counter(m, "gateway_refused_total", "");
	g->counters.failed = metrics_counter(m, "gateway_failed_total", "");
	g->counters.left = metrics_counter(m, "gateway_callers_left_total", "");
	g->counters.resent = metrics_counter(m, "gateway_resent_total", "");
	g->counters.resumed = metrics_counter(m, "gateway_resumed_total", "");
}

static int
listen_all(struct gateway *g, struct http_route *ready_routes)
{
	ready_routes[0] = (struct http_route){ g->adapter->ready_path,
		EVHTTP_REQ_GET, on_ready };
	g->ready = serve(g, g->settings.ready_listen, ready_routes);
	g->front = serve(g, g->settings.listen, front_routes);
	if (g->ready == NULL || g->front == NULL)
		return -1;
	/* Without metrics it still serves: another daemon may have the port. */
	if (g->settings.metrics_listen[0] != '\0')
		g->metrics_http =
		    serve(g, g->settings.metrics_listen, metrics_routes);
	return 0;
}

static int
run(struct gateway *g)
{
	struct process_options process = {
		.name = "gateway",
		.log_levels = g->settings.log_level,
		.stop = on_stop,
		.reload = on_reload,
		.ctx = g,
	};
	struct http_route ready_routes[2] = { { 0 } };
	int rc = 1;

	TAILQ_INIT(&g->exchanges);
	if (process_open(&g->process, &process) == -1)
		return 1;
	rng_seed_system(&g->rng);
	create_counters(g);
	if (create_policies(g) == -1 || create_store(g) == -1) {
		log_error(g->process.logger, "cannot start",
		    LF_S("why", "bad address or no memory"));
		goto out;
	}
	g->peers = peer_links_create(g);
	if (g->peers == NULL) {
		log_error(g->process.logger, "cannot listen",
		    LF_S("address", g->settings.peer_listen));
		goto out;
	}
	if (listen_all(g, ready_routes) == -1)
		goto out;
	g->tick = process_timer(&g->process, on_tick, g);
	process_timer_add(g->tick, TICK_US);
	log_info(g->process.logger, "started", LF_S("vm", g->settings.vm),
	    LF_S("zone", g->settings.zone), LF_S("version", TM_VERSION));
	rc = event_base_dispatch(g->process.base) == -1 ? 1 : 0;

out:
	exchanges_abort(g);
	http_server_destroy(g->front);
	http_server_destroy(g->ready);
	http_server_destroy(g->metrics_http);
	keyed_feed_destroy(g->deployment_feed);
	keyed_feed_destroy(g->replica_feed);
	g->adapter->store->destroy(g->store);
	peer_links_destroy(g->peers);
	sidecar_links_destroy(g->links);
	g->links = NULL;
	backends_destroy(g->backends);
	candidates_forget(g);
	roster_destroy(g->roster);
	model_prefill_destroy(g->paces);
	model_rates_destroy(g->rates);
	prefix_map_destroy(g->prefixes);
	retry_budget_destroy(g->budget);
	deployment_share_destroy(g->share);
	if (g->tick != NULL)
		event_free(g->tick);
	process_close(&g->process);
	return rc;
}

int
gateway_main(int argc, char **argv, const struct fleet_adapter *adapter)
{
	struct gateway *g = calloc(1, sizeof(*g));
	int rc;

	if (g == NULL)
		return 1;
	g->adapter = adapter;
	rc = daemon_args_load(argc, argv,
	    "Takes callers' requests on a platform and sends them to replicas.",
	    options, &g->settings, NULL, &g->path);
	if (rc == -1)
		rc = run(g);
	options_free(options, &g->settings);
	free(g);
	return rc;
}
