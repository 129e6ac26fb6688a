/* peer_stats -- what this entry knows of a peer beyond the peer's own word. */
#ifndef ENTRY_PEER_STATS_H
#define ENTRY_PEER_STATS_H

#include <stdint.h>

struct peer;

struct peer_stats {
	uint32_t unreported_tokens; /* sent, and in no load report yet */
	int64_t last_message_us; /* last word about any request */
	double correction; /* measured over predicted work; 0: none yet */
};

/* Creates them at first use; freed by peer_stats_free(). */
struct peer_stats *peer_stats(struct peer *);
void peer_stats_free(struct peer *);

#endif
