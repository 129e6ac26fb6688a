#include "entry/peer_stats.h"

#include <stdlib.h>

#include "coordination/membership.h"

struct peer_stats *
peer_stats(struct peer *peer)
{
	if (peer->owner == NULL)
		peer->owner = calloc(1, sizeof(struct peer_stats));
	if (peer->owner == NULL)
		abort();
	return peer->owner;
}

void
peer_stats_free(struct peer *peer)
{
	free(peer->owner);
	peer->owner = NULL;
}
