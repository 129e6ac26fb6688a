/* peers_internal -- gateways that are connected to a sidecar. */
#ifndef SIDECAR_GATEWAY_CONNS_INTERNAL_H
#define SIDECAR_GATEWAY_CONNS_INTERNAL_H

#include <bsd/sys/queue.h>

#include "coordination/read_gate.h"
#include "protocol/fleet.h"
#include "protocol/tm_xdr.h"
#include "sidecar/gateway_conns.h"
#include "transport/rpc.h"

/* Its own procedures, two of the deployment, and the end. */
#define GATEWAY_CONNS_HANDLERS 7

struct gateway_use {
	char model[FLEET_NAME_MAX];
	char adapter[FLEET_NAME_MAX];
	unsigned in_flight;
};

struct gateway_conn {
	struct rpc_conn *conn;
	int64_t last_sent_us; /* the last message to it */
	uint64_t sent_hash; /* of what it was told that the replica holds */
	uint64_t sent_models; /* likewise, of the models only; 0: nothing */
	int64_t holds_sent_us;
	int64_t
	    load_wait_until_us; /* its requests wait for a load until then */
	struct gateway_use *uses;
	unsigned use_count;
	unsigned use_size;
	TAILQ_ENTRY(gateway_conn) link;
};

struct gateway_conns {
	struct sidecar *sidecar;
	struct rpc *rpc;
	unsigned count;
	struct read_gate *prefill_gate;
	struct tm_replica_load sent_load; /* as told last */
	int64_t load_sent_us;
	uint64_t version; /* of the deployment */
	int64_t version_us;
	bool version_sent;
	struct rpc_handler handlers[GATEWAY_CONNS_HANDLERS];
	TAILQ_HEAD(, gateway_conn) list;
};

/* ---- gateway_conns_report.c ---- */

void gateway_conn_send_load(struct gateway_conns *, struct gateway_conn *,
    const struct tm_replica_load *);

#endif
