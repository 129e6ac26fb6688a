/*
 * gateway_conns -- the RPC connections of gateways to this sidecar.
 *
 * Gateways send the uses of each model, load requests, and requests for prefill
 * permits, which a struct prefill_gate decides on, and for places within the
 * limits of replicas (struct limit_meter).  The sidecar sends them reports of
 * the replica's holdings (loaded models and local copies) and load, hints those
 * that have read less of the store than others, and passes on what one of them
 * reports to all: lost requests, and replicas that leave.
 */
#ifndef SIDECAR_GATEWAY_CONNS_H
#define SIDECAR_GATEWAY_CONNS_H

#include <stdbool.h>
#include <stdint.h>

struct gateway_conns;
struct sidecar;

/* Listens on the settings' address; NULL if it cannot. */
struct gateway_conns *gateway_conns_create(struct sidecar *);
void gateway_conns_destroy(struct gateway_conns *);

/*
 * Reports changes of the replica's holdings and load to the gateways: large
 * ones at once or after a short pause, small ones after a longer one.  Call it
 * after each poll of the replica and each change of the deployment.
 */
void gateway_conns_report(struct gateway_conns *);

/* The deployment has changed. */
void gateway_conns_on_deployment(struct gateway_conns *);
/*
 * Reports the deployment's version, and whether this sidecar reads the store,
 * to the gateways that follow it.  Call it after each change of the deployment.
 */
void gateway_conns_send_states(struct gateway_conns *);

/*
 * Whether no gateway takes the deployment from this sidecar, and several are
 * connected that have said so.
 */
bool gateway_conns_unfollowed(const struct gateway_conns *);
/*
 * Answers waiting requests for prefill permits, and announces a new
 * deployment's version: to gateways that follow this sidecar, and to those that
 * follow none and have had no load report since.  Call it on every tick.
 */
void gateway_conns_tick(struct gateway_conns *);

#endif
