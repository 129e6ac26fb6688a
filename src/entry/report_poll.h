/*
 * report_poll -- asks for the load of agents that had none to tell at hello.
 *
 * An agent answers hello before its engine has answered it; until its first
 * report nothing can be placed on it, and without a slot it has no replies for
 * a report to ride on.
 */
#ifndef ENTRY_REPORT_POLL_H
#define ENTRY_REPORT_POLL_H

#include <stdint.h>

struct node;
struct report_poll;

struct report_poll *report_poll_create(struct node *, int64_t interval_us);
/* The node's connections must be closed before. */
void report_poll_destroy(struct report_poll *);

#endif
