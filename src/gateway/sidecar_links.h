/*
 * sidecar_links -- the gateway's connections to the sidecars beside the
 * replicas.
 *
 * Sidecars tell what their replica holds and how loaded it is; the gateway
 * tells what it uses and what requests wait for.  Deployments pass between
 * peers on the same connections when one is behind.
 */
#ifndef GATEWAY_SIDECAR_LINKS_H
#define GATEWAY_SIDECAR_LINKS_H

#include <stdint.h>

struct backend;
struct gateway;
struct sidecar_links;
struct request_terms;

struct sidecar_links *sidecar_links_create(struct gateway *);
void sidecar_links_destroy(struct sidecar_links *);

/* Connects to sidecars that are new, or whose pause has passed. */
void sidecar_links_refresh(struct sidecar_links *);
/* The replica is forgotten. */
void sidecar_links_drop(struct sidecar_links *, struct backend *);

/* Tells uses that changed, and passes a newer deployment on. */
void sidecar_links_tick(struct sidecar_links *);

/* Asks for the model: requests wait for it there. */
void sidecar_links_want(struct sidecar_links *, struct backend *,
    const struct request_terms *, unsigned rank, int64_t left_us);

#endif
