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

struct fleet_node {
	char id[HARNESS_TEXT];
	char address[HARNESS_TEXT];
	char listed[HARNESS_TEXT]; /* for gateways; a proxy's if proxied */
	char link[HARNESS_TEXT]; /* where faults of the proxy are set */
	struct proc proxy;
	struct proc replica;
	struct proc sidecar;
};

struct fleet {
	char dir[128];
	char store[HARNESS_TEXT];
	int sidecar_port;
	struct proc store_proc;
	bool proxied;
	char gateways_store[HARNESS_TEXT]; /* a proxy's if proxied */
	char store_link[HARNESS_TEXT];
	struct proc store_proxy;
	struct fleet_node engines[FLEET_ENGINES];
	struct fleet_node services[FLEET_SERVICES];
	struct proc gateways[FLEET_GATEWAYS];
	char front[FLEET_GATEWAYS][HARNESS_TEXT];
	char ready[FLEET_GATEWAYS][HARNESS_TEXT];
	char peer[FLEET_GATEWAYS][HARNESS_TEXT];
	int version;
	const char *limits; /* more of the configuration's; or NULL */
	int requests;
};

extern struct fleet fleet;

void fleet_start(void);
/* With a proxy from the gateways to the store, and to each backend server. */
void fleet_start_proxied(void);
/* Kills what still runs. */
void fleet_stop(void);
void fleet_start_gateway(int i);
void fleet_start_sidecar(struct fleet_node *, const char *name);
bool fleet_gateway_ready(void *ready_address);

/* Writes a key of the store; value NULL deletes it. */
void fleet_write_key(const char *topic, const char *key, const char *value);
/* The next version, with further routes: "" or ",{...}". */
void fleet_configure(const char *more_routes);
void fleet_list_replica(const struct fleet_node *, const char *service,
    const char *state, int64_t born);

/* Returns the number of the request; model NULL: none. */
int fleet_request(
    struct answer *, int gateway, const char *path, const char *model);
bool fleet_whole_stream(const struct answer *, int request);
/* Sum of a figure of the replicas' journals. */
int64_t fleet_journal(const struct fleet_node *, int count, const char *what);
void fleet_fault_all(const struct fleet_node *, int count, const char *json);

#endif
