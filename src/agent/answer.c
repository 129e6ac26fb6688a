/* Sends chunks and results of jobs to their entries, and ends jobs. */
#include "agent/agent_internal.h"

#include <string.h>

#include "common/clock.h"
#include "common/trace.h"
#include "coordination/loader.h"
#include "transport/rpc.h"

void
agent_send_chunk(struct job *job, uint32_t index)
{
	struct tm_chunk chunk = {
		.index = index,
		.data.data_val = job->chunks[index].data,
		.data.data_len = (u_int)job->chunks[index].len,
	};

	if (job->conn == NULL)
		return;
	memcpy(chunk.request, job->id, TM_ID_SIZE);
	if (rpc_conn_send(
		job->conn, TM_CHUNK, (xdrproc_t)xdr_tm_chunk, &chunk) == -1)
		job->conn = NULL; /* the entry resumes the answer */
}

static void
send_backend_end(const struct job *job)
{
	struct tm_backend_end end = { .number = job->backend_end };

	memcpy(end.request, job->id, TM_ID_SIZE);
	(void)rpc_conn_send(
	    job->conn, TM_BACKEND_END, (xdrproc_t)xdr_tm_backend_end, &end);
}

void
agent_send_finish(struct agent *a, struct job *job)
{
	struct tm_finish finish = {
		.code = job->code,
		.outcome = job->outcome,
		.chunks = job->chunk_count,
		.status = job->status,
		.content_type = job->content_type,
		.prompt_tokens = job->prompt_tokens,
		.tokens = job->tokens,
		.retry_after_ms = job->retry_after_ms,
	};

	if (job->conn == NULL)
		return;
	if (job->code == RESULT_BACKEND_ENDED)
		send_backend_end(job);
	memcpy(finish.request, job->id, TM_ID_SIZE);
	agent_fill_load_summary(a, &finish.load);
	if (rpc_conn_send(
		job->conn, TM_FINISH, (xdrproc_t)xdr_tm_finish, &finish) == -1)
		job->conn = NULL;
	agent_free_load_report(a, &finish.load);
}

/* Tokens to charge: 1 for a call to a plain service, 0 after an error. */
static uint32_t
tokens_used(const struct job *job, enum result code)
{
	if (code != RESULT_OK)
		return 0;
	return job->tokens > 0 ? job->args.prompt_tokens + job->tokens : 1;
}

void
agent_refuse_job(struct agent *a, struct job *job, enum result code)
{
	if (!job_may_have_run(job))
		agent_end_job(a, job, JOB_NOT_RUN, code, OUTCOME_NOT_RUN);
	else if (code == RESULT_EXPIRED)
		agent_end_job(
		    a, job, JOB_DONE, RESULT_DEADLINE_PASSED, OUTCOME_UNKNOWN);
	else /* without a chunk, the entry may try another agent */
		agent_end_job(a, job, JOB_DONE,
		    job->chunk_count == 0 ? RESULT_BACKEND_FAILED
					  : RESULT_STREAM_BROKEN,
		    OUTCOME_UNKNOWN);
}

void
agent_end_job(struct agent *a, struct job *job, enum job_state state,
    enum result code, enum outcome outcome)
{
	admission_remove(a->admission, &job->item, tokens_used(job, code),
	    clock_now(a->daemon->clock));
	if (job->pinned)
		loader_unpin(a->loader, job->args.target, job->args.adapter);
	job->pinned = false;
	job_end(a->jobs, job, state, code, outcome);
	if (job->needs_claim)
		a->settle_claim(a, job);
	trace_record(a->daemon->trace, job->hex, "ended: %s, %u tokens",
	    result_info(code)->name, job->tokens);
	(*a->finished)++;
	agent_send_finish(a, job);
}
