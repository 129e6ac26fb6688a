/*
 * spare_models -- reports to each sidecar which models of its replica are also
 * loaded on another one, see coordination/spares.h.
 */
#ifndef GATEWAY_SPARE_MODELS_H
#define GATEWAY_SPARE_MODELS_H

struct gateway;

/* Sends what has changed; call it from time to time. */
void spare_models_send(struct gateway *);

#endif
