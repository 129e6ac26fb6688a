/* sidecar -- the daemon beside one replica; the only one that orders it. */
#ifndef SIDECAR_SIDECAR_H
#define SIDECAR_SIDECAR_H

struct fleet_driver;

/* Runs `tamarackmast sidecar`; returns the exit status. */
int sidecar_main(int argc, char **argv, const struct fleet_driver *);

#endif
