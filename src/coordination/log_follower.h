/*
 * log_follower -- reads one stream of the log service as it grows.
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
	int64_t poll_us; /* longest wait of one read */
	int64_t retry_us; /* pause after a failed read */
	/* The next offset to read. */
	uint64_t (*position)(void *ctx);
	/* Runs for each batch with records or with status LOG_EXPIRED. */
	void (*batch)(void *ctx, const struct log_batch *);
	void *ctx;
};

struct log_follower *log_follower_create(const struct log_follower_options *);
void log_follower_destroy(struct log_follower *);

/* When the newest read that was answered left; 0 if there was none. */
int64_t log_follower_last_contact(const struct log_follower *);

/* The oldest record that the log kept at the newest answer; 0 if none came. */
uint64_t log_follower_first_offset(const struct log_follower *);

/* Whether everything that the log held at the first answer has been read. */
bool log_follower_caught_up(const struct log_follower *);

#endif
