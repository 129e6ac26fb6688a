/*
 * problem -- error responses as problem documents (RFC 9457).
 */
#ifndef PROTOCOL_PROBLEM_H
#define PROTOCOL_PROBLEM_H

#include <stdint.h>

#include "protocol/result.h"

struct json_t;

struct problem {
	enum result code;
	enum outcome outcome;
	const char *detail; /* NULL: none */
	const char *request; /* id of the request, in hex; NULL: none */
	int64_t retry_after_ms; /* from now; 0: none */
};

/* Returns a new reference to a JSON object. */
struct json_t *problem_to_json(const struct problem *);

#endif
