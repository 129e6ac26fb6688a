/*
 * Takes jobs from the admission queue and starts them on the backend server.
 *
 * Admission chooses among the jobs that can run: on an engine those whose model
 * and adapter are loaded, on a plain service those whose idempotency key, if
 * any, is claimed.  Jobs that cannot run any more are ended.
 */
#include "agent/agent_internal.h"

#include <string.h>

#include "common/clock.h"
#include "common/histogram.h"
#include "coordination/loader.h"
#include "coordination/store.h"

static struct job *
item_job(struct admission_item *item)
{
	return (
	    struct job *)(void *)((char *)item - offsetof(struct job, item));
}

/* Fills in the load that a job needs; false if its model is not declared. */
static bool
make_load_request(
    struct agent *a, const struct job *job, struct loader_request *request)
{
	const struct config *config = store_config(a->daemon->store);
	const struct config_entry *model =
	    config_find(config, DECL_MODEL, job->args.target);
	const struct config_entry *adapter =
	    config_find(config, DECL_ADAPTER, job->args.adapter);

	if (model == NULL || !model->valid)
		return false;
	memset(request, 0, sizeof(*request));
	request->model = job->args.target;
	request->adapter = job->args.adapter;
	request->model_bytes = model->decl.spec.model.memory_bytes;
	if (adapter != NULL && adapter->valid)
		request->adapter_bytes =
		    adapter->decl.spec.adapter.memory_bytes;
	request->rank = job->args.rank;
	request->deadline_us = job->item.deadline_us;
	return true;
}

static bool
is_runnable(void *ctx, struct admission_item *item)
{
	struct agent *a = ctx;
	struct loader_request request;

	if (item_job(item)->pause_pending)
		return false;
	if (a->loader == NULL)
		return !item_job(item)->needs_claim || item_job(item)->claimed;
	if (!make_load_request(a, item_job(item), &request))
		return false;
	return loader_request(a->loader, &request) == LOADER_READY;
}

/* Running jobs are cancelled only if their work may be repeated. */
static void
end_expired_jobs(struct agent *a)
{
	struct admission_item *item;
	int64_t now = clock_now(a->daemon->clock);

	while ((item = admission_pop_expired(a->admission, now)) != NULL)
		agent_refuse_job(a, item_job(item), RESULT_EXPIRED);
	while ((item = admission_find_overdue(a->admission, now)) != NULL)
		agent_cancel_generation(
		    a, item_job(item), RESULT_DEADLINE_PASSED);
}

void
agent_refuse_displaced(struct agent *a)
{
	struct admission_item *item;
	struct job *job;

	while ((item = admission_pop_displaced(a->admission)) != NULL) {
		job = item_job(item);
		job->retry_after_ms =
		    (uint32_t)(admission_wait_us(a->admission, item) /
			       USEC_PER_MSEC);
		agent_refuse_job(a, job, RESULT_QUEUE_FULL);
	}
}

void
agent_request_job_load(struct agent *a, struct job *job)
{
	struct loader_request request;

	if (a->loader != NULL && make_load_request(a, job, &request))
		(void)loader_request(a->loader, &request);
}

/*
 * Requests the load that the job needs.  Returns why it is impossible, or
 * RESULT_OK if the model is loaded or may yet be.
 */
static enum result
check_loadable(struct agent *a, struct job *job)
{
	struct loader_request request;

	if (!make_load_request(a, job, &request))
		return RESULT_LOAD_FAILED;
	switch (loader_request(a->loader, &request)) {
	case LOADER_READY:
	case LOADER_WAITING:
		break;
	case LOADER_FAILED:
		return RESULT_LOAD_FAILED;
	case LOADER_TOO_BIG:
		return RESULT_MEMORY_FULL;
	case LOADER_NO_SLOT:
		return RESULT_NO_SLOT;
	}
	return RESULT_OK;
}

void
agent_request_loads(struct agent *a)
{
	struct admission_item *item, *next;
	enum result code;

	if (a->loader == NULL || !loader_initialized(a->loader))
		return;
	for (item = admission_next(a->admission, NULL); item != NULL;
	     item = next) {
		next = admission_next(a->admission, item);
		code = check_loadable(a, item_job(item));
		if (code != RESULT_OK)
			agent_refuse_job(a, item_job(item), code);
	}
}

static void
start_job(struct agent *a, struct job *job, int64_t now)
{
	histogram_record(a->queue_wait, (uint64_t)(now - job->item.queued_us));
	job->state = JOB_RUNNING;
	if (a->loader != NULL)
		agent_start_generation(a, job);
	else
		agent_start_service_call(a, job);
}

void
agent_schedule(struct agent *a)
{
	struct admission_item *item;
	int64_t now = clock_now(a->daemon->clock);

	if (agent_stop_if_isolated(a))
		return;
	end_expired_jobs(a);
	for (;;) {
		item = admission_pop(a->admission, now, is_runnable, a);
		if (item != NULL) {
			start_job(a, item_job(item), now);
			continue;
		}
		item = admission_preempt(a->admission, now, is_runnable, a);
		if (item == NULL)
			return;
		agent_pause_generation(a, item_job(item));
	}
}

/* ---- limits ---- */

/* The lowest limit of the settings and the deployments, in tokens. */
static uint32_t
queue_token_limit(const struct agent *a)
{
	const struct config *config = store_config(a->daemon->store);
	const struct config_entry *e = NULL;
	uint32_t limit = (uint32_t)a->settings.max_queued_tokens;

	while ((e = config_next(config, DECL_DEPLOYMENT, e)) != NULL) {
		if (e->valid && e->decl.spec.deployment.queue_tokens > 0 &&
		    e->decl.spec.deployment.queue_tokens < limit)
			limit = e->decl.spec.deployment.queue_tokens;
	}
	return limit;
}

/* Jobs that may run at once; 0 if unknown, which keeps the last limit. */
static uint32_t
backend_concurrency(const struct agent *a)
{
	const struct config_entry *e;

	if (a->loader != NULL)
		return loader_max_batch(a->loader);
	e = config_find(store_config(a->daemon->store), DECL_SERVICE,
	    a->settings.service_name);
	return e != NULL && e->valid ? e->decl.spec.service.concurrency : 0;
}

void
agent_update_limits(struct agent *a)
{
	admission_set_limits(a->admission, backend_concurrency(a),
	    (uint32_t)a->settings.max_queued, queue_token_limit(a));
}
