/*
 * report_pull -- asks for the load of agents that had none to tell at hello.
 *
 * An agent answers hello before its engine has answered it; until its first
 * report nothing can be placed on it, and without a slot it has no replies for
 * a report to ride on.
 */
#ifndef ENTRY_REPORT_PULL_H
#define ENTRY_REPORT_PULL_H

#include <stdint.h>

struct daemon;
struct report_pull;

struct report_pull *report_pull_create(struct daemon *, int64_t interval_us);
/* The node's connections must be closed before. */
void report_pull_destroy(struct report_pull *);

#endif
