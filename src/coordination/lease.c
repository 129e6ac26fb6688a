#include "coordination/lease.h"

#include <stdlib.h>

#include "common/clock.h"

#define RENEWALS_PER_TERM 3

struct lease {
	struct lease_options opts;
	uint64_t epoch; /* of its own claim; 0: none, or lost */
	int64_t sent_us; /* when the newest own record was sent */
	int64_t expires_us; /* of the own lease: a term after sent_us */
	int64_t seen_us; /* when the newest record of any daemon was read */
	bool pending; /* the sent record has no verdict yet */
	bool resigning;
	bool resigned;
};

struct lease *
lease_create(const struct lease_options *opts)
{
	struct lease *l = calloc(1, sizeof(*l));

	if (l == NULL)
		abort();
	l->opts = *opts;
	l->seen_us = opts->now_us;
	return l;
}

void
lease_destroy(struct lease *l)
{
	free(l);
}

/* Not held, or no record read for a term and the drift margin. */
static bool
is_expired(
    const struct lease *l, const struct control_lease *folded, int64_t now_us)
{
	int64_t term_us = (int64_t)folded->term_ms * USEC_PER_MSEC;

	if (folded->epoch == 0 || folded->holder[0] == '\0')
		return true;
	return now_us > l->seen_us + term_us + l->opts.drift_us;
}

static enum lease_step
next_step(
    const struct lease *l, const struct control_lease *folded, int64_t now_us)
{
	if (l->pending || l->resigned)
		return LEASE_NOTHING;
	if (l->resigning)
		return lease_held(l, folded, now_us) ? LEASE_RESIGN
						     : LEASE_NOTHING;
	if (l->epoch == 0)
		return is_expired(l, folded, now_us) ? LEASE_CLAIM
						     : LEASE_NOTHING;
	if (now_us > l->sent_us + l->opts.term_us / RENEWALS_PER_TERM)
		return LEASE_RENEW;
	return LEASE_NOTHING;
}

static void
fill_record(const struct lease *l, enum lease_step step,
    const struct control_lease *folded, struct tm_control_record *record)
{
	struct tm_lease_claim *claim = &record->body.tm_control_body_u.claim;
	u_int term_ms = (u_int)(l->opts.term_us / USEC_PER_MSEC);

	*record = (struct tm_control_record){ .shard = folded->shard };
	record->epoch = l->epoch;
	switch (step) {
	case LEASE_CLAIM:
		record->body.type = TM_LEASE_CLAIM;
		claim->holder = (char *)l->opts.self;
		claim->address = (char *)l->opts.address;
		claim->replaces = folded->epoch;
		claim->term_ms = term_ms;
		break;
	case LEASE_RENEW:
		record->body.type = TM_LEASE_RENEW;
		record->expects = folded->version;
		record->body.tm_control_body_u.term_ms = term_ms;
		break;
	default:
		record->body.type = TM_LEASE_RESIGN;
		break;
	}
}

enum lease_step
lease_next(struct lease *l, const struct control_lease *folded, int64_t now_us,
    struct tm_control_record *record)
{
	enum lease_step step = next_step(l, folded, now_us);

	if (step == LEASE_NOTHING)
		return step;
	fill_record(l, step, folded, record);
	l->pending = true;
	l->sent_us = now_us;
	l->resigned = step == LEASE_RESIGN;
	return step;
}

void
lease_on_verdict(struct lease *l, enum lease_step step, uint64_t offset)
{
	l->pending = false;
	if (step == LEASE_RESIGN) {
		l->epoch = 0;
		return;
	}
	if (offset == 0)
		return;
	if (step == LEASE_CLAIM)
		l->epoch = offset;
	l->expires_us = l->sent_us + l->opts.term_us;
}

bool
lease_on_record(
    struct lease *l, const struct control_lease *folded, int64_t now_us)
{
	bool lost = l->epoch != 0 && folded->epoch != l->epoch;

	l->seen_us = now_us;
	if (lost)
		l->epoch = 0;
	return lost;
}

bool
lease_held(
    const struct lease *l, const struct control_lease *folded, int64_t now_us)
{
	return l->epoch != 0 && !l->resigned && folded->epoch == l->epoch &&
	       now_us < l->expires_us;
}

uint64_t
lease_epoch(const struct lease *l)
{
	return l->epoch;
}

void
lease_resign(struct lease *l)
{
	l->resigning = true;
}
