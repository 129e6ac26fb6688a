/*
 * checkpoint -- built state kept in a stream as a run of chunk records.
 *
 * A chunk names its checkpoint, its place in it and the digest of the whole, so
 * that chunks of several writers may interleave, repeat or be missing.
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

/* A whole checkpoint; data is NULL where the reader keeps none. */
struct checkpoint {
	uint64_t position;
	const void *data;
	size_t len;
};

struct checkpoint_reader *checkpoint_reader_create(void);
void checkpoint_reader_destroy(struct checkpoint_reader *);

/*
 * Forgets all chunks, and says whether data is wanted of those to come.  A
 * reader that only follows the stream needs to know which checkpoints are
 * whole, but not what they hold.
 */
void checkpoint_reader_reset(struct checkpoint_reader *, bool keep_data);

/*
 * Takes in one chunk.  Returns true and fills out when it completes a
 * checkpoint; out->data lives until the next call.
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

/* Appends the state, which it then owns, chunk by chunk.  Must not be busy. */
void checkpoint_writer_start(
    struct checkpoint_writer *, uint64_t position, void *data, size_t len);

/* ---- when ---- */

struct checkpoint_policy {
	uint64_t max_records; /* records after the newest checkpoint */
	int64_t max_age_us;
};

struct checkpoint_state {
	uint64_t first; /* oldest record that the log keeps */
	uint64_t end; /* next record that it will take */
	uint64_t checkpoint_position; /* position of the newest whole
					 checkpoint, or 1 */
	int64_t checkpoint_us; /* when that one was read */
};

/* Whether a checkpoint is due, so that the newest one never expires. */
bool checkpoint_due(const struct checkpoint_policy *,
    const struct checkpoint_state *, int64_t now_us);

#endif
