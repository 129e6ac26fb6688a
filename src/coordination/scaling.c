#include "coordination/scaling.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "common/clock.h"

#define UPDATE_US (1 * USEC_PER_SEC) /* between updates of the averages */
#define UPDATES_MAX 120 /* both averages have decayed to about 0 by then */
#define FAST_WEIGHT 0.3 /* of the demand since the last update */
#define SLOW_WEIGHT 0.03
#define UTILIZATION_TARGET 0.7 /* of a replica's rate */
/* Refusals and slow waits count for this time or until a replica is added. */
#define OVERLOAD_KEEP_US (3 * USEC_PER_SEC)

struct model {
	char *name;
	double fast_rate; /* moving averages, in tokens per second */
	double slow_rate;
	double tokens; /* since updated_us */
	int64_t updated_us;
	int64_t overload_us; /* last refusal or slow wait; 0: none */
	int64_t low_since_us; /* 0: demand is not low */
	unsigned desired;
	UT_hash_handle hh;
};

struct scaling {
	struct scaling_options opts;
	struct model *models;
};

struct scaling *
scaling_create(const struct scaling_options *opts)
{
	struct scaling *s = calloc(1, sizeof(*s));

	if (s == NULL)
		abort();
	s->opts = *opts;
	return s;
}

void
scaling_destroy(struct scaling *s)
{
	struct model *m, *next;

	if (s == NULL)
		return;
	HASH_ITER(hh, s->models, m, next) {
		HASH_DEL(s->models, m);
		free(m->name);
		free(m);
	}
	free(s);
}

static struct model *
get_model(struct scaling *s, const char *name, int64_t now_us)
{
	struct model *m;

	HASH_FIND_STR(s->models, name, m);
	if (m != NULL)
		return m;
	m = calloc(1, sizeof(*m));
	if (m == NULL)
		abort();
	m->name = strdup(name);
	m->updated_us = now_us;
	HASH_ADD_KEYPTR(hh, s->models, m->name, strlen(m->name), m);
	return m;
}

static void
update_averages(struct model *m, int64_t now_us)
{
	for (int i = 0; i < UPDATES_MAX && now_us - m->updated_us >= UPDATE_US;
	     i++) {
		m->fast_rate += (m->tokens - m->fast_rate) * FAST_WEIGHT;
		m->slow_rate += (m->tokens - m->slow_rate) * SLOW_WEIGHT;
		m->tokens = 0;
		m->updated_us += UPDATE_US;
	}
	if (now_us - m->updated_us >= UPDATE_US)
		m->updated_us = now_us;
}

void
scaling_report(
    struct scaling *s, const struct tm_demand_report *report, int64_t now_us)
{
	for (u_int i = 0; i < report->models.models_len; i++) {
		const struct tm_demand *d = &report->models.models_val[i];
		struct model *m = get_model(s, d->model, now_us);

		update_averages(m, now_us);
		m->tokens += d->tokens;
		if (d->refused > 0 ||
		    (int64_t)d->worst_wait_us > s->opts.slow_wait_us)
			m->overload_us = now_us;
	}
}

/* Extrapolates a rising demand by the distance between the averages. */
static double
predicted_rate(const struct model *m)
{
	return m->fast_rate > m->slow_rate ? 2 * m->fast_rate - m->slow_rate
					   : m->slow_rate;
}

static unsigned
needed_replicas(
    const struct model *m, const struct scaling_query *query, int64_t now_us)
{
	double target_rate = query->tokens_per_sec * UTILIZATION_TARGET;
	double replicas = target_rate > 0 ? predicted_rate(m) / target_rate : 0;
	unsigned need = query->min;

	if (replicas >= query->max)
		need = query->max;
	else if (replicas > need)
		need = (unsigned)replicas + (replicas > (unsigned)replicas);
	if (m->overload_us != 0 && now_us - m->overload_us < OVERLOAD_KEEP_US &&
	    need < m->desired + 1)
		need = m->desired + 1;
	return need > query->max ? query->max : need;
}

unsigned
scaling_desired(
    struct scaling *s, const struct scaling_query *query, int64_t now_us)
{
	struct model *m = get_model(s, query->model, now_us);
	unsigned need;

	update_averages(m, now_us);
	if (m->desired < query->min)
		m->desired = query->min;
	if (m->desired > query->max)
		m->desired = query->max;
	need = needed_replicas(m, query, now_us);
	if (need >= m->desired) {
		/* One overload adds one replica only. */
		if (need > m->desired)
			m->overload_us = 0;
		m->desired = need;
		m->low_since_us = 0;
	} else if (m->low_since_us == 0) {
		m->low_since_us = now_us;
	} else if (now_us - m->low_since_us >= s->opts.shrink_us) {
		m->desired--;
		m->low_since_us = now_us;
	}
	return m->desired;
}
