/*
 * caller -- HTTP exchange with one caller: a request and its response.
 *
 * Exactly one of caller_reply(), caller_reply_buffer(), caller_reply_json(),
 * caller_reply_problem(), caller_reply_end(), caller_abort() or
 * caller_abort_after() ends the exchange; the object must not be used
 * afterwards.  on_disconnect() runs at most once, if the caller disconnects
 * before that; only caller_abort() may follow it.
 */
#ifndef PROTOCOL_CALLER_H
#define PROTOCOL_CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct caller;
struct evbuffer;
struct http_server;
struct evhttp_request;
struct http_buffer_quota;
struct json_t;
struct problem;

/* max_backlog: bytes of the response that may wait to be written. */
struct caller *caller_create(struct http_server *, struct evhttp_request *,
    size_t max_backlog, void (*on_disconnect)(void *ctx), void *ctx);

/*
 * Counts the exchange in *open_count until its response has been written;
 * open_count must stay valid as long as the event loop.
 */
void caller_count_open(struct caller *, size_t *open_count);

/* Returns NULL once the caller has disconnected. */
struct evhttp_request *caller_request(const struct caller *);
void caller_add_header(struct caller *, const char *name, const char *value);

/* Send a complete response; code is the HTTP status. */
void caller_reply(struct caller *, int code, const char *content_type,
    const void *body, size_t len);
/* Sends only the headers added, without a default type; drains the buffer. */
void caller_reply_buffer(struct caller *, int code, struct evbuffer *);
/* Steals the reference to the document. */
void caller_reply_json(struct caller *, int code, struct json_t *);
void caller_reply_problem(struct caller *, const struct problem *);

/*
 * Starts a response in chunks; caller_reply_end() ends it.  content_type NULL
 * sends no type but that of an added header.
 */
void caller_reply_start(struct caller *, int code, const char *content_type);
bool caller_is_replying(const struct caller *);
/*
 * Returns -1, without sending, if the chunk would exceed max_backlog: the
 * caller reads too slowly and is to be aborted.
 */
int caller_reply_chunk(struct caller *, const void *data, size_t len);
/* Ends the response, or aborts it if a chunk was not sent. */
void caller_reply_end(struct caller *);

/*
 * Calls on_drained(), with the context of caller_create(), when less than half
 * of `high` bytes wait to be written after caller_is_behind() was true.  Counts
 * what waits in the quota until it has been written; the quota must stay valid
 * as long as the event loop.
 */
void caller_watch_backlog(struct caller *, size_t high,
    struct http_buffer_quota *, void (*on_drained)(void *ctx));
/* Whether more than `high` bytes waited after the last chunk, and still do. */
bool caller_is_behind(const struct caller *);

/*
 * Closes the connection, so that a partial body isn't taken as complete; resets
 * it where the body has no chunks and would end with the connection.
 */
void caller_abort(struct caller *);
/* Sends a last chunk, and closes the connection once it has been written. */
void caller_abort_after(struct caller *, const void *data, size_t len);

/* Sends a problem document to a request without a struct caller. */
void reply_problem(struct evhttp_request *, const struct problem *);

#endif
