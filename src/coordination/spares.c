#include "coordination/spares.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Of one model, the entry that is no spare comes first. */
static int
compare(const void *left, const void *right)
{
	const struct spares_entry *a = left, *b = right;
	int by_model = strcmp(a->model, b->model);

	if (by_model != 0)
		return by_model;
	if (a->weight != b->weight)
		return a->weight < b->weight ? -1 : 1;
	return strcmp(a->replica, b->replica);
}

void
spares_mark(struct spares_entry *entries, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		uint64_t seed =
		    XXH3_64bits(entries[i].model, strlen(entries[i].model));

		entries[i].weight = XXH3_64bits_withSeed(
		    entries[i].replica, strlen(entries[i].replica), seed);
	}
	qsort(entries, count, sizeof(*entries), compare);
	for (size_t i = 0; i < count; i++)
		entries[i].spare = i > 0 && strcmp(entries[i].model,
						entries[i - 1].model) == 0;
}
