/* addr -- numeric IP addresses with a port; host names are not resolved. */
#ifndef COMMON_ADDR_H
#define COMMON_ADDR_H

#include <stdint.h>

#define ADDR_TEXT_MAX 64 /* bytes, with the NUL */

struct addr {
	char host[ADDR_TEXT_MAX]; /* numeric, without brackets */
	uint16_t port; /* host byte order, never 0 */
};

/*
 * Parses "IP:PORT" or "[IPv6]:PORT".  Returns 0, or -1 if the text is
 * malformed or the port is missing or 0.
 */
int addr_parse(struct addr *, const char *text);

#endif
