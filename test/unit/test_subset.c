/*
 * The VMs that a daemon of a large fleet connects to.
 *
 * Guards against connections that grow with the fleet, samples that are alike
 * in all daemons, and reconnections of many VMs when one is removed.
 */
#include <stdio.h>

#include <glib.h>

#include "coordination/subset.h"

#define ZONES 12
#define FLEET 3400
#define SAMPLE 4
#define KEEP_US 1000000
/* Connections of an entry that has used no VM yet. */
#define TARGET_CONNECTIONS (ZONES * SAMPLE)

static struct subset *
create_subset(const char *self, unsigned small_fleet, int count)
{
	struct subset_options opts = {
		.self = self,
		.small_fleet = small_fleet,
		.sample_per_zone = SAMPLE,
		.keep_us = KEEP_US,
	};
	struct subset *s = subset_create(&opts);
	char vm[32], zone[32];

	for (int i = 0; i < count; i++) {
		snprintf(vm, sizeof(vm), "vm-%d", i);
		snprintf(zone, sizeof(zone), "zone-%d", i % ZONES);
		subset_add(s, vm, zone);
	}
	return s;
}

static int
count_contained(struct subset *s, int count, int64_t now, bool *contained)
{
	char vm[32];
	int n = 0;

	for (int i = 0; i < count; i++) {
		snprintf(vm, sizeof(vm), "vm-%d", i);
		contained[i] = subset_contains(s, vm, now);
		n += contained[i];
	}
	return n;
}

static void
test_small_fleet_is_a_full_mesh(void)
{
	struct subset *s = create_subset("entry-1", 64, 30);
	bool contained[30];

	g_assert_cmpint(count_contained(s, 30, 0, contained), ==, 30);
	subset_destroy(s);
}

static void
test_large_fleet_is_sampled(void)
{
	static bool a[FLEET], b[FLEET];
	struct subset *one = create_subset("entry-1", 64, FLEET);
	struct subset *two = create_subset("entry-2", 64, FLEET);
	int shared = 0;

	g_assert_cmpint(
	    count_contained(one, FLEET, 0, a), ==, TARGET_CONNECTIONS);
	g_assert_cmpint(
	    count_contained(two, FLEET, 0, b), ==, TARGET_CONNECTIONS);
	for (int i = 0; i < FLEET; i++)
		shared += a[i] && b[i];
	g_assert_cmpint(shared, <, TARGET_CONNECTIONS / 2);
	subset_destroy(one);
	subset_destroy(two);
}

static void
test_use_keeps_a_connection(void)
{
	struct subset *s = create_subset("entry-1", 64, FLEET);
	char vm[32] = "";

	for (int i = 0; i < FLEET; i++) {
		snprintf(vm, sizeof(vm), "vm-%d", i);
		if (!subset_contains(s, vm, 0))
			break;
	}
	g_assert_false(subset_contains(s, vm, 0));
	subset_use(s, vm, 100);
	g_assert_true(subset_contains(s, vm, 100 + KEEP_US - 1));
	g_assert_false(subset_contains(s, vm, 100 + KEEP_US));
	subset_destroy(s);
}

static void
test_one_vm_changes_one_choice(void)
{
	static bool before[FLEET], after[FLEET];
	struct subset *s = create_subset("entry-1", 64, FLEET);
	int changed = 0, lost = -1;
	char vm[32];

	count_contained(s, FLEET, 0, before);
	for (int i = 0; i < FLEET && lost == -1; i++)
		lost = before[i] ? i : -1;
	snprintf(vm, sizeof(vm), "vm-%d", lost);
	subset_remove(s, vm);
	g_assert_cmpint(
	    count_contained(s, FLEET, 0, after), ==, TARGET_CONNECTIONS);
	for (int i = 0; i < FLEET; i++)
		changed += before[i] != after[i];
	g_assert_cmpint(changed, ==, 2);
	subset_destroy(s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/subset/small_fleet", test_small_fleet_is_a_full_mesh);
	g_test_add_func("/subset/large_fleet", test_large_fleet_is_sampled);
	g_test_add_func("/subset/use", test_use_keeps_a_connection);
	g_test_add_func("/subset/one_vm", test_one_vm_changes_one_choice);
	return g_test_run();
}
