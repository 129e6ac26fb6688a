#include "state/document_delta.h"

#include <stdlib.h>

#include <zstd.h>

#define LEVEL 3
#define WINDOW_LOG_MIN 10
#define WINDOW_LOG_MAX 26 /* holds a base and a document of DOCUMENT_MAX */

/* The window must reach from the end of the document to the base's begin. */
static int
window_log(size_t bytes)
{
	int log = WINDOW_LOG_MIN;

	while (log < WINDOW_LOG_MAX && ((size_t)1 << log) < bytes)
		log++;
	return log;
}

void *
document_delta_encode(const void *base, size_t base_len, const void *doc,
    size_t doc_len, size_t *len)
{
	size_t size = ZSTD_compressBound(doc_len), n;
	ZSTD_CCtx *ctx = ZSTD_createCCtx();
	void *out = malloc(size);

	if (ctx == NULL || out == NULL)
		abort();
	(void)ZSTD_CCtx_setParameter(ctx, ZSTD_c_compressionLevel, LEVEL);
	(void)ZSTD_CCtx_setParameter(ctx, ZSTD_c_checksumFlag, 1);
	(void)ZSTD_CCtx_setParameter(
	    ctx, ZSTD_c_windowLog, window_log(base_len + doc_len));
	if (base_len > 0) {
		(void)ZSTD_CCtx_setParameter(
		    ctx, ZSTD_c_enableLongDistanceMatching, 1);
		(void)ZSTD_CCtx_refPrefix(ctx, base, base_len);
	}
	n = ZSTD_compress2(ctx, out, size, doc, doc_len);
	if (ZSTD_isError(n))
		abort(); /* for lack of memory: the output has room */
	ZSTD_freeCCtx(ctx);
	*len = n;
	return out;
}

void *
document_delta_apply(const void *base, size_t base_len, const void *delta,
    size_t len, size_t doc_len)
{
	ZSTD_DCtx *ctx = NULL;
	void *out;
	size_t n;

	if (doc_len == 0 || doc_len > DOCUMENT_MAX)
		return NULL;
	ctx = ZSTD_createDCtx();
	out = malloc(doc_len);
	if (ctx == NULL || out == NULL)
		abort();
	if (base_len > 0)
		(void)ZSTD_DCtx_refPrefix(ctx, base, base_len);
	n = ZSTD_decompressDCtx(ctx, out, doc_len, delta, len);
	ZSTD_freeDCtx(ctx);
	if (ZSTD_isError(n) || n != doc_len) {
		free(out);
		return NULL;
	}
	return out;
}
