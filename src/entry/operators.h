/*
 * operators -- who may read and who may write declarations.
 *
 * A token file holds one operator a line: TOKEN ROLE NAME, ROLE being "read" or
 * "write"; lines that begin with # are comments.  A client certificate gives
 * the role of its subject.  With neither file nor TLS, everybody may write.
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

/* path "": no tokens.  NULL with file and line in err. */
struct operators *operators_create(
    const char *path, struct operators_error *err);
void operators_destroy(struct operators *);

/*
 * RESULT_OK if the request's method is allowed, RESULT_UNAUTHORIZED without
 * known credentials, RESULT_FORBIDDEN if their role is too small.
 */
enum result operators_authorize(
    const struct operators *, struct evhttp_request *);

#endif
