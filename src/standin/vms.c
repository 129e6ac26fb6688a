/*
 * Stand-in of the platform's list of VMs, which lags behind by lag_ms.
 *
 *	GET /vms	the list, as it was lag_ms ago
 *	PUT /vms	replaces the list: {"vms": [...]}
 *	POST /vms	updates or adds a VM: {"id": ..., "state": ...}; removes
 *			it if the state is "gone"
 *
 * The fault lag_ms, besides those of all stand-ins, sets the lag.
 */
#include "standin/standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

struct vms_server {
	struct event_base *base;
	struct standin *standin;
	char *listen;
	char *file;
	int64_t lag_ms;
	json_t *vms; /* current list */
	json_t *published; /* list that GET returns */
};

/* A change of the list that GET returns after lag_ms. */
struct publication {
	struct vms_server *server;
	json_t *vms;
	struct event *timer;
};

static void
on_publication_due(evutil_socket_t fd, short what, void *arg)
{
	struct publication *p = arg;

	json_decref(p->server->published);
	p->server->published = p->vms;
	event_free(p->timer);
	free(p);
}

static void
publish(struct vms_server *server)
{
	struct publication *p = calloc(1, sizeof(*p));
	struct timeval tv = { server->lag_ms / 1000,
		server->lag_ms % 1000 * 1000 };

	if (p == NULL)
		abort();
	p->server = server;
	p->vms = json_deep_copy(server->vms);
	p->timer = evtimer_new(server->base, on_publication_due, p);
	evtimer_add(p->timer, &tv);
}

static void
update_vm(struct vms_server *server, json_t *doc)
{
	const char *id = json_string_value(json_object_get(doc, "id"));
	const char *state = json_string_value(json_object_get(doc, "state"));
	json_t *vm;
	size_t i;

	json_array_foreach(server->vms, i, vm)
	{
		const char *other =
		    json_string_value(json_object_get(vm, "id"));

		if (id == NULL || other == NULL || strcmp(id, other) != 0)
			continue;
		if (state != NULL && strcmp(state, "gone") == 0)
			json_array_remove(server->vms, i);
		else
			json_object_update(vm, doc);
		return;
	}
	json_array_append(server->vms, doc);
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct vms_server *server = ctx;
	enum evhttp_cmd_type method = evhttp_request_get_command(req);
	json_t *doc;

	if (method == EVHTTP_REQ_GET) {
		standin_reply(server->standin, req, 200,
		    json_pack("{s:O}", "vms", server->published));
		return;
	}
	doc = standin_body(req);
	if (method == EVHTTP_REQ_PUT &&
	    json_is_array(json_object_get(doc, "vms"))) {
		json_decref(server->vms);
		server->vms = json_incref(json_object_get(doc, "vms"));
	} else if (method == EVHTTP_REQ_POST && json_is_object(doc)) {
		update_vm(server, doc);
	}
	publish(server);
	json_decref(doc);
	standin_reply(server->standin, req, 200, json_object());
}

static int
set_fault(void *ctx, const char *name, const json_t *value)
{
	struct vms_server *server = ctx;

	if (strcmp(name, "lag_ms") != 0)
		return -1;
	server->lag_ms = json_integer_value(value);
	return 0;
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "address", 0 },
	{ "file", 'f', "FILE", 0, "initial list: {\"vms\": [...]}", 0 },
	{ "lag-ms", 'g', "MS", 0, "lag of the list", 0 },
	{ 0 },
};

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct vms_server *server = state->input;

	switch (key) {
	case 'l':
		server->listen = arg;
		return 0;
	case 'f':
		server->file = arg;
		return 0;
	case 'g':
		server->lag_ms = strtoll(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static json_t *
initial_list(const char *file)
{
	json_t *doc = file == NULL ? NULL : json_load_file(file, 0, NULL);
	json_t *vms = json_incref(json_object_get(doc, "vms"));

	json_decref(doc);
	return vms == NULL ? json_array() : vms;
}

int
standin_vms_main(int argc, char **argv)
{
	static const struct argp argp = { .options = options,
		.parser = parse_opt,
		.doc = "A lagging list of VMs." };
	struct vms_server server = { 0 };
	struct standin_options opts = {
		.handle = on_request,
		.test_path = "/vms",
		.set_fault = set_fault,
		.ctx = &server,
	};

	if (argp_parse(&argp, argc, argv, 0, NULL, &server) != 0 ||
	    server.listen == NULL)
		return 2;
	server.base = event_base_new();
	server.vms = initial_list(server.file);
	server.published = json_deep_copy(server.vms);
	opts.base = server.base;
	opts.listen = server.listen;
	server.standin = standin_create(&opts);
	if (server.standin == NULL)
		return 1;
	event_base_dispatch(server.base);
	return 0;
}
