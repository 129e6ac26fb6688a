#include "coordination/accounts/quota_meter.h"

#include <math.h>
#include <stdlib.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <uthash.h>

#include "common/clock.h"
#include "coordination/accounts/quota_window.h"
#include "state/accounts.h"

#define ENTRIES_MAX 65536 /* accounts; requests of further ones are refused */
/* Entries without use that are dropped for each new one. */
#define DROPS_PER_ENTRY 2
#define REFUSED_WAIT_US (1 * USEC_PER_SEC)
/*
 * A version that nobody has stated for so long may be gone with the store's
 * last records; a lower one then counts.
 */
#define VERSION_EXPIRY_US (10 * USEC_PER_SEC)

struct quota_entry {
	char account[ACCOUNT_NAME_MAX];
	uint64_t version;
	int64_t version_us; /* when it was last stated */
	int64_t limit_us; /* when the limit, or a smaller one, was */
	struct quota_window window;
	TAILQ_ENTRY(quota_entry) link; /* the least recently used first */
	UT_hash_handle hh;
};

struct quota_meter {
	int64_t created_us;
	struct quota_entry *entries;
	TAILQ_HEAD(, quota_entry) by_use;
};

struct quota_meter *
quota_meter_create(int64_t now_us)
{
	struct quota_meter *m = calloc(1, sizeof(*m));

	if (m == NULL)
		abort();
	m->created_us = now_us;
	TAILQ_INIT(&m->by_use);
	return m;
}

static void
remove_entry(struct quota_meter *m, struct quota_entry *e)
{
	HASH_DEL(m->entries, e);
	TAILQ_REMOVE(&m->by_use, e, link);
	free(e);
}

void
quota_meter_destroy(struct quota_meter *m)
{
	struct quota_entry *e;

	if (m == NULL)
		return;
	while ((e = TAILQ_FIRST(&m->by_use)) != NULL)
		remove_entry(m, e);
	free(m);
}

size_t
quota_meter_count(const struct quota_meter *m)
{
	return HASH_COUNT(m->entries);
}

static struct quota_entry *
find_entry(const struct quota_meter *m, const char *account)
{
	struct quota_entry *e;

	HASH_FIND_STR(m->entries, account, e);
	return e;
}

static void
drop_unused(struct quota_meter *m, int64_t now_us)
{
	for (int i = 0; i < DROPS_PER_ENTRY; i++) {
		struct quota_entry *e = TAILQ_FIRST(&m->by_use);

		if (e == NULL || quota_window_used(&e->window, now_us) > 0)
			return;
		remove_entry(m, e);
	}
}

static struct quota_entry *
add_entry(struct quota_meter *m, const struct quota_take *t, int64_t now_us)
{
	struct quota_entry *e;

	drop_unused(m, now_us);
	if (HASH_COUNT(m->entries) >= ENTRIES_MAX)
		return NULL;
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		abort();
	strlcpy(e->account, t->account, sizeof(e->account));
	e->version = t->version;
	quota_window_init(&e->window, t->limit, t->window_us, now_us);
	HASH_ADD_STR(m->entries, account, e);
	TAILQ_INSERT_TAIL(&m->by_use, e, link);
	return e;
}

static void
update_version(
    struct quota_entry *e, const struct quota_take *t, int64_t now_us)
{
	if (t->version < e->version &&
	    now_us - e->version_us < VERSION_EXPIRY_US)
		return;
	if (t->version != e->version || t->limit <= e->window.limit ||
	    now_us - e->limit_us >= e->window.window_us) {
		quota_window_set(&e->window, t->limit, t->window_us, now_us);
		e->limit_us = now_us;
	}
	e->version = t->version;
	e->version_us = now_us;
}

static bool
is_valid(const struct quota_take *t)
{
	return isfinite(t->limit) && t->limit >= 0 && t->window_us > 0 &&
	       isfinite(t->amount) && t->amount >= 0 &&
	       strlen(t->account) < ACCOUNT_NAME_MAX;
}

/* Of the limit, since this process started. */
static double
usable_share(const struct quota_meter *m, int64_t window_us, int64_t now_us)
{
	int64_t age_us = now_us - m->created_us;

	return age_us >= window_us ? 1 : (double)age_us / (double)window_us;
}

struct quota_grant
quota_meter_take(
    struct quota_meter *m, const struct quota_take *t, int64_t now_us)
{
	struct quota_grant grant = { false, REFUSED_WAIT_US };
	struct quota_entry *e;

	if (!is_valid(t))
		return grant;
	e = find_entry(m, t->account);
	if (e == NULL)
		e = add_entry(m, t, now_us);
	if (e == NULL)
		return grant;
	update_version(e, t, now_us);
	TAILQ_REMOVE(&m->by_use, e, link);
	TAILQ_INSERT_TAIL(&m->by_use, e, link);
	grant.granted = quota_window_take(&e->window, t->amount,
	    usable_share(m, e->window.window_us, now_us), now_us,
	    &grant.wait_us);
	return grant;
}

void
quota_meter_return(
    struct quota_meter *m, const char *account, double amount, int64_t now_us)
{
	struct quota_entry *e = find_entry(m, account);

	if (e != NULL && isfinite(amount) && amount > 0)
		quota_window_return(&e->window, amount, now_us);
}
