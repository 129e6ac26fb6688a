/*
 * peer_ping -- pings peers while the log is silent.
 *
 * Each reply is noted in the store as contact to a peer, so that the daemon
 * stays ready without the log.  A reply counts from when its ping was sent: a
 * daemon that was paused reads old replies late, and must not count them
 * as contact.  Ping and reply carry the versions of the agreed state, so pings
 * also pass on newer state while the log is down.
 */
#ifndef COORDINATION_PEER_PING_H
#define COORDINATION_PEER_PING_H

#include <stdint.h>

struct clock;
struct event_base;
struct peer_ping;
struct rpc;
struct store;

struct peer_ping_options {
	struct event_base *base;
	const struct clock *clock;
	struct rpc *rpc;
	struct store *store;
	int64_t interval_us; /* between pings */
	int64_t log_silence_us; /* time without log contact before pings */
};

struct peer_ping *peer_ping_create(const struct peer_ping_options *);
void peer_ping_destroy(struct peer_ping *);

#endif
