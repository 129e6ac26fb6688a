#include "coordination/claim_writer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "common/rng.h"
#include "coordination/log_follower.h"
#include "coordination/unread_answers.h"
#include "protocol/codec.h"
#include "transport/platform_log.h"

/* Interval of checks for deadlines, lifetimes and records to append. */
#define TICK_US (50 * USEC_PER_MSEC)
/* Limits of one append; it may exceed the bytes by one record. */
#define BATCH_RECORDS_MAX 256
#define BATCH_BYTES_MAX 262144
/*
 * Bytes not appended yet; above it, claims are refused and answers are recorded
 * without their body.
 */
#define PENDING_BYTES_MAX 16777216
#define ANSWER_MAX 65536 /* bytes; the limit in struct tm_claim_record */
#define STREAM_NAME_MAX 32

/* A claim whose verdict is pending. */
struct claim_op {
	struct claim_writer *writer;
	char key[CLAIM_KEY_LEN + 1];
	struct claim_owner owner;
	uint64_t digest;
	int64_t deadline_us; /* for the verdict */
	void (*done)(void *ctx, enum result, const struct claim *);
	void *ctx;
	TAILQ_ENTRY(claim_op) link;
};

/* A record to append; owns the memory that rec points to. */
struct pending_record {
	struct tm_claim_record rec;
	TAILQ_ENTRY(pending_record) link;
};

TAILQ_HEAD(pending_records, pending_record);

/* One claims stream. */
struct partition {
	struct claim_writer *writer;
	char stream[STREAM_NAME_MAX];
	uint64_t position; /* next offset to read */
	struct log_follower *follower;
	struct pending_records queued;
	struct pending_records sent; /* in the pending append */
	struct unread_answers *unread;
	bool appending; /* an append is pending */
	int64_t pause_until_us; /* after a failed append */
};

struct claim_writer {
	struct claim_writer_options opts;
	struct claims *claims;
	struct partition *partitions;
	struct event *timer;
	TAILQ_HEAD(, claim_op) ops;
	size_t pending_bytes; /* of all queued and sent records */
	uint64_t *taken_total;
	uint64_t *appends_total;
	uint64_t *replays_total;
	uint64_t *unavailable_total;
	uint64_t *landed_late_total;
};

static struct partition *
partition_of(struct claim_writer *w, const char *key)
{
	char prefix[9]; /* of the hash: 32 bits in hexadecimal */

	strlcpy(prefix, key, sizeof(prefix));
	return &w->partitions[strtoul(prefix, NULL, 16) % w->opts.partitions];
}

/* ---- appending ---- */

static size_t
record_bytes(const struct pending_record *p)
{
	return sizeof(*p) + p->rec.answer.answer_len;
}

static void
pending_record_free(struct claim_writer *w, struct pending_record *p)
{
	w->pending_bytes -= record_bytes(p);
	xdr_free((xdrproc_t)xdr_tm_claim_record, (char *)&p->rec);
	free(p);
}

static struct claim_op *
find_op(
    struct claim_writer *w, const char *key, const struct claim_owner *owner)
{
	struct claim_op *op;

	TAILQ_FOREACH(op, &w->ops, link) {
		if (strcmp(op->key, key) == 0 &&
		    claim_owner_equal(&op->owner, owner))
			return op;
	}
	return NULL;
}

static void
finish_op(struct claim_op *op, enum result code, const struct claim *claim)
{
	TAILQ_REMOVE(&op->writer->ops, op, link);
	op->done(op->ctx, code, claim);
	free(op);
}

static void
reject_take(struct claim_writer *w, const struct tm_claim_record *rec)
{
	struct claim_owner owner = { .incarnation = rec->incarnation };
	struct claim_op *op;

	memcpy(owner.request, rec->request, TM_ID_SIZE);
	op = find_op(w, rec->key, &owner);
	if (op == NULL)
		return;
	(*w->unavailable_total)++;
	finish_op(op, RESULT_LOG_UNAVAILABLE, NULL);
}

/*
 * Queues answers and frees again.  Claims are never appended twice: a refused
 * one fails, and one that may be in the log is pending until its deadline.
 */
static void
requeue_sent(struct partition *p, bool refused)
{
	struct claim_writer *w = p->writer;
	struct pending_record *r;

	while ((r = TAILQ_LAST(&p->sent, pending_records)) != NULL) {
		TAILQ_REMOVE(&p->sent, r, link);
		if (r->rec.type != TM_CLAIM_TAKE) {
			TAILQ_INSERT_HEAD(&p->queued, r, link);
			continue;
		}
		if (refused)
			reject_take(w, &r->rec);
		pending_record_free(w, r);
	}
}

static void
on_appended(void *ctx, enum log_status status, uint64_t offset)
{
	struct partition *p = ctx;
	struct pending_record *r;

	p->appending = false;
	if (status == LOG_OK) {
		while ((r = TAILQ_FIRST(&p->sent)) != NULL) {
			TAILQ_REMOVE(&p->sent, r, link);
			pending_record_free(p->writer, r);
		}
	} else {
		p->pause_until_us =
		    clock_now(p->writer->opts.clock) + p->writer->opts.retry_us;
		requeue_sent(p, status == LOG_REFUSED);
	}
	event_active(p->writer->timer, 0, 0);
}

static u_int
collect_batch(struct partition *p, struct tm_claim_record *records)
{
	size_t bytes = 0;
	u_int n = 0;
	struct pending_record *r;

	while (n < BATCH_RECORDS_MAX && bytes < BATCH_BYTES_MAX &&
	       (r = TAILQ_FIRST(&p->queued)) != NULL) {
		TAILQ_REMOVE(&p->queued, r, link);
		TAILQ_INSERT_TAIL(&p->sent, r, link);
		records[n++] = r->rec;
		bytes += record_bytes(r);
	}
	return n;
}

static void
append_batch(struct partition *p)
{
	struct claim_writer *w = p->writer;
	struct tm_claim_record records[BATCH_RECORDS_MAX];
	struct tm_claim_batch batch = { 0 };
	size_t len;
	void *data;

	if (p->appending || TAILQ_EMPTY(&p->queued) ||
	    clock_now(w->opts.clock) < p->pause_until_us)
		return;
	random_id(batch.id, TM_ID_SIZE);
	batch.records.records_val = records;
	batch.records.records_len = collect_batch(p, records);
	data = codec_encode((xdrproc_t)xdr_tm_claim_batch, &batch, &len);
	if (data == NULL)
		abort();
	p->appending = true;
	(*w->appends_total)++;
	w->opts.log->ops->append(
	    w->opts.log->priv, p->stream, data, len, on_appended, p);
	free(data);
}

static void
queue_record(struct claim_writer *w, enum tm_claim_type type, const char *key,
    const struct claim_owner *owner, const struct tm_claim_record *fields)
{
	struct partition *p = partition_of(w, key);
	struct pending_record *r = calloc(1, sizeof(*r));

	if (r == NULL)
		abort();
	r->rec = *fields;
	r->rec.type = type;
	r->rec.key = strdup(key);
	r->rec.incarnation = owner->incarnation;
	memcpy(r->rec.request, owner->request, TM_ID_SIZE);
	if (r->rec.content_type == NULL)
		r->rec.content_type = strdup("");
	if (r->rec.key == NULL || r->rec.content_type == NULL)
		abort();
	w->pending_bytes += record_bytes(r);
	TAILQ_INSERT_TAIL(&p->queued, r, link);
	/* By the timer, so that records of one loop turn share an append. */
	event_active(w->timer, 0, 0);
}

/* ---- verdicts ---- */

/* The result for a request whose key an earlier claim holds. */
static enum result
earlier_claim_result(const struct claim *claim, uint64_t digest)
{
	if (claim->digest != digest)
		return RESULT_KEY_REUSED;
	if (claim->state == CLAIM_DONE && claim->answer != NULL)
		return RESULT_OK;
	return RESULT_KEY_IN_USE;
}

static void
report_earlier_claim(struct claim_writer *w, const struct claim *claim,
    uint64_t digest, void (*done)(void *, enum result, const struct claim *),
    void *ctx)
{
	enum result code = earlier_claim_result(claim, digest);

	if (code == RESULT_OK)
		(*w->replays_total)++;
	done(ctx, code, code == RESULT_OK ? claim : NULL);
}

static void
on_claim(void *ctx, const char *key, const struct claim_owner *owner, bool won)
{
	struct claim_writer *w = ctx;
	struct claim_op *op;
	struct claim claim;

	if (owner->incarnation != w->opts.incarnation)
		return;
	op = find_op(w, key, owner);
	/* The claim was abandoned or has failed, so its work does not run. */
	if (op == NULL && won) {
		(*w->landed_late_total)++;
		claim_free_key(w, key, owner->request);
		return;
	}
	if (op == NULL)
		return;
	if (won) {
		(*w->taken_total)++;
		finish_op(op, RESULT_OK, NULL);
		return;
	}
	claim = claims_find(w->claims, key);
	TAILQ_REMOVE(&w->ops, op, link);
	report_earlier_claim(w, &claim, op->digest, op->done, op->ctx);
	free(op);
}

static void
apply_batch(struct partition *p, const struct log_record *record)
{
	struct claim_writer *w = p->writer;
	struct tm_claim_batch batch = { 0 };

	if (codec_decode((xdrproc_t)xdr_tm_claim_batch, record->data,
		record->len, &batch) == -1) {
		log_warn(w->opts.logger, "malformed record in a claims stream",
		    LF_I("offset", (int64_t)record->offset));
		return;
	}
	for (u_int i = 0; i < batch.records.records_len; i++) {
		const struct tm_claim_record *rec =
		    &batch.records.records_val[i];

		claims_apply(w->claims, rec, clock_now(w->opts.clock));
		if (rec->type == TM_CLAIM_DONE &&
		    rec->incarnation == w->opts.incarnation)
			unread_answers_remove(p->unread, rec->key);
	}
	xdr_free((xdrproc_t)xdr_tm_claim_batch, (char *)&batch);
}

static uint64_t
get_position(void *ctx)
{
	const struct partition *p = ctx;

	return p->position;
}

static void
on_batch(void *ctx, const struct log_batch *batch)
{
	struct partition *p = ctx;

	if (batch->status == LOG_EXPIRED) {
		/* Keys in expired records are past their lifetime too. */
		p->position = batch->first;
		unread_answers_clear(p->unread);
		return;
	}
	for (size_t i = 0; i < batch->count; i++)
		apply_batch(p, &batch->records[i]);
	p->position = batch->next;
}

/* ---- claims ---- */

/* Whether the key's stream was read up to its end when this agent started. */
static bool
caught_up(struct claim_writer *w, const char *key)
{
	return log_follower_caught_up(partition_of(w, key)->follower);
}

/* Returns why the key cannot be claimed now, or RESULT_OK. */
static enum result
take_error(struct claim_writer *w, const char *key)
{
	if (!caught_up(w, key))
		return RESULT_LOG_UNAVAILABLE;
	if (claims_full(w->claims) || w->pending_bytes > PENDING_BYTES_MAX)
		return RESULT_QUEUE_FULL;
	return RESULT_OK;
}

struct claim_op *
claim_take(struct claim_writer *w, const char *key,
    const char request[TM_ID_SIZE], uint64_t digest,
    void (*done)(void *, enum result, const struct claim *), void *ctx)
{
	struct tm_claim_record rec = { .digest = digest };
	struct claim claim = claims_find(w->claims, key);
	struct claim_op *op;
	enum result code;

	if (caught_up(w, key) && claim.state != CLAIM_FREE &&
	    !(claim.digest == digest && claim.state == CLAIM_TAKEN &&
		unread_answers_has(partition_of(w, key)->unread, key))) {
		report_earlier_claim(w, &claim, digest, done, ctx);
		return NULL;
	}
	/* A claim that follows an unread answer is read back after it. */
	code = take_error(w, key);
	if (code != RESULT_OK) {
		done(ctx, code, NULL);
		return NULL;
	}
	op = calloc(1, sizeof(*op));
	if (op == NULL)
		abort();
	op->writer = w;
	strlcpy(op->key, key, sizeof(op->key));
	memcpy(op->owner.request, request, TM_ID_SIZE);
	op->owner.incarnation = w->opts.incarnation;
	op->digest = digest;
	op->deadline_us = clock_now(w->opts.clock) + w->opts.wait_us;
	op->done = done;
	op->ctx = ctx;
	TAILQ_INSERT_TAIL(&w->ops, op, link);
	queue_record(w, TM_CLAIM_TAKE, key, &op->owner, &rec);
	return op;
}

/* Removes the claim's record from the queue if it has not been sent. */
static void
dequeue_take(struct claim_writer *w, const struct claim_op *op)
{
	struct partition *p = partition_of(w, op->key);
	struct pending_record *r, *next;

	TAILQ_FOREACH_SAFE(r, &p->queued, link, next) {
		if (r->rec.type != TM_CLAIM_TAKE ||
		    memcmp(r->rec.request, op->owner.request, TM_ID_SIZE) != 0)
			continue;
		TAILQ_REMOVE(&p->queued, r, link);
		pending_record_free(w, r);
	}
}

void
claim_abandon(struct claim_writer *w, struct claim_op *op)
{
	dequeue_take(w, op);
	TAILQ_REMOVE(&w->ops, op, link);
	free(op);
}

void
claim_finish(struct claim_writer *w, const char *key,
    const char request[TM_ID_SIZE], int status, const char *content_type,
    const void *answer, size_t len)
{
	struct claim_owner owner = { .incarnation = w->opts.incarnation };
	struct tm_claim_record rec = { .status = status };

	memcpy(owner.request, request, TM_ID_SIZE);
	rec.content_type = strdup(content_type);
	if (len <= ANSWER_MAX && w->pending_bytes <= PENDING_BYTES_MAX) {
		rec.kept = true;
		rec.answer.answer_len = (u_int)len;
		rec.answer.answer_val = malloc(len + 1);
		if (rec.answer.answer_val == NULL)
			abort();
		memcpy(rec.answer.answer_val, answer, len);
	}
	queue_record(w, TM_CLAIM_DONE, key, &owner, &rec);
	unread_answers_add(partition_of(w, key)->unread, key);
}

void
claim_free_key(
    struct claim_writer *w, const char *key, const char request[TM_ID_SIZE])
{
	struct claim_owner owner = { .incarnation = w->opts.incarnation };
	struct tm_claim_record rec = { 0 };

	memcpy(owner.request, request, TM_ID_SIZE);
	queue_record(w, TM_CLAIM_FREED, key, &owner, &rec);
}

bool
claim_writer_idle(const struct claim_writer *w)
{
	return w->pending_bytes == 0;
}

/* ---- timer, creation and destruction ---- */

static void
fail_expired_ops(struct claim_writer *w)
{
	int64_t now = clock_now(w->opts.clock);
	struct claim_op *op, *next;

	TAILQ_FOREACH_SAFE(op, &w->ops, link, next) {
		if (op->deadline_us > now)
			continue;
		(*w->unavailable_total)++;
		dequeue_take(w, op);
		finish_op(op, RESULT_LOG_UNAVAILABLE, NULL);
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct claim_writer *w = arg;
	struct timeval tv = { 0, TICK_US };

	evtimer_add(w->timer, &tv);
	fail_expired_ops(w);
	claims_expire(w->claims, clock_now(w->opts.clock));
	for (uint32_t i = 0; i < w->opts.partitions; i++)
		append_batch(&w->partitions[i]);
}

static void
create_partition(struct claim_writer *w, struct partition *p, uint32_t number)
{
	struct log_follower_options follower = {
		.base = w->opts.base,
		.clock = w->opts.clock,
		.logger = w->opts.logger,
		.log = w->opts.log,
		.stream = p->stream,
		.poll_us = w->opts.poll_us,
		.retry_us = w->opts.retry_us,
		.position = get_position,
		.batch = on_batch,
		.ctx = p,
	};

	p->writer = w;
	p->position = 1;
	TAILQ_INIT(&p->queued);
	TAILQ_INIT(&p->sent);
	p->unread = unread_answers_create();
	snprintf(p->stream, sizeof(p->stream), "claims.%u", number);
	p->follower = log_follower_create(&follower);
	if (p->unread == NULL || p->follower == NULL)
		abort();
}

static void
create_metrics(struct claim_writer *w)
{
	struct metrics *m = w->opts.metrics;

	w->taken_total = metrics_counter(m, "claims_taken_total", "");
	w->appends_total = metrics_counter(m, "claim_appends_total", "");
	w->replays_total = metrics_counter(m, "claim_replays_total", "");
	w->unavailable_total =
	    metrics_counter(m, "claims_unavailable_total", "");
	w->landed_late_total =
	    metrics_counter(m, "claims_landed_late_total", "");
}

struct claim_writer *
claim_writer_create(const struct claim_writer_options *opts)
{
	struct claim_writer *w = calloc(1, sizeof(*w));
	struct timeval tv = { 0, TICK_US };
	struct claims_options claims = {
		.lifetime_us = opts->lifetime_us,
		.max_keys = opts->max_keys,
		.max_answer_bytes = opts->max_answer_bytes,
		.on_claim = on_claim,
		.ctx = w,
	};

	if (w == NULL)
		return NULL;
	w->opts = *opts;
	TAILQ_INIT(&w->ops);
	create_metrics(w);
	w->claims = claims_create(&claims);
	w->timer = evtimer_new(opts->base, on_timer, w);
	w->partitions = calloc(opts->partitions, sizeof(*w->partitions));
	if (w->claims == NULL || w->timer == NULL || w->partitions == NULL)
		abort();
	for (uint32_t i = 0; i < opts->partitions; i++)
		create_partition(w, &w->partitions[i], i);
	evtimer_add(w->timer, &tv);
	return w;
}

static void
destroy_partition(struct claim_writer *w, struct partition *p)
{
	struct pending_record *r;

	log_follower_destroy(p->follower);
	unread_answers_destroy(p->unread);
	TAILQ_CONCAT(&p->queued, &p->sent, link);
	while ((r = TAILQ_FIRST(&p->queued)) != NULL) {
		TAILQ_REMOVE(&p->queued, r, link);
		pending_record_free(w, r);
	}
}

void
claim_writer_destroy(struct claim_writer *w)
{
	struct claim_op *op;

	if (w == NULL)
		return;
	while ((op = TAILQ_FIRST(&w->ops)) != NULL) {
		TAILQ_REMOVE(&w->ops, op, link);
		free(op);
	}
	for (uint32_t i = 0; i < w->opts.partitions; i++)
		destroy_partition(w, &w->partitions[i]);
	free(w->partitions);
	event_free(w->timer);
	claims_destroy(w->claims);
	free(w);
}
