#include "entry/entry.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/daemon_args.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/daemon_http.h"
#include "coordination/demand.h"
#include "coordination/holder.h"
#include "coordination/membership.h"
#include "coordination/store.h"
#include "coordination/subset.h"
#include "entry/account_index.h"
#include "entry/api.h"
#include "entry/api_common.h"
#include "entry/demand_reporter.h"
#include "entry/operators.h"
#include "entry/peer_stats.h"
#include "entry/refusals.h"
#include "entry/report_poll.h"
#include "entry/request.h"
#include "entry/usage.h"
#include "entry/watch.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "transport/http_server.h"
#include "transport/rpc.h"

#define DRAIN_CHECK_INTERVAL_US (100 * USEC_PER_MSEC)
#define DEMAND_MODELS_MAX 4096 /* models in one demand report */
#define REPORT_POLL_INTERVAL_US (500 * USEC_PER_MSEC)
#define OPERATOR_API_PREFIX "/apis/"
#define AT(field) offsetof(struct entry_settings, field)

static const struct option_desc options[] = {
	DAEMON_OPTIONS(AT(daemon)),
	{ "http", "max_body", OPT_INT, AT(max_body), 1024, 1073741824,
	    "16777216", "bytes", "largest body of a request", false },
	{ "http", "max_headers", OPT_INT, AT(max_headers), 1024, 1048576,
	    "16384", "bytes", "largest headers of a request", false },
	{ "http", "max_requests", OPT_INT, AT(max_requests), 1, 1000000,
	    "10000", NULL, "most unfinished requests", true },
	{ "http", "max_tenant_requests", OPT_INT, AT(max_tenant_requests), 1,
	    1000000, "5000", NULL, "most unfinished requests of one tenant",
	    true },
	{ "http", "caller_backlog", OPT_INT, AT(caller_backlog), 4096,
	    1073741824, "4194304", "bytes",
	    "most unsent bytes of one slow caller", true },
	{ "http", "idle_timeout_ms", OPT_INT, AT(idle_timeout_ms), 100, 3600000,
	    "120000", "ms", "longest silence while reading or writing", false },
	{ "http", "first_request_ms", OPT_INT, AT(first_request_ms), 100,
	    3600000, "30000", "ms",
	    "longest time until the first request of a connection is read",
	    false },
	{ "http", "max_connections", OPT_INT, AT(max_connections), 1, 1000000,
	    "10000", NULL, "most connections at once", false },
	{ "operators", "tokens", OPT_STRING, AT(tokens), 0, 0, "", NULL,
	    "file of operators' tokens, read again on SIGHUP; empty: no "
	    "credentials are required",
	    true },
	{ "request", "dispatch_timeout_ms", OPT_INT, AT(dispatch_timeout_ms),
	    10, 600000, "3000", "ms", "longest wait for an agent's verdict",
	    true },
	{ "request", "resume_window_ms", OPT_INT, AT(resume_window_ms), 10,
	    600000, "5000", "ms", "longest wait for a lost agent to reconnect",
	    true },
	{ "request", "max_attempts", OPT_INT, AT(max_attempts), 1, 8, "4", NULL,
	    "most agents tried for one request", true },
	{ "request", "slot_wait_ms", OPT_INT, AT(slot_wait_ms), 0, 600000,
	    "3000", "ms", "longest wait for a usable slot to be decided",
	    true },
	{ "request", "silence_ms", OPT_INT, AT(silence_ms), 100, 600000, "3000",
	    "ms", "silence of an agent after which answers are resumed", true },
	{ "request", "retry_percent", OPT_INT, AT(retry_percent), 0, 100, "20",
	    "%", "retries, as a share of one target's requests", true },
	{ "request", "retry_burst", OPT_INT, AT(retry_burst), 1, 100000, "50",
	    NULL, "retries of one target beyond that share", true },
	{ "request", "default_rank", OPT_STRING, AT(default_rank), 0, 0, "",
	    NULL, "rank of callers that name none; empty: the least urgent",
	    true },
	{ "peers", "small_fleet", OPT_INT, AT(small_fleet), 0, 100000, "200",
	    "VMs", "largest fleet in which all agents are connected", false },
	{ "peers", "sample_per_zone", OPT_INT, AT(sample_per_zone), 1, 1000,
	    "4", "VMs",
	    "agents per data centre to keep connected in a larger fleet",
	    false },
	{ "peers", "keep_ms", OPT_INT, AT(keep_peer_ms), 1000, 86400000,
	    "600000", "ms", "how long an unused agent stays connected", false },
	{ "control", "demand_interval_ms", OPT_INT, AT(demand_interval_ms), 50,
	    60000, "500", "ms", "shortest pause between demand reports",
	    false },
	{ "control", "lease_term_ms", OPT_INT, AT(lease_term_ms), 200, 60000,
	    "3000", "ms", "term of a control shard's lease", false },
	{ "control", "lease_drift_ms", OPT_INT, AT(lease_drift_ms), 10, 60000,
	    "500", "ms", "margin for clock drift", false },
	{ "control", "gone_ms", OPT_INT, AT(removal_grace_ms), 100, 3600000,
	    "30000", "ms", "grace before the slots of a lost VM are freed",
	    false },
	{ "control", "shrink_ms", OPT_INT, AT(shrink_ms), 100, 86400000,
	    "300000", "ms",
	    "low demand for so long before a replica is removed", false },
	{ "weights", "loads_per_sec", OPT_INT, AT(loads_per_sec), 1, 1000000,
	    "2", "loads", "most loads started per second, over all runners",
	    false },
	{ "weights", "max_loads", OPT_INT, AT(max_loads), 1, 100000, "4",
	    "loads", "most loads in progress, over all runners", false },
	{ "weights", "max_adapters", OPT_INT, AT(max_adapters), 1, 100000, "32",
	    "adapters", "most adapter loads in progress, over all runners",
	    false },
	{ "weights", "permit_ms", OPT_INT, AT(permit_expiry_ms), 1000, 3600000,
	    "120000", "ms", "time after which an unreturned permit expires",
	    false },
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
	{ "control", "tick_ms", OPT_INT, AT(place_tick_ms), 5, 60000, "50",
	    "ms", "pause between two placement steps", false },
	OPTION_END,
};

const char *
entry_unready_reason(const struct entry *e)
{
	if (e->daemon->leaving)
		return "leaving";
	return store_unready_reason(e->daemon->store);
}

/* ---- HTTP ---- */

static void
handle_metrics(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;

	holder_refresh_metrics(e->holder);
	daemon_http_metrics(e->daemon, req);
}

static void
handle_ready(void *ctx, struct evhttp_request *req)
{
	const char *reason = entry_unready_reason(ctx);

	daemon_http_ready(req, reason);
}

/* Answers a request that reaches no route; status is the HTTP status. */
static void
refuse_unrouted(void *ctx, struct evhttp_request *req, int status)
{
	switch (status) {
	case HTTP_HEADERS_TOO_LARGE:
		api_refuse(req, RESULT_HEADERS_TOO_LARGE, NULL);
		break;
	case HTTP_ENTITYTOOLARGE:
		api_refuse(req, RESULT_TOO_LARGE, NULL);
		break;
	case HTTP_BADMETHOD:
		api_refuse(req, RESULT_BAD_METHOD, NULL);
		break;
	case HTTP_BADREQUEST:
		api_refuse(req, RESULT_BAD_REQUEST, NULL);
		break;
	default:
		api_refuse(req, RESULT_NOT_FOUND, NULL);
		break;
	}
}

#define ANY_METHOD                                                             \
	(EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |                   \
	    EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH)

/*
 * Checks the operator's role for paths of the operator API.  Returns false
 * after refusing the request.
 */
static bool
authorize(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	enum result code = RESULT_OK;

	if (strncmp(path, OPERATOR_API_PREFIX, strlen(OPERATOR_API_PREFIX)) ==
	    0)
		code = operators_authorize(e->operators, req);
	if (code == RESULT_OK)
		return true;
	(*metrics_counter(e->daemon->metrics, "operator_refusals_total",
	    code == RESULT_FORBIDDEN ? "reason=\"role\""
				     : "reason=\"credentials\""))++;
	api_refuse(req, code, NULL);
	return false;
}

static int
read_tokens(struct entry *e)
{
	struct operators_error err;
	struct operators *operators =
	    operators_create(e->settings.tokens, &err);

	if (operators == NULL) {
		log_error(e->daemon->logger,
		    "cannot read the operators' tokens",
		    LF_S("error", err.text));
		return -1;
	}
	operators_destroy(e->operators);
	e->operators = operators;
	return 0;
}

static void
on_settings_reloaded(void *ctx)
{
	(void)read_tokens(ctx);
}

static const struct http_route routes[] = {
	{ "/metrics", EVHTTP_REQ_GET, handle_metrics },
	{ "/healthz", EVHTTP_REQ_GET, daemon_http_health },
	{ "/readyz", EVHTTP_REQ_GET, handle_ready },
	{ "/v1/completions", EVHTTP_REQ_POST, api_completions },
	{ "/v1/models", EVHTTP_REQ_GET, api_models },
	{ "/services/", ANY_METHOD, api_services },
	{ "/apis/v1/", ANY_METHOD, api_resources },
	{ "/apis/v1/status", EVHTTP_REQ_GET, api_status },
	{ "/apis/v1/top", EVHTTP_REQ_GET, api_top },
	{ "/apis/v1/drain/", EVHTTP_REQ_POST, api_drain },
	{ "/apis/v1/trace/", EVHTTP_REQ_GET, api_trace },
	{ .prefix = NULL },
};

/* ---- RPC ---- */

static void
handle_chunk(void *ctx, struct rpc_call *call, void *arg)
{
	struct entry *e = ctx;

	requests_on_chunk(e->requests, arg);
}

static void
handle_finish(void *ctx, struct rpc_call *call, void *arg)
{
	struct entry *e = ctx;

	requests_on_finish(e->requests, arg);
}

static void
handle_backend_end(void *ctx, struct rpc_call *call, void *arg)
{
	struct entry *e = ctx;

	requests_on_backend_end(e->requests, arg);
}

static void
handle_load(void *ctx, struct rpc_call *call, void *arg)
{
	struct entry *e = ctx;
	struct peer *peer =
	    membership_by_conn(e->daemon->membership, rpc_call_conn(call));

	if (peer != NULL)
		membership_apply_report(e->daemon->membership, peer, arg);
}

/* Takes in the demand of one entry, which may be this one. */
static void
receive_demand(void *ctx, const struct tm_demand_report *report)
{
	struct entry *e = ctx;

	holder_handle_demand(e->holder, report);
	(*metrics_counter(
	    e->daemon->metrics, "demand_reports_received_total", ""))++;
}

static void
handle_demand(void *ctx, struct rpc_call *call, void *arg)
{
	receive_demand(ctx, arg);
}

static void
handle_permit(void *ctx, struct rpc_call *call, void *arg)
{
	struct entry *e = ctx;
	struct tm_permit_reply reply;

	holder_handle_permit(e->holder, arg, &reply);
	rpc_call_reply(call, &reply);
}

static void
handle_permit_return(void *ctx, struct rpc_call *call, void *arg)
{
	struct entry *e = ctx;

	holder_handle_permit_return(e->holder, arg);
}

#define CODEC(type) (xdrproc_t) xdr_##type, sizeof(struct type)

static const struct rpc_handler handlers[] = {
	{ TM_DEMAND, CODEC(tm_demand_report), NULL, handle_demand, NULL },
	{ TM_PERMIT, CODEC(tm_permit_args), (xdrproc_t)xdr_tm_permit_reply,
	    handle_permit, NULL },
	{ TM_PERMIT_RETURN, CODEC(tm_permit_return), NULL, handle_permit_return,
	    NULL },
	{ TM_CHUNK, CODEC(tm_chunk), NULL, handle_chunk, NULL },
	{ TM_FINISH, CODEC(tm_finish), NULL, handle_finish, NULL },
	{ TM_BACKEND_END, CODEC(tm_backend_end), NULL, handle_backend_end,
	    NULL },
	{ TM_LOAD, CODEC(tm_load_report), NULL, handle_load, NULL },
	{ .proc = 0 },
};

/* ---- events from the daemon's common parts ---- */

/* The lease holder stays connected to all runners, others to a subset. */
static bool
should_connect(void *ctx, const struct vm_info *vm)
{
	struct entry *e = ctx;

	if (vm->role == VM_ENTRY)
		return false;
	subset_add(e->subset, vm->id, vm->zone);
	return holder_has_lease(e->holder) ||
	       subset_contains(e->subset, vm->id, clock_now(e->daemon->clock));
}

static bool
peer_has_requests(void *ctx, const struct peer *peer)
{
	const struct entry *e = ctx;

	return request_count_at_peer(e->requests, peer) > 0;
}

void
entry_use_peer(struct entry *e, struct peer *peer)
{
	subset_use(e->subset, peer->vm.id, clock_now(e->daemon->clock));
	if (peer->conn == NULL)
		membership_connect(e->daemon->membership, peer);
}

static void
on_peer_up(void *ctx, struct peer *peer)
{
	struct entry *e = ctx;

	requests_peer_up(e->requests, peer);
}

static void
on_peer_down(void *ctx, struct peer *peer)
{
	struct entry *e = ctx;

	requests_peer_down(e->requests, peer);
}

static void
on_peer_removed(void *ctx, struct peer *peer)
{
	struct entry *e = ctx;

	subset_remove(e->subset, peer->vm.id);
	if (e->requests != NULL)
		requests_peer_removed(e->requests, peer);
	else
		peer_stats_free(peer);
}

static void
on_conn_closed(void *ctx, struct rpc_conn *conn)
{
	struct entry *e = ctx;

	if (e->demand_reporter != NULL)
		demand_reporter_conn_closed(e->demand_reporter, conn);
}

static void
on_lease_changed(void *ctx, const struct control_lease *lease)
{
	struct entry *e = ctx;

	if (e->holder != NULL)
		holder_lease_changed(e->holder, lease);
}

static void
on_config_changed(void *ctx, const struct config_event *event)
{
	struct entry *e = ctx;

	if (e->watches != NULL)
		watch_hub_add_event(e->watches, event);
}

static void
on_config_restoring(void *ctx, uint64_t version)
{
	struct entry *e = ctx;

	if (e->watches != NULL)
		watch_hub_snapshot(e->watches, version);
}

static void
on_leave(void *ctx)
{
	struct entry *e = ctx;

	e->leaving_since_us = clock_now(e->daemon->clock);
	daemon_announce_leaving(e->daemon);
	holder_resign(e->holder);
	watch_hub_end_watches(e->watches);
}

static void
check_drained(struct entry *e)
{
	int64_t waited = clock_now(e->daemon->clock) - e->leaving_since_us;

	if (request_count(e->requests) + e->open_callers > 0 &&
	    waited < e->settings.daemon.drain_ms * USEC_PER_MSEC)
		return;
	/* A second for load balancers to see /readyz fail. */
	if (waited > USEC_PER_SEC)
		daemon_stop(e->daemon);
}

static void
on_drain_check(evutil_socket_t fd, short what, void *arg)
{
	struct entry *e = arg;
	struct timeval tv = { 0, DRAIN_CHECK_INTERVAL_US };

	evtimer_add(e->drain_check_timer, &tv);
	if (e->daemon->leaving)
		check_drained(e);
}

/* ---- start and stop ---- */

static int
create_http(struct entry *e)
{
	struct http_server_options http = {
		.base = e->daemon->base,
		.routes = routes,
		.ctx = e,
		.max_body = (size_t)e->settings.max_body,
		.max_headers = (size_t)e->settings.max_headers,
		.idle_timeout_us = e->settings.idle_timeout_ms * USEC_PER_MSEC,
		.timeouts.first_request_us =
		    e->settings.first_request_ms * USEC_PER_MSEC,
		.max_connections = (unsigned)e->settings.max_connections,
		.refusals = entry_refusals_get(e->refusals),
		.metrics = e->daemon->metrics,
		.tls = e->daemon->tls,
		.authorize = authorize,
		.refuse = refuse_unrouted,
	};

	e->http = http_server_create(&http);
	if (e->http == NULL)
		return -1;
	return http_server_listen(e->http, e->settings.daemon.http_listen);
}

static void
create_holder(struct entry *e)
{
	struct holder_options holder = {
		.base = e->daemon->base,
		.clock = e->daemon->clock,
		.logger = e->daemon->logger,
		.metrics = e->daemon->metrics,
		.store = e->daemon->store,
		.membership = e->daemon->membership,
		.shard = 0,
		.self = e->settings.daemon.vm,
		.address = e->settings.daemon.rpc_listen,
		.term_us = e->settings.lease_term_ms * USEC_PER_MSEC,
		.drift_us = e->settings.lease_drift_ms * USEC_PER_MSEC,
		.removal_grace_us =
		    e->settings.removal_grace_ms * USEC_PER_MSEC,
		.tick_us = e->settings.place_tick_ms * USEC_PER_MSEC,
		.shrink_us = e->settings.shrink_ms * USEC_PER_MSEC,
		.loads_per_sec = (unsigned)e->settings.loads_per_sec,
		.max_loads = (unsigned)e->settings.max_loads,
		.max_adapters = (unsigned)e->settings.max_adapters,
		.permit_expiry_us =
		    e->settings.permit_expiry_ms * USEC_PER_MSEC,
	};

	e->holder = holder_create(&holder);
}

static void
create_subset(struct entry *e)
{
	struct subset_options subset = {
		.self = e->settings.daemon.vm,
		.small_fleet = (unsigned)e->settings.small_fleet,
		.sample_per_zone = (unsigned)e->settings.sample_per_zone,
		.keep_us = e->settings.keep_peer_ms * USEC_PER_MSEC,
	};

	e->subset = subset_create(&subset);
}

static void
create_demand(struct entry *e)
{
	struct demand_reporter_options reporter = {
		.daemon = e->daemon,
		.self = e->settings.daemon.vm,
		.interval_us = e->settings.demand_interval_ms * USEC_PER_MSEC,
		.deliver_local = receive_demand,
		.ctx = e,
	};

	e->demand = demand_create(DEMAND_MODELS_MAX);
	reporter.demand = e->demand;
	e->demand_reporter = demand_reporter_create(&reporter);
}

static int
run_entry(struct entry *e)
{
	struct daemon_options daemon = {
		.settings = &e->settings.daemon,
		.program = "entry",
		.role = TM_ROLE_ENTRY,
		.handlers = handlers,
		.should_connect = should_connect,
		.busy = peer_has_requests,
		.peer_up = on_peer_up,
		.peer_down = on_peer_down,
		.peer_removed = on_peer_removed,
		.config_changed = on_config_changed,
		.config_restoring = on_config_restoring,
		.lease_changed = on_lease_changed,
		.conn_closed = on_conn_closed,
		.leave = on_leave,
		.reloaded = on_settings_reloaded,
		.file = { e->path, options, &e->settings, sizeof(e->settings),
		    NULL },
		.ctx = e,
	};
	struct timeval tv = { 0, DRAIN_CHECK_INTERVAL_US };
	int rc = 1;

	e->daemon = daemon_create(&daemon);
	if (e->daemon == NULL)
		return 1;
	create_subset(e);
	create_demand(e);
	e->report_poll = report_poll_create(e->daemon, REPORT_POLL_INTERVAL_US);
	e->accounts = account_index_create(e->daemon->store);
	e->requests = request_table_create(e, e->demand);
	e->watches = watch_hub_create(e);
	e->usage = usage_create(e->daemon->metrics);
	create_holder(e);
	e->refusals = entry_refusals_create();
	e->drain_check_timer = evtimer_new(e->daemon->base, on_drain_check, e);
	evtimer_add(e->drain_check_timer, &tv);
	if (read_tokens(e) == -1)
		goto out;
	if (create_http(e) == -1) {
		log_error(e->daemon->logger, "cannot listen for HTTP",
		    LF_S("address", e->settings.daemon.http_listen));
		goto out;
	}
	rc = daemon_run(e->daemon) == 0 ? 0 : 1;

out:
	daemon_close(e->daemon);
	request_table_destroy(e->requests);
	e->requests = NULL;
	account_index_destroy(e->accounts);
	report_poll_destroy(e->report_poll);
	demand_reporter_destroy(e->demand_reporter);
	e->demand_reporter = NULL;
	demand_destroy(e->demand);
	watch_hub_destroy(e->watches);
	usage_destroy(e->usage);
	http_server_destroy(e->http);
	entry_refusals_destroy(e->refusals);
	operators_destroy(e->operators);
	holder_destroy(e->holder);
	event_free(e->drain_check_timer);
	daemon_destroy(e->daemon);
	subset_destroy(e->subset);
	return rc;
}

int
entry_main(int argc, char **argv)
{
	struct entry *e = calloc(1, sizeof(*e));
	int rc;

	if (e == NULL)
		return 1;
	rc = daemon_args_load(argc, argv,
	    "Serves callers and operators, and routes work to agents.", options,
	    &e->settings, NULL, &e->path);
	if (rc == -1)
		rc = run_entry(e);
	options_free(options, &e->settings);
	free(e);
	return rc;
}
