/* request_internal -- types and functions shared by the request*.c files. */
#ifndef ENTRY_REQUEST_INTERNAL_H
#define ENTRY_REQUEST_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>
#include <uthash.h>

#include "common/rng.h"
#include "coordination/accounts/quota_asker.h"
#include "coordination/router.h"
#include "entry/request.h"
#include "protocol/tm_xdr.h"
#include "transport/platform_vms.h"

#define TRIED_VMS_MAX 8 /* the highest value of max_attempts */

struct crash_bar;
struct demand;
struct event;
struct histogram;
struct prefix_map;
struct retry_budget;
struct service_index;
struct tenant_requests;

enum request_state {
	REQUEST_NEW, /* its account's quota has not granted it yet */
	REQUEST_ROUTING, /* not dispatched; choosing an agent */
	REQUEST_DISPATCHED, /* waiting for the agent's verdict */
	REQUEST_ACCEPTED, /* queued or running at the agent */
	REQUEST_AGENT_LOST, /* dispatched, but the agent does not answer */
};

/* A pending RPC call for a request; it may outlive the request. */
struct request_call {
	struct request *request; /* NULL: ended, or at another attempt */
	int64_t sent_us;
	LIST_ENTRY(request_call) link;
};

struct request {
	struct request_table *table;
	char id[TM_ID_SIZE]; /* the last byte numbers the attempt */
	char hex[2 * TM_ID_SIZE + 1]; /* id of the first attempt */
	enum request_state state;
	bool service;
	bool may_have_run; /* an earlier attempt had an unknown outcome */
	bool withdrawn; /* the deadline has passed */
	bool resume_refused; /* by the current agent */
	struct tm_dispatch_args args; /* owns its strings */
	unsigned backend_ends; /* backend servers that it was lost with */
	uint64_t backend_end; /* the agent's number of the newest end */
	uint64_t job; /* see crash_bar_job(); 0: not computed yet */
	int64_t started_us;
	int64_t deadline_us;
	int64_t slot_wait_since_us; /* no usable agent since then; 0: no wait */
	char vm[VM_TEXT_MAX]; /* of the agent; empty: not dispatched */
	uint64_t incarnation; /* of the agent */
	int64_t sent_us; /* time of the current attempt's dispatch */
	struct router_prediction predicted; /* at the dispatch */
	uint32_t unreported_tokens; /* its share in the peer's stats */
	int64_t last_message_us; /* from the agent about this request */
	char tried_vms[TRIED_VMS_MAX][VM_TEXT_MAX];
	unsigned tried_count; /* since the last wait for a slot */
	unsigned attempts; /* dispatches so far */
	unsigned slot_waits; /* sets the length of the next wait */
	enum result last_refusal; /* RESULT_OK: none yet */
	int64_t retry_after_ms; /* of the last refusal; 0: none */
	/* The quota of its account, see request_quota.c: */
	struct quota_search quota_search;
	uint64_t quota_host; /* of the keeper that was asked last */
	double quota_amount;
	double quota_taken; /* of that keeper; 0: nothing */
	uint32_t next_chunk; /* index of the next chunk to pass on */
	struct event *deadline_timer;
	struct event *step_timer; /* per state, see on_step() */
	LIST_HEAD(, request_call) calls;
	void (*on_chunk)(void *, const void *, size_t);
	void (*on_end)(void *, const struct request_result *);
	void *ctx;
	UT_hash_handle hh;
};

/* A cancel that could not be sent; goes out when its agent reconnects. */
struct pending_cancel {
	char vm[VM_TEXT_MAX];
	uint64_t incarnation;
	char id[TM_ID_SIZE];
	int64_t expires_us;
	TAILQ_ENTRY(pending_cancel) link;
};

struct request_table {
	struct entry *entry;
	struct request *requests;
	struct crash_bar *crash_bar;
	struct retry_budget *budget;
	struct prefix_map *prefixes;
	struct service_index *services;
	struct tenant_requests *tenants;
	struct quota_asker *quota_asker;
	int64_t quota_noted_us; /* when the agents were last listed */
	struct demand *demand;
	struct rng rng;
	TAILQ_HEAD(, pending_cancel) pending_cancels;
	size_t pending_cancel_count;
	/* Metrics. */
	uint64_t *retries;
	uint64_t *resumes;
	uint64_t *settlements;
	uint64_t *retry_budget_spent;
	struct histogram *prediction_error;
};

/* ---- request.c ---- */

int64_t request_now(const struct request *);
/* Sets the timer to fire after us, or at once if that is negative. */
void request_arm_timer(struct event *timer, int64_t us);
/* The agent's peer; NULL if not dispatched or the peer was removed. */
struct peer *request_peer(const struct request *);
/* Records the time of a message from the agent about the request. */
void request_message_received(struct request *);
/* The hash of the request's content, as of crash_bar_job(). */
uint64_t request_job(struct request *);
/* Creates the callback context of an RPC call for the request. */
struct request_call *request_call_begin(struct request *);
/*
 * Frees the context.  Returns its request, or NULL if the request has ended or
 * is at another attempt, so that the call's result no longer matters.
 */
struct request *request_call_end(struct request_call *);
/* Ends the request with an error. */
void request_fail(struct request *, enum result, enum outcome);
/* Ends it as not run, or with unknown outcome if an attempt may have run. */
void request_refuse(struct request *, enum result);

/* ---- request_quota.c ---- */

/* Routes a new request once its account's quota grants it, or refuses it. */
void request_take_quota(struct request *);
/* The request has not run: returns what was taken for it. */
void request_return_quota(struct request *);

/* ---- request_dispatch.c ---- */

/*
 * Takes the request's tokens out of the peer's unreported tokens: a load report
 * now includes the request, or it left the peer.
 */
void request_clear_unreported(struct request *);
/* Corrects the peer's predictions by the measured time of a full answer. */
void request_record_duration(struct request *);

/* Dispatches to the best agent, waits for a usable one, or refuses. */
void request_route(struct request *);
/*
 * Ends an attempt that did not run and never will, or whose work may be
 * repeated: routes the request again, or ends it.
 */
void request_attempt_refused(struct request *, enum result);

/* ---- request_recover.c ---- */

/* Marks the agent as unreachable; waits resume_window_ms for it at most. */
void request_agent_lost(struct request *);
/*
 * Queries the agent for the state of the request.  A request that never reached
 * the agent is barred there: a late dispatch of it will not run.
 */
void request_settle(struct request *);
/* Asks the agent to send the chunks again from next_chunk on. */
void request_resume(struct request *);
/* Ends an attempt whose outcome cannot be learned from the agent any more. */
void request_abandon(struct request *);
/* Cancels the work at the agent, now or when it reconnects. */
void request_send_cancel(struct request *);
void request_pending_cancels_free(struct request_table *);

#endif
