/* tenant_requests -- bounds the requests under way for each tenant. */
#ifndef COORDINATION_TENANT_REQUESTS_H
#define COORDINATION_TENANT_REQUESTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct tenant_requests;

struct tenant_requests *tenant_requests_create(void);
void tenant_requests_destroy(struct tenant_requests *);

/* Requests under way; those without a tenant share the empty name. */
uint32_t tenant_requests_count(
    const struct tenant_requests *, const char *tenant);
void tenant_requests_add(struct tenant_requests *, const char *tenant);
/* Pairs with an earlier tenant_requests_add(). */
void tenant_requests_remove(struct tenant_requests *, const char *tenant);

#endif
