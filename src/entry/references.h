/*
 * references -- checks that declarations refer only to declared names.
 *
 * The entry checks before it appends a change.  Two changes that race at two
 * entries can still leave a dangling reference: work that needs it is refused,
 * and the next change of the referring declaration fails the check.
 */
#ifndef ENTRY_REFERENCES_H
#define ENTRY_REFERENCES_H

#include <stddef.h>

#include "protocol/result.h"
#include "protocol/tm_xdr.h"

struct config;

struct reference_error {
	char text[512];
};

/*
 * Checks the declarations as they would be after all changes, whose bodies must
 * be valid.  Returns RESULT_OK, RESULT_INVALID for a dangling reference of a
 * changed declaration, or RESULT_IN_USE for the deletion of a declaration that
 * others refer to; the error text names both.
 */
enum result references_check(const struct config *, const struct tm_change *,
    size_t count, struct reference_error *);

#endif
