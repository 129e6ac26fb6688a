/*
 * journal -- judges a run by what engines and services wrote down.
 *
 * Bookings are told apart by their bodies: no other call shares one.
 */
#ifndef BENCH_JOURNAL_H
#define BENCH_JOURNAL_H

#include <stddef.h>

#include <jansson.h>

#include "bench/stats.h"

struct event_base;
struct journal;

/* NULL after a message if an address is wrong. */
struct journal *journal_create(
    struct event_base *, const char *const *addresses, size_t count);
void journal_destroy(struct journal *);

void journal_add_booking(
    struct journal *, const char *body, enum bench_outcome);

/*
 * Reads all journals, running the loop, and returns
 *	{"broken": {promise: count}, "sums": {...}, "unread": n}
 * where every count under "broken" should be 0.
 */
json_t *journal_check(struct journal *);

#endif
