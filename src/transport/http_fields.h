/*
 * http_fields -- fields of an HTTP message: what they take, and which of them
 * concern one connection only.
 */
#ifndef TRANSPORT_HTTP_FIELDS_H
#define TRANSPORT_HTTP_FIELDS_H

#include <stdbool.h>
#include <stddef.h>

struct evhttp_request;
struct evkeyvalq;

/*
 * What a field takes besides its bytes: evhttp's element of a list and two
 * strings, with what the allocator adds.
 */
#define HTTP_FIELD_BYTES 128

/* Estimated memory of the fields, in bytes. */
size_t http_fields_memory(const struct evkeyvalq *);

/*
 * Frees the fields of a response whose head has been written, but those that
 * evhttp reads when it ends: a caller that doesn't read would keep them.
 */
void http_fields_drop_sent(struct evhttp_request *);

struct http_listed_fields;

/*
 * The names that the Connection fields list.  NULL if there are none; valid as
 * long as the fields.
 */
struct http_listed_fields *http_listed_fields_create(const struct evkeyvalq *);
void http_listed_fields_destroy(struct http_listed_fields *);
/* Whether the name is listed, in upper or lower case; NULL lists nothing. */
bool http_listed_fields_has(
    const struct http_listed_fields *, const char *name);

#endif
