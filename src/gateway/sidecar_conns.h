/*
 * sidecar_conns -- the gateway's connections to the sidecars beside the
 * replicas.
 *
 * Sidecars tell what their replica holds and how loaded it is; the gateway
 * tells what it uses and what requests wait for.  Deployments pass between
 * peers on the same connections when one is behind.
 */
#ifndef GATEWAY_SIDECAR_CONNS_H
#define GATEWAY_SIDECAR_CONNS_H

#include <stdint.h>

#include "transport/rpc.h"

struct backend;
struct gateway;
struct sidecar_conns;
struct request_terms;
struct tm_read_args;

struct sidecar_conns *sidecar_conns_create(struct gateway *);
void sidecar_conns_destroy(struct sidecar_conns *);

/* Connects to sidecars that are new, or whose pause has passed. */
void sidecar_conns_refresh(struct sidecar_conns *);
/* The replica is forgotten. */
void sidecar_conns_close(struct sidecar_conns *, struct backend *);

/* Tells uses that changed, and passes a newer deployment on. */
void sidecar_conns_tick(struct sidecar_conns *);

/* Asks for the model: requests wait for it there. */
void sidecar_conns_request_load(struct sidecar_conns *, struct backend *,
    const struct request_terms *, unsigned rank, int64_t left_us);

/*
 * Asks for leave to have a prompt read.  Returns the connection, whose pending
 * call done() answers, or NULL if no sidecar can be asked.
 */
struct rpc_conn *sidecar_conns_ask_prefill(struct sidecar_conns *,
    struct backend *, const struct tm_read_args *,
    void (*done)(void *ctx, enum rpc_status, void *reply), void *ctx);
/* The prompt was read there, or will not be. */
void sidecar_conns_prefill_done(struct backend *, uint64_t id);

#endif
