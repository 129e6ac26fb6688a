#include "ctl/client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>

#include "transport/http_client.h"

#define TIMEOUT_US 30000000
#define ENTRIES_MAX 16
#define RETRY_PAUSE_S 1
#define RETRY_ROUNDS 30

struct client {
	struct event_base *base;
	struct http_client *entries[ENTRIES_MAX];
	size_t count;
	size_t current;
	unsigned failures; /* in a row */
	char *bearer;
	struct http_header headers[2];
};

struct waiting {
	struct client *client;
	struct client_answer *answer;
	enum http_call_status status;
	void (*line)(void *, const char *, size_t);
	void *ctx;
	bool got_lines;
};

struct client *
client_create(const struct client_options *options)
{
	struct client *client = calloc(1, sizeof(*client));
	char *copy = strdup(options->addresses), *rest = copy, *address;
	bool good = true;

	if (client == NULL || copy == NULL)
		abort();
	client->base = event_base_new();
	if (options->token != NULL &&
	    asprintf(&client->bearer, "Bearer %s", options->token) == -1)
		abort();
	client->headers[0].name = options->token ? "Authorization" : NULL;
	client->headers[0].value = client->bearer;
	while (good && (address = strsep(&rest, ",")) != NULL) {
		struct http_client_options opts = {
			.base = client->base,
			.address = address,
			.max_idle = 1,
			.tls = options->tls,
		};

		good = client->count < ENTRIES_MAX;
		if (!good)
			break;
		client->entries[client->count] = http_client_create(&opts);
		good = client->entries[client->count] != NULL;
		client->count += good;
	}
	free(copy);
	if (good)
		return client;
	client_destroy(client);
	return NULL;
}

void
client_destroy(struct client *client)
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
	struct waiting *w = ctx;
	size_t len;

	w->status = resp->status;
	if (resp->status == HTTP_CALL_OK) {
		len = evbuffer_get_length(resp->body);
		w->answer->code = resp->code;
		if (w->line == NULL)
			w->answer->doc =
			    json_loadb((char *)evbuffer_pullup(resp->body, -1),
				len, 0, NULL);
	}
	event_base_loopbreak(w->client->base);
}

static void
on_chunk(void *ctx, struct evbuffer *buf)
{
	struct waiting *w = ctx;
	size_t len;
	char *line;

	while ((line = evbuffer_readln(buf, &len, EVBUFFER_EOL_LF)) != NULL) {
		w->got_lines = true;
		w->line(w->ctx, line, len);
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
next_entry(struct client *client)
{
	client->current = (client->current + 1) % client->count;
}

void
client_call(struct client *client, const char *method, const char *path,
    const char *body, struct client_answer *answer)
{
	bool safe = strcmp(method, "GET") == 0;
	struct waiting w = { .client = client, .answer = answer };
	struct http_call_options call = {
		.method = method_type(method),
		.path = path,
		.headers = client->headers,
		.content_type = body ? "application/json" : NULL,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_us = TIMEOUT_US,
		.on_done = on_done,
		.ctx = &w,
	};

	memset(answer, 0, sizeof(*answer));
	for (size_t i = 0; i < client->count; i++) {
		http_client_call(client->entries[client->current], &call);
		event_base_dispatch(client->base);
		if (w.status == HTTP_CALL_OK)
			return;
		next_entry(client);
		if (w.status != HTTP_CALL_NOT_SENT && !safe)
			return;
	}
}

int
client_lines(struct client *client, const char *path,
    void (*line)(void *, const char *, size_t), void *ctx)
{
	struct client_answer answer = { 0 };
	struct waiting w = {
		.client = client,
		.answer = &answer,
		.line = line,
		.ctx = ctx,
	};
	struct http_call_options call = {
		.method = EVHTTP_REQ_GET,
		.path = path,
		.headers = client->headers,
		.new_connection = true,
		.on_chunk = on_chunk,
		.on_done = on_done,
		.ctx = &w,
	};

	http_client_call(client->entries[client->current], &call);
	event_base_dispatch(client->base);
	if (w.got_lines)
		client->failures = 0;
	if (w.status != HTTP_CALL_OK)
		return 0;
	if (answer.code == 200)
		next_entry(client); /* it ended the stream because it leaves */
	return answer.code;
}

bool
client_reconnect(struct client *client)
{
	next_entry(client);
	if (++client->failures % client->count == 0)
		sleep(RETRY_PAUSE_S);
	return client->failures < RETRY_ROUNDS * client->count;
}

void
client_answer_clear(struct client_answer *answer)
{
	json_decref(answer->doc);
	answer->doc = NULL;
}
