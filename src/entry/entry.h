/* entry -- the daemon that callers and operators talk to. */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include <stddef.h>
#include <stdint.h>

#include "coordination/daemon.h"

struct caller_limits {
	size_t max_backlog; /* bytes waiting for a slow caller */
};

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
	int64_t gone_ms;
	int64_t shrink_ms;
	int64_t loads_per_sec;
	int64_t max_loads;
	int64_t max_adapters;
	int64_t permit_ms;
	int64_t place_tick_ms;
	int64_t small_fleet;
	int64_t sample_per_zone;
	int64_t keep_peer_ms;
	char *default_rank;
	char *tokens;
};

struct entry {
	struct entry_settings settings;
	const char *path;
	struct daemon *daemon;
	struct http_server *http;
	char *connection_refusal;
	struct operators *operators;
	struct holder *holder;
	struct request_table *requests;
	struct subset *subset;
	struct demand *demand;
	struct demand_link *demand_link;
	struct report_pull *report_pull;
	struct watch_hub *watches;
	struct usage *usage;
	struct event *tick;
	size_t open_callers; /* answers not yet out */
	int64_t leave_us;
};

/* Runs `tamarackmast entry`; returns the exit status. */
int entry_main(int argc, char **argv);

/* NULL if ready; otherwise the reason why not. */
const char *entry_not_ready(const struct entry *);

/* Notes that work may go to the peer, and connects to it if need be. */
void entry_use_peer(struct entry *, struct peer *);

#endif
