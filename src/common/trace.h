/*
 * trace -- a bounded memory of what happened to recent requests.
 *
 * The oldest events go first.  Nothing of a request's content is kept.
 */
#ifndef COMMON_TRACE_H
#define COMMON_TRACE_H

#include <stddef.h>
#include <stdint.h>

#define TRACE_ID_MAX 33 /* hex and the end */
#define TRACE_TEXT_MAX 96

struct clock;
struct trace;

struct trace_event {
	char id[TRACE_ID_MAX];
	char text[TRACE_TEXT_MAX];
	int64_t wall_us;
};

struct trace *trace_create(const struct clock *, size_t max_events);
void trace_destroy(struct trace *);

void trace_record(struct trace *, const char *id, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Iterates over the events of one request, oldest first; NULL to start. */
const struct trace_event *trace_next(
    const struct trace *, const char *id, const struct trace_event *);

#endif
