/* gateway_internal -- state that the gateway's files share. */
#ifndef GATEWAY_GATEWAY_INTERNAL_H
#define GATEWAY_GATEWAY_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "common/process.h"
#include "common/rng.h"
#include "protocol/fleet.h"

struct backends;
struct deployment;
struct deployment_share;
struct exchange;
struct http_server;
struct kept_model;
struct keyed_feed;
struct sidecar_links;
struct model_prefill;
struct model_rates;
struct peer_links;
struct prefix_map;
struct roster;
struct retry_budget;

struct gateway_settings {
	char *vm;
	char *zone;
	char *log_level;
	char *listen;
	char *ready_listen;
	char *metrics_listen;
	char *peer_listen;
	char *seeds;
	char *store;
	int64_t store_timeout_ms;
	int64_t sidecar_port;
	int64_t drain_ms;
	int64_t lapse_ms;
	int64_t drain_within_ms;
	double retry_share;
	int64_t retry_floor;
	int64_t retry_sharers;
};

struct gateway_counters {
	uint64_t *answered;
	uint64_t *refused;
	uint64_t *failed;
	uint64_t *left;
	uint64_t *resent;
	uint64_t *resumed;
};

TAILQ_HEAD(exchange_list, exchange);

struct gateway {
	struct gateway_settings settings;
	const char *path;
	const struct fleet_adapter *adapter;
	struct process process;
	void *store;
	struct keyed_feed *deployment_feed;
	struct keyed_feed *replica_feed;
	struct deployment_share *share;
	struct deployment *deployment; /* in force; NULL until the first one */
	struct backends *backends;
	struct sidecar_links *links;
	struct peer_links *peers;
	struct roster *roster;
	struct http_server *front;
	struct http_server *ready;
	struct http_server *metrics_http;
	struct exchange_list exchanges;
	unsigned unrouted; /* requests that wait for a deployment */
	size_t open; /* answers that have not left this process */
	struct retry_budget *budget;
	struct prefix_map *prefixes;
	struct model_prefill *paces;
	struct model_rates *rates;
	struct rng rng;
	uint64_t read_ids; /* used for leave to read prompts */
	struct kept_model *kept; /* models that have had a copy */
	int64_t guard_us; /* when lost models were last looked for */
	int64_t spread_us; /* when a model was last spread */
	struct event *tick;
	int64_t stop_us; /* when SIGTERM came; 0: runs */
	struct gateway_counters counters;
};

/* Most retries that a gateway may save up for one service. */
double gateway_retry_burst(const struct gateway *, unsigned gateways);

#endif
