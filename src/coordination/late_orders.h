/*
 * late_orders -- orders without an answer that a replica may still carry out.
 *
 * An order whose answer is lost may reach its replica seconds later, even after
 * the replica has restarted empty under the same id: it is carried out if the
 * replica has then accepted as many orders as the late one expects.  Each
 * further order must leave room for what may arrive at that count.
 *
 * Made for few orders, of which some are lost, and for replicas that crash and
 * are filled again within seconds, so that their count of orders passes that of
 * a late order.  A pure policy: the caller passes the time and the state.
 */
#ifndef COORDINATION_LATE_ORDERS_H
#define COORDINATION_LATE_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/swap.h"
#include "protocol/fleet.h"

#define LATE_ORDERS_MAX 16 /* the oldest one is forgotten */

struct late_order {
	char replica[FLEET_ID_MAX];
	uint64_t expected_seq; /* carried out only at this count of orders */
	bool load; /* else an unload */
	char model[FLEET_NAME_MAX];
	char adapter[FLEET_NAME_MAX]; /* "": the model itself */
	double size_mb;
	int64_t until_us; /* it does not arrive later */
};

struct late_orders {
	struct late_order list[LATE_ORDERS_MAX]; /* in the order of sending */
	unsigned count;
};

/* Adds an order that is being sent. */
void late_orders_add(
    struct late_orders *, const struct late_order *, int64_t now_us);
/* The order that was added last has been answered. */
void late_orders_answered(struct late_orders *);

/*
 * Whether memory and places for adapters hold what the replica has after the
 * step, and what late orders may load then.  step_mb: size of what the step
 * loads; seq: count of orders before the step.
 */
bool late_orders_fit(const struct late_orders *, const struct swap_input *,
    const struct swap_step *, double step_mb, const char *replica,
    uint64_t seq);

#endif
