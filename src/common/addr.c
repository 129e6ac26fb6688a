#include "common/addr.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string.h>

#include <event2/util.h>

int
addr_parse(struct addr *addr, const char *text)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	memset(addr, 0, sizeof(*addr));
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&ss, &len) ==
	    -1)
		return -1;
	if (ss.ss_family == AF_INET) {
		struct sockaddr_in *sin = (struct sockaddr_in *)&ss;

		addr->port = ntohs(sin->sin_port);
		inet_ntop(
		    AF_INET, &sin->sin_addr, addr->host, sizeof(addr->host));
	} else {
		struct sockaddr_in6 *sin6 = (struct sockaddr_in6 *)&ss;

		addr->port = ntohs(sin6->sin6_port);
		inet_ntop(
		    AF_INET6, &sin6->sin6_addr, addr->host, sizeof(addr->host));
	}
	return addr->port == 0 ? -1 : 0;
}
