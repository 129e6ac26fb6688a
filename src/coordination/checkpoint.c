#include "coordination/checkpoint.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>
#include <xxhash.h>

#define PARTIAL_MAX 4 /* unfinished checkpoints that a reader remembers */
#define CHUNKS_MAX 1024

struct part {
	bool present;
	char *data;
	size_t len;
};

struct partial {
	struct tm_checkpoint_chunk head; /* without its data */
	struct part *parts;
	uint32_t present;
	TAILQ_ENTRY(partial) link;
};

struct checkpoint_reader {
	bool keep_data;
	TAILQ_HEAD(partial_list, partial) partials; /* newest first */
	unsigned count;
	char *whole;
};

struct checkpoint_reader *
checkpoint_reader_create(void)
{
	struct checkpoint_reader *r = calloc(1, sizeof(*r));

	if (r == NULL)
		abort();
	TAILQ_INIT(&r->partials);
	return r;
}

static void
partial_remove(struct checkpoint_reader *r, struct partial *p)
{
	TAILQ_REMOVE(&r->partials, p, link);
	r->count--;
	for (uint32_t i = 0; i < p->head.count; i++)
		free(p->parts[i].data);
	free(p->parts);
	free(p);
}

void
checkpoint_reader_reset(struct checkpoint_reader *r, bool keep_data)
{
	struct partial *p, *next;

	TAILQ_FOREACH_SAFE(p, &r->partials, link, next)
		partial_remove(r, p);
	free(r->whole);
	r->whole = NULL;
	r->keep_data = keep_data;
}

void
checkpoint_reader_destroy(struct checkpoint_reader *r)
{
	if (r == NULL)
		return;
	checkpoint_reader_reset(r, false);
	free(r);
}

static struct partial *
partial_add(
    struct checkpoint_reader *r, const struct tm_checkpoint_chunk *chunk)
{
	struct partial *p = calloc(1, sizeof(*p));

	if (p == NULL)
		abort();
	p->head = *chunk;
	p->head.data.data_val = NULL;
	p->parts = calloc(chunk->count, sizeof(*p->parts));
	if (p->parts == NULL)
		abort();
	if (r->count == PARTIAL_MAX)
		partial_remove(r, TAILQ_LAST(&r->partials, partial_list));
	TAILQ_INSERT_HEAD(&r->partials, p, link);
	r->count++;
	return p;
}

static struct partial *
partial_find(
    struct checkpoint_reader *r, const struct tm_checkpoint_chunk *chunk)
{
	struct partial *p;

	TAILQ_FOREACH(p, &r->partials, link) {
		if (memcmp(p->head.id, chunk->id, TM_ID_SIZE) == 0)
			return p;
	}
	return partial_add(r, chunk);
}

static void
take_part(struct checkpoint_reader *r, struct partial *p,
    const struct tm_checkpoint_chunk *chunk)
{
	struct part *part = &p->parts[chunk->index];

	if (part->present)
		return;
	part->present = true;
	part->len = chunk->data.data_len;
	p->present++;
	if (!r->keep_data)
		return;
	part->data = malloc(part->len + 1);
	if (part->data == NULL)
		abort();
	memcpy(part->data, chunk->data.data_val, part->len);
}

static size_t
join_parts(struct checkpoint_reader *r, const struct partial *p)
{
	size_t len = 0, at = 0;

	for (uint32_t i = 0; i < p->head.count; i++)
		len += p->parts[i].len;
	r->whole = malloc(len + 1);
	if (r->whole == NULL)
		abort();
	for (uint32_t i = 0; i < p->head.count; i++) {
		memcpy(r->whole + at, p->parts[i].data, p->parts[i].len);
		at += p->parts[i].len;
	}
	return len;
}

bool
checkpoint_reader_add(struct checkpoint_reader *r,
    const struct tm_checkpoint_chunk *chunk, struct checkpoint *out)
{
	struct partial *p;
	bool sound = true;

	free(r->whole);
	r->whole = NULL;
	if (chunk->count == 0 || chunk->count > CHUNKS_MAX ||
	    chunk->index >= chunk->count)
		return false;
	p = partial_find(r, chunk);
	if (p->head.count != chunk->count || p->head.digest != chunk->digest ||
	    p->head.position != chunk->position)
		return false;
	take_part(r, p, chunk);
	if (p->present < p->head.count)
		return false;
	out->position = p->head.position;
	out->len = 0;
	if (r->keep_data) {
		out->len = join_parts(r, p);
		sound = XXH3_64bits(r->whole, out->len) == p->head.digest;
	}
	out->data = r->whole;
	partial_remove(r, p);
	return sound;
}

/* ---- when ---- */

/*
 * The newest checkpoint is kept in the newer half of what the log keeps: the
 * writer has the other half's time to replace it, whatever the retention is.
 */
bool
checkpoint_due(const struct checkpoint_policy *policy,
    const struct checkpoint_state *s, int64_t now_us)
{
	if (s->end <= 1)
		return false;
	if (s->end - s->checkpoint_position >= policy->max_records ||
	    now_us - s->checkpoint_us >= policy->max_age_us)
		return true;
	if (s->first <= 1)
		return false;
	return s->checkpoint_position < s->first + (s->end - s->first) / 2;
}
