#include "coordination/limit_meter.h"

#include <stdlib.h>

#include <bsd/string.h>
#include <uthash.h>

#include "common/clock.h"
#include "coordination/rate_limit.h"
#include "protocol/fleet.h"

#define ENTRIES_MAX 256 /* the one that was used least recently is dropped */

struct limit_entry {
	char id[FLEET_ID_MAX]; /* of the replica */
	struct limit_update update; /* its replica is the id above */
	/* Until then another meter may have placed requests. */
	int64_t other_us;
	struct rate_limit rate;
	int64_t used_us; /* last update or request */
	UT_hash_handle hh;
};

struct limit_meter {
	int64_t created_us;
	struct limit_entry *entries;
};

struct limit_meter *
limit_meter_create(int64_t now_us)
{
	struct limit_meter *m = calloc(1, sizeof(*m));

	if (m != NULL)
		m->created_us = now_us;
	return m;
}

static void
remove_entry(struct limit_meter *m, struct limit_entry *e)
{
	HASH_DEL(m->entries, e);
	free(e);
}

void
limit_meter_destroy(struct limit_meter *m)
{
	struct limit_entry *e, *next;

	if (m == NULL)
		return;
	HASH_ITER(hh, m->entries, e, next)
		remove_entry(m, e);
	free(m);
}

static void
drop_oldest(struct limit_meter *m)
{
	struct limit_entry *e, *next, *oldest = NULL;

	HASH_ITER(hh, m->entries, e, next) {
		if (oldest == NULL || e->used_us < oldest->used_us)
			oldest = e;
	}
	if (oldest != NULL)
		remove_entry(m, oldest);
}

/* other_us: of a new entry. */
static struct limit_entry *
get_entry(
    struct limit_meter *m, const struct limit_update *update, int64_t other_us)
{
	struct limit_entry *e;

	HASH_FIND_STR(m->entries, update->replica, e);
	if (e != NULL)
		return e;
	if (HASH_COUNT(m->entries) == ENTRIES_MAX)
		drop_oldest(m);
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		abort();
	strlcpy(e->id, update->replica, sizeof(e->id));
	e->update.replica = e->id;
	e->update.seen_us = INT64_MIN;
	e->other_us = other_us;
	HASH_ADD_STR(m->entries, id, e);
	return e;
}

static bool
is_newer(const struct limit_update *a, const struct limit_update *b)
{
	if (a->born_ms != b->born_ms)
		return a->born_ms > b->born_ms;
	return a->seen_us > b->seen_us;
}

static bool
note(struct limit_entry *e, const struct limit_update *update, int64_t now_us)
{
	bool changed = e->update.per_s != update->per_s;

	e->used_us = now_us;
	if (!is_newer(update, &e->update))
		return false;
	e->update = *update;
	e->update.replica = e->id;
	if (update->per_s > 0)
		rate_limit_set(&e->rate, update->per_s, now_us,
		    e->other_us + RATE_LIMIT_AHEAD_US);
	return changed;
}

bool
limit_meter_note(
    struct limit_meter *m, const struct limit_update *update, int64_t now_us)
{
	return note(get_entry(m, update, m->created_us), update, now_us);
}

/*
 * A gateway that learns a limit reports it before it asks for a place.  If it
 * asks for one under a limit that is not known here, another meter has placed
 * requests until now.
 */
struct limit_place
limit_meter_take(struct limit_meter *m, const struct limit_update *update,
    int64_t now_us, int64_t ahead_us)
{
	struct limit_entry *e = get_entry(m, update, now_us);
	struct limit_place p = { .granted = true, .at_us = now_us };

	p.changed = note(e, update, now_us);
	p.newest = e->update;
	if (e->update.per_s > 0)
		p.granted =
		    rate_limit_take(&e->rate, now_us, ahead_us, &p.at_us);
	return p;
}

void
limit_meter_list(const struct limit_meter *m,
    void (*each)(void *ctx, const struct limit_update *), void *ctx)
{
	struct limit_entry *e, *next;

	HASH_ITER(hh, m->entries, e, next) {
		if (e->update.per_s > 0)
			each(ctx, &e->update);
	}
}
