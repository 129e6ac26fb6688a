/*
 * operators -- authorization for the operator API: who may read and who write.
 *
 * A token file has one operator per line, "TOKEN ROLE NAME", where ROLE is
 * "read" or "write"; lines that begin with # are comments.  The role in a
 * client certificate takes precedence over a token.  Without a token file
 * everyone may write.
 */
#ifndef ENTRY_OPERATORS_H
#define ENTRY_OPERATORS_H

#include <stddef.h>

#include "protocol/result.h"

struct operators;
struct evhttp_request;

struct operators_error {
	char text[256];
};

/*
 * Reads the token file; path "": none, and everyone may write.  Returns NULL
 * with the file, line and reason in err, but never the token.
 */
struct operators *operators_create(
    const char *path, struct operators_error *err);
void operators_destroy(struct operators *);

/*
 * Returns RESULT_OK if the request's method is allowed, RESULT_UNAUTHORIZED
 * without valid credentials, or RESULT_FORBIDDEN if the role is "read" and the
 * method is not GET.
 */
enum result operators_authorize(
    const struct operators *, struct evhttp_request *);

#endif
