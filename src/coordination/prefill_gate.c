#include "coordination/prefill_gate.h"

#include <stdlib.h>

#include <bsd/sys/queue.h>

/* Time of the decoding steps whose tokens form an event. */
#define EVENT_DECODE_US 30000
/* Of the rest of a gap; other work and the way to the caller need some. */
#define PREFILL_GAP_SHARE 0.55
/* A permit expires after this time and several times its prefill time. */
#define PERMIT_EXPIRY_MIN_US 100000
#define PERMIT_EXPIRY_FACTOR 8
/* For the prompts in prefill, and the way to the replica and the caller. */
#define LATE_SLACK_US 100000

struct gate_entry {
	struct prefill_request req;
	int64_t permitted_us; /* time of the grant; unset while waiting */
	TAILQ_ENTRY(gate_entry) link;
};

TAILQ_HEAD(entries, gate_entry);

struct prefill_gate {
	struct prefill_gate_options opts;
	struct entries waiting;
	struct entries permitted;
	uint64_t waiting_tokens;
	uint64_t permitted_tokens;
	uint64_t batch_left; /* tokens that the current batch may still take */
	bool batch_closed; /* admits nothing until its last permit ends */
};

uint32_t
prefill_gate_batch(int64_t gap_goal_us, double slowdown, double tokens_per_ms)
{
	double ms = ((double)gap_goal_us / slowdown - EVENT_DECODE_US) / 1000;

	return ms <= 0 ? 1
		       : (uint32_t)(ms * tokens_per_ms * PREFILL_GAP_SHARE) + 1;
}

struct prefill_gate *
prefill_gate_create(const struct prefill_gate_options *opts)
{
	struct prefill_gate *g = calloc(1, sizeof(*g));

	if (g == NULL)
		return NULL;
	g->opts = *opts;
	TAILQ_INIT(&g->waiting);
	TAILQ_INIT(&g->permitted);
	g->batch_left = opts->batch_tokens;
	return g;
}

void
prefill_gate_set_batch(
    struct prefill_gate *g, uint32_t batch_tokens, uint32_t late_tokens)
{
	g->opts.batch_tokens = batch_tokens;
	g->opts.late_tokens = late_tokens;
	if (TAILQ_EMPTY(&g->permitted))
		g->batch_left = batch_tokens;
}

static void
free_entries(struct entries *list)
{
	struct gate_entry *e;

	while ((e = TAILQ_FIRST(list)) != NULL) {
		TAILQ_REMOVE(list, e, link);
		free(e);
	}
}

void
prefill_gate_destroy(struct prefill_gate *g)
{
	if (g == NULL)
		return;
	free_entries(&g->waiting);
	free_entries(&g->permitted);
	free(g);
}

static int64_t
prefill_us(const struct prefill_gate *g, uint64_t tokens)
{
	return (int64_t)((double)tokens * 1000 / g->opts.tokens_per_ms);
}

bool
prefill_gate_enqueue(
    struct prefill_gate *g, const struct prefill_request *req, int64_t now)
{
	struct gate_entry *e;

	if (now + prefill_us(g, req->tokens) > req->deadline_us)
		return false;
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		abort();
	e->req = *req;
	TAILQ_INSERT_TAIL(&g->waiting, e, link);
	g->waiting_tokens += req->tokens;
	return true;
}

static void
remove_waiting(struct prefill_gate *g, struct gate_entry *e)
{
	TAILQ_REMOVE(&g->waiting, e, link);
	g->waiting_tokens -= e->req.tokens;
}

static void
end_permit(struct prefill_gate *g, struct gate_entry *e)
{
	TAILQ_REMOVE(&g->permitted, e, link);
	g->permitted_tokens -= e->req.tokens;
	free(e);
	if (TAILQ_EMPTY(&g->permitted)) {
		g->batch_left = g->opts.batch_tokens;
		g->batch_closed = false;
	}
}

static struct gate_entry *
find_entry(struct entries *list, const void *owner, uint64_t id)
{
	struct gate_entry *e;

	TAILQ_FOREACH(e, list, link) {
		if (e->req.owner == owner && e->req.id == id)
			return e;
	}
	return NULL;
}

void *
prefill_gate_done(struct prefill_gate *g, const void *owner, uint64_t id)
{
	struct gate_entry *e = find_entry(&g->permitted, owner, id);
	void *ctx;

	if (e != NULL) {
		end_permit(g, e);
		return NULL;
	}
	e = find_entry(&g->waiting, owner, id);
	if (e == NULL)
		return NULL;
	ctx = e->req.ctx;
	remove_waiting(g, e);
	free(e);
	return ctx;
}

/*
 * The owner may have lost track of a permit, or its request waits in the engine
 * for a free slot, which must not keep others out.
 */
static int64_t
permit_expiry_us(const struct prefill_gate *g, const struct gate_entry *e)
{
	int64_t us = PERMIT_EXPIRY_MIN_US +
		     PERMIT_EXPIRY_FACTOR * prefill_us(g, e->req.tokens);

	return us < g->opts.permit_expiry_us ? us : g->opts.permit_expiry_us;
}

static void
expire_permits(struct prefill_gate *g, int64_t now)
{
	struct gate_entry *e, *next;

	TAILQ_FOREACH_SAFE(e, &g->permitted, link, next) {
		if (now - e->permitted_us > permit_expiry_us(g, e))
			end_permit(g, e);
	}
}

/* Requests that can meet their goal, by goal; then late ones, by deadline. */
static bool
is_before(const struct prefill_gate *g, const struct gate_entry *a,
    const struct gate_entry *b, int64_t now)
{
	bool a_late = now + prefill_us(g, a->req.tokens) > a->req.goal_us;
	bool b_late = now + prefill_us(g, b->req.tokens) > b->req.goal_us;

	if (a_late != b_late)
		return b_late;
	if (a_late)
		return a->req.deadline_us < b->req.deadline_us;
	return a->req.goal_us < b->req.goal_us;
}

static struct gate_entry *
first_waiting(struct prefill_gate *g, int64_t now)
{
	struct gate_entry *e, *first = NULL;

	TAILQ_FOREACH(e, &g->waiting, link) {
		if (first == NULL || is_before(g, e, first, now))
			first = e;
	}
	return first;
}

/* A request whose prefill can no longer end before its deadline. */
static struct gate_entry *
find_late(struct prefill_gate *g, int64_t now)
{
	struct gate_entry *e;

	TAILQ_FOREACH(e, &g->waiting, link) {
		if (now + prefill_us(g, e->req.tokens) > e->req.deadline_us)
			return e;
	}
	return NULL;
}

/* Whether it joins the batch, as it would miss its goal otherwise. */
static bool
may_be_late(
    const struct prefill_gate *g, const struct gate_entry *e, int64_t now)
{
	return now + LATE_SLACK_US + prefill_us(g, e->req.tokens) >
		   e->req.goal_us &&
	       g->permitted_tokens + e->req.tokens <= g->opts.late_tokens;
}

bool
prefill_gate_next(struct prefill_gate *g, int64_t now,
    struct prefill_request *req, bool *granted)
{
	struct gate_entry *e = find_late(g, now);
	bool late;

	expire_permits(g, now);
	if (e != NULL) {
		*req = e->req;
		*granted = false;
		remove_waiting(g, e);
		free(e);
		return true;
	}
	e = first_waiting(g, now);
	if (e == NULL)
		return false;
	late = may_be_late(g, e, now);
	if (g->batch_closed && !late)
		return false;
	if (!late && !TAILQ_EMPTY(&g->permitted) &&
	    e->req.tokens > g->batch_left) {
		g->batch_closed = true;
		return false;
	}
	remove_waiting(g, e);
	g->batch_left -=
	    e->req.tokens < g->batch_left ? e->req.tokens : g->batch_left;
	g->batch_closed = g->batch_left == 0;
	e->permitted_us = now;
	TAILQ_INSERT_TAIL(&g->permitted, e, link);
	g->permitted_tokens += e->req.tokens;
	*req = e->req;
	*granted = true;
	return true;
}

bool
prefill_gate_remove(
    struct prefill_gate *g, const void *owner, struct prefill_request *req)
{
	struct gate_entry *e;

	TAILQ_FOREACH(e, &g->waiting, link) {
		if (e->req.owner != owner)
			continue;
		*req = e->req;
		remove_waiting(g, e);
		free(e);
		return true;
	}
	TAILQ_FOREACH(e, &g->permitted, link) {
		if (e->req.owner != owner)
			continue;
		*req = e->req;
		req->ctx = NULL;
		end_permit(g, e);
		return true;
	}
	return false;
}

uint64_t
prefill_gate_waiting_tokens(const struct prefill_gate *g)
{
	return g->waiting_tokens;
}
