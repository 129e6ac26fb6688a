#include "coordination/crash_log.h"

#include <stdlib.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/daemon.h"
#include "coordination/log_follower.h"
#include "protocol/codec.h"
#include "protocol/tm_xdr.h"
#include "transport/platform_log.h"

#define STREAM "crashes"

struct crash_log {
	struct crash_log_options opts;
	struct log_follower *follower;
	uint64_t position; /* next offset to read */
};

static uint64_t
get_position(void *ctx)
{
	const struct crash_log *l = ctx;

	return l->position;
}

static void
report_record(struct crash_log *l, const struct log_record *record)
{
	struct tm_crash_record rec = { 0 };

	if (codec_decode((xdrproc_t)xdr_tm_crash_record, record->data,
		record->len, &rec) == -1) {
		log_warn(l->opts.daemon->logger, "malformed record of a crash",
		    LF_I("offset", (int64_t)record->offset));
		return;
	}
	l->opts.record(l->opts.ctx, &rec);
	xdr_free((xdrproc_t)xdr_tm_crash_record, (char *)&rec);
}

static void
on_batch(void *ctx, const struct log_batch *batch)
{
	struct crash_log *l = ctx;

	if (batch->status == LOG_EXPIRED) {
		l->position = batch->first;
		return;
	}
	for (size_t i = 0; i < batch->count; i++)
		report_record(l, &batch->records[i]);
	l->position = batch->next;
}

static void
on_appended(void *ctx, enum log_status status, uint64_t offset)
{
	struct crash_log *l = ctx;

	if (status != LOG_OK)
		log_warn(l->opts.daemon->logger,
		    "record of a crash not appended", LF_I("status", status));
}

void
crash_log_append(struct crash_log *l, const struct tm_crash_record *rec)
{
	const struct log_client *log = l->opts.daemon->log;
	size_t len;
	void *data = codec_encode((xdrproc_t)xdr_tm_crash_record, rec, &len);

	if (data == NULL)
		abort();
	log->ops->append(log->priv, STREAM, data, len, on_appended, l);
	free(data);
}

struct crash_log *
crash_log_create(const struct crash_log_options *opts)
{
	struct crash_log *l = calloc(1, sizeof(*l));
	const struct daemon *d = opts->daemon;
	struct log_follower_options follower = {
		.base = d->base,
		.clock = d->clock,
		.logger = d->logger,
		.log = d->log,
		.stream = STREAM,
		.poll_us = d->settings->log_poll_ms * USEC_PER_MSEC,
		.retry_us = d->settings->log_retry_ms * USEC_PER_MSEC,
		.position = get_position,
		.batch = on_batch,
		.ctx = l,
	};

	if (l == NULL)
		return NULL;
	l->opts = *opts;
	l->position = 1;
	l->follower = log_follower_create(&follower);
	if (l->follower != NULL)
		return l;
	free(l);
	return NULL;
}

void
crash_log_destroy(struct crash_log *l)
{
	if (l == NULL)
		return;
	log_follower_destroy(l->follower);
	free(l);
}
