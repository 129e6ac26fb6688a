/*
 * peer_stats -- what this entry measures at a peer itself, besides the peer's
 * load reports; an input of routing and of the check for silent agents.
 */
#ifndef ENTRY_PEER_STATS_H
#define ENTRY_PEER_STATS_H

#include <stdint.h>

struct peer;

struct peer_stats {
	uint32_t unreported_tokens; /* dispatched, in no load report yet */
	int64_t last_message_us; /* about any request; 0: none yet */
	double correction; /* measured over predicted work; 0: none yet */
};

/* Allocates the stats at first use; free them with peer_stats_free(). */
struct peer_stats *peer_stats(struct peer *);
void peer_stats_free(struct peer *);

#endif
