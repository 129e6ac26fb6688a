#include "common/clock.h"

#include <stdbool.h>
#include <stdlib.h>
#include <time.h>

struct clock {
	bool manual;
	int64_t now_us;
	int64_t wall_step_us; /* of a manual clock */
	int64_t common_ahead_us; /* of clock_now() */
};

static int64_t
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

struct clock *
clock_create_real(void)
{
	struct clock *clock = calloc(1, sizeof(*clock));

	if (clock != NULL)
		clock->common_ahead_us = clock_wall(clock) - clock_now(clock);
	return clock;
}

struct clock *
clock_create_manual(int64_t start_us)
{
	struct clock *clock = calloc(1, sizeof(*clock));

	if (clock == NULL)
		return NULL;
	clock->manual = true;
	clock->now_us = start_us;
	return clock;
}

void
clock_destroy(struct clock *clock)
{
	free(clock);
}

struct timeval
clock_timeval(int64_t us)
{
	struct timeval tv = { 0, 0 };

	if (us > 0) {
		tv.tv_sec = us / USEC_PER_SEC;
		tv.tv_usec = us % USEC_PER_SEC;
	}
	return tv;
}

int64_t
clock_now(const struct clock *clock)
{
	return clock->manual ? clock->now_us : read_clock(CLOCK_MONOTONIC);
}

int64_t
clock_wall(const struct clock *clock)
{
	return clock->manual ? clock->now_us + clock->wall_step_us
			     : read_clock(CLOCK_REALTIME);
}

int64_t
clock_common(const struct clock *clock)
{
	return clock_now(clock) + clock->common_ahead_us;
}

void
clock_step_wall(struct clock *clock, int64_t us)
{
	clock->wall_step_us += us;
}

void
clock_advance(struct clock *clock, int64_t us)
{
	if (clock->manual && us > 0)
		clock->now_us += us;
}
