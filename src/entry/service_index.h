/*
 * service_index -- an index of the agents by plain service.
 *
 * Saves each request an iteration over the whole fleet.  Rebuilt at a lookup if
 * it is older than SERVICE_INDEX_MAX_AGE_US or was cleared.
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

/*
 * Returns the peers that offer the service, or NULL if there is none; valid
 * until the next call of a function of this module.
 */
struct peer *const *service_index_find(
    struct service_index *, const char *service, int64_t now_us, size_t *count);

/* Drops the index; call before a peer is freed. */
void service_index_clear(struct service_index *);

#endif
