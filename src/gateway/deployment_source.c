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

/* Gateways choose differently, so that no sidecar has many followers. */
static uint64_t
weight(const struct gateway *g, const struct backend *b)
{
	uint64_t seed = XXH3_64bits(g->settings.vm, strlen(g->settings.vm));

	return XXH3_64bits_withSeed(b->entry.id, strlen(b->entry.id), seed);
}

/* Follows the sidecar with the highest weight of those that are not followed.
 */
static void
follow_one(struct gateway *g)
{
	struct backend *b = NULL, *best = NULL;

	while ((b = backends_next(g->backends, b)) != NULL) {
		if (is_connected(b) && !b->followed &&
		    (best == NULL || weight(g, b) > weight(g, best)))
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
		    (worst == NULL || weight(g, b) < weight(g, worst)))
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
