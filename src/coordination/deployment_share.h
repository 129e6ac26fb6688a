/*
 * deployment_share -- the deployment in force, and its way between daemons.
 *
 * Every message between gateways and sidecars shows its sender's version.  A
 * daemon that sees a newer one, and does not get it from the store soon, asks
 * the peer that showed it: so a daemon that the store turns away stays current,
 * and nothing is sent twice to one that can read the store.
 */
#ifndef COORDINATION_DEPLOYMENT_SHARE_H
#define COORDINATION_DEPLOYMENT_SHARE_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/fleet.h"

struct deployment;
struct deployment_share;
struct process;
struct rpc_call;
struct rpc_conn;
struct rpc_versions;

struct deployment_share_options {
	struct process *process;
	const struct fleet_driver *adapter;
	/* Another deployment is in force. */
	void (*changed)(void *ctx);
	void *ctx;
};

struct deployment_share *deployment_share_create(
    const struct deployment_share_options *);
void deployment_share_destroy(struct deployment_share *);

/* NULL until the first one. */
struct deployment *deployment_share_get(const struct deployment_share *);
uint64_t deployment_share_version(const struct deployment_share *);

/* A record of the store's topic; a callback of keyed_feed. */
void deployment_share_record(void *share, const struct fleet_record *);

/* Callbacks of rpc; the context is the share. */
void deployment_share_fill(void *share, struct rpc_versions *);
void deployment_share_seen(
    void *share, struct rpc_conn *, const struct rpc_versions *);
void deployment_share_on_doc(void *share, struct rpc_call *, void *args);
void deployment_share_on_ask(void *share, struct rpc_call *, void *args);

/* A connection of the peers' has closed. */
void deployment_share_closed(struct deployment_share *, struct rpc_conn *);
/* Asks if it has been behind for long enough; call every 100 ms or so. */
void deployment_share_tick(struct deployment_share *);

#endif
