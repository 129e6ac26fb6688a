/*
 * api_client -- blocking HTTP calls to one of several entries, the daemons that
 * serve the control API.
 *
 * Uses the same entry as long as it answers.  A call that could not be sent,
 * and a GET without an answer, are retried at the other entries, each once.
 * A change whose answer was lost is not, since the entry may have made it.
 */
#ifndef CTL_API_CLIENT_H
#define CTL_API_CLIENT_H

#include <stdbool.h>
#include <stddef.h>

struct api_client;
struct json_t;
struct tls;

struct api_response {
	int code; /* HTTP status; 0: no entry answered */
	struct json_t *doc; /* NULL if the body is not JSON */
};

struct api_client_options {
	const char *addresses; /* up to 16 IP:PORT, separated by commas */
	const struct tls *tls; /* NULL: no TLS */
	const char *token; /* sent as bearer token; NULL: none */
};

/* Returns NULL if an address is malformed or there are too many. */
struct api_client *api_client_create(const struct api_client_options *);
void api_client_destroy(struct api_client *);

/*
 * Calls an entry and waits for the response, up to 30 s for each entry.  `body`
 * is JSON or NULL.  The response must be cleared by api_response_clear().
 */
void api_client_call(struct api_client *, const char *method, const char *path,
    const char *body, struct api_response *);
void api_response_clear(struct api_response *);

/*
 * Reads a response line by line until it ends, without a time limit.  Returns
 * the HTTP status, or 0 if the connection was lost or could not be opened.
 */
int api_client_stream(struct api_client *, const char *path,
    void (*on_line)(void *ctx, const char *, size_t), void *ctx);

/*
 * Selects the next entry after a failed api_client_stream(), and sleeps for 1 s
 * whenever all entries have failed in a row.  Returns false if each has failed
 * 30 times without sending a line.
 */
bool api_client_failover(struct api_client *);

#endif
