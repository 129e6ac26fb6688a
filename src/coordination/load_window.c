#include "coordination/load_window.h"

#include <string.h>

void
load_window_init(struct load_window *w, double rate, int64_t window_us,
    double overage, unsigned burst, int64_t slack_us)
{
	double loads = rate * ((double)window_us / 1e6) * overage + burst;

	memset(w, 0, sizeof(*w));
	w->window_us = window_us;
	w->slack_us = slack_us;
	w->limit = loads < 1		     ? 1
		   : loads > LOAD_WINDOW_MAX ? LOAD_WINDOW_MAX
					     : (unsigned)loads;
}

static void
remove_oldest(struct load_window *w)
{
	w->count--;
	memmove(
	    w->began_us, w->began_us + 1, w->count * sizeof(w->began_us[0]));
}

void
load_window_record(struct load_window *w, int64_t began_us)
{
	if (w->count == LOAD_WINDOW_MAX)
		remove_oldest(w);
	w->began_us[w->count++] = began_us;
}

bool
load_window_allows(struct load_window *w, int64_t now_us)
{
	unsigned within = 0;

	for (unsigned i = 0; i < w->count; i++) {
		if (now_us - w->began_us[i] < w->window_us + w->slack_us)
			within++;
	}
	return within < w->limit;
}
