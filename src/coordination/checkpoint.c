#include "coordination/checkpoint.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>
#include <xxhash.h>

#define PARTIALS_MAX 4 /* incomplete checkpoints kept, the newest ones */
#define CHUNKS_MAX 1024 /* of a checkpoint; with more it is malformed */

struct chunk_buf {
	bool present; /* the chunk was read */
	char *data; /* NULL unless the reader keeps data */
	size_t len;
};

/* A checkpoint of which some chunks were read. */
struct partial {
	/* What all its chunks share: id, position, count and digest. */
	struct tm_checkpoint_chunk header;
	struct chunk_buf *chunks; /* header.count, by index */
	uint32_t received; /* distinct chunks */
	TAILQ_ENTRY(partial) link;
};

struct checkpoint_reader {
	bool keep_data;
	TAILQ_HEAD(partial_list, partial) partials; /* newest first */
	unsigned count; /* of partials */
	char *joined; /* data of the last complete checkpoint, or NULL */
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
	for (uint32_t i = 0; i < p->header.count; i++)
		free(p->chunks[i].data);
	free(p->chunks);
	free(p);
}

void
checkpoint_reader_reset(struct checkpoint_reader *r, bool keep_data)
{
	struct partial *p, *next;

	TAILQ_FOREACH_SAFE(p, &r->partials, link, next)
		partial_remove(r, p);
	free(r->joined);
	r->joined = NULL;
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
	p->header = *chunk;
	p->header.data.data_val = NULL;
	p->chunks = calloc(chunk->count, sizeof(*p->chunks));
	if (p->chunks == NULL)
		abort();
	if (r->count == PARTIALS_MAX)
		partial_remove(r, TAILQ_LAST(&r->partials, partial_list));
	TAILQ_INSERT_HEAD(&r->partials, p, link);
	r->count++;
	return p;
}

static struct partial *
partial_find_or_add(
    struct checkpoint_reader *r, const struct tm_checkpoint_chunk *chunk)
{
	struct partial *p;

	TAILQ_FOREACH(p, &r->partials, link) {
		if (memcmp(p->header.id, chunk->id, TM_ID_SIZE) == 0)
			return p;
	}
	return partial_add(r, chunk);
}

static void
partial_add_chunk(struct checkpoint_reader *r, struct partial *p,
    const struct tm_checkpoint_chunk *chunk)
{
	struct chunk_buf *buf = &p->chunks[chunk->index];

	if (buf->present)
		return;
	buf->present = true;
	buf->len = chunk->data.data_len;
	p->received++;
	if (!r->keep_data)
		return;
	buf->data = malloc(buf->len + 1);
	if (buf->data == NULL)
		abort();
	memcpy(buf->data, chunk->data.data_val, buf->len);
}

static size_t
join_chunks(struct checkpoint_reader *r, const struct partial *p)
{
	size_t len = 0, pos = 0;

	for (uint32_t i = 0; i < p->header.count; i++)
		len += p->chunks[i].len;
	r->joined = malloc(len + 1);
	if (r->joined == NULL)
		abort();
	for (uint32_t i = 0; i < p->header.count; i++) {
		memcpy(r->joined + pos, p->chunks[i].data, p->chunks[i].len);
		pos += p->chunks[i].len;
	}
	return len;
}

bool
checkpoint_reader_add(struct checkpoint_reader *r,
    const struct tm_checkpoint_chunk *chunk, struct checkpoint *out)
{
	struct partial *p;
	bool valid = true;

	free(r->joined);
	r->joined = NULL;
	if (chunk->count == 0 || chunk->count > CHUNKS_MAX ||
	    chunk->index >= chunk->count)
		return false;
	p = partial_find_or_add(r, chunk);
	if (p->header.count != chunk->count ||
	    p->header.digest != chunk->digest ||
	    p->header.position != chunk->position)
		return false;
	partial_add_chunk(r, p, chunk);
	if (p->received < p->header.count)
		return false;
	out->position = p->header.position;
	out->len = 0;
	if (r->keep_data) {
		out->len = join_chunks(r, p);
		valid = XXH3_64bits(r->joined, out->len) == p->header.digest;
	}
	out->data = r->joined;
	partial_remove(r, p);
	return valid;
}

/* ---- schedule ---- */

/*
 * The log's retention is not known here.  So the newest checkpoint's position
 * is kept in the newer half of the log: the writer has as long to replace it as
 * the log takes to drop the older half.
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
