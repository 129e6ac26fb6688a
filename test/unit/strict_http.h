/*
 * strict_http -- reads whole HTTP/1.1 requests as RFC 9112 says and repairs
 * nothing, as a reference for what a proxy may make of the same bytes.
 */
#ifndef TEST_STRICT_HTTP_H
#define TEST_STRICT_HTTP_H

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#define STRICT_FIELDS_MAX 4096

struct strict_request {
	char *method;
	char *target;
	int minor; /* version 1.x */
	char *names[STRICT_FIELDS_MAX];
	char *values[STRICT_FIELDS_MAX];
	unsigned count;
	GString *body;
};

static inline void
strict_clear(struct strict_request *r)
{
	g_free(r->method);
	g_free(r->target);
	for (unsigned i = 0; i < r->count; i++) {
		g_free(r->names[i]);
		g_free(r->values[i]);
	}
	if (r->body != NULL)
		g_string_free(r->body, TRUE);
	memset(r, 0, sizeof(*r));
}

static inline bool
strict_is_token(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isalnum(text[i]) &&
		    (text[i] == '\0' ||
			strchr("!#$%&'*+-.^_`|~", text[i]) == NULL))
			return false;
	}
	return len > 0;
}

/* Returns the length of the line without its CR LF, or -1 if there is none. */
static inline gssize
strict_line(const char *at, const char *end)
{
	for (const char *c = at; c < end; c++) {
		if (*c == '\n')
			return -1;
		if (*c == '\r')
			return c + 1 < end && c[1] == '\n' ? c - at : -1;
	}
	return -1;
}

/* The same of an answer's head, where LF alone may end a line; moves *at on. */
static inline gssize
strict_head_line(const char **at, const char *end)
{
	const char *nl = memchr(*at, '\n', (size_t)(end - *at)), *begin = *at;

	if (nl == NULL)
		return -1;
	*at = nl + 1;
	if (nl > begin && nl[-1] == '\r')
		nl--;
	return memchr(begin, '\r', (size_t)(nl - begin)) == NULL ? nl - begin
								 : -1;
}

static inline bool
strict_is_text(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

static inline const char *
strict_find(const struct strict_request *r, const char *name, unsigned *count)
{
	const char *value = NULL;

	*count = 0;
	for (unsigned i = 0; i < r->count; i++) {
		if (g_ascii_strcasecmp(r->names[i], name) != 0)
			continue;
		value = r->values[i];
		(*count)++;
	}
	return value;
}

static inline bool
strict_read_first_line(struct strict_request *r, const char *at, size_t len)
{
	const char *space = memchr(at, ' ', len), *second;
	size_t rest;

	if (space == NULL || !strict_is_token(at, (size_t)(space - at)))
		return false;
	rest = len - (size_t)(space + 1 - at);
	second = memchr(space + 1, ' ', rest);
	if (second == NULL || second == space + 1 ||
	    !strict_is_text(space + 1, (size_t)(second - space - 1)) ||
	    memchr(space + 1, '\t', (size_t)(second - space - 1)) != NULL)
		return false;
	rest = len - (size_t)(second + 1 - at);
	if (rest != strlen("HTTP/1.1") ||
	    memcmp(second + 1, "HTTP/1.", rest - 1) != 0 ||
	    !g_ascii_isdigit(second[rest]))
		return false;
	r->minor = second[rest] - '0';
	r->method = g_strndup(at, (size_t)(space - at));
	r->target = g_strndup(space + 1, (size_t)(second - space - 1));
	return true;
}

static inline bool
strict_read_field(struct strict_request *r, const char *at, size_t len)
{
	const char *colon = memchr(at, ':', len);

	if (colon == NULL || !strict_is_token(at, (size_t)(colon - at)) ||
	    !strict_is_text(at, len) || r->count == STRICT_FIELDS_MAX)
		return false;
	r->names[r->count] = g_strndup(at, (size_t)(colon - at));
	r->values[r->count] =
	    g_strndup(colon + 1, len - (size_t)(colon + 1 - at));
	for (char *c = r->values[r->count]; *c != '\0'; c++)
		*c = *c == '\t' ? ' ' : *c;
	g_strstrip(r->values[r->count++]);
	return true;
}

/* Returns the first byte after the chunks, or NULL. */
static inline const char *
strict_read_chunks(struct strict_request *r, const char *at, const char *end)
{
	for (;;) {
		gssize len = strict_line(at, end);
		char *digits, *after;
		guint64 size;

		if (len <= 0 || !g_ascii_isxdigit(*at))
			return NULL;
		digits = g_strndup(at, (size_t)len);
		size = g_ascii_strtoull(digits, &after, 16);
		if (*after != '\0' && *after != ';') {
			g_free(digits);
			return NULL;
		}
		g_free(digits);
		at += len + 2;
		if (size == 0)
			break;
		if (size > (guint64)(end - at) ||
		    strict_line(at + size, end) != 0)
			return NULL;
		g_string_append_len(r->body, at, (gssize)size);
		at += size + 2;
	}
	for (;;) { /* trailer fields */
		gssize len = strict_line(at, end);

		if (len == -1)
			return NULL;
		at += len + 2;
		if (len == 0)
			return at;
	}
}

/*
 * Reads the first request.  Returns the byte after it, or NULL if it is
 * malformed or incomplete.
 */
static inline const char *
strict_read(struct strict_request *r, const char *at, const char *end)
{
	gssize len = strict_line(at, end);
	unsigned lengths, codings, hosts;
	const char *length, *coding;

	memset(r, 0, sizeof(*r));
	r->body = g_string_new(NULL);
	if (len <= 0 || !strict_read_first_line(r, at, (size_t)len))
		return NULL;
	for (at += len + 2; (len = strict_line(at, end)) != 0; at += len + 2) {
		if (len == -1 || !strict_read_field(r, at, (size_t)len))
			return NULL;
	}
	at += 2;
	length = strict_find(r, "Content-Length", &lengths);
	coding = strict_find(r, "Transfer-Encoding", &codings);
	(void)strict_find(r, "Host", &hosts);
	if (hosts > 1 || lengths > 1 || codings > 1 ||
	    (lengths > 0 && codings > 0) ||
	    (codings > 0 &&
		(r->minor == 0 || g_ascii_strcasecmp(coding, "chunked") != 0)))
		return NULL;
	if (codings > 0)
		return strict_read_chunks(r, at, end);
	if (lengths > 0) {
		char *after;
		guint64 size = g_ascii_strtoull(length, &after, 10);

		if (!g_ascii_isdigit(*length) || *after != '\0' ||
		    size > (guint64)(end - at))
			return NULL;
		g_string_append_len(r->body, at, (gssize)size);
		at += size;
	}
	return at;
}

#endif
