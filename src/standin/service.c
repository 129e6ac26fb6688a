/*
 * A plain service that books: POST runs once a call and is journalled.
 *
 *	GET /journal	every run: [{"request": id, "path": ...}]
 *	other		answers {"booked": n} after work_ms
 */
#include "standin/standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "transport/http_server.h"

struct service_role {
	struct event_base *base;
	struct standin *standin;
	char *listen;
	int64_t work_ms;
	json_t *journal;
	int64_t count;
};

struct work {
	struct service_role *role;
	struct evhttp_request *req; /* NULL once its caller is gone */
	int64_t number;
	struct event *timer;
};

static void
on_worked(evutil_socket_t fd, short what, void *arg)
{
	struct work *w = arg;

	if (w->req != NULL) {
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(w->req), NULL, NULL);
		standin_reply(w->role->standin, w->req, 200,
		    json_pack("{s:I}", "booked", (json_int_t)w->number));
	}
	event_free(w->timer);
	free(w);
}

static void
on_closed(struct evhttp_connection *evcon, void *arg)
{
	struct work *w = arg;

	w->req = NULL;
}

static void
run(struct service_role *role, struct evhttp_request *req)
{
	struct work *w = calloc(1, sizeof(*w));
	struct timeval tv = { role->work_ms / 1000,
		role->work_ms % 1000 * 1000 };
	const char *id = http_request_header(req, "Request-Id");
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);

	if (w == NULL)
		abort();
	w->role = role;
	w->req = req;
	w->number = ++role->count;
	json_array_append_new(
	    role->journal, json_pack("{s:s,s:s,s:s%}", "request", id ? id : "",
			       "path", evhttp_request_get_uri(req), "body",
			       (char *)evbuffer_pullup(in, -1)
				   ? (char *)evbuffer_pullup(in, -1)
				   : "",
			       len));
	w->timer = evtimer_new(role->base, on_worked, w);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_closed, w);
	evtimer_add(w->timer, &tv);
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct service_role *role = ctx;

	if (strcmp(evhttp_request_get_uri(req), "/journal") == 0)
		http_reply_json(req, 200,
		    json_pack("{s:I,s:O}", "count", (json_int_t)role->count,
			"runs", role->journal));
	else
		run(role, req);
}

static int
set_fault(void *ctx, const char *name, const json_t *value)
{
	struct service_role *role = ctx;

	if (strcmp(name, "work_ms") != 0)
		return -1;
	role->work_ms = json_integer_value(value);
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
	struct service_role *role = state->input;

	switch (key) {
	case 'l':
		role->listen = arg;
		return 0;
	case 'w':
		role->work_ms = strtoll(arg, NULL, 10);
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
	struct service_role role = { .work_ms = 5 };
	struct standin_options opts = {
		.handle = on_request,
		.set_fault = set_fault,
		.ctx = &role,
	};

	if (argp_parse(&argp, argc, argv, 0, NULL, &role) != 0 ||
	    role.listen == NULL)
		return 2;
	role.base = event_base_new();
	role.journal = json_array();
	opts.base = role.base;
	opts.listen = role.listen;
	role.standin = standin_create(&opts);
	if (role.standin == NULL)
		return 1;
	event_base_dispatch(role.base);
	return 0;
}
