/*
 * job -- one request at the agent, from admission to its remembered end.
 *
 * Chunks are kept until the job is forgotten, so that an entry whose connection
 * broke can have them sent again.
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
	JOB_QUEUED,
	JOB_RUNNING, /* given to the backend server */
	JOB_DONE, /* whole answer, or failed for good */
	JOB_NOT_RUN, /* refused or cancelled before it ran */
	JOB_BARRED, /* never seen, and must never run */
};

struct job_chunk {
	char *data;
	size_t len;
};

struct job {
	void *owner; /* cell for the agent */
	char id[TM_ID_SIZE];
	char hex[2 * TM_ID_SIZE + 1];
	enum job_state state;
	struct tm_dispatch_args args; /* owned */
	struct admission_item item;
	struct rpc_conn *conn; /* where the answer goes; NULL while lost */
	struct engine_stream *stream;
	struct service_op *service;
	struct job_chunk *chunks;
	uint32_t chunk_count;
	uint32_t chunk_capacity;
	size_t chunk_bytes;
	uint32_t tokens; /* generated so far */
	bool pinned;
	bool pause_pending; /* the engine has not confirmed that it stopped */
	bool needs_claim; /* waits for, or has, the claim of its key */
	bool claimed; /* and has it */
	char key[CLAIM_KEY_SIZE + 1];
	struct claim_op *pending_claim; /* while it waits */
	/* The end, once state is JOB_DONE or JOB_NOT_RUN. */
	enum result code;
	enum outcome outcome;
	int status;
	char content_type[TM_NAME_MAX + 1];
	uint32_t prompt_tokens;
	uint32_t retry_after_ms;
	int64_t created_us;
	int64_t ended_us;
	UT_hash_handle hh;
	TAILQ_ENTRY(job) ended_link;
};

struct job_table_options {
	const struct clock *clock;
	int64_t keep_us; /* how long an ended job is remembered */
	int64_t min_keep_us; /* at least so long, whatever the bounds below */
	size_t max_ended; /* most ended jobs remembered */
	size_t max_bytes; /* most answer bytes of ended jobs kept */
};

struct job_table *job_table_create(const struct job_table_options *);
void job_table_destroy(struct job_table *);

struct job *job_find(struct job_table *, const char id[TM_ID_SIZE]);

/* Whether so much is remembered that no new job may be taken. */
bool job_table_full(const struct job_table *);

/* Takes over the contents of args.  NULL if the id is known already. */
struct job *job_create(struct job_table *, struct tm_dispatch_args *args);

/* Remembers an id that must never run. */
void job_bar(struct job_table *, const char id[TM_ID_SIZE]);

void job_add_chunk(struct job *, const void *data, size_t len);

/* Marks the end; the job is forgotten after keep_us. */
void job_end(struct job_table *, struct job *, enum job_state, enum result,
    enum outcome);

/* Forgets what is past its time; call now and then. */
void job_table_trim(struct job_table *);

/* Whether a job that came at most age_us ago may have been forgotten. */
bool job_table_may_have_removed(const struct job_table *, uint64_t age_us);

struct job *job_next(struct job_table *, struct job *);

#endif
