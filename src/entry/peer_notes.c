#include "entry/peer_notes.h"

#include <stdlib.h>

#include "coordination/membership.h"

struct peer_notes *
peer_notes(struct peer *peer)
{
	if (peer->user_data == NULL)
		peer->user_data = calloc(1, sizeof(struct peer_notes));
	if (peer->user_data == NULL)
		abort();
	return peer->user_data;
}

void
peer_notes_forget(struct peer *peer)
{
	free(peer->user_data);
	peer->user_data = NULL;
}
