/*
 * Takes from the quota of a request's client account before the request is
 * routed; agents keep the quotas, see coordination/accounts/quota_asker.h.
 */
#include <string.h>

#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/trace.h"
#include "coordination/accounts/quota_asker.h"
#include "coordination/membership.h"
#include "coordination/store.h"
#include "entry/account_index.h"
#include "entry/entry.h"
#include "entry/request_internal.h"
#include "state/accounts.h"
#include "state/config.h"
#include "transport/rpc.h"

/* A round trip takes some milliseconds; an agent that stands still, seconds. */
#define TAKE_TIMEOUT_US (150 * USEC_PER_MSEC)
#define NOTE_PAUSE_US (250 * USEC_PER_MSEC) /* between two listings */
/* The reserve is divided among so many entries, or those known if more. */
#define ENTRIES_MIN 4

static uint64_t
host_hash(const char *vm)
{
	return XXH3_64bits(vm, strlen(vm)) | 1;
}

static bool
is_agent(const struct peer *peer)
{
	return peer->vm.role != VM_ENTRY && !peer->leaving;
}

static struct peer *
find_keeper(struct request_table *t, uint64_t host)
{
	struct membership *m = t->entry->daemon->membership;
	struct peer *peer = NULL;

	while ((peer = membership_next(m, peer)) != NULL) {
		if (is_agent(peer) && host_hash(peer->vm.id) == host)
			return peer;
	}
	return NULL;
}

/* A keeper that is outside the connected subset is connected to. */
static bool
is_usable(void *ctx, uint64_t host)
{
	struct request_table *t = ctx;
	struct peer *peer = find_keeper(t, host);

	if (peer == NULL)
		return false;
	entry_use_peer(t->entry, peer);
	return peer->conn != NULL && peer->incarnation != 0;
}

/* Returns the number of entries. */
static unsigned
note_hosts(struct request_table *t, int64_t now)
{
	const struct daemon *daemon = t->entry->daemon;
	struct peer *peer = NULL;
	unsigned entries = 1;

	while ((peer = membership_next(daemon->membership, peer)) != NULL) {
		entries += peer->vm.role == VM_ENTRY;
		if (now - t->quota_noted_us >= NOTE_PAUSE_US &&
		    is_agent(peer) && peer->listed)
			quota_asker_note_host(t->quota_asker,
			    host_hash(peer->vm.id),
			    strcmp(peer->vm.zone, daemon->settings->zone) == 0,
			    now);
	}
	if (now - t->quota_noted_us >= NOTE_PAUSE_US) {
		quota_asker_expire_hosts(t->quota_asker, now);
		t->quota_noted_us = now;
	}
	return entries < ENTRIES_MIN ? ENTRIES_MIN : entries;
}

static void
route(struct request *r)
{
	r->state = REQUEST_ROUTING;
	request_route(r);
}

static void
refuse(struct request *r, enum result code, int64_t wait_us)
{
	r->retry_after_ms = wait_us / USEC_PER_MSEC + 1;
	request_refuse(r, code);
}

static void
on_taken(void *ctx, enum rpc_status status, void *arg)
{
	struct request *r = request_call_end(ctx);
	const struct tm_quota_taken *reply = arg;

	if (r == NULL)
		return;
	if (status == RPC_OK && reply->granted) {
		r->quota_taken = r->quota_amount;
		route(r);
		return;
	}
	if (status == RPC_OK)
		quota_asker_refused(r->table->quota_asker, r->args.tenant,
		    r->quota_host, r->quota_amount, reply->wait_us,
		    &r->quota_search, request_now(r));
	request_take_quota(r);
}

static bool
ask_keeper(struct request *r, const struct quota_plan *plan)
{
	struct request_table *t = r->table;
	struct tm_quota_take msg = {
		.account = r->args.tenant,
		.ver = config_version(store_config(t->entry->daemon->store)),
		.limit = plan->keeper_limit,
		.window_us = (u_quad_t)plan->window_us,
		.amount = r->quota_amount,
	};
	struct peer *peer;

	r->quota_host = quota_asker_next(t->quota_asker, r->args.tenant, plan,
	    r->quota_amount, &r->quota_search, request_now(r), is_usable, t);
	peer = r->quota_host == 0 ? NULL : find_keeper(t, r->quota_host);
	if (peer == NULL)
		return false;
	rpc_conn_call(peer->conn, TM_QUOTA_TAKE, (xdrproc_t)xdr_tm_quota_take,
	    &msg, (xdrproc_t)xdr_tm_quota_taken, sizeof(struct tm_quota_taken),
	    TAKE_TIMEOUT_US, on_taken, request_call_begin(r));
	return true;
}

void
request_take_quota(struct request *r)
{
	struct request_table *t = r->table;
	const struct entry_settings *s = &t->entry->settings;
	const struct account *account =
	    account_index_find(t->entry->accounts, r->args.tenant);
	const struct quota_bounds bounds = { s->quota_window_ms * USEC_PER_MSEC,
		s->quota_overage, s->quota_slack };
	int64_t now = request_now(r);
	unsigned entries;
	struct quota_plan plan;

	/* It may have been deleted since the request arrived. */
	if (account == NULL || account->quota.per_s == 0) {
		route(r);
		return;
	}
	r->quota_amount = account_quota_amount(&account->quota,
	    r->service ? 0
		       : (uint64_t)r->args.prompt_tokens + r->args.max_tokens);
	entries = note_hosts(t, now);
	plan = quota_plan_make(&account->quota, &bounds,
	    quota_asker_hosts(t->quota_asker), entries);
	if (ask_keeper(r, &plan))
		return;
	if (quota_asker_take_reserve(
		t->quota_asker, r->args.tenant, &plan, r->quota_amount, now)) {
		route(r);
		return;
	}
	trace_record(t->entry->daemon->trace, r->hex,
	    "quota of %s: %.0f asked, %.0f a second and %.0f at once allowed",
	    r->args.tenant, r->quota_amount, account->quota.per_s,
	    account->quota.burst);
	if (r->quota_search.refused)
		refuse(r, RESULT_QUOTA_EXCEEDED, r->quota_search.wait_us);
	else
		refuse(r, RESULT_QUOTA_UNKNOWN, 300 * USEC_PER_MSEC);
}

void
request_return_quota(struct request *r)
{
	struct tm_quota_return msg = { r->args.tenant, r->quota_taken };
	struct peer *peer;

	if (r->quota_taken == 0)
		return;
	r->quota_taken = 0;
	peer = find_keeper(r->table, r->quota_host);
	if (peer != NULL && peer->conn != NULL)
		(void)rpc_conn_send(peer->conn, TM_QUOTA_RETURN,
		    (xdrproc_t)xdr_tm_quota_return, &msg);
}
