/*
 * subset -- chooses the VMs that a daemon of a large fleet connects to.
 *
 * A full mesh of entries and agents costs each daemon state and traffic for
 * every VM, and is kept up to small_fleet VMs.  Beyond, a daemon connects to
 * the VMs that it used within keep_us, and to sample_per_zone others in each
 * data centre, from which it pulls state.  The sample is chosen by rendezvous
 * hashing: daemons choose different samples, and a VM that is added or removed
 * changes few of them.
 *
 * A pure policy: the caller passes the time.
 */
#ifndef COORDINATION_SUBSET_H
#define COORDINATION_SUBSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct subset;

struct subset_options {
	const char *self; /* VM id of this daemon */
	unsigned small_fleet; /* most VMs of a full mesh */
	unsigned sample_per_zone; /* VMs in each data centre */
	int64_t keep_us; /* a used VM stays in the subset */
};

struct subset *subset_create(const struct subset_options *);
void subset_destroy(struct subset *);

/* Updates the fleet from the platform's list of VMs. */
void subset_add(struct subset *, const char *vm, const char *zone);
void subset_remove(struct subset *, const char *vm);

/* Records that requests are, or may soon be, sent to the VM. */
void subset_use(struct subset *, const char *vm, int64_t now_us);

/* Returns whether the daemon should be connected to the VM. */
bool subset_contains(struct subset *, const char *vm, int64_t now_us);

#endif
