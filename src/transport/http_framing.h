/*
 * http_framing -- decides what ends the requests of one connection.
 *
 * evhttp reads requests leniently: it takes names with spaces, folded lines and
 * bare line feeds, and reads no body after some methods.  A proxy that forwards
 * such a request could pass a part of it on as a second one (RFC 9112, section
 * 11.2).  This reads the same bytes strictly with http_parser, and a request is
 * served only if both readings agree.  See docs/design/http-edges.md.
 */
#ifndef TRANSPORT_HTTP_FRAMING_H
#define TRANSPORT_HTTP_FRAMING_H

#include <stdbool.h>
#include <stddef.h>

struct evhttp_request;
struct http_framing;

struct http_framing_limits {
	size_t max_body; /* bytes; a longer body is a fault with status 413 */
	/*
	 * Bytes of a head with the empty lines before it, of the line of a
	 * chunk's size, and of the trailer.
	 */
	size_t max_head;
};

/* The limits must outlive the reader, and may change. */
struct http_framing *http_framing_create(const struct http_framing_limits *);
void http_framing_destroy(struct http_framing *);

/* Reads bytes of the connection, in their order. */
void http_framing_read(struct http_framing *, const char *data, size_t len);

/*
 * Whether evhttp has read the connection's next request as this has.  Returns
 * the HTTP status of the refusal after which the connection must be closed,
 * with the fault in *why, or 0; then drops the request's trailer fields.
 */
int http_framing_check(
    struct http_framing *, struct evhttp_request *, const char **why);

/*
 * The HTTP status with which the connection must be closed without waiting for
 * the end of the request, as a limit is passed; 0: none.
 */
int http_framing_overrun(const struct http_framing *);
/* Whether a head, or the lines before it, is not complete. */
bool http_framing_in_head(const struct http_framing *);
/* Fields of heads and trailers read so far on the connection. */
size_t http_framing_fields(const struct http_framing *);
/* Bytes of the head of the request that was checked last. */
size_t http_framing_head_bytes(const struct http_framing *);

/* Whether a whole request has been read that http_framing_check() awaits. */
bool http_framing_has_request(const struct http_framing *);

#endif
