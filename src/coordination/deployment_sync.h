/*
 * deployment_sync -- the deployment in force, and its way between daemons.
 *
 * Every message between gateways and sidecars shows its sender's version.  A
 * daemon that sees a newer one, and does not get it from the store soon, asks
 * the peer that showed it: so a daemon that the store turns away stays current,
 * and nothing is sent twice to one that can read the store.
 */
#ifndef COORDINATION_DEPLOYMENT_SYNC_H
#define COORDINATION_DEPLOYMENT_SYNC_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/fleet.h"

struct deployment;
struct deployment_sync;
struct process;
struct rpc_call;
struct rpc_conn;
struct rpc_versions;

struct deployment_sync_options {
	struct process *process;
	const struct fleet_driver *driver;
	/* Another deployment is in force. */
	void (*changed)(void *ctx);
	void *ctx;
};

struct deployment_sync *deployment_sync_create(
    const struct deployment_sync_options *);
void deployment_sync_destroy(struct deployment_sync *);

/* NULL until the first one. */
struct deployment *deployment_sync_current(const struct deployment_sync *);
uint64_t deployment_sync_version(const struct deployment_sync *);

/* A record of the store's topic; a callback of keyed_feed. */
void deployment_sync_on_record(void *sync, const struct fleet_record *);

/* Callbacks of rpc; the context is the share. */
void deployment_sync_fill_versions(void *sync, struct rpc_versions *);
void deployment_sync_on_peer_versions(
    void *sync, struct rpc_conn *, const struct rpc_versions *);
void deployment_sync_handle_doc(void *sync, struct rpc_call *, void *args);
void deployment_sync_handle_ask(void *sync, struct rpc_call *, void *args);

/* A connection of the peers' has closed. */
void deployment_sync_conn_closed(struct deployment_sync *, struct rpc_conn *);
/* Asks if it has been behind for long enough; call every 100 ms or so. */
void deployment_sync_tick(struct deployment_sync *);

#endif
