/*
 * peer_conns -- connections between gateways for an outage of the store.
 *
 * A gateway that cannot read the store requests the replica entries of a seed,
 * and gets the deployment on the same connection.  So a gateway that starts in
 * an outage can serve, and one that is isolated from the store learns which
 * replicas drain or are removed.
 */
#ifndef GATEWAY_PEER_CONNS_H
#define GATEWAY_PEER_CONNS_H

struct gateway;
struct peer_conns;

/*
 * Listens on the settings' peer address, unless it is empty, and parses their
 * seeds.  NULL if it cannot listen.
 */
struct peer_conns *peer_conns_create(struct gateway *);
void peer_conns_destroy(struct peer_conns *);

/*
 * Requests the entries when due while the store cannot be read, and disconnects
 * once it can.  Call it on every tick.
 */
void peer_conns_tick(struct peer_conns *);

#endif
