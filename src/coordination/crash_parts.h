/*
 * crash_parts -- finds the prompt parts, and the requests, that crash replicas.
 *
 * The load: requests with a certain part in their prompts, or one request that
 * callers repeat as a whole, crash each replica that begins to answer them.
 * They come at any gateway and are sent again after each crash.  A crash also
 * loses the sound requests that run on the replica; these share parts with the
 * others, above all the first ones, and most of them have begun to be answered.
 *
 * The request as a whole is treated as one more part, the last one, that all
 * its repeats have and no other request (position CRASH_PARTS_WHOLE).
 *
 * A loss is a part, and the replica's incarnation that was lost with a request
 * of that part.  A part is barred once it was lost with CRASH_PARTS_LOSSES
 * incarnations, by two different requests or more unless it is a whole one, and
 * no request with it was answered since, nor within the immunity before.  While
 * other replicas end as well, as in an outage of many, it must have been lost
 * with two thirds of those that ended since, a whole request with half of them,
 * or with CRASH_PARTS_SURE.  Not counted are losses of requests whose answers
 * had begun, if one that had not begun was lost with the same incarnation, and
 * those of an incarnation that was lost with a barred part; but a whole request
 * is barred with CRASH_PARTS_SURE_WHOLE even so, as two causes may have run on
 * the same replicas.  Of parts that share their losses the one that comes later
 * in the prompt is barred, as fewer requests have it; if the other one is the
 * cause, its losses go on, and from CRASH_PARTS_SURE of them on those of whole
 * requests count for it too.
 *
 * A part that was barred by mistake is found by trials: one request with no
 * other barred part is admitted, after a pause that grows with each trial, and
 * is longer for a whole request, which keeps no other waiting.  An answer
 * clears the part.  Of the requests those with no other part that was lost come
 * first; the others must wait for twice the pause, as the cause may be their
 * other part.
 *
 * A pure policy: the caller passes the time, and shares losses, clearances and
 * trials among the gateways.  Memory is bounded; beyond it, the parts that were
 * used least recently are forgotten, barred ones last.
 */
#ifndef COORDINATION_CRASH_PARTS_H
#define COORDINATION_CRASH_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

#define CRASH_PARTS_LOSSES 3 /* incarnations; bar a part */
#define CRASH_PARTS_SURE 5 /* incarnations; do so whatever else ends */
/* The same for a whole request: it bars no other. */
#define CRASH_PARTS_SURE_WHOLE 4
#define CRASH_PARTS_LOSSES_KEPT 16 /* of one part, the newest */
#define CRASH_PARTS_WHOLE 0x7fffffff /* position of a whole request */
#define CRASH_PARTS_LOST_MAX 256 /* parts with losses */
#define CRASH_PARTS_BARRED_MAX 16 /* parts at once */

struct crash_parts;

struct crash_parts_options {
	size_t max_parts;
	int64_t immunity_us; /* of a part, after an answer */
	int64_t trial_us; /* pause before the first trial */
	unsigned trial_factor; /* on the pause, after each trial */
	int64_t trial_max_us;
};

/* What gateways and entries use, with max_parts to be set. */
extern const struct crash_parts_options crash_parts_defaults;
/* Losses older than this are forgotten: longer than between two trials. */
#define CRASH_PARTS_KEEP_US (3600 * USEC_PER_SEC)

/* A request with the part was lost with a replica. */
struct crash_loss {
	uint64_t part; /* id */
	uint64_t incarnation; /* hash */
	uint64_t request; /* hash of it as a whole, equal for its repeats */
	uint32_t position; /* of the part in the prompt, from 0 */
	bool begun; /* its answer had begun */
};

enum crash_verdict {
	CRASH_ADMIT,
	CRASH_TRIAL, /* admit it once a trial of the part has been recorded */
	CRASH_REFUSE,
};

struct crash_check {
	enum crash_verdict verdict;
	unsigned barred; /* parts of the request */
	uint64_t part; /* the barred part with the longest wait */
	int64_t wait_us; /* until its next trial; 0 if that is due */
};

/* Returns NULL if out of memory. */
struct crash_parts *crash_parts_create(const struct crash_parts_options *);
void crash_parts_destroy(struct crash_parts *);

/* Returns whether the loss is new; one within the immunity is not kept. */
bool crash_parts_lost(
    struct crash_parts *, const struct crash_loss *, int64_t now_us);
/*
 * A request with the part was answered, or others say so: the part's losses
 * and trials are forgotten, and it is immune for a time.
 */
void crash_parts_clear(struct crash_parts *, uint64_t part, int64_t now_us);
/*
 * A whole request was answered: it is immune for a time.  Cheaper than
 * crash_parts_clear(), for those without losses; a few are forgotten early.
 */
void crash_parts_whole_answered(
    struct crash_parts *, uint64_t whole, int64_t now_us);
/* The count of trials of the part so far, as recorded here or elsewhere. */
void crash_parts_tried(
    struct crash_parts *, uint64_t part, unsigned trials, int64_t now_us);

/* Whether any part has losses. */
bool crash_parts_any_lost(const struct crash_parts *);
/* Whether the part is within the immunity after an answer. */
bool crash_parts_is_immune(
    const struct crash_parts *, uint64_t part, int64_t now_us);
unsigned crash_parts_trials(const struct crash_parts *, uint64_t part);
/* Copies the part's losses; returns their number. */
size_t crash_parts_losses(const struct crash_parts *, uint64_t part,
    struct crash_loss out[CRASH_PARTS_LOSSES_KEPT]);

/* Whether a request with these parts may be sent. */
struct crash_check crash_parts_check(const struct crash_parts *,
    const uint64_t *parts, size_t count, int64_t now_us);

/*
 * Finds the part whose last loss is the oldest.  Returns false if there is none
 * older than age_us.
 */
bool crash_parts_oldest(
    const struct crash_parts *, int64_t age_us, int64_t now_us, uint64_t *part);

/* Copies the ids of the barred parts; returns their number. */
unsigned crash_parts_barred(
    const struct crash_parts *, uint64_t out[CRASH_PARTS_BARRED_MAX]);

#endif
