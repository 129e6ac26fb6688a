/*
 * checkpoint -- snapshots of a fold, stored in its own log stream as chunk
 * records, so that a reader needs no records that the log has dropped.
 *
 * Holders of a lease write them; every daemon reads them.  A chunk carries the
 * id of its checkpoint, its index and the digest of all chunks' data, so chunks
 * of several writers may interleave, repeat or be missing.
 */
#ifndef COORDINATION_CHECKPOINT_H
#define COORDINATION_CHECKPOINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"

struct checkpoint_reader;
struct checkpoint_writer;
struct event_base;
struct log_client;

/* ---- reading ---- */

/* A complete checkpoint. */
struct checkpoint {
	uint64_t position; /* log offset of the first record not in it */
	const void *data; /* NULL unless the reader keeps data */
	size_t len; /* bytes; 0 unless the reader keeps data */
};

struct checkpoint_reader *checkpoint_reader_create(void);
void checkpoint_reader_destroy(struct checkpoint_reader *);

/*
 * Drops all chunks, and sets whether the data of later ones is kept.  At first
 * it is not: a daemon that has read all records only needs to know which
 * checkpoints are complete.
 */
void checkpoint_reader_reset(struct checkpoint_reader *, bool keep_data);

/*
 * Adds one chunk.  Returns true and sets out if it completes a checkpoint;
 * out->data is valid until the next call.  The digest is only checked if data
 * is kept.
 */
bool checkpoint_reader_add(struct checkpoint_reader *,
    const struct tm_checkpoint_chunk *, struct checkpoint *out);

/* ---- writing ---- */

struct checkpoint_writer_options {
	struct event_base *base;
	const struct log_client *log;
	enum tm_stream stream;
	int64_t retry_us; /* pause after a failed append */
};

struct checkpoint_writer *checkpoint_writer_create(
    const struct checkpoint_writer_options *);
void checkpoint_writer_destroy(struct checkpoint_writer *);

bool checkpoint_writer_busy(const struct checkpoint_writer *);

/*
 * Appends data, a snapshot at that position, in chunks.  Takes ownership of it.
 * Must not be called while the writer is busy.
 */
void checkpoint_writer_start(
    struct checkpoint_writer *, uint64_t position, void *data, size_t len);

/* ---- schedule ---- */

struct checkpoint_policy {
	uint64_t max_records; /* after the newest checkpoint */
	int64_t max_age_us; /* of the newest checkpoint */
};

struct checkpoint_state {
	uint64_t first; /* oldest offset in the log */
	uint64_t end; /* next offset to read */
	uint64_t checkpoint_position; /* of the newest complete one; 1: none */
	int64_t checkpoint_us; /* when it was read, or a later one begun */
};

/*
 * Whether to write a checkpoint: after max_records or max_age_us, and in time
 * before the log drops the records that follow the newest one.
 */
bool checkpoint_due(const struct checkpoint_policy *,
    const struct checkpoint_state *, int64_t now_us);

#endif
