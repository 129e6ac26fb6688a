/* peers -- the gateways that are connected to this sidecar. */
#ifndef SIDECAR_GATEWAY_CONNS_H
#define SIDECAR_GATEWAY_CONNS_H

#include <stdint.h>

struct gateway_conns;
struct sidecar;

/* Listens on the settings' address; NULL if it cannot. */
struct gateway_conns *gateway_conns_create(struct sidecar *);
void gateway_conns_destroy(struct gateway_conns *);

/* Tells what changed about the replica, within the bounds on messages. */
void gateway_conns_report(struct gateway_conns *);
/* Passes a newer deployment on to gateways that are behind. */
void gateway_conns_tick(struct gateway_conns *);

#endif
