/*
 * An entry whose limit of bytes per second lets it read the VM list only once
 * must learn of later changes from its peers.
 */
#include <string.h>

#include <glib.h>

#include "harness.h"

static struct cluster *cluster;

/* Whether the entry's status lists the VM. */
static bool
status_lists_vm(const char *vm)
{
	struct response resp;
	json_t *item;
	bool found = false;
	size_t i;

	http_call(&resp, "GET", cluster->entries[0].http, "/apis/v1/status",
	    NULL, NULL);
	json_array_foreach(json_object_get(resp.doc, "vms"), i, item)
	{
		const char *id = json_string_value(json_object_get(item, "vm"));

		found = found || strcmp(id, vm) == 0;
	}
	response_clear(&resp);
	return found;
}

static bool
vm_is_listed(void *vm)
{
	return status_lists_vm(vm);
}

static bool
vm_is_not_listed(void *vm)
{
	return !status_lists_vm(vm);
}

static void
test_list_from_peers(void)
{
	const char *entry = cluster->entries[0].http;
	struct member unstarted_vm = {
		.vm = "runner-9", .zone = "zone-2", .address = "127.0.0.1:9"
	};
	int64_t pulls = read_metric(entry, "vm_list_pulls_total");

	cluster_set_vm_state(cluster, &unstarted_vm, "engine", "live");
	await_true(vm_is_listed, unstarted_vm.vm, "the new VM is listed");
	g_assert_cmpint(read_metric(entry, "vm_list_pulls_total"), >, pulls);
	cluster_set_vm_state(cluster, &unstarted_vm, "engine", "gone");
	await_true(vm_is_not_listed, unstarted_vm.vm, "the VM is off the list");
	g_assert_cmpint(read_metric(entry, "vm_list_reads_total"), ==, 1);
}

int
main(int argc, char **argv)
{
	struct cluster_options opts = {
		.entries = 1,
		.entry_settings = "[vms]\nbytes_per_sec = 16\n",
	};
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/membership/update", test_list_from_peers);
	rc = g_test_run();
	cluster_stop(cluster);
	return rc;
}
