/*
 * Ends the work of an agent without contact to the log and all peers.
 *
 * Such an agent cannot know whether its slots have been assigned to others.  So
 * it ends its jobs, and the loader unloads all models, before the holder's
 * grace for a lost VM ends; cut_off_ms must be well below that.
 */
#include "agent/agent_internal.h"

#include "common/clock.h"
#include "common/log.h"
#include "coordination/store.h"

/*
 * Longest wait for the first contact after the start.  It is short, since a
 * previous agent on this VM may have been isolated for some time.
 */
#define FIRST_CONTACT_TIMEOUT_US (3 * USEC_PER_SEC)

bool
agent_is_isolated(const struct agent *a)
{
	int64_t now = clock_now(a->daemon->clock);
	int64_t contact = store_last_contact(a->daemon->store);

	if (contact == 0)
		return now - a->started_us > FIRST_CONTACT_TIMEOUT_US;
	return now - contact > a->settings.isolation_timeout_ms * USEC_PER_MSEC;
}

/* Calls to a plain service cannot be stopped and run to their end. */
static void
end_all_jobs(struct agent *a)
{
	struct job *job = NULL, *next;

	for (job = job_next(a->jobs, NULL); job != NULL; job = next) {
		next = job_next(a->jobs, job);
		if (job->state == JOB_QUEUED) {
			agent_refuse_job(a, job, RESULT_NOT_READY);
		} else if (job->state == JOB_RUNNING && job->stream != NULL) {
			a->engine.ops->cancel(a->engine.priv, job->stream);
			job->stream = NULL;
			agent_end_job(a, job, JOB_DONE, RESULT_STREAM_BROKEN,
			    OUTCOME_UNKNOWN);
		}
	}
}

bool
agent_stop_if_isolated(struct agent *a)
{
	bool isolated = agent_is_isolated(a);

	if (isolated && !a->was_isolated)
		log_warn(a->daemon->logger,
		    "cut off from the log and all entries; unloading");
	a->was_isolated = isolated;
	if (isolated)
		end_all_jobs(a);
	return isolated;
}
