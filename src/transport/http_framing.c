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
	size_t head_bytes; /* as received */
};

/* What is being read, as far as it has a limit of its own. */
enum section {
	SECTION_HEAD, /* with the empty lines before it */
	SECTION_BODY,
	SECTION_CHUNK_SIZE,
	SECTION_TRAILER,
};

/* What may follow a fault before the connection is closed without an answer. */
#define FAULT_BYTES_MAX 4096
/* The same of a body over the limit, as its client reads late: of max_body. */
#define LARGE_BODY_FACTOR 4

enum framing_field {
	FIELD_OTHER,
	FIELD_HOST,
	FIELD_LENGTH,
	FIELD_CODING,
};

struct http_framing {
	http_parser parser;
	const struct http_framing_limits *limits;
	int overrun; /* HTTP status; 0: within the limits */
	size_t fields; /* of all requests */
	size_t checked_head_bytes;
	size_t after_fault; /* bytes */
	enum section section;
	size_t section_bytes;
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

	f->shape = (struct shape){ .head_bytes = f->shape.head_bytes };
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
		f->fields++;
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

static void
begin_section(struct http_framing *f, enum section section)
{
	f->section = section;
	f->section_bytes = 0;
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
	    parser->content_length > f->limits->max_body) {
		set_fault(f, STATUS_TOO_LARGE, "body over the limit");
		return -1;
	}
	begin_section(f, f->field_counts[FIELD_CODING] > 0 ? SECTION_CHUNK_SIZE
							   : SECTION_BODY);
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
	begin_section(
	    f, parser->content_length == 0 ? SECTION_TRAILER : SECTION_BODY);
	if (parser->content_length <= f->limits->max_body - f->shape.body_len) {
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
	if (f->section == SECTION_BODY)
		begin_section(f, SECTION_CHUNK_SIZE);
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
	begin_section(f, SECTION_HEAD);
	f->shape.head_bytes = 0;
	http_octets_begin(&f->octets);
}

struct http_framing *
http_framing_create(const struct http_framing_limits *limits)
{
	struct http_framing *f = calloc(1, sizeof(*f));

	if (f == NULL)
		abort();
	f->limits = limits;
	/* Its own limit is for all parsers of the process. */
	http_parser_set_max_header_size(UINT32_MAX);
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

static void
set_overrun(struct http_framing *f, int status, const char *why)
{
	set_fault(f, status, why);
	if (f->overrun == 0)
		f->overrun = status;
}

/* Counts bytes of a section that began before they were read. */
static void
count_section(
    struct http_framing *f, enum section section, size_t before, size_t len)
{
	if (section == SECTION_HEAD)
		f->shape.head_bytes = before + len;
	if (f->section == section)
		f->section_bytes = before + len;
	if (section != SECTION_BODY && before + len > f->limits->max_head)
		set_overrun(f, STATUS_HEADERS_TOO_LARGE, "head over the limit");
}

/* What evhttp reads after a fault has no other limit. */
static void
count_after_fault(struct http_framing *f, size_t len)
{
	size_t max = f->fault_status == STATUS_TOO_LARGE
			 ? LARGE_BODY_FACTOR * f->limits->max_body
			 : FAULT_BYTES_MAX;

	f->after_fault += len;
	if (f->after_fault > max && f->overrun == 0)
		f->overrun = f->fault_status;
}

void
http_framing_read(struct http_framing *f, const char *data, size_t len)
{
	if (f->fault_status != 0) {
		count_after_fault(f, len);
		return;
	}
	while (len > 0 && f->fault_status == 0) {
		enum section section = f->section;
		size_t section_bytes = f->section_bytes;
		struct http_octets before = f->octets;
		size_t used = http_parser_execute(
		    &f->parser, &parser_settings, data, len);
		const char *why;

		note_parser_error(f, HTTP_PARSER_ERRNO(&f->parser));
		if (f->fault_status != 0)
			return;
		http_parser_pause(&f->parser, 0);
		count_section(f, section, section_bytes, used);
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
	f->checked_head_bytes = s.head_bytes;
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

int
http_framing_overrun(const struct http_framing *f)
{
	return f->overrun;
}

bool
http_framing_in_head(const struct http_framing *f)
{
	return f->section == SECTION_HEAD || f->fault_status != 0;
}

size_t
http_framing_fields(const struct http_framing *f)
{
	return f->fields;
}

size_t
http_framing_head_bytes(const struct http_framing *f)
{
	return f->checked_head_bytes;
}

bool
http_framing_has_request(const struct http_framing *f)
{
	return f->shape_count > 0;
}
