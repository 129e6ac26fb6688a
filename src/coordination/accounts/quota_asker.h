/*
 * quota_asker -- which keeper of an account's quota a gateway asks next, and
 * what it admits while it reaches none.
 *
 * Load pattern: callers of an account move between gateways, an account sends
 * many times its usual for seconds, and sidecars die or stand still meanwhile.
 * All gateways choose the same keepers for an account, by rendezvous hashing
 * over the hosts of the sidecars.  A host that is no longer listed stays one
 * for QUOTA_HOST_KEEP_US: its sidecar outlives the replica beside it, and what
 * it has given out counts.  A request asks one keeper after the other until one
 * grants it; a keeper that has just refused a request is not asked for as much
 * again until enough can have left the window, so that a flood costs few calls.
 *
 * Pure: the caller passes the time and lists the sidecars.
 */
#ifndef COORDINATION_ACCOUNTS_QUOTA_ASKER_H
#define COORDINATION_ACCOUNTS_QUOTA_ASKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/accounts/quota_plan.h"

struct quota_asker;

#define QUOTA_HOST_KEEP_US (60LL * 1000000)

/* What a request has found so far; zero-initialized. */
struct quota_search {
	uint64_t asked[QUOTA_KEEPERS_MAX]; /* hosts */
	unsigned asked_count;
	double asked_limit; /* of the one that was asked last */
	bool refused; /* a keeper is known not to hold the amount */
	int64_t wait_us; /* if refused: until one could */
};

/* now_us: of the start of the process, whose predecessor had a reserve, too. */
struct quota_asker *quota_asker_create(int64_t now_us);
void quota_asker_destroy(struct quota_asker *);

/*
 * A sidecar is listed on the host, whose hash is not 0; near: in the gateway's
 * data centre.  Call it for each of them every second or more often.
 */
void quota_asker_note_host(
    struct quota_asker *, uint64_t host, bool near, int64_t now_us);
unsigned quota_asker_hosts(const struct quota_asker *);
/* Drops the hosts that have not been listed for long. */
void quota_asker_expire_hosts(struct quota_asker *, int64_t now_us);

/*
 * The host of the keeper to ask next for the amount, or 0: all have been asked,
 * have refused as much just now, or are not usable.
 */
uint64_t quota_asker_next(struct quota_asker *, const char *account,
    const struct quota_plan *, double amount, struct quota_search *,
    int64_t now_us, bool (*usable)(void *ctx, uint64_t host), void *ctx);
/* The keeper has refused the amount. */
void quota_asker_refused(struct quota_asker *, const char *account,
    uint64_t host, double amount, int64_t wait_us, struct quota_search *,
    int64_t now_us);
/* Takes the amount out of this gateway's reserve. */
bool quota_asker_take_reserve(struct quota_asker *, const char *account,
    const struct quota_plan *, double amount, int64_t now_us);

#endif
