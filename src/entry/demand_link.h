/*
 * demand_link -- sends this entry's demand to the holder of the control lease.
 *
 * Reports only what changed, at most once an interval, over a connection that
 * is kept while the lease names that holder.  While none can be reached the
 * demand adds up; its sum is bounded by the number of models.
 */
#ifndef ENTRY_DEMAND_LINK_H
#define ENTRY_DEMAND_LINK_H

#include <stdint.h>

struct demand;
struct demand_link;
struct event_base;
struct daemon;
struct rpc_conn;
struct tm_demand_report;

struct demand_link_options {
	struct daemon *daemon;
	struct demand *demand;
	const char *self; /* VM id of this entry */
	int64_t interval_us;
	/* Takes the report where this entry is the holder itself. */
	void (*local)(void *ctx, const struct tm_demand_report *);
	void *ctx;
};

struct demand_link *demand_link_create(const struct demand_link_options *);
void demand_link_destroy(struct demand_link *);

/* Call at each closed connection. */
void demand_link_conn_closed(struct demand_link *, const struct rpc_conn *);

#endif
