#include "coordination/permits.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>

#include "common/clock.h"

#define NAME_SIZE 128
#define RETRY_US (50 * USEC_PER_MSEC) /* for each request ahead */
#define RETRY_MAX_US (1 * USEC_PER_SEC)
#define ENTRIES_MAX 10000

/* A request, from its arrival until its permit is returned. */
struct permit_entry {
	uint64_t permit; /* id; 0: waiting */
	char runner[NAME_SIZE];
	char model[NAME_SIZE];
	bool adapter;
	unsigned rank_order;
	int64_t deadline_us;
	int64_t requested_us; /* last time */
	int64_t granted_us;
	TAILQ_ENTRY(permit_entry) link;
};

struct permits {
	struct permits_options opts;
	uint64_t next_permit;
	double tokens; /* token bucket of model loads */
	int64_t refilled_us;
	unsigned count; /* of entries */
	unsigned in_transit[2]; /* models, adapters */
	TAILQ_HEAD(, permit_entry) entries;
};

struct permits *
permits_create(const struct permits_options *opts)
{
	struct permits *p = calloc(1, sizeof(*p));

	if (p == NULL)
		abort();
	p->opts = *opts;
	p->next_permit = 1;
	/* No tokens yet: loads that the last holder granted may still run. */
	p->refilled_us = opts->now_us;
	TAILQ_INIT(&p->entries);
	return p;
}

static void
remove_entry(struct permits *p, struct permit_entry *e)
{
	if (e->permit != 0)
		p->in_transit[e->adapter]--;
	TAILQ_REMOVE(&p->entries, e, link);
	p->count--;
	free(e);
}

void
permits_destroy(struct permits *p)
{
	struct permit_entry *e, *next;

	if (p == NULL)
		return;
	TAILQ_FOREACH_SAFE(e, &p->entries, link, next)
		remove_entry(p, e);
	free(p);
}

static void
drop_expired(struct permits *p, int64_t now_us)
{
	struct permit_entry *e, *next;

	TAILQ_FOREACH_SAFE(e, &p->entries, link, next) {
		if (e->permit != 0
			? now_us - e->granted_us > p->opts.permit_expiry_us
			: now_us - e->requested_us > p->opts.request_expiry_us)
			remove_entry(p, e);
	}
}

static void
refill(struct permits *p, int64_t now_us)
{
	double more = (double)(now_us - p->refilled_us) / USEC_PER_SEC *
		      p->opts.loads_per_sec;

	p->tokens += more;
	if (p->tokens > p->opts.max_loads)
		p->tokens = p->opts.max_loads;
	p->refilled_us = now_us;
}

static struct permit_entry *
find_entry(struct permits *p, const struct permit_request *req)
{
	struct permit_entry *e;

	TAILQ_FOREACH(e, &p->entries, link) {
		if (e->adapter == req->adapter &&
		    strcmp(e->runner, req->runner) == 0 &&
		    strcmp(e->model, req->model) == 0)
			return e;
	}
	return NULL;
}

static struct permit_entry *
add_entry(struct permits *p, const struct permit_request *req)
{
	struct permit_entry *e;

	if (p->count >= ENTRIES_MAX)
		return NULL;
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		abort();
	strlcpy(e->runner, req->runner, sizeof(e->runner));
	strlcpy(e->model, req->model, sizeof(e->model));
	e->adapter = req->adapter;
	TAILQ_INSERT_TAIL(&p->entries, e, link);
	p->count++;
	return e;
}

static bool
precedes(const struct permit_entry *a, const struct permit_entry *b)
{
	if (a->rank_order != b->rank_order)
		return a->rank_order < b->rank_order;
	return a->deadline_us < b->deadline_us;
}

/* Waiting entries of the same kind that are granted before this one. */
static unsigned
count_ahead(const struct permits *p, const struct permit_entry *entry)
{
	const struct permit_entry *e;
	unsigned ahead = 0;

	TAILQ_FOREACH(e, &p->entries, link) {
		ahead += e != entry && e->permit == 0 &&
			 e->adapter == entry->adapter && precedes(e, entry);
	}
	return ahead;
}

static unsigned
free_capacity(const struct permits *p, bool adapter)
{
	unsigned max = adapter ? p->opts.max_adapters : p->opts.max_loads;
	unsigned used = p->in_transit[adapter];
	unsigned left = max > used ? max - used : 0;

	/* Adapters are small: only their number in transit is limited. */
	if (!adapter && p->tokens < left)
		left = (unsigned)p->tokens;
	return left;
}

static int64_t
retry_after(const struct permits *p, unsigned ahead)
{
	int64_t us = RETRY_US * (1 + (int64_t)ahead);

	return us < RETRY_MAX_US ? us : RETRY_MAX_US;
}

struct permit_reply
permits_request(
    struct permits *p, const struct permit_request *req, int64_t now_us)
{
	struct permit_reply reply = { .retry_us = RETRY_MAX_US };
	struct permit_entry *e;
	unsigned ahead;

	drop_expired(p, now_us);
	refill(p, now_us);
	e = find_entry(p, req);
	if (e == NULL)
		e = add_entry(p, req);
	if (e == NULL)
		return reply;
	e->requested_us = now_us;
	e->rank_order = req->rank_order;
	e->deadline_us = req->deadline_us;
	if (e->permit == 0) {
		ahead = count_ahead(p, e);
		reply.retry_us = retry_after(p, ahead);
		if (ahead >= free_capacity(p, e->adapter))
			return reply;
		e->permit = p->next_permit++;
		p->in_transit[e->adapter]++;
		if (!e->adapter)
			p->tokens--;
	}
	/* Renews the permit if the agent lost the reply or was restarted. */
	e->granted_us = now_us;
	reply.permit = e->permit;
	reply.retry_us = 0;
	return reply;
}

void
permits_return(struct permits *p, uint64_t permit)
{
	struct permit_entry *e, *next;

	TAILQ_FOREACH_SAFE(e, &p->entries, link, next) {
		if (permit != 0 && e->permit == permit)
			remove_entry(p, e);
	}
}

unsigned
permits_in_transit(const struct permits *p, bool adapters)
{
	return p->in_transit[adapters];
}
