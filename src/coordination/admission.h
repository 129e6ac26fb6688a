/*
 * admission -- an agent's queue of requests: admits, orders and refuses them.
 *
 * An item is a queued or running request.  It is refused when it arrives if the
 * queue's bounds or its deadline cannot be met.  The most urgent rank runs
 * first, but each rank that has work queued gets at least its floor, a share of
 * all tokens.  Within a rank, tenants share equally.  Work is counted in
 * tokens; predictions are corrected by what items used and how long they
 * waited.
 *
 * A pure policy: the caller passes the time.
 */
#ifndef COORDINATION_ADMISSION_H
#define COORDINATION_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "protocol/result.h"

#define ADMISSION_NAME_MAX 128

struct admission;
struct admission_rank;
struct admission_tenant;

/* Embedded in the queued object; the caller fills the public fields. */
struct admission_item {
	char rank[ADMISSION_NAME_MAX];
	char tenant[ADMISSION_NAME_MAX];
	unsigned rank_order; /* 0 is the most urgent */
	double rank_floor; /* guaranteed share of all tokens, 0 to 1 */
	uint32_t tokens; /* of prompt and answer, at most; not 0 */
	int64_t deadline_us;
	int64_t load_wait_us; /* expected wait for a model load */
	bool preemptible; /* may be stopped and resumed later */
	/* Private. */
	struct admission_rank *in_rank;
	struct admission_tenant *in_tenant;
	double cost; /* expected tokens */
	int64_t queued_us; /* time of arrival */
	int64_t predicted_us; /* wait predicted at arrival */
	int64_t started_us; /* time of the last start */
	unsigned preemptions;
	bool on_floor; /* started to give its rank the floor */
	bool queued;
	bool running;
	TAILQ_ENTRY(admission_item) link;
};

struct admission_options {
	uint32_t max_running; /* items that run at once */
	uint32_t max_queued_tokens; /* of all queued items */
	uint32_t max_queued; /* items */
	double tokens_per_sec; /* initial rate of the backend server, total */
	uint64_t seed; /* for the jitter of retry times */
};

struct admission *admission_create(const struct admission_options *);
void admission_destroy(struct admission *);
/* Changes the bounds and keeps the measured rate; max_running 0: no change. */
void admission_set_limits(struct admission *, uint32_t max_running,
    uint32_t max_queued, uint32_t max_queued_tokens);

/*
 * Queues an item and returns RESULT_OK.  Returns RESULT_DEADLINE_UNREACHABLE if
 * the predicted wait, load_wait_us and run time exceed the deadline, or
 * RESULT_QUEUE_FULL, and sets the delay after which the caller should retry.
 * May displace other items from a full queue: call admission_pop_displaced().
 */
enum result admission_push(struct admission *, struct admission_item *,
    int64_t now_us, int64_t *retry_after_us);

/* Takes an item that admission_push() displaced from the queue; or NULL. */
struct admission_item *admission_pop_displaced(struct admission *);

/*
 * Takes the next runnable item out of the queue and counts it as running.
 * Returns NULL if none is runnable or max_running items run.
 */
struct admission_item *admission_pop(struct admission *, int64_t now_us,
    bool (*runnable)(void *ctx, struct admission_item *), void *ctx);

/*
 * If max_running items run and a more urgent item is runnable, requeues the
 * running item that it should replace and returns that, to be stopped by the
 * caller.  Otherwise returns NULL.
 */
struct admission_item *admission_preempt(struct admission *, int64_t now_us,
    bool (*runnable)(void *ctx, struct admission_item *), void *ctx);

/*
 * Takes an item out of the queue that can no longer end before its deadline;
 * NULL if there is none.
 */
struct admission_item *admission_pop_expired(
    struct admission *, int64_t now_us);

/* Returns a preemptible item that still runs past its deadline, or NULL. */
struct admission_item *admission_find_overdue(
    const struct admission *, int64_t now_us);

/* Removes a queued or running item; tokens: used by it, 0 if not known. */
void admission_remove(struct admission *, struct admission_item *,
    uint32_t tokens, int64_t now_us);

/* Iterates over the queued items, from the most urgent rank; NULL: first. */
struct admission_item *admission_next(
    const struct admission *, struct admission_item *);

/* Counts of items, and the tokens of queued items. */
uint32_t admission_queued(const struct admission *);
uint32_t admission_running(const struct admission *);
uint32_t admission_queued_tokens(const struct admission *);
/* Measured rate of the backend server, total tokens per second. */
double admission_rate(const struct admission *);
/* Predicted time in the queue of a new item. */
int64_t admission_wait_us(
    const struct admission *, const struct admission_item *);

#endif
