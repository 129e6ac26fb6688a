/*
 * demand -- what callers ask of each model, gathered between two reports.
 *
 * Bounded: models beyond max_models are left out of a report.
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

void demand_arrived(struct demand *, const char *model, uint32_t tokens);
void demand_refused(struct demand *, const char *model);
/* Time from arrival to the first part of the answer. */
void demand_waited(struct demand *, const char *model, int64_t wait_us);

/*
 * Moves what was gathered into the report's models; false if there is nothing.
 * Free them with demand_report_clear().
 */
bool demand_take(struct demand *, struct tm_demand_report *);
void demand_report_clear(struct tm_demand_report *);

#endif
