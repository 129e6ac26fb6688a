/*
 * log_follower -- reads one stream of the log service by long poll.
 *
 * The caller keeps the position and gets the records in batches.  After a
 * failed read it retries after a pause, without limit.
 */
#ifndef COORDINATION_LOG_FOLLOWER_H
#define COORDINATION_LOG_FOLLOWER_H

#include <stdbool.h>
#include <stdint.h>

struct clock;
struct event_base;
struct log_batch;
struct log_client;
struct log_follower;
struct logger;

struct log_follower_options {
	struct event_base *base;
	const struct clock *clock;
	struct logger *logger;
	const struct log_client *log;
	const char *stream;
	int64_t poll_us; /* longest wait of a read for new records */
	int64_t retry_us; /* pause after a read that failed or LOG_EXPIRED */
	/* Returns the next offset to read. */
	uint64_t (*position)(void *ctx);
	/*
	 * Runs for each batch that has records or the status LOG_EXPIRED.  A
	 * large batch arrives in parts, all with its first, next and end.
	 */
	void (*batch)(void *ctx, const struct log_batch *);
	void *ctx;
};

/* Starts to read.  Returns NULL if out of memory. */
struct log_follower *log_follower_create(const struct log_follower_options *);
void log_follower_destroy(struct log_follower *);

/* When the newest read that was answered was sent; 0: none yet. */
int64_t log_follower_last_contact(const struct log_follower *);

/* Oldest offset in the log as of the newest answer; 0: none yet. */
uint64_t log_follower_first_offset(const struct log_follower *);

/* Whether all records that the log held at the first answer were read. */
bool log_follower_caught_up(const struct log_follower *);

#endif
