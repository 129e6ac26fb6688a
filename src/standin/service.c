/*
 * Stand-in of a plain service whose calls have a side effect, a booking.
 *
 *	GET /journal	{"count", "crashes", "runs":
 *			[{"request", "path", "body"}, ...]}
 *	any other	records a run, and answers {"booked": n} after work_ms
 *
 * Faults besides those of all stand-ins:
 *
 *	work_ms		time of a call
 *	fail_code	status of the answers, which are failures then; 0: none
 *	crash_path	crash when a call with this text in its path is run:
 *close the connections of all calls, and accept none for crash_ms
 */
#include "standin/standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/event.h>

#include "common/clock.h"
#include "transport/http_server.h"

struct service_server {
	struct event_base *base;
	struct standin *standin;
	char *listen;
	int64_t work_ms;
	int64_t fail_code; /* 0: none */
	json_t *journal; /* array of runs */
	int64_t count; /* of runs */
	int64_t crashes;
	char crash_path[64]; /* "": none */
	int64_t crash_ms;
	bool crashed; /* answers nothing but its journal */
	struct event *restart_timer;
	TAILQ_HEAD(, call) calls;
};

struct call {
	struct service_server *server;
	struct evhttp_request *req; /* NULL once the caller disconnected */
	int64_t number;
	struct event *timer;
	TAILQ_ENTRY(call) link;
};

/* Returns its request, NULL if the caller has disconnected. */
static struct evhttp_request *
end_call(struct call *c)
{
	struct evhttp_request *req = c->req;

	if (req != NULL)
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(req), NULL, NULL);
	TAILQ_REMOVE(&c->server->calls, c, link);
	event_free(c->timer);
	free(c);
	return req;
}

static void
on_call_done(evutil_socket_t fd, short what, void *arg)
{
	struct call *c = arg;
	struct standin *standin = c->server->standin;
	json_int_t number = c->number;
	int64_t fail_code = c->server->fail_code;
	struct evhttp_request *req = end_call(c);

	if (req != NULL && fail_code != 0)
		standin_reply(standin, req, (int)fail_code,
		    json_pack("{s:s}", "error", "failed"));
	else if (req != NULL)
		standin_reply(
		    standin, req, 200, json_pack("{s:I}", "booked", number));
}

static void
on_restart(evutil_socket_t fd, short what, void *arg)
{
	struct service_server *server = arg;

	server->crashed = false;
}

static void
crash(struct service_server *server)
{
	struct timeval tv = clock_timeval(server->crash_ms * USEC_PER_MSEC);

	server->crashed = true;
	server->crashes++;
	while (!TAILQ_EMPTY(&server->calls)) {
		struct evhttp_request *req =
		    end_call(TAILQ_FIRST(&server->calls));

		if (req != NULL)
			standin_drop(req);
	}
	if (server->restart_timer == NULL)
		server->restart_timer =
		    evtimer_new(server->base, on_restart, server);
	evtimer_add(server->restart_timer, &tv);
}

static void
on_caller_disconnected(struct evhttp_connection *evcon, void *arg)
{
	struct call *c = arg;

	c->req = NULL;
}

static void
run_call(struct service_server *server, struct evhttp_request *req)
{
	struct call *c = calloc(1, sizeof(*c));
	struct timeval tv = { server->work_ms / 1000,
		server->work_ms % 1000 * 1000 };
	const char *id = http_request_header(req, "Request-Id");
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);

	if (c == NULL)
		abort();
	c->server = server;
	c->req = req;
	c->number = ++server->count;
	json_array_append_new(server->journal,
	    json_pack("{s:s,s:s,s:s%}", "request", id ? id : "", "path",
		evhttp_request_get_uri(req), "body",
		(char *)evbuffer_pullup(in, -1)
		    ? (char *)evbuffer_pullup(in, -1)
		    : "",
		len));
	c->timer = evtimer_new(server->base, on_call_done, c);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_caller_disconnected, c);
	TAILQ_INSERT_TAIL(&server->calls, c, link);
	evtimer_add(c->timer, &tv);
	if (server->crash_path[0] != '\0' &&
	    strstr(evhttp_request_get_uri(req), server->crash_path) != NULL)
		crash(server);
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct service_server *server = ctx;

	if (strcmp(evhttp_request_get_uri(req), "/journal") == 0)
		http_reply_json(req, 200,
		    json_pack("{s:I,s:I,s:O}", "count",
			(json_int_t)server->count, "crashes",
			(json_int_t)server->crashes, "runs", server->journal));
	else if (server->crashed)
		standin_drop(req);
	else
		run_call(server, req);
}

static int
set_fault(void *ctx, const char *name, const json_t *value)
{
	struct service_server *server = ctx;

	if (strcmp(name, "work_ms") == 0)
		server->work_ms = json_integer_value(value);
	else if (strcmp(name, "fail_code") == 0)
		server->fail_code = json_integer_value(value);
	else if (strcmp(name, "crash_path") == 0)
		strlcpy(server->crash_path, json_string_value(value),
		    sizeof(server->crash_path));
	else if (strcmp(name, "crash_ms") == 0)
		server->crash_ms = json_integer_value(value);
	else
		return -1;
	return 0;
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "address", 0 },
	{ "work-ms", 'w', "MS", 0, "time of one call", 0 },
	{ 0 },
};

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct service_server *server = state->input;

	switch (key) {
	case 'l':
		server->listen = arg;
		return 0;
	case 'w':
		server->work_ms = strtoll(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
standin_service_main(int argc, char **argv)
{
	static const struct argp argp = { .options = options,
		.parser = parse_opt,
		.doc = "A plain service." };
	struct service_server server = { .work_ms = 5 };
	struct standin_options opts = {
		.handle = on_request,
		.set_fault = set_fault,
		.ctx = &server,
	};

	TAILQ_INIT(&server.calls);
	if (argp_parse(&argp, argc, argv, 0, NULL, &server) != 0 ||
	    server.listen == NULL)
		return 2;
	server.base = event_base_new();
	server.journal = json_array();
	opts.base = server.base;
	opts.listen = server.listen;
	server.standin = standin_create(&opts);
	if (server.standin == NULL)
		return 1;
	event_base_dispatch(server.base);
	return 0;
}
