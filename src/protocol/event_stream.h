/*
 * event_stream -- finds whole events in a text/event-stream body.
 *
 * A relay passes whole events on: what it sent before a replica broke off can
 * then be continued by another one from the last event's id.
 */
#ifndef PROTOCOL_EVENT_STREAM_H
#define PROTOCOL_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct evbuffer;

struct stream_event {
	size_t len; /* bytes, with the blank line that ends it */
	bool has_id;
	uint64_t id;
};

/* Finds the first event in buf; false if it is not whole yet. */
bool event_stream_next(struct evbuffer *buf, struct stream_event *);

#endif
