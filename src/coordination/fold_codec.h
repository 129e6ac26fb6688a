/*
 * fold_codec -- the folds of both streams behind one interface, from and to
 * the bytes that the log and peers hold.
 */
#ifndef COORDINATION_FOLD_CODEC_H
#define COORDINATION_FOLD_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

struct fold_codec {
	const char *stream; /* its name in the log */
	enum tm_stream stream_id;
	uint64_t (*position)(const void *fold);
	uint64_t (*version)(const void *fold);
	/*
	 * Decodes a record, folds it if `apply` is set, and hands out the chunk
	 * that it holds, if any.  Returns -1 if it is malformed; its offset is
	 * then skipped.
	 */
	int (*read_record)(void *fold, uint64_t offset, const void *data,
	    size_t len, bool apply,
	    void (*chunk)(void *ctx, const struct tm_checkpoint_chunk *),
	    void *ctx);
	/* The whole state, malloc'd; NULL if it breaks a bound. */
	void *(*encode)(const void *fold, size_t *len);
	/* Returns 0, or -1 if the state is malformed or not newer. */
	int (*restore)(void *fold, const void *data, size_t len);
};

extern const struct fold_codec config_codec;
extern const struct fold_codec control_codec;

#endif
