/* socket -- TCP options that HTTP and RPC connections share. */
#ifndef TRANSPORT_SOCKET_H
#define TRANSPORT_SOCKET_H

#include <stdint.h>

#include <event2/util.h>

/*
 * Ends a connection whose peer acknowledges nothing for timeout_us, whether
 * bytes are on their way or not: a cut link resets nothing.  0 does nothing.
 */
void socket_set_peer_timeout(evutil_socket_t, int64_t timeout_us);

#endif
