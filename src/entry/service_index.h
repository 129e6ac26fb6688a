/*
 * service_index -- the agents of each plain service.
 *
 * Spares each request a walk over the whole fleet: rebuilt when it is older
 * than SERVICE_INDEX_MAX_AGE_US, or a peer was forgotten.
 */
#ifndef ENTRY_SERVICE_INDEX_H
#define ENTRY_SERVICE_INDEX_H

#include <stddef.h>
#include <stdint.h>

#define SERVICE_INDEX_MAX_AGE_US 250000

struct membership;
struct peer;
struct service_index;

struct service_index *service_index_create(struct membership *);
void service_index_destroy(struct service_index *);

/* The peers that offer the service, valid until the next call here. */
struct peer *const *service_index_find(
    struct service_index *, const char *service, int64_t now_us, size_t *count);

/* Call before a peer is forgotten. */
void service_index_clear(struct service_index *);

#endif
