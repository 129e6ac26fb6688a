/*
 * client -- blocking HTTP calls to one of several entries.
 *
 * Stays with an entry while it answers.  A call that no entry was sent goes to
 * the next one; a change whose answer was lost does not, since it may have been
 * made.
 */
#ifndef CTL_API_CLIENT_H
#define CTL_API_CLIENT_H

#include <stdbool.h>
#include <stddef.h>

struct api_client;
struct json_t;
struct tls;

struct api_response {
	int code; /* HTTP status; 0: no answer */
	struct json_t *doc; /* NULL if the body is not JSON */
};

struct api_client_options {
	const char *addresses; /* IP:PORT by commas */
	const struct tls *tls; /* NULL: plain text */
	const char *token; /* NULL: none */
};

/* NULL if an address is none. */
struct api_client *api_client_create(const struct api_client_options *);
void api_client_destroy(struct api_client *);

/* body may be NULL.  Clear the answer with api_response_clear(). */
void api_client_call(struct api_client *, const char *method, const char *path,
    const char *body, struct api_response *);
void api_response_clear(struct api_response *);

/*
 * Gets a stream of lines until it ends.  Returns the HTTP status, or 0 if it
 * did not come to its end.
 */
int api_client_stream(struct api_client *, const char *path,
    void (*on_line)(void *ctx, const char *, size_t), void *ctx);

/* Goes to the next entry, after a pause once all were tried in vain. */
bool api_client_failover(struct api_client *);

#endif
