/*
 * prefix_map -- records which VMs or replicas recently ran a prompt prefix.
 *
 * A set-associative table of fixed size, with LRU replacement within a set.
 * Both a hit and a miss may be wrong, as engines evict prefixes from their
 * caches without notice: use it for predictions only.
 */
#ifndef COORDINATION_PREFIX_MAP_H
#define COORDINATION_PREFIX_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct prefix_map;

/* capacity: entries, rounded up to a power of two. */
struct prefix_map *prefix_map_create(size_t capacity);
void prefix_map_destroy(struct prefix_map *);

/*
 * Returns the key of a prefix (its hash) at a VM or replica.  The model and
 * adapter are part of it, as they do not share a cache.
 */
uint64_t prefix_map_key(
    const char *model, const char *adapter, uint64_t prefix, const char *vm);
void prefix_map_add(struct prefix_map *, uint64_t key);
bool prefix_map_has(const struct prefix_map *, uint64_t key);

#endif
