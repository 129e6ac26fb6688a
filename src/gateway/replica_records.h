/*
 * replica_records -- the store's records of the listed replicas, undecoded, to
 * be passed on to other gateways.
 */
#ifndef GATEWAY_REPLICA_RECORDS_H
#define GATEWAY_REPLICA_RECORDS_H

#include "protocol/fleet.h"

struct replica_records;
struct tm_roster_reply;

struct replica_records *replica_records_create(void);
void replica_records_destroy(struct replica_records *);

/*
 * Copies a record of the store; one without a value removes its key.  A record
 * larger than any replica's is left out.
 */
void replica_records_put(struct replica_records *, const struct fleet_record *);
/* Removes all records, before a snapshot of the store is read. */
void replica_records_clear(struct replica_records *);

/*
 * Fills in the reply's entries, as many as fit in a message.  Their keys and
 * values point into the records; the caller frees the array.
 */
void replica_records_fill_reply(
    const struct replica_records *, struct tm_roster_reply *);

#endif
