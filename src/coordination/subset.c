#include "coordination/subset.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

struct zone;

struct vm {
	char *id;
	struct zone *zone;
	uint64_t weight; /* rendezvous weight for this daemon */
	int64_t used_us; /* -1: never */
	UT_hash_handle hh; /* of the fleet */
	UT_hash_handle zone_hh; /* of the zone */
};

struct zone {
	char *name;
	struct vm *vms;
	uint64_t min_weight; /* lowest weight in the sample */
	bool stale; /* min_weight must be updated */
	UT_hash_handle hh;
};

struct subset {
	struct subset_options opts;
	uint64_t seed;
	struct vm *vms;
	struct zone *zones;
};

struct subset *
subset_create(const struct subset_options *opts)
{
	struct subset *s = calloc(1, sizeof(*s));

	if (s == NULL)
		return NULL;
	s->opts = *opts;
	s->seed = XXH3_64bits(opts->self, strlen(opts->self));
	return s;
}

static void
vm_free(struct subset *s, struct vm *vm)
{
	HASH_DELETE(zone_hh, vm->zone->vms, vm);
	HASH_DEL(s->vms, vm);
	vm->zone->stale = true;
	free(vm->id);
	free(vm);
}

void
subset_destroy(struct subset *s)
{
	struct zone *zone, *zone_next;
	struct vm *vm, *vm_next;

	if (s == NULL)
		return;
	HASH_ITER(hh, s->vms, vm, vm_next)
		vm_free(s, vm);
	HASH_ITER(hh, s->zones, zone, zone_next) {
		HASH_DEL(s->zones, zone);
		free(zone->name);
		free(zone);
	}
	free(s);
}

static struct zone *
get_zone(struct subset *s, const char *name)
{
	struct zone *zone;

	HASH_FIND_STR(s->zones, name, zone);
	if (zone != NULL)
		return zone;
	zone = calloc(1, sizeof(*zone));
	if (zone == NULL)
		abort();
	zone->name = strdup(name);
	HASH_ADD_KEYPTR(hh, s->zones, zone->name, strlen(zone->name), zone);
	return zone;
}

static struct vm *
find_vm(const struct subset *s, const char *id)
{
	struct vm *vm;

	HASH_FIND_STR(s->vms, id, vm);
	return vm;
}

void
subset_add(struct subset *s, const char *id, const char *zone)
{
	struct vm *vm = find_vm(s, id);

	if (vm != NULL && strcmp(vm->zone->name, zone) == 0)
		return;
	if (vm != NULL)
		vm_free(s, vm);
	vm = calloc(1, sizeof(*vm));
	if (vm == NULL)
		abort();
	vm->id = strdup(id);
	vm->zone = get_zone(s, zone);
	vm->weight = XXH3_64bits_withSeed(id, strlen(id), s->seed);
	vm->used_us = -1;
	vm->zone->stale = true;
	HASH_ADD_KEYPTR(hh, s->vms, vm->id, strlen(vm->id), vm);
	HASH_ADD_KEYPTR(zone_hh, vm->zone->vms, vm->id, strlen(vm->id), vm);
}

void
subset_remove(struct subset *s, const char *id)
{
	struct vm *vm = find_vm(s, id);

	if (vm != NULL)
		vm_free(s, vm);
}

void
subset_use(struct subset *s, const char *id, int64_t now_us)
{
	struct vm *vm = find_vm(s, id);

	if (vm != NULL)
		vm->used_us = now_us;
}

static int
compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

/* Finds the lowest weight of the zone's sample_per_zone heaviest VMs. */
static void
update_sample(struct subset *s, struct zone *zone)
{
	size_t count = HASH_CNT(zone_hh, zone->vms);
	uint64_t *weights = calloc(count + 1, sizeof(*weights));
	size_t n = 0;

	if (weights == NULL)
		abort();
	for (const struct vm *vm = zone->vms; vm != NULL; vm = vm->zone_hh.next)
		weights[n++] = vm->weight;
	qsort(weights, n, sizeof(*weights), compare_descending);
	zone->min_weight =
	    n > s->opts.sample_per_zone && s->opts.sample_per_zone > 0
		? weights[s->opts.sample_per_zone - 1]
		: 0;
	if (s->opts.sample_per_zone == 0)
		zone->min_weight = UINT64_MAX;
	zone->stale = false;
	free(weights);
}

bool
subset_contains(struct subset *s, const char *id, int64_t now_us)
{
	struct vm *vm = find_vm(s, id);

	if (vm == NULL)
		return false;
	if (HASH_COUNT(s->vms) <= s->opts.small_fleet)
		return true;
	if (vm->used_us >= 0 && now_us - vm->used_us < s->opts.keep_us)
		return true;
	if (vm->zone->stale)
		update_sample(s, vm->zone);
	return vm->weight >= vm->zone->min_weight;
}
