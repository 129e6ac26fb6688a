/*
 * job -- the agent's table of requests, by request id.
 *
 * A job exists from the dispatch of its request until some time after its end,
 * with the answer's chunks: an entry that lost its connection can resume the
 * answer, and learn whether the request ran.  An id may also be barred before
 * its dispatch arrives, so that a late dispatch does not run.  The number and
 * the bytes of ended jobs are limited.
 */
#ifndef AGENT_JOB_H
#define AGENT_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "coordination/admission.h"
#include "protocol/result.h"
#include "protocol/tm_xdr.h"
#include "state/claims.h"

struct claim_op;
struct clock;
struct engine_stream;
struct event_base;
struct job_table;
struct rpc_conn;
struct service_op;

enum job_state {
	JOB_QUEUED, /* waiting to run, or preempted */
	JOB_RUNNING, /* sent to the backend server */
	JOB_DONE, /* answered, or failed and may have run */
	JOB_NOT_RUN, /* refused or cancelled before it ran */
	JOB_BARRED, /* not dispatched yet, and must never run */
};

struct job_chunk {
	char *data;
	size_t len;
};

struct job {
	void *owner; /* for the agent; the table does not use it */
	char id[TM_ID_SIZE];
	char hex[2 * TM_ID_SIZE + 1]; /* the id, for logs and the backend */
	enum job_state state;
	struct tm_dispatch_args args; /* owns its strings; empty if barred */
	struct admission_item item;
	struct rpc_conn *conn; /* to the entry; NULL: lost or cancelled */
	struct engine_stream *stream; /* NULL: not running on the engine */
	struct service_op *service; /* NULL: no call to the service */
	struct job_chunk *chunks;
	uint32_t chunk_count;
	uint32_t chunk_capacity;
	size_t chunk_bytes; /* sum of the chunks */
	uint32_t tokens; /* generated so far */
	bool pinned; /* in the loader, against unloading */
	bool was_started; /* given to the backend server, and stopped there */
	bool pause_pending; /* preempted; the engine has not confirmed it */
	bool needs_claim; /* must claim its idempotency key to run */
	bool claimed; /* holds the claim of its key */
	char key[CLAIM_KEY_LEN + 1]; /* if needs_claim */
	struct claim_op *pending_claim; /* waits for the claim's verdict */
	/* The result, once state is JOB_DONE or JOB_NOT_RUN. */
	enum result code;
	enum outcome outcome;
	int status; /* HTTP status */
	char content_type[TM_NAME_MAX + 1]; /* models: finish reason */
	uint32_t prompt_tokens;
	uint32_t retry_after_ms; /* 0: none */
	uint64_t backend_end; /* which one; set with RESULT_BACKEND_ENDED */
	int64_t created_us;
	int64_t ended_us;
	UT_hash_handle hh;
	TAILQ_ENTRY(job) ended_link;
};

struct job_table_options {
	const struct clock *clock;
	int64_t keep_us; /* time for which an ended job is kept */
	int64_t min_keep_us; /* even if the limits below are exceeded */
	size_t max_ended; /* ended jobs kept */
	size_t max_bytes; /* of the chunks of ended jobs */
};

struct job_table *job_table_create(const struct job_table_options *);
void job_table_destroy(struct job_table *);

/* NULL if the table has no job with the id. */
struct job *job_find(struct job_table *, const char id[TM_ID_SIZE]);

/*
 * Whether new jobs must be refused, because ended jobs, which are kept for
 * min_keep_us at least, use more than twice max_ended or max_bytes.
 */
bool job_table_full(const struct job_table *);

/*
 * Creates a queued job and moves the contents of args into it.  Returns NULL if
 * the id is in the table already.
 */
struct job *job_create(struct job_table *, struct tm_dispatch_args *args);

/* Adds an id that must never run; no effect if the id is in the table. */
void job_bar(struct job_table *, const char id[TM_ID_SIZE]);

/*
 * Whether a job that waits, or that the backend server has just refused, may
 * have run in part.
 */
bool job_may_have_run(const struct job *);

/* Appends a copy of a part of the answer. */
void job_add_chunk(struct job *, const void *data, size_t len);

/* Records the result; no effect on a job that has ended. */
void job_end(struct job_table *, struct job *, enum job_state, enum result,
    enum outcome);

/* Removes ended jobs past keep_us or beyond the limits; call regularly. */
void job_table_trim(struct job_table *);

/* Whether a job created at most age_us ago may have been removed. */
bool job_table_may_have_removed(const struct job_table *, uint64_t age_us);

/* Iterates over all jobs; pass NULL to start. */
struct job *job_next(struct job_table *, struct job *);

#endif
