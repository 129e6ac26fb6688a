/*
 * demand_reporter -- sends this entry's demand to the holder of the control
 * lease.
 *
 * Reports once an interval if there was any demand, over a connection that is
 * kept as long as the lease names the same holder.  While no holder can be
 * reached the demand accumulates; its size is bounded by the number of models.
 */
#ifndef ENTRY_DEMAND_REPORTER_H
#define ENTRY_DEMAND_REPORTER_H

#include <stdint.h>

struct demand;
struct demand_reporter;
struct event_base;
struct daemon;
struct rpc_conn;
struct tm_demand_report;

struct demand_reporter_options {
	struct daemon *daemon;
	struct demand *demand;
	const char *self; /* VM id of this entry */
	int64_t interval_us;
	/* Receives the report if this entry is the holder itself. */
	void (*deliver_local)(void *ctx, const struct tm_demand_report *);
	void *ctx;
};

struct demand_reporter *demand_reporter_create(
    const struct demand_reporter_options *);
void demand_reporter_destroy(struct demand_reporter *);

/* Call whenever a connection closes. */
void demand_reporter_conn_closed(
    struct demand_reporter *, const struct rpc_conn *);

#endif
