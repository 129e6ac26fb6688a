/*
 * report_poll -- polls engine agents that have not reported their memory.
 *
 * An agent may answer hello before its engine has answered the agent, and then
 * its load report is empty.  Until the first full report nothing is placed on
 * it, and without a slot it sends no replies that would carry one.
 */
#ifndef ENTRY_REPORT_POLL_H
#define ENTRY_REPORT_POLL_H

#include <stdint.h>

struct daemon;
struct report_poll;

/* interval_us: pause between polls, and timeout of a call. */
struct report_poll *report_poll_create(struct daemon *, int64_t interval_us);
/* Close the daemon's connections before, so that no call is pending. */
void report_poll_destroy(struct report_poll *);

#endif
