#include "gateway/deployment_source.h"

#include <string.h>

#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/keyed_feed.h"
#include "coordination/source_choice.h"
#include "gateway/backends.h"
#include "gateway/gateway_internal.h"
#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

/* Sidecars that gateways follow first: this many, or a share of all. */
#define POOL_MIN 6
#define POOL_DIVISOR 5

static bool
is_connected(const struct backend *b)
{
	return b->conn != NULL && !b->connecting;
}

void
deployment_source_on_opened(struct backend *b)
{
	b->follow_sent = false;
	b->followed = false;
	b->reads_store = false;
}

void
deployment_source_on_state(
    struct backend *b, const struct tm_deployment_state *msg)
{
	b->reads_store = msg->current;
}

static void
send_follow(struct backend *b, bool follow)
{
	struct tm_deployment_follow msg = { follow };

	if (rpc_conn_send(b->conn, TM_DEPLOYMENT_FOLLOW,
		(xdrproc_t)xdr_tm_deployment_follow, &msg) == -1)
		return;
	b->follow_sent = true;
	b->followed = follow;
	if (!follow)
		b->reads_store = false;
}

static uint64_t
weight(uint64_t seed, const struct backend *b)
{
	return XXH3_64bits_withSeed(b->entry.id, strlen(b->entry.id), seed);
}

/*
 * Whether all gateways prefer this sidecar: those that none follows need not
 * read the store.
 */
static bool
is_in_pool(const struct gateway *g, const struct backend *candidate)
{
	struct backend *b = NULL;
	unsigned connected = 0, higher = 0;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (!is_connected(b))
			continue;
		connected++;
		higher += weight(0, b) > weight(0, candidate);
	}
	return higher < POOL_MIN || higher < connected / POOL_DIVISOR;
}

/*
 * Within the pool gateways choose differently, so that no sidecar has many
 * followers.
 */
static bool
is_preferred(
    const struct gateway *g, const struct backend *a, const struct backend *b)
{
	uint64_t seed = XXH3_64bits(g->settings.vm, strlen(g->settings.vm));
	bool a_pool = is_in_pool(g, a), b_pool = is_in_pool(g, b);

	return a_pool != b_pool ? a_pool : weight(seed, a) > weight(seed, b);
}

static void
follow_one(struct gateway *g)
{
	struct backend *b = NULL, *best = NULL;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (is_connected(b) && !b->followed &&
		    (best == NULL || is_preferred(g, b, best)))
			best = b;
	}
	if (best != NULL)
		send_follow(best, true);
}

static void
unfollow_one(struct gateway *g)
{
	struct backend *b = NULL, *worst = NULL;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (is_connected(b) && b->followed && b->reads_store &&
		    (worst == NULL || is_preferred(g, worst, b)))
			worst = b;
	}
	if (worst != NULL)
		send_follow(worst, false);
}

void
deployment_source_tick(struct gateway *g)
{
	unsigned connected = 0, followed = 0, current = 0;
	struct backend *b = NULL;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (!is_connected(b))
			continue;
		if (!b->follow_sent)
			send_follow(b, false);
		connected++;
		followed += b->followed;
		current += b->followed && b->reads_store;
	}
	switch (source_choice_update(&g->deployment_source, followed, current,
	    connected, clock_now(g->process.clock))) {
	case SOURCE_FOLLOW:
		follow_one(g);
		break;
	case SOURCE_UNFOLLOW:
		unfollow_one(g);
		break;
	case SOURCE_KEEP:
		break;
	}
	keyed_feed_pause(g->deployment_feed, g->deployment_source.peers);
}
