/*
 * fold_codec -- one interface to the folds of both streams, config and control,
 * with the encoding of their records and snapshots.
 *
 * state_stream uses it, so that both streams share the code that reads the log
 * and exchanges state with peers.
 */
#ifndef COORDINATION_FOLD_CODEC_H
#define COORDINATION_FOLD_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

struct fold_codec {
	const char *stream; /* name in the log */
	enum tm_stream stream_id;
	/* Log offset of the next record to fold. */
	uint64_t (*position)(const void *fold);
	/* Log offset of the last accepted record; 0 if there is none. */
	uint64_t (*version)(const void *fold);
	/*
	 * Decodes a record, folds it if apply is set, and calls chunk() if it
	 * is a checkpoint's.  Returns -1 if it is malformed; if apply is set
	 * the fold then skips it.
	 */
	int (*read_record)(void *fold, uint64_t offset, const void *data,
	    size_t len, bool apply,
	    void (*chunk)(void *ctx, const struct tm_checkpoint_chunk *),
	    void *ctx);
	/*
	 * Encodes a snapshot, len bytes that the caller frees.  Returns NULL if
	 * it exceeds a limit of the protocol.
	 */
	void *(*encode)(const void *fold, size_t *len);
	/* Returns 0, or -1 if the snapshot is malformed or not newer. */
	int (*restore)(void *fold, const void *data, size_t len);
};

extern const struct fold_codec config_codec;
extern const struct fold_codec control_codec;

#endif
