/*
 * trace -- ring buffer of events in the processing of recent requests.
 *
 * When it is full, a new event overwrites the oldest.  Events must not contain
 * any of a request's content.
 */
#ifndef COMMON_TRACE_H
#define COMMON_TRACE_H

#include <stddef.h>
#include <stdint.h>

#define TRACE_ID_MAX 33 /* bytes: 32 hex digits and the NUL */
#define TRACE_TEXT_MAX 96 /* bytes, with the NUL; longer text is truncated */

struct clock;
struct trace;

struct trace_event {
	char id[TRACE_ID_MAX]; /* of the request */
	char text[TRACE_TEXT_MAX];
	int64_t wall_us; /* since the Unix epoch */
};

/* max_events > 0.  Returns NULL if out of memory. */
struct trace *trace_create(const struct clock *, size_t max_events);
void trace_destroy(struct trace *);

/* Records an event of the request `id`, at the current time. */
void trace_record(struct trace *, const char *id, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/*
 * Returns the event of the request that follows `after`, or the oldest one if
 * `after` is NULL; NULL at the end.  The ring must not change in between.
 */
const struct trace_event *trace_next(
    const struct trace *, const char *id, const struct trace_event *after);

#endif
