/*
 * roster -- the records of listed replicas, as they came, for other gateways.
 */
#ifndef GATEWAY_ROSTER_H
#define GATEWAY_ROSTER_H

#include "protocol/fleet.h"

struct roster;
struct tm_roster_reply;

struct roster *roster_create(void);
void roster_destroy(struct roster *);

/* A record of the store's topic; one without a value removes its key. */
void roster_record(struct roster *, const struct fleet_record *);
/* A reading of all keys begins. */
void roster_clear(struct roster *);

/* Points into the roster; free the array of entries after use. */
void roster_fill(const struct roster *, struct tm_roster_reply *);

#endif
