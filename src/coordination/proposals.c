#include "coordination/proposals.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>
#include <event2/event.h>

#include "common/clock.h"
#include "transport/platform_log.h"

/* Interval at which a proposal's deadline and last append are checked. */
#define APPEND_RETRY_US (500 * USEC_PER_MSEC)

struct proposal {
	struct proposals *proposals;
	char id[TM_ID_SIZE];
	void *data;
	size_t len;
	bool appending; /* an append is pending at the log */
	bool lost; /* the last append was not answered */
	bool maybe_appended; /* one of its appends may be in the log */
	bool has_result; /* verdict and offset are set */
	enum result verdict;
	uint64_t offset; /* of the record; 0: unknown */
	int64_t deadline_us; /* for the verdict */
	struct event *timer;
	void (*done)(void *, enum result, uint64_t); /* NULL: has run */
	void *ctx;
	TAILQ_ENTRY(proposal) link;
};

struct proposals {
	struct proposals_options opts;
	TAILQ_HEAD(, proposal) list;
};

static struct proposal *
find_proposal(struct proposals *proposals, const char *id)
{
	struct proposal *p;

	TAILQ_FOREACH(p, &proposals->list, link) {
		if (memcmp(p->id, id, TM_ID_SIZE) == 0)
			return p;
	}
	return NULL;
}

static void
proposal_free(struct proposal *p)
{
	event_free(p->timer);
	free(p->data);
	free(p);
}

static void
proposal_end(struct proposal *p)
{
	TAILQ_REMOVE(&p->proposals->list, p, link);
	p->done(p->ctx, p->verdict, p->offset);
	/* on_appended() will run with it as ctx, and free it. */
	if (!p->appending) {
		proposal_free(p);
		return;
	}
	event_del(p->timer);
	p->done = NULL;
}

/* done() runs from the event loop, after the fold has read the batch. */
static void
proposal_set_result(struct proposal *p, enum result verdict, uint64_t offset)
{
	struct timeval now = { 0, 0 };

	if (p->has_result)
		return;
	p->has_result = true;
	p->verdict = verdict;
	p->offset = offset;
	evtimer_add(p->timer, &now);
}

static void proposal_append(struct proposal *);

static void
on_appended(void *ctx, enum log_status status, uint64_t offset)
{
	struct proposal *p = ctx;

	p->appending = false;
	if (p->done == NULL) {
		proposal_free(p);
		return;
	}
	if (p->has_result || status == LOG_OK)
		return;
	if (status == LOG_REFUSED && !p->maybe_appended) {
		proposal_set_result(p, RESULT_LOG_UNAVAILABLE, 0);
		return;
	}
	/* The timer appends it again. */
	p->lost = true;
	p->maybe_appended = true;
}

static void
proposal_append(struct proposal *p)
{
	const struct log_client *log = p->proposals->opts.log;

	p->appending = true;
	p->lost = false;
	log->ops->append(log->priv, p->proposals->opts.stream, p->data, p->len,
	    on_appended, p);
}

static void
on_proposal_timer(evutil_socket_t fd, short what, void *arg)
{
	struct proposal *p = arg;
	struct timeval tv = { 0, APPEND_RETRY_US };

	if (p->has_result) {
		proposal_end(p);
		return;
	}
	if (clock_now(p->proposals->opts.clock) >= p->deadline_us) {
		p->verdict = RESULT_VERDICT_UNKNOWN;
		proposal_end(p);
		return;
	}
	if (p->lost && !p->appending)
		proposal_append(p);
	evtimer_add(p->timer, &tv);
}

void
proposals_add(struct proposals *proposals, const char id[TM_ID_SIZE],
    void *data, size_t len, int64_t wait_us,
    void (*done)(void *, enum result, uint64_t), void *ctx)
{
	struct proposal *p = calloc(1, sizeof(*p));
	struct timeval tv = { 0, APPEND_RETRY_US };

	if (p == NULL)
		abort();
	p->proposals = proposals;
	memcpy(p->id, id, TM_ID_SIZE);
	p->done = done;
	p->ctx = ctx;
	p->deadline_us = clock_now(proposals->opts.clock) + wait_us;
	p->timer = evtimer_new(proposals->opts.base, on_proposal_timer, p);
	p->data = data;
	p->len = len;
	if (p->timer == NULL)
		abort();
	TAILQ_INSERT_TAIL(&proposals->list, p, link);
	if (p->data == NULL) {
		proposal_set_result(p, RESULT_TOO_LARGE, 0);
		return;
	}
	evtimer_add(p->timer, &tv);
	proposal_append(p);
}

void
proposals_on_verdict(struct proposals *proposals, const char id[TM_ID_SIZE],
    enum result verdict, uint64_t offset)
{
	struct proposal *p = find_proposal(proposals, id);

	if (p != NULL)
		proposal_set_result(p, verdict, offset);
}

bool
proposals_pending(const struct proposals *proposals)
{
	return !TAILQ_EMPTY(&proposals->list);
}

struct proposals *
proposals_create(const struct proposals_options *opts)
{
	struct proposals *proposals = calloc(1, sizeof(*proposals));

	if (proposals == NULL)
		abort();
	proposals->opts = *opts;
	TAILQ_INIT(&proposals->list);
	return proposals;
}

void
proposals_destroy(struct proposals *proposals)
{
	struct proposal *p, *next;

	if (proposals == NULL)
		return;
	TAILQ_FOREACH_SAFE(p, &proposals->list, link, next)
		proposal_free(p);
	free(proposals);
}
