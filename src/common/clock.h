/*
 * clock -- the one source of time.
 *
 * All times are microseconds.  clock_now() is monotonic and has no fixed
 * origin; clock_wall() counts from the epoch and is for log lines only.  A
 * manual clock stands still until clock_advance() moves it.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

#define USEC_PER_MSEC 1000LL
#define USEC_PER_SEC 1000000LL

struct clock;
struct timeval;

struct clock *clock_create_real(void);
struct clock *clock_create_manual(int64_t start_us);
void clock_destroy(struct clock *);

int64_t clock_now(const struct clock *);
int64_t clock_wall(const struct clock *);

/* For the loop's timers; a negative time is none. */
struct timeval clock_timeval(int64_t us);

/* Moves a manual clock forward; has no effect on a real one. */
void clock_advance(struct clock *, int64_t us);

#endif
