/*
 * entry -- the daemon that serves callers and operators.
 *
 * Routes callers' requests to agents, serves declarations as resources, and
 * competes for the lease of the control shard: its holder decides placement.
 */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include <stddef.h>
#include <stdint.h>

#include "coordination/daemon.h"

struct caller_limits {
	size_t max_backlog; /* unsent bytes of one slow caller */
};

/* Times in ms, sizes in bytes; see the option table in entry.c. */
struct entry_settings {
	struct daemon_settings daemon;
	int64_t max_body;
	int64_t max_headers;
	int64_t max_requests;
	int64_t max_tenant_requests;
	int64_t caller_backlog;
	int64_t idle_timeout_ms;
	int64_t first_request_ms;
	int64_t max_connections;
	int64_t dispatch_timeout_ms;
	int64_t resume_window_ms;
	int64_t max_attempts;
	int64_t slot_wait_ms;
	int64_t silence_ms;
	int64_t retry_percent;
	int64_t retry_burst;
	int64_t demand_interval_ms;
	int64_t lease_term_ms;
	int64_t lease_drift_ms;
	int64_t removal_grace_ms;
	int64_t shrink_ms;
	int64_t loads_per_sec;
	int64_t max_loads;
	int64_t max_adapters;
	int64_t permit_expiry_ms;
	int64_t place_tick_ms;
	int64_t small_fleet;
	int64_t sample_per_zone;
	int64_t keep_peer_ms;
	int64_t quota_window_ms;
	double quota_overage;
	double quota_slack;
	char *default_rank;
	char *tokens;
};

struct entry {
	struct entry_settings settings;
	const char *path; /* of the settings file */
	struct daemon *daemon;
	struct http_server *http;
	struct entry_refusals *refusals;
	struct operators *operators;
	struct account_index *accounts;
	struct holder *holder;
	struct request_table *requests;
	struct subset *subset;
	struct demand *demand;
	struct demand_reporter *demand_reporter;
	struct report_poll *report_poll;
	struct watch_hub *watches;
	struct usage *usage;
	struct event *drain_check_timer;
	size_t open_callers; /* exchanges whose answer is not sent yet */
	int64_t leaving_since_us; /* 0: not leaving */
};

/* Runs `tamarackmast entry`; returns the exit status. */
int entry_main(int argc, char **argv);

/* NULL if this entry may accept work; otherwise a text with the reason. */
const char *entry_unready_reason(const struct entry *);

/*
 * Records that work may go to the peer, which keeps it in the connected subset,
 * and connects to it if it is not connected.
 */
void entry_use_peer(struct entry *, struct peer *);

#endif
