/*
 * steering -- polls the replica and orders its loads and unloads.
 *
 * One order is under way at a time, and each names the count of orders that
 * the replica had accepted: of an order whose answer was lost and the next one,
 * the replica carries out at most one.
 */
#ifndef SIDECAR_STEERING_H
#define SIDECAR_STEERING_H

#include <stdint.h>

#include "protocol/fleet.h"

struct sidecar;
struct steering;
struct tm_model_use;
struct tm_replica_holds;
struct tm_replica_want;

struct steering *steering_create(struct sidecar *);
void steering_destroy(struct steering *);

void steering_want(struct steering *, const struct tm_replica_want *);
/* A gateway started requests; in_flight counts those of all gateways. */
void steering_use(
    struct steering *, const struct tm_model_use *, unsigned in_flight);

/* What the replica reported last; NULL while it does not answer. */
const struct replica_state *steering_state(const struct steering *);
/* The model being loaded, and the time that is left; NULL: none. */
/* What is known of loads from the weight store. */
void steering_fill_loads(const struct steering *, struct tm_replica_holds *);
const char *steering_loading(const struct steering *, int64_t *left_us);
/* Share of the time that the replica lately spent reading prompts. */
double steering_reading_share(const struct steering *);
double steering_free_mb(struct steering *);
int64_t steering_victim_idle_us(struct steering *);

#endif
