/* fake_log -- an in-memory log service behind struct log_client. */
#ifndef TEST_FAKE_LOG_H
#define TEST_FAKE_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <event2/event.h>
#include <glib.h>

#include "transport/platform_log.h"

struct fake_record {
	char stream[32];
	uint64_t offset;
	GBytes *data;
};

struct fake_log {
	struct log_client client;
	struct event_base *base;
	GPtrArray *records; /* of all streams, in the order of appends */
	GPtrArray *held; /* appends that are held back */
	GPtrArray *calls; /* in progress */
	uint64_t first; /* oldest retained offset of every stream */
	bool down; /* refuses appends; reads fail */
	bool lose_answers; /* appends, but reports LOG_LOST */
	bool hold_appends; /* holds back appends and reports LOG_LOST */
	unsigned reads;
	unsigned appends;
};

struct fake_call {
	struct fake_log *log;
	char stream[32];
	uint64_t from;
	enum log_status status;
	uint64_t offset;
	void (*appended)(void *, enum log_status, uint64_t);
	void (*read)(void *, const struct log_batch *);
	void *ctx;
};

static inline uint64_t
fake_log_end(const struct fake_log *log, const char *stream)
{
	uint64_t end = 1;

	for (guint i = 0; i < log->records->len; i++) {
		const struct fake_record *r = log->records->pdata[i];

		if (strcmp(r->stream, stream) == 0)
			end = r->offset + 1;
	}
	return end;
}

static inline uint64_t
fake_log_put(
    struct fake_log *log, const char *stream, const void *data, size_t len)
{
	struct fake_record *r = g_new0(struct fake_record, 1);

	g_strlcpy(r->stream, stream, sizeof(r->stream));
	r->offset = fake_log_end(log, stream);
	r->data = g_bytes_new(data, len);
	g_ptr_array_add(log->records, r);
	return r->offset;
}

/* Appends the records that were held back, in order. */
static inline void
fake_log_append_held(struct fake_log *log)
{
	for (guint i = 0; i < log->held->len; i++) {
		struct fake_record *r = log->held->pdata[i];
		gsize len;
		const void *data = g_bytes_get_data(r->data, &len);

		fake_log_put(log, r->stream, data, len);
		g_bytes_unref(r->data);
		g_free(r);
	}
	g_ptr_array_set_size(log->held, 0);
}

static inline struct fake_call *
fake_call_new(struct fake_log *log, const char *stream, void *ctx)
{
	struct fake_call *call = g_new0(struct fake_call, 1);

	call->log = log;
	call->ctx = ctx;
	g_strlcpy(call->stream, stream, sizeof(call->stream));
	g_ptr_array_add(log->calls, call);
	return call;
}

static inline void
fake_on_appended(evutil_socket_t fd, short what, void *arg)
{
	struct fake_call *call = arg;

	call->appended(call->ctx, call->status, call->offset);
	g_ptr_array_remove_fast(call->log->calls, call);
}

static inline void
fake_append(void *priv, const char *stream, const void *data, size_t len,
    void (*done)(void *, enum log_status, uint64_t), void *ctx)
{
	struct fake_log *log = priv;
	struct fake_call *call = fake_call_new(log, stream, ctx);
	struct timeval delay = { 0, 1000 };

	log->appends++;
	call->appended = done;
	if (log->down) {
		call->status = LOG_REFUSED;
	} else if (log->hold_appends) {
		struct fake_record *r = g_new0(struct fake_record, 1);

		g_strlcpy(r->stream, stream, sizeof(r->stream));
		r->data = g_bytes_new(data, len);
		g_ptr_array_add(log->held, r);
		call->status = LOG_LOST;
	} else {
		call->offset = fake_log_put(log, stream, data, len);
		call->status = log->lose_answers ? LOG_LOST : LOG_OK;
	}
	event_base_once(
	    log->base, -1, EV_TIMEOUT, fake_on_appended, call, &delay);
}

static inline void
fake_on_read(evutil_socket_t fd, short what, void *arg)
{
	struct fake_call *call = arg;
	struct fake_log *log = call->log;
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct log_record));
	struct log_batch batch = { .status = LOG_OK };

	batch.end = fake_log_end(log, call->stream);
	batch.first = MIN(log->first, batch.end);
	if (log->down)
		batch.status = LOG_LOST;
	else if (call->from < batch.first)
		batch.status = LOG_EXPIRED;
	for (guint i = 0; batch.status == LOG_OK && i < log->records->len;
	     i++) {
		const struct fake_record *r = log->records->pdata[i];
		struct log_record rec = { .offset = r->offset };

		if (strcmp(r->stream, call->stream) != 0 ||
		    r->offset < call->from)
			continue;
		rec.data = g_bytes_get_data(r->data, &rec.len);
		g_array_append_val(out, rec);
	}
	batch.records = (void *)out->data;
	batch.count = out->len;
	batch.next = call->from + out->len;
	call->read(call->ctx, &batch);
	g_array_free(out, TRUE);
	g_ptr_array_remove_fast(call->log->calls, call);
}

static inline void
fake_read(void *priv, const char *stream, uint64_t from, int64_t wait_us,
    void (*done)(void *, const struct log_batch *), void *ctx)
{
	struct fake_call *call = fake_call_new(priv, stream, ctx);
	struct timeval delay = { 0, 1000 };

	call->log->reads++;
	call->from = from;
	call->read = done;
	event_base_once(
	    call->log->base, -1, EV_TIMEOUT, fake_on_read, call, &delay);
}

static inline void
fake_log_init(struct fake_log *log, struct event_base *base)
{
	static const struct log_client_ops ops = {
		.append = fake_append,
		.read = fake_read,
	};

	memset(log, 0, sizeof(*log));
	log->base = base;
	log->first = 1;
	log->records = g_ptr_array_new();
	log->held = g_ptr_array_new();
	log->calls = g_ptr_array_new_with_free_func(g_free);
	log->client.ops = &ops;
	log->client.priv = log;
}

static inline void
fake_record_free(gpointer arg)
{
	struct fake_record *r = arg;

	g_bytes_unref(r->data);
	g_free(r);
}

/* Call it after event_base_free(). */
static inline void
fake_log_clear(struct fake_log *log)
{
	g_ptr_array_set_free_func(log->records, fake_record_free);
	g_ptr_array_set_free_func(log->held, fake_record_free);
	g_ptr_array_unref(log->records);
	g_ptr_array_unref(log->held);
	g_ptr_array_unref(log->calls);
}

#endif
