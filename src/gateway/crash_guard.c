#include "gateway/crash_guard.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/crash_records.h"
#include "gateway/backends.h"
#include "gateway/gateway_internal.h"
#include "gateway/sidecar_conns.h"
#include "protocol/tm_xdr.h"

#define MAX_PARTS 8192
/* Gateways forget at different times: the first one does it for all. */
#define KEEP_SPREAD_US (600 * USEC_PER_SEC)
#define FORGET_PAUSE_US (10 * USEC_PER_SEC)
/* For the request that a trial was recorded for, to be sent. */
#define TRIAL_HELD_US (5 * USEC_PER_SEC)
#define CLAIM_RETRY_US (500 * USEC_PER_MSEC)
/* Several gateways may know that a part is sound: the first one reports it. */
#define CLEAR_SPREAD_US (300 * USEC_PER_MSEC)
/* A crash shows within this time, as other requests fail there. */
#define OUTLIVE_US (1 * USEC_PER_SEC)
#define UNSURE_MAX 64 /* answers that wait for it */
#define SUSPECT_LOSSES 2 /* of a whole request */
#define PART_TEXT_SIZE 17 /* bytes, with the NUL */

/* An answer that may have ended by a crash. */
struct unsure_answer {
	struct request_params params;
	char replica[FLEET_ID_MAX];
	uint64_t born_ms;
	int64_t at_us; /* 0: free */
};

struct crash_guard {
	struct gateway *gateway;
	struct crash_parts *parts;
	struct crash_records *records;
	int64_t forget_us; /* next check */
	int64_t keep_us; /* a part without a new loss is forgotten */
	struct unsure_answer unsure[UNSURE_MAX];
	unsigned next_unsure;
	/* A trial: claimed, then held until its request is sent. */
	bool claiming;
	bool held;
	uint64_t trial_part;
	unsigned trials; /* its count, as recorded */
	int64_t held_us;
	int64_t claim_us; /* earliest next claim */
	/* As logged last. */
	uint64_t barred[CRASH_PARTS_BARRED_MAX];
	unsigned barred_count;
};

static int64_t
now_us(const struct crash_guard *cg)
{
	return clock_now(cg->gateway->process.clock);
}

/* Number of the request's parts that others may have too. */
static unsigned
shared_parts(const struct request_params *p)
{
	if (p->part_count == 0 || p->more_parts)
		return p->part_count;
	return p->part_count - 1;
}

/* Ids of the shared parts and of the whole request; returns their number. */
static unsigned
list_parts(const struct request_params *p, uint64_t *ids)
{
	unsigned count = shared_parts(p);

	for (unsigned i = 0; i < count; i++)
		ids[i] = p->parts[i].id;
	if (p->whole != 0)
		ids[count++] = p->whole;
	return count;
}

#define PARTS_MAX (FLEET_PROMPT_PARTS_MAX + 1) /* of list_parts() */

/* ---- log ---- */

static bool
contains(const uint64_t *list, unsigned count, uint64_t part)
{
	for (unsigned i = 0; i < count; i++) {
		if (list[i] == part)
			return true;
	}
	return false;
}

static void
log_part(const struct crash_guard *cg, const char *message, uint64_t part)
{
	struct crash_loss losses[CRASH_PARTS_LOSSES_KEPT];
	size_t count = crash_parts_losses(cg->parts, part, losses);
	char text[PART_TEXT_SIZE];

	snprintf(text, sizeof(text), "%" PRIx64, part);
	log_warn(cg->gateway->process.logger, message, LF_S("part", text),
	    LF_I("whole", count > 0 && losses[0].position == CRASH_PARTS_WHOLE),
	    LF_I("losses", count),
	    LF_I("trials", crash_parts_trials(cg->parts, part)));
}

static void
log_changes(struct crash_guard *cg)
{
	uint64_t barred[CRASH_PARTS_BARRED_MAX];
	unsigned count = crash_parts_barred(cg->parts, barred);

	for (unsigned i = 0; i < count; i++) {
		if (!contains(cg->barred, cg->barred_count, barred[i]))
			log_part(cg, "prompt part barred", barred[i]);
	}
	for (unsigned i = 0; i < cg->barred_count; i++) {
		if (!contains(barred, count, cg->barred[i]))
			log_part(cg, "prompt part admitted", cg->barred[i]);
	}
	memcpy(cg->barred, barred, sizeof(barred));
	cg->barred_count = count;
}

/* ---- records of all gateways ---- */

static void
on_lost(void *ctx, const struct crash_loss *loss)
{
	struct crash_guard *cg = ctx;
	int64_t now = now_us(cg);

	if (crash_parts_is_immune(cg->parts, loss->part, now))
		crash_records_delete_loss(cg->records, loss->part,
		    loss->incarnation,
		    (int64_t)rng_below(&cg->gateway->rng, CLEAR_SPREAD_US));
	else
		(void)crash_parts_lost(cg->parts, loss, now);
	log_changes(cg);
}

static void
on_tried(void *ctx, uint64_t part, unsigned trials)
{
	struct crash_guard *cg = ctx;

	crash_parts_tried(cg->parts, part, trials, now_us(cg));
}

static void
on_cleared(void *ctx, uint64_t part)
{
	struct crash_guard *cg = ctx;

	crash_parts_clear(cg->parts, part, now_us(cg));
	log_changes(cg);
}

/* ---- reports of other gateways, by way of a sidecar ---- */

void
crash_guard_on_report(struct crash_guard *cg, const struct tm_crash *msg)
{
	const struct crash_loss loss = { .part = msg->part,
		.incarnation = msg->incarnation,
		.request = msg->request,
		.position = msg->position,
		.begun = msg->begun };

	if (msg->cleared)
		on_cleared(cg, msg->part);
	else
		on_lost(cg, &loss);
}

static void
tell_loss(struct crash_guard *cg, const struct crash_loss *loss)
{
	struct tm_crash msg = { .part = loss->part,
		.incarnation = loss->incarnation,
		.request = loss->request,
		.position = loss->position,
		.begun = loss->begun };

	sidecar_conns_send_crash(cg->gateway->sidecar_conns, &msg);
}

static void
tell_cleared(struct crash_guard *cg, uint64_t part)
{
	struct tm_crash msg = { .part = part, .cleared = true };

	sidecar_conns_send_crash(cg->gateway->sidecar_conns, &msg);
}

/* ---- losses and answers of this gateway ---- */

static uint64_t
incarnation_of(const struct backend *b)
{
	return XXH3_64bits_withSeed(
	    b->entry.id, strlen(b->entry.id), b->entry.state.born_ms);
}

/* Others need to know at once what may end the next replica too. */
static void
add_loss(struct crash_guard *cg, const struct crash_loss *loss)
{
	if (!crash_parts_lost(cg->parts, loss, now_us(cg)))
		return;
	crash_records_add_loss(cg->records, loss);
	if (!loss->begun)
		tell_loss(cg, loss);
}

void
crash_guard_lost(struct crash_guard *cg, const struct request_params *p,
    const struct backend *b, bool begun)
{
	struct crash_loss loss = { .incarnation = incarnation_of(b),
		.request = p->whole,
		.begun = begun };

	for (unsigned i = 0; i < shared_parts(p); i++) {
		loss.part = p->parts[i].id;
		loss.position = i;
		add_loss(cg, &loss);
	}
	loss.part = p->whole;
	loss.position = CRASH_PARTS_WHOLE;
	add_loss(cg, &loss);
	log_changes(cg);
	crash_records_send(cg->records);
}

/* Deletes the part's records for all gateways. */
static void
delete_records(struct crash_guard *cg, uint64_t part)
{
	struct crash_loss losses[CRASH_PARTS_LOSSES_KEPT];
	size_t count = crash_parts_losses(cg->parts, part, losses);

	crash_records_drop_losses(cg->records, part);
	for (size_t i = 0; i < count; i++)
		crash_records_delete_loss(
		    cg->records, part, losses[i].incarnation, 0);
	if (crash_parts_trials(cg->parts, part) > 0)
		crash_records_delete_trials(cg->records, part);
}

static bool
has_losses(const struct crash_guard *cg, uint64_t part)
{
	struct crash_loss losses[CRASH_PARTS_LOSSES_KEPT];

	return crash_parts_losses(cg->parts, part, losses) > 0;
}

static void
clear_parts(struct crash_guard *cg, const struct request_params *p)
{
	uint64_t ids[PARTS_MAX];
	unsigned count = list_parts(p, ids);

	for (unsigned i = 0; i < count; i++) {
		if (contains(cg->barred, cg->barred_count, ids[i]))
			tell_cleared(cg, ids[i]);
		/* Whole requests without losses would fill the table. */
		if (ids[i] == p->whole && !has_losses(cg, p->whole))
			continue;
		delete_records(cg, ids[i]);
		crash_parts_clear(cg->parts, ids[i], now_us(cg));
	}
	log_changes(cg);
}

void
crash_guard_answered(struct crash_guard *cg, const struct request_params *p,
    const struct backend *b, bool sure)
{
	struct unsure_answer *u = &cg->unsure[cg->next_unsure];

	if (shared_parts(p) == 0 && p->whole == 0)
		return;
	if (p->whole != 0 && sure)
		crash_parts_whole_answered(cg->parts, p->whole, now_us(cg));
	if (sure) {
		clear_parts(cg, p);
		return;
	}
	cg->next_unsure = (cg->next_unsure + 1) % UNSURE_MAX;
	u->params = *p;
	strlcpy(u->replica, b->entry.id, sizeof(u->replica));
	u->born_ms = b->entry.state.born_ms;
	u->at_us = now_us(cg);
}

static bool
has_outlived(const struct crash_guard *cg, const struct unsure_answer *u)
{
	struct backend *b = NULL;

	while ((b = backends_next(cg->gateway->backends, b)) != NULL) {
		if (strcmp(b->entry.id, u->replica) == 0 &&
		    b->entry.state.born_ms == u->born_ms)
			return b->listed && !b->superseded &&
			       b->failed_us < u->at_us;
	}
	return false;
}

static void
decide_unsure(struct crash_guard *cg)
{
	int64_t now = now_us(cg);

	for (unsigned i = 0; i < UNSURE_MAX; i++) {
		struct unsure_answer *u = &cg->unsure[i];

		if (u->at_us == 0 || now - u->at_us < OUTLIVE_US)
			continue;
		if (has_outlived(cg, u))
			clear_parts(cg, &u->params);
		u->at_us = 0;
	}
}

/* ---- admission and trials ---- */

static void
on_claimed(void *ctx, bool ok)
{
	struct crash_guard *cg = ctx;

	cg->claiming = false;
	cg->claim_us = now_us(cg) + CLAIM_RETRY_US;
	if (!ok)
		return; /* another gateway's records came first, or no store */
	cg->held = true;
	cg->held_us = now_us(cg);
	crash_parts_tried(cg->parts, cg->trial_part, cg->trials, cg->held_us);
	log_part(cg, "prompt part tried", cg->trial_part);
}

static void
claim_trial(struct crash_guard *cg, uint64_t part)
{
	cg->claiming = true;
	cg->trial_part = part;
	cg->trials = crash_parts_trials(cg->parts, part) + 1;
	crash_records_claim(cg->records, part, cg->trials);
}

static struct crash_check
check_parts(const struct crash_guard *cg, const struct request_params *p)
{
	uint64_t ids[PARTS_MAX];
	unsigned count = list_parts(p, ids);

	return crash_parts_check(cg->parts, ids, count, now_us(cg));
}

static bool
holds_trial(const struct crash_guard *cg, const struct crash_check *c)
{
	return cg->held && c->barred == 1 && c->part == cg->trial_part &&
	       now_us(cg) - cg->held_us < TRIAL_HELD_US;
}

enum crash_verdict
crash_guard_check(
    struct crash_guard *cg, const struct request_params *p, int64_t *wait_us)
{
	struct crash_check c = check_parts(cg, p);

	*wait_us = c.wait_us;
	if (c.verdict == CRASH_ADMIT || holds_trial(cg, &c))
		return CRASH_ADMIT;
	if (c.verdict == CRASH_REFUSE)
		return CRASH_REFUSE;
	if (cg->claiming && cg->trial_part == c.part)
		return CRASH_TRIAL;
	if (cg->claiming || now_us(cg) < cg->claim_us ||
	    !crash_records_reachable(cg->records)) {
		*wait_us = CLAIM_RETRY_US;
		return CRASH_REFUSE;
	}
	claim_trial(cg, c.part);
	return CRASH_TRIAL;
}

void
crash_guard_sent(struct crash_guard *cg, const struct request_params *p)
{
	struct crash_check c = check_parts(cg, p);

	if (holds_trial(cg, &c))
		cg->held = false;
}

/* ---- the guard ---- */

static void
forget_old(struct crash_guard *cg)
{
	int64_t now = now_us(cg);
	uint64_t part;

	if (now < cg->forget_us)
		return;
	cg->forget_us = now + FORGET_PAUSE_US;
	while (crash_parts_oldest(cg->parts, cg->keep_us, now, &part)) {
		delete_records(cg, part);
		crash_parts_clear(cg->parts, part, now);
	}
	log_changes(cg);
}

bool
crash_guard_suspects(
    const struct crash_guard *cg, const struct request_params *p)
{
	struct crash_loss losses[CRASH_PARTS_LOSSES_KEPT];

	return p->whole != 0 && crash_parts_losses(cg->parts, p->whole,
				    losses) >= SUSPECT_LOSSES;
}

bool
crash_guard_is_idle(const struct crash_guard *cg)
{
	return !crash_parts_any_lost(cg->parts);
}

void
crash_guard_read_again(struct crash_guard *cg)
{
	crash_records_read_again(cg->records);
}

void
crash_guard_tick(struct crash_guard *cg)
{
	decide_unsure(cg);
	forget_old(cg);
	crash_records_send(cg->records);
}

struct crash_guard *
crash_guard_create(struct gateway *g)
{
	struct crash_parts_options parts = crash_parts_defaults;
	struct crash_guard *cg = calloc(1, sizeof(*cg));
	struct crash_records_options records = {
		.process = &g->process,
		.ops = g->driver->store,
		.store = g->store,
		.lost = on_lost,
		.tried = on_tried,
		.cleared = on_cleared,
		.claimed = on_claimed,
		.ctx = cg,
	};

	if (cg == NULL)
		return NULL;
	parts.max_parts = MAX_PARTS;
	cg->gateway = g;
	cg->keep_us =
	    CRASH_PARTS_KEEP_US + (int64_t)rng_below(&g->rng, KEEP_SPREAD_US);
	cg->parts = crash_parts_create(&parts);
	cg->records = cg->parts == NULL ? NULL : crash_records_create(&records);
	if (cg->records != NULL)
		return cg;
	crash_parts_destroy(cg->parts);
	free(cg);
	return NULL;
}

void
crash_guard_destroy(struct crash_guard *cg)
{
	if (cg == NULL)
		return;
	crash_records_destroy(cg->records);
	crash_parts_destroy(cg->parts);
	free(cg);
}
