#include "coordination/load_concurrency.h"

#include <string.h>

#include "common/clock.h"

/*
 * A load that takes this much longer than without concurrent loads was slowed
 * down by them; smaller delays may come from late reports.
 */
#define SLOW_RATIO 1.3
/* A limit set by a slow load is not raised for so long. */
#define LIMIT_KEEP_US (60 * USEC_PER_SEC)

static void
set_limit(struct load_concurrency *l, unsigned limit)
{
	if (limit > LOAD_CONCURRENCY_MAX)
		limit = LOAD_CONCURRENCY_MAX;
	l->limit = limit == 0 ? 1 : limit;
}

void
load_concurrency_init(struct load_concurrency *l, unsigned limit)
{
	memset(l, 0, sizeof(*l));
	set_limit(l, limit);
}

unsigned
load_concurrency_running(struct load_concurrency *l, int64_t now_us)
{
	unsigned kept = 0;

	for (unsigned i = 0; i < l->count; i++) {
		if (l->end_us[i] > now_us)
			l->end_us[kept++] = l->end_us[i];
	}
	l->count = kept;
	return kept;
}

bool
load_concurrency_allows(struct load_concurrency *l, int64_t now_us)
{
	return load_concurrency_running(l, now_us) < l->limit;
}

unsigned
load_concurrency_begin(
    struct load_concurrency *l, int64_t began_us, int64_t load_us)
{
	unsigned running = load_concurrency_running(l, began_us) + 1;

	if (l->limit > 0 && running > l->limit)
		load_us = load_us * running / l->limit;
	if (l->count < LOAD_CONCURRENCY_MAX)
		l->end_us[l->count++] = began_us + load_us;
	return running;
}

void
load_concurrency_adopt(
    struct load_concurrency *l, unsigned limit, int64_t learned_us)
{
	if (learned_us <= l->learned_us)
		return;
	set_limit(l, limit);
	l->learned_us = learned_us;
}

void
load_concurrency_learn(struct load_concurrency *l, unsigned running,
    unsigned allowed, int64_t load_us, int64_t took_us, int64_t now_us)
{
	double ratio = (double)took_us / (double)load_us;

	if (load_us <= 0 || running == 0)
		return;
	if (ratio > SLOW_RATIO) {
		/* Loads that began later, up to the limit, have slowed it. */
		if (running < allowed)
			running = allowed;
		set_limit(l, (unsigned)((double)running / ratio + 0.5));
		l->learned_us = now_us;
	} else if (running >= l->limit &&
		   (l->learned_us == 0 ||
		       now_us - l->learned_us > LIMIT_KEEP_US)) {
		set_limit(l, running + 1);
	}
}
