#include "standin/standin.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include "common/addr.h"
#include "transport/http_server.h"
#include "transport/tls.h"

#define MAX_BODY (64 * 1024 * 1024)
#define RAW_BLOCK 16384 /* bytes of raw_endless written at once */
#define RAW_BLOCKS 8 /* before other requests get their turn */

/* A request that is held by `delay_ms` or `freeze`. */
struct held_request {
	struct standin *standin;
	struct evhttp_request *req; /* NULL once the caller disconnected */
	struct event *timer; /* NULL: held by `freeze` */
	TAILQ_ENTRY(held_request) link;
};

/* An answer by `raw` that goes on. */
struct raw_answer {
	struct evhttp_request *req;
	struct evbuffer *unsent;
	struct event *timer;
	char text[64];
};

struct standin {
	struct standin_options opts;
	struct evhttp *evhttp;
	struct standin_faults faults;
	TAILQ_HEAD(, held_request) frozen;
};

int64_t
standin_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

void
standin_drop(struct evhttp_request *req)
{
	evhttp_connection_free(evhttp_request_get_connection(req));
}

bool
standin_loses_answer(struct standin *s)
{
	if (s->faults.lose_answers == 0)
		return false;
	if (s->faults.lose_answers > 0)
		s->faults.lose_answers--;
	return true;
}

void
standin_reply(
    struct standin *s, struct evhttp_request *req, int code, json_t *doc)
{
	if (standin_loses_answer(s)) {
		json_decref(doc);
		standin_drop(req);
		return;
	}
	http_reply_json(req, code, doc);
}

json_t *
standin_body(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);

	return json_loadb((char *)evbuffer_pullup(in, -1), len, 0, NULL);
}

int64_t
standin_query(struct evhttp_request *req, const char *name, int64_t def)
{
	struct evkeyvalq params;
	const char *query =
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	const char *value;
	int64_t n = def;

	if (query == NULL || evhttp_parse_query_str(query, &params) == -1)
		return def;
	value = evhttp_find_header(&params, name);
	if (value != NULL)
		n = strtoll(value, NULL, 10);
	evhttp_clear_headers(&params);
	return n;
}

/* ---- faults ---- */

static void
on_held_disconnected(struct evhttp_connection *evcon, void *arg)
{
	struct held_request *held = arg;

	held->req = NULL;
}

static void
release_request(struct held_request *held)
{
	struct standin *s = held->standin;
	struct evhttp_request *req = held->req;

	if (held->timer != NULL)
		event_free(held->timer);
	free(held);
	if (req == NULL)
		return;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), NULL, NULL);
	s->opts.handle(s->opts.ctx, req);
}

static void
on_delay_over(evutil_socket_t fd, short what, void *arg)
{
	release_request(arg);
}

static struct held_request *
hold_request(struct standin *s, struct evhttp_request *req)
{
	struct held_request *held = calloc(1, sizeof(*held));

	if (held == NULL)
		abort();
	held->standin = s;
	held->req = req;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_held_disconnected, held);
	return held;
}

static void
release_frozen(struct standin *s)
{
	struct held_request *held;

	while (!s->faults.freeze && (held = TAILQ_FIRST(&s->frozen)) != NULL) {
		TAILQ_REMOVE(&s->frozen, held, link);
		release_request(held);
	}
}

static void
raw_answer_free(struct raw_answer *a)
{
	event_free(a->timer);
	evbuffer_free(a->unsent);
	free(a);
}

static void
on_raw_closed(struct evhttp_connection *evcon, void *arg)
{
	raw_answer_free(arg);
}

static void
end_raw(struct raw_answer *a)
{
	struct evhttp_request *req = a->req;

	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), NULL, NULL);
	raw_answer_free(a);
	standin_drop(req);
}

static void
on_raw_timer(evutil_socket_t fd, short what, void *arg)
{
	struct raw_answer *a = arg;
	struct timeval tv = { 0, 1000 };
	int out = bufferevent_getfd(evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(a->req)));

	for (int i = 0; i < RAW_BLOCKS; i++) {
		while (a->text[0] != '\0' &&
		       evbuffer_get_length(a->unsent) < RAW_BLOCK)
			evbuffer_add(a->unsent, a->text, strlen(a->text));
		if (evbuffer_get_length(a->unsent) == 0 ||
		    evbuffer_write(a->unsent, out) != -1)
			continue;
		if (errno != EAGAIN) {
			end_raw(a);
			return;
		}
		break;
	}
	evtimer_add(a->timer, &tv);
}

static void
answer_raw(struct standin *s, struct evhttp_request *req)
{
	struct raw_answer *a = calloc(1, sizeof(*a));

	if (a == NULL)
		abort();
	a->req = req;
	a->unsent = evbuffer_new();
	a->timer = evtimer_new(s->opts.base, on_raw_timer, a);
	strlcpy(a->text, s->faults.raw_endless, sizeof(a->text));
	evbuffer_add(a->unsent, s->faults.raw, strlen(s->faults.raw));
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_raw_closed, a);
	on_raw_timer(-1, 0, a);
}

static int
set_common_fault(struct standin *s, const char *name, const json_t *value)
{
	if (strcmp(name, "delay_ms") == 0)
		s->faults.delay_ms = json_integer_value(value);
	else if (strcmp(name, "down") == 0)
		s->faults.down = json_is_true(value);
	else if (strcmp(name, "lose_answers") == 0)
		s->faults.lose_answers = json_integer_value(value);
	else if (strcmp(name, "freeze") == 0)
		s->faults.freeze = json_is_true(value);
	else if (strcmp(name, "raw") == 0)
		strlcpy(s->faults.raw, json_string_value(value),
		    sizeof(s->faults.raw));
	else if (strcmp(name, "raw_endless") == 0)
		strlcpy(s->faults.raw_endless, json_string_value(value),
		    sizeof(s->faults.raw_endless));
	else
		return -1;
	return 0;
}

static void
handle_faults(struct standin *s, struct evhttp_request *req)
{
	json_t *doc = standin_body(req);
	const char *name;
	json_t *value;
	int code = 200;

	json_object_foreach(doc, name, value)
	{
		if (set_common_fault(s, name, value) == 0)
			continue;
		if (s->opts.set_fault == NULL ||
		    s->opts.set_fault(s->opts.ctx, name, value) == -1)
			code = 400;
	}
	json_decref(doc);
	http_reply_json(req, code,
	    json_pack("{s:I,s:b,s:I,s:b}", "delay_ms",
		(json_int_t)s->faults.delay_ms, "down", s->faults.down,
		"lose_answers", (json_int_t)s->faults.lose_answers, "freeze",
		s->faults.freeze));
	release_frozen(s);
}

static bool
is_of_test(const struct standin *s, struct evhttp_request *req)
{
	return s->opts.test_path != NULL &&
	       evhttp_request_get_command(req) == EVHTTP_REQ_POST &&
	       strcmp(evhttp_request_get_uri(req), s->opts.test_path) == 0;
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct standin *s = arg;
	struct held_request *held;
	struct timeval tv;

	/* Small chunks of a stream must be sent without Nagle's delay. */
	tls_set_nodelay(bufferevent_getfd(evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req))));
	if (strcmp(evhttp_request_get_uri(req), "/faults") == 0) {
		handle_faults(s, req);
		return;
	}
	if (is_of_test(s, req)) {
		s->opts.handle(s->opts.ctx, req);
		return;
	}
	if (s->faults.down) {
		standin_drop(req);
		return;
	}
	if (s->faults.raw[0] != '\0' &&
	    strcmp(evhttp_request_get_uri(req), "/journal") != 0) {
		answer_raw(s, req);
		return;
	}
	if (s->faults.freeze) {
		held = hold_request(s, req);
		TAILQ_INSERT_TAIL(&s->frozen, held, link);
		return;
	}
	if (s->faults.delay_ms > 0) {
		held = hold_request(s, req);
		held->timer = evtimer_new(s->opts.base, on_delay_over, held);
		tv.tv_sec = s->faults.delay_ms / 1000;
		tv.tv_usec = s->faults.delay_ms % 1000 * 1000;
		evtimer_add(held->timer, &tv);
		return;
	}
	s->opts.handle(s->opts.ctx, req);
}

struct standin *
standin_create(const struct standin_options *opts)
{
	struct standin *s = calloc(1, sizeof(*s));
	struct addr addr;

	if (s == NULL)
		return NULL;
	s->opts = *opts;
	TAILQ_INIT(&s->frozen);
	s->evhttp = evhttp_new(opts->base);
	evhttp_set_allowed_methods(
	    s->evhttp, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
			   EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
	evhttp_set_gencb(s->evhttp, on_request, s);
	evhttp_set_max_body_size(s->evhttp, MAX_BODY);
	if (addr_parse(&addr, opts->listen) == -1 ||
	    evhttp_bind_socket(s->evhttp, addr.host, addr.port) == -1) {
		fprintf(stderr, "cannot listen on %s\n", opts->listen);
		evhttp_free(s->evhttp);
		free(s);
		return NULL;
	}
	return s;
}
