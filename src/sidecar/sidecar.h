/*
 * sidecar -- the daemon that runs beside one replica: the only one that orders
 * the replica to load and unload models, and the one that reports to gateways
 * which models it holds.
 */
#ifndef SIDECAR_SIDECAR_H
#define SIDECAR_SIDECAR_H

struct fleet_driver;

/* Runs `tamarackmast sidecar` until SIGTERM or SIGINT; returns its status. */
int sidecar_main(int argc, char **argv, const struct fleet_driver *);

#endif
