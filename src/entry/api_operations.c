/* Operator commands besides declarations: top, drain and trace. */
#include "entry/api.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/http.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/trace.h"
#include "coordination/membership.h"
#include "entry/api_common.h"
#include "entry/entry.h"
#include "entry/usage.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "protocol/tm_xdr.h"
#include "transport/http_server.h"
#include "transport/rpc.h"

#define REPLY_TIMEOUT_US (2 * USEC_PER_SEC) /* of one daemon */
#define NAME_MAX_LEN 128 /* with the final 0 */

void
api_top(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;
	json_t *doc = usage_json(e->usage);

	json_object_set_new(doc, "vm", json_string(e->settings.daemon.vm));
	http_reply_json(req, 200, doc);
}

/* Copies the last part of the path; -1 after refusing the request. */
static int
read_name(struct evhttp_request *req, char *name)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const char *last = strrchr(path, '/') + 1;

	if (last[0] != '\0' && strlcpy(name, last, NAME_MAX_LEN) < NAME_MAX_LEN)
		return 0;
	api_refuse(req, RESULT_BAD_REQUEST, "the path must end in a name");
	return -1;
}

/* ---- drain ---- */

struct drain {
	struct caller *caller; /* NULL: disconnected */
	char vm[NAME_MAX_LEN];
};

static void
on_drain_disconnected(void *ctx)
{
	struct drain *d = ctx;

	caller_abort(d->caller);
	d->caller = NULL;
}

static void
on_drain_reply(void *ctx, enum rpc_status status, void *arg)
{
	struct drain *d = ctx;
	const struct tm_drain_reply *reply = arg;
	struct problem p = {
		.code = status == RPC_OK ? reply->code : RESULT_TIMEOUT,
		.outcome = OUTCOME_UNKNOWN,
		.detail = d->vm,
	};

	if (status == RPC_NOT_SENT)
		p.code = RESULT_BACKEND_UNREACHABLE;
	p.outcome = result_info(p.code)->outcome;
	if (d->caller != NULL && p.code == RESULT_OK)
		caller_reply_json(d->caller, 200,
		    json_pack("{s:s,s:b}", "vm", d->vm, "leaving", 1));
	else if (d->caller != NULL)
		caller_reply_problem(d->caller, &p);
	free(d);
}

void
api_drain(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;
	char vm[NAME_MAX_LEN];
	struct tm_drain_args args = { .vm = vm };
	struct peer *peer;
	struct drain *d;

	if (read_name(req, vm) == -1)
		return;
	if (strcmp(vm, e->settings.daemon.vm) == 0) {
		http_reply_json(
		    req, 200, json_pack("{s:s,s:b}", "vm", vm, "leaving", 1));
		daemon_leave(e->daemon);
		return;
	}
	peer = membership_find(e->daemon->membership, vm);
	if (peer == NULL || peer->conn == NULL) {
		api_refuse(req,
		    peer == NULL ? RESULT_NOT_FOUND
				 : RESULT_BACKEND_UNREACHABLE,
		    vm);
		return;
	}
	d = calloc(1, sizeof(*d));
	if (d == NULL)
		abort();
	log_info(e->daemon->logger, "requesting a VM to leave", LF_S("vm", vm));
	strlcpy(d->vm, vm, sizeof(d->vm));
	d->caller = caller_create(e->http, req,
	    (size_t)e->settings.caller_backlog, on_drain_disconnected, d);
	rpc_conn_call(peer->conn, TM_DRAIN, (xdrproc_t)xdr_tm_drain_args, &args,
	    (xdrproc_t)xdr_tm_drain_reply, sizeof(struct tm_drain_reply),
	    REPLY_TIMEOUT_US, on_drain_reply, d);
}

/* ---- trace ---- */

struct trace_query {
	struct caller *caller; /* NULL: disconnected */
	json_t *events;
	int pending; /* calls, and 1 until all are made */
	int unanswered; /* calls that failed */
};

static void
on_trace_disconnected(void *ctx)
{
	struct trace_query *q = ctx;

	caller_abort(q->caller);
	q->caller = NULL;
}

static void
add_event(json_t *events, const char *vm, int64_t wall_us, const char *text)
{
	json_array_append_new(
	    events, json_pack("{s:I,s:s,s:s}", "wall_us", (json_int_t)wall_us,
			"vm", vm, "event", text));
}

static int
compare_events(const void *a, const void *b)
{
	json_int_t x =
	    json_integer_value(json_object_get(*(json_t *const *)a, "wall_us"));
	json_int_t y =
	    json_integer_value(json_object_get(*(json_t *const *)b, "wall_us"));

	return x < y ? -1 : x > y;
}

static json_t *
sort_events(json_t *events)
{
	size_t count = json_array_size(events);
	json_t **list = calloc(count + 1, sizeof(*list));
	json_t *sorted = json_array();

	if (list == NULL)
		abort();
	for (size_t i = 0; i < count; i++)
		list[i] = json_array_get(events, i);
	qsort(list, count, sizeof(*list), compare_events);
	for (size_t i = 0; i < count; i++)
		json_array_append(sorted, list[i]);
	free(list);
	return sorted;
}

static void
finish_trace(struct trace_query *q)
{
	if (q->caller != NULL)
		caller_reply_json(q->caller, 200,
		    json_pack("{s:o,s:i}", "events", sort_events(q->events),
			"silent", q->unanswered));
	json_decref(q->events);
	free(q);
}

static void
on_trace_reply(void *ctx, enum rpc_status status, void *arg)
{
	struct trace_query *q = ctx;
	const struct tm_trace_reply *reply = arg;

	q->unanswered += status != RPC_OK;
	for (u_int i = 0; status == RPC_OK && i < reply->events.events_len; i++)
		add_event(q->events, reply->vm,
		    reply->events.events_val[i].wall_us,
		    reply->events.events_val[i].event);
	if (--q->pending == 0)
		finish_trace(q);
}

static void
query_peers(struct entry *e, struct trace_query *q, char *id)
{
	struct tm_trace_args args = { .request = id };
	struct peer *peer = NULL;

	while ((peer = membership_next(e->daemon->membership, peer)) != NULL) {
		if (peer->conn == NULL)
			continue;
		q->pending++;
		rpc_conn_call(peer->conn, TM_TRACE,
		    (xdrproc_t)xdr_tm_trace_args, &args,
		    (xdrproc_t)xdr_tm_trace_reply,
		    sizeof(struct tm_trace_reply), REPLY_TIMEOUT_US,
		    on_trace_reply, q);
	}
}

void
api_trace(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;
	const struct trace_event *event = NULL;
	struct trace_query *q;
	char name[NAME_MAX_LEN], *id = name;

	if (read_name(req, name) == -1)
		return;
	if (strncmp(id, "cmpl-", 5) == 0)
		id += 5; /* the id of a completion */
	q = calloc(1, sizeof(*q));
	if (q == NULL)
		abort();
	q->events = json_array();
	q->pending = 1;
	q->caller = caller_create(e->http, req,
	    (size_t)e->settings.caller_backlog, on_trace_disconnected, q);
	while ((event = trace_next(e->daemon->trace, id, event)) != NULL)
		add_event(q->events, e->settings.daemon.vm, event->wall_us,
		    event->text);
	query_peers(e, q, id);
	if (--q->pending == 0)
		finish_trace(q);
}
