/* Moves jobs from the queue to the backend server. */
#include "agent/agent_internal.h"

#include <string.h>

#include "common/clock.h"
#include "common/histogram.h"
#include "coordination/loader.h"
#include "coordination/store.h"

static struct job *
job_of(struct admission_item *item)
{
	return (
	    struct job *)(void *)((char *)item - offsetof(struct job, item));
}

static bool
want_of(struct agent *a, const struct job *job, struct loader_request *want)
{
	const struct config *config = store_config(a->daemon->store);
	const struct config_entry *model =
	    config_find(config, DECL_MODEL, job->args.target);
	const struct config_entry *adapter =
	    config_find(config, DECL_ADAPTER, job->args.adapter);

	if (model == NULL || !model->valid)
		return false;
	memset(want, 0, sizeof(*want));
	want->model = job->args.target;
	want->adapter = job->args.adapter;
	want->model_bytes = model->decl.spec.model.memory_bytes;
	if (adapter != NULL && adapter->valid)
		want->adapter_bytes = adapter->decl.spec.adapter.memory_bytes;
	want->rank = job->args.rank;
	want->deadline_us = job->item.deadline_us;
	return true;
}

static bool
is_runnable(void *ctx, struct admission_item *item)
{
	struct agent *a = ctx;
	struct loader_request want;

	if (job_of(item)->pausing)
		return false;
	if (a->loader == NULL)
		return !job_of(item)->keyed || job_of(item)->claimed;
	if (!want_of(a, job_of(item), &want))
		return false;
	return loader_request(a->loader, &want) == LOADER_READY;
}

static void
refuse_expired(struct agent *a)
{
	struct admission_item *item;
	int64_t now = clock_now(a->daemon->clock);

	while ((item = admission_pop_expired(a->admission, now)) != NULL)
		agent_refuse_job(a, job_of(item), RESULT_EXPIRED);
	while ((item = admission_find_overdue(a->admission, now)) != NULL)
		agent_stop_engine(a, job_of(item), RESULT_DEADLINE_PASSED);
}

void
agent_refuse_displaced(struct agent *a)
{
	struct admission_item *item;
	struct job *job;

	while ((item = admission_pop_displaced(a->admission)) != NULL) {
		job = job_of(item);
		job->retry_after_ms =
		    (uint32_t)(admission_wait_us(a->admission, item) /
			       USEC_PER_MSEC);
		agent_refuse_job(a, job, RESULT_QUEUE_FULL);
	}
}

void
agent_begin_load(struct agent *a, struct job *job)
{
	struct loader_request want;

	if (a->loader != NULL && want_of(a, job, &want))
		(void)loader_request(a->loader, &want);
}

/* Why the job's model cannot be had; RESULT_OK if it can, or may yet. */
static enum result
unloadable(struct agent *a, struct job *job)
{
	struct loader_request want;

	if (!want_of(a, job, &want))
		return RESULT_LOAD_FAILED;
	switch (loader_request(a->loader, &want)) {
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
agent_review_queue(struct agent *a)
{
	struct admission_item *item, *next;
	enum result code;

	if (a->loader == NULL || !loader_initialized(a->loader))
		return;
	for (item = admission_next(a->admission, NULL); item != NULL;
	     item = next) {
		next = admission_next(a->admission, item);
		code = unloadable(a, job_of(item));
		if (code != RESULT_OK)
			agent_refuse_job(a, job_of(item), code);
	}
}

static void
start(struct agent *a, struct job *job, int64_t now)
{
	histogram_record(a->queue_wait, (uint64_t)(now - job->item.queued_us));
	job->state = JOB_RUNNING;
	if (a->loader != NULL)
		agent_start_engine(a, job);
	else
		agent_start_service(a, job);
}

void
agent_pump(struct agent *a)
{
	struct admission_item *item;
	int64_t now = clock_now(a->daemon->clock);

	if (agent_stop_if_cut_off(a))
		return;
	refuse_expired(a);
	for (;;) {
		item = admission_pop(a->admission, now, is_runnable, a);
		if (item != NULL) {
			start(a, job_of(item), now);
			continue;
		}
		item = admission_preempt(a->admission, now, is_runnable, a);
		if (item == NULL)
			return;
		agent_pause_engine(a, job_of(item));
	}
}

/* ---- bounds ---- */

/* The tightest bound that a deployment sets on the tokens waiting here. */
static uint32_t
queue_tokens(const struct agent *a)
{
	const struct config *config = store_config(a->daemon->store);
	const struct config_entry *e = NULL;
	uint32_t bound = (uint32_t)a->settings.max_queued_tokens;

	while ((e = config_next(config, DECL_DEPLOYMENT, e)) != NULL) {
		if (e->valid && e->decl.spec.deployment.queue_tokens > 0 &&
		    e->decl.spec.deployment.queue_tokens < bound)
			bound = e->decl.spec.deployment.queue_tokens;
	}
	return bound;
}

static uint32_t
concurrency(const struct agent *a)
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
	admission_set_limits(a->admission, concurrency(a),
	    (uint32_t)a->settings.max_queued, queue_tokens(a));
}
