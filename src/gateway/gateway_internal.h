/* gateway_internal -- settings and state that the gateway's files share. */
#ifndef GATEWAY_GATEWAY_INTERNAL_H
#define GATEWAY_GATEWAY_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "common/process.h"
#include "common/rng.h"
#include "coordination/replica_speed.h"
#include "coordination/source_choice.h"
#include "protocol/fleet.h"
#include "transport/http_client.h"

struct backends;
struct crash_guard;
struct deployment;
struct deployment_sync;
struct exchange;
struct http_server;
struct seen_model;
struct keyed_feed;
struct sidecar_conns;
struct model_prefill;
struct model_rates;
struct peer_conns;
struct prefix_map;
struct quota_asker;
struct replica_records;
struct retry_budget;

/* Described in the table of options; addresses are IP:PORT. */
struct gateway_settings {
	char *vm;
	char *zone;
	char *log_level;
	char *listen;
	char *ready_listen;
	char *metrics_listen;
	char *peer_listen;
	char *seeds;
	char *store; /* its address */
	int64_t store_timeout_ms;
	int64_t sidecar_port;
	int64_t drain_ms;
	int64_t expiry_grace_ms;
	int64_t drain_within_ms;
	double retry_share;
	int64_t retry_floor;
	int64_t retry_gateways;
	int64_t quota_window_ms;
	double quota_overage;
	double quota_slack;
};

struct gateway_counters {
	uint64_t *answered;
	uint64_t *refused;
	uint64_t *failed;
	uint64_t *disconnected;
	uint64_t *retried;
	uint64_t *resumed;
	uint64_t *over_limit;
	int64_t *answers_held;
};

TAILQ_HEAD(exchange_list, exchange);

struct gateway {
	struct gateway_settings settings;
	const char *path;
	const struct fleet_driver *driver;
	struct process process;
	void *store; /* the driver's client of it */
	struct keyed_feed *deployment_feed;
	struct keyed_feed *replica_feed;
	struct deployment_sync *deployment_sync;
	struct deployment *deployment; /* active; NULL until the first one */
	struct source_choice deployment_source;
	struct backends *backends;
	struct sidecar_conns *sidecar_conns;
	struct peer_conns *peer_conns;
	struct replica_records *replica_records;
	struct crash_guard *crash_guard;
	struct http_server *caller_http;
	struct http_server *ready_http;
	struct http_server *metrics_http;
	struct exchange_list exchanges;
	unsigned unrouted; /* requests that wait for the first deployment */
	size_t open_responses; /* not completely written yet */
	struct http_buffer_quota answer_quota; /* answers of replicas */
	struct slowdown_peak engine_peak; /* of all replicas with an engine */
	struct retry_budget *retry_budget;
	struct quota_asker *quota_asker;
	struct prefix_map *prefix_map;
	struct model_prefill *prefill_factors;
	struct model_rates *request_rates;
	struct rng rng;
	uint64_t last_prefill_id; /* of the last prefill request */
	struct seen_model *seen_models; /* that have had a copy */
	int64_t reload_check_us; /* of the last check for lost models */
	int64_t fill_us; /* of the last check for free memory */
	int64_t scale_out_us; /* of the last load request for scale out */
	struct event *tick;
	int64_t stop_us; /* time of the SIGTERM; 0: not stopping */
	struct gateway_counters counters;
};

/*
 * Most tokens in a service's retry budget: RETRY_FLOOR_SHARE of the retry
 * floor, divided by the number of gateways; at least 1.
 */
double gateway_retry_burst(const struct gateway *, unsigned gateways);

/* While stopping: time until all requests are to be ended; negative: passed. */
int64_t gateway_stop_left_us(const struct gateway *);

/* Sets the pause between two checks of each feed by one gateway of so many. */
void gateway_set_check_pauses(struct gateway *, unsigned gateways);

#endif
