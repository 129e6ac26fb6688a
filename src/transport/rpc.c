#include "transport/rpc.h"

#include <errno.h>
#include <stdlib.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "transport/rpc_internal.h"
#include "transport/socket.h"

#define ACCEPT_PAUSE_US 100000 /* after an accept that failed */

int
rpc_accept_socket(struct rpc *rpc, evutil_socket_t fd)
{
	struct timeval tv = clock_timeval(rpc->opts.stall_us);
	struct rpc_conn *conn;

	if (rpc->opts.max_accepted != 0 &&
	    rpc->accepted >= rpc->opts.max_accepted) {
		(*rpc->over_limit)++;
		log_warn(rpc->opts.logger, "refusing a peer's connection",
		    LF_S("reason", "too many connections"));
		evutil_closesocket(fd);
		return -1;
	}
	conn = rpc_conn_create(rpc, fd, false);
	if (conn == NULL) {
		evutil_closesocket(fd);
		return -1;
	}
	conn->open = true;
	conn->incoming = true;
	rpc->accepted++;
	socket_set_peer_timeout(fd, rpc->opts.peer_timeout_us);
	/* The peer connected, so it must send the first record. */
	if (rpc->opts.stall_us > 0)
		event_add(conn->stall_timer, &tv);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	return 0;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *sa, int len, void *arg)
{
	(void)rpc_accept_socket(arg, fd);
}

/* Without free descriptors, the next accept would fail again at once. */
static void
on_accept_error(struct evconnlistener *listener, void *arg)
{
	struct rpc *rpc = arg;
	struct timeval tv = clock_timeval(ACCEPT_PAUSE_US);

	evconnlistener_disable(listener);
	evtimer_add(rpc->resume_timer, &tv);
}

static void
on_resume(evutil_socket_t fd, short what, void *arg)
{
	struct rpc *rpc = arg;

	if (rpc->listener != NULL)
		evconnlistener_enable(rpc->listener);
}

bool_t
rpc_xdr_void(XDR *xdrs, ...)
{
	return TRUE;
}

struct rpc *
rpc_create(const struct rpc_options *opts)
{
	struct rpc *rpc = calloc(1, sizeof(*rpc));

	if (rpc == NULL)
		return NULL;
	rpc->opts = *opts;
	TAILQ_INIT(&rpc->conns);
	rpc->resume_timer = evtimer_new(opts->base, on_resume, rpc);
	if (rpc->resume_timer == NULL) {
		free(rpc);
		return NULL;
	}
	rpc->malformed =
	    metrics_counter(opts->metrics, "rpc_malformed_records_total", "");
	rpc->rejected =
	    metrics_counter(opts->metrics, "rpc_rejected_calls_total", "");
	rpc->stalled =
	    metrics_counter(opts->metrics, "rpc_stalled_connections_total", "");
	rpc->output_full =
	    metrics_counter(opts->metrics, "rpc_unread_connections_total", "");
	rpc->over_limit =
	    metrics_counter(opts->metrics, "rpc_refused_connections_total", "");
	rpc->over_memory = metrics_counter(
	    opts->metrics, "rpc_over_memory_connections_total", "");
	rpc->records_in =
	    metrics_counter(opts->metrics, "rpc_records_received_total", "");
	rpc->records_out =
	    metrics_counter(opts->metrics, "rpc_records_sent_total", "");
	rpc->bytes_in =
	    metrics_counter(opts->metrics, "rpc_received_bytes_total", "");
	rpc->bytes_out =
	    metrics_counter(opts->metrics, "rpc_sent_bytes_total", "");
	return rpc;
}

int
rpc_listen(struct rpc *rpc, const char *address)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len) ==
	    -1) {
		errno = EINVAL;
		return -1;
	}
	rpc->listener = evconnlistener_new_bind(rpc->opts.base, on_accept, rpc,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    -1, (struct sockaddr *)&ss, len);
	if (rpc->listener == NULL)
		return -1;
	evconnlistener_set_error_cb(rpc->listener, on_accept_error);
	return 0;
}

void
rpc_stop_listening(struct rpc *rpc)
{
	if (rpc->listener != NULL)
		evconnlistener_free(rpc->listener);
	rpc->listener = NULL;
}

void
rpc_destroy(struct rpc *rpc)
{
	struct rpc_conn *conn, *next;
	struct pending_call *p, *p_next;

	if (rpc == NULL)
		return;
	rpc_stop_listening(rpc);
	TAILQ_FOREACH_SAFE(conn, &rpc->conns, link, next)
		rpc_conn_free(conn);
	HASH_ITER(hh, rpc->unsent, p, p_next)
		rpc_pending_end(p, RPC_NOT_SENT, NULL);
	event_free(rpc->resume_timer);
	free(rpc);
}
