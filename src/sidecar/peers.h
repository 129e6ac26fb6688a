/* peers -- the gateways that are connected to this sidecar. */
#ifndef SIDECAR_PEERS_H
#define SIDECAR_PEERS_H

#include <stdint.h>

struct peers;
struct sidecar;

/* Listens on the settings' address; NULL if it cannot. */
struct peers *peers_create(struct sidecar *);
void peers_destroy(struct peers *);

/* Tells what changed about the replica, within the bounds on messages. */
void peers_tell(struct peers *);
/* Passes a newer deployment on to gateways that are behind. */
void peers_tick(struct peers *);

#endif
