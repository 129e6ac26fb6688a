/*
 * demand -- counts the requests for each model between two demand reports.
 *
 * An entry records arrivals, refusals and waits, and sends the sums to the
 * holder of the control lease.  Models beyond max_models are left out of a
 * report.
 */
#ifndef COORDINATION_DEMAND_H
#define COORDINATION_DEMAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

struct demand;

struct demand *demand_create(size_t max_models);
void demand_destroy(struct demand *);

/* Records a request of so many tokens, prompt and answer. */
void demand_arrived(struct demand *, const char *model, uint32_t tokens);
void demand_refused(struct demand *, const char *model);
/* Records the time from arrival to the first part of the answer. */
void demand_waited(struct demand *, const char *model, int64_t wait_us);

/*
 * Moves the sums into the report's models, to be freed with
 * demand_report_clear().  Returns false if there are none.
 */
bool demand_take(struct demand *, struct tm_demand_report *);
void demand_report_clear(struct tm_demand_report *);

#endif
