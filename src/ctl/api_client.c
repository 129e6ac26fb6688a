#include "ctl/api_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>

#include "transport/http_client.h"

#define CALL_TIMEOUT_US 30000000
#define ENTRIES_MAX 16
#define RETRY_INTERVAL_S 1 /* after each round over all entries */
#define RETRY_ROUNDS 30

struct api_client {
	struct event_base *base;
	struct http_client *entries[ENTRIES_MAX];
	size_t count;
	size_t current; /* entry to call */
	unsigned failures; /* of streams in a row, none of which sent a line */
	char *bearer; /* value of the Authorization header */
	struct http_header headers[2];
};

/* A call that runs in the event loop; its callbacks get it as context. */
struct pending_call {
	struct api_client *client;
	struct api_response *response;
	enum http_call_status status;
	void (*on_line)(void *, const char *, size_t);
	void *ctx;
	bool received_lines;
};

struct api_client *
api_client_create(const struct api_client_options *options)
{
	struct api_client *client = calloc(1, sizeof(*client));
	char *copy = strdup(options->addresses), *rest = copy, *address;
	bool valid = true;

	if (client == NULL || copy == NULL)
		abort();
	client->base = event_base_new();
	if (options->token != NULL &&
	    asprintf(&client->bearer, "Bearer %s", options->token) == -1)
		abort();
	client->headers[0].name = options->token ? "Authorization" : NULL;
	client->headers[0].value = client->bearer;
	while (valid && (address = strsep(&rest, ",")) != NULL) {
		struct http_client_options opts = {
			.base = client->base,
			.address = address,
			.max_idle = 1,
			.tls = options->tls,
		};

		valid = client->count < ENTRIES_MAX;
		if (!valid)
			break;
		client->entries[client->count] = http_client_create(&opts);
		valid = client->entries[client->count] != NULL;
		client->count += valid;
	}
	free(copy);
	if (valid)
		return client;
	api_client_destroy(client);
	return NULL;
}

void
api_client_destroy(struct api_client *client)
{
	if (client == NULL)
		return;
	for (size_t i = 0; i < client->count; i++)
		http_client_destroy(client->entries[i]);
	event_base_free(client->base);
	free(client->bearer);
	free(client);
}

static void
on_done(void *ctx, const struct http_response *resp)
{
	struct pending_call *pc = ctx;
	size_t len;

	pc->status = resp->status;
	if (resp->status == HTTP_CALL_OK) {
		len = evbuffer_get_length(resp->body);
		pc->response->code = resp->code;
		if (pc->on_line == NULL)
			pc->response->doc =
			    json_loadb((char *)evbuffer_pullup(resp->body, -1),
				len, 0, NULL);
	}
	event_base_loopbreak(pc->client->base);
}

static void
on_chunk(void *ctx, struct evbuffer *buf)
{
	struct pending_call *pc = ctx;
	size_t len;
	char *line;

	while ((line = evbuffer_readln(buf, &len, EVBUFFER_EOL_LF)) != NULL) {
		pc->received_lines = true;
		pc->on_line(pc->ctx, line, len);
		free(line);
	}
}

static enum evhttp_cmd_type
method_type(const char *method)
{
	if (strcmp(method, "PUT") == 0)
		return EVHTTP_REQ_PUT;
	if (strcmp(method, "POST") == 0)
		return EVHTTP_REQ_POST;
	if (strcmp(method, "DELETE") == 0)
		return EVHTTP_REQ_DELETE;
	return EVHTTP_REQ_GET;
}

static void
use_next_entry(struct api_client *client)
{
	client->current = (client->current + 1) % client->count;
}

void
api_client_call(struct api_client *client, const char *method, const char *path,
    const char *body, struct api_response *response)
{
	bool idempotent = strcmp(method, "GET") == 0;
	struct pending_call pc = { .client = client, .response = response };
	struct http_call_options call = {
		.method = method_type(method),
		.path = path,
		.headers = client->headers,
		.content_type = body ? "application/json" : NULL,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_us = CALL_TIMEOUT_US,
		.on_done = on_done,
		.ctx = &pc,
	};

	memset(response, 0, sizeof(*response));
	for (size_t i = 0; i < client->count; i++) {
		http_client_call(client->entries[client->current], &call);
		event_base_dispatch(client->base);
		if (pc.status == HTTP_CALL_OK)
			return;
		use_next_entry(client);
		if (pc.status != HTTP_CALL_NOT_SENT && !idempotent)
			return;
	}
}

int
api_client_stream(struct api_client *client, const char *path,
    void (*on_line)(void *, const char *, size_t), void *ctx)
{
	struct api_response response = { 0 };
	struct pending_call pc = {
		.client = client,
		.response = &response,
		.on_line = on_line,
		.ctx = ctx,
	};
	struct http_call_options call = {
		.method = EVHTTP_REQ_GET,
		.path = path,
		.headers = client->headers,
		.new_connection = true,
		.on_chunk = on_chunk,
		.on_done = on_done,
		.ctx = &pc,
	};

	http_client_call(client->entries[client->current], &call);
	event_base_dispatch(client->base);
	if (pc.received_lines)
		client->failures = 0;
	if (pc.status != HTTP_CALL_OK)
		return 0;
	if (response.code == 200)
		/* An entry ends the stream when it shuts down. */
		use_next_entry(client);
	return response.code;
}

bool
api_client_failover(struct api_client *client)
{
	use_next_entry(client);
	if (++client->failures % client->count == 0)
		sleep(RETRY_INTERVAL_S);
	return client->failures < RETRY_ROUNDS * client->count;
}

void
api_response_clear(struct api_response *response)
{
	json_decref(response->doc);
	response->doc = NULL;
}
