/*
 * steering -- polls the replica and orders its loads and unloads.
 *
 * One order is under way at a time, and each names the count of orders that
 * the replica had accepted: of an order whose answer was lost and the next one,
 * the replica carries out at most one.
 */
#ifndef SIDECAR_REPLICA_CONTROL_H
#define SIDECAR_REPLICA_CONTROL_H

#include <stdint.h>

#include "protocol/fleet.h"

struct sidecar;
struct replica_control;
struct tm_model_use;
struct tm_replica_holds;
struct tm_replica_want;

struct replica_control *replica_control_create(struct sidecar *);
void replica_control_destroy(struct replica_control *);

void replica_control_request_load(
    struct replica_control *, const struct tm_replica_want *);
/* A gateway started requests; in_flight counts those of all gateways. */
void replica_control_note_use(
    struct replica_control *, const struct tm_model_use *, unsigned in_flight);

/* What the replica reported last; NULL while it does not answer. */
const struct replica_state *replica_control_state(
    const struct replica_control *);
/* The model being loaded, and the time that is left; NULL: none. */
/* What is known of loads from the weight store. */
void replica_control_fill_loads(
    const struct replica_control *, struct tm_replica_holds *);
const char *replica_control_loading(
    const struct replica_control *, int64_t *left_us);
/* Share of the time that the replica lately spent reading prompts. */
double replica_control_prefill_share(const struct replica_control *);
double replica_control_free_mb(struct replica_control *);
int64_t replica_control_victim_idle_us(struct replica_control *);

#endif
