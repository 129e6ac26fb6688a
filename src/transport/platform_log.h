/*
 * platform_log -- client of the platform's append-only log service.
 *
 * A stream is a sequence of records with increasing offsets; offset 0 is never
 * used.  Records expire, the oldest first.  struct log_client is the interface;
 * platform_log_create() implements it over HTTP.
 */
#ifndef TRANSPORT_PLATFORM_LOG_H
#define TRANSPORT_PLATFORM_LOG_H

#include <stddef.h>
#include <stdint.h>

struct event_base;

enum log_status {
	LOG_OK,
	LOG_REFUSED, /* not appended, and will not be */
	LOG_LOST, /* no answer: it may still be appended, even much later */
	LOG_EXPIRED, /* read: records before `first` have expired */
};

struct log_record {
	uint64_t offset;
	const void *data;
	size_t len; /* bytes */
};

/* Result of a read; valid during the callback. */
struct log_batch {
	enum log_status status;
	uint64_t first; /* oldest offset that has not expired */
	uint64_t next; /* offset after the last record read */
	uint64_t end; /* offset that the next append will get */
	const struct log_record *records;
	size_t count;
};

struct log_client_ops {
	/* Appends a record; done() gets its offset if LOG_OK. */
	void (*append)(void *priv, const char *stream, const void *data,
	    size_t len,
	    void (*done)(void *ctx, enum log_status, uint64_t offset),
	    void *ctx);
	/* Reads from offset `from` on; waits up to wait_us for a record. */
	void (*read)(void *priv, const char *stream, uint64_t from,
	    int64_t wait_us, void (*done)(void *ctx, const struct log_batch *),
	    void *ctx);
	/* Cancels pending operations; their done() isn't called. */
	void (*destroy)(void *priv);
};

struct log_client {
	const struct log_client_ops *ops;
	void *priv;
};

struct platform_log_options {
	struct event_base *base;
	const char *address; /* IP:PORT */
	int64_t timeout_us; /* of an append */
};

/* Returns 0, or -1 if the address is malformed or if out of memory. */
int platform_log_create(
    struct log_client *, const struct platform_log_options *);

#endif
