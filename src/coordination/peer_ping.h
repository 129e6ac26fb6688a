/*
 * contact -- asks peers for a sign of life where the log gives none.
 *
 * An answer counts from when its question left: a daemon that was paused reads
 * old messages late, and must not take them for contact.  Versions ride on both
 * messages, so that the pings also spread newer state while the log is down.
 */
#ifndef COORDINATION_PEER_PING_H
#define COORDINATION_PEER_PING_H

#include <stdint.h>

struct clock;
struct peer_ping;
struct event_base;
struct rpc;
struct store;

struct peer_ping_options {
	struct event_base *base;
	const struct clock *clock;
	struct rpc *rpc;
	struct store *store;
	int64_t interval_us;
	int64_t log_silence_us; /* silence of the log before peers are asked */
};

struct peer_ping *peer_ping_create(const struct peer_ping_options *);
void peer_ping_destroy(struct peer_ping *);

#endif
