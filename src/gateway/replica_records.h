/*
 * roster -- the records of listed replicas, as they came, for other gateways.
 */
#ifndef GATEWAY_REPLICA_RECORDS_H
#define GATEWAY_REPLICA_RECORDS_H

#include "protocol/fleet.h"

struct replica_records;
struct tm_roster_reply;

struct replica_records *replica_records_create(void);
void replica_records_destroy(struct replica_records *);

/* A record of the store's topic; one without a value removes its key. */
void replica_records_put(struct replica_records *, const struct fleet_record *);
/* A reading of all keys begins. */
void replica_records_clear(struct replica_records *);

/* Points into the roster; free the array of entries after use. */
void replica_records_fill_reply(
    const struct replica_records *, struct tm_roster_reply *);

#endif
