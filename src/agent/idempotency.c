/*
 * Requests to a plain service with an idempotency key.
 *
 * A job claims its key in the log before it runs.  If the key was claimed
 * before, the job does not run and its answer is the one that the log has, if
 * any.  How the claiming job ended is appended to the log.
 */
#include "agent/agent_internal.h"

#include <string.h>

#include <bsd/string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "coordination/claim_writer.h"

int
agent_create_claim_writer(struct agent *a)
{
	const struct agent_settings *s = &a->settings;
	struct claim_writer_options opts = {
		.base = a->daemon->base,
		.clock = a->daemon->clock,
		.logger = a->daemon->logger,
		.metrics = a->daemon->metrics,
		.log = a->daemon->log,
		.incarnation = a->daemon->incarnation,
		.partitions = (uint32_t)s->claim_partitions,
		.poll_us = s->daemon.log_poll_ms * USEC_PER_MSEC,
		.retry_us = s->daemon.log_retry_ms * USEC_PER_MSEC,
		.wait_us = s->claim_wait_ms * USEC_PER_MSEC,
		.lifetime_us = s->claim_lifetime_ms * USEC_PER_MSEC,
		.max_keys = (size_t)s->max_claim_keys,
		.max_answer_bytes = (size_t)s->max_claim_answer_bytes,
	};

	a->claims = claim_writer_create(&opts);
	return a->claims == NULL ? -1 : 0;
}

/* Requests that use one key must agree in this digest. */
static uint64_t
request_digest(const struct tm_dispatch_args *args)
{
	const char *texts[] = { args->method, args->path, args->content_type };
	uint64_t digest = 0;

	for (size_t i = 0; i < 3; i++)
		digest =
		    XXH3_64bits_withSeed(texts[i], strlen(texts[i]), digest);
	return XXH3_64bits_withSeed(
	    args->body.body_val, args->body.body_len, digest);
}

/* Ends the job with the answer that was recorded for its key. */
static void
replay_answer(struct agent *a, struct job *job, const struct claim *claim)
{
	job->status = claim->status;
	strlcpy(
	    job->content_type, claim->content_type, sizeof(job->content_type));
	if (claim->answer_len > 0) {
		job_add_chunk(job, claim->answer, claim->answer_len);
		agent_send_chunk(job, 0);
	}
	agent_end_job(a, job, JOB_DONE, RESULT_OK, OUTCOME_ANSWERED);
}

/* Without a claim, RESULT_OK means that the job holds the key and may run. */
static void
on_verdict(void *ctx, enum result code, const struct claim *claim)
{
	struct job *job = ctx;
	struct agent *a = job->owner;
	enum outcome outcome = result_info(code)->outcome;

	job->pending_claim = NULL;
	if (code == RESULT_OK && claim == NULL) {
		job->claimed = true;
		agent_schedule(a);
		return;
	}
	/* Older releases kept failures of the service as answers. */
	if (code == RESULT_OK && result_status_promises(claim->status))
		agent_end_job(
		    a, job, JOB_DONE, RESULT_BACKEND_FAILED, OUTCOME_UNKNOWN);
	else if (code == RESULT_OK)
		replay_answer(a, job, claim);
	else
		agent_end_job(a, job,
		    outcome == OUTCOME_NOT_RUN ? JOB_NOT_RUN : JOB_DONE, code,
		    outcome);
}

void
agent_claim_key(struct agent *a, struct job *job)
{
	struct claim_op *op;

	op = claim_take(a->claims, job->key, job->id,
	    request_digest(&job->args), on_verdict, job);
	if (op != NULL) /* NULL: on_verdict() has run */
		job->pending_claim = op;
}

void
agent_settle_claim(struct agent *a, struct job *job)
{
	if (job->pending_claim != NULL) {
		claim_abandon(a->claims, job->pending_claim);
		job->pending_claim = NULL;
	}
	if (!job->claimed)
		return;
	job->claimed = false;
	if (job->outcome == OUTCOME_NOT_RUN)
		claim_free_key(a->claims, job->key, job->id);
	else if (job->outcome == OUTCOME_ANSWERED)
		claim_finish(a->claims, job->key, job->id, job->status,
		    job->content_type,
		    job->chunk_count > 0 ? job->chunks[0].data : "",
		    job->chunk_count > 0 ? job->chunks[0].len : 0);
	/* With an unknown outcome the key stays claimed. */
}
