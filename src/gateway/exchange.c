#include "gateway/exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/histogram.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/model_rates.h"
#include "coordination/retry_budget.h"
#include "coordination/selection.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/exchange_internal.h"
#include "gateway/sidecar_links.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "state/deployment.h"
#include "transport/http_server.h"

/* Callers' patience with a silent stream: the longest of these. */
#define PATIENCE_MIN_US (2 * USEC_PER_SEC)
#define PATIENCE_GOALS 4 /* times the goal for the first piece */
#define PATIENCE_GAPS 8 /* times the goal for pauses */
#define WAIT_REPLICA_US (2 * USEC_PER_SEC) /* for one to be listed */
#define WANT_REFUSED_US (5 * USEC_PER_SEC) /* until the caller is back */
/* Looking at all replicas costs a small VM much: not more often for each. */
#define REVIEW_US (100 * USEC_PER_MSEC)
#define WANT_AGAIN_US (500 * USEC_PER_MSEC)
/* Callers return after at most a third of the time they have left. */
#define RETRY_AFTER_SHARE 0.33
#define RETRY_AFTER_MIN_US (100 * USEC_PER_MSEC)

/* ---- ends ---- */

static void
exchange_free(struct exchange *x)
{
	struct gateway *g = x->gateway;

	if (x->deployment == NULL)
		g->unrouted--;
	exchange_drop_call(x);
	TAILQ_REMOVE(&g->exchanges, x, link);
	event_free(x->timer);
	event_free(x->silence);
	evhttp_clear_headers(&x->headers);
	deployment_unref(x->deployment);
	free(x);
}

int64_t
exchange_left_us(const struct exchange *x)
{
	return x->deadline_us - clock_now(x->gateway->process.clock);
}

static void
log_end(const struct exchange *x, const char *outcome, int code,
    const char *why, int64_t retry_after_us)
{
	const struct gateway *g = x->gateway;
	int64_t now = clock_now(g->process.clock);

	log_info(g->process.logger, outcome, LF_S("request", x->terms.id),
	    LF_S("route", x->route == NULL ? "" : x->route->name),
	    LF_S("model", x->terms.model), LF_I("code", code), LF_S("why", why),
	    LF_I("attempts", x->attempts), LF_I("unreachable", x->unreachable),
	    LF_I("may_have_run", x->may_have_run),
	    LF_I("took_us", now - x->arrived_us), LF_I("begun", x->begun),
	    LF_I("first_us", x->first_us), LF_I("max_gap_us", x->max_gap_us),
	    LF_I("predicted_us", x->predicted_us),
	    LF_I("left_us", x->deadline_us - now),
	    LF_I("retry_after_us", retry_after_us),
	    LF_I(
		"version", x->deployment == NULL ? 0 : x->deployment->version));
}

static void
leave_kept_connection(struct exchange *x)
{
	/* A stopping gateway takes no more requests on the connection. */
	if (x->gateway->stop_us != 0)
		caller_add_header(x->caller, "Connection", "close");
}

static void
reply_problem_code(struct exchange *x, enum result code, const char *why)
{
	struct problem p = {
		.code = code,
		.outcome = result_info(code)->outcome,
		.detail = why,
		.request = x->terms.id,
	};

	leave_kept_connection(x);
	caller_problem(x->caller, &p);
}

/* Returns the time that the caller is told. */
static int64_t
tell_retry_after(struct exchange *x, int64_t retry_after_us)
{
	int64_t most =
	    (int64_t)((double)exchange_left_us(x) * RETRY_AFTER_SHARE);
	char seconds[32];

	if (retry_after_us < RETRY_AFTER_MIN_US)
		retry_after_us = RETRY_AFTER_MIN_US;
	/* Spreads the callers that were refused at the same time. */
	retry_after_us +=
	    (int64_t)((double)retry_after_us * rng_real(&x->gateway->rng) / 2);
	if (retry_after_us > most)
		retry_after_us = most > 0 ? most : 0;
	snprintf(seconds, sizeof(seconds), "%.3f",
	    (double)retry_after_us / USEC_PER_SEC);
	caller_add_header(x->caller, "Retry-After", seconds);
	return retry_after_us;
}

void
exchange_refuse(struct exchange *x, enum result code, const char *why,
    int64_t retry_after_us)
{
	int status = result_info(code)->http_status;

	if (x->may_have_run || x->begun) {
		exchange_fail(x, RESULT_OUTCOME_UNKNOWN, why);
		return;
	}
	/* Other refusals stand until the caller or the deployment changes. */
	if (status == 503 || status == 429)
		retry_after_us = tell_retry_after(x, retry_after_us);
	(*x->gateway->counters.refused)++;
	log_end(x, "request refused", status, why, retry_after_us);
	reply_problem_code(x, code, why);
	exchange_free(x);
}

void
exchange_fail(struct exchange *x, enum result code, const char *why)
{
	(*x->gateway->counters.failed)++;
	log_end(x, "request failed", result_info(code)->http_status, why, 0);
	if (x->begun)
		caller_abort(x->caller);
	else
		reply_problem_code(x, code, why);
	exchange_free(x);
}

/* Time to the first piece and to the end, by route. */
static void
record_times(const struct exchange *x)
{
	struct metrics *m = x->gateway->process.metrics;
	int64_t now = clock_now(x->gateway->process.clock);
	char labels[METRICS_LABEL_MAX * 2] = "";

	metrics_label(labels, sizeof(labels), "route", x->route->name);
	histogram_record(metrics_histogram(m, "gateway_answer_seconds", labels),
	    (uint64_t)(now - x->arrived_us));
	if (x->first_us > 0)
		histogram_record(
		    metrics_histogram(m, "gateway_first_piece_seconds", labels),
		    (uint64_t)x->first_us);
}

/* The caller has the answer's last byte, or it is on its way. */
void
exchange_finish(struct exchange *x, const char *outcome)
{
	(*x->gateway->counters.answered)++;
	record_times(x);
	log_end(x, "request answered", x->code, outcome, 0);
	exchange_free(x);
}

void
exchange_on_gone(void *ctx)
{
	struct exchange *x = ctx;

	(*x->gateway->counters.left)++;
	log_end(x, "caller left", x->code,
	    x->backend == NULL ? "waiting" : "sent", 0);
	exchange_drop_call(x);
	caller_abort(x->caller);
	exchange_free(x);
}

/* Answers without a replica's answer. */
static void
give_up(struct exchange *x, enum result refused, const char *why)
{
	if (x->call != NULL) {
		x->may_have_run = true;
		exchange_note_silence(x);
	}
	exchange_drop_call(x);
	if (x->may_have_run || x->begun)
		exchange_fail(x, RESULT_DEADLINE_PASSED, why);
	else
		exchange_refuse(x, refused, why, 0);
}

void
exchange_on_deadline(struct exchange *x)
{
	give_up(x, RESULT_DEADLINE_UNREACHABLE, "deadline passed");
}

/* ---- choosing ---- */

struct choice {
	struct backend *backend; /* NULL: none */
	struct select_choice made;
	uint32_t new_tokens; /* of the prompt, to read there */
};

static struct choice
choose(struct exchange *x, const struct service_spec *service)
{
	struct gateway *g = x->gateway;
	struct candidates *c =
	    candidates_list(g, service, &x->terms, x->tried, x->tried_count);
	struct choice choice = { .made = select_replica(
				     &c->query, c->replicas, c->count) };
	uint32_t prompt = x->terms.prompt_tokens;

	if (service->has_engine)
		candidates_spread(g, c, &x->terms, x->route->rank);
	if (choice.made.index == -1)
		return choice;
	choice.backend = c->backends[choice.made.index];
	choice.new_tokens = c->replicas[choice.made.index].cached_tokens;
	choice.new_tokens =
	    prompt > choice.new_tokens ? prompt - choice.new_tokens : 0;
	return choice;
}

static void
want_load(struct exchange *x, struct backend *b)
{
	int64_t now = clock_now(x->gateway->process.clock);

	x->waiting = true;
	if (x->wanted_us != 0 && now - x->wanted_us < WANT_AGAIN_US)
		return;
	if (x->wanted_us == 0)
		log_info(x->gateway->process.logger, "request waits for a load",
		    LF_S("request", x->terms.id), LF_S("model", x->terms.model),
		    LF_S("adapter", x->terms.adapter),
		    LF_S("replica", b->entry.id),
		    LF_I("left_us", exchange_left_us(x)));
	x->wanted_us = now;
	sidecar_links_want(x->gateway->links, b, &x->terms, x->route->rank,
	    exchange_left_us(x));
}

/*
 * Time until the caller stops waiting for the first piece: callers abandon a
 * stream, also before it begins, after a pause of several times its goals.
 */
static int64_t
patience_left_us(const struct exchange *x)
{
	const struct route *r = x->route;
	int64_t waited = clock_now(x->gateway->process.clock) - x->arrived_us;
	int64_t left = exchange_left_us(x), patience = PATIENCE_MIN_US;

	if (r->kind != ROUTE_STREAM || x->begun)
		return left;
	if (patience < PATIENCE_GOALS * r->goal_us)
		patience = PATIENCE_GOALS * r->goal_us;
	if (patience < PATIENCE_GAPS * r->gap_goal_us)
		patience = PATIENCE_GAPS * r->gap_goal_us;
	return left < patience - waited ? left : patience - waited;
}

/*
 * Replicas that started again are listed within two heartbeats; most callers
 * come back only once.
 */
static bool
may_wait_for_replica(const struct exchange *x)
{
	int64_t now = clock_now(x->gateway->process.clock);

	return x->tried_count == 0 && now - x->routed_us < WAIT_REPLICA_US &&
	       exchange_left_us(x) > WAIT_REPLICA_US;
}

void
exchange_dispatch(struct exchange *x)
{
	const struct service_spec *service =
	    deployment_service(x->deployment, x->service);
	struct choice choice;

	if (service == NULL) {
		exchange_refuse(x, RESULT_NOT_READY, "unknown service", 0);
		return;
	}
	x->reviewed_us = clock_now(x->gateway->process.clock);
	choice = choose(x, service);
	if (choice.backend == NULL && may_wait_for_replica(x)) {
		x->waiting = true;
		return;
	}
	if (choice.backend == NULL) {
		exchange_refuse(x, RESULT_BACKEND_UNREACHABLE,
		    "no replica can run it", 500 * USEC_PER_MSEC);
		return;
	}
	x->predicted_us = choice.made.first_us;
	if (choice.made.first_us > patience_left_us(x)) {
		/* Callers come back, and others ask for it too. */
		if (choice.made.load_us > 0)
			sidecar_links_want(x->gateway->links, choice.backend,
			    &x->terms, x->route->rank, WANT_REFUSED_US);
		exchange_refuse(x, RESULT_DEADLINE_UNREACHABLE,
		    "predicted first piece is too late", choice.made.first_us);
		return;
	}
	if (choice.made.load_us > 0) {
		want_load(x, choice.backend);
		return;
	}
	x->waiting = false;
	exchange_send(
	    x, choice.backend, choice.made.first_us, choice.new_tokens);
}

void
exchanges_review(struct gateway *g)
{
	int64_t now = clock_now(g->process.clock);
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		if (x->waiting && now - x->reviewed_us >= REVIEW_US)
			exchange_dispatch(x);
	}
}

void
exchanges_on_holds(struct gateway *g, const struct backend *b)
{
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		if (x->waiting && backend_holds(b, x->terms.model))
			exchange_dispatch(x);
	}
}

void
exchanges_end(struct gateway *g)
{
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		if (!x->begun)
			give_up(x, RESULT_LEAVING, "process ends");
	}
}

void
exchanges_abort(struct gateway *g)
{
	struct exchange *x, *next;

	TAILQ_FOREACH_SAFE(x, &g->exchanges, link, next) {
		log_end(x, "request broken off", x->code, "process ends", 0);
		caller_abort(x->caller);
		exchange_free(x);
	}
}
