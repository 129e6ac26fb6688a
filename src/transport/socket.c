#include "transport/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define KEEPALIVE_PROBES 2 /* unanswered probes that close a connection */

void
socket_reset(evutil_socket_t fd)
{
	struct sockaddr unspec = { .sa_family = AF_UNSPEC };

	/* Dissolves the association, which sends a RST (see connect(2)). */
	(void)connect(fd, &unspec, sizeof(unspec));
}

void
socket_reset_on_close(evutil_socket_t fd)
{
	struct linger now = { 1, 0 };

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

void
socket_set_peer_timeout(evutil_socket_t fd, int64_t timeout_us)
{
	unsigned timeout_ms = (unsigned)(timeout_us / 1000);
	int one = 1, probes = KEEPALIVE_PROBES;
	int interval_s = (int)(timeout_us / 1000000 / (KEEPALIVE_PROBES + 1));

	if (timeout_us <= 0 || fd < 0)
		return;
	if (interval_s < 1)
		interval_s = 1;
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s, sizeof(interval_s));
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}
