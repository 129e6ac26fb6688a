#include "transport/http_octets.h"

#include <string.h>

#define STATUS_LINE_MIN 13 /* bytes, to the one behind the status */

void
http_octets_begin(struct http_octets *o)
{
	o->messages++;
	o->status_line = 0;
	o->in_head = true;
	o->in_lines = true;
	o->in_size = false;
	o->in_extension = false;
	o->line_ended = false;
	o->last[0] = o->last[1] = 0;
}

void
http_octets_head_complete(struct http_octets *o, bool chunked)
{
	o->in_head = false;
	o->in_lines = false;
	o->in_size = chunked;
}

void
http_octets_chunk_header(struct http_octets *o, bool is_last)
{
	o->line_ended = true;
	o->in_size = false;
	o->in_lines = is_last; /* those of the trailer follow */
}

void
http_octets_chunk_complete(struct http_octets *o)
{
	/* The last chunk has no data, and the trailer's lines are its end. */
	o->line_ended = !o->in_lines;
	o->in_size = !o->in_lines;
}

static bool
is_digit(char c)
{
	return c >= '0' && c <= '9';
}

/* Sections 4 of RFC 9112 and 15 of RFC 9110; at: of the byte in its line. */
static bool
fits_status_line(unsigned at, char c)
{
	static const char form[] = "HTTP/1.0 200";

	switch (at) {
	case 7: /* minor version */
	case 10:
	case 11:
		return is_digit(c);
	case 9:
		return c >= '1' && c <= '5';
	case STATUS_LINE_MIN - 1:
		return c == ' ' || c == '\r' || c == '\n';
	default:
		return c == form[at];
	}
}

static const char *
byte_fault(const struct http_octets *o, char c)
{
	unsigned char u = (unsigned char)c;
	char last = o->last[1];

	if (o->in_head && last == 0 && (c == '\r' || c == '\n'))
		return "empty line before a message";
	if (o->in_head && o->is_answer && o->status_line < STATUS_LINE_MIN &&
	    !fits_status_line(o->status_line, c))
		return "no status line";
	if ((last == '\r' && c != '\n') ||
	    (c == '\n' && last != '\r' && !(o->is_answer && o->in_head)))
		return "bare CR or LF";
	if (last == '\n' && (c == ' ' || c == '\t'))
		return "folded line, or space before a name";
	if ((u < ' ' && c != '\t' && c != '\r' && c != '\n') || u == 0x7f)
		return "control byte";
	return NULL;
}

/* An extension may follow the size; it may have begun in bytes read before. */
static bool
has_space_in_size(struct http_octets *o, const struct http_octets *before,
    const char *data, size_t len)
{
	const char *end = memchr(data, ';', len);
	size_t size_len = end == NULL ? len : (size_t)(end - data);

	o->in_extension = o->in_size && (before->in_extension || end != NULL);
	if (before->in_extension)
		return false;
	return memchr(data, ' ', size_len) != NULL ||
	       memchr(data, '\t', size_len) != NULL;
}

static const char *
note_bytes(struct http_octets *o, const struct http_octets *before,
    const char *data, size_t len)
{
	struct http_octets at = *before;

	for (size_t i = 0; i < len; i++) {
		const char *why =
		    at.in_lines || at.in_size ? byte_fault(&at, data[i]) : NULL;

		if (why != NULL)
			return why;
		at.last[0] = at.last[1];
		at.last[1] = data[i];
		if (at.in_head && at.status_line < STATUS_LINE_MIN)
			at.status_line++;
	}
	/* What has begun meanwhile has had no bytes yet. */
	if (o->messages != before->messages)
		return NULL;
	memcpy(o->last, at.last, sizeof(o->last));
	o->status_line = at.status_line;
	return NULL;
}

const char *
http_octets_read(struct http_octets *o, const struct http_octets *before,
    const char *data, size_t len)
{
	bool head_ends = before->in_head && !o->in_head;
	const char *why = note_bytes(o, before, data, len + head_ends);

	if (why != NULL)
		return why;
	if (head_ends) /* it is passed again */
		o->last[1] = o->last[0];
	if (before->in_size && has_space_in_size(o, before, data, len))
		return "space in a chunk's size";
	if (o->line_ended && (o->last[0] != '\r' || o->last[1] != '\n'))
		return "chunk without CR LF";
	o->line_ended = false;
	return NULL;
}

bool
http_octets_in_name(const char *name, size_t len)
{
	return memchr(name, ' ', len) != NULL;
}
