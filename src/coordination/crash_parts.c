#include "coordination/crash_parts.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>
#include <uthash.h>

/* A request that is sent again after each crash must not bar its parts. */
#define REQUESTS_MIN 2
/* In a weight's position: the part comes before all whole requests. */
#define BEFORE_WHOLE 0x80000000U
#define REQUEST_LOSSES_MIN 2 /* of one of several that speak against a part */
#define WHOLES_ANSWERED 4096 /* kept, one for each remainder of the hash */
#define CRASHES_KEPT 128 /* incarnations, the newest */

const struct crash_parts_options crash_parts_defaults = {
	/* Replicas end for other reasons too: such an answer outweighs that. */
	.immunity_us = 20 * USEC_PER_SEC,
	.trial_us = 5 * USEC_PER_SEC,
	.trial_factor = 10,
	.trial_max_us = 1800 * USEC_PER_SEC,
};

struct part {
	uint64_t id;
	bool answered; /* answered_us is set */
	int64_t answered_us;
	struct crash_loss losses[CRASH_PARTS_LOSSES_KEPT]; /* oldest first */
	int64_t lost_us[CRASH_PARTS_LOSSES_KEPT]; /* their times */
	unsigned loss_count;
	unsigned trials;
	int64_t tried_us;
	bool barred;
	int64_t barred_us;
	bool chosen; /* in the table's chosen */
	TAILQ_ENTRY(part) link; /* in by_use */
	TAILQ_ENTRY(part) lost_link; /* in lost, if it has losses */
	UT_hash_handle hh;
};

TAILQ_HEAD(part_list, part);

/* An incarnation that was lost with a request, whatever its parts. */
struct crash {
	uint64_t incarnation;
	int64_t at_us;
	bool unbegun; /* one of these requests had no answer yet */
};

/* A whole request that was answered. */
struct whole_answer {
	uint64_t whole; /* 0: none */
	int64_t at_us;
};

struct crash_parts {
	struct crash_parts_options opts;
	struct whole_answer answers[WHOLES_ANSWERED];
	struct part *parts; /* hash table by id */
	struct part_list by_use; /* least recently used first */
	struct part_list lost; /* parts with losses, the last one last */
	unsigned lost_count;
	/* The barred parts; while update_barred() runs, those so far. */
	struct part *chosen[CRASH_PARTS_BARRED_MAX];
	unsigned chosen_count;
	struct crash crashes[CRASHES_KEPT]; /* oldest first */
	unsigned crash_count;
};

struct crash_parts *
crash_parts_create(const struct crash_parts_options *opts)
{
	struct crash_parts *cp = calloc(1, sizeof(*cp));

	if (cp == NULL)
		return NULL;
	cp->opts = *opts;
	TAILQ_INIT(&cp->by_use);
	TAILQ_INIT(&cp->lost);
	return cp;
}

/* ---- the table ---- */

/* Call update_barred() afterwards. */
static void
part_drop_losses(struct crash_parts *cp, struct part *p)
{
	if (p->loss_count == 0)
		return;
	p->loss_count = 0;
	TAILQ_REMOVE(&cp->lost, p, lost_link);
	cp->lost_count--;
	p->barred = false;
}

static void
part_remove(struct crash_parts *cp, struct part *p)
{
	part_drop_losses(cp, p);
	HASH_DEL(cp->parts, p);
	TAILQ_REMOVE(&cp->by_use, p, link);
	free(p);
}

void
crash_parts_destroy(struct crash_parts *cp)
{
	struct part *p;

	if (cp == NULL)
		return;
	while ((p = TAILQ_FIRST(&cp->by_use)) != NULL)
		part_remove(cp, p);
	free(cp);
}

static struct part *
part_find(const struct crash_parts *cp, uint64_t id)
{
	struct part *p;

	HASH_FIND(hh, cp->parts, &id, sizeof(id), p);
	return p;
}

static void
make_room(struct crash_parts *cp)
{
	struct part *p;

	if (HASH_COUNT(cp->parts) < cp->opts.max_parts)
		return;
	TAILQ_FOREACH(p, &cp->by_use, link) {
		if (!p->barred)
			break;
	}
	part_remove(cp, p == NULL ? TAILQ_FIRST(&cp->by_use) : p);
}

/* Finds or adds the part, as the one used last. */
static struct part *
part_use(struct crash_parts *cp, uint64_t id)
{
	struct part *p = part_find(cp, id);

	if (p != NULL) {
		TAILQ_REMOVE(&cp->by_use, p, link);
	} else {
		make_room(cp);
		p = calloc(1, sizeof(*p));
		if (p == NULL)
			abort();
		p->id = id;
		HASH_ADD(hh, cp->parts, id, sizeof(id), p);
	}
	TAILQ_INSERT_TAIL(&cp->by_use, p, link);
	return p;
}

static bool
is_immune(const struct crash_parts *cp, const struct part *p, int64_t now)
{
	return p != NULL && p->answered &&
	       now - p->answered_us < cp->opts.immunity_us;
}

/* ---- which parts are barred ---- */

static bool
part_has_loss(const struct part *p, uint64_t incarnation)
{
	for (unsigned i = 0; i < p->loss_count; i++) {
		if (p->losses[i].incarnation == incarnation)
			return true;
	}
	return false;
}

static bool
is_whole(const struct part *p)
{
	return p->loss_count > 0 && p->losses[0].position == CRASH_PARTS_WHOLE;
}

/* Chosen parts whose losses explain the end of a replica. */
enum explained_by {
	BY_ANY,
	BY_SHARED, /* not by whole requests */
	BY_NONE,
};

static bool
is_explained(
    const struct crash_parts *cp, uint64_t incarnation, enum explained_by by)
{
	for (unsigned i = 0; by != BY_NONE && i < cp->chosen_count; i++) {
		if (part_has_loss(cp->chosen[i], incarnation) &&
		    !(by == BY_SHARED && is_whole(cp->chosen[i])))
			return true;
	}
	return false;
}

/* Returns crash_count if the incarnation is not known to have ended. */
static unsigned
find_crash(const struct crash_parts *cp, uint64_t incarnation)
{
	unsigned i = 0;

	while (i < cp->crash_count && cp->crashes[i].incarnation != incarnation)
		i++;
	return i;
}

/* Another request, whose answer had not begun, was lost with the replica. */
static bool
was_beside(const struct crash_parts *cp, const struct crash_loss *l)
{
	unsigned i = find_crash(cp, l->incarnation);

	return l->begun && i < cp->crash_count && cp->crashes[i].unbegun;
}

/* How strongly a part's losses speak against it; see choose_part(). */
struct weight {
	uint32_t position;
	unsigned losses; /* not explained by another part */
	unsigned requests; /* among these losses */
	unsigned repeated; /* of these, lost REQUEST_LOSSES_MIN times */
	int64_t since_us; /* time of the first of them */
};

static struct weight
part_weigh(
    const struct crash_parts *cp, const struct part *p, enum explained_by by)
{
	struct weight w = { 0 };
	uint64_t requests[CRASH_PARTS_LOSSES_KEPT];
	unsigned counts[CRASH_PARTS_LOSSES_KEPT] = { 0 };

	for (unsigned i = 0; i < p->loss_count; i++) {
		const struct crash_loss *l = &p->losses[i];
		unsigned seen = 0;

		if (is_explained(cp, l->incarnation, by) || was_beside(cp, l))
			continue;
		if (w.losses++ == 0)
			w.since_us = p->lost_us[i];
		if (l->position > w.position)
			w.position = l->position;
		while (seen < w.requests && requests[seen] != l->request)
			seen++;
		if (seen == w.requests)
			requests[w.requests++] = l->request;
		w.repeated += ++counts[seen] == REQUEST_LOSSES_MIN;
	}
	return w;
}

static bool
is_heavier(const struct weight *a, const struct weight *b)
{
	if (a->position != b->position)
		return a->position > b->position;
	if (a->losses != b->losses)
		return a->losses > b->losses;
	return a->requests > b->requests;
}

static bool
is_to_be_barred(
    const struct crash_parts *cp, const struct part *p, const struct weight *w)
{
	unsigned crashes = 0; /* not explained, since the part's first loss */

	if (w->losses < CRASH_PARTS_LOSSES ||
	    (!is_whole(p) && w->requests < REQUESTS_MIN))
		return false;
	/* A barred part has no more losses, whatever else ends meanwhile. */
	if (w->losses >= CRASH_PARTS_SURE || p->barred)
		return true;
	for (unsigned i = 0; i < cp->crash_count; i++) {
		const struct crash *c = &cp->crashes[i];

		crashes += c->at_us >= w->since_us &&
			   !is_explained(cp, c->incarnation, BY_ANY);
	}
	return is_whole(p) ? 2 * w->losses >= crashes
			   : 3 * w->losses >= 2 * crashes;
}

/*
 * Whether a part is barred whatever chosen parts explain.  A whole request is
 * after some losses, as two causes may have run on the same replicas; a shared
 * part is if several requests speak against it rather than each for itself.
 */
static bool
is_sure(const struct crash_parts *cp, const struct part *p, struct weight *w)
{
	*w = part_weigh(cp, p, is_whole(p) ? BY_NONE : BY_SHARED);
	if (is_whole(p))
		return w->losses >= CRASH_PARTS_SURE_WHOLE;
	w->position |= BEFORE_WHOLE;
	return w->losses >= CRASH_PARTS_SURE &&
	       (w->repeated >= REQUESTS_MIN || w->requests > REQUESTS_MIN);
}

/* The part that is most to be barred; with only_barred, of those that are. */
static struct part *
choose_part(const struct crash_parts *cp, bool only_barred)
{
	struct part *p, *best = NULL;
	struct weight best_weight = { 0 };

	TAILQ_FOREACH(p, &cp->lost, lost_link) {
		struct weight w;

		if (p->chosen || p->loss_count < CRASH_PARTS_LOSSES ||
		    (only_barred && !p->barred))
			continue;
		if (!is_sure(cp, p, &w)) {
			w = part_weigh(cp, p, BY_ANY);
			if (!is_to_be_barred(cp, p, &w))
				continue;
		}
		if (best == NULL || is_heavier(&w, &best_weight)) {
			best = p;
			best_weight = w;
		}
	}
	return best;
}

static void
update_barred(struct crash_parts *cp, int64_t now)
{
	unsigned barred = 0; /* and not chosen: room is kept for them */
	struct part *p;

	TAILQ_FOREACH(p, &cp->lost, lost_link) {
		p->chosen = false;
		barred += p->barred;
	}
	cp->chosen_count = 0;
	while (cp->chosen_count < CRASH_PARTS_BARRED_MAX) {
		p = choose_part(
		    cp, cp->chosen_count + barred >= CRASH_PARTS_BARRED_MAX);
		if (p == NULL)
			break;
		p->chosen = true;
		barred -= p->barred;
		cp->chosen[cp->chosen_count++] = p;
	}
	TAILQ_FOREACH(p, &cp->lost, lost_link) {
		if (p->chosen && !p->barred)
			p->barred_us = now;
		p->barred = p->chosen;
	}
}

/* ---- losses, answers and trials ---- */

/* Makes room for one more part with losses. */
static void
limit_lost(struct crash_parts *cp)
{
	struct part *p;

	if (cp->lost_count < CRASH_PARTS_LOST_MAX)
		return;
	TAILQ_FOREACH(p, &cp->lost, lost_link) {
		if (!p->barred)
			break;
	}
	part_drop_losses(cp, p == NULL ? TAILQ_FIRST(&cp->lost) : p);
}

static void
note_crash(struct crash_parts *cp, const struct crash_loss *loss, int64_t now)
{
	unsigned known = find_crash(cp, loss->incarnation);

	if (known < cp->crash_count) {
		cp->crashes[known].unbegun |= !loss->begun;
		return;
	}
	if (cp->crash_count == CRASHES_KEPT)
		memmove(&cp->crashes[0], &cp->crashes[1],
		    --cp->crash_count * sizeof(cp->crashes[0]));
	cp->crashes[cp->crash_count++] =
	    (struct crash){ loss->incarnation, now, !loss->begun };
}

void
crash_parts_whole_answered(struct crash_parts *cp, uint64_t whole, int64_t now)
{
	cp->answers[whole % WHOLES_ANSWERED] =
	    (struct whole_answer){ whole, now };
}

static bool
was_answered(const struct crash_parts *cp, uint64_t whole, int64_t now)
{
	const struct whole_answer *a = &cp->answers[whole % WHOLES_ANSWERED];

	return a->whole == whole && now - a->at_us < cp->opts.immunity_us;
}

/* Of two losses with one incarnation, that of the answer not begun is kept. */
static bool
part_replace_begun(struct crash_parts *cp, struct part *p,
    const struct crash_loss *loss, int64_t now)
{
	for (unsigned i = 0; i < p->loss_count; i++) {
		if (p->losses[i].incarnation != loss->incarnation)
			continue;
		if (!p->losses[i].begun || loss->begun)
			return false;
		p->losses[i] = *loss;
	}
	update_barred(cp, now);
	return true;
}

bool
crash_parts_lost(
    struct crash_parts *cp, const struct crash_loss *loss, int64_t now)
{
	struct part *p;

	note_crash(cp, loss, now);
	if (is_immune(cp, part_find(cp, loss->part), now) ||
	    (loss->position == CRASH_PARTS_WHOLE &&
		was_answered(cp, loss->part, now)))
		return false;
	p = part_use(cp, loss->part);
	if (part_has_loss(p, loss->incarnation))
		return part_replace_begun(cp, p, loss, now);
	if (p->loss_count == 0)
		limit_lost(cp);
	else
		TAILQ_REMOVE(&cp->lost, p, lost_link);
	TAILQ_INSERT_TAIL(&cp->lost, p, lost_link);
	cp->lost_count += p->loss_count == 0;
	if (p->loss_count == CRASH_PARTS_LOSSES_KEPT) {
		p->loss_count--;
		memmove(&p->losses[0], &p->losses[1],
		    p->loss_count * sizeof(p->losses[0]));
		memmove(&p->lost_us[0], &p->lost_us[1],
		    p->loss_count * sizeof(p->lost_us[0]));
	}
	p->lost_us[p->loss_count] = now;
	p->losses[p->loss_count++] = *loss;
	update_barred(cp, now);
	return true;
}

void
crash_parts_clear(struct crash_parts *cp, uint64_t id, int64_t now)
{
	struct part *p = part_use(cp, id);
	bool had_losses = p->loss_count > 0;

	p->answered = true;
	p->answered_us = now;
	p->trials = 0;
	part_drop_losses(cp, p);
	if (had_losses)
		update_barred(cp, now);
}

void
crash_parts_tried(
    struct crash_parts *cp, uint64_t id, unsigned trials, int64_t now)
{
	struct part *p = part_use(cp, id);

	if (trials <= p->trials)
		return;
	p->trials = trials;
	p->tried_us = now;
}

bool
crash_parts_any_lost(const struct crash_parts *cp)
{
	return cp->lost_count > 0;
}

bool
crash_parts_is_immune(const struct crash_parts *cp, uint64_t id, int64_t now)
{
	return is_immune(cp, part_find(cp, id), now) ||
	       was_answered(cp, id, now);
}

unsigned
crash_parts_trials(const struct crash_parts *cp, uint64_t id)
{
	const struct part *p = part_find(cp, id);

	return p == NULL ? 0 : p->trials;
}

size_t
crash_parts_losses(const struct crash_parts *cp, uint64_t id,
    struct crash_loss out[CRASH_PARTS_LOSSES_KEPT])
{
	const struct part *p = part_find(cp, id);

	if (p == NULL)
		return 0;
	memcpy(out, p->losses, p->loss_count * sizeof(out[0]));
	return p->loss_count;
}

/* ---- admission ---- */

/* suspected: the request has another part with losses; see crash_parts.h. */
static int64_t
trial_due_us(const struct crash_parts *cp, const struct part *p, bool suspected)
{
	int64_t pause = cp->opts.trial_us;
	int64_t since = p->barred_us;
	/* A whole request keeps no other waiting. */
	unsigned steps = p->trials + is_whole(p);

	for (unsigned i = 0; i < steps && pause < cp->opts.trial_max_us; i++)
		pause *= cp->opts.trial_factor;
	if (pause > cp->opts.trial_max_us)
		pause = cp->opts.trial_max_us;
	if (p->trials > 0 && p->tried_us > since)
		since = p->tried_us;
	return since + (suspected ? 2 * pause : pause);
}

struct crash_check
crash_parts_check(const struct crash_parts *cp, const uint64_t *parts,
    size_t count, int64_t now)
{
	struct crash_check c = { .verdict = CRASH_ADMIT };
	unsigned suspected = 0;

	if (cp->chosen_count == 0)
		return c;
	for (size_t i = 0; i < count; i++) {
		const struct part *p = part_find(cp, parts[i]);

		suspected += p != NULL && p->loss_count > 0;
	}
	for (size_t i = 0; i < count; i++) {
		const struct part *p = part_find(cp, parts[i]);
		int64_t wait;

		if (p == NULL || !p->barred)
			continue;
		wait = trial_due_us(cp, p, suspected > 1) - now;
		if (wait < 0)
			wait = 0;
		if (c.barred++ == 0 || wait > c.wait_us) {
			c.part = p->id;
			c.wait_us = wait;
		}
	}
	if (c.barred == 1 && c.wait_us == 0)
		c.verdict = CRASH_TRIAL;
	else if (c.barred > 0)
		c.verdict = CRASH_REFUSE;
	return c;
}

bool
crash_parts_oldest(
    const struct crash_parts *cp, int64_t age_us, int64_t now, uint64_t *part)
{
	const struct part *p = TAILQ_FIRST(&cp->lost);

	if (p == NULL || now - p->lost_us[p->loss_count - 1] <= age_us)
		return false;
	*part = p->id;
	return true;
}

unsigned
crash_parts_barred(
    const struct crash_parts *cp, uint64_t out[CRASH_PARTS_BARRED_MAX])
{
	for (unsigned i = 0; i < cp->chosen_count; i++)
		out[i] = cp->chosen[i]->id;
	return cp->chosen_count;
}
