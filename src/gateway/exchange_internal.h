/* exchange_internal -- what the exchange's files share. */
#ifndef GATEWAY_EXCHANGE_INTERNAL_H
#define GATEWAY_EXCHANGE_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <bsd/sys/queue.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "common/clock.h"
#include "coordination/outlier.h"
#include "gateway/gateway_internal.h"
#include "protocol/fleet.h"
#include "protocol/result.h"

#define EXCHANGE_TRIED_MAX 8

struct backend;
struct caller;
struct deployment;
struct evbuffer;
struct http_call;
struct route;

struct exchange {
	struct gateway *gateway;
	struct caller *caller;
	struct deployment *deployment; /* under which it was routed; or NULL */
	const struct route *route;
	const char *service;
	struct request_terms terms;
	const void *body; /* of the caller's request, which outlives this */
	size_t body_len;
	int64_t arrived_us;
	int64_t routed_us;
	int64_t deadline_us;
	struct event *deadline_timer; /* deadline */
	struct event
	    *silence_timer; /* of the replica: it may be asked elsewhere */
	bool waiting; /* for a replica */
	int64_t selected_us; /* when one was last looked for */
	int64_t load_request_us; /* when a load was last asked for */

	/* The call under way: */
	struct backend *backend; /* NULL: none */
	struct http_call *call;
	struct rpc_conn *prefill_conn; /* leave to read is asked there */
	uint64_t
	    prefill_id; /* of that leave, until it is given back; 0: none */
	int64_t sent_us;
	int64_t predicted_us; /* time to the first piece */
	uint32_t pending_tokens; /* counted at the backend */
	int code; /* of its answer; 0: none yet */
	int64_t first_us; /* time to the caller's first piece; 0: none */
	int64_t last_piece_us; /* when the newest piece came */
	int64_t max_gap_us; /* longest pause between pieces */
	struct evkeyvalq headers; /* of its answer */
	struct answer_facts facts;

	unsigned attempts; /* sent to a replica */
	unsigned unreachable; /* connections that failed */
	bool may_have_run;
	bool relaying; /* a stream's answer goes to the caller as it comes */
	bool begun; /* the caller has its head */
	bool has_last_event;
	uint64_t last_event; /* that the caller has */
	uint64_t tried[EXCHANGE_TRIED_MAX]; /* hashes of replicas' ids */
	unsigned tried_count;
	TAILQ_ENTRY(exchange) link;
};

/* ---- exchange.c ---- */

/* Chooses a replica and sends, waits for a load, or refuses. */
void exchange_dispatch(struct exchange *);
int64_t exchange_left_us(const struct exchange *);

/* The caller left; the time that it has is over. */
void exchange_on_disconnect(void *exchange);
void exchange_on_deadline(struct exchange *);

/* Ends, each of them frees the exchange. */
void exchange_refuse(
    struct exchange *, enum result, const char *why, int64_t retry_after_us);
void exchange_fail(struct exchange *, enum result, const char *why);
void exchange_finish(struct exchange *, const char *outcome);

/* ---- exchange_send.c ---- */

/* Less time than this left is no use to a replica. */
#define SEND_MIN_US (5 * USEC_PER_MSEC)

/* Sends, or first asks the sidecar for leave to have the prompt read. */
void exchange_send(
    struct exchange *, struct backend *, int64_t predicted_us, uint32_t tokens);
/* Headers that concern one connection only, or that `connection` lists. */
bool exchange_is_connection_header(const char *name, const char *connection);

/* ---- exchange_reserve.c ---- */

/* The request counts at the replica until exchange_release(). */
void exchange_reserve(struct exchange *, struct backend *, uint32_t tokens);
void exchange_release(struct exchange *);
/* Breaks the call off and lets go of the replica. */
void exchange_drop_call(struct exchange *);
void exchange_note_tried(struct exchange *, const struct backend *);
void exchange_note_outcome(struct exchange *, enum outlier_kind);
/* The first piece came: the prompt has been read there. */
void exchange_note_first_piece(struct exchange *);
/* The replica has a while to say something. */
void exchange_arm_silence_timer(struct exchange *);
/* The call ends without an answer: counts against the replica. */
void exchange_count_silence(struct exchange *);

/* ---- exchange_answer.c ---- */

/* Callbacks of the call, and of the timer that watches for silence. */
enum http_head_verdict exchange_on_head(
    void *exchange, int code, struct evkeyvalq *headers);
void exchange_on_chunk(void *exchange, struct evbuffer *);
void exchange_on_done(void *exchange, const struct http_response *);
void exchange_on_silence(int fd, short what, void *exchange);

#endif
