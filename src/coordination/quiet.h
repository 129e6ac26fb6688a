/*
 * quiet -- keeps requests away from a replica that has asked for a pause.
 *
 * Made for a flood that meets replicas which refuse requests and name a time
 * after which they take some again: a third of a service, then all of it.
 * Nothing is sent before that time; afterwards what has gathered comes one by
 * one for a while, so that it does not meet the replica in one instant.
 *
 * A pure policy: the caller passes the time, and jitter that differs between
 * gateways.
 */
#ifndef COORDINATION_QUIET_H
#define COORDINATION_QUIET_H

#include <stdint.h>

#include "common/clock.h"

/* A longer pause is taken for this one. */
#define QUIET_MAX_US (600 * USEC_PER_SEC)
/* Between two requests of a gateway in the first second after a pause. */
#define QUIET_GAP_US (50 * USEC_PER_MSEC)

/* Zero-initialized: no pause. */
struct quiet {
	int64_t until_us; /* end of the pause */
	int64_t next_us; /* when the next request may be sent */
};

/* The replica asks for a pause; the one that ends last counts. */
void quiet_begin(
    struct quiet *, int64_t for_us, int64_t jitter_us, int64_t now_us);

/* Time until a request may be sent; 0: now. */
int64_t quiet_wait_us(const struct quiet *, int64_t now_us);

/* Sends a request; call it if quiet_wait_us() is 0. */
void quiet_send(struct quiet *, int64_t now_us);

#endif
