/*
 * exchange_internal -- state and functions that the exchange_*.c files share.
 */
#ifndef GATEWAY_EXCHANGE_INTERNAL_H
#define GATEWAY_EXCHANGE_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <bsd/sys/queue.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "common/clock.h"
#include "coordination/accounts/quota_asker.h"
#include "coordination/outlier.h"
#include "gateway/gateway_internal.h"
#include "protocol/fleet.h"
#include "protocol/result.h"

#define EXCHANGE_TRIED_MAX 8 /* replicas; also failed connections */
/* Of a stream: held or passed on until its next event is complete. */
#define EXCHANGE_EVENT_MAX_BYTES (1024 * 1024)

struct account;
struct backend;
struct caller;
struct deployment;
struct evbuffer;
struct http_call;
struct http_listed_fields;
struct route;

/* Times are of the process's clock. */
struct exchange {
	struct gateway *gateway;
	struct caller *caller;
	struct deployment *deployment; /* that routed it; NULL: none yet */
	const struct route *route;
	const struct account *account; /* of the deployment; NULL: none */
	const char *service; /* picked from the route's targets */
	struct request_params params;
	const void *body; /* of the caller's request, which outlives this */
	size_t body_len;
	int64_t arrived_us;
	int64_t routed_us;
	int64_t deadline_us;
	struct event *deadline_timer;
	struct event *silence_timer; /* retries if the replica sends nothing */
	bool waiting; /* for a replica to be listed, or for a load */
	int64_t selected_us; /* when a replica was last selected */
	int64_t load_request_us; /* when a load was last requested; 0: never */
	uint64_t load_replica; /* id hash of where it was requested */

	/* The account's quota, see quotas.h: */
	struct quota_search quota_search;
	struct rpc_conn *quota_conn; /* has a pending TM_QUOTA_TAKE, or NULL */
	uint64_t quota_host; /* of the keeper that was asked last */
	double quota_taken; /* of it; 0: nothing */
	bool quota_waits; /* no keeper is reachable yet */

	/* The call in flight: */
	struct backend *backend; /* NULL: none */
	struct http_call *call; /* NULL: not sent yet */
	struct rpc_conn *prefill_conn; /* has a pending TM_READ call, or NULL */
	int64_t permit_asked_us; /* only if prefill_conn */
	uint64_t prefill_id; /* of the permit, asked for or held; 0: none */
	struct rpc_conn *limit_conn; /* has a pending TM_LIMIT_TAKE, or NULL */
	struct event *limit_timer; /* until limit_at_us; NULL: never needed */
	bool limit_granted; /* it may be sent from limit_at_us on */
	int64_t limit_at_us;
	double limit_per_s; /* the replica's limit at the grant */
	int64_t sent_us;
	int64_t predicted_us; /* time to the first token */
	uint32_t pending_tokens; /* its part of backend->pending_tokens */
	int code; /* HTTP status of the answer; 0: none yet */
	int64_t first_us; /* from arrival to the first event; 0: none yet */
	int64_t last_event_us; /* when the newest event came */
	int64_t max_gap_us; /* longest pause between events */
	bool ended_by_close; /* the last answer, see struct http_response */
	unsigned checks; /* connections tried for replica_lives */
	bool replica_lives; /* it accepted a connection after ended_by_close */
	size_t unfinished; /* its bytes after the last complete event */
	bool has_event; /* it has a complete event */
	size_t since_event; /* bytes passed on since its last event */
	struct evkeyvalq headers; /* of the answer that the caller gets */
	size_t headers_held; /* memory of them, counted in answer_quota */
	struct answer_meta meta;

	unsigned attempts; /* times sent, without failed connections */
	unsigned unreachable; /* failed connections */
	bool may_have_run;
	bool refused; /* it has not run, and will not */
	bool relaying; /* the answer is passed on event by event */
	bool response_begun; /* the caller has the answer's headers */
	bool has_last_event;
	uint64_t last_event_id; /* id of the newest event the caller has */
	uint64_t tried[EXCHANGE_TRIED_MAX]; /* id hashes of replicas */
	unsigned tried_count;
	/* Id hashes of the replicas that the request was sent to. */
	uint64_t sent_to[EXCHANGE_TRIED_MAX];
	unsigned sent_count; /* may be larger than the list */
	/* Of the last replica that refused it as not loaded; 0: none. */
	uint64_t unloaded;
	TAILQ_ENTRY(exchange) link;
};

/* ---- exchange.c ---- */

/*
 * Selects a replica, and sends the request there, waits for a load, or refuses
 * it.  May free the exchange.
 */
void exchange_dispatch(struct exchange *);
/* Whether a replica that was not tried can run the request now. */
bool exchange_has_alternative(struct exchange *);
/*
 * The pause after which callers abandon a stream of the route, also before it
 * begins.
 */
int64_t exchange_abandon_us(const struct route *);
/*
 * Whether the request can end before a stopping gateway must.  Otherwise it is
 * refused, which frees the exchange.
 */
bool exchange_passes_stop(struct exchange *);
/*
 * Whether the request may be sent as far as crash_guard knows.  Otherwise it is
 * refused, which frees the exchange, or waits for a trial without a replica.
 */
bool exchange_passes_guard(struct exchange *);
/* Computes params.whole unless that is done. */
void exchange_identify(struct exchange *);
/* Time until the deadline; negative once it has passed. */
int64_t exchange_left_us(const struct exchange *);
/* Rank of the request: its account's goes before its route's; 0 is first. */
unsigned exchange_rank(const struct exchange *);

/* Each of the following frees the exchange. */

void exchange_on_disconnect(void *exchange); /* of the caller */
void exchange_on_deadline(struct exchange *);

/*
 * Answers that the request was not run.  If it may have run, or its response
 * has begun, it fails with RESULT_OUTCOME_UNKNOWN instead.  retry_after_us: for
 * Retry-After, which only a 503 or 429 has, before jitter and the limit by the
 * deadline.
 */
void exchange_refuse(
    struct exchange *, enum result, const char *why, int64_t retry_after_us);
/* Answers with the error, or aborts a response that has begun. */
void exchange_fail(struct exchange *, enum result, const char *why);
/* Counts and logs a complete response; why: what kind it was, for the log. */
void exchange_finish(struct exchange *, const char *why);

/* ---- exchange_send.c ---- */

/* With less time left a request gets no retry and no prefill permit. */
#define SEND_MIN_US (5 * USEC_PER_MSEC)

/*
 * Sends the request to the replica; for a long prompt, asks its sidecar for a
 * prefill permit first.  tokens: those of the prompt to prefill there.
 */
void exchange_send(
    struct exchange *, struct backend *, int64_t predicted_us, uint32_t tokens);
/*
 * Whether a header concerns one connection only, or is listed in a Connection
 * header of its message.
 */
bool exchange_is_connection_header(
    const char *name, const struct http_listed_fields *);
/*
 * Whether a request's Connection headers list one that the gateway reads: the
 * replica would not get it.
 */
bool exchange_needs_dropped_header(
    const struct gateway *, const struct evkeyvalq *headers);

/* Sends it to its replica, once the replica's limit allows it. */
void exchange_send_now(struct exchange *);
/* The same, without waiting for a prefill permit any longer. */
void exchange_send_unpermitted(struct exchange *);

/* ---- exchange_limit.c ---- */

/*
 * Whether the request may be sent to its replica as far as the replica's limit
 * is concerned.  Otherwise it is sent later by exchange_send_now(), or
 * dispatched again, which may free the exchange.
 */
bool exchange_passes_limit(struct exchange *);
/* Withdraws a request for a place, or gives the place up. */
void exchange_end_limit(struct exchange *);

/* ---- exchange_backend.c ---- */

/* Counts the request at the replica until exchange_release(). */
void exchange_reserve(struct exchange *, struct backend *, uint32_t tokens);
/* Does nothing without a replica. */
void exchange_release(struct exchange *);
/* Cancels the call, if any, and releases the replica. */
void exchange_drop_call(struct exchange *);
/* Excludes the replica from further selections for this request. */
void exchange_note_tried(struct exchange *, const struct backend *);
/*
 * The replica that had unloaded the model may load it again, if no other one
 * can run the request.  Returns whether there is such a replica.
 */
bool exchange_forget_unloaded(struct exchange *);
/* Counts the outcome for the replica's ejection. */
void exchange_note_outcome(struct exchange *, enum outlier_kind);
/*
 * Gives the prefill permit back, notes the prompt's prefix as cached there, and
 * updates the model's prefill factor and the replica's slowdown.
 */
void exchange_note_first_event(struct exchange *);
/* Starts the silence timer if another replica may run the request. */
void exchange_arm_silence_timer(struct exchange *);
/*
 * The call is given up: counts a failure of the replica, unless it has begun an
 * answer that is not relayed.
 */
void exchange_count_silence(struct exchange *);

/* ---- exchange_answer.c ---- */

/* Frees the headers of the answer. */
void exchange_clear_headers(struct exchange *);

/* Callbacks of the call, and of the silence timer. */
enum http_response_verdict exchange_on_headers(
    void *exchange, int code, struct evkeyvalq *headers);
void exchange_on_chunk(void *exchange, struct evbuffer *);
void exchange_on_done(void *exchange, const struct http_response *);
void exchange_on_silence(int fd, short what, void *exchange);
/* Callback of the caller: it has read most of what waited for it. */
void exchange_on_drained(void *exchange);

#endif
