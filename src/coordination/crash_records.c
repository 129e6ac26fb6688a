#include "coordination/crash_records.h"

#include <endian.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/process.h"
#include "coordination/crash_parts.h"
#include "coordination/keyed_feed.h"

#define POLL_US (25 * USEC_PER_SEC) /* longest wait of a read */
/*
 * Between reads and between appends.  When many replicas end at once every
 * gateway has losses, and each append wakes the reads of all.
 */
#define READ_PAUSE_US (600 * USEC_PER_MSEC)
#define SEND_PAUSE_US (500 * USEC_PER_MSEC)
#define SEND_RETRY_US (1 * USEC_PER_SEC)
#define SEND_MAX 128 /* records of one append */
#define QUEUE_MAX 1024 /* records to send */
#define KEY_SIZE 34 /* bytes, with the NUL */

static const char trials_suffix[] = "trials";

/* Values of records, in network byte order. */
struct loss_value {
	uint64_t request; /* hash of it as a whole */
	uint32_t position; /* of the part in the prompt, from 0; and BEGUN */
} __attribute__((packed));

#define BEGUN 0x80000000U /* its answer had begun */

struct trials_value {
	uint32_t trials;
} __attribute__((packed));

/* A record that has not been sent yet. */
struct outgoing {
	char key[KEY_SIZE];
	uint64_t part;
	unsigned char value[sizeof(struct loss_value)];
	size_t len; /* 0: deletes the key */
	int64_t due_us;
	bool sending;
	TAILQ_ENTRY(outgoing) link;
};

struct crash_records {
	struct crash_records_options opts;
	struct keyed_feed *feed;
	TAILQ_HEAD(, outgoing) outgoing;
	unsigned outgoing_count;
	bool sending;
	int64_t send_us; /* earliest next append */
};

static int64_t
now_us(const struct crash_records *cr)
{
	return clock_now(cr->opts.process->clock);
}

static void
format_key(char key[KEY_SIZE], uint64_t part, uint64_t incarnation)
{
	snprintf(
	    key, KEY_SIZE, "%016" PRIx64 ".%016" PRIx64, part, incarnation);
}

static void
format_trials_key(char key[KEY_SIZE], uint64_t part)
{
	snprintf(key, KEY_SIZE, "%016" PRIx64 ".%s", part, trials_suffix);
}

/* ---- records to send ---- */

static void
outgoing_remove(struct crash_records *cr, struct outgoing *o)
{
	TAILQ_REMOVE(&cr->outgoing, o, link);
	cr->outgoing_count--;
	free(o);
}

static void
outgoing_add(struct crash_records *cr, uint64_t part, const char *key,
    const void *value, size_t len, int64_t delay_us)
{
	struct outgoing *o;

	if (cr->outgoing_count == QUEUE_MAX) {
		log_warn(cr->opts.process->logger, "crash record dropped",
		    LF_I("waiting", cr->outgoing_count));
		return;
	}
	o = calloc(1, sizeof(*o));
	if (o == NULL)
		abort();
	memcpy(o->key, key, strlen(key) + 1);
	o->part = part;
	if (len > 0)
		memcpy(o->value, value, len);
	o->len = len;
	o->due_us = now_us(cr) + delay_us;
	TAILQ_INSERT_TAIL(&cr->outgoing, o, link);
	cr->outgoing_count++;
}

void
crash_records_add_loss(struct crash_records *cr, const struct crash_loss *loss)
{
	struct loss_value value = { .request = htobe64(loss->request),
		.position =
		    htobe32(loss->position | (loss->begun ? BEGUN : 0)) };
	char key[KEY_SIZE];

	format_key(key, loss->part, loss->incarnation);
	outgoing_add(cr, loss->part, key, &value, sizeof(value), 0);
}

void
crash_records_delete_loss(struct crash_records *cr, uint64_t part,
    uint64_t incarnation, int64_t delay_us)
{
	char key[KEY_SIZE];

	format_key(key, part, incarnation);
	outgoing_add(cr, part, key, NULL, 0, delay_us);
}

void
crash_records_delete_trials(struct crash_records *cr, uint64_t part)
{
	char key[KEY_SIZE];

	format_trials_key(key, part);
	outgoing_add(cr, part, key, NULL, 0, 0);
}

void
crash_records_drop_losses(struct crash_records *cr, uint64_t part)
{
	struct outgoing *o, *next;

	TAILQ_FOREACH_SAFE(o, &cr->outgoing, link, next) {
		if (o->part == part && o->len > 0 && !o->sending)
			outgoing_remove(cr, o);
	}
}

/* Another gateway has deleted the key. */
static void
drop_deletion(struct crash_records *cr, const char *key)
{
	struct outgoing *o, *next;

	TAILQ_FOREACH_SAFE(o, &cr->outgoing, link, next) {
		if (o->len == 0 && !o->sending && strcmp(o->key, key) == 0)
			outgoing_remove(cr, o);
	}
}

static void
on_sent(void *ctx, const struct fleet_batch *batch)
{
	struct crash_records *cr = ctx;
	struct outgoing *o, *next;
	bool ok = batch->status == FLEET_OK;

	cr->sending = false;
	cr->send_us = now_us(cr) + (ok ? SEND_PAUSE_US : SEND_RETRY_US);
	TAILQ_FOREACH_SAFE(o, &cr->outgoing, link, next) {
		if (!o->sending)
			continue;
		o->sending = false;
		if (ok)
			outgoing_remove(cr, o);
	}
}

void
crash_records_send(struct crash_records *cr)
{
	struct fleet_record records[SEND_MAX];
	int64_t now = now_us(cr);
	size_t count = 0;
	struct outgoing *o;

	if (cr->sending || now < cr->send_us)
		return;
	TAILQ_FOREACH(o, &cr->outgoing, link) {
		if (now < o->due_us || count == SEND_MAX)
			continue;
		o->sending = true;
		records[count++] = (struct fleet_record){ .key = o->key,
			.key_len = strlen(o->key),
			.value = o->value,
			.len = o->len };
	}
	if (count == 0)
		return;
	cr->sending = true;
	cr->opts.ops->append(cr->opts.store, FLEET_CRASHES, FLEET_ANY_OFFSET,
	    records, count, on_sent, cr);
}

/* ---- claims of trials ---- */

static void
on_claimed(void *ctx, const struct fleet_batch *batch)
{
	struct crash_records *cr = ctx;

	cr->opts.claimed(cr->opts.ctx, batch->status == FLEET_OK);
}

void
crash_records_claim(struct crash_records *cr, uint64_t part, unsigned trials)
{
	struct trials_value value = { .trials = htobe32(trials) };
	char key[KEY_SIZE];
	struct fleet_record record = { .key = key,
		.value = (unsigned char *)&value,
		.len = sizeof(value) };

	format_trials_key(key, part);
	record.key_len = strlen(key);
	cr->opts.ops->append(cr->opts.store, FLEET_CRASHES,
	    keyed_feed_next_offset(cr->feed), &record, 1, on_claimed, cr);
}

/* ---- records of all gateways ---- */

/* Returns false if it is not a key of this software. */
static bool
parse_key(const struct fleet_record *r, char key[KEY_SIZE], uint64_t *part,
    const char **suffix)
{
	char *end;

	if (r->key_len >= KEY_SIZE)
		return false;
	memcpy(key, r->key, r->key_len);
	key[r->key_len] = '\0';
	*part = strtoull(key, &end, 16);
	if (end != key + 16 || *end != '.')
		return false;
	*suffix = end + 1;
	return true;
}

static void
read_loss(struct crash_records *cr, uint64_t part, const char *suffix,
    const unsigned char *data)
{
	struct crash_loss loss = { .part = part,
		.incarnation = strtoull(suffix, NULL, 16) };
	struct loss_value value;

	memcpy(&value, data, sizeof(value));
	loss.request = be64toh(value.request);
	loss.position = be32toh(value.position) & ~BEGUN;
	loss.begun = (be32toh(value.position) & BEGUN) != 0;
	cr->opts.lost(cr->opts.ctx, &loss);
}

static void
on_record(void *ctx, const struct fleet_record *r)
{
	struct crash_records *cr = ctx;
	struct trials_value trials;
	char key[KEY_SIZE];
	const char *suffix;
	uint64_t part;

	if (!parse_key(r, key, &part, &suffix))
		return;
	if (r->len == 0) {
		drop_deletion(cr, key);
		crash_records_drop_losses(cr, part);
		cr->opts.cleared(cr->opts.ctx, part);
	} else if (strcmp(suffix, trials_suffix) == 0 &&
		   r->len == sizeof(trials)) {
		memcpy(&trials, r->value, sizeof(trials));
		cr->opts.tried(cr->opts.ctx, part, be32toh(trials.trials));
	} else if (r->len == sizeof(struct loss_value)) {
		read_loss(cr, part, suffix, r->value);
	}
}

/* What the store no longer has stays known, until it is cleared. */
static void
ignore_snapshot(void *ctx)
{
}

bool
crash_records_reachable(const struct crash_records *cr)
{
	return keyed_feed_contact_since(cr->feed) != -1;
}

void
crash_records_read_again(struct crash_records *cr)
{
	keyed_feed_read_again(cr->feed);
}

struct crash_records *
crash_records_create(const struct crash_records_options *opts)
{
	struct crash_records *cr = calloc(1, sizeof(*cr));
	struct keyed_feed_options feed = {
		.process = opts->process,
		.ops = opts->ops,
		.store = opts->store,
		.topic = FLEET_CRASHES,
		.name = "crashes",
		.poll_us = POLL_US,
		.pause_us = READ_PAUSE_US,
		.record = on_record,
		.snapshot_begin = ignore_snapshot,
		.snapshot_end = ignore_snapshot,
		.ctx = cr,
	};

	if (cr == NULL)
		return NULL;
	cr->opts = *opts;
	TAILQ_INIT(&cr->outgoing);
	cr->feed = keyed_feed_create(&feed);
	if (cr->feed != NULL)
		return cr;
	free(cr);
	return NULL;
}

void
crash_records_destroy(struct crash_records *cr)
{
	struct outgoing *o;

	if (cr == NULL)
		return;
	keyed_feed_destroy(cr->feed);
	while ((o = TAILQ_FIRST(&cr->outgoing)) != NULL)
		outgoing_remove(cr, o);
	free(cr);
}
