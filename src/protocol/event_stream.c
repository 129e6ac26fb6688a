#include "protocol/event_stream.h"

#include <string.h>

#include <event2/buffer.h>

#include "common/number.h"

/* len: with the LF, or CR LF, at its end. */
static bool
is_blank(const char *line, size_t len)
{
	return len == 1 || (len == 2 && line[0] == '\r');
}

/* len: with the end of the line.  An id that is no number counts as none. */
static void
parse_id(const char *line, size_t len, struct stream_event *ev)
{
	static const char name[] = "id:";
	size_t at = strlen(name), digits;

	if (len <= at || memcmp(line, name, at) != 0)
		return;
	at += line[at] == ' ';
	digits = number_read(line + at, len - at, UINT64_MAX, &ev->id);
	at += digits;
	ev->has_id = digits > 0 && (line[at] == '\r' || line[at] == '\n');
}

bool
event_stream_is_cut(struct evbuffer *buf)
{
	size_t len = evbuffer_get_length(buf);
	const char *at = (const char *)evbuffer_pullup(buf, -1), *end;
	bool inside = false;

	if (len == 0)
		return false;
	end = at + len;
	while (at < end) {
		const char *nl = memchr(at, '\n', (size_t)(end - at));

		if (nl == NULL)
			return true;
		if (is_blank(at, (size_t)(nl + 1 - at)))
			inside = false;
		else if (*at != ':')
			inside = true;
		at = nl + 1;
	}
	return inside;
}

bool
event_stream_next(struct evbuffer *buf, struct stream_event *ev)
{
	size_t len = evbuffer_get_length(buf), filler = 0;
	const char *data, *at, *nl;

	memset(ev, 0, sizeof(*ev));
	if (len == 0)
		return false;
	data = (const char *)evbuffer_pullup(buf, -1);
	for (at = data; at < data + len; at = nl + 1) {
		size_t line;
		bool blank;

		nl = memchr(at, '\n', (size_t)(data + len - at));
		if (nl == NULL)
			break;
		line = (size_t)(nl + 1 - at);
		blank = is_blank(at, line);
		if (blank && ev->is_event) {
			ev->len = (size_t)(nl + 1 - data);
			return true;
		}
		if (!blank && *at != ':') {
			ev->is_event = true;
			parse_id(at, line, ev);
		}
		if (!ev->is_event)
			filler = (size_t)(nl + 1 - data);
	}
	memset(ev, 0, sizeof(*ev));
	ev->len = filler;
	return filler > 0;
}
