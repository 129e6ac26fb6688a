/*
 * agent_internal -- what the parts of the agent share.
 */
#ifndef AGENT_AGENT_INTERNAL_H
#define AGENT_AGENT_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "agent/job.h"
#include "common/clock.h"
#include "coordination/node.h"
#include "transport/engine.h"
#include "transport/rpc.h"
#include "transport/service.h"

struct admission;
struct agent_permit;
struct claim_writer;
struct event;
struct histogram;
struct http_server;
struct idle_policy;
struct daemon_conns;
struct loader;
struct loader_want;
struct rpc_conn;
struct tm_load_report;

/* Longest wait for the state that a dispatch was decided under. */
#define AGENT_CATCH_UP_TIMEOUT_US (2 * USEC_PER_SEC)

/* Priors until the engine has told its own. */
#define DEFAULT_MAX_BATCH 8
#define DEFAULT_TOKENS_PER_SEC 50

struct agent_settings {
	struct node_settings node;
	char *engine;
	char *service;
	char *service_name;
	int64_t order_timeout_ms;
	int64_t state_refresh_ms;
	int64_t order_linger_ms;
	int64_t isolation_timeout_ms;
	int64_t max_queued;
	int64_t max_queued_tokens;
	int64_t max_offline_loads;
	int64_t max_offline_adapter_loads;
	int64_t idle_review_ms;
	int64_t idle_min_keep_ms;
	int64_t adapter_load_ms;
	int64_t claim_partitions;
	int64_t claim_wait_ms;
	int64_t claim_lifetime_ms;
	int64_t max_claim_keys;
	int64_t max_claim_answer_bytes;
	int64_t keep_answers_ms;
	int64_t max_kept_answers;
	int64_t max_kept_answer_bytes;
};

struct agent {
	/*
	 * Set by agent.c, so that the files of a job's way use one another in
	 * one direction only: dispatch, keyed, pump, execute, answer.
	 */
	void (*settle_claim)(struct agent *, struct job *);
	void (*schedule)(struct agent *);
	struct agent_settings settings;
	const char *path;
	struct node *node;
	struct engine_client engine;
	struct service_client service;
	struct loader *loader; /* NULL beside a plain service */
	struct admission *admission;
	struct job_table *jobs;
	struct daemon_conns *daemon_conns;
	struct idle_policy *idle;
	int64_t next_idle_review_us;
	TAILQ_HEAD(, agent_permit) permits;
	struct claim_writer *claims; /* NULL beside a model engine */
	struct http_server *http;
	struct event *tick_timer;
	uint64_t report_sequence;
	uint64_t reported_digest; /* of the replicas told last */
	int64_t leaving_since_us;
	int64_t started_us;
	bool was_isolated;
	uint64_t *accepted;
	uint64_t *refused;
	uint64_t *finished;
	uint64_t *preempted;
	uint64_t *holder_permits;
	uint64_t *offline_permits;
	uint64_t *idle_unloads;
	uint64_t *warm_loads;
	struct histogram *queue_wait;
};

/* ---- report.c: load reports ---- */

/* Callbacks of the node: fill and free the part that the agent knows. */
void agent_fill_load_report(void *agent, struct tm_load_report *);
void agent_free_load_report(void *agent, struct tm_load_report *);
/* A whole report, to ride on a reply; free with agent_free_load_report(). */
/* Tells the entries when replicas or their memory changed. */
void agent_report_changes(struct agent *);
/* Without the models: for the answers of calls. */
void agent_fill_load_summary(struct agent *, struct tm_load_report *);

/* ---- answer.c: what goes back to the entry ---- */

void agent_send_chunk(struct job *, uint32_t index);
void agent_send_finish(struct agent *, struct job *);
/* Ends a queued or running job and tells its entry. */
void agent_end_job(
    struct agent *, struct job *, enum job_state, enum result, enum outcome);
/* Ends a job that cannot go on: it may have run in part before a pause. */
void agent_refuse_job(struct agent *, struct job *, enum result);

/* ---- execute.c: runs a job on the backend server ---- */

void agent_start_generation(struct agent *, struct job *);
void agent_start_service_call(struct agent *, struct job *);
/* Stops a job that waits in the queue again. */
void agent_pause_generation(struct agent *, struct job *);
/* Ends a running job on the engine, at the caller's wish or the deadline. */
void agent_cancel_generation(struct agent *, struct job *, enum result);

/* ---- pump.c: from the queue to the backend server ---- */

/* Refuses what is past its deadline, and starts what can run now. */
void agent_schedule(struct agent *);
/* Refuses what waits for a model that cannot be had; begins other loads. */
void agent_request_loads(struct agent *);
/* Begins the load that a queued job needs. */
void agent_request_load(struct agent *, struct job *);
/* Ends jobs that gave way to others in a full queue. */
void agent_refuse_displaced(struct agent *);
/* Takes the bounds from the engine, the declarations and the settings. */
void agent_update_limits(struct agent *);

/* ---- keyed.c: work with an idempotency key ---- */

int agent_create_claim_writer(struct agent *);
/* Claims the key of a queued job, which must not run before. */
void agent_claim_key(struct agent *, struct job *);
/* Tells the log what became of an ended job's key. */
void agent_settle_claim(struct agent *, struct job *);

/* ---- cut_off.c: an agent without contact ---- */

/* Whether this VM may by now be taken for lost and its slots moved. */
bool agent_is_isolated(const struct agent *);
/* Ends all work if cut off, so that all can be unloaded; returns true then. */
bool agent_stop_if_isolated(struct agent *);

/* ---- agent_permits.c: leave to load from the weight store ---- */

/* Callbacks of the loader. */
void agent_request_permit(
    void *agent, const struct loader_want *, bool adapter);
void agent_return_permit(void *agent, const char *model, const char *adapter);
/* Lets the loader ask again for what was refused. */
void agent_retry_permits(struct agent *);
void agent_free_permits(struct agent *);

/* ---- agent_idle.c: unloads what is idle, loads ahead ---- */

void agent_create_idle(struct agent *);
void agent_record_use(struct agent *, const struct job *);
void agent_review_idle(struct agent *);

/* ---- dispatch.c: calls from entries and the holder ---- */

extern const struct rpc_handler agent_handlers[];

/* ---- agent_http.c ---- */

/* Returns 0, or -1 when the address cannot be listened on. */
int agent_create_http(struct agent *);

#endif
