/*
 * peer_links -- what gateways give one another while the store is away.
 *
 * A gateway that cannot read the store asks a seed for the deployment and the
 * listed replicas: so one that started meanwhile can serve, and one that the
 * store alone turns away learns which replicas leave.
 */
#ifndef GATEWAY_PEER_LINKS_H
#define GATEWAY_PEER_LINKS_H

struct gateway;
struct peer_links;

/* Listens and reads the seeds of the settings; NULL if it cannot. */
struct peer_links *peer_links_create(struct gateway *);
void peer_links_destroy(struct peer_links *);

/* Asks while the store is away; call it every tick. */
void peer_links_tick(struct peer_links *);

#endif
