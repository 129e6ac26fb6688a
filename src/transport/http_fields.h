/*
 * http_fields -- memory of the fields of an HTTP message.
 */
#ifndef TRANSPORT_HTTP_FIELDS_H
#define TRANSPORT_HTTP_FIELDS_H

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

#endif
