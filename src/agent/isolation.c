/* An agent that neither the log nor an entry answers serves no one. */
#include "agent/agent_internal.h"

#include "common/clock.h"
#include "common/log.h"
#include "coordination/store.h"

#define FIRST_CONTACT_TIMEOUT_US (3 * USEC_PER_SEC)

bool
agent_is_isolated(const struct agent *a)
{
	int64_t now = clock_now(a->node->clock);
	int64_t contact = store_last_contact(a->node->store);

	/* An earlier agent here may have been cut off for a while. */
	if (contact == 0)
		return now - a->started_us > FIRST_CONTACT_TIMEOUT_US;
	return now - contact > a->settings.isolation_timeout_ms * USEC_PER_MSEC;
}

static void
end_all_jobs(struct agent *a)
{
	struct job *job = NULL, *next;

	for (job = job_next(a->jobs, NULL); job != NULL; job = next) {
		next = job_next(a->jobs, job);
		if (job->state == JOB_QUEUED) {
			agent_end_job(a, job, JOB_NOT_RUN, RESULT_NOT_READY,
			    OUTCOME_NOT_RUN);
		} else if (job->state == JOB_RUNNING && job->stream != NULL) {
			a->engine.ops->cancel(a->engine.priv, job->stream);
			job->stream = NULL;
			agent_end_job(a, job, JOB_DONE, RESULT_STREAM_BROKEN,
			    OUTCOME_UNKNOWN);
		}
	}
}

/*
 * Such an agent can't know whether its slots have been given to another: it
 * ends its work, and the loader unloads, before the holder may do that.
 */
bool
agent_stop_if_isolated(struct agent *a)
{
	bool isolated = agent_is_isolated(a);

	if (isolated && !a->was_isolated)
		log_warn(a->node->logger,
		    "cut off from the log and all entries; unloading");
	a->was_isolated = isolated;
	if (isolated)
		end_all_jobs(a);
	return isolated;
}
