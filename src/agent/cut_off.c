/* An agent that neither the log nor an entry answers serves no one. */
#include "agent/agent_internal.h"

#include "common/clock.h"
#include "common/log.h"
#include "coordination/store.h"

#define FIRST_CONTACT_US (3 * USEC_PER_SEC)

bool
agent_cut_off(const struct agent *a)
{
	int64_t now = clock_now(a->daemon->clock);
	int64_t contact = store_last_contact(a->daemon->store);

	/* An earlier agent here may have been cut off for a while. */
	if (contact == 0)
		return now - a->started_us > FIRST_CONTACT_US;
	return now - contact > a->settings.cut_off_ms * USEC_PER_MSEC;
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
agent_stop_if_cut_off(struct agent *a)
{
	bool cut_off = agent_cut_off(a);

	if (cut_off && !a->was_cut_off)
		log_warn(a->daemon->logger,
		    "cut off from the log and all entries; unloading");
	a->was_cut_off = cut_off;
	if (cut_off)
		end_all_jobs(a);
	return cut_off;
}
