/*
 * gateway_conns -- the RPC connections of gateways to this sidecar.
 *
 * Gateways send the uses of each model, load requests, and requests for prefill
 * permits, which a struct prefill_gate decides on.  The sidecar sends them
 * reports of the models that the replica holds and of its load.
 */
#ifndef SIDECAR_GATEWAY_CONNS_H
#define SIDECAR_GATEWAY_CONNS_H

#include <stdint.h>

struct gateway_conns;
struct sidecar;

/* Listens on the settings' address; NULL if it cannot. */
struct gateway_conns *gateway_conns_create(struct sidecar *);
void gateway_conns_destroy(struct gateway_conns *);

/*
 * Reports the replica's models and load to each gateway for which they changed
 * enough since the last report; small changes wait for a pause.
 */
void gateway_conns_report(struct gateway_conns *);
/*
 * Answers waiting requests for prefill permits, and shows a new deployment's
 * version to gateways that have had no message since.  Call it on every tick.
 */
void gateway_conns_tick(struct gateway_conns *);

#endif
