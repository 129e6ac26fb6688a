/*
 * journal -- checks a run against the journals of the engine and service
 * stand-ins.
 *
 * A booking is a call of a plain service, which must run at most once.  It is
 * identified by its body, which is unique.
 */
#ifndef BENCH_JOURNAL_H
#define BENCH_JOURNAL_H

#include <stddef.h>

#include <jansson.h>

#include "bench/stats.h"

struct event_base;
struct journal;

/* Returns NULL after printing an error if an address is malformed. */
struct journal *journal_create(
    struct event_base *, const char *const *addresses, size_t count);
void journal_destroy(struct journal *);

/* Adds a booking that has ended, with the outcome that its caller saw. */
void journal_add_booking(
    struct journal *, const char *body, enum bench_outcome);

/*
 * Reads all journals, running the event loop, and returns
 *
 *	{"broken": {guarantee: count}, "sums": {counter: sum},
 *	 "bookings": n, "unread": n}
 *
 * or {} if there are no journals.  "broken" counts violations, which should all
 * be 0: ran_twice (a booking ran more than once), false_not_run (it ran but was
 * reported as not run), answered_not_run (it was answered but did not run), and
 * the engines' overcommits and double_loads.  "sums" are the counters of all
 * journals; "unread" is the number of journals that could not be read.
 */
json_t *journal_check(struct journal *);

#endif
