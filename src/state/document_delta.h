/*
 * document_delta -- encodes a document as its difference to an earlier version,
 * or compresses it by itself.
 *
 * The format is a Zstandard frame with a checksum (RFC 8878) whose prefix is
 * the earlier version.
 */
#ifndef STATE_DOCUMENT_DELTA_H
#define STATE_DOCUMENT_DELTA_H

#include <stddef.h>

#define DOCUMENT_MAX (16 * 1024 * 1024) /* bytes */

/* base: NULL if base_len is 0.  Returns malloc'd bytes. */
void *document_delta_encode(const void *base, size_t base_len, const void *doc,
    size_t doc_len, size_t *len);

/*
 * Returns the document, malloc'd, of doc_len bytes; NULL if the delta is
 * malformed, or was not made from this base and for this length.
 */
void *document_delta_apply(const void *base, size_t base_len, const void *delta,
    size_t len, size_t doc_len);

#endif
