#include "coordination/replica_speed.h"

#include <math.h>

#include "common/clock.h"

#define MEASURED_WEIGHT 0.15 /* of the newest value in the average */
#define MEASURED_MIN 0.5
#define MEASURED_MAX 8.0
/* Time constant with which a stated value loses its weight. */
#define STATED_DECAY_US (300 * USEC_PER_MSEC)
/* A machine that was slow within this time is likely to be again. */
#define PEAK_KEEP_US (30 * USEC_PER_SEC)

void
replica_speed_init(struct replica_speed *s)
{
	s->measured = 1;
	s->stated = 1;
	s->stated_us = 0;
}

void
replica_speed_state(struct replica_speed *s, double slowdown, int64_t now_us)
{
	if (slowdown <= 0)
		return;
	s->stated = slowdown;
	s->stated_us = now_us;
}

void
replica_speed_measure(
    struct replica_speed *s, int64_t took_us, int64_t predicted_us)
{
	double measured;

	if (predicted_us <= 0)
		return;
	measured = s->measured * (double)took_us / (double)predicted_us;
	s->measured += MEASURED_WEIGHT * (measured - s->measured);
	s->measured = fmin(fmax(s->measured, MEASURED_MIN), MEASURED_MAX);
}

double
replica_speed_stated(const struct replica_speed *s, int64_t now_us)
{
	double age_us = (double)(now_us - s->stated_us);

	return 1 + (s->stated - 1) * exp(-fmax(age_us, 0) / STATED_DECAY_US);
}

double
replica_speed_slowdown(const struct replica_speed *s, int64_t now_us)
{
	return s->measured * replica_speed_stated(s, now_us);
}

double
slowdown_peak_update(struct slowdown_peak *p, double slowdown, int64_t now_us)
{
	if (slowdown >= p->value || now_us - p->seen_us > PEAK_KEEP_US) {
		p->value = slowdown;
		p->seen_us = now_us;
	}
	return p->value < 1 ? 1 : p->value;
}
