/*
 * replica_marks -- what incarnations of replicas have stated of themselves,
 * kept for a while after their entries are gone.
 *
 * A store that comes back from an older copy lists replicas again that have
 * left or are leaving.  A gateway to which one has stated that it leaves, wants
 * a pause or takes few requests still knows it then.
 */
#ifndef GATEWAY_REPLICA_MARKS_H
#define GATEWAY_REPLICA_MARKS_H

#include <stdint.h>

struct backend;
struct replica_marks;

struct replica_marks *replica_marks_create(void);
void replica_marks_destroy(struct replica_marks *);

/* Keeps what the replica has stated, if anything.  now_us: a monotonic time. */
void replica_marks_keep(
    struct replica_marks *, const struct backend *, int64_t now_us);
/* Restores what the same incarnation had stated, and forgets it. */
void replica_marks_restore(
    struct replica_marks *, struct backend *, int64_t now_us);

#endif
