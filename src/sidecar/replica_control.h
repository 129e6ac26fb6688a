/*
 * replica_control -- polls the replica's state, and orders it to load and
 * unload models and adapters.
 *
 * The next order is decided after each poll, and when a permit is granted, by
 * swap_next() from the models that the replica reported, their uses and the
 * pending load requests.  A load from the weight store needs a load permit.
 *
 * Orders are given one at a time.  Each carries the number of orders that the
 * replica had accepted before: if the answer to an order is lost, the replica
 * carries out at most one of that order and the next.
 */
#ifndef SIDECAR_REPLICA_CONTROL_H
#define SIDECAR_REPLICA_CONTROL_H

#include <stdint.h>

#include "protocol/fleet.h"

struct sidecar;
struct replica_control;
struct tm_model_use;
struct tm_replica_holds;
struct tm_replica_spare;
struct tm_replica_want;

struct replica_control *replica_control_create(struct sidecar *);
void replica_control_destroy(struct replica_control *);

/*
 * Adds a load request, or raises the rank and extends the expiry of the one
 * that is pending for the same model and adapter.
 */
void replica_control_request_load(
    struct replica_control *, const struct tm_replica_want *);
/*
 * Notes a gateway's report of its uses of a model and adapter; in_flight is the
 * sum over all gateways.
 */
void replica_control_note_use(
    struct replica_control *, const struct tm_model_use *, unsigned in_flight);

/* Notes which loaded models another replica has too, as a gateway reports. */
void replica_control_set_spares(
    struct replica_control *, const struct tm_replica_spare *);

/* The last report of the replica; NULL while it does not answer. */
const struct replica_state *replica_control_state(
    const struct replica_control *);
/* Fills in the message's fields on loads from the weight store. */
void replica_control_fill_loads(
    const struct replica_control *, struct tm_replica_holds *);
/*
 * The model being loaded, or the next one by the pending load requests, with
 * the predicted time left; NULL: none.
 */
const char *replica_control_loading(
    const struct replica_control *, int64_t *left_us);
/* Share of recent time with a request in prefill or queued; 0 to 1. */
double replica_control_prefill_share(const struct replica_control *);
/*
 * Memory for weights that is neither in use nor needed for the load in progress
 * or the next one; 0 without a report or a declared engine.
 */
double replica_control_free_mb(struct replica_control *);
/*
 * Idle time of the model that would be evicted next, by swap_idle_us(); -1:
 * none.
 */
int64_t replica_control_victim_idle_us(struct replica_control *);

#endif
