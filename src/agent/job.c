#include "agent/job.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/rng.h"

struct job_table {
	struct job_table_options opts;
	struct job *jobs;
	TAILQ_HEAD(, job) ended; /* in order of their end */
	size_t ended_count;
	size_t ended_bytes; /* of their chunks */
	int64_t newest_removed_us; /* latest creation time of removed jobs */
};

struct job_table *
job_table_create(const struct job_table_options *opts)
{
	struct job_table *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->opts = *opts;
	TAILQ_INIT(&t->ended);
	return t;
}

static void
free_chunks(struct job *job)
{
	for (uint32_t i = 0; i < job->chunk_count; i++)
		free(job->chunks[i].data);
	free(job->chunks);
	job->chunks = NULL;
	job->chunk_count = 0;
	job->chunk_bytes = 0;
}

static void
remove_job(struct job_table *t, struct job *job)
{
	if (job->state > JOB_RUNNING) {
		TAILQ_REMOVE(&t->ended, job, ended_link);
		t->ended_count--;
		t->ended_bytes -= job->chunk_bytes;
		if (job->created_us > t->newest_removed_us)
			t->newest_removed_us = job->created_us;
	}
	HASH_DEL(t->jobs, job);
	free_chunks(job);
	xdr_free((xdrproc_t)xdr_tm_dispatch_args, (char *)&job->args);
	free(job);
}

void
job_table_destroy(struct job_table *t)
{
	struct job *job, *next;

	if (t == NULL)
		return;
	HASH_ITER(hh, t->jobs, job, next)
		remove_job(t, job);
	free(t);
}

struct job *
job_find(struct job_table *t, const char id[TM_ID_SIZE])
{
	struct job *job;

	HASH_FIND(hh, t->jobs, id, TM_ID_SIZE, job);
	return job;
}

static struct job *
add_job(struct job_table *t, const char id[TM_ID_SIZE])
{
	struct job *job = calloc(1, sizeof(*job));

	if (job == NULL)
		abort();
	memcpy(job->id, id, TM_ID_SIZE);
	hex_encode(job->hex, id, TM_ID_SIZE);
	job->created_us = clock_now(t->opts.clock);
	HASH_ADD(hh, t->jobs, id, TM_ID_SIZE, job);
	return job;
}

struct job *
job_create(struct job_table *t, struct tm_dispatch_args *args)
{
	struct job *job;

	if (job_find(t, args->request) != NULL)
		return NULL;
	job = add_job(t, args->request);
	job->args = *args;
	memset(args, 0, sizeof(*args));
	return job;
}

static void
record_end(struct job_table *t, struct job *job, enum job_state state)
{
	job->state = state;
	job->ended_us = clock_now(t->opts.clock);
	TAILQ_INSERT_TAIL(&t->ended, job, ended_link);
	t->ended_count++;
	t->ended_bytes += job->chunk_bytes;
}

void
job_bar(struct job_table *t, const char id[TM_ID_SIZE])
{
	if (job_find(t, id) == NULL)
		record_end(t, add_job(t, id), JOB_BARRED);
}

bool
job_may_have_run(const struct job *job)
{
	return job->was_started || job->chunk_count > 0;
}

void
job_add_chunk(struct job *job, const void *data, size_t len)
{
	struct job_chunk *chunk;

	if (job->chunk_count == job->chunk_capacity) {
		job->chunk_capacity =
		    job->chunk_capacity == 0 ? 16 : 2 * job->chunk_capacity;
		job->chunks = realloc(
		    job->chunks, job->chunk_capacity * sizeof(*job->chunks));
		if (job->chunks == NULL)
			abort();
	}
	chunk = &job->chunks[job->chunk_count++];
	chunk->data = malloc(len + 1);
	if (chunk->data == NULL)
		abort();
	memcpy(chunk->data, data, len);
	chunk->len = len;
	job->chunk_bytes += len;
}

void
job_end(struct job_table *t, struct job *job, enum job_state state,
    enum result code, enum outcome outcome)
{
	if (job->state > JOB_RUNNING)
		return;
	job->code = code;
	job->outcome = outcome;
	record_end(t, job, state);
}

void
job_table_trim(struct job_table *t)
{
	int64_t now = clock_now(t->opts.clock);
	int64_t oldest = now - t->opts.keep_us;
	struct job *job;

	while ((job = TAILQ_FIRST(&t->ended)) != NULL) {
		if (job->ended_us > now - t->opts.min_keep_us)
			return;
		if (job->ended_us > oldest &&
		    t->ended_count <= t->opts.max_ended &&
		    t->ended_bytes <= t->opts.max_bytes)
			return;
		remove_job(t, job);
	}
}

bool
job_table_may_have_removed(const struct job_table *t, uint64_t age_us)
{
	int64_t now = clock_now(t->opts.clock);

	return age_us >= (uint64_t)now ||
	       t->newest_removed_us >= now - (int64_t)age_us;
}

bool
job_table_full(const struct job_table *t)
{
	return t->ended_count > 2 * t->opts.max_ended ||
	       t->ended_bytes > 2 * t->opts.max_bytes;
}

struct job *
job_next(struct job_table *t, struct job *job)
{
	return job == NULL ? t->jobs : job->hh.next;
}
