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
#include "common/settings_file.h"
#include "coordination/accounts/quota_asker.h"
#include "coordination/deployment_sync.h"
#include "coordination/keyed_feed.h"
#include "coordination/model_rates.h"
#include "coordination/model_prefill.h"
#include "coordination/prefix_map.h"
#include "coordination/retry_budget.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/crash_guard.h"
#include "gateway/deployment_source.h"
#include "gateway/exchange.h"
#include "gateway/gateway_internal.h"
#include "gateway/peer_conns.h"
#include "gateway/quotas.h"
#include "gateway/replica_records.h"
#include "gateway/sidecar_conns.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "state/deployment.h"
#include "transport/http_server.h"

#define TICK_US (50 * USEC_PER_MSEC)
/*
 * A lost answer must be noticed before the store counts as stable again and a
 * leaving replica's drain_within_ms have passed.  Gateways check in turn, as
 * one that has read further than others gives them a hint.
 */
#define CHECK_EVERY_US (750 * USEC_PER_MSEC) /* by any gateway */
#define CHECK_PAUSE_MIN_US (3 * USEC_PER_SEC) /* by one gateway */
/* Sidecars check the deployment's topic too, and report what they read. */
#define DEPLOYMENT_CHECK_FACTOR 2
#define LONG_POLL_US (25 * USEC_PER_SEC) /* longest wait of a store read */
/*
 * Pause between two reads of replica entries, so that one call returns the
 * changes of many replicas: a share of drain_within_ms, within which a draining
 * replica must get no more work.
 */
#define REPLICA_PAUSE_SHARE 0.55
#define IDLE_TIMEOUT_US (60 * USEC_PER_SEC) /* deployments set less */
#define MAX_BODY_BYTES (8 * 1024 * 1024) /* deployments set less */
#define MAX_HEADER_BYTES 65536 /* deployments set less */
/* Of callers' requests that are held at once, of the VM's memory. */
#define MAX_HELD_BYTES (32 * 1024 * 1024)
/* Answers of replicas that are held at once, of the VM's memory. */
#define MAX_ANSWERS_BYTES (96 * 1024 * 1024)
#define PREFIX_MAP_SIZE 65536 /* prompt prefixes */
#define RETRY_TARGETS_MAX 256 /* services with a retry budget */
#define RETRY_START_TOKENS 1.0 /* a restart does not refill budgets */
/* The rest is left to gateways that restart or are not counted yet. */
#define RETRY_FLOOR_SHARE 0.6
/*
 * Least time from SIGTERM to exit: load balancers send new connections until
 * some readiness probes have failed.
 */
#define STOP_MIN_US (3 * USEC_PER_SEC)
/* Left of the drain time to write the last answers. */
#define STOP_FLUSH_US (500 * USEC_PER_MSEC)
/* After SIGTERM, kept-alive connections without a request are closed. */
#define STOP_CLOSE_IDLE_US (2500 * USEC_PER_MSEC)
#define ALL_METHODS 0xffff

#define AT(field) offsetof(struct gateway_settings, field)

static const struct option_desc options[] = {
	{ "daemon", "vm", OPT_STRING, AT(vm), 0, 0, NULL, NULL,
	    "name of this VM", false },
	{ "daemon", "zone", OPT_STRING, AT(zone), 0, 0, NULL, NULL,
	    "data centre of this VM", false },
	{ "daemon", "log_level", OPT_LEVELS, AT(log_level), 0, 0, "info", NULL,
	    "lowest level that is logged, also by area", true },
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
	    "addresses of some gateways, separated by commas, to ask while the "
	    "store is unreachable",
	    false },
	{ "store", "address", OPT_ADDR, AT(store), 0, 0, NULL, NULL,
	    "address of the platform's store", false },
	{ "store", "timeout_ms", OPT_INT, AT(store_timeout_ms), 10, 60000,
	    "2000", "ms", "timeout of a call to the store", false },
	{ "store", "lapse_ms", OPT_INT, AT(expiry_grace_ms), 0, 60000, "2500",
	    "ms",
	    "replicas whose entries expire are kept for this time after an "
	    "outage of the store",
	    true },
	{ "store", "drain_within_ms", OPT_INT, AT(drain_within_ms), 100, 60000,
	    "2000", "ms",
	    "time after which a draining replica gets no more work", false },
	{ "sidecars", "port", OPT_INT, AT(sidecar_port), 1, 65535, NULL, NULL,
	    "port of the sidecars", false },
	{ "retries", "share", OPT_REAL, AT(retry_share), 0, 100, "0.2", NULL,
	    "most retries as a share of requests, over all gateways", false },
	{ "retries", "floor", OPT_INT, AT(retry_floor), 0, 1000000, "10", NULL,
	    "retries that are allowed in any case, over all gateways", false },
	{ "retries", "sharers", OPT_INT, AT(retry_gateways), 1, 10000, "8",
	    NULL, "number of gateways that the floor is divided among", false },
	{ "quotas", "window_ms", OPT_INT, AT(quota_window_ms), 100, 3600000,
	    "10000", "ms",
	    "window within which the use of a client account's quota is "
	    "counted",
	    false },
	{ "quotas", "overage", OPT_REAL, AT(quota_overage), 0, 100, "0", NULL,
	    "accepted use beyond a quota, as a share of it", false },
	{ "quotas", "slack", OPT_REAL, AT(quota_slack), 0, 1000000000, "0",
	    NULL,
	    "accepted use beyond a quota and its overage, in requests or "
	    "tokens as the quota",
	    false },
	OPTION_END,
};

/*
 * A request may take the sum of the deployment's header and idle timeouts to
 * arrive, as evhttp reports complete requests only, not the end of the headers.
 * No caller within both timeouts is disconnected.
 */
static void
set_caller_timeouts(struct gateway *g)
{
	const struct deployment *d = g->deployment;
	struct http_conns_timeouts timeouts = { 0 };

	if (d->header_timeout_us > 0 && d->idle_timeout_us > 0) {
		timeouts.first_request_us =
		    d->header_timeout_us + d->idle_timeout_us;
		timeouts.next_request_us = timeouts.first_request_us;
	}
	http_server_set_timeouts(g->caller_http, &timeouts);
}

static void
on_deployment(void *ctx)
{
	struct gateway *g = ctx;

	g->deployment = deployment_sync_current(g->deployment_sync);
	set_caller_timeouts(g);
	http_server_set_limits(g->caller_http, g->deployment->max_header_bytes,
	    g->deployment->max_body_bytes);
	backends_divide_connections(g->backends, 0);
	sidecar_conns_refresh(g->sidecar_conns);
	exchanges_route(g);
}

static void
on_deployment_received(void *ctx, uint64_t next)
{
	struct gateway *g = ctx;

	keyed_feed_skip(g->deployment_feed, next);
}

static bool
store_answers(void *ctx)
{
	const struct gateway *g = ctx;

	return keyed_feed_receives(g->deployment_feed);
}

static bool
peers_first(void *ctx)
{
	const struct gateway *g = ctx;

	return g->deployment_source.peers;
}

static void
on_replica_record(void *ctx, const struct fleet_record *record)
{
	struct gateway *g = ctx;

	if (backends_record(g->backends, record))
		replica_records_put(g->replica_records, record);
}

static void
on_replica_snapshot(void *ctx)
{
	struct gateway *g = ctx;

	replica_records_clear(g->replica_records);
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
not_ready_reason(const struct gateway *g)
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
	const char *why = not_ready_reason(ctx);

	if (why == NULL)
		http_reply(req, 200, "text/plain", "ready\n", 6);
	else
		http_reply(req, 503, "text/plain", why, strlen(why));
}

static void
on_metrics(void *ctx, struct evhttp_request *req)
{
	const struct gateway *g = ctx;

	*g->counters.answers_held = (int64_t)g->answer_quota.used;
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

static const struct http_route caller_routes[] = {
	{ "/", ALL_METHODS, on_request },
	{ 0 },
};

static const struct http_route metrics_routes[] = {
	{ "/metrics", EVHTTP_REQ_GET, on_metrics },
	{ 0 },
};

static struct http_server *
create_server(
    struct gateway *g, const char *address, const struct http_route *routes)
{
	struct http_server_options opts = {
		.base = g->process.base,
		.routes = routes,
		.ctx = g,
		.max_body = MAX_BODY_BYTES,
		.max_headers = MAX_HEADER_BYTES,
		.max_held = MAX_HELD_BYTES,
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

/* ---- signals and ticks ---- */

static void
on_stop(void *ctx)
{
	struct gateway *g = ctx;

	if (g->stop_us != 0)
		return;
	g->stop_us = clock_now(g->process.clock);
	log_info(
	    g->process.logger, "stopping", LF_I("open", g->open_responses));
}

static void
on_reload(void *ctx)
{
	struct gateway *g = ctx;
	const struct settings_file file = { g->path, options, &g->settings,
		sizeof(g->settings), NULL };

	if (settings_file_reload(&file, g->process.logger) == 0)
		(void)logger_set_levels(
		    g->process.logger, g->settings.log_level);
}

/* When requests without a response are answered, if they must. */
static int64_t
stop_answer_us(const struct gateway *g)
{
	return g->settings.drain_ms * USEC_PER_MSEC - STOP_FLUSH_US;
}

int64_t
gateway_stop_left_us(const struct gateway *g)
{
	return stop_answer_us(g) - (clock_now(g->process.clock) - g->stop_us);
}

static void
stop_if_drained(struct gateway *g)
{
	int64_t since = clock_now(g->process.clock) - g->stop_us;

	if (since >= STOP_CLOSE_IDLE_US)
		http_server_close_idle(g->caller_http);
	if (since >= stop_answer_us(g))
		exchanges_answer_all(g);
	if (since < STOP_MIN_US)
		return;
	if ((g->open_responses > 0 || http_server_receives(g->caller_http)) &&
	    since < g->settings.drain_ms * USEC_PER_MSEC - 2 * TICK_US)
		return;
	log_info(g->process.logger, "stopped", LF_I("open", g->open_responses));
	event_base_loopbreak(g->process.base);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct gateway *g = arg;

	process_timer_add(g->tick, TICK_US);
	backends_tick(g->backends);
	deployment_sync_tick(g->deployment_sync);
	peer_conns_tick(g->peer_conns);
	sidecar_conns_tick(g->sidecar_conns);
	deployment_source_tick(g);
	crash_guard_tick(g->crash_guard);
	quotas_tick(g);
	exchanges_reselect(g);
	if (g->stop_us == 0)
		candidates_load_ahead(g);
	if (g->stop_us != 0)
		stop_if_drained(g);
}

/* The store's silence may have swallowed the other reads too. */
static void
on_replicas_deaf(void *ctx)
{
	struct gateway *g = ctx;

	keyed_feed_read_again(g->deployment_feed);
	crash_guard_read_again(g->crash_guard);
}

static int64_t
check_pause(enum fleet_topic topic, unsigned gateways)
{
	int64_t pause_us = gateways * CHECK_EVERY_US;

	if (topic == FLEET_DEPLOYMENT)
		pause_us *= DEPLOYMENT_CHECK_FACTOR;
	return pause_us < CHECK_PAUSE_MIN_US ? CHECK_PAUSE_MIN_US : pause_us;
}

void
gateway_set_check_pauses(struct gateway *g, unsigned gateways)
{
	keyed_feed_set_check_pause(
	    g->replica_feed, check_pause(FLEET_REPLICAS, gateways));
	keyed_feed_set_check_pause(
	    g->deployment_feed, check_pause(FLEET_DEPLOYMENT, gateways));
}

static struct keyed_feed *
create_feed(struct gateway *g, enum fleet_topic topic, const char *name,
    int64_t pause_us, void (*record)(void *, const struct fleet_record *),
    void (*begin)(void *), void (*end)(void *), void *ctx)
{
	struct keyed_feed_options opts = {
		.process = &g->process,
		.ops = g->driver->store,
		.store = g->store,
		.topic = topic,
		.name = name,
		.poll_us = LONG_POLL_US,
		.pause_us = pause_us,
		.check = true,
		.check_pause_us = check_pause(topic, 1),
		.newest_only = topic == FLEET_DEPLOYMENT,
		.record = record,
		.snapshot_begin = begin,
		.snapshot_end = end,
		.deaf = topic == FLEET_REPLICAS ? on_replicas_deaf : NULL,
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
create_routing(struct gateway *g)
{
	struct retry_budget_options retries = {
		.share = g->settings.retry_share,
		.burst = gateway_retry_burst(
		    g, (unsigned)g->settings.retry_gateways),
		.start = RETRY_START_TOKENS,
		.max_targets = RETRY_TARGETS_MAX,
	};
	struct deployment_sync_options sync = {
		.process = &g->process,
		.driver = g->driver,
		.changed = on_deployment,
		.received = on_deployment_received,
		.store_answers = store_answers,
		.peers_first = peers_first,
		.ctx = g,
	};

	g->deployment_sync = deployment_sync_create(&sync);
	g->retry_budget = retry_budget_create(&retries);
	g->quota_asker = quota_asker_create(clock_now(g->process.clock));
	g->prefix_map = prefix_map_create(PREFIX_MAP_SIZE);
	g->prefill_factors = model_prefill_create();
	g->request_rates = model_rates_create();
	g->replica_records = replica_records_create();
	g->backends = backends_create(g);
	g->sidecar_conns = sidecar_conns_create(g);
	return g->deployment_sync == NULL || g->retry_budget == NULL ||
		       g->prefix_map == NULL || g->prefill_factors == NULL ||
		       g->request_rates == NULL || g->replica_records == NULL ||
		       g->backends == NULL || g->sidecar_conns == NULL
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
	int64_t replica_pause_us =
	    (int64_t)(REPLICA_PAUSE_SHARE *
		      (double)g->settings.drain_within_ms) *
	    USEC_PER_MSEC;

	g->store = g->driver->store->create(&store);
	if (g->store == NULL)
		return -1;
	g->deployment_feed = create_feed(g, FLEET_DEPLOYMENT, "deployment", 0,
	    deployment_sync_on_record, ignore_snapshot, ignore_snapshot,
	    g->deployment_sync);
	g->replica_feed =
	    create_feed(g, FLEET_REPLICAS, "replicas", replica_pause_us,
		on_replica_record, on_replica_snapshot, ignore_snapshot, g);
	g->crash_guard = crash_guard_create(g);
	return g->deployment_feed == NULL || g->replica_feed == NULL ||
		       g->crash_guard == NULL
		   ? -1
		   : 0;
}

static void
create_counters(struct gateway *g)
{
	struct metrics *m = g->process.metrics;

	g->counters.answered = metrics_counter(m, "gateway_answered_total", "");
	g->counters.refused = metrics_counter(m, "gateway_refused_total", "");
	g->counters.failed = metrics_counter(m, "gateway_failed_total", "");
	g->counters.disconnected =
	    metrics_counter(m, "gateway_callers_left_total", "");
	g->counters.retried = metrics_counter(m, "gateway_resent_total", "");
	g->counters.resumed = metrics_counter(m, "gateway_resumed_total", "");
	g->counters.over_limit =
	    metrics_counter(m, "gateway_answers_over_limit_total", "");
	g->counters.answers_held =
	    metrics_gauge(m, "gateway_answers_held_bytes", "");
}

static int
listen_all(struct gateway *g, struct http_route *ready_routes)
{
	ready_routes[0] = (struct http_route){ g->driver->ready_path,
		EVHTTP_REQ_GET, on_ready };
	g->ready_http =
	    create_server(g, g->settings.ready_listen, ready_routes);
	g->caller_http = create_server(g, g->settings.listen, caller_routes);
	if (g->ready_http == NULL || g->caller_http == NULL)
		return -1;
	/* Not fatal: another daemon on the VM may have the port. */
	if (g->settings.metrics_listen[0] != '\0')
		g->metrics_http = create_server(
		    g, g->settings.metrics_listen, metrics_routes);
	return 0;
}

static int
run_gateway(struct gateway *g)
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
	g->answer_quota.max = MAX_ANSWERS_BYTES;
	create_counters(g);
	if (create_routing(g) == -1 || create_store(g) == -1) {
		log_error(g->process.logger, "cannot start",
		    LF_S("why", "invalid address or out of memory"));
		goto out;
	}
	g->peer_conns = peer_conns_create(g);
	if (g->peer_conns == NULL) {
		log_error(g->process.logger, "cannot listen",
		    LF_S("address", g->settings.peer_listen));
		goto out;
	}
	if (listen_all(g, ready_routes) == -1)
		goto out;
	g->tick = process_timer_new(&g->process, on_tick, g);
	process_timer_add(g->tick, TICK_US);
	log_info(g->process.logger, "started", LF_S("vm", g->settings.vm),
	    LF_S("zone", g->settings.zone), LF_S("version", TM_VERSION));
	rc = event_base_dispatch(g->process.base) == -1 ? 1 : 0;

out:
	exchanges_abort(g);
	http_server_destroy(g->caller_http);
	http_server_destroy(g->ready_http);
	http_server_destroy(g->metrics_http);
	keyed_feed_destroy(g->deployment_feed);
	keyed_feed_destroy(g->replica_feed);
	crash_guard_destroy(g->crash_guard);
	g->driver->store->destroy(g->store);
	peer_conns_destroy(g->peer_conns);
	sidecar_conns_destroy(g->sidecar_conns);
	g->sidecar_conns = NULL;
	backends_destroy(g->backends);
	candidates_free_seen(g);
	replica_records_destroy(g->replica_records);
	model_prefill_destroy(g->prefill_factors);
	model_rates_destroy(g->request_rates);
	prefix_map_destroy(g->prefix_map);
	retry_budget_destroy(g->retry_budget);
	quota_asker_destroy(g->quota_asker);
	deployment_sync_destroy(g->deployment_sync);
	if (g->tick != NULL)
		event_free(g->tick);
	process_close(&g->process);
	return rc;
}

int
gateway_main(int argc, char **argv, const struct fleet_driver *driver)
{
	struct gateway *g = calloc(1, sizeof(*g));
	int rc;

	if (g == NULL)
		return 1;
	g->driver = driver;
	rc = daemon_args_load(argc, argv,
	    "Accepts callers' requests on a platform and sends them to "
	    "replicas.",
	    options, &g->settings, NULL, &g->path);
	if (rc == -1)
		rc = run_gateway(g);
	options_free(options, &g->settings);
	free(g);
	return rc;
}
