/*
 * event_stream -- finds complete events in a text/event-stream body.
 *
 * A proxy forwards complete events only.  If a replica fails in the middle of
 * the stream, another one can then resume it after the last event's id.
 */
#ifndef PROTOCOL_EVENT_STREAM_H
#define PROTOCOL_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct evbuffer;

struct stream_event {
	size_t len; /* bytes, with the blank line at its end */
	bool is_event; /* it has a field; else blank lines and comments only */
	bool has_id; /* it has a numeric id */
	uint64_t id; /* only if has_id */
};

/*
 * Finds the first event in buf, with the blank lines and comments before it;
 * without a complete event, the complete blank lines and comments that buf
 * begins with.  Returns false if there is neither.
 */
bool event_stream_next(struct evbuffer *buf, struct stream_event *);

/*
 * Whether a stream has been broken off inside an event.  buf holds its end,
 * from the beginning of any event on.  Comments belong to no event.
 */
bool event_stream_is_cut(struct evbuffer *buf);

#endif
