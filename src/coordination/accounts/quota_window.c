#include "coordination/accounts/quota_window.h"

#include <string.h>

#define SLOTS (QUOTA_STEPS + 1)

static int64_t
step_us(const struct quota_window *w)
{
	return w->window_us < QUOTA_STEPS ? 1 : w->window_us / QUOTA_STEPS;
}

static double *
slot(struct quota_window *w, int64_t step)
{
	return &w->counts[step % SLOTS];
}

/* Clears the steps that begin; time that goes back changes nothing. */
static void
advance(struct quota_window *w, int64_t now_us)
{
	int64_t step = now_us / step_us(w);

	if (step - w->step >= SLOTS)
		memset(w->counts, 0, sizeof(w->counts));
	else
		for (int64_t s = w->step + 1; s <= step; s++)
			*slot(w, s) = 0;
	if (step > w->step)
		w->step = step;
}

void
quota_window_init(
    struct quota_window *w, double limit, int64_t window_us, int64_t now_us)
{
	memset(w, 0, sizeof(*w));
	w->limit = limit;
	w->window_us = window_us;
	w->step = now_us / step_us(w);
}

double
quota_window_used(struct quota_window *w, int64_t now_us)
{
	double sum = 0;

	advance(w, now_us);
	for (int i = 0; i < SLOTS; i++)
		sum += w->counts[i];
	return sum;
}

void
quota_window_set(
    struct quota_window *w, double limit, int64_t window_us, int64_t now_us)
{
	double used;

	w->limit = limit;
	if (window_us == w->window_us)
		return;
	used = quota_window_used(w, now_us);
	quota_window_init(w, limit, window_us, now_us);
	*slot(w, w->step) = used;
}

/* The time until the amount fits, as the oldest steps leave the window. */
static int64_t
wait_until_fits(struct quota_window *w, double missing, int64_t now_us)
{
	for (int64_t age = QUOTA_STEPS; age >= 0; age--) {
		int64_t step = w->step - age;

		if (step < 0)
			continue;
		missing -= *slot(w, step);
		if (missing <= 0)
			return (step + SLOTS) * step_us(w) - now_us;
	}
	return w->window_us;
}

bool
quota_window_take(struct quota_window *w, double amount, double share,
    int64_t now_us, int64_t *wait_us)
{
	double used = quota_window_used(w, now_us);

	*wait_us = 0;
	if (used + amount <= w->limit * share || (used == 0 && w->limit > 0)) {
		*slot(w, w->step) += amount;
		return true;
	}
	*wait_us = wait_until_fits(w, used + amount - w->limit * share, now_us);
	return false;
}

void
quota_window_return(struct quota_window *w, double amount, int64_t now_us)
{
	advance(w, now_us);
	for (int64_t age = QUOTA_STEPS; age >= 0 && amount > 0; age--) {
		int64_t step = w->step - age;
		double part;

		if (step < 0)
			continue;
		part = *slot(w, step) < amount ? *slot(w, step) : amount;
		*slot(w, step) -= part;
		amount -= part;
	}
}
