/* RPC handlers of the agent: dispatch, cancel, resume, settle, release. */
#include "agent/agent_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "agent/daemon_conns.h"
#include "common/clock.h"
#include "common/trace.h"
#include "coordination/accounts/quota_meter.h"
#include "coordination/loader.h"
#include "coordination/store.h"
#include "transport/rpc.h"

/* The least urgent order that a declaration can give. */
#define UNDECLARED_RANK_ORDER 99

/* Replies to TM_DISPATCH or TM_RESUME. */
static void
reply_dispatch(struct agent *a, struct rpc_call *call, enum result code,
    int64_t retry_after_us)
{
	struct tm_dispatch_reply reply = {
		.code = code,
		.retry_after_ms = (u_int)(retry_after_us / USEC_PER_MSEC),
	};

	if (code == RESULT_OK)
		(*a->accepted)++;
	else
		(*a->refused)++;
	agent_fill_load_summary(a, &reply.load);
	rpc_call_reply(call, &reply);
	agent_free_load_report(a, &reply.load);
}

/* Checks the agent's own state, independent of the declarations and slots. */
static enum result
check_dispatch(struct agent *a, const struct tm_dispatch_args *args)
{
	if (args->incarnation != 0 &&
	    args->incarnation != a->daemon->incarnation)
		return RESULT_BACKEND_UNREACHABLE;
	/* Without an incarnation the entry could not settle the request. */
	if (args->incarnation == 0 && !args->repeatable)
		return RESULT_BACKEND_UNREACHABLE;
	if (a->daemon->leaving)
		return RESULT_LEAVING;
	if (store_unready_reason(a->daemon->store) != NULL)
		return RESULT_NOT_READY;
	if (a->loader != NULL && !loader_initialized(a->loader))
		return RESULT_NOT_READY;
	if (job_find(a->jobs, args->request) != NULL)
		return RESULT_CANCELLED;
	if (job_table_full(a->jobs))
		return RESULT_QUEUE_FULL;
	return RESULT_OK;
}

/* Checks that the target is declared and served here. */
static enum result
check_target(struct agent *a, const struct tm_dispatch_args *args)
{
	const struct config *config = store_config(a->daemon->store);
	const struct control_slot *slot;

	if (a->loader == NULL) {
		if (config_find(config, DECL_SERVICE, args->target) == NULL ||
		    strcmp(args->target, a->settings.service_name) != 0)
			return RESULT_UNKNOWN_SERVICE;
		return RESULT_OK;
	}
	if (config_find(config, DECL_MODEL, args->target) == NULL)
		return RESULT_UNKNOWN_MODEL;
	if (args->adapter[0] != '\0' &&
	    config_find(config, DECL_ADAPTER, args->adapter) == NULL)
		return RESULT_UNKNOWN_ADAPTER;
	slot = control_runner_slot(store_control(a->daemon->store),
	    args->target, a->settings.daemon.vm);
	if (slot == NULL || slot->releasing)
		return RESULT_NO_SLOT;
	return RESULT_OK;
}

static void
fill_admission_item(struct agent *a, struct job *job)
{
	const struct config_entry *rank = config_find(
	    store_config(a->daemon->store), DECL_RANK, job->args.rank);
	struct admission_item *item = &job->item;

	strlcpy(item->rank, job->args.rank, sizeof(item->rank));
	strlcpy(item->tenant, job->args.tenant, sizeof(item->tenant));
	item->rank_order = UNDECLARED_RANK_ORDER;
	if (rank != NULL && rank->valid) {
		item->rank_order = rank->decl.spec.rank.order;
		item->rank_floor = rank->decl.spec.rank.floor;
	}
	item->tokens = job->args.prompt_tokens + job->args.max_tokens;
	if (item->tokens == 0)
		item->tokens = 1;
	item->deadline_us =
	    clock_now(a->daemon->clock) + (int64_t)job->args.deadline_us;
	item->preemptible = a->loader != NULL && job->args.repeatable;
	if (a->loader != NULL)
		item->load_wait_us =
		    loader_remaining_us(a->loader, job->args.target);
}

/* A dispatch that waits for the state to catch up. */
struct admit_ctx {
	struct agent *agent;
	struct rpc_call *call;
	struct tm_dispatch_args *args; /* owned by the call */
};

/*
 * Admits or refuses a dispatch once the state is as new as the entry's;
 * caught_up is false if it was not within AGENT_CATCH_UP_TIMEOUT_US.
 */
static void
admit_dispatch(void *ctx, bool caught_up)
{
	struct admit_ctx *ac = ctx;
	struct agent *a = ac->agent;
	struct rpc_call *call = ac->call;
	int64_t retry_after_us = 0;
	enum result code;
	struct job *job;

	code = caught_up ? check_dispatch(a, ac->args) : RESULT_NOT_READY;
	/* The entry may have settled this request on a newer connection. */
	if (!daemon_conns_is_current(a->daemon_conns, rpc_call_conn(call)))
		code = RESULT_NOT_READY;
	if (code == RESULT_OK)
		code = check_target(a, ac->args);
	if (code != RESULT_OK) {
		reply_dispatch(a, call, code, 0);
		free(ac);
		return;
	}
	job = job_create(a->jobs, ac->args);
	free(ac);
	job->owner = a;
	job->conn = rpc_call_conn(call);
	fill_admission_item(a, job);
	if (a->claims != NULL && !job->args.repeatable &&
	    job->args.idempotency_key[0] != '\0') {
		job->needs_claim = true;
		claim_key_hash(job->key, job->args.target, job->args.tenant,
		    job->args.idempotency_key);
	}
	code = admission_push(a->admission, &job->item,
	    clock_now(a->daemon->clock), &retry_after_us);
	if (code != RESULT_OK)
		job_end(a->jobs, job, JOB_NOT_RUN, code, OUTCOME_NOT_RUN);
	trace_record(a->daemon->trace, job->hex, "admission: %s, config %llu",
	    result_info(code)->name,
	    (unsigned long long)config_version(store_config(a->daemon->store)));
	reply_dispatch(a, call, code, retry_after_us);
	agent_refuse_displaced(a);
	if (code == RESULT_OK && job->needs_claim)
		agent_claim_key(a, job);
	else if (code == RESULT_OK)
		agent_request_job_load(a, job);
	if (code == RESULT_OK)
		agent_record_use(a, job);
	agent_schedule(a);
}

static void
handle_dispatch(void *ctx, struct rpc_call *call, void *arg)
{
	struct agent *a = ctx;
	struct tm_dispatch_args *args = arg;
	struct rpc_versions versions = rpc_call_versions(call);
	struct admit_ctx *ac = calloc(1, sizeof(*ac));

	if (ac == NULL)
		abort();
	ac->agent = a;
	ac->call = call;
	ac->args = args;
	store_await_versions(a->daemon->store, rpc_call_conn(call), &versions,
	    AGENT_CATCH_UP_TIMEOUT_US, admit_dispatch, ac);
}

static void
cancel_job(struct agent *a, struct job *job)
{
	if (job->state == JOB_QUEUED)
		agent_refuse_job(a, job, RESULT_CANCELLED);
	else if (job->state == JOB_RUNNING && job->stream != NULL)
		agent_cancel_generation(a, job, RESULT_STREAM_BROKEN);
	/* A call to a plain service runs to its end. */
}

/* Bars the id if the cancel arrives before the dispatch. */
static void
handle_cancel(void *ctx, struct rpc_call *call, void *arg)
{
	struct agent *a = ctx;
	struct tm_cancel *args = arg;
	struct job *job = job_find(a->jobs, args->request);

	if (job == NULL) {
		job_bar(a->jobs, args->request);
		return;
	}
	job->conn = NULL;
	cancel_job(a, job);
	agent_schedule(a);
}

/* Sends the chunks from args->from on again, on the resuming connection. */
static void
handle_resume(void *ctx, struct rpc_call *call, void *arg)
{
	struct agent *a = ctx;
	struct tm_resume_args *args = arg;
	struct job *job = job_find(a->jobs, args->request);
	bool known = job != NULL && job->state <= JOB_DONE &&
		     args->incarnation == a->daemon->incarnation &&
		     args->from <= job->chunk_count;

	if (!known) {
		reply_dispatch(a, call, RESULT_OUTCOME_UNKNOWN, 0);
		return;
	}
	job->conn = rpc_call_conn(call);
	reply_dispatch(a, call, RESULT_OK, 0);
	for (uint32_t i = args->from; i < job->chunk_count; i++)
		agent_send_chunk(job, i);
	if (job->state == JOB_DONE)
		agent_send_finish(a, job);
}

/*
 * Replies with the state of a request.  One that never arrived is barred, so
 * that a late dispatch does not run; with withdraw, a job is cancelled first.
 */
static void
handle_settle(void *ctx, struct rpc_call *call, void *arg)
{
	struct agent *a = ctx;
	struct tm_settle_args *args = arg;
	struct tm_settle_reply reply = { .state = TM_SETTLE_UNKNOWN };
	struct job *job = job_find(a->jobs, args->request);

	if (args->incarnation != a->daemon->incarnation) {
		rpc_call_reply(call, &reply);
		return;
	}
	if (job != NULL && args->withdraw)
		cancel_job(a, job);
	if (job == NULL && job_table_may_have_removed(a->jobs, args->age_us)) {
		reply.state = TM_SETTLE_UNKNOWN;
	} else if (job == NULL) {
		job_bar(a->jobs, args->request);
		reply.state = TM_SETTLE_BARRED;
	} else {
		static const enum tm_settle_state states[] = {
			[JOB_QUEUED] = TM_SETTLE_RUNNING,
			[JOB_RUNNING] = TM_SETTLE_RUNNING,
			[JOB_DONE] = TM_SETTLE_DONE,
			[JOB_NOT_RUN] = TM_SETTLE_NOT_RUN,
			[JOB_BARRED] = TM_SETTLE_BARRED,
		};

		reply.state = states[job->state];
		reply.code = job->code;
	}
	rpc_call_reply(call, &reply);
	if (args->withdraw)
		agent_schedule(a);
}

/* Unloads the model of a slot being released; replies whether it is done. */
static void
handle_release(void *ctx, struct rpc_call *call, void *arg)
{
	struct agent *a = ctx;
	struct tm_release_args *args = arg;
	struct tm_release_reply reply = { .released = false };
	const struct control *control = store_control(a->daemon->store);
	const struct control_slot *slot = control_slot(control, args->slot);
	const struct control_lease *lease = control_lease(control, args->shard);

	if (slot != NULL && slot->releasing && lease->epoch == args->epoch &&
	    a->loader != NULL)
		reply.released = loader_release(a->loader, slot->model);
	rpc_call_reply(call, &reply);
}

static void
handle_quota_take(void *ctx, struct rpc_call *call, void *arg)
{
	struct agent *a = ctx;
	const struct tm_quota_take *msg = arg;
	const struct quota_take take = {
		.account = msg->account,
		.version = msg->ver,
		.limit = msg->limit,
		.window_us = (int64_t)msg->window_us,
		.amount = msg->amount,
	};
	struct quota_grant grant = quota_meter_take(
	    a->quota_meter, &take, clock_now(a->daemon->clock));
	const struct tm_quota_taken reply = { grant.granted, grant.wait_us };

	rpc_call_reply(call, &reply);
}

static void
handle_quota_return(void *ctx, struct rpc_call *call, void *arg)
{
	struct agent *a = ctx;
	const struct tm_quota_return *msg = arg;

	quota_meter_return(a->quota_meter, msg->account, msg->amount,
	    clock_now(a->daemon->clock));
}

#define CODEC(type) (xdrproc_t) xdr_##type, sizeof(struct type)

const struct rpc_handler agent_handlers[] = {
	{ TM_DISPATCH, CODEC(tm_dispatch_args),
	    (xdrproc_t)xdr_tm_dispatch_reply, handle_dispatch, NULL },
	{ TM_CANCEL, CODEC(tm_cancel), NULL, handle_cancel, NULL },
	{ TM_RESUME, CODEC(tm_resume_args), (xdrproc_t)xdr_tm_dispatch_reply,
	    handle_resume, NULL },
	{ TM_SETTLE, CODEC(tm_settle_args), (xdrproc_t)xdr_tm_settle_reply,
	    handle_settle, NULL },
	{ TM_RELEASE_SLOT, CODEC(tm_release_args),
	    (xdrproc_t)xdr_tm_release_reply, handle_release, NULL },
	{ TM_QUOTA_TAKE, CODEC(tm_quota_take), (xdrproc_t)xdr_tm_quota_taken,
	    handle_quota_take, NULL },
	{ TM_QUOTA_RETURN, CODEC(tm_quota_return), NULL, handle_quota_return,
	    NULL },
	{ .proc = 0 },
};
