/* request_internal -- what the parts of a request share. */
#ifndef ENTRY_REQUEST_INTERNAL_H
#define ENTRY_REQUEST_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>
#include <uthash.h>

#include "common/rng.h"
#include "coordination/router.h"
#include "entry/request.h"
#include "protocol/tm_xdr.h"
#include "transport/platform_vms.h"

#define TRIED_MAX 8

struct demand;
struct event;
struct histogram;
struct prefix_map;
struct retry_budget;
struct service_index;
struct tenant_requests;

enum request_state {
	REQUEST_CHOOSING, /* no agent has it */
	REQUEST_DISPATCHED, /* sent, no verdict yet */
	REQUEST_ACCEPTED, /* the agent has it */
	REQUEST_LOST, /* sent, and the agent cannot be asked now */
};

/* A call under way for a request; outlives it if need be. */
struct request_call {
	struct request *request; /* NULL once it went on without the answer */
	int64_t sent_us;
	LIST_ENTRY(request_call) link;
};

struct request {
	struct request_table *table;
	char id[TM_ID_SIZE]; /* the last byte counts the attempts */
	char hex[2 * TM_ID_SIZE + 1];
	enum request_state state;
	bool service;
	bool may_have_run; /* an attempt was given up unsettled */
	bool withdrawn; /* past its deadline */
	bool resume_refused;
	struct tm_dispatch_args args; /* owned strings */
	int64_t started_us;
	int64_t deadline_us;
	int64_t waiting_us; /* since when no slot is usable; 0: not */
	char vm[VM_TEXT_MAX]; /* where it was sent; empty: nowhere */
	uint64_t incarnation;
	int64_t sent_us;
	struct router_prediction predicted; /* when it was sent */
	uint32_t unreported_tokens; /* counted in the peer's notes */
	int64_t heard_us; /* last word of the agent */
	char tried[TRIED_MAX][VM_TEXT_MAX];
	unsigned tried_count;
	unsigned attempts;
	unsigned pauses;
	enum result last_refusal;
	int64_t retry_after_ms;
	uint32_t next_chunk;
	struct event *deadline_timer;
	struct event *step_timer; /* meaning depends on the state */
	LIST_HEAD(, request_call) calls;
	void (*chunk)(void *, const void *, size_t);
	void (*end)(void *, const struct request_end *);
	void *ctx;
	UT_hash_handle hh;
};

/* Cancels that wait for a connection to their agent. */
struct late_cancel {
	char vm[VM_TEXT_MAX];
	uint64_t incarnation;
	char id[TM_ID_SIZE];
	int64_t expires_us;
	TAILQ_ENTRY(late_cancel) link;
};

struct request_table {
	struct entry *entry;
	struct request *requests;
	struct retry_budget *budget;
	struct prefix_map *prefixes;
	struct service_index *services;
	struct tenant_requests *tenants;
	struct demand *demand;
	struct rng rng;
	TAILQ_HEAD(, late_cancel) cancels;
	size_t cancel_count;
	uint64_t *retries;
	uint64_t *resumes;
	uint64_t *settled;
	uint64_t *budget_spent;
	struct histogram *prediction_error;
};

/* ---- request.c ---- */

int64_t request_now(const struct request *);
void request_arm(struct event *timer, int64_t us);
struct peer *request_peer(const struct request *);
/* Notes that the agent said something about the request. */
void request_heard(struct request *);
/* A context for a call on behalf of the request. */
struct request_call *request_call_begin(struct request *);
/* Frees it; NULL if the request ended or went on meanwhile. */
struct request *request_call_end(struct request_call *);
void request_fail(struct request *, enum result, enum outcome);
/* Ends with a refusal: not run, unless an attempt may have run. */
void request_refuse(struct request *, enum result);

/* ---- request_dispatch.c ---- */

/* The peer's reports hold the request now, or it is over. */
void request_reported(struct request *);
/* Feeds the measured time of a whole answer back to the predictions. */
void request_measured(struct request *);

void request_choose(struct request *);
/* The attempt did not run and will not: tries elsewhere, or refuses. */
void request_refused(struct request *, enum result);

/* ---- request_recover.c ---- */

/* The agent cannot be asked; starts the window for its return. */
void request_lose(struct request *);
/* Asks the agent what became of the request, and bars it if it never came. */
void request_settle(struct request *);
void request_resume(struct request *);
/* Nothing more will be learned from the agent. */
void request_give_up(struct request *);
/* Tells the agent, now or when it is back, that nobody waits any more. */
void request_send_cancel(struct request *);
void request_cancels_free(struct request_table *);

#endif
