/* peers_internal -- gateways that are connected to a sidecar. */
#ifndef SIDECAR_PEERS_INTERNAL_H
#define SIDECAR_PEERS_INTERNAL_H

#include <bsd/sys/queue.h>

#include "coordination/prefill_gate.h"
#include "protocol/fleet.h"
#include "protocol/tm_xdr.h"
#include "sidecar/peers.h"
#include "transport/rpc.h"

/* Its own procedures, two of the deployment, and the end. */
#define PEERS_HANDLERS 7

struct peer_use {
	char model[FLEET_NAME_MAX];
	char adapter[FLEET_NAME_MAX];
	unsigned in_flight;
};

struct peer {
	struct rpc_conn *conn;
	int64_t sent_us; /* the last message to it */
	uint64_t told_hash; /* of what it was told that the replica holds */
	uint64_t told_models; /* likewise, of the models only; 0: nothing */
	int64_t told_us;
	int64_t wants_until_us; /* its requests wait for a load until then */
	struct peer_use *uses;
	unsigned use_count;
	unsigned use_size;
	TAILQ_ENTRY(peer) link;
};

struct peers {
	struct sidecar *sidecar;
	struct rpc *rpc;
	unsigned count;
	struct prefill_gate *gate;
	struct tm_replica_load load; /* as told last */
	int64_t load_us;
	uint64_t version; /* of the deployment */
	int64_t version_us;
	bool version_told;
	struct rpc_handler handlers[PEERS_HANDLERS];
	TAILQ_HEAD(, peer) list;
};

/* ---- peers_tell.c ---- */

void peers_send_load(
    struct peers *, struct peer *, const struct tm_replica_load *);

#endif
