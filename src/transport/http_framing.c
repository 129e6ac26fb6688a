#include "transport/http_framing.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <http_parser.h>

#include "transport/http_octets.h"

#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_LARGE 413
#define STATUS_HEADERS_TOO_LARGE 431

/* What a request consists of, as far as evhttp's reading can differ. */
struct shape {
	size_t url_len;
	size_t field_count;
	size_t field_bytes; /* names, and values without space around them */
	size_t trailer_count;
	size_t trailer_bytes;
	size_t body_len;
};

enum framing_field {
	FIELD_OTHER,
	FIELD_HOST,
	FIELD_LENGTH,
	FIELD_CODING,
};

struct http_framing {
	http_parser parser;
	size_t max_body;
	int fault_status; /* 0: none; nothing is read after a fault */
	const char *fault;
	struct shape *shapes; /* of complete requests, the oldest first */
	size_t shape_count;
	size_t shape_capacity;

	/* The request that is being read: */
	struct shape shape;
	struct http_octets octets;
	bool in_trailer; /* the head is complete */
	bool complete;
	bool in_value;
	size_t spaces; /* at the end of the value so far */
	char name[20]; /* of the field, as far as it fits */
	size_t name_len;
	char coding[12]; /* value of Transfer-Encoding, as far as it fits */
	size_t coding_len;
	unsigned field_counts[FIELD_CODING + 1];
};

static void
set_fault(struct http_framing *f, int status, const char *why)
{
	if (f->fault_status != 0)
		return;
	f->fault_status = status;
	f->fault = why;
}

/* ---- parser callbacks; a non-zero return value stops the parser ---- */

static int
on_message_begin(http_parser *parser)
{
	struct http_framing *f = parser->data;

	memset(&f->shape, 0, sizeof(f->shape));
	memset(f->field_counts, 0, sizeof(f->field_counts));
	f->in_trailer = false;
	f->in_value = false;
	f->name_len = 0;
	f->coding_len = 0;
	f->spaces = 0;
	return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
	struct http_framing *f = parser->data;

	if (memchr(at, '\t', len) != NULL) {
		set_fault(f, STATUS_BAD_REQUEST, "control byte");
		return -1;
	}
	f->shape.url_len += len;
	return 0;
}

static enum framing_field
field_of(const struct http_framing *f)
{
	static const struct {
		const char *name;
		enum framing_field field;
	} fields[] = {
		{ "host", FIELD_HOST },
		{ "content-length", FIELD_LENGTH },
		{ "transfer-encoding", FIELD_CODING },
	};

	for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		if (f->name_len == strlen(fields[i].name) &&
		    strncasecmp(f->name, fields[i].name, f->name_len) == 0)
			return fields[i].field;
	}
	return FIELD_OTHER;
}

static void
end_name(struct http_framing *f)
{
	if (!f->in_value)
		f->field_counts[f->in_trailer ? FIELD_OTHER : field_of(f)]++;
	f->in_value = true;
}

static int
on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct http_framing *f = parser->data;

	if (f->in_value || f->name_len == 0) {
		f->name_len = 0;
		f->spaces = 0;
		f->in_value = false;
		if (f->in_trailer)
			f->shape.trailer_count++;
		else
			f->shape.field_count++;
	}
	if (http_octets_in_name(at, len)) {
		set_fault(f, STATUS_BAD_REQUEST, "space in a name");
		return -1;
	}
	for (size_t i = 0; i < len && f->name_len < sizeof(f->name); i++)
		f->name[f->name_len++] = at[i];
	*(f->in_trailer ? &f->shape.trailer_bytes : &f->shape.field_bytes) +=
	    len;
	return 0;
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct http_framing *f = parser->data;
	size_t *bytes =
	    f->in_trailer ? &f->shape.trailer_bytes : &f->shape.field_bytes;

	end_name(f);
	for (size_t i = 0; i < len; i++) {
		if (at[i] == ' ' || at[i] == '\t') {
			f->spaces++;
			continue;
		}
		*bytes += f->spaces + 1;
		f->spaces = 0;
	}
	if (f->in_trailer || field_of(f) != FIELD_CODING)
		return 0;
	for (size_t i = 0; i < len && f->coding_len < sizeof(f->coding); i++)
		f->coding[f->coding_len++] = at[i];
	return 0;
}

static bool
is_chunked(const struct http_framing *f)
{
	size_t len = f->coding_len;

	while (len > 0 &&
	       (f->coding[len - 1] == ' ' || f->coding[len - 1] == '\t'))
		len--;
	return len == strlen("chunked") &&
	       strncasecmp(f->coding, "chunked", len) == 0;
}

/* Section 6.3 of RFC 9112, without what it allows to repair. */
static const char *
head_fault(const struct http_framing *f)
{
	const http_parser *p = &f->parser;
	unsigned codings = f->field_counts[FIELD_CODING];

	if (p->http_major != 1)
		return "unknown version of HTTP";
	if (p->method == HTTP_CONNECT)
		return "CONNECT is not served";
	if (f->field_counts[FIELD_HOST] > 1)
		return "more than one Host";
	if (f->field_counts[FIELD_LENGTH] > 1)
		return "more than one Content-Length";
	if (codings == 0)
		return NULL;
	if (f->field_counts[FIELD_LENGTH] > 0)
		return "both Content-Length and Transfer-Encoding";
	if (codings > 1 || !is_chunked(f))
		return "unknown Transfer-Encoding";
	return p->http_minor == 0 ? "Transfer-Encoding in HTTP/1.0" : NULL;
}

static int
on_headers_complete(http_parser *parser)
{
	struct http_framing *f = parser->data;
	const char *why = head_fault(f);

	f->in_trailer = true;
	f->in_value = false;
	f->name_len = 0;
	if (why != NULL) {
		set_fault(f, STATUS_BAD_REQUEST, why);
		return -1;
	}
	if (f->field_counts[FIELD_LENGTH] > 0 &&
	    parser->content_length > f->max_body) {
		set_fault(f, STATUS_TOO_LARGE, "body over the limit");
		return -1;
	}
	http_octets_head_complete(
	    &f->octets, f->field_counts[FIELD_CODING] > 0);
	http_parser_pause(parser, 1);
	return 0;
}

static int
on_chunk_header(http_parser *parser)
{
	struct http_framing *f = parser->data;

	http_octets_chunk_header(&f->octets, parser->content_length == 0);
	if (parser->content_length <= f->max_body - f->shape.body_len) {
		http_parser_pause(parser, 1);
		return 0;
	}
	set_fault(f, STATUS_TOO_LARGE, "body over the limit");
	return -1;
}

static int
on_chunk_complete(http_parser *parser)
{
	struct http_framing *f = parser->data;

	http_octets_chunk_complete(&f->octets);
	http_parser_pause(parser, 1);
	return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_framing *f = parser->data;

	f->shape.body_len += len;
	return 0;
}

static int
on_message_complete(http_parser *parser)
{
	struct http_framing *f = parser->data;

	f->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_chunk_header = on_chunk_header,
	.on_chunk_complete = on_chunk_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/* ---- reading ---- */

static void
begin_request(struct http_framing *f)
{
	/* Also after an Upgrade, which is not followed. */
	http_parser_init(&f->parser, HTTP_REQUEST);
	f->parser.data = f;
	f->complete = false;
	f->in_trailer = false;
	http_octets_begin(&f->octets);
}

struct http_framing *
http_framing_create(size_t max_body)
{
	struct http_framing *f = calloc(1, sizeof(*f));

	if (f == NULL)
		abort();
	f->max_body = max_body;
	begin_request(f);
	return f;
}

void
http_framing_destroy(struct http_framing *f)
{
	if (f == NULL)
		return;
	free(f->shapes);
	free(f);
}

static void
add_shape(struct http_framing *f)
{
	if (f->shape_count == f->shape_capacity) {
		f->shape_capacity = f->shape_capacity * 2 + 1;
		f->shapes = reallocarray(
		    f->shapes, f->shape_capacity, sizeof(f->shapes[0]));
		if (f->shapes == NULL)
			abort();
	}
	f->shapes[f->shape_count++] = f->shape;
}

static void
note_parser_error(struct http_framing *f, enum http_errno err)
{
	if (err == HPE_HEADER_OVERFLOW)
		set_fault(f, STATUS_HEADERS_TOO_LARGE, "header over the limit");
	else if (err != HPE_OK && err != HPE_PAUSED)
		set_fault(f, STATUS_BAD_REQUEST, http_errno_description(err));
}

void
http_framing_read(struct http_framing *f, const char *data, size_t len)
{
	while (len > 0 && f->fault_status == 0) {
		struct http_octets before = f->octets;
		size_t used = http_parser_execute(
		    &f->parser, &parser_settings, data, len);
		const char *why;

		note_parser_error(f, HTTP_PARSER_ERRNO(&f->parser));
		if (f->fault_status != 0)
			return;
		http_parser_pause(&f->parser, 0);
		why = http_octets_read(&f->octets, &before, data, used);
		if (why != NULL)
			set_fault(f, STATUS_BAD_REQUEST, why);
		data += used;
		len -= used;
		if (f->complete && f->fault_status == 0) {
			add_shape(f);
			begin_request(f);
		}
	}
}

/* ---- comparing ---- */

static size_t
trimmed_len(const char *value)
{
	size_t len;

	value += strspn(value, " \t");
	len = strlen(value);
	while (len > 0 && (value[len - 1] == ' ' || value[len - 1] == '\t'))
		len--;
	return len;
}

static bool
is_same(const struct shape *s, struct evhttp_request *req)
{
	size_t count = 0, bytes = 0;
	struct evkeyval *h;

	TAILQ_FOREACH(h, evhttp_request_get_input_headers(req), next) {
		bytes += strlen(h->key) + trimmed_len(h->value);
		count++;
	}
	return s->url_len == strlen(evhttp_request_get_uri(req)) &&
	       s->field_count + s->trailer_count == count &&
	       s->field_bytes + s->trailer_bytes == bytes &&
	       s->body_len ==
		   evbuffer_get_length(evhttp_request_get_input_buffer(req));
}

/* evhttp adds them to the fields of the head, as the last ones. */
static void
drop_trailer(const struct shape *s, struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);

	for (size_t i = 0; i < s->trailer_count; i++) {
		struct evkeyval *h = TAILQ_LAST(headers, evkeyvalq);

		TAILQ_REMOVE(headers, h, next);
		free(h->key);
		free(h->value);
		free(h);
	}
}

int
http_framing_check(
    struct http_framing *f, struct evhttp_request *req, const char **why)
{
	struct shape s;

	if (f->shape_count == 0) {
		*why = f->fault_status != 0 ? f->fault : "ambiguous framing";
		return f->fault_status != 0 ? f->fault_status
					    : STATUS_BAD_REQUEST;
	}
	s = f->shapes[0];
	memmove(&f->shapes[0], &f->shapes[1],
	    --f->shape_count * sizeof(f->shapes[0]));
	if (!is_same(&s, req)) {
		*why = "ambiguous framing";
		set_fault(f, STATUS_BAD_REQUEST, *why);
		return STATUS_BAD_REQUEST;
	}
	drop_trailer(&s, req);
	return 0;
}

bool
http_framing_has_request(const struct http_framing *f)
{
	return f->shape_count > 0;
}
