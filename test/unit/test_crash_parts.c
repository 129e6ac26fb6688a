/*
 * The policy that finds prompt parts which crash replicas.
 *
 * Replays its load: requests with one part, or one request that is repeated as
 * a whole, end each replica that begins to answer them, and the sound requests
 * beside them are lost as well.
 */
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/rng.h"
#include "coordination/crash_parts.h"
#include "protocol/tm_xdr.h"

#define FIRST 1 /* part that all requests of the route have */
#define POISON 2
#define SOUND 100 /* and above: parts of sound requests */
#define SOUND_PARTS 40
#define WHOLE 1000000000 /* and above: requests as a whole */

static const struct crash_parts_options opts = {
	.max_parts = 64,
	.immunity_us = 20 * USEC_PER_SEC,
	.trial_us = 5 * USEC_PER_SEC,
	.trial_factor = 10,
	.trial_max_us = 1800 * USEC_PER_SEC,
};

static void
lose(struct crash_parts *cp, uint64_t part, uint32_t position,
    uint64_t incarnation, uint64_t request, int64_t now)
{
	struct crash_loss loss = { part, incarnation, request, position,
		false };

	(void)crash_parts_lost(cp, &loss, now);
}

static struct crash_check
check_one(const struct crash_parts *cp, uint64_t part, int64_t now)
{
	return crash_parts_check(cp, &part, 1, now);
}

static bool
is_barred(const struct crash_parts *cp, uint64_t part)
{
	return check_one(cp, part, 0).barred > 0;
}

/* ---- the load ---- */

#define REPLICAS 12
#define REQUESTS 64 /* that run at once */
#define STEP_US (10 * USEC_PER_MSEC)
#define RESTART_US (3 * USEC_PER_SEC)
#define CRASH_US (50 * USEC_PER_MSEC) /* after a poisoned request began */
#define RUN_US (2 * USEC_PER_SEC) /* of a sound request */
#define ATTEMPTS 2

#define REPEATED 7 /* the whole request that callers repeat */
#define BEGUN_US (200 * USEC_PER_MSEC) /* until a sound answer begins */

struct request {
	uint64_t id; /* 0: free; of the whole request, for a repeat too */
	uint64_t part;
	bool poisoned;
	bool repeat; /* the caller's second attempt */
	int64_t sent_us;
	unsigned replica, attempts;
	int64_t ends_us;
};

struct load {
	struct crash_parts *cp;
	struct rng rng;
	int64_t now;
	uint64_t requests; /* so far */
	uint64_t incarnation[REPLICAS];
	int64_t up_us[REPLICAS];
	struct request running[REQUESTS];
	unsigned crashes, poison_crashes;
	/* When all replicas end; -1: after the first crash; -2: never. */
	int64_t outage_us;
	unsigned sound, sound_refused, sound_answered;
	unsigned poisoned_sent, poisoned_after_5;
	/* Of the request REPEATED. */
	unsigned repeated_crashes, repeated_after_3;
	unsigned reported; /* losses, by a gateway to the others */
};

#define REPLAY_US (100 * USEC_PER_SEC)
/* A call's record mark, header and verifier, and its arguments. */
#define CALL_BYTES (4 + 24 + 8 + 24)
/* The target of docs/DEVELOPERS.md for a daemon's control traffic. */
#define CONTROL_BYTES_PER_S 2048

static uint64_t
reported_bytes(const struct load *l)
{
	struct tm_crash msg = { 0 };

	return l->reported *
	       (CALL_BYTES + xdr_sizeof((xdrproc_t)xdr_tm_crash, &msg));
}

/* What one gateway receives of the others. */
static void
check_reported(const struct load *l)
{
	g_test_message("%u losses reported, %u bytes", l->reported,
	    (unsigned)reported_bytes(l));
	g_assert_cmpuint(reported_bytes(l), <=,
	    CONTROL_BYTES_PER_S * REPLAY_US / USEC_PER_SEC);
}

/* Sends the request to a replica that is up; returns false without one. */
static bool
send_request(struct load *l, struct request *r)
{
	unsigned from = (unsigned)rng_below(&l->rng, REPLICAS);
	const uint64_t parts[] = { FIRST, r->part, WHOLE + r->id };
	struct crash_check c = crash_parts_check(l->cp, parts, 3, l->now);

	if (c.verdict == CRASH_REFUSE)
		return false;
	if (c.verdict == CRASH_TRIAL)
		crash_parts_tried(l->cp, c.part,
		    crash_parts_trials(l->cp, c.part) + 1, l->now);
	for (unsigned i = 0; i < REPLICAS; i++) {
		r->replica = (from + i) % REPLICAS;
		if (l->now >= l->up_us[r->replica])
			break;
	}
	if (l->now < l->up_us[r->replica])
		return false;
	r->attempts++;
	r->sent_us = l->now;
	r->ends_us = l->now + (r->poisoned ? CRASH_US : RUN_US);
	if (r->part == POISON) {
		l->poisoned_sent++;
		l->poisoned_after_5 += l->poison_crashes >= 5;
	}
	if (r->id == REPEATED)
		l->repeated_after_3 += l->repeated_crashes >= 3;
	return true;
}

static void
run_request(struct load *l, struct request r)
{
	l->sound += !r.poisoned;
	if (!send_request(l, &r)) {
		l->sound_refused += !r.poisoned;
		return;
	}
	for (unsigned i = 0; i < REQUESTS; i++) {
		if (l->running[i].id == 0) {
			l->running[i] = r;
			return;
		}
	}
}

static void
start_request(struct load *l, uint64_t part)
{
	run_request(l, (struct request){ .id = REPEATED + ++l->requests,
			   .part = part,
			   .poisoned = part == POISON });
}

/* Callers send the request with a sound part again and again. */
static void
repeat_request(struct load *l)
{
	run_request(l, (struct request){
			   .id = REPEATED, .part = SOUND, .poisoned = true });
}

/* After its last attempt, the caller repeats it once. */
static void
repeat_lost(struct load *l, struct request *r)
{
	struct request again = *r;

	r->id = 0;
	if (again.repeat || again.id == REPEATED)
		return;
	again.repeat = true;
	again.attempts = 0;
	run_request(l, again);
}

static void
lose_part(struct load *l, const struct crash_loss *loss)
{
	l->reported += crash_parts_lost(l->cp, loss, l->now) && !loss->begun;
}

static void
lose_request(struct load *l, const struct request *r, uint64_t incarnation)
{
	struct crash_loss loss = { FIRST, incarnation, WHOLE + r->id, 0,
		!r->poisoned && l->now - r->sent_us >= BEGUN_US };

	lose_part(l, &loss);
	loss.part = r->part;
	loss.position = 1;
	lose_part(l, &loss);
	loss.part = WHOLE + r->id;
	loss.position = CRASH_PARTS_WHOLE;
	lose_part(l, &loss);
}

static void
crash_replica(struct load *l, unsigned replica)
{
	uint64_t incarnation = l->incarnation[replica];

	l->crashes++;
	l->incarnation[replica] += REPLICAS;
	l->up_us[replica] = l->now + RESTART_US;
	for (unsigned i = 0; i < REQUESTS; i++) {
		struct request *r = &l->running[i];

		if (r->id == 0 || r->replica != replica)
			continue;
		lose_request(l, r, incarnation);
		if (r->attempts >= ATTEMPTS || !send_request(l, r))
			repeat_lost(l, r);
	}
}

static void
step(struct load *l)
{
	for (unsigned i = 0; i < REQUESTS; i++) {
		struct request *r = &l->running[i];

		if (r->id == 0 || l->now < r->ends_us)
			continue;
		if (r->poisoned) {
			if (l->crashes == 0 && l->outage_us == -1)
				l->outage_us = l->now + 200 * USEC_PER_MSEC;
			l->poison_crashes += r->part == POISON;
			l->repeated_crashes += r->id == REPEATED;
			crash_replica(l, r->replica);
			continue;
		}
		crash_parts_clear(l->cp, FIRST, l->now);
		crash_parts_clear(l->cp, r->part, l->now);
		l->sound_answered++;
		r->id = 0;
	}
	if (l->now == l->outage_us) {
		for (unsigned i = 0; i < REPLICAS; i++) {
			if (l->now >= l->up_us[i])
				crash_replica(l, i);
		}
	}
	l->now += STEP_US;
}

/* Few parts are asked for often, and many rarely. */
static uint64_t
pick_sound_part(struct load *l)
{
	double u = rng_real(&l->rng);

	return SOUND + (uint64_t)(u * u * u * SOUND_PARTS);
}

/*
 * warm: sound requests have been answered before the first poisoned one.
 * outage: soon after the first crash all replicas end for another reason.
 */
static void
replay(struct load *l, uint64_t seed, bool warm, bool outage, bool part,
    bool repeated)
{
	memset(l, 0, sizeof(*l));
	l->outage_us = outage ? -1 : -2;
	l->cp = crash_parts_create(&opts);
	rng_seed(&l->rng, seed);
	for (unsigned i = 0; i < REPLICAS; i++)
		l->incarnation[i] = i;
	while (l->now < REPLAY_US) {
		if (rng_real(&l->rng) < 0.08)
			start_request(l, pick_sound_part(l));
		if (part && rng_real(&l->rng) < 0.03 &&
		    (!warm || l->now > 8 * USEC_PER_SEC))
			start_request(l, POISON);
		if (repeated && rng_real(&l->rng) < 0.03 &&
		    (!warm || l->now > 8 * USEC_PER_SEC))
			repeat_request(l);
		step(l);
	}
}

static void
check_replay(bool outage)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct load l;

		replay(&l, seed, seed % 2 == 0, outage, true, false);
		g_test_message("seed %d: %u crashes, %u with the part, %u of "
			       "%u sound refused",
		    (int)seed, l.crashes, l.poison_crashes, l.sound_refused,
		    l.sound);
		g_assert_true(is_barred(l.cp, POISON));
		g_assert_false(is_barred(l.cp, FIRST));
		/* The users' bound on requests after the fifth crash. */
		g_assert_cmpuint(l.poisoned_after_5, <=, 3);
		if (!outage)
			g_assert_cmpuint(l.crashes, <=, 5 + 3);
		/* At least half of the sound ones begin, as without crashes. */
		g_assert_cmpuint(2 * l.sound_refused, <, l.sound);
		check_reported(&l);
		crash_parts_destroy(l.cp);
	}
}

static void
test_replay(void)
{
	check_replay(false);
}

static void
test_replay_with_outage(void)
{
	check_replay(true);
}

/* One request that callers repeat, alone or beside requests with the part. */
static void
check_repeats(bool outage, bool part)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct load l;

		replay(&l, seed, seed % 2 == 0, outage, part, true);
		g_test_message("seed %d: %u crashes, %u by the repeated one, "
			       "%u with the part, %u of %u sound refused",
		    (int)seed, l.crashes, l.repeated_crashes, l.poison_crashes,
		    l.sound_refused, l.sound);
		g_assert_true(is_barred(l.cp, WHOLE + REPEATED));
		g_assert_false(is_barred(l.cp, FIRST));
		/* The users' bound on requests after the third crash. */
		g_assert_cmpuint(l.repeated_after_3, <=, 3);
		if (part)
			g_assert_cmpuint(l.poisoned_after_5, <=, 3);
		g_assert_cmpuint(2 * l.sound_refused, <, l.sound);
		check_reported(&l);
		crash_parts_destroy(l.cp);
	}
}

static void
test_repeated_request(void)
{
	check_repeats(false, false);
}

static void
test_repeated_request_with_outage(void)
{
	check_repeats(true, false);
}

static void
test_repeated_request_and_part(void)
{
	check_repeats(false, true);
}

/* ---- single properties ---- */

/* A request that was answered in part is not the one that ended the replica. */
static void
test_begun_answers_are_not_blamed(void)
{
	struct crash_parts *cp = crash_parts_create(&opts);

	for (uint64_t i = 0; i < 4; i++) {
		struct crash_loss loss = { SOUND, i, 20 + i, 1, true };

		(void)crash_parts_lost(cp, &loss, 0);
		lose(cp, WHOLE, CRASH_PARTS_WHOLE, i, WHOLE, 0);
	}
	g_assert_true(is_barred(cp, WHOLE));
	g_assert_false(is_barred(cp, SOUND));
	/* Alone, they are. */
	for (uint64_t i = 10; i < 13; i++) {
		struct crash_loss loss = { SOUND + 1, i, 30 + i, 1, true };

		(void)crash_parts_lost(cp, &loss, 0);
	}
	g_assert_true(is_barred(cp, SOUND + 1));
	crash_parts_destroy(cp);
}

/* Many callers send the same sound request, and it is lost beside others. */
static void
test_answered_request_is_barred(void)
{
	struct crash_parts *cp = crash_parts_create(&opts);

	crash_parts_whole_answered(cp, WHOLE, 0);
	for (uint64_t i = 0; i < 5; i++)
		lose(cp, WHOLE, CRASH_PARTS_WHOLE, i, WHOLE, USEC_PER_SEC);
	g_assert_false(is_barred(cp, WHOLE));
	g_assert_true(crash_parts_is_immune(cp, WHOLE, USEC_PER_SEC));
	for (uint64_t i = 5; i < 8; i++)
		lose(cp, WHOLE, CRASH_PARTS_WHOLE, i, WHOLE, opts.immunity_us);
	g_assert_true(is_barred(cp, WHOLE));
	crash_parts_destroy(cp);
}

/* Several requests with one part, each lost twice: the part is the cause. */
static void
test_part_of_several_repeated_requests(void)
{
	struct crash_parts *cp = crash_parts_create(&opts);

	for (uint64_t i = 0; i < 5; i++) {
		uint64_t request = i < 3 ? WHOLE : WHOLE + 1;

		lose(cp, FIRST, 0, i, request, 0);
		lose(cp, POISON, 1, i, request, 0);
		lose(cp, request, CRASH_PARTS_WHOLE, i, request, 0);
		if (i == 2)
			g_assert_true(is_barred(cp, WHOLE));
	}
	g_assert_true(is_barred(cp, POISON));
	g_assert_false(is_barred(cp, FIRST));
	crash_parts_destroy(cp);
}

/* The first part shares all losses of the poisoned one, and is not immune. */
static void
test_shared_part_is_not_barred(void)
{
	struct crash_parts *cp = crash_parts_create(&opts);

	for (uint64_t i = 0; i < 3; i++) {
		lose(cp, FIRST, 0, i, i / 2, 0);
		lose(cp, POISON, 1, i, i / 2, 0);
	}
	g_assert_true(is_barred(cp, POISON));
	g_assert_false(is_barred(cp, FIRST));
	/* If the first part is the cause, its losses go on without the other.
	 */
	for (uint64_t i = 10; i < 13; i++) {
		lose(cp, FIRST, 0, i, i, 0);
		lose(cp, SOUND + i, 1, i, i, 0);
	}
	g_assert_true(is_barred(cp, FIRST));
	crash_parts_destroy(cp);
}

/* When many replicas end at once, no part is lost with most of them. */
static void
test_outage_bars_nothing(void)
{
	struct crash_parts *cp = crash_parts_create(&opts);

	for (uint64_t i = 0; i < 8; i++)
		lose(cp, FIRST, 0, i, i, 0);
	crash_parts_clear(cp, FIRST, 0);
	for (uint64_t i = 0; i < 3; i++)
		lose(cp, SOUND, 1, i, i, 0);
	lose(cp, SOUND, 1, 20, 20, 10 * USEC_PER_SEC);
	g_assert_false(is_barred(cp, SOUND));
	/* It goes on to be lost, and nothing else is. */
	lose(cp, SOUND, 1, 21, 21, 11 * USEC_PER_SEC);
	g_assert_true(is_barred(cp, SOUND));
	crash_parts_destroy(cp);
}

/* A request that is sent again after each crash bars none of its parts. */
static void
test_one_request_bars_nothing(void)
{
	struct crash_parts *cp = crash_parts_create(&opts);

	for (uint64_t i = 0; i < 10; i++)
		lose(cp, SOUND, 1, i, 7, 0);
	g_assert_false(is_barred(cp, SOUND));
	lose(cp, SOUND, 1, 11, 8, 0);
	g_assert_true(is_barred(cp, SOUND));
	crash_parts_destroy(cp);
}

/* Losses that an answer came between, or soon after, do not add up. */
static void
test_answered_part_is_not_barred(void)
{
	struct crash_parts *cp = crash_parts_create(&opts);
	int64_t now = 0;

	for (uint64_t i = 0; i < 20; i++, now += USEC_PER_SEC) {
		lose(cp, SOUND, 1, i, i, now);
		if (i % 2 == 0)
			crash_parts_clear(cp, SOUND, now);
	}
	g_assert_false(is_barred(cp, SOUND));
	now += opts.immunity_us;
	for (uint64_t i = 20; i < 23; i++)
		lose(cp, SOUND, 1, i, i, now);
	g_assert_true(is_barred(cp, SOUND));
	crash_parts_destroy(cp);
}

/* The pause before a trial grows; an answer clears the part for good. */
static void
test_trials(void)
{
	struct crash_parts *cp = crash_parts_create(&opts);
	const uint64_t both[] = { SOUND, SOUND + 1 };
	int64_t pause = opts.trial_us, now = 0;
	struct crash_check c;

	for (uint64_t i = 0; i < 3; i++)
		lose(cp, SOUND, 1, i, i, now);
	for (unsigned trials = 0; trials < 6; trials++) {
		c = check_one(cp, SOUND, now + pause - 1);
		g_assert_cmpint(c.verdict, ==, CRASH_REFUSE);
		g_assert_cmpint(c.wait_us, ==, 1);
		now += pause;
		c = check_one(cp, SOUND, now);
		g_assert_cmpint(c.verdict, ==, CRASH_TRIAL);
		crash_parts_tried(cp, SOUND, trials + 1, now);
		lose(cp, SOUND, 1, 100 + trials, 100 + trials, now);
		pause *= opts.trial_factor;
		if (pause > opts.trial_max_us)
			pause = opts.trial_max_us;
	}
	for (uint64_t i = 0; i < 3; i++)
		lose(cp, SOUND + 1, 1, 50 + i, 50 + i, now);
	c = crash_parts_check(cp, both, 2, now + 2 * opts.trial_max_us);
	g_assert_cmpuint(c.barred, ==, 2);
	g_assert_cmpint(c.verdict, ==, CRASH_REFUSE);
	crash_parts_clear(cp, SOUND, now);
	c = check_one(cp, SOUND, now);
	g_assert_cmpint(c.verdict, ==, CRASH_ADMIT);
	crash_parts_destroy(cp);
}

/* A flood of other parts, or of lost ones, leaves a barred part barred. */
static void
test_memory_is_bounded(void)
{
	struct crash_parts *cp = crash_parts_create(&opts);
	uint64_t barred[CRASH_PARTS_BARRED_MAX];

	for (uint64_t i = 0; i < 3; i++)
		lose(cp, POISON, 1, i, i, 0);
	for (uint64_t i = 0; i < 10000; i++) {
		crash_parts_clear(cp, SOUND + i, 0);
		lose(cp, 1000000 + i, 1, 100 + i, i, 0);
	}
	g_assert_true(is_barred(cp, POISON));
	for (uint64_t i = 0; i < 1000; i++) {
		for (uint64_t j = 0; j < CRASH_PARTS_SURE; j++)
			lose(cp, 9000000 + i, 1, 50000 + 10 * i + j, j, 0);
	}
	g_assert_true(is_barred(cp, POISON));
	g_assert_cmpuint(
	    crash_parts_barred(cp, barred), ==, CRASH_PARTS_BARRED_MAX);
	crash_parts_destroy(cp);
}

static void
test_oldest(void)
{
	struct crash_parts *cp = crash_parts_create(&opts);
	uint64_t part;

	for (uint64_t i = 0; i < 3; i++) {
		lose(cp, SOUND, 1, i, i, (int64_t)i);
		lose(cp, POISON, 1, i, i, 10 + (int64_t)i);
	}
	g_assert_false(crash_parts_oldest(cp, 10, 12, &part));
	g_assert_true(crash_parts_oldest(cp, 10, 13, &part));
	g_assert_cmpuint(part, ==, SOUND);
	crash_parts_clear(cp, SOUND, 13);
	g_assert_false(crash_parts_oldest(cp, 10, 22, &part));
	g_assert_true(crash_parts_oldest(cp, 10, 23, &part));
	g_assert_cmpuint(part, ==, POISON);
	crash_parts_clear(cp, POISON, 23);
	g_assert_false(is_barred(cp, POISON));
	crash_parts_destroy(cp);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash_parts/replay", test_replay);
	g_test_add_func(
	    "/crash_parts/replay_with_outage", test_replay_with_outage);
	g_test_add_func("/crash_parts/repeated_request", test_repeated_request);
	g_test_add_func("/crash_parts/repeated_request_with_outage",
	    test_repeated_request_with_outage);
	g_test_add_func("/crash_parts/repeated_request_and_part",
	    test_repeated_request_and_part);
	g_test_add_func("/crash_parts/begun_answers_are_not_blamed",
	    test_begun_answers_are_not_blamed);
	g_test_add_func("/crash_parts/answered_request_is_barred",
	    test_answered_request_is_barred);
	g_test_add_func("/crash_parts/part_of_several_repeated_requests",
	    test_part_of_several_repeated_requests);
	g_test_add_func("/crash_parts/outage", test_outage_bars_nothing);
	g_test_add_func(
	    "/crash_parts/shared_part", test_shared_part_is_not_barred);
	g_test_add_func(
	    "/crash_parts/one_request", test_one_request_bars_nothing);
	g_test_add_func(
	    "/crash_parts/answered", test_answered_part_is_not_barred);
	g_test_add_func("/crash_parts/trials", test_trials);
	g_test_add_func("/crash_parts/memory", test_memory_is_bounded);
	g_test_add_func("/crash_parts/oldest", test_oldest);
	return g_test_run();
}
