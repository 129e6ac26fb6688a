#include "agent/agent.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "agent/agent_internal.h"
#include "agent/daemon_conns.h"
#include "common/clock.h"
#include "common/daemon_args.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/accounts/quota_meter.h"
#include "coordination/claim_writer.h"
#include "coordination/idle.h"
#include "coordination/loader.h"
#include "coordination/membership.h"
#include "coordination/store.h"
#include "transport/http_server.h"
#include "transport/rpc.h"

#define TICK_INTERVAL_US (100 * USEC_PER_MSEC)
/*
 * Longest wait for the append of claim records, from the start of leaving; the
 * records that are not in the log by then are lost.
 */
#define CLAIMS_FLUSH_TIMEOUT_US (5 * USEC_PER_SEC)
#define ENGINE_STATE_TIMEOUT_US (2 * USEC_PER_SEC)

#define AT(field) offsetof(struct agent_settings, field)

static const struct option_desc options[] = {
	DAEMON_OPTIONS(AT(daemon)),
	{ "backend", "engine", OPT_ADDR, AT(engine), 0, 0, "", NULL,
	    "address of the model engine beside this agent", false },
	{ "backend", "service", OPT_ADDR, AT(service), 0, 0, "", NULL,
	    "address of the plain service beside this agent", false },
	{ "backend", "service_name", OPT_STRING, AT(service_name), 0, 0, "",
	    NULL, "name under which that service is declared", false },
	{ "backend", "order_timeout_ms", OPT_INT, AT(order_timeout_ms), 100,
	    3600000, "120000", "ms",
	    "longest wait for the engine to complete a load or unload", false },
	{ "backend", "state_refresh_ms", OPT_INT, AT(state_refresh_ms), 20,
	    60000, "500", "ms", "pause between two reads of the engine's state",
	    false },
	{ "backend", "order_linger_ms", OPT_INT, AT(order_linger_ms), 0, 600000,
	    "2000", "ms",
	    "longest time for which an order to the engine can still take "
	    "effect after its answer was lost",
	    false },
	{ "backend", "cut_off_ms", OPT_INT, AT(isolation_timeout_ms), 1000,
	    3600000, "20000", "ms",
	    "time without contact to the log and all peers after which all "
	    "models are unloaded; keep it well below the holder's grace for "
	    "a lost VM",
	    false },
	{ "queue", "max_requests", OPT_INT, AT(max_queued), 1, 1000000, "2000",
	    NULL, "most queued requests", false },
	{ "queue", "max_tokens", OPT_INT, AT(max_queued_tokens), 1, 1000000000,
	    "400000", "tokens", "most tokens of queued requests", false },
	{ "weights", "loads", OPT_INT, AT(max_offline_loads), 1, 1000, "1",
	    NULL,
	    "most model loads from the weight store at once while no holder "
	    "can be reached",
	    false },
	{ "weights", "adapter_loads", OPT_INT, AT(max_offline_adapter_loads), 1,
	    1000, "2", NULL,
	    "most adapter loads at once while no holder can be reached",
	    false },
	{ "idle", "review_ms", OPT_INT, AT(idle_review_ms), 10, 600000, "1000",
	    "ms", "pause between two reviews of idle models", false },
	{ "idle", "min_keep_ms", OPT_INT, AT(idle_min_keep_ms), 0, 86400000,
	    "30000", "ms",
	    "least time for which a model stays loaded after its last use",
	    false },
	{ "idle", "adapter_load_ms", OPT_INT, AT(adapter_load_ms), 1, 600000,
	    "10", "ms", "expected load time of an adapter", false },
	{ "claims", "partitions", OPT_INT, AT(claim_partitions), 1, 1024, "4",
	    NULL, "log streams of idempotency keys; the same at all agents",
	    false },
	{ "claims", "wait_ms", OPT_INT, AT(claim_wait_ms), 10, 60000, "2000",
	    "ms", "longest wait for the log's verdict on a claim", false },
	{ "claims", "lifetime_ms", OPT_INT, AT(claim_lifetime_ms), 1000,
	    86400000, "600000", "ms",
	    "least time for which a key is kept; keep it below the log's "
	    "retention",
	    false },
	{ "claims", "max_keys", OPT_INT, AT(max_claim_keys), 1, 10000000,
	    "50000", NULL, "most keys kept; beyond, new ones are refused",
	    false },
	{ "claims", "answer_bytes", OPT_INT, AT(max_claim_answer_bytes), 0,
	    1073741824, "8388608", "bytes",
	    "most bytes of answers kept with their keys", false },
	{ "memory", "keep_answers_ms", OPT_INT, AT(keep_answers_ms), 1000,
	    3600000, "60000", "ms",
	    "how long an ended request is kept, for its entry to resume",
	    false },
	{ "memory", "keep_answers", OPT_INT, AT(max_kept_answers), 100,
	    10000000, "20000", NULL, "most ended requests kept", false },
	{ "memory", "keep_answer_bytes", OPT_INT, AT(max_kept_answer_bytes),
	    65536, 1073741824, "16777216", "bytes",
	    "most answer bytes of ended requests kept", false },
	OPTION_END,
};

/* ---- events from the daemon's common parts ---- */

static bool
should_connect(void *ctx, const struct vm_info *vm)
{
	return false; /* entries connect to agents */
}

static void
ignore_peer(void *ctx, struct peer *peer)
{
}

static void
on_conn_closed(void *ctx, struct rpc_conn *conn)
{
	struct agent *a = ctx;
	struct job *job = NULL;

	if (a->daemon_conns != NULL)
		daemon_conns_on_closed(a->daemon_conns, conn);
	while (a->jobs != NULL && (job = job_next(a->jobs, job)) != NULL) {
		if (job->conn == conn)
			job->conn = NULL;
	}
}

static bool
has_unsent_output(const struct agent *a)
{
	struct rpc_conn *conn = NULL;

	while ((conn = rpc_next_conn(a->daemon->rpc, conn)) != NULL) {
		if (rpc_conn_backlog(conn) > 0)
			return true;
	}
	return false;
}

static void
on_hello(void *ctx, struct rpc_conn *conn, const struct tm_hello_args *args)
{
	struct agent *a = ctx;

	daemon_conns_on_hello(a->daemon_conns, conn, args);
}

/*
 * Stops the daemon, a second after it began to leave at the earliest: once all
 * jobs have ended and their results and claims are sent, or after drain_ms.
 */
static void
check_drained(struct agent *a)
{
	int64_t waited = clock_now(a->daemon->clock) - a->leaving_since_us;
	bool busy =
	    admission_queued(a->admission) + admission_running(a->admission) >
	    0;

	if ((busy || has_unsent_output(a)) &&
	    waited < a->settings.daemon.drain_ms * USEC_PER_MSEC)
		return;
	if (a->claims != NULL && !claim_writer_idle(a->claims) &&
	    waited < CLAIMS_FLUSH_TIMEOUT_US)
		return;
	if (waited > USEC_PER_SEC)
		daemon_stop(a->daemon);
}

static void
on_leave(void *ctx)
{
	struct agent *a = ctx;

	a->leaving_since_us = clock_now(a->daemon->clock);
	daemon_announce_leaving(a->daemon);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct agent *a = arg;
	struct timeval tv = { 0, TICK_INTERVAL_US };

	evtimer_add(a->tick_timer, &tv);
	job_table_trim(a->jobs);
	agent_update_limits(a);
	agent_retry_permits(a);
	agent_request_loads(a);
	agent_schedule(a);
	agent_review_idle(a);
	agent_report_changes(a);
	if (a->daemon->leaving)
		check_drained(a);
}

/* ---- callbacks of the loader ---- */

/* The epoch of the lease under which the model's slots are decided. */
static uint64_t
get_fencing_token(void *ctx, const char *model)
{
	struct agent *a = ctx;
	const struct control *control = store_control(a->daemon->store);

	return control_lease(control, control_shard_of(control, model))->epoch;
}

/* Whether this agent holds a slot of the model, and is not isolated. */
static enum loader_placement
get_placement(void *ctx, const char *model)
{
	struct agent *a = ctx;
	const struct control_slot *slot;

	if (agent_is_isolated(a))
		return LOADER_NOT_PLACED;
	if (store_unready_reason(a->daemon->store) != NULL)
		return LOADER_PLACEMENT_UNKNOWN;
	slot = control_runner_slot(
	    store_control(a->daemon->store), model, a->settings.daemon.vm);
	return slot == NULL || slot->releasing ? LOADER_NOT_PLACED
					       : LOADER_PLACED;
}

static void
on_loader_changed(void *ctx)
{
	agent_request_loads(ctx);
	agent_schedule(ctx);
}

/* ---- start and stop ---- */

static int
create_backend(struct agent *a)
{
	struct engine_http_options engine = {
		.base = a->daemon->base,
		.address = a->settings.engine,
		.state_timeout_us = ENGINE_STATE_TIMEOUT_US,
		.order_timeout_us =
		    a->settings.order_timeout_ms * USEC_PER_MSEC,
	};
	struct service_http_options service = {
		.base = a->daemon->base,
		.address = a->settings.service,
		.max_body = TM_CHUNK_MAX,
	};
	struct loader_options loader = {
		.base = a->daemon->base,
		.clock = a->daemon->clock,
		.logger = a->daemon->logger,
		.metrics = a->daemon->metrics,
		.engine = &a->engine,
		.state_refresh_us =
		    a->settings.state_refresh_ms * USEC_PER_MSEC,
		.order_linger_us = a->settings.order_linger_ms * USEC_PER_MSEC,
		.fence = get_fencing_token,
		.placement = get_placement,
		.request_permit = agent_request_permit,
		.return_permit = agent_return_permit,
		.changed = on_loader_changed,
		.ctx = a,
	};

	if (a->settings.engine[0] == '\0') {
		if (agent_create_claim_writer(a) == -1)
			return -1;
		return service_http_create(&a->service, &service);
	}
	if (engine_http_create(&a->engine, &engine) == -1)
		return -1;
	a->loader = loader_create(&loader);
	return a->loader == NULL ? -1 : 0;
}

static void
create_queue(struct agent *a)
{
	struct admission_options queue = {
		.max_running = DEFAULT_MAX_BATCH,
		.max_queued = (uint32_t)a->settings.max_queued,
		.max_queued_tokens = (uint32_t)a->settings.max_queued_tokens,
		.tokens_per_sec = DEFAULT_TOKENS_PER_SEC * DEFAULT_MAX_BATCH,
		.seed = a->daemon->incarnation,
	};
	struct job_table_options jobs = {
		.clock = a->daemon->clock,
		/* A barred id outlasts a late dispatch that is catching up. */
		.min_keep_us = 2 * AGENT_CATCH_UP_TIMEOUT_US,
		.keep_us = a->settings.keep_answers_ms * USEC_PER_MSEC,
		.max_ended = (size_t)a->settings.max_kept_answers,
		.max_bytes = (size_t)a->settings.max_kept_answer_bytes,
	};

	a->admission = admission_create(&queue);
	a->jobs = job_table_create(&jobs);
}

static void
create_metrics(struct agent *a)
{
	struct metrics *m = a->daemon->metrics;

	a->accepted = metrics_counter(m, "dispatches_accepted_total", "");
	a->refused = metrics_counter(m, "dispatches_refused_total", "");
	a->finished = metrics_counter(m, "requests_finished_total", "");
	a->holder_permits =
	    metrics_counter(m, "permits_total", "from=\"holder\"");
	a->offline_permits =
	    metrics_counter(m, "permits_total", "from=\"share\"");
	a->preempted = metrics_counter(m, "streams_preempted_total", "");
	a->queue_wait = metrics_histogram(m, "queue_wait_seconds", "");
}

static const char *check_settings(const void *);

static int
run_agent(struct agent *a)
{
	struct daemon_options daemon = {
		.settings = &a->settings.daemon,
		.program = "agent",
		.role =
		    a->settings.engine[0] ? TM_ROLE_ENGINE : TM_ROLE_SERVICE,
		.handlers = agent_handlers,
		.should_connect = should_connect,
		.peer_up = ignore_peer,
		.peer_down = ignore_peer,
		.peer_removed = ignore_peer,
		.conn_closed = on_conn_closed,
		.hello = on_hello,
		.fill_load = agent_fill_load_report,
		.free_load = agent_free_load_report,
		.leave = on_leave,
		.file = { a->path, options, &a->settings, sizeof(a->settings),
		    check_settings },
		.ctx = a,
	};
	struct timeval tv = { 0, TICK_INTERVAL_US };
	int rc = 1;

	TAILQ_INIT(&a->permits);
	a->daemon_conns = daemon_conns_create();
	a->daemon = daemon_create(&daemon);
	if (a->daemon == NULL)
		return 1;
	a->started_us = clock_now(a->daemon->clock);
	a->quota_meter = quota_meter_create(a->started_us);
	create_metrics(a);
	create_queue(a);
	agent_create_idle(a);
	if (create_backend(a) == -1) {
		log_error(
		    a->daemon->logger, "cannot create the backend client");
		goto out;
	}
	if (agent_create_http(a) == -1) {
		log_error(a->daemon->logger, "cannot listen for HTTP",
		    LF_S("address", a->settings.daemon.http_listen));
		goto out;
	}
	a->tick_timer = evtimer_new(a->daemon->base, on_tick, a);
	evtimer_add(a->tick_timer, &tv);
	rc = daemon_run(a->daemon) == 0 ? 0 : 1;

out:
	daemon_close(a->daemon);
	if (a->tick_timer != NULL)
		event_free(a->tick_timer);
	http_server_destroy(a->http);
	agent_free_permits(a);
	loader_destroy(a->loader);
	a->loader = NULL;
	claim_writer_destroy(a->claims);
	a->claims = NULL;
	if (a->engine.ops != NULL)
		a->engine.ops->destroy(a->engine.priv);
	if (a->service.ops != NULL)
		a->service.ops->destroy(a->service.priv);
	daemon_destroy(a->daemon);
	job_table_destroy(a->jobs);
	admission_destroy(a->admission);
	quota_meter_destroy(a->quota_meter);
	daemon_conns_destroy(a->daemon_conns);
	idle_destroy(a->idle);
	return rc;
}

/* ---- command line ---- */

static const char *
check_settings(const void *settings)
{
	const struct agent_settings *s = settings;

	if ((s->engine[0] == '\0') == (s->service[0] == '\0'))
		return "[backend] needs exactly one of engine and service";
	return NULL;
}

int
agent_main(int argc, char **argv)
{
	struct agent *a = calloc(1, sizeof(*a));
	int rc;

	if (a == NULL)
		return 1;
	a->settle_claim = agent_settle_claim;
	a->schedule = agent_schedule;
	rc = daemon_args_load(argc, argv,
	    "Runs requests on the backend server beside it, and loads its "
	    "models.",
	    options, &a->settings, check_settings, &a->path);
	if (rc == -1)
		rc = run_agent(a);
	options_free(options, &a->settings);
	free(a);
	return rc;
}
