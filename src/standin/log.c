/*
 * Stand-in of the log service: append and read by offset, with retention.
 *
 *	POST /streams/NAME			appends the body as a record
 *	GET /streams/NAME?from=N&wait_ms=M	reads from offset N; waits up to
 *						M ms if there is no record yet
 *
 * Responses carry Log-Offset (of an append), or Log-First and Log-End; a read
 * below Log-First is answered with 410.  Faults besides those of all stand-ins:
 *
 *	late_ms		delay an append whose answer is lost (lose_answers)
 *	retain		records kept in each stream; 0: all
 *	outage		answer all requests with 503
 */
#include "standin/standin.h"

#include <argp.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <endian.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/event.h>

#define NAME_LEN 128
#define READ_BYTES_MAX (4 * 1024 * 1024) /* of a response, plus one record */
#define OFFSET_TEXT 32

struct stored_record {
	char *data;
	size_t len;
};

/* A read request that waits for the next record. */
struct reader {
	struct stream *stream;
	struct evhttp_request *req;
	uint64_t from;
	struct event *timer;
	TAILQ_ENTRY(reader) link;
};

struct stream {
	struct log_server *server;
	char name[NAME_LEN];
	struct stored_record *records; /* records[0] has offset `first` */
	uint64_t first;
	uint64_t end; /* offset of the next append */
	size_t capacity; /* of `records` */
	TAILQ_HEAD(, reader) readers;
	TAILQ_ENTRY(stream) link;
};

/* An append that takes effect after `late_ms`. */
struct late_append {
	struct stream *stream;
	char *data;
	size_t len;
	struct event *timer;
};

struct log_server {
	struct event_base *base;
	struct standin *standin;
	char *listen;
	int64_t late_ms;
	int64_t retain;
	bool outage;
	TAILQ_HEAD(, stream) streams;
};

static struct stream *
get_stream(struct log_server *server, const char *name)
{
	struct stream *st;

	TAILQ_FOREACH(st, &server->streams, link) {
		if (strcmp(st->name, name) == 0)
			return st;
	}
	st = calloc(1, sizeof(*st));
	if (st == NULL)
		abort();
	st->server = server;
	strlcpy(st->name, name, sizeof(st->name));
	st->first = 1;
	st->end = 1;
	TAILQ_INIT(&st->readers);
	TAILQ_INSERT_TAIL(&server->streams, st, link);
	return st;
}

static void
add_header(struct evhttp_request *req, const char *name, uint64_t value)
{
	char text[OFFSET_TEXT];

	snprintf(text, sizeof(text), "%" PRIu64, value);
	evhttp_add_header(evhttp_request_get_output_headers(req), name, text);
}

static void
reply_read(struct stream *st, struct evhttp_request *req, uint64_t from)
{
	struct evbuffer *out = evbuffer_new();
	int code = 200;

	add_header(req, "Log-First", st->first);
	add_header(req, "Log-End", st->end);
	if (from < st->first)
		code = 410;
	for (uint64_t at = from; code == 200 && at < st->end; at++) {
		const struct stored_record *e = &st->records[at - st->first];
		uint64_t offset = htobe64(at);
		uint32_t len = htonl((uint32_t)e->len);

		evbuffer_add(out, &offset, sizeof(offset));
		evbuffer_add(out, &len, sizeof(len));
		evbuffer_add(out, e->data, e->len);
		if (evbuffer_get_length(out) > READ_BYTES_MAX)
			break;
	}
	evhttp_send_reply(req, code, NULL, out);
	evbuffer_free(out);
}

static void
reader_free(struct reader *r)
{
	TAILQ_REMOVE(&r->stream->readers, r, link);
	event_free(r->timer);
	free(r);
}

static void
reader_reply(struct reader *r)
{
	struct evhttp_request *req = r->req;
	struct stream *st = r->stream;
	uint64_t from = r->from;

	reader_free(r);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), NULL, NULL);
	reply_read(st, req, from);
}

static void
on_reader_timeout(evutil_socket_t fd, short what, void *arg)
{
	reader_reply(arg);
}

static void
on_reader_disconnected(struct evhttp_connection *evcon, void *arg)
{
	reader_free(arg);
}

/* Drops the oldest records beyond `retain`. */
static void
drop_expired(struct stream *st)
{
	uint64_t keep = (uint64_t)st->server->retain;
	uint64_t drop;

	if (keep == 0 || st->end - st->first <= keep)
		return;
	drop = st->end - st->first - keep;
	for (uint64_t i = 0; i < drop; i++)
		free(st->records[i].data);
	memmove(st->records, st->records + drop,
	    (size_t)keep * sizeof(*st->records));
	st->first += drop;
}

static uint64_t
append_record(struct stream *st, const void *data, size_t len)
{
	size_t count = (size_t)(st->end - st->first);
	struct reader *r, *next;
	struct stored_record *e;

	if (count == st->capacity) {
		st->capacity = st->capacity == 0 ? 256 : 2 * st->capacity;
		st->records =
		    realloc(st->records, st->capacity * sizeof(*st->records));
		if (st->records == NULL)
			abort();
	}
	e = &st->records[count];
	e->data = malloc(len + 1);
	if (e->data == NULL)
		abort();
	memcpy(e->data, data, len);
	e->len = len;
	st->end++;
	drop_expired(st);
	TAILQ_FOREACH_SAFE(r, &st->readers, link, next)
		reader_reply(r);
	return st->end - 1;
}

static void
on_late_append(evutil_socket_t fd, short what, void *arg)
{
	struct late_append *late = arg;

	append_record(late->stream, late->data, late->len);
	event_free(late->timer);
	free(late->data);
	free(late);
}

static void
append_late(struct stream *st, const void *data, size_t len)
{
	struct late_append *late = calloc(1, sizeof(*late));
	int64_t ms = st->server->late_ms;
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };

	if (late == NULL)
		abort();
	late->stream = st;
	late->data = malloc(len + 1);
	if (late->data == NULL)
		abort();
	memcpy(late->data, data, len);
	late->len = len;
	late->timer = evtimer_new(st->server->base, on_late_append, late);
	evtimer_add(late->timer, &tv);
}

static void
handle_append(struct stream *st, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const void *data = evbuffer_pullup(in, -1);
	bool lost = standin_loses_answer(st->server->standin);

	if (lost && st->server->late_ms > 0) {
		append_late(st, data, len);
		standin_drop(req);
		return;
	}
	add_header(req, "Log-Offset", append_record(st, data, len));
	if (lost)
		standin_drop(req);
	else
		evhttp_send_reply(req, 200, NULL, NULL);
}

static void
handle_read(struct stream *st, struct evhttp_request *req)
{
	uint64_t from = (uint64_t)standin_query(req, "from", 1);
	int64_t wait_ms = standin_query(req, "wait_ms", 0);
	struct timeval tv = { wait_ms / 1000, wait_ms % 1000 * 1000 };
	struct reader *r;

	if (from < st->end || wait_ms == 0) {
		reply_read(st, req, from);
		return;
	}
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		abort();
	r->stream = st;
	r->req = req;
	r->from = from;
	r->timer = evtimer_new(st->server->base, on_reader_timeout, r);
	TAILQ_INSERT_TAIL(&st->readers, r, link);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_reader_disconnected, r);
	evtimer_add(r->timer, &tv);
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct log_server *server = ctx;
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const char *prefix = "/streams/";
	struct stream *st;

	if (server->outage) {
		evhttp_send_reply(req, 503, NULL, NULL);
		return;
	}
	if (strncmp(path, prefix, strlen(prefix)) != 0) {
		evhttp_send_reply(req, 404, NULL, NULL);
		return;
	}
	st = get_stream(server, path + strlen(prefix));
	if (evhttp_request_get_command(req) == EVHTTP_REQ_POST)
		handle_append(st, req);
	else
		handle_read(st, req);
}

/* Answers the waiting reads with 503. */
static void
start_outage(struct log_server *server)
{
	struct reader *r, *next;
	struct stream *st;

	TAILQ_FOREACH(st, &server->streams, link) {
		TAILQ_FOREACH_SAFE(r, &st->readers, link, next) {
			struct evhttp_request *req = r->req;

			reader_free(r);
			evhttp_connection_set_closecb(
			    evhttp_request_get_connection(req), NULL, NULL);
			evhttp_send_reply(req, 503, NULL, NULL);
		}
	}
}

static int
set_fault(void *ctx, const char *name, const json_t *value)
{
	struct log_server *server = ctx;
	struct stream *st;

	if (strcmp(name, "late_ms") == 0) {
		server->late_ms = json_integer_value(value);
	} else if (strcmp(name, "outage") == 0) {
		server->outage = json_is_true(value);
		if (server->outage)
			start_outage(server);
	} else if (strcmp(name, "retain") == 0) {
		server->retain = json_integer_value(value);
		TAILQ_FOREACH(st, &server->streams, link)
			drop_expired(st);
	} else {
		return -1;
	}
	return 0;
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "address", 0 },
	{ "retain", 'r', "N", 0, "records kept in each stream; 0: all", 0 },
	{ 0 },
};

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct log_server *server = state->input;

	switch (key) {
	case 'l':
		server->listen = arg;
		return 0;
	case 'r':
		server->retain = strtoll(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
standin_log_main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options, .parser = parse_opt, .doc = "A log service."
	};
	struct log_server server = { 0 };
	struct standin_options opts = {
		.handle = on_request,
		.set_fault = set_fault,
		.ctx = &server,
	};

	TAILQ_INIT(&server.streams);
	if (argp_parse(&argp, argc, argv, 0, NULL, &server) != 0 ||
	    server.listen == NULL)
		return 2;
	server.base = event_base_new();
	opts.base = server.base;
	opts.listen = server.listen;
	server.standin = standin_create(&opts);
	if (server.standin == NULL)
		return 1;
	event_base_dispatch(server.base);
	return 0;
}
