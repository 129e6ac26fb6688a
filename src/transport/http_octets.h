/*
 * http_octets -- examines what http_parser takes for lines of a message.
 *
 * http_parser is built to let pass any byte after a CR, any two after a chunk,
 * spaces in names and chunk sizes, and any number as a status: two readers of
 * such a message can differ on where it ends, and on what it says.  The caller
 * pauses the parser at the points named below and passes all bytes that it has
 * read.
 */
#ifndef TRANSPORT_HTTP_OCTETS_H
#define TRANSPORT_HTTP_OCTETS_H

#include <stdbool.h>
#include <stddef.h>

/* Zeroed at first, except is_answer. */
struct http_octets {
	/* An answer; the lines of its head may end without a CR. */
	bool is_answer;
	unsigned messages; /* begun so far */
	bool in_head;
	bool in_lines; /* of the head or the trailer */
	bool in_size; /* the line with a chunk's size */
	bool in_extension; /* of that line, behind the size */
	bool line_ended; /* of a chunk's size, or behind its data */
	unsigned status_line; /* bytes of it that were read, STATUS_LINE_MIN */
	char last[2]; /* bytes read before */
};

void http_octets_begin(struct http_octets *);
/* The parser's pauses; the head's last byte is read again after the first. */
void http_octets_head_complete(struct http_octets *, bool chunked);
void http_octets_chunk_header(struct http_octets *, bool is_last);
void http_octets_chunk_complete(struct http_octets *);

/*
 * To be called with the bytes that one call of the parser has read, with the
 * state `before` that call.  Returns what is wrong with them, or NULL.
 */
const char *http_octets_read(struct http_octets *,
    const struct http_octets *before, const char *data, size_t len);

/* Whether a part of a name has a byte that http_parser lets pass. */
bool http_octets_in_name(const char *, size_t len);

#endif
