/*
 * gateway -- the daemon that accepts callers' requests on a platform, and sends
 * each to a replica of the service that its route names.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

struct fleet_driver;

/* Runs `tamarackmast gateway` until SIGTERM or SIGINT; returns its status. */
int gateway_main(int argc, char **argv, const struct fleet_driver *);

#endif
