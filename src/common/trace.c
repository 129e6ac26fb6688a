#include "common/trace.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/clock.h"

struct trace {
	const struct clock *clock;
	struct trace_event *events; /* ring of `size` */
	size_t size;
	size_t next; /* index of the next event to write */
	size_t count; /* events in the ring */
};

struct trace *
trace_create(const struct clock *clock, size_t max_events)
{
	struct trace *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->clock = clock;
	t->size = max_events;
	t->events = calloc(max_events, sizeof(*t->events));
	if (t->events == NULL) {
		free(t);
		return NULL;
	}
	return t;
}

void
trace_destroy(struct trace *t)
{
	if (t == NULL)
		return;
	free(t->events);
	free(t);
}

void
trace_record(struct trace *t, const char *id, const char *format, ...)
{
	struct trace_event *event = &t->events[t->next];
	va_list args;

	t->next = (t->next + 1) % t->size;
	if (t->count < t->size)
		t->count++;
	strlcpy(event->id, id, sizeof(event->id));
	event->wall_us = clock_wall(t->clock);
	va_start(args, format);
	(void)vsnprintf(event->text, sizeof(event->text), format, args);
	va_end(args);
}

const struct trace_event *
trace_next(
    const struct trace *t, const char *id, const struct trace_event *after)
{
	size_t first = (t->next + t->size - t->count) % t->size;
	size_t i = 0;

	if (after != NULL)
		i = ((size_t)(after - t->events) + t->size - first) % t->size +
		    1;
	for (; i < t->count; i++) {
		const struct trace_event *e = &t->events[(first + i) % t->size];

		if (strcmp(e->id, id) == 0)
			return e;
	}
	return NULL;
}
