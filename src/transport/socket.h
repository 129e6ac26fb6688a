/* socket -- TCP options of HTTP and RPC connections. */
#ifndef TRANSPORT_SOCKET_H
#define TRANSPORT_SOCKET_H

#include <stdint.h>

#include <event2/util.h>

/* Makes the next close() reset the connection: what is not read is lost. */
void socket_reset_on_close(evutil_socket_t);

/*
 * Makes the kernel close a connection whose peer acknowledges nothing for
 * timeout_us, by keep-alive probes if no data is in flight: a network that
 * drops all packets causes no reset.  At least 3 s if the connection is idle.
 * 0 does nothing.
 */
void socket_set_peer_timeout(evutil_socket_t, int64_t timeout_us);

/*
 * Resets a TCP connection, so that its peer does not take the end of what it
 * has received for the end of the message.  The descriptor stays open.
 */
void socket_reset(evutil_socket_t);

#endif
