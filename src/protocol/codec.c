#include "protocol/codec.h"

#include <stdlib.h>

void *
codec_encode(xdrproc_t proc, const void *obj, size_t *len)
{
	size_t size = xdr_sizeof(proc, (void *)obj);
	char *data;
	XDR xdrs;

	if (size == 0)
		return NULL;
	data = malloc(size);
	if (data == NULL)
		return NULL;
	xdrmem_create(&xdrs, data, (u_int)size, XDR_ENCODE);
	if (!proc(&xdrs, (void *)obj)) {
		free(data);
		return NULL;
	}
	*len = size;
	return data;
}

int
codec_decode(xdrproc_t proc, const void *data, size_t len, void *obj)
{
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)data, (u_int)len, XDR_DECODE);
	if (proc(&xdrs, obj) && xdr_getpos(&xdrs) == len)
		return 0;
	xdr_free(proc, obj);
	return -1;
}
