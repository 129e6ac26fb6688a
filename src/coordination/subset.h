/*
 * subset -- which VMs a daemon of a large fleet stays connected to.
 *
 * A full mesh of entries and agents costs each daemon state and traffic for
 * every VM.  Up to small_fleet VMs the mesh is full.  Beyond, a daemon keeps
 * connections to the VMs that it used within keep_us, and to sample_per_zone
 * others in each data centre, from which it pulls state.  The sample is chosen
 * by rendezvous hash: daemons choose different samples, and a VM that comes or
 * goes changes few of them.
 *
 * A pure policy: the caller gives the time.
 */
#ifndef COORDINATION_SUBSET_H
#define COORDINATION_SUBSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct subset;

struct subset_options {
	const char *self; /* VM id of this daemon */
	unsigned small_fleet; /* VMs */
	unsigned sample_per_zone; /* VMs */
	int64_t keep_us; /* after the last use */
};

struct subset *subset_create(const struct subset_options *);
void subset_destroy(struct subset *);

/* The fleet, as the platform's list has it. */
void subset_add(struct subset *, const char *vm, const char *zone);
void subset_remove(struct subset *, const char *vm);

/* Notes that work goes, or soon may go, to the VM. */
void subset_use(struct subset *, const char *vm, int64_t now_us);

bool subset_contains(struct subset *, const char *vm, int64_t now_us);

#endif
