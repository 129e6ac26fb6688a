/*
 * Recovery of requests whose agent is unreachable or silent: resuming the
 * answer, settling whether the request ran, and cancelling it.
 */
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/histogram.h"
#include "coordination/membership.h"
#include "entry/entry.h"
#include "entry/peer_stats.h"
#include "entry/request_internal.h"
#include "entry/service_index.h"
#include "transport/rpc.h"

#define PENDING_CANCELS_MAX 4096 /* beyond, the oldest is dropped */
#define PENDING_CANCEL_TTL_US (60 * USEC_PER_SEC)

static int64_t
dispatch_timeout_us(const struct request *r)
{
	return r->table->entry->settings.dispatch_timeout_ms * USEC_PER_MSEC;
}

/* The request's agent if a call can be sent to it now, or NULL. */
static struct peer *
reachable_peer(const struct request *r)
{
	struct peer *peer = request_peer(r);

	if (peer == NULL || peer->conn == NULL || peer->incarnation == 0)
		return NULL;
	return peer;
}

void
request_agent_lost(struct request *r)
{
	if (r->state == REQUEST_AGENT_LOST)
		return;
	r->state = REQUEST_AGENT_LOST;
	request_arm_timer(r->step_timer,
	    r->table->entry->settings.resume_window_ms * USEC_PER_MSEC);
}

void
request_abandon(struct request *r)
{
	if (r->next_chunk > 0) {
		request_send_cancel(r);
		request_fail(r, RESULT_STREAM_BROKEN, OUTCOME_UNKNOWN);
	} else if (r->args.repeatable && !r->withdrawn) {
		r->may_have_run = true;
		request_send_cancel(r);
		request_attempt_refused(r, RESULT_BACKEND_UNREACHABLE);
	} else {
		request_fail(r, RESULT_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
	}
}

/* ---- resume ---- */

static void
on_resume_reply(void *ctx, enum rpc_status status, void *arg)
{
	struct request *r = request_call_end(ctx);
	const struct tm_dispatch_reply *reply = arg;

	if (r == NULL)
		return;
	if (status != RPC_OK) {
		/* Settled on reconnect, or abandoned after the window. */
		request_agent_lost(r);
		if (status == RPC_TIMED_OUT)
			request_settle(r);
		return;
	}
	request_message_received(r);
	if (reply->code != RESULT_OK) {
		r->resume_refused = true;
		request_settle(r);
		return;
	}
	r->resume_refused = false;
	r->state = REQUEST_ACCEPTED;
	request_arm_timer(r->step_timer,
	    r->table->entry->settings.silence_ms * USEC_PER_MSEC);
}

void
request_resume(struct request *r)
{
	struct peer *peer = reachable_peer(r);
	struct tm_resume_args args = {
		.incarnation = r->incarnation,
		.from = r->next_chunk,
	};

	if (peer == NULL)
		return;
	memcpy(args.request, r->id, TM_ID_SIZE);
	(*r->table->resumes)++;
	rpc_conn_call(peer->conn, TM_RESUME, (xdrproc_t)xdr_tm_resume_args,
	    &args, (xdrproc_t)xdr_tm_dispatch_reply,
	    sizeof(struct tm_dispatch_reply), dispatch_timeout_us(r),
	    on_resume_reply, request_call_begin(r));
}

/* ---- settle ---- */

static void
handle_settlement(struct request *r, const struct tm_settle_reply *reply)
{
	(*r->table->settlements)++;
	request_message_received(r);
	switch (reply->state) {
	case TM_SETTLE_BARRED:
		request_attempt_refused(r, RESULT_BACKEND_UNREACHABLE);
		return;
	case TM_SETTLE_NOT_RUN:
		request_attempt_refused(r, (enum result)reply->code);
		return;
	case TM_SETTLE_RUNNING:
	case TM_SETTLE_DONE:
		if (r->resume_refused)
			request_abandon(r);
		else
			request_resume(r);
		return;
	case TM_SETTLE_UNKNOWN:
		request_abandon(r);
		return;
	}
	request_abandon(r);
}

static void
on_settle_reply(void *ctx, enum rpc_status status, void *reply)
{
	struct request_call *call = ctx;
	int64_t sent_us = call->sent_us;
	struct request *r = request_call_end(call);

	if (r == NULL)
		return;
	/*
	 * args.age_us allows for this delay only; after it the agent may have
	 * dropped the job's record, and then its answer is wrong.
	 */
	if (status == RPC_OK &&
	    request_now(r) - sent_us > dispatch_timeout_us(r))
		status = RPC_TIMED_OUT;
	if (status == RPC_OK) {
		handle_settlement(r, reply);
		return;
	}
	request_agent_lost(r);
	if (status == RPC_TIMED_OUT && !r->withdrawn)
		request_settle(r);
}

void
request_settle(struct request *r)
{
	struct peer *peer = reachable_peer(r);
	struct tm_settle_args args = {
		.incarnation = r->incarnation,
		.withdraw = r->withdrawn,
	};

	if (peer == NULL)
		return;
	if (peer->incarnation != r->incarnation) {
		request_abandon(r);
		return;
	}
	memcpy(args.request, r->id, TM_ID_SIZE);
	/* Highest age of the dispatch when the agent handles this. */
	args.age_us =
	    (u_quad_t)(request_now(r) - r->sent_us + dispatch_timeout_us(r));
	rpc_conn_call(peer->conn, TM_SETTLE, (xdrproc_t)xdr_tm_settle_args,
	    &args, (xdrproc_t)xdr_tm_settle_reply,
	    sizeof(struct tm_settle_reply), dispatch_timeout_us(r),
	    on_settle_reply, request_call_begin(r));
}

/* ---- cancel ---- */

static int
send_cancel(struct rpc_conn *conn, const char id[TM_ID_SIZE])
{
	struct tm_cancel cancel;

	memcpy(cancel.request, id, TM_ID_SIZE);
	return rpc_conn_send(
	    conn, TM_CANCEL, (xdrproc_t)xdr_tm_cancel, &cancel);
}

static void
drop_cancel(struct request_table *t, struct pending_cancel *c)
{
	TAILQ_REMOVE(&t->pending_cancels, c, link);
	t->pending_cancel_count--;
	free(c);
}

/*
 * Keeps a cancel until its agent reconnects.  Losing one only wastes work of
 * the backend server, so the queue may be bounded.
 */
static void
queue_cancel(struct request *r)
{
	struct request_table *t = r->table;
	struct pending_cancel *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	strlcpy(c->vm, r->vm, sizeof(c->vm));
	c->incarnation = r->incarnation;
	memcpy(c->id, r->id, TM_ID_SIZE);
	c->expires_us = request_now(r) + PENDING_CANCEL_TTL_US;
	TAILQ_INSERT_TAIL(&t->pending_cancels, c, link);
	if (++t->pending_cancel_count > PENDING_CANCELS_MAX)
		drop_cancel(t, TAILQ_FIRST(&t->pending_cancels));
}

void
request_send_cancel(struct request *r)
{
	struct peer *peer = reachable_peer(r);

	if (peer != NULL && peer->incarnation != r->incarnation)
		return; /* the agent restarted and lost the request */
	if (peer == NULL || send_cancel(peer->conn, r->id) == -1)
		queue_cancel(r);
}

static void
send_pending_cancels(struct request_table *t, const struct peer *peer)
{
	int64_t now = clock_now(t->entry->daemon->clock);
	struct pending_cancel *c, *next;

	TAILQ_FOREACH_SAFE(c, &t->pending_cancels, link, next) {
		bool same_vm = strcmp(c->vm, peer->vm.id) == 0;

		if (same_vm && c->incarnation == peer->incarnation)
			(void)send_cancel(peer->conn, c->id);
		if (same_vm || c->expires_us < now)
			drop_cancel(t, c);
	}
}

void
request_pending_cancels_free(struct request_table *t)
{
	struct pending_cancel *c;

	while ((c = TAILQ_FIRST(&t->pending_cancels)) != NULL)
		drop_cancel(t, c);
}

/* ---- connections ---- */

void
requests_peer_down(struct request_table *t, struct peer *peer)
{
	struct request *r, *next;

	HASH_ITER(hh, t->requests, r, next) {
		/* A pending dispatch ends through on_dispatch_reply(). */
		if (r->state == REQUEST_ACCEPTED &&
		    strcmp(r->vm, peer->vm.id) == 0)
			request_agent_lost(r);
	}
}

void
requests_peer_up(struct request_table *t, struct peer *peer)
{
	struct request *r, *next;

	send_pending_cancels(t, peer);
	/* Settling may remove or rehash only the current request. */
	HASH_ITER(hh, t->requests, r, next) {
		if (r->state == REQUEST_AGENT_LOST &&
		    strcmp(r->vm, peer->vm.id) == 0)
			request_settle(r);
	}
}

void
requests_peer_removed(struct request_table *t, struct peer *peer)
{
	service_index_clear(t->services);
	peer_stats_free(peer);
}
