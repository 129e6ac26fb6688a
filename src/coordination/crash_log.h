/*
 * crash_log -- shares with all entries, by a stream of the platform's log,
 * which jobs were lost with their backend servers.
 *
 * Every entry reads the stream from its oldest record on, so that one that
 * starts knows what the others do.  Records are rare.  One that cannot be
 * appended is left out: what it says is known at this entry, and the next loss
 * reports again.
 */
#ifndef COORDINATION_CRASH_LOG_H
#define COORDINATION_CRASH_LOG_H

struct crash_log;
struct daemon;
struct tm_crash_record;

struct crash_log_options {
	struct daemon *daemon;
	/* Runs for each record in the stream, own ones too. */
	void (*record)(void *ctx, const struct tm_crash_record *);
	void *ctx;
};

/* Starts to read.  Returns NULL if out of memory. */
struct crash_log *crash_log_create(const struct crash_log_options *);
void crash_log_destroy(struct crash_log *);

void crash_log_append(struct crash_log *, const struct tm_crash_record *);

#endif
