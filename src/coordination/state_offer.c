#include "coordination/state_offer.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>
#include <xxhash.h>

#include "transport/rpc.h"

struct kept_record {
	uint64_t offset;
	size_t len;
	TAILQ_ENTRY(kept_record) link;
	char data[];
};

struct state_offer {
	struct state_offer_options opts;
	TAILQ_HEAD(kept_list, kept_record) records; /* consecutive offsets */
	size_t count; /* of records */
	size_t bytes; /* of the records' data */
	/* The snapshot that was encoded last. */
	uint64_t position;
	uint64_t digest; /* also the id of its transfer; never 0 */
	char *data; /* NULL: none, or it exceeds a limit */
	size_t len;
};

struct state_offer *
state_offer_create(const struct state_offer_options *opts)
{
	struct state_offer *o = calloc(1, sizeof(*o));

	if (o == NULL)
		abort();
	o->opts = *opts;
	TAILQ_INIT(&o->records);
	return o;
}

static void
drop_oldest(struct state_offer *o)
{
	struct kept_record *rec = TAILQ_FIRST(&o->records);

	TAILQ_REMOVE(&o->records, rec, link);
	o->count--;
	o->bytes -= rec->len;
	free(rec);
}

void
state_offer_destroy(struct state_offer *o)
{
	if (o == NULL)
		return;
	while (!TAILQ_EMPTY(&o->records))
		drop_oldest(o);
	free(o->data);
	free(o);
}

void
state_offer_add_record(
    struct state_offer *o, uint64_t offset, const void *data, size_t len)
{
	struct kept_record *last = TAILQ_LAST(&o->records, kept_list);
	struct kept_record *rec;

	if (last != NULL && last->offset + 1 != offset) {
		while (!TAILQ_EMPTY(&o->records))
			drop_oldest(o);
	}
	rec = malloc(sizeof(*rec) + len);
	if (rec == NULL)
		abort();
	rec->offset = offset;
	rec->len = len;
	memcpy(rec->data, data, len);
	TAILQ_INSERT_TAIL(&o->records, rec, link);
	o->count++;
	o->bytes += len;
	while (o->count > o->opts.max_records || o->bytes > o->opts.max_bytes)
		drop_oldest(o);
}

/*
 * Fills the reply with records from the caller's position on, as many as one
 * message holds; with none if the first of them is no longer kept.
 */
static void
fill_records(const struct state_offer *o, const struct tm_pull_args *args,
    struct tm_pull_reply *reply)
{
	const struct kept_record *first = TAILQ_FIRST(&o->records);
	const struct kept_record *rec;
	size_t bytes = 0;
	u_int n = 0;

	if (args->position == 0 || first == NULL ||
	    first->offset > args->position)
		return;
	reply->records.records_val =
	    calloc(o->count, sizeof(struct tm_raw_record));
	if (reply->records.records_val == NULL)
		abort();
	TAILQ_FOREACH(rec, &o->records, link) {
		struct tm_raw_record *out = &reply->records.records_val[n];

		if (rec->offset < args->position)
			continue;
		bytes += rec->len;
		if (n == TM_LIST_MAX ||
		    (n > 0 && bytes > TM_SNAPSHOT_CHUNK_MAX))
			break;
		out->offset = rec->offset;
		out->data.data_val = (char *)rec->data;
		out->data.data_len = (u_int)rec->len;
		n++;
	}
	reply->records.records_len = n;
	if (n > 0)
		reply->position = reply->records.records_val[n - 1].offset + 1;
}

static void
encode_snapshot(struct state_offer *o)
{
	uint64_t position = o->opts.position(o->opts.ctx);

	if (o->data != NULL && o->position == position)
		return;
	free(o->data);
	o->data = o->opts.encode(o->opts.ctx, &o->len);
	o->position = position;
	o->digest = o->data == NULL ? 0 : XXH3_64bits(o->data, o->len) | 1;
}

static void
fill_snapshot_chunk(struct state_offer *o, const struct tm_pull_args *args,
    struct tm_pull_reply *reply)
{
	size_t start = (size_t)args->index * TM_SNAPSHOT_CHUNK_MAX;

	if (args->transfer == 0)
		encode_snapshot(o);
	if (o->data == NULL || start >= o->len ||
	    (args->transfer != 0 && args->transfer != o->digest))
		return;
	reply->position = o->position;
	reply->transfer = o->digest;
	reply->index = args->index;
	reply->count = (u_int)((o->len + TM_SNAPSHOT_CHUNK_MAX - 1) /
			       TM_SNAPSHOT_CHUNK_MAX);
	reply->digest = o->digest;
	reply->data.data_val = o->data + start;
	reply->data.data_len = o->len - start < TM_SNAPSHOT_CHUNK_MAX
				   ? (u_int)(o->len - start)
				   : TM_SNAPSHOT_CHUNK_MAX;
}

void
state_offer_handle_pull(struct state_offer *o, struct rpc_call *call,
    const struct tm_pull_args *args)
{
	struct tm_pull_reply reply = { 0 };

	if (o->opts.version(o->opts.ctx) > args->have) {
		if (args->transfer == 0)
			fill_records(o, args, &reply);
		if (reply.records.records_len == 0)
			fill_snapshot_chunk(o, args, &reply);
	}
	rpc_call_reply(call, &reply);
	free(reply.records.records_val);
}
