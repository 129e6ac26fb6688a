/*
 * admission -- the agent's queue of requests: who runs next, who is refused.
 *
 * The most urgent rank goes first, but each rank that has work waiting gets at
 * least its floor of the tokens.  Inside a rank, tenants share equally.  Work
 * is counted in tokens.  A pure policy: the caller gives the time.
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

/* Embedded in the queued object; the caller fills all but the private part. */
struct admission_item {
	char rank[ADMISSION_NAME_MAX];
	char tenant[ADMISSION_NAME_MAX];
	unsigned rank_order; /* 0 is the most urgent */
	double rank_floor; /* share of capacity, 0 to 1 */
	uint32_t tokens; /* prompt and answer, at most */
	int64_t deadline_us;
	int64_t
	    load_wait_us; /* expected wait for a load, on top of the queue */
	bool preemptible; /* may be stopped and resumed later */
	/* Private. */
	struct admission_rank *in_rank;
	struct admission_tenant *in_tenant;
	double cost; /* tokens it is expected to use */
	int64_t queued_us;
	int64_t predicted_us; /* wait, as foreseen when it came */
	int64_t started_us;
	unsigned preemptions; /* times */
	bool on_floor; /* runs on its rank's floor */
	bool queued;
	bool running;
	TAILQ_ENTRY(admission_item) link;
};

struct admission_options {
	uint32_t max_running; /* requests in the engine at once */
	uint32_t max_queued_tokens; /* bound on waiting tokens */
	uint32_t max_queued; /* bound on waiting requests */
	double tokens_per_sec; /* prior of the whole engine's rate */
	uint64_t seed; /* of the spread of retry times */
};

struct admission *admission_create(const struct admission_options *);
void admission_destroy(struct admission *);
/* Changes the bounds; the measured rate stays. */
void admission_set_limits(struct admission *, uint32_t max_running,
    uint32_t max_queued, uint32_t max_queued_tokens);

/*
 * Queues an item, or refuses it with RESULT_QUEUE_FULL or
 * RESULT_DEADLINE_UNREACHABLE and a time to come back after.  May make others
 * give way: see admission_pop_displaced().
 */
enum result admission_push(struct admission *, struct admission_item *,
    int64_t now_us, int64_t *retry_after_us);

/* Returns an item that gave way to a better entitled one; NULL if none. */
struct admission_item *admission_pop_displaced(struct admission *);

/*
 * Takes the next item to run whose runnable() is true, or returns NULL when
 * none is or the engine is full.
 */
struct admission_item *admission_pop(struct admission *, int64_t now_us,
    bool (*runnable)(void *ctx, struct admission_item *), void *ctx);

/*
 * When the engine is full and a more urgent item could run: queues again the
 * running item that it should replace, and returns it.  The caller stops it.
 */
struct admission_item *admission_preempt(struct admission *, int64_t now_us,
    bool (*runnable)(void *ctx, struct admission_item *), void *ctx);

/*
 * Returns an item that cannot end before its deadline any more, taken from the
 * queue; NULL if none.
 */
struct admission_item *admission_pop_expired(
    struct admission *, int64_t now_us);

/* Returns a running item past its deadline, without taking it; or NULL. */
struct admission_item *admission_find_overdue(
    const struct admission *, int64_t now_us);

/* Takes a queued or running item out; tokens is the work it took. */
void admission_remove(struct admission *, struct admission_item *,
    uint32_t tokens, int64_t now_us);

/* Iterates over the queued items, the most urgent ranks first. */
struct admission_item *admission_next(
    const struct admission *, struct admission_item *);

uint32_t admission_queued(const struct admission *);
uint32_t admission_running(const struct admission *);
uint32_t admission_queued_tokens(const struct admission *);
/* Measured rate of the whole backend server. */
double admission_rate(const struct admission *);
/* Expected wait of a new item. */
int64_t admission_wait_us(
    const struct admission *, const struct admission_item *);

#endif
