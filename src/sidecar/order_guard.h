/*
 * order_guard -- keeps late orders from overfilling the replica, over restarts
 * of the sidecar and the replica in any order.
 *
 * The list of orders without an answer (coordination/late_orders.h) is recorded
 * in the platform's store, by the name of the VM: once before the first order
 * of each process and to each incarnation, and whenever an answer has been
 * lost.  A process that finds
 * a record takes over its orders, and counts with one more that its predecessor
 * may have sent; for linger_us the replica's memory has room for it.
 * Orders wait while the store has not answered for the first record, or for one
 * that must precede them.
 *
 * The sender of orders asks in stages: order_guard_ready(),
 * order_guard_choose(), order_guard_may_send(), order_guard_sent(); each answer
 * ends the order.
 */
#ifndef SIDECAR_ORDER_GUARD_H
#define SIDECAR_ORDER_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/late_orders.h"
#include "coordination/swap.h"
#include "protocol/fleet.h"

struct engine_spec;
struct order_guard;
struct process;

struct order_guard_options {
	struct process *process;
	const struct fleet_store_ops *ops;
	void *store; /* client that ops->create() returned */
	const char *vm; /* name, outlives the guard */
	/* An order without an answer is not carried out after this time. */
	int64_t linger_us;
	/* An order that had to wait may be sent. */
	void (*changed)(void *ctx);
	void *ctx;
};

/* Returns NULL if out of memory. */
struct order_guard *order_guard_create(const struct order_guard_options *);
/* Destroy the store's client before the event loop runs again. */
void order_guard_destroy(struct order_guard *);

/*
 * Notes the replica as its last report shows it, and keeps the record up to
 * date, so that it holds when the store is away.
 */
void order_guard_note(struct order_guard *, const struct late_target *);

/* Whether orders may be sent at all; otherwise changed() runs or time passes.
 */
bool order_guard_ready(struct order_guard *, const struct late_target *);

/*
 * The step, or one that makes room, such that late orders fit after it;
 * SWAP_NONE while there is none.
 */
struct swap_step order_guard_choose(struct order_guard *,
    const struct late_target *, const struct engine_spec *,
    const struct swap_input *, const struct swap_step *);

/* Whether the step may be sent now; otherwise changed() runs later. */
bool order_guard_may_send(struct order_guard *, const struct late_target *,
    const struct engine_spec *, const struct swap_step *);

/* The order is being sent. */
void order_guard_sent(struct order_guard *, const struct late_target *,
    const struct engine_spec *, const struct swap_step *);
/* Its answer has come, or is lost. */
void order_guard_answered(struct order_guard *, enum order_result);

#endif
