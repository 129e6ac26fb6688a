/* sidecar_internal -- settings and state that the sidecar's files share. */
#ifndef SIDECAR_SIDECAR_INTERNAL_H
#define SIDECAR_SIDECAR_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "common/process.h"
#include "protocol/fleet.h"

struct deployment;
struct deployment_sync;
struct engine_spec;
struct http_server;
struct keyed_feed;
struct gateway_conns;
struct replica_control;

/* Described in the table of options; addresses are IP:PORT. */
struct sidecar_settings {
	char *vm;
	char *zone;
	char *log_level;
	char *listen; /* RPC */
	char *metrics_listen;
	char *store; /* its address */
	int64_t store_timeout_ms;
	char *replica; /* its address */
	char *service;
	int64_t poll_ms;
	int64_t busy_poll_ms;
	int64_t min_keep_ms;
	int64_t load_window_ms;
	double load_overage;
	int64_t load_offline_ms;
	int64_t load_concurrency;
	int64_t order_linger_ms;
};

struct sidecar {
	struct sidecar_settings settings;
	const char *path;
	const struct fleet_driver *driver;
	struct process process;
	void *store; /* the driver's client of it */
	void *replica; /* the driver's client of it */
	struct keyed_feed *deployment_feed;
	bool deployment_paused; /* its feed, as gateways bring the deployment */
	int64_t unfollowed_us; /* since when; 0: a gateway follows */
	struct deployment_sync *deployment_sync;
	struct deployment *deployment; /* active; NULL until the first one */
	struct http_server *metrics_http;
	struct gateway_conns *gateway_conns;
	struct replica_control *replica_control;
	struct event *tick;
	int64_t stop_us; /* time of the SIGTERM; 0: not stopping */
};

/* Whether the deployment comes from the store, which answers. */
bool sidecar_reads_store(const struct sidecar *);

/*
 * The engine that the active deployment declares for the replica's service;
 * NULL if none.
 */
const struct engine_spec *sidecar_engine(const struct sidecar *);

#endif
