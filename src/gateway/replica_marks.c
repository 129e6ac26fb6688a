#include "gateway/replica_marks.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>

#include "common/clock.h"
#include "gateway/backends.h"

#define KEEP_US (600 * USEC_PER_SEC)
#define MARKS_MAX 4096 /* the oldest one is forgotten */

struct mark {
	char id[FLEET_ID_MAX];
	uint64_t born_ms;
	bool draining;
	int64_t gone_in_us;
	struct quiet quiet;
	struct backend_limit limit;
	int64_t until_us;
	TAILQ_ENTRY(mark) link;
};

struct replica_marks {
	TAILQ_HEAD(, mark) list; /* the oldest one first */
	unsigned count;
};

struct replica_marks *
replica_marks_create(void)
{
	struct replica_marks *m = calloc(1, sizeof(*m));

	if (m != NULL)
		TAILQ_INIT(&m->list);
	return m;
}

static void
remove_mark(struct replica_marks *m, struct mark *mark)
{
	TAILQ_REMOVE(&m->list, mark, link);
	m->count--;
	free(mark);
}

void
replica_marks_destroy(struct replica_marks *m)
{
	struct mark *mark;

	if (m == NULL)
		return;
	while ((mark = TAILQ_FIRST(&m->list)) != NULL)
		remove_mark(m, mark);
	free(m);
}

static void
drop_old(struct replica_marks *m, int64_t now_us)
{
	struct mark *mark;

	while ((mark = TAILQ_FIRST(&m->list)) != NULL &&
	       (mark->until_us <= now_us || m->count > MARKS_MAX))
		remove_mark(m, mark);
}

void
replica_marks_keep(
    struct replica_marks *m, const struct backend *b, int64_t now_us)
{
	struct mark *mark;

	if (!b->entry.state.draining && b->limit.per_s == 0 &&
	    quiet_wait_us(&b->quiet, now_us) == 0)
		return;
	mark = calloc(1, sizeof(*mark));
	if (mark == NULL)
		abort();
	strlcpy(mark->id, b->entry.id, sizeof(mark->id));
	mark->born_ms = b->entry.state.born_ms;
	mark->draining = b->entry.state.draining;
	mark->gone_in_us = b->entry.state.gone_in_us;
	mark->quiet = b->quiet;
	mark->limit = b->limit;
	mark->until_us = now_us + KEEP_US;
	TAILQ_INSERT_TAIL(&m->list, mark, link);
	m->count++;
	drop_old(m, now_us);
}

void
replica_marks_restore(
    struct replica_marks *m, struct backend *b, int64_t now_us)
{
	struct mark *mark, *next;

	drop_old(m, now_us);
	TAILQ_FOREACH_SAFE(mark, &m->list, link, next) {
		if (mark->born_ms != b->entry.state.born_ms ||
		    strcmp(mark->id, b->entry.id) != 0)
			continue;
		if (mark->draining)
			b->entry.state.gone_in_us = mark->gone_in_us;
		b->entry.state.draining |= mark->draining;
		b->quiet = mark->quiet;
		b->limit = mark->limit;
		remove_mark(m, mark);
	}
}
