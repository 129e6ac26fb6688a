#include "coordination/permits.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>

#include "common/clock.h"

#define NAME_MAX_LEN 128
#define RETRY_US (50 * USEC_PER_MSEC)
#define RETRY_MAX_US (1 * USEC_PER_SEC)
#define WAITING_MAX 10000

/* An agent's wish, from the first ask until the permit is back. */
struct wish {
	uint64_t permit; /* 0: waiting */
	char runner[NAME_MAX_LEN];
	char model[NAME_MAX_LEN];
	bool adapter;
	unsigned rank_order;
	int64_t deadline_us;
	int64_t asked_us; /* the last time */
	int64_t granted_us;
	TAILQ_ENTRY(wish) link;
};

struct permits {
	struct permits_options opts;
	uint64_t next_permit;
	double tokens; /* of the rate */
	int64_t filled_us;
	unsigned count;
	unsigned in_transit[2]; /* models, adapters */
	TAILQ_HEAD(, wish) wishes;
};

struct permits *
permits_create(const struct permits_options *opts)
{
	struct permits *p = calloc(1, sizeof(*p));

	if (p == NULL)
		abort();
	p->opts = *opts;
	p->next_permit = 1;
	/* What an earlier holder granted may still be in transit. */
	p->filled_us = opts->now_us;
	TAILQ_INIT(&p->wishes);
	return p;
}

static void
wish_remove(struct permits *p, struct wish *w)
{
	if (w->permit != 0)
		p->in_transit[w->adapter]--;
	TAILQ_REMOVE(&p->wishes, w, link);
	p->count--;
	free(w);
}

void
permits_destroy(struct permits *p)
{
	struct wish *w, *next;

	if (p == NULL)
		return;
	TAILQ_FOREACH_SAFE(w, &p->wishes, link, next)
		wish_remove(p, w);
	free(p);
}

static void
drop_expired(struct permits *p, int64_t now_us)
{
	struct wish *w, *next;

	TAILQ_FOREACH_SAFE(w, &p->wishes, link, next) {
		if (w->permit != 0
			? now_us - w->granted_us > p->opts.permit_expiry_us
			: now_us - w->asked_us > p->opts.request_expiry_us)
			wish_remove(p, w);
	}
}

static void
refill(struct permits *p, int64_t now_us)
{
	double more = (double)(now_us - p->filled_us) / USEC_PER_SEC *
		      p->opts.loads_per_sec;

	p->tokens += more;
	if (p->tokens > p->opts.max_loads)
		p->tokens = p->opts.max_loads;
	p->filled_us = now_us;
}

static struct wish *
find_wish(struct permits *p, const struct permit_request *ask)
{
	struct wish *w;

	TAILQ_FOREACH(w, &p->wishes, link) {
		if (w->adapter == ask->adapter &&
		    strcmp(w->runner, ask->runner) == 0 &&
		    strcmp(w->model, ask->model) == 0)
			return w;
	}
	return NULL;
}

static struct wish *
add_wish(struct permits *p, const struct permit_request *ask)
{
	struct wish *w;

	if (p->count >= WAITING_MAX)
		return NULL;
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		abort();
	strlcpy(w->runner, ask->runner, sizeof(w->runner));
	strlcpy(w->model, ask->model, sizeof(w->model));
	w->adapter = ask->adapter;
	TAILQ_INSERT_TAIL(&p->wishes, w, link);
	p->count++;
	return w;
}

static bool
goes_before(const struct wish *a, const struct wish *b)
{
	if (a->rank_order != b->rank_order)
		return a->rank_order < b->rank_order;
	return a->deadline_us < b->deadline_us;
}

/* Wishes of the same kind that go before this one. */
static unsigned
count_before(const struct permits *p, const struct wish *wish)
{
	const struct wish *w;
	unsigned before = 0;

	TAILQ_FOREACH(w, &p->wishes, link) {
		before += w != wish && w->permit == 0 &&
			  w->adapter == wish->adapter && goes_before(w, wish);
	}
	return before;
}

static unsigned
places_left(const struct permits *p, bool adapter)
{
	unsigned max = adapter ? p->opts.max_adapters : p->opts.max_loads;
	unsigned used = p->in_transit[adapter];
	unsigned left = max > used ? max - used : 0;

	/* Adapters are small, and bounded by their number only. */
	if (!adapter && p->tokens < left)
		left = (unsigned)p->tokens;
	return left;
}

static int64_t
retry_after(const struct permits *p, unsigned before)
{
	int64_t us = RETRY_US * (1 + (int64_t)before);

	return us < RETRY_MAX_US ? us : RETRY_MAX_US;
}

struct permit_reply
permits_request(
    struct permits *p, const struct permit_request *ask, int64_t now_us)
{
	struct permit_reply answer = { .retry_us = RETRY_MAX_US };
	struct wish *w;
	unsigned before;

	drop_expired(p, now_us);
	refill(p, now_us);
	w = find_wish(p, ask);
	if (w == NULL)
		w = add_wish(p, ask);
	if (w == NULL)
		return answer;
	w->asked_us = now_us;
	w->rank_order = ask->rank_order;
	w->deadline_us = ask->deadline_us;
	if (w->permit == 0) {
		before = count_before(p, w);
		answer.retry_us = retry_after(p, before);
		if (before >= places_left(p, w->adapter))
			return answer;
		w->permit = p->next_permit++;
		p->in_transit[w->adapter]++;
		if (!w->adapter)
			p->tokens--;
	}
	/* Asked again by an agent that lost the answer, or has restarted. */
	w->granted_us = now_us;
	answer.permit = w->permit;
	answer.retry_us = 0;
	return answer;
}

void
permits_return(struct permits *p, uint64_t permit)
{
	struct wish *w, *next;

	TAILQ_FOREACH_SAFE(w, &p->wishes, link, next) {
		if (permit != 0 && w->permit == permit)
			wish_remove(p, w);
	}
}

unsigned
permits_in_transit(const struct permits *p, bool adapters)
{
	return p->in_transit[adapters];
}
