/*
 * deployment_sync -- the active deployment, and its exchange between daemons.
 *
 * Gateways and sidecars have one.  A deployment becomes active if its version
 * is higher than the active one's, whether it comes from the store or a peer.
 * All messages between these daemons carry the sender's version.  A daemon that
 * is behind requests what it lacks from one peer at a time, in parts: the
 * changes since its own version or, if the peer does not remember that, the
 * whole document (struct deployment_history).  One that reads the store itself
 * does so only if the store does not deliver the version soon, and takes no
 * whole document from a peer while the store's is on its way.
 */
#ifndef COORDINATION_DEPLOYMENT_SYNC_H
#define COORDINATION_DEPLOYMENT_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/fleet.h"

struct deployment;
struct deployment_sync;
struct process;
struct rpc_call;
struct rpc_conn;
struct rpc_handler;
struct rpc_versions;

struct deployment_sync_options {
	struct process *process;
	const struct fleet_driver *driver;
	/* Runs after another deployment has become active. */
	void (*changed)(void *ctx);
	/*
	 * Runs after a peer's deployment has become active, before changed(),
	 * with the offset after its record in the store.
	 */
	void (*received)(void *ctx, uint64_t next);
	/* Whether the store's answer with a record is on its way. */
	bool (*store_answers)(void *ctx);
	/* Whether peers are asked first, since the store is not followed. */
	bool (*peers_first)(void *ctx);
	void *ctx;
};

/* Returns NULL if out of memory. */
struct deployment_sync *deployment_sync_create(
    const struct deployment_sync_options *);
void deployment_sync_destroy(struct deployment_sync *);

/* The active deployment, valid until the next is; NULL: none yet. */
struct deployment *deployment_sync_current(const struct deployment_sync *);
/* Its version; 0: none yet. */
uint64_t deployment_sync_version(const struct deployment_sync *);
/* Whether a peer has a newer version. */
bool deployment_sync_outdated(const struct deployment_sync *);

/* Callback of keyed_feed for FLEET_DEPLOYMENT; the context is the sync. */
void deployment_sync_on_record(void *sync, const struct fleet_record *);

/* Callbacks of rpc; the context is the sync. */
/* Sets the deployment's version, and the other one to 0. */
void deployment_sync_fill_versions(void *sync, struct rpc_versions *);
void deployment_sync_on_peer_versions(
    void *sync, struct rpc_conn *, const struct rpc_versions *);

#define DEPLOYMENT_SYNC_HANDLERS 3
/* Fills in DEPLOYMENT_SYNC_HANDLERS handlers of messages between peers. */
void deployment_sync_handlers(struct deployment_sync *, struct rpc_handler *);

/*
 * Call when a connection to a peer has been closed; the connections must be
 * closed before the sync is destroyed.
 */
void deployment_sync_conn_closed(struct deployment_sync *, struct rpc_conn *);
/* Sends a request to a newer peer if one is due.  Call it on every tick. */
void deployment_sync_tick(struct deployment_sync *);

#endif
