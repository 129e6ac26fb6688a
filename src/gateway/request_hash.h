/*
 * request_hash -- identifies a request that callers repeat.
 *
 * Each attempt of a caller has an id of its own.  What a repeat has in common
 * with the first attempt is the model and all parts of its prompt, of which the
 * last one belongs to the request or its session; without a prompt, it is
 * method, host, path and body.  Two callers with the same request have the same
 * hash: if it crashes replicas, both are refused.
 */
#ifndef GATEWAY_REQUEST_HASH_H
#define GATEWAY_REQUEST_HASH_H

#include <stddef.h>
#include <stdint.h>

struct request_params;

struct request_text {
	int method; /* enum evhttp_cmd_type */
	const char *host;
	const char *path; /* with the query */
	const void *body;
	size_t body_len;
};

/*
 * A keyed hash, never 0: all gateways need the same key, and callers who do not
 * have it cannot choose a request with the hash of another one.
 */
uint64_t request_hash(const struct request_params *,
    const struct request_text *, const char *key);

#endif
