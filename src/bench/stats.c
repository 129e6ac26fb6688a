#include "bench/stats.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>

struct code_count {
	char name[STATS_NAME_MAX];
	uint64_t count;
	LIST_ENTRY(code_count) link;
};

struct rank_stats {
	char name[STATS_NAME_MAX];
	struct stats_totals totals;
	uint64_t tokens;
	struct histogram first_token;
	struct histogram between_tokens;
	struct histogram latency;
	struct histogram refused; /* latency of all other outcomes */
	/* Requests by the second in which they were scheduled. */
	uint32_t *answered_by_s;
	uint32_t *ended_by_s; /* with any outcome */
	LIST_HEAD(, code_count) codes;
	LIST_ENTRY(rank_stats) link;
};

struct stats {
	unsigned seconds; /* entries of the series by second */
	int64_t late_margin_us;
	LIST_HEAD(, rank_stats) ranks;
};

const char *
bench_outcome_name(enum bench_outcome outcome)
{
	static const char *const names[] = { "answered", "not_run", "unknown",
		"broken", "short" };

	return names[outcome];
}

struct stats *
stats_create(unsigned seconds, int64_t late_margin_us)
{
	struct stats *stats = calloc(1, sizeof(*stats));

	if (stats == NULL)
		abort();
	stats->seconds = seconds + 1;
	stats->late_margin_us = late_margin_us;
	return stats;
}

static void
rank_free(struct rank_stats *r)
{
	struct code_count *c, *next;

	LIST_FOREACH_SAFE(c, &r->codes, link, next)
		free(c);
	free(r->answered_by_s);
	free(r->ended_by_s);
	free(r);
}

void
stats_destroy(struct stats *stats)
{
	struct rank_stats *r, *next;

	if (stats == NULL)
		return;
	LIST_FOREACH_SAFE(r, &stats->ranks, link, next)
		rank_free(r);
	free(stats);
}

static struct rank_stats *
get_rank(struct stats *stats, const char *name)
{
	struct rank_stats *r;

	if (name == NULL)
		name = "default";
	LIST_FOREACH(r, &stats->ranks, link) {
		if (strcmp(r->name, name) == 0)
			return r;
	}
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		abort();
	strlcpy(r->name, name, sizeof(r->name));
	r->answered_by_s = calloc(stats->seconds, sizeof(*r->answered_by_s));
	r->ended_by_s = calloc(stats->seconds, sizeof(*r->ended_by_s));
	if (r->answered_by_s == NULL || r->ended_by_s == NULL)
		abort();
	LIST_INSERT_HEAD(&stats->ranks, r, link);
	return r;
}

static void
count_code(struct rank_stats *r, const char *name)
{
	struct code_count *c;

	LIST_FOREACH(c, &r->codes, link) {
		if (strcmp(c->name, name) == 0) {
			c->count++;
			return;
		}
	}
	c = calloc(1, sizeof(*c));
	if (c == NULL)
		abort();
	strlcpy(c->name, name, sizeof(c->name));
	c->count = 1;
	LIST_INSERT_HEAD(&r->codes, c, link);
}

void
stats_add_sent(struct stats *stats, const char *rank)
{
	get_rank(stats, rank)->totals.sent++;
}

void
stats_add_first_token(struct stats *stats, const char *rank, int64_t us)
{
	histogram_record(&get_rank(stats, rank)->first_token, (uint64_t)us);
}

void
stats_add_between_tokens(struct stats *stats, const char *rank, int64_t us)
{
	histogram_record(&get_rank(stats, rank)->between_tokens, (uint64_t)us);
}

void
stats_add_result(struct stats *stats, const struct bench_result *res)
{
	struct rank_stats *r = get_rank(stats, res->rank);
	unsigned second = (unsigned)(res->due_us / 1000000);

	r->totals.outcomes[res->outcome]++;
	if (res->deadline_us > 0 &&
	    res->latency_us > res->deadline_us + stats->late_margin_us)
		r->totals.late++;
	if (res->code != NULL)
		count_code(r, res->code);
	if (second < stats->seconds) {
		r->ended_by_s[second]++;
		r->answered_by_s[second] += res->outcome == BENCH_ANSWERED;
	}
	if (res->outcome == BENCH_ANSWERED) {
		r->tokens += res->tokens;
		histogram_record(&r->latency, (uint64_t)res->latency_us);
	} else {
		histogram_record(&r->refused, (uint64_t)res->latency_us);
	}
}

void
stats_totals(const struct stats *stats, struct stats_totals *totals)
{
	const struct rank_stats *r;

	memset(totals, 0, sizeof(*totals));
	LIST_FOREACH(r, &stats->ranks, link) {
		totals->sent += r->totals.sent;
		totals->late += r->totals.late;
		for (int i = 0; i <= BENCH_SHORT; i++)
			totals->outcomes[i] += r->totals.outcomes[i];
	}
}

static double
quantile_ms(const struct histogram *h, double q)
{
	return (double)histogram_quantile(h, q) / 1e3;
}

/* Mean and quantiles in milliseconds, and points of a curve for the plots. */
static json_t *
histogram_json(const struct histogram *h)
{
	static const double curve[] = { 0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5,
		0.6, 0.7, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999 };
	json_t *points = json_array();

	for (size_t i = 0; i < sizeof(curve) / sizeof(curve[0]); i++)
		json_array_append_new(points,
		    json_pack("[f,f]", curve[i], quantile_ms(h, curve[i])));
	return json_pack("{s:I,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", "count",
	    (json_int_t)h->count, "mean",
	    h->count ? (double)h->sum / (double)h->count / 1e3 : 0.0, "p50",
	    quantile_ms(h, 0.5), "p95", quantile_ms(h, 0.95), "p99",
	    quantile_ms(h, 0.99), "p99_9", quantile_ms(h, 0.999), "max",
	    (double)h->max / 1e3, "curve", points);
}

static json_t *
series_json(const uint32_t *values, unsigned count)
{
	json_t *out = json_array();

	for (unsigned i = 0; i < count; i++)
		json_array_append_new(out, json_integer(values[i]));
	return out;
}

static json_t *
rank_json(const struct stats *stats, const struct rank_stats *r)
{
	json_t *doc = json_object(), *codes = json_object();
	const struct code_count *c;

	LIST_FOREACH(c, &r->codes, link)
		json_object_set_new(
		    codes, c->name, json_integer((json_int_t)c->count));
	json_object_set_new(
	    doc, "sent", json_integer((json_int_t)r->totals.sent));
	for (int i = 0; i <= BENCH_SHORT; i++)
		json_object_set_new(doc,
		    bench_outcome_name((enum bench_outcome)i),
		    json_integer((json_int_t)r->totals.outcomes[i]));
	json_object_set_new(
	    doc, "late", json_integer((json_int_t)r->totals.late));
	json_object_set_new(doc, "tokens", json_integer((json_int_t)r->tokens));
	json_object_set_new(doc, "codes", codes);
	json_object_set_new(
	    doc, "first_token_ms", histogram_json(&r->first_token));
	json_object_set_new(
	    doc, "between_tokens_ms", histogram_json(&r->between_tokens));
	json_object_set_new(doc, "whole_ms", histogram_json(&r->latency));
	json_object_set_new(doc, "refused_ms", histogram_json(&r->refused));
	json_object_set_new(
	    doc, "ended_by_s", series_json(r->ended_by_s, stats->seconds));
	json_object_set_new(doc, "answered_by_s",
	    series_json(r->answered_by_s, stats->seconds));
	return doc;
}

json_t *
stats_json(const struct stats *stats)
{
	json_t *doc = json_object();
	const struct rank_stats *r;

	LIST_FOREACH(r, &stats->ranks, link)
		json_object_set_new(doc, r->name, rank_json(stats, r));
	return doc;
}
