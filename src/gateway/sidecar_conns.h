/*
 * sidecar_conns -- the gateway's RPC connections to the replicas' sidecars.
 *
 * A sidecar reports its replica's holdings (loaded models and local copies) and
 * load.  The gateway sends it the uses of each model, load requests, and
 * requests for prefill permits and for places within a replica's limit.  Every
 * message carries its sender's deployment version; the side that is behind
 * requests the deployment on the same connection.  Gateways are not connected
 * to each other for what they report to all others: a sidecar passes it on.
 */
#ifndef GATEWAY_SIDECAR_CONNS_H
#define GATEWAY_SIDECAR_CONNS_H

#include <stdbool.h>
#include <stdint.h>

#include "transport/rpc.h"

struct backend;
struct gateway;
struct sidecar_conns;
struct request_params;
struct tm_crash;
struct tm_limit_take;
struct tm_read_args;

struct sidecar_conns *sidecar_conns_create(struct gateway *);
void sidecar_conns_destroy(struct sidecar_conns *);

/*
 * Connects to the sidecar of each listed replica whose service has an engine,
 * unless connected; again no earlier than the reconnect pause.
 */
void sidecar_conns_refresh(struct sidecar_conns *);
/* Closes the connection to the sidecar, before the backend is freed. */
void sidecar_conns_close(struct sidecar_conns *, struct backend *);

/*
 * Sends uses that changed and how far the replicas' topic has been read, and
 * reconnects; call it on every tick.
 */
void sidecar_conns_tick(struct sidecar_conns *);

/*
 * Requests the load of the model and adapter that the caller's request names;
 * expires after left_us.  Nothing is sent while the sidecar is not connected.
 */
void sidecar_conns_request_load(struct sidecar_conns *, struct backend *,
    const struct request_params *, unsigned rank, int64_t left_us);

/*
 * Asks the replica's sidecar for a sign of life, unless that is under way;
 * calls exchanges_on_silent_sidecar() if none comes.
 */
void sidecar_conns_check(struct sidecar_conns *, struct backend *);
/*
 * Requests a prefill permit of the replica's sidecar.  Returns the connection
 * with the pending call, which done() ends with a struct tm_read_reply, or NULL
 * if the sidecar is not connected.
 */
struct rpc_conn *sidecar_conns_request_prefill(struct sidecar_conns *,
    struct backend *, const struct tm_read_args *,
    void (*done)(void *ctx, enum rpc_status, void *reply), void *ctx);
/*
 * The listed replica whose sidecar meters the requests to this one: itself, or
 * for a replica without a sidecar one that all gateways choose alike.  NULL if
 * no replica has a sidecar.
 */
struct backend *sidecar_conns_meter(struct sidecar_conns *, struct backend *);
bool sidecar_conns_meter_connected(struct sidecar_conns *, struct backend *);
/* Number of gateways, as far as sidecars have counted; at least 1. */
unsigned sidecar_conns_gateways(const struct sidecar_conns *);
/*
 * Asks the meter of the replica for a place.  Returns the connection with the
 * pending call, which done() ends with a struct tm_limit_taken, or NULL if the
 * meter is not connected.
 */
struct rpc_conn *sidecar_conns_take_limit(struct sidecar_conns *,
    struct backend *, const struct tm_limit_take *, int64_t timeout_us,
    void (*done)(void *ctx, enum rpc_status, void *reply), void *ctx);
/* Whether the replica's service has sidecars. */
bool sidecar_conns_has_sidecar(
    const struct sidecar_conns *, const struct backend *);
/* Sends the meter of the replica its limit, if the meter is connected. */
void sidecar_conns_send_limit(struct sidecar_conns *, struct backend *);
/* To the other gateways, by way of any sidecar that is connected. */
void sidecar_conns_send_crash(struct sidecar_conns *, const struct tm_crash *);
/* Reports to them that the replica leaves, in the same way. */
void sidecar_conns_send_leaves(struct sidecar_conns *, const struct backend *);
/* Gives a permit back, or withdraws the request for it. */
void sidecar_conns_prefill_done(struct backend *, uint64_t id);

#endif
