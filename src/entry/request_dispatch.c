/*
 * Chooses an agent for a request by the predicted completion time, dispatches
 * the request, and retries at another agent after a refusal.
 */
#include <string.h>

#include <bsd/string.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/histogram.h"
#include "common/trace.h"
#include "coordination/membership.h"
#include "coordination/prefix_map.h"
#include "coordination/retry_budget.h"
#include "coordination/router.h"
#include "coordination/store.h"
#include "entry/crash_bar.h"
#include "entry/entry.h"
#include "entry/peer_stats.h"
#include "entry/request_internal.h"
#include "entry/service_index.h"
#include "transport/rpc.h"

#define CANDIDATES_MAX 256 /* agents compared for one request */

/* ---- choice of the agent ---- */

static bool
was_tried(const struct request *r, const char *vm)
{
	for (unsigned i = 0; i < r->tried_count; i++) {
		if (strcmp(r->tried_vms[i], vm) == 0)
			return true;
	}
	return false;
}

static uint64_t
prefix_key(const struct request *r, const char *vm)
{
	return prefix_map_key(
	    r->args.target, r->args.adapter, r->args.prefix, vm);
}

static bool
has_cached_prefix(const struct request *r, const struct peer *peer)
{
	return prefix_map_has(r->table->prefixes, prefix_key(r, peer->vm.id));
}

static void
fill_candidate(
    const struct request *r, struct peer *peer, struct router_candidate *c)
{
	const struct daemon *daemon = r->table->entry->daemon;
	const struct peer_model *pm = peer_model(peer, r->args.target);
	const struct peer_stats *stats = peer_stats(peer);

	memset(c, 0, sizeof(*c));
	c->vm = peer->vm.id;
	c->usable = peer->conn != NULL && peer->incarnation != 0 &&
		    !peer->leaving && !was_tried(r, peer->vm.id);
	c->same_zone = strcmp(peer->vm.zone, daemon->settings->zone) == 0;
	if (!r->service) {
		c->load_us = pm == NULL ? ROUTER_LOAD_UNKNOWN
					: peer_model_wait_us(peer, pm,
					      clock_now(daemon->clock));
		c->loading = pm != NULL && pm->state == TM_REPLICA_LOADING;
		c->prefix_cached =
		    c->load_us == 0 && has_cached_prefix(r, peer);
	}
	c->unreported_tokens = stats->unreported_tokens;
	c->correction = stats->correction;
	c->queued_tokens = peer->queued_tokens;
	c->tokens_per_sec = peer->tokens_per_sec;
	c->report_age_us = peer->report_us == 0
			       ? -1
			       : clock_now(daemon->clock) - peer->report_us;
}

static size_t
model_candidates(
    const struct request *r, struct peer **peers, struct router_candidate *c)
{
	const struct daemon *daemon = r->table->entry->daemon;
	const struct control *control = store_control(daemon->store);
	const struct control_slot *slot = NULL;
	size_t n = 0;

	while (
	    (slot = control_next_slot(control, r->args.target, slot)) != NULL &&
	    n < CANDIDATES_MAX) {
		struct peer *peer =
		    membership_find(daemon->membership, slot->runner);

		if (peer == NULL || slot->releasing)
			continue;
		entry_use_peer(r->table->entry, peer);
		peers[n] = peer;
		fill_candidate(r, peer, &c[n++]);
	}
	return n;
}

static size_t
service_candidates(
    const struct request *r, struct peer **peers, struct router_candidate *c)
{
	struct request_table *t = r->table;
	struct peer *const *found;
	size_t count;

	found = service_index_find(
	    t->services, r->args.target, request_now(r), &count);
	if (count > CANDIDATES_MAX)
		count = CANDIDATES_MAX;
	for (size_t i = 0; i < count; i++) {
		entry_use_peer(t->entry, found[i]);
		peers[i] = found[i];
		fill_candidate(r, found[i], &c[i]);
	}
	return count;
}

static struct peer *
choose_peer(struct request *r, bool *any_candidate)
{
	struct peer *peers[CANDIDATES_MAX];
	struct router_candidate candidates[CANDIDATES_MAX];
	struct router_query query = {
		.model = r->args.target,
		.prompt_tokens = r->args.prompt_tokens,
		.max_tokens = r->args.max_tokens,
	};
	struct router_choice choice;
	size_t n;

	n = r->service ? service_candidates(r, peers, candidates)
		       : model_candidates(r, peers, candidates);
	choice = router_choose(&query, candidates, n);
	*any_candidate = n > 0;
	r->predicted = choice.predicted;
	return choice.index == -1 ? NULL : peers[choice.index];
}

/* ---- refusals ---- */

/* Whether another agent may accept a request that one refused with this. */
static bool
may_try_elsewhere(enum result code)
{
	switch (code) {
	case RESULT_LEAVING:
	case RESULT_STALE_CONFIG:
	case RESULT_NO_SLOT:
	case RESULT_NOT_READY:
	case RESULT_LOAD_FAILED:
	case RESULT_BACKEND_UNREACHABLE:
	case RESULT_BACKEND_FAILED:
	case RESULT_BACKEND_ENDED:
	case RESULT_QUEUE_FULL:
	case RESULT_DEADLINE_UNREACHABLE:
	case RESULT_MEMORY_FULL:
		return true;
	default:
		return false;
	}
}

/* Whether the same agent may accept the request a little later. */
static bool
is_transient(enum result code)
{
	switch (code) {
	case RESULT_OK: /* no refusal yet */
	case RESULT_LEAVING:
	case RESULT_STALE_CONFIG:
	case RESULT_NO_SLOT:
	case RESULT_NOT_READY:
	case RESULT_NO_REPLICA:
	case RESULT_BACKEND_UNREACHABLE:
	case RESULT_BACKEND_FAILED:
	case RESULT_BACKEND_ENDED:
		return true;
	default:
		return false;
	}
}

/*
 * No candidate is usable: routes again after a backoff, as a slot may be
 * decided or an agent reconnect.  Refuses after slot_wait_ms in total, or if
 * the deadline comes first.
 */
static void
wait_for_slot(struct request *r, bool any_candidate)
{
	const struct entry_settings *s = &r->table->entry->settings;
	int64_t now = request_now(r);
	int64_t wait_us = retry_backoff_us(&r->table->rng, r->slot_waits++);

	if (!is_transient(r->last_refusal)) {
		request_refuse(r, r->last_refusal);
		return;
	}
	if (r->slot_wait_since_us == 0)
		r->slot_wait_since_us = now;
	if (r->attempts == 0)
		r->last_refusal = any_candidate || r->service
				      ? RESULT_BACKEND_UNREACHABLE
				      : RESULT_NO_REPLICA;
	if (now - r->slot_wait_since_us >= s->slot_wait_ms * USEC_PER_MSEC ||
	    now + wait_us >= r->deadline_us) {
		request_refuse(r, r->last_refusal);
		return;
	}
	r->tried_count = 0;
	request_arm_timer(r->step_timer, wait_us);
}

/* ---- predictions ---- */

static uint32_t
cost_tokens(const struct request *r)
{
	uint32_t tokens = r->args.prompt_tokens + r->args.max_tokens;

	return tokens == 0 ? 1 : tokens;
}

void
request_clear_unreported(struct request *r)
{
	struct peer *peer = request_peer(r);
	struct peer_stats *stats;

	if (peer != NULL && r->unreported_tokens > 0) {
		stats = peer_stats(peer);
		/* The stats start from 0 if the peer was removed and added. */
		stats->unreported_tokens -=
		    stats->unreported_tokens < r->unreported_tokens
			? stats->unreported_tokens
			: r->unreported_tokens;
	}
	r->unreported_tokens = 0;
}

void
request_record_duration(struct request *r)
{
	int64_t measured_us = request_now(r) - r->sent_us;
	int64_t error_us = measured_us - r->predicted.total_us;
	struct peer *peer = request_peer(r);
	struct peer_stats *stats;

	histogram_record(r->table->prediction_error,
	    (uint64_t)(error_us < 0 ? -error_us : error_us));
	if (peer == NULL)
		return;
	stats = peer_stats(peer);
	stats->correction =
	    router_correct(stats->correction, &r->predicted, measured_us);
	if (!r->service)
		prefix_map_add(r->table->prefixes, prefix_key(r, r->vm));
}

/* ---- dispatch ---- */

static void
handle_verdict(struct request *r, const struct tm_dispatch_reply *reply)
{
	const struct entry *entry = r->table->entry;
	struct peer *peer = request_peer(r);

	if (peer != NULL)
		membership_apply_report(
		    entry->daemon->membership, peer, &reply->load);
	request_clear_unreported(r);
	if (reply->code != RESULT_OK) {
		r->retry_after_ms = reply->retry_after_ms;
		request_attempt_refused(r, (enum result)reply->code);
		return;
	}
	r->state = REQUEST_ACCEPTED;
	request_message_received(r);
	request_arm_timer(
	    r->step_timer, entry->settings.silence_ms * USEC_PER_MSEC);
}

static void
on_dispatch_reply(void *ctx, enum rpc_status status, void *reply)
{
	struct request *r = request_call_end(ctx);

	if (r == NULL)
		return;
	switch (status) {
	case RPC_OK:
		handle_verdict(r, reply);
		return;
	case RPC_NOT_SENT:
	case RPC_REJECTED:
		request_attempt_refused(r, RESULT_BACKEND_UNREACHABLE);
		return;
	case RPC_TIMED_OUT:
		request_agent_lost(r);
		request_settle(r);
		return;
	case RPC_CONN_LOST:
		request_agent_lost(r);
		return;
	}
}

static void
dispatch(struct request *r, struct peer *peer)
{
	const struct entry *entry = r->table->entry;

	strlcpy(r->vm, peer->vm.id, sizeof(r->vm));
	strlcpy(r->tried_vms[r->tried_count++ % TRIED_VMS_MAX], peer->vm.id,
	    sizeof(r->tried_vms[0]));
	if (!crash_bar_is_idle(r->table->crash_bar))
		crash_bar_sent(r->table->crash_bar, request_job(r));
	r->attempts++;
	r->incarnation = peer->incarnation;
	r->state = REQUEST_DISPATCHED;
	r->sent_us = request_now(r);
	r->unreported_tokens = cost_tokens(r);
	peer_stats(peer)->unreported_tokens += r->unreported_tokens;
	r->args.incarnation = peer->incarnation;
	r->args.deadline_us = (u_quad_t)(r->deadline_us - r->sent_us);
	memcpy(r->args.request, r->id, TM_ID_SIZE);
	trace_record(entry->daemon->trace, r->hex, "sent to %s, attempt %u",
	    peer->vm.id, r->attempts);
	rpc_conn_call(peer->conn, TM_DISPATCH, (xdrproc_t)xdr_tm_dispatch_args,
	    &r->args, (xdrproc_t)xdr_tm_dispatch_reply,
	    sizeof(struct tm_dispatch_reply),
	    entry->settings.dispatch_timeout_ms * USEC_PER_MSEC,
	    on_dispatch_reply, request_call_begin(r));
}

/*
 * Takes a token of the retry budget for another attempt.  Returns false after
 * ending the request if max_attempts, the last refusal or the budget rules it
 * out.
 */
static bool
reserve_retry(struct request *r)
{
	struct request_table *t = r->table;

	if (!may_try_elsewhere(r->last_refusal) ||
	    r->attempts >= (unsigned)t->entry->settings.max_attempts) {
		request_refuse(r, r->last_refusal);
		return false;
	}
	if (!retry_budget_withdraw(t->budget, r->args.target)) {
		(*t->retry_budget_spent)++;
		request_refuse(r, RESULT_RETRY_BUDGET);
		return false;
	}
	(*t->retries)++;
	return true;
}

/* While its trial is being recorded. */
#define TRIAL_POLL_US (50 * USEC_PER_MSEC)

/*
 * Whether the request may be sent as far as is known of what crashes backend
 * servers.  Otherwise it is refused, or routed again soon.
 */
static bool
passes_crash_bar(struct request *r)
{
	struct crash_bar *bar = r->table->crash_bar;
	int64_t wait_us;

	if (crash_bar_is_idle(bar))
		return true;
	switch (crash_bar_check(bar, request_job(r), &wait_us)) {
	case CRASH_ADMIT:
		return true;
	case CRASH_TRIAL:
		request_arm_timer(r->step_timer, TRIAL_POLL_US);
		return false;
	case CRASH_REFUSE:
		break;
	}
	r->retry_after_ms = wait_us / USEC_PER_MSEC;
	request_refuse(r, RESULT_PROMPT_BARRED);
	return false;
}

void
request_route(struct request *r)
{
	struct peer *peer;
	bool any_candidate;

	if (request_now(r) >= r->deadline_us) {
		request_refuse(
		    r, r->last_refusal ? r->last_refusal : RESULT_EXPIRED);
		return;
	}
	if (r->attempts > 0 && !may_try_elsewhere(r->last_refusal)) {
		request_refuse(r, r->last_refusal);
		return;
	}
	if (!passes_crash_bar(r))
		return;
	peer = choose_peer(r, &any_candidate);
	if (peer == NULL) {
		wait_for_slot(r, any_candidate);
		return;
	}
	if (r->attempts == 0 || reserve_retry(r))
		dispatch(r, peer);
}
