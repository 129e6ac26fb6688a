/*
 * source_choice -- whether a gateway takes the deployment from sidecars or
 * reads the store itself, and how many sidecars it follows.
 *
 * Load pattern: a table of thousands of routes changes every second, and most
 * gateways have thin links, which a whole document fills for a second.
 * Sidecars have wide ones.  So a gateway follows some sidecars that read the
 * store, and does not read it as long as enough of them say that it answers
 * them.  A sidecar can be frozen or deaf without a sign of it: therefore more
 * than one is followed, all gateways choose differently, and the gateway keeps
 * checking the end of the topic.
 */
#ifndef COORDINATION_SOURCE_CHOICE_H
#define COORDINATION_SOURCE_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

struct source_choice {
	bool peers; /* the deployment comes from sidecars */
	int64_t enough_since_us; /* are current; 0: too few */
};

enum source_step {
	SOURCE_KEEP,
	SOURCE_FOLLOW, /* one more sidecar */
	SOURCE_UNFOLLOW, /* one that is current */
};

/*
 * followed: connected sidecars that the gateway follows; current: those of them
 * that read the store; connected: all.  now_us: monotonic time, above 0.
 */
enum source_step source_choice_update(struct source_choice *, unsigned followed,
    unsigned current, unsigned connected, int64_t now_us);

#endif
