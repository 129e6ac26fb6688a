#include "coordination/daemon.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "common/process.h"
#include "common/rng.h"
#include "common/trace.h"
#include "coordination/membership.h"
#include "coordination/peer_ping.h"
#include "coordination/store.h"
#include "coordination/vm_list_sync.h"
#include "protocol/result.h"
#include "transport/platform_log.h"
#include "transport/rpc.h"
#include "transport/tls.h"

#define HANDLERS_MAX 32
#define TRACE_EVENTS 8192 /* kept in memory */
#define TRACE_REPLY_MAX 256 /* events in one reply */
#define LEAVE_CHECK_US (200 * USEC_PER_MSEC) /* see on_leave_check() */
#define PINGS_PER_STALE_TIME 5 /* a reply or two may be late or lost */

struct daemon_impl {
	struct daemon pub;
	struct daemon_options opts;
	struct log_client log;
	struct vm_list_client vms;
	struct rpc_handler handlers[HANDLERS_MAX];
	struct peer_ping *peer_ping;
	struct vm_list_sync *vm_list_sync;
	struct event *leave_check;
	struct event *signals[PROCESS_SIGNALS];
};

static struct daemon_impl *
impl(void *daemon)
{
	return daemon;
}

/* ---- common handlers ---- */

static void
fill_load(struct daemon_impl *d, struct tm_load_report *load)
{
	memset(load, 0, sizeof(*load));
	load->incarnation = d->pub.incarnation;
	load->leaving = d->pub.leaving;
	if (d->opts.fill_load != NULL)
		d->opts.fill_load(d->opts.ctx, load);
}

static void
free_load(struct daemon_impl *d, struct tm_load_report *load)
{
	if (d->opts.free_load != NULL)
		d->opts.free_load(d->opts.ctx, load);
}

static void
handle_hello(void *ctx, struct rpc_call *call, void *arg)
{
	struct daemon_impl *d = impl(ctx);
	struct tm_hello_reply reply = {
		.vm = d->pub.settings->vm,
		.incarnation = d->pub.incarnation,
	};
	struct rpc_conn *conn = rpc_call_conn(call);

	if (d->opts.hello != NULL && conn != NULL)
		d->opts.hello(d->opts.ctx, conn, arg);
	fill_load(d, &reply.load);
	rpc_call_reply(call, &reply);
	free_load(d, &reply.load);
}

static void
handle_pull(void *ctx, struct rpc_call *call, void *arg)
{
	store_handle_pull(impl(ctx)->pub.store, call, arg);
}

static void
handle_status(void *ctx, struct rpc_call *call, void *arg)
{
	struct daemon_impl *d = impl(ctx);
	struct tm_status_reply reply = {
		.vm = d->pub.settings->vm,
		.zone = d->pub.settings->zone,
		.role = d->opts.role,
		.incarnation = d->pub.incarnation,
		.config = config_version(store_config(d->pub.store)),
		.control = control_version(store_control(d->pub.store)),
	};

	fill_load(d, &reply.load);
	rpc_call_reply(call, &reply);
	free_load(d, &reply.load);
}

static void
begin_leaving(struct daemon_impl *d)
{
	if (d->pub.leaving)
		return;
	d->pub.leaving = true;
	log_info(d->pub.logger, "leaving");
	d->opts.leave(d->opts.ctx);
}

static void
handle_drain(void *ctx, struct rpc_call *call, void *arg)
{
	struct daemon_impl *d = impl(ctx);
	const struct tm_drain_args *args = arg;
	struct tm_drain_reply reply = { .code = RESULT_OK };

	if (strcmp(args->vm, d->pub.settings->vm) != 0)
		reply.code = RESULT_NOT_FOUND;
	rpc_call_reply(call, &reply);
	if (reply.code == RESULT_OK)
		begin_leaving(d);
}

static void
handle_leaving(void *ctx, struct rpc_call *call, void *arg)
{
	struct daemon_impl *d = impl(ctx);
	const struct tm_leaving *args = arg;
	struct peer *peer = membership_find(d->pub.membership, args->vm);

	if (peer != NULL && peer->incarnation == args->incarnation)
		membership_set_leaving(d->pub.membership, peer);
}

static void
handle_list_update(void *ctx, struct rpc_call *call, void *arg)
{
	vm_list_sync_handle_announcement(
	    impl(ctx)->vm_list_sync, rpc_call_conn(call), arg);
}

static void
handle_list_pull(void *ctx, struct rpc_call *call, void *arg)
{
	vm_list_sync_handle_pull(impl(ctx)->vm_list_sync, call);
}

static bool_t
xdr_nothing(XDR *xdrs, ...)
{
	return TRUE;
}

static void
handle_trace(void *ctx, struct rpc_call *call, void *arg)
{
	struct daemon_impl *d = impl(ctx);
	const struct tm_trace_args *args = arg;
	struct tm_trace_reply reply = { .vm = d->pub.settings->vm };
	struct tm_trace_event events[TRACE_REPLY_MAX];
	const struct trace_event *e = NULL;
	u_int count = 0;

	while (count < TRACE_REPLY_MAX &&
	       (e = trace_next(d->pub.trace, args->request, e)) != NULL) {
		events[count].wall_us = e->wall_us;
		events[count++].event = (char *)e->text;
	}
	reply.events.events_val = events;
	reply.events.events_len = count;
	rpc_call_reply(call, &reply);
}

#define CODEC(type) (xdrproc_t) xdr_##type, sizeof(struct type)

static const struct rpc_handler common_handlers[] = {
	{ TM_HELLO, CODEC(tm_hello_args), (xdrproc_t)xdr_tm_hello_reply,
	    handle_hello, NULL },
	{ TM_PULL, CODEC(tm_pull_args), (xdrproc_t)xdr_tm_pull_reply,
	    handle_pull, NULL },
	{ TM_STATUS, xdr_nothing, 0, (xdrproc_t)xdr_tm_status_reply,
	    handle_status, NULL },
	{ TM_DRAIN, CODEC(tm_drain_args), (xdrproc_t)xdr_tm_drain_reply,
	    handle_drain, NULL },
	{ TM_LEAVING, CODEC(tm_leaving), NULL, handle_leaving, NULL },
	{ TM_TRACE, CODEC(tm_trace_args), (xdrproc_t)xdr_tm_trace_reply,
	    handle_trace, NULL },
	{ TM_LIST_UPDATE, CODEC(tm_list_update), NULL, handle_list_update,
	    NULL },
	{ TM_LIST_PULL, xdr_nothing, 0, (xdrproc_t)xdr_tm_list_reply,
	    handle_list_pull, NULL },
};

#define COMMON_HANDLERS (sizeof(common_handlers) / sizeof(common_handlers[0]))

/* ---- callbacks of RPC, signals and timers ---- */

static void
on_fill_versions(void *ctx, struct rpc_versions *out)
{
	struct daemon_impl *d = impl(ctx);

	if (d->pub.store != NULL)
		store_fill_versions(d->pub.store, out);
}

static void
on_seen_versions(
    void *ctx, struct rpc_conn *conn, const struct rpc_versions *seen)
{
	store_on_peer_versions(impl(ctx)->pub.store, conn, seen);
}

static void
on_conn_closed(void *ctx, struct rpc_conn *conn)
{
	struct daemon_impl *d = impl(ctx);

	if (d->pub.store != NULL)
		store_conn_closed(d->pub.store, conn);
	if (d->opts.conn_closed != NULL)
		d->opts.conn_closed(d->opts.ctx, conn);
	if (d->pub.membership != NULL)
		membership_conn_closed(d->pub.membership, conn);
}

static void
reload_tls(struct daemon_impl *d)
{
	struct tls_error err;

	if (d->pub.tls == NULL)
		return;
	if (tls_reload(d->pub.tls, &err) == 0)
		log_info(d->pub.logger, "certificates reloaded");
	else
		log_error(d->pub.logger, "certificates not reloaded",
		    LF_S("error", err.text));
}

static void
reload(struct daemon_impl *d)
{
	reload_tls(d);
	if (settings_file_reload(&d->opts.file, d->pub.logger) == -1)
		return;
	(void)logger_set_levels(d->pub.logger, d->pub.settings->log_level);
	if (d->opts.reloaded != NULL)
		d->opts.reloaded(d->opts.ctx);
}

static void
on_signal(evutil_socket_t sig, short what, void *arg)
{
	struct daemon_impl *d = arg;

	if (sig != SIGHUP) {
		process_ignore_stop(d->signals);
		begin_leaving(d);
		return;
	}
	reload(d);
}

/* The VM list may show this VM as leaving before a drain arrives. */
static void
on_leave_check(evutil_socket_t fd, short what, void *arg)
{
	struct daemon_impl *d = arg;
	struct timeval tv = { 0, LEAVE_CHECK_US };

	evtimer_add(d->leave_check, &tv);
	if (membership_self_leaving(d->pub.membership))
		begin_leaving(d);
}

/* ---- lifecycle ---- */

static int
create_tls(struct daemon_impl *d)
{
	const struct daemon_settings *s = d->pub.settings;
	struct tls_options tls = {
		.certificate = s->tls_certificate,
		.key = s->tls_key,
		.authority = s->tls_authority,
		.logger = d->pub.logger,
	};
	struct tls_error err;

	if (s->tls_certificate[0] == '\0') {
		log_info(d->pub.logger, "TLS is off: no [tls] certificate");
		return 0;
	}
	d->pub.tls = tls_create(&tls, &err);
	if (d->pub.tls != NULL)
		return 0;
	log_error(d->pub.logger, "cannot load the TLS certificates",
	    LF_S("error", err.text));
	return -1;
}

static int
create_rpc(struct daemon_impl *d)
{
	struct rpc_options rpc = {
		.base = d->pub.base,
		.logger = d->pub.logger,
		.metrics = d->pub.metrics,
		.program = TM_PROG,
		.version = TM_V1,
		.handlers = d->handlers,
		.ctx = d,
		.max_record = (size_t)d->pub.settings->max_record,
		.max_output = (size_t)d->pub.settings->max_output,
		.max_accepted = (unsigned)d->pub.settings->max_connections,
		.stall_us = d->pub.settings->stall_ms * USEC_PER_MSEC,
		.tls = d->pub.tls,
		.fill_versions = on_fill_versions,
		.on_versions = on_seen_versions,
		.on_closed = on_conn_closed,
	};
	size_t count = COMMON_HANDLERS;

	memcpy(d->handlers, common_handlers, sizeof(common_handlers));
	for (const struct rpc_handler *h = d->opts.handlers; h->proc != 0;
	     h++) {
		d->handlers[count] = *h;
		d->handlers[count].ctx = d->opts.ctx;
		count++;
	}
	d->pub.rpc = rpc_create(&rpc);
	return d->pub.rpc == NULL ? -1 : 0;
}

static int
create_platform(struct daemon_impl *d)
{
	const struct daemon_settings *s = d->pub.settings;
	struct platform_log_options log = {
		.base = d->pub.base,
		.address = s->log_service,
		.timeout_us = s->log_timeout_ms * USEC_PER_MSEC,
	};
	struct platform_vms_options vms = {
		.base = d->pub.base,
		.address = s->vm_list,
		.timeout_us = s->vm_refresh_ms * USEC_PER_MSEC,
	};

	if (platform_log_create(&d->log, &log) == -1)
		return -1;
	d->pub.log = &d->log;
	return platform_vms_create(&d->vms, &vms);
}

static int
create_store(struct daemon_impl *d)
{
	const struct daemon_settings *s = d->pub.settings;
	struct store_options store = {
		.base = d->pub.base,
		.clock = d->pub.clock,
		.logger = d->pub.logger,
		.metrics = d->pub.metrics,
		.log = &d->log,
		.shards = (uint32_t)s->shards,
		.poll_us = s->log_poll_ms * USEC_PER_MSEC,
		.retry_us = s->log_retry_ms * USEC_PER_MSEC,
		.stale_us = s->stale_ms * USEC_PER_MSEC,
		.keep_records = (size_t)s->keep_records,
		.checkpoints.max_records = (uint64_t)s->checkpoint_records,
		.checkpoints.max_age_us = s->checkpoint_ms * USEC_PER_MSEC,
		.config_changed = d->opts.config_changed,
		.config_restoring = d->opts.config_restoring,
		.model_changed = d->opts.model_changed,
		.lease_changed = d->opts.lease_changed,
		.ctx = d->opts.ctx,
	};

	d->pub.store = store_create(&store);
	return d->pub.store == NULL ? -1 : 0;
}

static int
create_membership(struct daemon_impl *d)
{
	const struct daemon_settings *s = d->pub.settings;
	struct membership_options m = {
		.base = d->pub.base,
		.clock = d->pub.clock,
		.logger = d->pub.logger,
		.metrics = d->pub.metrics,
		.rpc = d->pub.rpc,
		.vms = &d->vms,
		.self = s->vm,
		.zone = s->zone,
		.role = d->opts.role,
		.incarnation = d->pub.incarnation,
		.refresh_us = s->vm_refresh_ms * USEC_PER_MSEC,
		.list_bytes_per_sec = s->vm_bytes_per_sec,
		.reconnect_us = s->reconnect_ms * USEC_PER_MSEC,
		.should_connect = d->opts.should_connect,
		.busy = d->opts.busy,
		.peer_up = d->opts.peer_up,
		.peer_down = d->opts.peer_down,
		.peer_removed = d->opts.peer_removed,
		.ctx = d->opts.ctx,
	};
	struct vm_list_sync_options list_sync = {
		.clock = d->pub.clock,
		.metrics = d->pub.metrics,
		.rpc = d->pub.rpc,
	};

	d->pub.membership = membership_create(&m);
	if (d->pub.membership == NULL)
		return -1;
	list_sync.membership = d->pub.membership;
	d->vm_list_sync = vm_list_sync_create(&list_sync);
	return 0;
}

static void
create_timers(struct daemon_impl *d)
{
	struct peer_ping_options peer_ping = {
		.base = d->pub.base,
		.clock = d->pub.clock,
		.rpc = d->pub.rpc,
		.store = d->pub.store,
		.interval_us = d->pub.settings->stale_ms * USEC_PER_MSEC /
			       PINGS_PER_STALE_TIME,
		.log_silence_us = d->pub.settings->stale_ms * USEC_PER_MSEC / 2,
	};
	struct timeval soon = { 0, LEAVE_CHECK_US };

	d->peer_ping = peer_ping_create(&peer_ping);
	d->leave_check = evtimer_new(d->pub.base, on_leave_check, d);
	if (d->leave_check == NULL)
		abort();
	evtimer_add(d->leave_check, &soon);
}

static void
create_signals(struct daemon_impl *d)
{
	static const int numbers[PROCESS_SIGNALS] = { SIGTERM, SIGINT, SIGHUP };

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < PROCESS_SIGNALS; i++) {
		d->signals[i] =
		    evsignal_new(d->pub.base, numbers[i], on_signal, d);
		if (d->signals[i] != NULL)
			event_add(d->signals[i], NULL);
	}
}

static void
create_logger(struct daemon_impl *d)
{
	struct logger_options logger = {
		.clock = d->pub.clock,
		.process = d->pub.settings->vm,
		.level = LOG_LEVEL_INFO,
		.fd = STDERR_FILENO,
	};

	d->pub.logger = logger_create(&logger);
	(void)logger_set_levels(d->pub.logger, d->pub.settings->log_level);
}

struct daemon *
daemon_create(const struct daemon_options *opts)
{
	struct daemon_impl *d = calloc(1, sizeof(*d));

	if (d == NULL)
		return NULL;
	d->opts = *opts;
	d->pub.settings = opts->settings;
	d->pub.clock = clock_create_real();
	create_logger(d);
	d->pub.metrics = metrics_create();
	d->pub.trace = trace_create(d->pub.clock, TRACE_EVENTS);
	d->pub.base = event_base_new();
	random_id(&d->pub.incarnation, sizeof(d->pub.incarnation));
	d->pub.incarnation |= 1;
	if (create_tls(d) == -1 || create_rpc(d) == -1 ||
	    create_platform(d) == -1 || create_store(d) == -1 ||
	    create_membership(d) == -1) {
		log_error(d->pub.logger, "daemon setup failed");
		daemon_destroy(&d->pub);
		return NULL;
	}
	create_timers(d);
	create_signals(d);
	return &d->pub;
}

void
daemon_close(struct daemon *daemon)
{
	rpc_destroy(daemon->rpc);
	daemon->rpc = NULL;
}

void
daemon_destroy(struct daemon *daemon)
{
	struct daemon_impl *d = impl(daemon);

	if (d == NULL)
		return;
	process_free_signals(d->signals);
	rpc_destroy(d->pub.rpc);
	peer_ping_destroy(d->peer_ping);
	if (d->leave_check != NULL)
		event_free(d->leave_check);
	vm_list_sync_destroy(d->vm_list_sync);
	membership_destroy(d->pub.membership);
	store_destroy(d->pub.store);
	if (d->log.ops != NULL)
		d->log.ops->destroy(d->log.priv);
	if (d->vms.ops != NULL)
		d->vms.ops->destroy(d->vms.priv);
	metrics_destroy(d->pub.metrics);
	trace_destroy(d->pub.trace);
	tls_destroy(d->pub.tls);
	event_base_free(d->pub.base);
	logger_destroy(d->pub.logger);
	clock_destroy(d->pub.clock);
	free(d);
}

int
daemon_run(struct daemon *daemon)
{
	if (rpc_listen(daemon->rpc, daemon->settings->rpc_listen) == -1) {
		log_error(daemon->logger, "cannot listen",
		    LF_S("address", daemon->settings->rpc_listen),
		    LF_S("error", strerror(errno)));
		return -1;
	}
	log_info(daemon->logger, "started",
	    LF_S("rpc", daemon->settings->rpc_listen),
	    LF_S("http", daemon->settings->http_listen));
	event_base_dispatch(daemon->base);
	log_info(daemon->logger, "stopped");
	return 0;
}

void
daemon_stop(struct daemon *daemon)
{
	event_base_loopbreak(daemon->base);
}

void
daemon_leave(struct daemon *daemon)
{
	begin_leaving(impl(daemon));
}

void
daemon_announce_leaving(struct daemon *daemon)
{
	struct tm_leaving args = {
		.vm = daemon->settings->vm,
		.incarnation = daemon->incarnation,
	};
	struct rpc_conn *conn = NULL;

	while ((conn = rpc_next_conn(daemon->rpc, conn)) != NULL)
		(void)rpc_conn_send(
		    conn, TM_LEAVING, (xdrproc_t)xdr_tm_leaving, &args);
}
