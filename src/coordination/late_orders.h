/*
 * late_orders -- orders without an answer that a replica may still carry out.
 *
 * An order whose answer is lost may reach its replica seconds later, even after
 * the replica has restarted empty under the same id: it is carried out if the
 * replica has then accepted as many orders as the late one expects.  Each
 * further order must leave room for what may arrive at that count.
 *
 * The orders outlive their sender.  Its successor learns them from a record of
 * the list, which is written when an order has got no answer; at any time the
 * unrecorded ones expect one count of one replica, so that the replica carries
 * out at most one of them.  For that one the successor adds an entry of unknown
 * content (late_orders_adopt()).  A sender with several such entries records
 * its orders before it sends them, so that restarts in a row add no more.
 *
 * Made for few orders, of which some are lost, for replicas that crash and are
 * filled again within seconds, so that their count of orders passes that of a
 * late order, and for senders that restart at any moment.  A pure policy: the
 * caller passes the time and the state.
 */
#ifndef COORDINATION_LATE_ORDERS_H
#define COORDINATION_LATE_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/swap.h"
#include "protocol/fleet.h"

#define LATE_ORDERS_MAX 64 /* while it is full, no order is sent */

struct tm_orders;

struct late_order {
	char replica[FLEET_ID_MAX]; /* id; "": any, if the record was unreadable
				     */
	uint64_t expected_seq; /* carried out only at this count of orders */
	/*
	 * One of a predecessor, of which only this is known: it expects a count
	 * from first_seq to expected_seq.
	 */
	bool unknown;
	uint64_t first_seq;
	bool load; /* else an unload */
	char model[FLEET_NAME_MAX];
	char adapter[FLEET_NAME_MAX]; /* "": the model itself */
	double size_mb;
	int64_t until_us; /* it does not arrive later */
	bool planned; /* not sent yet, see late_orders_plan() */
	bool lost; /* no answer to it, or to the same one before it */
	/* Until then, a successor will know it; the same once written. */
	int64_t recorded_until_us, recording_until_us;
};

/* An incarnation of the replica, and how many orders it has accepted. */
struct late_target {
	const char *id;
	uint64_t born_ms;
	uint64_t seq;
};

/* What a record says of orders that are sent after it. */
struct late_scope {
	char replica[FLEET_ID_MAX];
	uint64_t born_ms;
	uint64_t first_seq, end_seq; /* the counts that they expect there */
	bool ahead; /* they are recorded before they are sent */
};

/* Zero-initialized but for linger_us. */
struct late_orders {
	int64_t linger_us; /* no order is carried out later after its sending */
	struct late_order list[LATE_ORDERS_MAX]; /* in the order of sending */
	unsigned count;
	unsigned sent; /* place of the order that awaits its answer, from 1 */
	bool has_record;
	struct late_scope recorded; /* only if has_record */
	bool is_recording; /* that record may be in force, too: */
	struct late_scope recording;
};

/* What a late order of unknown content may load: all of it. */
struct late_load {
	double mb;
	unsigned adapters;
};

/* Drops what does not arrive any more. */
void late_orders_expire(struct late_orders *, int64_t now_us);

/*
 * Whether the order to the target may be sent.  Otherwise a record comes first,
 * or the list is full.
 */
bool late_orders_may_send(const struct late_orders *,
    const struct late_target *, const struct late_order *);
/*
 * Adds the order that is to be sent next to what is recorded, if that has to
 * come first.
 */
void late_orders_plan(struct late_orders *, const struct late_order *);

/* Adds an order that is being sent. */
void late_orders_add(
    struct late_orders *, const struct late_order *, int64_t now_us);
/* The order that was added last has been answered. */
void late_orders_answered(struct late_orders *);
/* Its answer is lost. */
void late_orders_lost(struct late_orders *);

/* Whether a new record is due, before or beside further orders. */
bool late_orders_record_due(
    const struct late_orders *, const struct late_target *);
/*
 * Fills in a record, which is written until late_orders_recorded(); free it
 * with xdr_free().
 */
void late_orders_record(struct late_orders *, const struct late_target *,
    int64_t now_us, struct tm_orders *);
/* That record has been written. */
void late_orders_recorded(struct late_orders *);

/*
 * Adds the orders of a predecessor's record and, unless all its orders were
 * recorded before they were sent, one of unknown content.  The target's count
 * is one that the replica has reported since the predecessor ended.  Returns -1
 * if the list is too short for all.
 */
int late_orders_adopt(struct late_orders *, const struct tm_orders *,
    const struct late_target *, int64_t now_us);

/*
 * Whether memory and places for adapters hold what the replica has after the
 * step, and what late orders may load then.  step_mb: size of what the step
 * loads; seq: count of orders before the step.
 */
bool late_orders_fit(const struct late_orders *, const struct swap_input *,
    const struct swap_step *, double step_mb, const char *replica, uint64_t seq,
    const struct late_load *unknown);

#endif
