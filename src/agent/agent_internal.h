/* agent_internal -- types and functions shared by the files of the agent. */
#ifndef AGENT_AGENT_INTERNAL_H
#define AGENT_AGENT_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "agent/job.h"
#include "common/clock.h"
#include "coordination/daemon.h"
#include "transport/engine.h"
#include "transport/rpc.h"
#include "transport/service.h"

struct admission;
struct agent_permit;
struct claim_writer;
struct daemon_conns;
struct event;
struct histogram;
struct http_server;
struct idle_policy;
struct loader;
struct loader_request;
struct quota_meter;
struct rpc_conn;
struct tm_load_report;

/* Longest wait of a dispatch for the versions of state that its entry has. */
#define AGENT_CATCH_UP_TIMEOUT_US (2 * USEC_PER_SEC)

/* Used until the engine has reported its maximum and a rate is measured. */
#define DEFAULT_MAX_BATCH 8 /* requests running at once */
#define DEFAULT_TOKENS_PER_SEC 50 /* of one request */

/* Times in ms, sizes in bytes; see the option table in agent.c. */
struct agent_settings {
	struct daemon_settings daemon;
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
	 * agent_settle_claim() and agent_schedule(), set by agent.c.  They keep
	 * the calls between files in one direction: dispatch, idempotency,
	 * schedule, execute, answer.
	 */
	void (*settle_claim)(struct agent *, struct job *);
	void (*schedule)(struct agent *);
	struct agent_settings settings;
	const char *path; /* of the settings file */
	struct daemon *daemon;
	struct engine_client engine; /* unset beside a plain service */
	struct service_client service; /* unset beside a model engine */
	struct loader *loader; /* NULL beside a plain service */
	struct admission *admission;
	struct job_table *jobs;
	struct daemon_conns *daemon_conns;
	struct idle_policy *idle;
	int64_t next_idle_review_us;
	TAILQ_HEAD(, agent_permit) permits;
	struct quota_meter *quota_meter;
	struct claim_writer *claims; /* NULL beside a model engine */
	struct http_server *http;
	struct event *tick_timer;
	uint64_t report_sequence; /* of the last load report */
	uint64_t reported_digest; /* see agent_report_changes() */
	int64_t leaving_since_us; /* 0: not leaving */
	uint64_t backend_ends; /* of the backend server, as far as was seen */
	int64_t backend_end_us; /* when a job was last lost with it */
	int64_t started_us;
	bool was_isolated; /* at the last check */
	/* Metrics. */
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

/*
 * Callbacks of struct daemon_options.  The first fills in the queue, the memory
 * and the state of each model that has a slot here; the caller has cleared the
 * report and set incarnation and leaving.
 */
void agent_fill_load_report(void *agent, struct tm_load_report *);
void agent_free_load_report(void *agent, struct tm_load_report *);
/*
 * Sends a load report on all connections if the models, their states or the
 * engine's total memory have changed since the last one.
 */
void agent_report_changes(struct agent *);
/* Fills a report without the models, for replies and finished requests. */
void agent_fill_load_summary(struct agent *, struct tm_load_report *);

/* ---- answer.c: messages to the entry of a job ---- */

/* No effect without a connection: the entry resumes the answer later. */
void agent_send_chunk(struct job *, uint32_t index);
void agent_send_finish(struct agent *, struct job *);
/* Ends a queued or running job and sends the result to its entry. */
void agent_end_job(
    struct agent *, struct job *, enum job_state, enum result, enum outcome);
/*
 * Ends a job that waits, or that its backend server has refused: as not run
 * with the result, or with an unknown outcome if job_may_have_run().
 */
void agent_refuse_job(struct agent *, struct job *, enum result);

/* ---- execute.c: runs a job on the backend server ---- */

/* Starts generation, or resumes it after the chunks that the job has. */
void agent_start_generation(struct agent *, struct job *);
void agent_start_service_call(struct agent *, struct job *);
/* Stops a preempted job; it runs again once the engine confirms the stop. */
void agent_pause_generation(struct agent *, struct job *);
/* Cancels a job running on the engine and ends it with unknown outcome. */
void agent_cancel_generation(struct agent *, struct job *, enum result);

/* ---- schedule.c: the queue, from admission to execution ---- */

/* Ends jobs that miss their deadline and starts those that can run now. */
void agent_schedule(struct agent *);
/*
 * Requests the loads that queued jobs need, and refuses the jobs whose model
 * cannot be loaded.
 */
void agent_request_loads(struct agent *);
/* Requests the load that one queued job needs. */
void agent_request_job_load(struct agent *, struct job *);
/* Refuses the jobs that admission removed from a full queue for others. */
void agent_refuse_displaced(struct agent *);
/* Sets the queue's limits by the engine, the declarations and the settings. */
void agent_update_limits(struct agent *);

/* ---- idempotency.c: requests with an idempotency key ---- */

/* Returns 0 or -1. */
int agent_create_claim_writer(struct agent *);
/* Claims the key of a queued job; the job must not run before it is claimed. */
void agent_claim_key(struct agent *, struct job *);
/*
 * Call when a job with needs_claim has ended.  Abandons a pending claim;
 * appends to the log how a job ended that had claimed its key.
 */
void agent_settle_claim(struct agent *, struct job *);

/* ---- isolation.c: an agent without contact to the log and all peers ---- */

/*
 * Whether there has been no contact for so long that the holder may treat this
 * VM as lost and assign its slots to others.
 */
bool agent_is_isolated(const struct agent *);
/*
 * Returns whether the agent is isolated.  If so, it ends the jobs that can be
 * stopped, so that the models can be unloaded.
 */
bool agent_stop_if_isolated(struct agent *);

/* ---- agent_permits.c: permits to load from the weight store ---- */

/* Callbacks of the loader; a permit is answered by loader_permit_reply(). */
void agent_request_permit(
    void *agent, const struct loader_request *, bool adapter);
void agent_return_permit(void *agent, const char *model, const char *adapter);
/* Lets the loader request again the permits whose retry time has come. */
void agent_retry_permits(struct agent *);
void agent_free_permits(struct agent *);

/* ---- agent_idle.c: unloads idle models, preloads others ---- */

void agent_create_idle(struct agent *);
/* Records a use of the job's model and adapter. */
void agent_record_use(struct agent *, const struct job *);
/* Unloads or preloads models, at most every review_ms. */
void agent_review_idle(struct agent *);

/* ---- dispatch.c: RPC handlers for entries and the holder ---- */

extern const struct rpc_handler agent_handlers[];

/* ---- agent_http.c ---- */

/* Returns 0, or -1 if it cannot listen on the address. */
int agent_create_http(struct agent *);

#endif
