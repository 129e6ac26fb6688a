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

#include "transport/rpc.h"

struct backend;
struct gateway;
struct sidecar_links;
struct request_params;
struct tm_read_args;

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
    const struct request_params *, unsigned rank, int64_t left_us);

/*
 * Asks for leave to have a prompt read.  Returns the connection, whose pending
 * call done() answers, or NULL if no sidecar can be asked.
 */
struct rpc_conn *sidecar_links_ask_read(struct sidecar_links *,
    struct backend *, const struct tm_read_args *,
    void (*done)(void *ctx, enum rpc_status, void *reply), void *ctx);
/* The prompt was read there, or will not be. */
void sidecar_links_read_done(struct backend *, uint64_t id);

#endif
