/* gateway_conns_internal -- state that the gateway_conns*.c files share. */
#ifndef SIDECAR_GATEWAY_CONNS_INTERNAL_H
#define SIDECAR_GATEWAY_CONNS_INTERNAL_H

#include <bsd/sys/queue.h>

#include "coordination/deployment_sync.h"
#include "coordination/prefill_gate.h"
#include "protocol/fleet.h"
#include "protocol/tm_xdr.h"
#include "sidecar/gateway_conns.h"
#include "transport/rpc.h"

/* Those of gateway_conns.c and of deployment_sync, and the terminator. */
#define GATEWAY_CONNS_HANDLERS (14 + DEPLOYMENT_SYNC_HANDLERS + 1)

/* A gateway's requests for one model and adapter. */
struct gateway_use {
	char model[FLEET_NAME_MAX];
	char adapter[FLEET_NAME_MAX]; /* "": none */
	unsigned in_flight;
};

/* Times are of the process's clock. */
struct gateway_conn {
	struct rpc_conn *conn;
	int64_t load_sent_us; /* of the last load report */
	bool chooses; /* it has said whether it follows this sidecar */
	bool follows;
	/* The last TM_DEPLOYMENT_STATE: */
	bool state_sent;
	bool sent_current;
	uint64_t sent_version;
	int64_t hint_sent_us; /* that it is behind another gateway */
	/* How far it has read the replicas' topic; 0: it reports to another
	 * sidecar.
	 */
	uint64_t replicas_read;
	uint64_t hinted_offset; /* of the last hint without a message of it */
	uint64_t sent_holds_hash; /* of the last TM_REPLICA_HOLDS */
	uint64_t sent_models_hash; /* of its loaded models; 0: none sent yet */
	int64_t holds_sent_us;
	uint64_t sent_rates; /* generation of the last TM_PREFILL_FACTORS */
	/* Until then, requests of this gateway wait for a load. */
	int64_t load_wait_until_us;
	unsigned peak_percent; /* as it reported; 0: nothing yet */
	struct gateway_use *uses;
	unsigned use_count;
	unsigned use_size; /* allocated */
	TAILQ_ENTRY(gateway_conn) link;
};

struct gateway_conns {
	struct sidecar *sidecar;
	struct rpc *rpc;
	unsigned count; /* of list */
	struct prefill_gate *prefill_gate;
	struct prefill_rates *prefill_rates;
	double slowdown_peak; /* as gateways report, see replica_speed.h */
	int64_t gap_goal_us; /* least of the routes to the service; 0: none */
	struct limit_meter *limit_meter;
	struct quota_meter *quota_meter;
	uint64_t *quota_granted; /* requests */
	uint64_t *quota_refused;
	struct tm_replica_load sent_load; /* the last load report */
	int64_t load_sent_us;
	uint64_t version; /* of the active deployment */
	int64_t version_us; /* when it was first seen here */
	bool version_sent; /* to every gateway that was connected */
	uint64_t replicas_offset; /* most that a gateway has read to */
	int64_t replicas_offset_us; /* since when */
	struct rpc_handler handlers[GATEWAY_CONNS_HANDLERS];
	TAILQ_HEAD(, gateway_conn) list;
};

/* ---- gateway_conns.c ---- */

/* The gateway that made the call; NULL once its connection is closed. */
struct gateway_conn *gateway_conns_caller(
    struct gateway_conns *, struct rpc_call *);

/* ---- gateway_conns_limit.c ---- */

/* Handlers of TM_LIMIT and TM_LIMIT_TAKE; ctx: struct gateway_conns. */
void gateway_conns_on_limit(void *ctx, struct rpc_call *, void *args);
void gateway_conns_on_limit_take(void *ctx, struct rpc_call *, void *args);
/* Sends a gateway that has connected the limits in force. */
void gateway_conn_send_limits(struct gateway_conns *, struct gateway_conn *);

/* ---- gateway_conns_quota.c ---- */

/* Returns -1 if out of memory. */
int gateway_conns_create_quotas(struct gateway_conns *);
/* Handlers of TM_QUOTA_TAKE and TM_QUOTA_RETURN; ctx: struct gateway_conns. */
void gateway_conns_on_quota_take(void *ctx, struct rpc_call *, void *args);
void gateway_conns_on_quota_return(void *ctx, struct rpc_call *, void *args);

/* ---- gateway_conns_hint.c ---- */

/* Handler of TM_REPLICAS_READ; ctx: struct gateway_conns. */
void gateway_conns_on_read(void *ctx, struct rpc_call *, void *args);
/* A message of the gateway (NULL: not known yet) says how far it has read. */
void gateway_conns_note_read(
    struct gateway_conns *, struct gateway_conn *, uint64_t offset);
/* Hints the gateways that are behind and send nothing; call it on every tick.
 */
void gateway_conns_hint_idle(struct gateway_conns *);

/* ---- gateway_conns_report.c ---- */

void gateway_conn_send_load(struct gateway_conns *, struct gateway_conn *,
    const struct tm_replica_load *);

#endif
