/* tenant_requests -- counts the requests in progress of each tenant. */
#ifndef COORDINATION_TENANT_REQUESTS_H
#define COORDINATION_TENANT_REQUESTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct tenant_requests;

struct tenant_requests *tenant_requests_create(void);
void tenant_requests_destroy(struct tenant_requests *);

/* Returns the number of requests in progress; "": those without a tenant. */
uint32_t tenant_requests_count(
    const struct tenant_requests *, const char *tenant);
void tenant_requests_add(struct tenant_requests *, const char *tenant);
/* Ends a request counted by tenant_requests_add(). */
void tenant_requests_remove(struct tenant_requests *, const char *tenant);

#endif
