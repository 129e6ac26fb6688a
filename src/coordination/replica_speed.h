/*
 * replica_speed -- how much longer than predicted a replica takes.
 *
 * Combines two sources: the slowdown that a replica states of its machine in an
 * answer, which changes many times a second, and the measured times of its
 * first tokens, which follow slowly.  A stated value counts less with its age,
 * so that an old one leaves what was measured.  Each gateway goes by the
 * answers that it gets itself: values that are passed on would be outdated on
 * arrival, and would send all gateways to the same replica at once.
 *
 * Made for replicas that share machines with other work and are several times
 * slower for some hundred milliseconds.  A pure policy; times are passed in.
 */
#ifndef COORDINATION_REPLICA_SPEED_H
#define COORDINATION_REPLICA_SPEED_H

#include <stdint.h>

struct replica_speed {
	double measured; /* over predicted time; moving average */
	double stated; /* by the replica last; 1: as usual */
	int64_t stated_us; /* when */
};

void replica_speed_init(struct replica_speed *);

/* An answer stated the slowdown of the machine; 0 states none. */
void replica_speed_state(
    struct replica_speed *, double slowdown, int64_t now_us);

/*
 * A first token took took_us where predicted_us was predicted, which included
 * replica_speed_slowdown() at that time.
 */
void replica_speed_measure(
    struct replica_speed *, int64_t took_us, int64_t predicted_us);

/* As stated by the replica, by its age; 1: as usual. */
double replica_speed_stated(const struct replica_speed *, int64_t now_us);

/* Expected over usual time at this moment; 1: as usual. */
double replica_speed_slowdown(const struct replica_speed *, int64_t now_us);

/* The highest slowdown that replicas have stated of their machines lately. */
struct slowdown_peak {
	double value; /* 0: none stated */
	int64_t seen_us;
};

/* slowdown: stated now, 0: none; returns the peak, at least 1. */
double slowdown_peak_update(
    struct slowdown_peak *, double slowdown, int64_t now_us);

#endif
