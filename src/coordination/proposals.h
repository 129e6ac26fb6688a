/*
 * proposals -- records appended to one stream, each waiting for its verdict.
 *
 * The store appends config and control records through it.  A record whose
 * append was not answered is appended again, under the same id.  That is safe:
 * if both are in the log, the second fails its own expectation, and the first
 * verdict read is the valid one.
 */
#ifndef COORDINATION_PROPOSALS_H
#define COORDINATION_PROPOSALS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/result.h"
#include "protocol/tm_xdr.h"

struct clock;
struct event_base;
struct log_client;
struct proposals;

struct proposals_options {
	struct event_base *base;
	const struct clock *clock;
	const struct log_client *log;
	const char *stream;
};

struct proposals *proposals_create(const struct proposals_options *);
/* done() of pending proposals does not run. */
void proposals_destroy(struct proposals *);

/* Whether any record waits for its verdict. */
bool proposals_pending(const struct proposals *);

/*
 * Appends data, which it then owns.  done() runs once, never before this
 * returns, with the verdict from proposals_on_verdict() and the record's
 * offset, or with RESULT_TOO_LARGE (data is NULL), RESULT_LOG_UNAVAILABLE (not
 * in the log, and will not be) or RESULT_VERDICT_UNKNOWN (none within wait_us).
 */
void proposals_add(struct proposals *, const char id[TM_ID_SIZE], void *data,
    size_t len, int64_t wait_us,
    void (*done)(void *ctx, enum result, uint64_t offset), void *ctx);

/* Call when the fold has decided on a record, of this daemon or another. */
void proposals_on_verdict(struct proposals *, const char id[TM_ID_SIZE],
    enum result verdict, uint64_t offset);

#endif
