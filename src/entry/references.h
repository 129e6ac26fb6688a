/*
 * references -- whether declarations refer only to what exists.
 *
 * Checked by the entry before it sends a change.  Two changes that race at two
 * entries can still leave a reference to nothing: the work that needs it is
 * then refused, and the next change of either declaration names it.
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
 * Judges the declarations as they would be after all changes, whose bodies are
 * valid: RESULT_OK, RESULT_INVALID for a reference to nothing, or RESULT_IN_USE
 * for a deletion of what others refer to.
 */
enum result references_check(const struct config *, const struct tm_change *,
    size_t count, struct reference_error *);

#endif
