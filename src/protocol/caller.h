/*
 * caller -- the HTTP exchange with one caller.
 *
 * Exactly one of caller_reply(), caller_reply_problem(), caller_reply_end(),
 * caller_abort() or caller_abort_after() ends it; the object must not be used
 * then.  on_disconnect() runs at most once, when the caller hung up first; then
 * only caller_abort() may follow.
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
struct json_t;
struct problem;

struct caller *caller_create(struct http_server *, struct evhttp_request *,
    size_t max_backlog, void (*on_disconnect)(void *ctx), void *ctx);

/*
 * Counts the exchange in *open until its answer has left this process; the
 * cell must outlive the event loop.
 */
void caller_count_open(struct caller *, size_t *open_count);

struct evhttp_request *caller_request(const struct caller *);
void caller_add_header(struct caller *, const char *name, const char *value);

void caller_reply(struct caller *, int code, const char *content_type,
    const void *body, size_t len);
/* A body whose type the added headers name, if any; drains the buffer. */
void caller_reply_buffer(struct caller *, int code, struct evbuffer *);
/* Steals the document. */
void caller_reply_json(struct caller *, int code, struct json_t *);
void caller_reply_problem(struct caller *, const struct problem *);

/* A body in chunks; content_type NULL: the added headers name it, if any. */
void caller_reply_start(struct caller *, int code, const char *content_type);
bool caller_is_replying(const struct caller *);
/* -1 when the caller reads too slowly; abort it then. */
int caller_reply_chunk(struct caller *, const void *data, size_t len);
void caller_reply_end(struct caller *);

/* Breaks the connection, so that no short body looks whole. */
void caller_abort(struct caller *);
/* Likewise, once the data has been written. */
void caller_abort_after(struct caller *, const void *data, size_t len);

/* Answers a request that has no struct caller yet. */
void reply_problem(struct evhttp_request *, const struct problem *);

#endif
