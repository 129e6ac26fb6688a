/*
 * Stand-in of a plain service whose calls have a side effect, a booking.
 *
 *	GET /journal	{"count", "runs": [{"request", "path", "body"}, ...]}
 *	any other	records a run, and answers {"booked": n} after work_ms
 *
 * The fault work_ms, besides those of all stand-ins, sets the time of a call.
 */
#include "standin/standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "transport/http_server.h"

struct service_server {
	struct event_base *base;
	struct standin *standin;
	char *listen;
	int64_t work_ms;
	json_t *journal; /* array of runs */
	int64_t count; /* of runs */
};

struct call {
	struct service_server *server;
	struct evhttp_request *req; /* NULL once the caller disconnected */
	int64_t number;
	struct event *timer;
};

static void
on_call_done(evutil_socket_t fd, short what, void *arg)
{
	struct call *c = arg;

	if (c->req != NULL) {
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(c->req), NULL, NULL);
		standin_reply(c->server->standin, c->req, 200,
		    json_pack("{s:I}", "booked", (json_int_t)c->number));
	}
	event_free(c->timer);
	free(c);
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
	evtimer_add(c->timer, &tv);
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct service_server *server = ctx;

	if (strcmp(evhttp_request_get_uri(req), "/journal") == 0)
		http_reply_json(req, 200,
		    json_pack("{s:I,s:O}", "count", (json_int_t)server->count,
			"runs", server->journal));
	else
		run_call(server, req);
}

static int
set_fault(void *ctx, const char *name, const json_t *value)
{
	struct service_server *server = ctx;

	if (strcmp(name, "work_ms") != 0)
		return -1;
	server->work_ms = json_integer_value(value);
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
