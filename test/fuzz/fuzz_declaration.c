/*
 * Parses any bytes as a declaration of each kind.  A refusal must have an error
 * text that isn't empty and is terminated.
 */
#include <stdlib.h>
#include <string.h>

#include "protocol/declaration.h"

int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	for (int kind = 0; kind < DECL_KIND_COUNT; kind++) {
		struct declaration decl;
		struct decl_error err;

		if (declaration_parse(&decl, (enum decl_kind)kind,
			(const char *)data, len, &err) == 0)
			declaration_clear(&decl);
		else if (err.text[0] == '\0' ||
			 memchr(err.text, '\0', sizeof(err.text)) == NULL)
			abort();
	}
	return 0;
}
