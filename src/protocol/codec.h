/* codec -- encodes XDR types to byte strings, and decodes them. */
#ifndef PROTOCOL_CODEC_H
#define PROTOCOL_CODEC_H

#include <stddef.h>

#include <rpc/rpc.h>

/* Returns malloc'd bytes, or NULL if obj exceeds a limit of its type. */
void *codec_encode(xdrproc_t, const void *obj, size_t *len);

/*
 * Decodes into obj, which must be zeroed; free it with xdr_free().  Returns -1,
 * with nothing to free, if the data is malformed or longer than the object.
 */
int codec_decode(xdrproc_t, const void *data, size_t len, void *obj);

#endif
