#include "entry/peer_stats.h"

#include <stdlib.h>

#include "coordination/membership.h"

struct peer_stats *
peer_stats(struct peer *peer)
{
	if (peer->user_data == NULL)
		peer->user_data = calloc(1, sizeof(struct peer_stats));
	if (peer->user_data == NULL)
		abort();
	return peer->user_data;
}

void
peer_stats_free(struct peer *peer)
{
	free(peer->user_data);
	peer->user_data = NULL;
}
