#include "transport/platform_vms.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/buffer.h>
#include <jansson.h>

#include "transport/http_client.h"

struct platform_vms {
	struct http_client *http;
	int64_t timeout_us;
};

struct fetch_op {
	void (*done)(void *, const struct vm_list *);
	void *ctx;
};

static int
role_parse(const char *name)
{
	if (strcmp(name, "entry") == 0)
		return VM_ENTRY;
	if (strcmp(name, "engine") == 0)
		return VM_ENGINE;
	if (strcmp(name, "service") == 0)
		return VM_SERVICE;
	return -1;
}

static int
parse_vm(json_t *doc, struct vm_info *vm)
{
	const char *id, *zone, *address, *role, *state, *service = "";
	int role_id;

	if (json_unpack(doc, "{s:s,s:s,s:s,s:s,s:s,s?s}", "id", &id, "zone",
		&zone, "address", &address, "role", &role, "state", &state,
		"service", &service) == -1)
		return -1;
	role_id = role_parse(role);
	if (role_id == -1)
		return -1;
	memset(vm, 0, sizeof(*vm));
	strlcpy(vm->id, id, sizeof(vm->id));
	strlcpy(vm->zone, zone, sizeof(vm->zone));
	strlcpy(vm->address, address, sizeof(vm->address));
	strlcpy(vm->service, service, sizeof(vm->service));
	vm->role = (enum vm_role)role_id;
	vm->leaving = strcmp(state, "leaving") == 0;
	return 0;
}

static void
parse_list(struct fetch_op *op, const struct http_response *resp)
{
	size_t len = evbuffer_get_length(resp->body);
	json_t *doc =
	    json_loadb((char *)evbuffer_pullup(resp->body, -1), len, 0, NULL);
	json_t *array = json_object_get(doc, "vms");
	struct vm_list list = { .bytes = len };
	struct vm_info *vms;

	if (!json_is_array(array)) {
		json_decref(doc);
		op->done(op->ctx, NULL);
		return;
	}
	vms = calloc(json_array_size(array) + 1, sizeof(*vms));
	if (vms == NULL)
		abort();
	for (size_t i = 0; i < json_array_size(array); i++) {
		if (parse_vm(json_array_get(array, i), &vms[list.count]) == 0)
			list.count++;
	}
	list.vms = vms;
	op->done(op->ctx, &list);
	free(vms);
	json_decref(doc);
}

static void
on_fetched(void *arg, const struct http_response *resp)
{
	struct fetch_op *op = arg;

	if (resp->status == HTTP_CALL_OK && resp->code == 200)
		parse_list(op, resp);
	else
		op->done(op->ctx, NULL);
	free(op);
}

static void
vms_fetch(void *priv, void (*done)(void *, const struct vm_list *), void *ctx)
{
	struct platform_vms *vms = priv;
	struct fetch_op *op = calloc(1, sizeof(*op));
	struct http_call_options call = {
		.method = EVHTTP_REQ_GET,
		.path = "/vms",
		.timeout_us = vms->timeout_us,
		.on_done = on_fetched,
		.free_ctx = free,
		.ctx = op,
	};

	if (op == NULL)
		abort();
	op->done = done;
	op->ctx = ctx;
	http_client_call(vms->http, &call);
}

static void
vms_destroy(void *priv)
{
	struct platform_vms *vms = priv;

	if (vms == NULL)
		return;
	http_client_destroy(vms->http);
	free(vms);
}

static const struct vm_list_client_ops ops = {
	.fetch = vms_fetch,
	.destroy = vms_destroy,
};

int
platform_vms_create(
    struct vm_list_client *client, const struct platform_vms_options *opts)
{
	struct platform_vms *vms = calloc(1, sizeof(*vms));
	struct http_client_options http = {
		.base = opts->base,
		.address = opts->address,
		.max_idle = 1,
	};

	if (vms == NULL)
		return -1;
	vms->http = http_client_create(&http);
	if (vms->http == NULL) {
		free(vms);
		return -1;
	}
	vms->timeout_us = opts->timeout_us;
	client->ops = &ops;
	client->priv = vms;
	return 0;
}
