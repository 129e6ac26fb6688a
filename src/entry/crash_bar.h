/*
 * crash_bar -- refuses jobs that crash the backend servers which begin them.
 *
 * A job is known again by its content (target, adapter, method, path and body),
 * whoever sends it.  The policy is coordination/crash_parts.h, with jobs as
 * whole requests; losses, answers and trials are shared among the entries by
 * crash_log.h.  While the log is away each entry knows its own losses only, and
 * tries nothing.
 */
#ifndef ENTRY_CRASH_BAR_H
#define ENTRY_CRASH_BAR_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/crash_parts.h"

struct crash_bar;
struct daemon;
struct tm_dispatch_args;

/* Returns NULL if out of memory. */
struct crash_bar *crash_bar_create(struct daemon *);
/*
 * Destroy the log client too before the event loop runs again, as a pending
 * append or read refers to this.
 */
void crash_bar_destroy(struct crash_bar *);

/* The hash of a job's content, never 0. */
uint64_t crash_bar_job(
    const struct crash_bar *, const struct tm_dispatch_args *);
/* Whether any job was lost; none is refused otherwise. */
bool crash_bar_is_idle(const struct crash_bar *);

/*
 * Whether the job may be sent.  CRASH_TRIAL: ask again soon, once its trial is
 * recorded.  *wait_us: until its next trial, if refused.
 */
enum crash_verdict crash_bar_check(
    struct crash_bar *, uint64_t job, int64_t *wait_us);
/* The job is sent, which uses up a trial. */
void crash_bar_sent(struct crash_bar *, uint64_t job);

/* One end of a backend server; jobs that are lost with it name it alike. */
struct crash_bar_end {
	const char *vm;
	uint64_t agent; /* incarnation of the VM's agent */
	uint64_t number; /* of the end, as the agent counts them */
};

/* The job was lost with a backend server. */
void crash_bar_lost(
    struct crash_bar *, uint64_t job, const struct crash_bar_end *, bool begun);
void crash_bar_answered(struct crash_bar *, uint64_t job);

#endif
