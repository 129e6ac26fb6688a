#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/rng.h"
#include "coordination/checkpoint.h"
#include "protocol/codec.h"
#include "transport/platform_log.h"

struct checkpoint_writer {
	struct checkpoint_writer_options opts;
	struct event *timer;
	struct tm_checkpoint_chunk chunk; /* the one being appended */
	char *data; /* snapshot being written; NULL: not busy */
	size_t len; /* bytes */
};

static void append_chunk(struct checkpoint_writer *);

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	append_chunk(arg);
}

struct checkpoint_writer *
checkpoint_writer_create(const struct checkpoint_writer_options *opts)
{
	struct checkpoint_writer *w = calloc(1, sizeof(*w));

	if (w == NULL)
		abort();
	w->opts = *opts;
	w->timer = evtimer_new(opts->base, on_timer, w);
	if (w->timer == NULL)
		abort();
	return w;
}

void
checkpoint_writer_destroy(struct checkpoint_writer *w)
{
	if (w == NULL)
		return;
	event_free(w->timer);
	free(w->data);
	free(w);
}

bool
checkpoint_writer_busy(const struct checkpoint_writer *w)
{
	return w->data != NULL;
}

static void
end_write(struct checkpoint_writer *w)
{
	free(w->data);
	w->data = NULL;
}

static void
on_appended(void *ctx, enum log_status status, uint64_t offset)
{
	struct checkpoint_writer *w = ctx;
	struct timeval tv = clock_timeval(w->opts.retry_us);

	/* Appended again, since readers ignore a chunk's second copy. */
	if (status != LOG_OK) {
		evtimer_add(w->timer, &tv);
		return;
	}
	w->chunk.index++;
	if (w->chunk.index == w->chunk.count)
		end_write(w);
	else
		append_chunk(w);
}

static void *
encode_chunk(const struct checkpoint_writer *w, size_t *len)
{
	struct tm_config_record config = { .type = TM_CONFIG_CHECKPOINT };
	struct tm_control_record control = { 0 };

	if (w->opts.stream == TM_STREAM_CONFIG) {
		config.tm_config_record_u.checkpoint = w->chunk;
		return codec_encode(
		    (xdrproc_t)xdr_tm_config_record, &config, len);
	}
	control.body.type = TM_CONTROL_CHECKPOINT;
	control.body.tm_control_body_u.checkpoint = w->chunk;
	return codec_encode((xdrproc_t)xdr_tm_control_record, &control, len);
}

static void
append_chunk(struct checkpoint_writer *w)
{
	static const char *const names[] = {
		[TM_STREAM_CONFIG] = "config", [TM_STREAM_CONTROL] = "control"
	};
	size_t start = (size_t)w->chunk.index * TM_SNAPSHOT_CHUNK_MAX;
	size_t left = w->len - start;
	size_t len;
	void *record;

	w->chunk.data.data_val = w->data + start;
	w->chunk.data.data_len =
	    left < TM_SNAPSHOT_CHUNK_MAX ? (u_int)left : TM_SNAPSHOT_CHUNK_MAX;
	record = encode_chunk(w, &len);
	if (record == NULL) {
		end_write(w);
		return;
	}
	w->opts.log->ops->append(w->opts.log->priv, names[w->opts.stream],
	    record, len, on_appended, w);
	free(record);
}

void
checkpoint_writer_start(
    struct checkpoint_writer *w, uint64_t position, void *data, size_t len)
{
	w->data = data;
	w->len = len;
	memset(&w->chunk, 0, sizeof(w->chunk));
	random_id(w->chunk.id, TM_ID_SIZE);
	w->chunk.position = position;
	w->chunk.count =
	    (u_int)((len + TM_SNAPSHOT_CHUNK_MAX - 1) / TM_SNAPSHOT_CHUNK_MAX);
	w->chunk.digest = XXH3_64bits(data, len);
	append_chunk(w);
}
