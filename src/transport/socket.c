#include "transport/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define PROBES 2 /* unanswered ones that end an idle connection */

void
socket_set_peer_timeout(evutil_socket_t fd, int64_t dead_us)
{
	unsigned dead_ms = (unsigned)(dead_us / 1000);
	int one = 1, probes = PROBES;
	int gap_s = (int)(dead_us / 1000000 / (PROBES + 1));

	if (dead_us <= 0 || fd < 0)
		return;
	if (gap_s < 1)
		gap_s = 1;
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &dead_ms, sizeof(dead_ms));
	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &gap_s, sizeof(gap_s));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &gap_s, sizeof(gap_s));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}
