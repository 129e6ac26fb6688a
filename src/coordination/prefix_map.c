#include "coordination/prefix_map.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define WAYS 4

struct way {
	uint64_t key; /* 0: free */
	uint32_t used_tick; /* of the last use */
};

struct prefix_map {
	size_t sets; /* a power of two */
	uint32_t tick; /* counts uses */
	struct way *ways;
};

struct prefix_map *
prefix_map_create(size_t capacity)
{
	struct prefix_map *m = calloc(1, sizeof(*m));

	if (m == NULL)
		return NULL;
	m->sets = 1;
	while (m->sets * WAYS < capacity)
		m->sets *= 2;
	m->ways = calloc(m->sets * WAYS, sizeof(*m->ways));
	if (m->ways == NULL) {
		free(m);
		return NULL;
	}
	return m;
}

void
prefix_map_destroy(struct prefix_map *m)
{
	if (m == NULL)
		return;
	free(m->ways);
	free(m);
}

uint64_t
prefix_map_key(
    const char *model, const char *adapter, uint64_t prefix, const char *vm)
{
	uint64_t key = XXH3_64bits_withSeed(model, strlen(model), prefix);

	key = XXH3_64bits_withSeed(adapter, strlen(adapter), key);
	key = XXH3_64bits_withSeed(vm, strlen(vm), key);
	return key == 0 ? 1 : key;
}

static struct way *
set_of(const struct prefix_map *m, uint64_t key)
{
	return &m->ways[(key & (m->sets - 1)) * WAYS];
}

static struct way *
find_way(const struct prefix_map *m, uint64_t key)
{
	struct way *set = set_of(m, key);

	for (int i = 0; i < WAYS; i++) {
		if (set[i].key == key)
			return &set[i];
	}
	return NULL;
}

void
prefix_map_add(struct prefix_map *m, uint64_t key)
{
	struct way *way = find_way(m, key);
	struct way *set = set_of(m, key);

	for (int i = 0; way == NULL && i < WAYS; i++) {
		if (set[i].key == 0)
			way = &set[i];
	}
	if (way == NULL) {
		way = set;
		for (int i = 1; i < WAYS; i++) {
			if (m->tick - set[i].used_tick >
			    m->tick - way->used_tick)
				way = &set[i];
		}
	}
	way->key = key;
	way->used_tick = m->tick++;
}

bool
prefix_map_has(const struct prefix_map *m, uint64_t key)
{
	return find_way(m, key) != NULL;
}
