#include "coordination/rate_limit.h"

/* Requests that may come at once after a pause. */
#define BURST 2
/* A lower limit is taken for this one, to bound the intervals. */
#define MIN_PER_S 0.01
/* Timers are late by so much that shorter turns would be missed. */
#define TURN_MIN_US (250 * USEC_PER_MSEC)

static double
bounded(double per_s)
{
	return per_s < MIN_PER_S ? MIN_PER_S : per_s;
}

static int64_t
interval_us(double per_s)
{
	return (int64_t)((double)USEC_PER_SEC / per_s);
}

void
rate_limit_set(
    struct rate_limit *l, double per_s, int64_t now_us, int64_t not_before_us)
{
	int64_t interval = interval_us(bounded(per_s));

	/* Others may just have sent requests. */
	if (l->per_s == 0)
		l->next_us = (now_us > not_before_us ? now_us : not_before_us) +
			     interval;
	l->per_s = bounded(per_s);
}

bool
rate_limit_take(
    struct rate_limit *l, int64_t now_us, int64_t ahead_us, int64_t *at_us)
{
	int64_t interval = interval_us(l->per_s);
	int64_t earliest = l->next_us - (BURST - 1) * interval;

	*at_us = earliest > now_us ? earliest : now_us;
	if (*at_us - now_us > ahead_us)
		return false;
	l->next_us = (l->next_us > *at_us ? l->next_us : *at_us) + interval;
	return true;
}

bool
rate_share_take(struct rate_share *s, double per_s, unsigned gateways,
    uint64_t index, int64_t now_us, int64_t ahead_us, int64_t *at_us)
{
	int64_t turn_us, turn, own;
	unsigned allowed;

	per_s = bounded(per_s);
	turn_us = interval_us(per_s);
	if (turn_us < TURN_MIN_US)
		turn_us = TURN_MIN_US;
	allowed = (unsigned)((double)turn_us * per_s / USEC_PER_SEC + 0.001);
	if (allowed == 0)
		allowed = 1;
	turn = now_us / turn_us;
	/* Turns of another limit, or from before the clock was set back. */
	if (s->per_s != per_s ||
	    s->turn > turn + gateways + RATE_LIMIT_AHEAD_US / turn_us + 1)
		*s = (struct rate_share){ .per_s = per_s };
	if (turn < s->turn)
		turn = s->turn;
	own = (int64_t)(index % gateways);
	turn += (own - turn % gateways + gateways) % gateways;
	if (turn == s->turn && s->used >= allowed)
		turn += gateways;
	*at_us = turn * turn_us > now_us ? turn * turn_us : now_us;
	if (*at_us - now_us > ahead_us)
		return false;
	if (turn != s->turn)
		s->used = 0;
	s->turn = turn;
	s->used++;
	return true;
}
