/*
 * Runs jobs on the model engine or the plain service, and turns the backend's
 * answer into chunks and a result.
 */
#include "agent/agent_internal.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/trace.h"
#include "coordination/loader.h"

/* Jobs that are lost with one end of the backend server are reported at once.
 */
#define SAME_END_US (50 * USEC_PER_MSEC)
/* Of an answer to one job, however many tokens it may have. */
#define ANSWER_MAX_BYTES (16 * 1024 * 1024)

static enum result
lost_result(struct agent *a, struct job *job, bool conn_lost)
{
	int64_t now = clock_now(a->daemon->clock);

	if (!conn_lost)
		return RESULT_BACKEND_FAILED;
	if (a->backend_ends == 0 || now - a->backend_end_us > SAME_END_US)
		a->backend_ends++;
	a->backend_end_us = now;
	job->backend_end = a->backend_ends;
	return RESULT_BACKEND_ENDED;
}

/* ---- the engine ---- */

/* Tokens are kept until the job ends, so that the answer can be resumed. */
static bool
exceeds_request(const struct job *job, const struct engine_token *token)
{
	return job->chunk_count >= job->args.max_tokens ||
	       job->chunk_bytes + token->len > ANSWER_MAX_BYTES;
}

static void
on_token(void *ctx, const struct engine_token *token)
{
	struct job *job = ctx;
	struct agent *a = job->owner;

	/* A repeated token, or a gap, which on_stream_end() finds by count. */
	if (token->index != job->chunk_count)
		return;
	if (exceeds_request(job, token)) {
		log_warn(a->daemon->logger, "engine does not end its answer",
		    LF_S("request", job->hex), LF_I("tokens", job->tokens),
		    LF_I("bytes", job->chunk_bytes));
		agent_cancel_generation(a, job, RESULT_BACKEND_FAILED);
		a->schedule(a);
		return;
	}
	job_add_chunk(job, token->text, token->len);
	job->tokens++;
	agent_send_chunk(job, job->chunk_count - 1);
}

/* The answer is complete only if every generated token has arrived. */
static void
on_stream_end(void *ctx, const struct engine_end *end)
{
	struct job *job = ctx;
	struct agent *a = job->owner;

	job->stream = NULL;
	if (end->status == ENGINE_OK && end->tokens == job->chunk_count) {
		job->status = 200;
		job->prompt_tokens = end->prompt_tokens;
		strlcpy(
		    job->content_type, end->finish, sizeof(job->content_type));
		agent_end_job(a, job, JOB_DONE, RESULT_OK, OUTCOME_ANSWERED);
	} else if (end->status == ENGINE_NOT_SENT ||
		   end->status == ENGINE_REFUSED) {
		agent_refuse_job(a, job, RESULT_BACKEND_UNREACHABLE);
	} else {
		agent_end_job(a, job, JOB_DONE,
		    lost_result(a, job, end->conn_lost), OUTCOME_UNKNOWN);
	}
	a->schedule(a);
}

void
agent_start_generation(struct agent *a, struct job *job)
{
	char *prompt =
	    strndup(job->args.body.body_val, job->args.body.body_len);
	struct engine_generate gen = {
		.id = job->hex,
		.model = job->args.target,
		.adapter = job->args.adapter,
		.prompt = prompt,
		.max_tokens = job->args.max_tokens,
		.priority = (int)job->item.rank_order,
		.from = job->chunk_count,
	};

	if (prompt == NULL)
		abort();
	trace_record(a->daemon->trace, job->hex, "given to the engine, %s",
	    job->args.target);
	loader_pin(a->loader, job->args.target, job->args.adapter);
	job->pinned = true;
	job->stream = a->engine.ops->generate(
	    a->engine.priv, &gen, on_token, on_stream_end, job);
	free(prompt);
}

static void
release_stream(struct agent *a, struct job *job)
{
	job->stream = NULL;
	if (job->pinned)
		loader_unpin(a->loader, job->args.target, job->args.adapter);
	job->pinned = false;
}

/* Holds the id, as the job may be removed before the engine answers. */
struct pause_ctx {
	struct agent *agent;
	char id[TM_ID_SIZE];
};

static void
on_pause_confirmed(void *ctx)
{
	struct pause_ctx *p = ctx;
	struct agent *a = p->agent;
	struct job *job = job_find(a->jobs, p->id);

	free(p);
	if (job == NULL)
		return;
	job->pause_pending = false;
	a->schedule(a);
}

void
agent_pause_generation(struct agent *a, struct job *job)
{
	struct pause_ctx *p = malloc(sizeof(*p));

	if (p == NULL)
		abort();
	p->agent = a;
	memcpy(p->id, job->id, TM_ID_SIZE);
	(*a->preempted)++;
	job->state = JOB_QUEUED;
	job->was_started = true;
	job->pause_pending = true;
	a->engine.ops->pause(
	    a->engine.priv, job->stream, on_pause_confirmed, p);
	release_stream(a, job);
}

void
agent_cancel_generation(struct agent *a, struct job *job, enum result code)
{
	a->engine.ops->cancel(a->engine.priv, job->stream);
	release_stream(a, job);
	agent_end_job(a, job, JOB_DONE, code, OUTCOME_UNKNOWN);
}

/* ---- the plain service ---- */

/*
 * A service has no way to state that it did not run a call, while callers take
 * some statuses for that.
 */
static bool
is_failure(const struct service_answer *answer)
{
	return result_status_promises(answer->code);
}

static void
take_answer(struct job *job, const struct service_answer *answer)
{
	struct agent *a = job->owner;

	job->status = answer->code;
	strlcpy(job->content_type,
	    answer->content_type ? answer->content_type
				 : "application/octet-stream",
	    sizeof(job->content_type));
	if (answer->body_len > 0)
		job_add_chunk(job, answer->body, answer->body_len);
	if (job->chunk_count > 0)
		agent_send_chunk(job, 0);
	agent_end_job(a, job, JOB_DONE, RESULT_OK, OUTCOME_ANSWERED);
}

static void
on_service_answer(void *ctx, const struct service_answer *answer)
{
	struct job *job = ctx;
	struct agent *a = job->owner;

	job->service = NULL;
	switch (answer->status) {
	case SERVICE_OK:
		if (!is_failure(answer)) {
			take_answer(job, answer);
			break;
		}
		log_info(a->daemon->logger,
		    "service's status states what it does not",
		    LF_S("request", job->hex), LF_I("code", answer->code));
		agent_end_job(
		    a, job, JOB_DONE, RESULT_BACKEND_FAILED, OUTCOME_UNKNOWN);
		break;
	case SERVICE_NOT_SENT:
		agent_refuse_job(a, job, RESULT_BACKEND_UNREACHABLE);
		break;
	case SERVICE_LOST:
		agent_end_job(a, job, JOB_DONE,
		    lost_result(a, job, answer->conn_lost), OUTCOME_UNKNOWN);
		break;
	}
	a->schedule(a);
}

void
agent_start_service_call(struct agent *a, struct job *job)
{
	struct service_call call = {
		.method = job->args.method,
		.path = job->args.path,
		.content_type =
		    job->args.content_type[0] ? job->args.content_type : NULL,
		.request_id = job->hex,
		.body = job->args.body.body_val,
		.body_len = job->args.body.body_len,
		.timeout_us =
		    job->item.deadline_us - clock_now(a->daemon->clock),
	};

	job->service = a->service.ops->call(
	    a->service.priv, &call, on_service_answer, job);
}
