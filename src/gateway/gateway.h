/* gateway -- the daemon that takes callers' requests on a platform. */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

struct fleet_driver;

/* Runs `tamarackmast gateway`; returns the exit status. */
int gateway_main(int argc, char **argv, const struct fleet_driver *);

#endif
