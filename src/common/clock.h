/*
 * clock -- monotonic and wall-clock time, replaceable by a manual clock.
 *
 * All times are microseconds.  clock_now() is monotonic and has no fixed
 * origin; clock_wall() counts from the Unix epoch and may jump: it is for log
 * lines and trace events.  clock_common() is for times that several daemons
 * compare: it is the wall clock as of the creation, moved on by the monotonic
 * clock, so that a later jump changes no decision.  A manual clock returns the
 * same time from all until clock_step_wall() or clock_advance() moves it.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

#define USEC_PER_MSEC 1000LL
#define USEC_PER_SEC 1000000LL

struct clock;
struct timeval;

/* Both return NULL if out of memory. */
struct clock *clock_create_real(void);
struct clock *clock_create_manual(int64_t start_us);
void clock_destroy(struct clock *);

int64_t clock_now(const struct clock *);
int64_t clock_wall(const struct clock *);
int64_t clock_common(const struct clock *);

/* Converts a delay for libevent's timers; a negative one becomes 0. */
struct timeval clock_timeval(int64_t us);

/* Moves a manual clock forward by us > 0; has no effect on a real clock. */
void clock_advance(struct clock *, int64_t us);
/* Lets the wall clock of a manual clock jump by us, also back. */
void clock_step_wall(struct clock *, int64_t us);

#endif
