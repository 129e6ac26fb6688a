#include "transport/platform_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <endian.h>

#include <event2/buffer.h>
#include <jansson.h>

#include "transport/http_client.h"

#define STREAM_PATH_MAX 256
#define RECORD_HEADER_SIZE 12 /* bytes */
#define MAX_IDLE_CONNECTIONS 8
#define READ_TIMEOUT_MARGIN_US 2000000 /* added to a read's wait_us */
#define READ_BYTES_MAX (64 * 1024 * 1024) /* of one answer */
#define BATCH_RECORDS_MAX 65536 /* the next read gets the others */

struct platform_log {
	struct http_client *http;
	int64_t timeout_us;
};

struct append_op {
	void (*done)(void *, enum log_status, uint64_t);
	void *ctx;
};

struct read_op {
	uint64_t from;
	void (*done)(void *, const struct log_batch *);
	void *ctx;
};

static uint64_t
header_u64(const struct http_response *resp, const char *name)
{
	const char *value = evhttp_find_header(resp->headers, name);

	return value == NULL ? 0 : strtoull(value, NULL, 10);
}

static void
on_appended(void *arg, const struct http_response *resp)
{
	struct append_op *op = arg;
	enum log_status status = LOG_LOST;
	uint64_t offset = 0;

	if (resp->status == HTTP_CALL_NOT_SENT) {
		status = LOG_REFUSED;
	} else if (resp->status == HTTP_CALL_OK) {
		offset = header_u64(resp, "Log-Offset");
		if (resp->code == 200 && offset != 0)
			status = LOG_OK;
		else if (resp->code >= 400 && resp->code < 500)
			status = LOG_REFUSED;
	}
	op->done(op->ctx, status, offset);
	free(op);
}

static void
log_append(void *priv, const char *stream, const void *data, size_t len,
    void (*done)(void *, enum log_status, uint64_t), void *ctx)
{
	struct platform_log *log = priv;
	struct append_op *op = calloc(1, sizeof(*op));
	char path[STREAM_PATH_MAX];
	struct http_call_options call = {
		.method = EVHTTP_REQ_POST,
		.path = path,
		.content_type = "application/octet-stream",
		.body = data,
		.body_len = len,
		.timeout_us = log->timeout_us,
		.on_done = on_appended,
		.free_ctx = free,
		.ctx = op,
	};

	if (op == NULL)
		abort();
	op->done = done;
	op->ctx = ctx;
	snprintf(path, sizeof(path), "/streams/%s", stream);
	http_client_call(log->http, &call);
}

/*
 * A record is its offset (64 bits) and length (32 bits), in network byte order,
 * and the data.
 */
static size_t
parse_records(
    unsigned char *data, size_t len, struct log_record *out, size_t max)
{
	size_t count = 0, at = 0;

	while (count < max && len - at >= RECORD_HEADER_SIZE) {
		uint64_t offset;
		uint32_t size;

		memcpy(&offset, data + at, sizeof(offset));
		memcpy(&size, data + at + 8, sizeof(size));
		at += RECORD_HEADER_SIZE;
		size = ntohl(size);
		if (size > len - at)
			break;
		out[count].offset = be64toh(offset);
		out[count].data = data + at;
		out[count].len = size;
		at += size;
		count++;
	}
	return count;
}

static void
parse_batch(struct log_batch *batch, const struct read_op *op,
    const struct http_response *resp, struct log_record *records)
{
	size_t len = evbuffer_get_length(resp->body);

	batch->first = header_u64(resp, "Log-First");
	batch->end = header_u64(resp, "Log-End");
	batch->next = op->from;
	if (resp->code == 410) {
		batch->status = LOG_EXPIRED;
		return;
	}
	if (resp->code != 200)
		return;
	batch->status = LOG_OK;
	batch->records = records;
	batch->count = parse_records(
	    evbuffer_pullup(resp->body, -1), len, records, BATCH_RECORDS_MAX);
	if (batch->count > 0)
		batch->next = records[batch->count - 1].offset + 1;
}

static void
on_read(void *arg, const struct http_response *resp)
{
	struct read_op *op = arg;
	struct log_batch batch = { .status = LOG_LOST, .next = op->from };
	struct log_record *records = NULL;

	if (resp->status == HTTP_CALL_OK) {
		records = calloc(BATCH_RECORDS_MAX, sizeof(*records));
		if (records == NULL)
			abort();
		parse_batch(&batch, op, resp, records);
	}
	op->done(op->ctx, &batch);
	free(records);
	free(op);
}

static void
log_read(void *priv, const char *stream, uint64_t from, int64_t wait_us,
    void (*done)(void *, const struct log_batch *), void *ctx)
{
	struct platform_log *log = priv;
	struct read_op *op = calloc(1, sizeof(*op));
	char path[STREAM_PATH_MAX];
	struct http_call_options call = {
		.method = EVHTTP_REQ_GET,
		.path = path,
		.timeout_us = wait_us + READ_TIMEOUT_MARGIN_US,
		.on_done = on_read,
		.free_ctx = free,
		.ctx = op,
	};

	if (op == NULL)
		abort();
	op->from = from;
	op->done = done;
	op->ctx = ctx;
	snprintf(path, sizeof(path),
	    "/streams/%s?from=%" PRIu64 "&wait_ms=%" PRId64, stream, from,
	    wait_us / 1000);
	http_client_call(log->http, &call);
}

static void
log_destroy(void *priv)
{
	struct platform_log *log = priv;

	if (log == NULL)
		return;
	http_client_destroy(log->http);
	free(log);
}

static const struct log_client_ops ops = {
	.append = log_append,
	.read = log_read,
	.destroy = log_destroy,
};

int
platform_log_create(
    struct log_client *client, const struct platform_log_options *opts)
{
	struct platform_log *log = calloc(1, sizeof(*log));
	struct http_client_options http = {
		.base = opts->base,
		.address = opts->address,
		.max_idle = MAX_IDLE_CONNECTIONS,
		.max_body = READ_BYTES_MAX,
	};

	if (log == NULL)
		return -1;
	log->http = http_client_create(&http);
	if (log->http == NULL) {
		free(log);
		return -1;
	}
	log->timeout_us = opts->timeout_us;
	client->ops = &ops;
	client->priv = log;
	return 0;
}
