/*
 * peer_conns -- what gateways give one another while the store is away.
 *
 * A gateway that cannot read the store asks a seed for the deployment and the
 * listed replicas: so one that started meanwhile can serve, and one that the
 * store alone turns away learns which replicas leave.
 */
#ifndef GATEWAY_PEER_CONNS_H
#define GATEWAY_PEER_CONNS_H

struct gateway;
struct peer_conns;

/* Listens and reads the seeds of the settings; NULL if it cannot. */
struct peer_conns *peer_conns_create(struct gateway *);
void peer_conns_destroy(struct peer_conns *);

/* Asks while the store is away; call it every tick. */
void peer_conns_tick(struct peer_conns *);

#endif
