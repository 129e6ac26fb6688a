/*
 * prefix_map -- which peers lately served a prompt's head, in fixed memory.
 *
 * A set-associative table; the least recently used of a set is replaced.  It
 * may be wrong both ways, as the engines' caches change without a word: it
 * sways a choice, and nothing rests on it.
 */
#ifndef COORDINATION_PREFIX_MAP_H
#define COORDINATION_PREFIX_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct prefix_map;

/* capacity is rounded up to a power of two. */
struct prefix_map *prefix_map_create(size_t capacity);
void prefix_map_destroy(struct prefix_map *);

/* The model is part of the key: caches are not shared between models. */
uint64_t prefix_map_key(
    const char *model, const char *adapter, uint64_t prefix, const char *vm);
void prefix_map_add(struct prefix_map *, uint64_t key);
bool prefix_map_has(const struct prefix_map *, uint64_t key);

#endif
