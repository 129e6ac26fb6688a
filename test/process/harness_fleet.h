/*
 * harness_fleet -- gateways, sidecars, and stand-ins of the users' platform.
 *
 * Two engines, each on an address of its own, two plain services and two
 * gateways.  One fleet at a time.
 */
#ifndef TEST_HARNESS_FLEET_H
#define TEST_HARNESS_FLEET_H

#include "harness.h"

#define FLEET_ENGINES 2
#define FLEET_SERVICES 2
#define FLEET_GATEWAYS 2
#define FLEET_EVENTS 8

struct fleet_backend {
	char id[HARNESS_TEXT_SIZE];
	char address[HARNESS_TEXT_SIZE];
	char listed_address[HARNESS_TEXT_SIZE]; /* for gateways; a proxy's if
						   proxied */
	char proxy_control[HARNESS_TEXT_SIZE]; /* where faults of the proxy are
						  set */
	struct proc proxy;
	struct proc replica;
	struct proc sidecar;
};

struct fleet {
	char dir[128];
	char store[HARNESS_TEXT_SIZE];
	int sidecar_port;
	struct proc store_proc;
	bool proxied;
	char
	    gateway_store_address[HARNESS_TEXT_SIZE]; /* a proxy's if proxied */
	char store_proxy_control[HARNESS_TEXT_SIZE];
	struct proc store_proxy;
	struct fleet_backend engines[FLEET_ENGINES];
	struct fleet_backend services[FLEET_SERVICES];
	struct proc gateways[FLEET_GATEWAYS];
	char http_address[FLEET_GATEWAYS][HARNESS_TEXT_SIZE];
	char ready_address[FLEET_GATEWAYS][HARNESS_TEXT_SIZE];
	char peer_address[FLEET_GATEWAYS][HARNESS_TEXT_SIZE];
	int config_version;
	const char *extra_limits; /* more of the configuration's; or NULL */
	int request_count;
};

extern struct fleet fleet;

void fleet_start(void);
/* With a proxy from the gateways to the store, and to each backend server. */
void fleet_start_proxied(void);
/* Kills what still runs. */
void fleet_stop(void);
void fleet_start_gateway(int i);
void fleet_start_sidecar(struct fleet_backend *, const char *name);
bool fleet_gateway_ready(void *ready_address);

/* Writes a key of the store; value NULL deletes it. */
void fleet_write_key(const char *topic, const char *key, const char *value);
/* The next version, with further routes: "" or ",{...}". */
void fleet_configure(const char *extra_routes);
void fleet_write_replica(const struct fleet_backend *, const char *service,
    const char *state, int64_t born_ms);

/* Returns the number of the request; model NULL: none. */
int fleet_request(
    struct response *, int gateway, const char *path, const char *model);
bool fleet_is_complete_stream(const struct response *, int request);
/* Sum of a figure of the replicas' journals. */
int64_t fleet_sum_journals(
    const struct fleet_backend *, int count, const char *field);
void fleet_set_faults(
    const struct fleet_backend *, int count, const char *json);

#endif
