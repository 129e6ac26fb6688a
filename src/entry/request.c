#include "entry/request_internal.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "common/trace.h"
#include "coordination/demand.h"
#include "coordination/membership.h"
#include "coordination/prefix_map.h"
#include "coordination/retry_budget.h"
#include "coordination/tenant_requests.h"
#include "entry/crash_bar.h"
#include "entry/entry.h"
#include "entry/peer_stats.h"
#include "entry/service_index.h"

/* How long after the deadline the agent may still report the outcome. */
#define DEADLINE_GRACE_US (50 * USEC_PER_MSEC)
#define BUDGET_TARGETS_MAX 4096 /* models and services with a retry budget */
/* Factor of the longer limit in check_silence(). */
#define SILENCE_LIMIT_FACTOR 10
/*
 * A request that was lost with so many backend servers is not sent again: what
 * ends them may be sent again beside it.
 */
#define BACKEND_ENDS_MAX 2
#define PATH_LENGTH_MAX 4096 /* bytes; tm_dispatch_args.path */
#define PREFIXES_MAX 16384 /* entries of 16 bytes */

struct request_table *
request_table_create(struct entry *entry, struct demand *demand)
{
	struct request_table *t = calloc(1, sizeof(*t));
	struct metrics *m = entry->daemon->metrics;
	struct retry_budget_options budget = {
		.share = (double)entry->settings.retry_percent / 100,
		.burst = (double)entry->settings.retry_burst,
		.start = (double)entry->settings.retry_burst,
		.max_targets = BUDGET_TARGETS_MAX,
	};

	if (t == NULL)
		return NULL;
	t->entry = entry;
	t->demand = demand;
	t->crash_bar = crash_bar_create(entry->daemon);
	t->budget = retry_budget_create(&budget);
	t->prefixes = prefix_map_create(PREFIXES_MAX);
	t->quota_asker = quota_asker_create(clock_now(entry->daemon->clock));
	t->tenants = tenant_requests_create();
	t->services = service_index_create(entry->daemon->membership);
	if (t->crash_bar == NULL || t->budget == NULL || t->prefixes == NULL ||
	    t->tenants == NULL)
		abort();
	rng_seed_system(&t->rng);
	TAILQ_INIT(&t->pending_cancels);
	t->retries = metrics_counter(m, "request_retries_total", "");
	t->resumes = metrics_counter(m, "request_resumes_total", "");
	t->settlements = metrics_counter(m, "request_settlements_total", "");
	t->retry_budget_spent =
	    metrics_counter(m, "request_retry_budget_spent_total", "");
	t->prediction_error =
	    metrics_histogram(m, "route_prediction_error_seconds", "");
	return t;
}

int64_t
request_now(const struct request *r)
{
	return clock_now(r->table->entry->daemon->clock);
}

void
request_arm_timer(struct event *timer, int64_t us)
{
	struct timeval tv;

	if (us < 0)
		us = 0;
	tv.tv_sec = us / USEC_PER_SEC;
	tv.tv_usec = us % USEC_PER_SEC;
	evtimer_add(timer, &tv);
}

struct peer *
request_peer(const struct request *r)
{
	if (r->vm[0] == '\0')
		return NULL;
	return membership_find(r->table->entry->daemon->membership, r->vm);
}

void
request_message_received(struct request *r)
{
	struct peer *peer = request_peer(r);

	r->last_message_us = request_now(r);
	if (peer != NULL)
		peer_stats(peer)->last_message_us = r->last_message_us;
}

/* ---- pending calls ---- */

uint64_t
request_job(struct request *r)
{
	if (r->job == 0)
		r->job = crash_bar_job(r->table->crash_bar, &r->args);
	return r->job;
}

struct request_call *
request_call_begin(struct request *r)
{
	struct request_call *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	call->request = r;
	call->sent_us = request_now(r);
	LIST_INSERT_HEAD(&r->calls, call, link);
	return call;
}

struct request *
request_call_end(struct request_call *call)
{
	struct request *r = call->request;

	if (r != NULL)
		LIST_REMOVE(call, link);
	free(call);
	return r;
}

static void
detach_calls(struct request *r)
{
	struct request_call *call;

	while ((call = LIST_FIRST(&r->calls)) != NULL) {
		LIST_REMOVE(call, link);
		call->request = NULL;
	}
}

/*
 * Prepares the request for another attempt.  Its pending calls are detached and
 * it takes a new id, so that late messages about the old attempt are ignored;
 * the agent may also have barred the old id.
 */
static void
reset_attempt(struct request *r)
{
	detach_calls(r);
	request_clear_unreported(r);
	evtimer_del(r->step_timer);
	HASH_DEL(r->table->requests, r);
	r->id[TM_ID_SIZE - 1]++;
	HASH_ADD(hh, r->table->requests, id, TM_ID_SIZE, r);
	r->state = REQUEST_ROUTING;
	r->resume_refused = false;
	r->vm[0] = '\0';
}

/* ---- ending a request ---- */

static void
request_free(struct request *r)
{
	detach_calls(r);
	request_clear_unreported(r);
	tenant_requests_remove(r->table->tenants, r->args.tenant);
	HASH_DEL(r->table->requests, r);
	event_free(r->deadline_timer);
	event_free(r->step_timer);
	xdr_free((xdrproc_t)xdr_tm_dispatch_args, (char *)&r->args);
	free(r);
}

static void
end_request(struct request *r, const struct request_result *result)
{
	void (*done)(void *, const struct request_result *) = r->on_end;
	void *ctx = r->ctx;

	log_debug(r->table->entry->daemon->logger, "request ended",
	    LF_S("request", r->hex), LF_I("code", result->code),
	    LF_S("outcome", outcome_name(result->outcome)));
	trace_record(r->table->entry->daemon->trace, r->hex, "ended: %s, %s",
	    result_info(result->code)->name, outcome_name(result->outcome));
	if (result->outcome == OUTCOME_NOT_RUN)
		request_return_quota(r);
	done(ctx, result);
	request_free(r);
}

void
request_fail(struct request *r, enum result code, enum outcome outcome)
{
	struct request_result result = { .code = code, .outcome = outcome };

	end_request(r, &result);
}

void
request_refuse(struct request *r, enum result code)
{
	struct request_result result = { .code = code,
		.outcome = OUTCOME_NOT_RUN };

	if (r->may_have_run) {
		request_fail(r, RESULT_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN);
		return;
	}
	if (!r->service)
		demand_refused(r->table->demand, r->args.target);
	result.retry_after_ms =
	    retry_after_jitter(&r->table->rng, r->retry_after_ms);
	end_request(r, &result);
}

void
request_attempt_refused(struct request *r, enum result code)
{
	bool answer_begun = r->next_chunk > 0;

	reset_attempt(r);
	r->last_refusal = code;
	if (answer_begun)
		request_fail(r, RESULT_STREAM_BROKEN, OUTCOME_UNKNOWN);
	else if (r->withdrawn)
		request_refuse(r, RESULT_EXPIRED);
	else
		request_route(r);
}

/*
 * Runs at the deadline: asks the agent to withdraw the request and to report
 * whether it ran.  Runs again DEADLINE_GRACE_US later: without a report by
 * then, the outcome is unknown.
 */
static void
on_deadline(evutil_socket_t fd, short what, void *arg)
{
	struct request *r = arg;

	if (r->state == REQUEST_NEW || r->state == REQUEST_ROUTING) {
		request_refuse(
		    r, r->last_refusal ? r->last_refusal : RESULT_EXPIRED);
		return;
	}
	if (!r->withdrawn) {
		r->withdrawn = true;
		request_arm_timer(r->deadline_timer, DEADLINE_GRACE_US);
		if (r->next_chunk == 0)
			request_settle(r);
		return;
	}
	request_send_cancel(r);
	request_fail(r, RESULT_DEADLINE_PASSED, OUTCOME_UNKNOWN);
}

void
request_cancel(struct request *r)
{
	if (r->state != REQUEST_NEW && r->state != REQUEST_ROUTING)
		request_send_cancel(r);
	else if (!r->may_have_run)
		request_return_quota(r);
	request_free(r);
}

/* ---- messages from agents ---- */

static struct request *
find_request(struct request_table *t, const char id[TM_ID_SIZE])
{
	struct request *r;

	HASH_FIND(hh, t->requests, id, TM_ID_SIZE, r);
	return r;
}

static void
recover_missing_chunks(struct request *r)
{
	request_agent_lost(r);
	request_resume(r);
}

void
requests_on_chunk(struct request_table *t, const struct tm_chunk *chunk)
{
	struct request *r = find_request(t, chunk->request);

	if (r == NULL)
		return; /* the request ended or is at another agent */
	request_message_received(r);
	if (chunk->index < r->next_chunk)
		return; /* sent again after a resume */
	if (chunk->index > r->next_chunk) {
		if (r->state == REQUEST_ACCEPTED)
			recover_missing_chunks(r);
		return;
	}
	if (r->next_chunk++ == 0 && !r->service)
		demand_waited(t->demand, r->args.target,
		    r->last_message_us - r->started_us);
	/* May cancel the request. */
	r->on_chunk(r->ctx, chunk->data.data_val, chunk->data.data_len);
}

/* The agent's own number of the end makes all entries name it alike. */
static void
note_backend_end(struct request *r)
{
	struct crash_bar_end end = {
		.vm = r->vm, .agent = r->incarnation, .number = r->backend_end
	};

	r->backend_ends++;
	crash_bar_lost(
	    r->table->crash_bar, request_job(r), &end, r->next_chunk > 0);
}

static void
handle_failure(struct request *r, const struct tm_finish *f)
{
	if (f->code == RESULT_BACKEND_ENDED)
		note_backend_end(r);
	if (f->outcome == OUTCOME_NOT_RUN) {
		r->retry_after_ms = f->retry_after_ms;
		request_attempt_refused(r, (enum result)f->code);
	} else if (r->withdrawn) {
		request_fail(r, RESULT_DEADLINE_PASSED, OUTCOME_UNKNOWN);
	} else if (r->args.repeatable && r->next_chunk == 0 &&
		   r->backend_ends < BACKEND_ENDS_MAX) {
		r->may_have_run = true;
		request_attempt_refused(r, (enum result)f->code);
	} else {
		request_fail(r, (enum result)f->code, OUTCOME_UNKNOWN);
	}
}

void
requests_on_backend_end(
    struct request_table *t, const struct tm_backend_end *end)
{
	struct request *r = find_request(t, end->request);

	if (r != NULL)
		r->backend_end = end->number;
}

void
requests_on_finish(struct request_table *t, const struct tm_finish *f)
{
	struct request *r = find_request(t, f->request);
	struct request_result result = {
		.code = RESULT_OK,
		.outcome = OUTCOME_ANSWERED,
		.status = f->status,
		.content_type = f->content_type,
		.prompt_tokens = f->prompt_tokens,
		.tokens = f->tokens,
	};
	struct peer *peer;

	if (r == NULL)
		return;
	request_message_received(r);
	peer = request_peer(r);
	if (peer != NULL)
		membership_apply_report(
		    t->entry->daemon->membership, peer, &f->load);
	if (f->code != RESULT_OK)
		handle_failure(r, f);
	else if (f->chunks != r->next_chunk)
		recover_missing_chunks(r);
	else {
		request_record_duration(r);
		crash_bar_answered(t->crash_bar, request_job(r));
		end_request(r, &result);
	}
}

/* ---- start ---- */

static char *
copy_text(const char *text)
{
	char *out = strdup(text ? text : "");

	if (out == NULL)
		abort();
	return out;
}

static void
copy_args(struct request *r, const struct request_options *o)
{
	struct tm_dispatch_args *a = &r->args;

	a->target = copy_text(o->target);
	a->adapter = copy_text(o->adapter);
	a->rank = copy_text(o->rank);
	a->tenant = copy_text(o->tenant);
	a->idempotency_key = copy_text(o->idempotency_key);
	a->repeatable = o->repeatable;
	a->prompt_tokens = o->prompt_tokens;
	a->max_tokens = o->max_tokens;
	a->prefix = o->prefix;
	a->method = copy_text(o->method);
	a->path = copy_text(o->path);
	a->content_type = copy_text(o->content_type);
	a->body.body_len = (u_int)o->body_len;
	a->body.body_val = malloc(o->body_len + 1);
	if (a->body.body_val == NULL)
		abort();
	if (o->body_len > 0)
		memcpy(a->body.body_val, o->body, o->body_len);
}

static bool
text_fits(const char *text, size_t max)
{
	return text == NULL || strlen(text) <= max;
}

/* Checks the limits that the fields of tm_dispatch_args have. */
static enum result
check_sizes(const struct request_options *o, const char **detail)
{
	*detail = NULL;
	if (o->body_len > TM_BODY_MAX)
		return RESULT_TOO_LARGE;
	if (!text_fits(o->tenant, TM_NAME_MAX))
		*detail = "Tenant: at most 128 bytes";
	else if (!text_fits(o->idempotency_key, TM_NAME_MAX))
		*detail = "Idempotency-Key: at most 128 bytes";
	else if (!text_fits(o->content_type, TM_NAME_MAX))
		*detail = "Content-Type: at most 128 bytes";
	else if (!text_fits(o->path, PATH_LENGTH_MAX))
		*detail = "path: at most 4096 bytes";
	return *detail == NULL ? RESULT_OK : RESULT_BAD_REQUEST;
}

bool
request_check_admission(struct request_table *t,
    const struct request_options *o, struct request_refusal *out)
{
	const struct entry_settings *s = &t->entry->settings;
	const char *tenant = o->tenant ? o->tenant : "";

	out->retry_after_ms = 0;
	out->code = check_sizes(o, &out->detail);
	if (out->code != RESULT_OK)
		return false;
	if (request_count(t) >= (size_t)s->max_requests) {
		out->detail = "too many unfinished requests at this entry";
	} else if (tenant_requests_count(t->tenants, tenant) >=
		   (uint32_t)s->max_tenant_requests) {
		out->detail =
		    "too many unfinished requests of this tenant at this entry";
	} else {
		return true;
	}
	out->code = RESULT_QUEUE_FULL;
	out->retry_after_ms = retry_after_jitter(&t->rng, 0);
	return false;
}

/*
 * Resumes an accepted request that has had no message for too long.  A request
 * may wait long in the agent's queue, so silence_ms applies only if the agent
 * is silent about all requests.  Otherwise the limit is SILENCE_LIMIT_FACTOR
 * times as long: the agent may have closed a connection that it could not write
 * to.
 */
static void
check_silence(struct request *r)
{
	int64_t limit_us = r->table->entry->settings.silence_ms * USEC_PER_MSEC;
	int64_t now = request_now(r);
	struct peer *peer = request_peer(r);
	bool agent_silent =
	    peer == NULL || now - peer_stats(peer)->last_message_us >= limit_us;
	int64_t silent_us = now - r->last_message_us;

	if ((agent_silent && silent_us >= limit_us) ||
	    silent_us >= SILENCE_LIMIT_FACTOR * limit_us) {
		r->last_message_us = now;
		request_resume(r);
	}
	request_arm_timer(r->step_timer, limit_us);
}

/* Routes again, abandons a lost agent, or checks for silence. */
static void
on_step(evutil_socket_t fd, short what, void *arg)
{
	struct request *r = arg;

	switch (r->state) {
	case REQUEST_NEW:
		request_take_quota(r);
		return;
	case REQUEST_ROUTING:
		request_route(r);
		return;
	case REQUEST_AGENT_LOST:
		request_abandon(r);
		return;
	case REQUEST_ACCEPTED:
		check_silence(r);
		return;
	case REQUEST_DISPATCHED:
		return;
	}
}

struct request *
request_start(struct request_table *t, const struct request_options *o)
{
	struct event_base *base = t->entry->daemon->base;
	struct request *r = calloc(1, sizeof(*r));

	if (r == NULL)
		abort();
	r->table = t;
	r->service = o->service;
	r->on_chunk = o->on_chunk;
	r->on_end = o->on_end;
	r->ctx = o->ctx;
	r->started_us = request_now(r);
	r->deadline_us = o->deadline_us;
	LIST_INIT(&r->calls);
	copy_args(r, o);
	random_id(r->id, TM_ID_SIZE);
	r->id[TM_ID_SIZE - 1] = 0;
	hex_encode(r->hex, r->id, TM_ID_SIZE);
	r->deadline_timer = evtimer_new(base, on_deadline, r);
	r->step_timer = evtimer_new(base, on_step, r);
	if (r->deadline_timer == NULL || r->step_timer == NULL)
		abort();
	HASH_ADD(hh, t->requests, id, TM_ID_SIZE, r);
	tenant_requests_add(t->tenants, r->args.tenant);
	retry_budget_deposit(t->budget, r->args.target);
	if (!r->service)
		demand_arrived(t->demand, r->args.target,
		    r->args.prompt_tokens + r->args.max_tokens);
	request_arm_timer(r->deadline_timer, r->deadline_us - r->started_us);
	request_arm_timer(r->step_timer, 0);
	trace_record(t->entry->daemon->trace, r->hex, "arrived for %s, rank %s",
	    r->args.target, r->args.rank);
	return r;
}

const char *
request_id(const struct request *r)
{
	return r->hex;
}

size_t
request_count_at_peer(const struct request_table *t, const struct peer *peer)
{
	const struct request *r;
	size_t n = 0;

	for (r = t->requests; r != NULL; r = r->hh.next)
		n += strcmp(r->vm, peer->vm.id) == 0;
	return n;
}

size_t
request_count(const struct request_table *t)
{
	return HASH_COUNT(t->requests);
}

void
request_table_destroy(struct request_table *t)
{
	struct request *r, *next;

	if (t == NULL)
		return;
	HASH_ITER(hh, t->requests, r, next)
		request_free(r);
	request_pending_cancels_free(t);
	crash_bar_destroy(t->crash_bar);
	retry_budget_destroy(t->budget);
	prefix_map_destroy(t->prefixes);
	tenant_requests_destroy(t->tenants);
	quota_asker_destroy(t->quota_asker);
	service_index_destroy(t->services);
	free(t);
}
