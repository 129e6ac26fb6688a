#include "common/metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <uthash.h>

#include "common/histogram.h"

enum metric_type {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
};

struct series {
	char *labels;
	union {
		uint64_t counter;
		int64_t gauge;
		struct histogram *histogram;
	} value;
	UT_hash_handle hh;
};

struct family {
	char *name;
	enum metric_type type;
	struct series *series;
	UT_hash_handle hh;
};

struct metrics {
	struct family *families;
};

static const uint64_t bucket_bounds_us[] = { 1000, 2500, 5000, 10000, 25000,
	50000, 100000, 250000, 500000, 1000000, 2500000, 5000000, 10000000,
	30000000, 120000000 };

struct metrics *
metrics_create(void)
{
	return calloc(1, sizeof(struct metrics));
}

static void
series_destroy(struct family *fam, struct series *s)
{
	if (fam->type == METRIC_HISTOGRAM)
		free(s->value.histogram);
	free(s->labels);
	free(s);
}

void
metrics_destroy(struct metrics *m)
{
	struct family *fam, *fam_next;
	struct series *s, *s_next;

	if (m == NULL)
		return;
	HASH_ITER(hh, m->families, fam, fam_next) {
		HASH_ITER(hh, fam->series, s, s_next) {
			HASH_DEL(fam->series, s);
			series_destroy(fam, s);
		}
		HASH_DEL(m->families, fam);
		free(fam->name);
		free(fam);
	}
	free(m);
}

void
metrics_label(char *labels, size_t size, const char *name, const char *value)
{
	char escaped[2 * METRICS_LABEL_MAX + 1];
	size_t n = 0, used = strlen(labels);

	for (size_t i = 0; value[i] != '\0' && i < METRICS_LABEL_MAX; i++) {
		char c = value[i];

		if (c == '\n' || c == '\\' || c == '"')
			escaped[n++] = '\\';
		escaped[n++] = c == '\n' ? 'n' : c;
	}
	escaped[n] = '\0';
	snprintf(labels + used, size - used, "%s%s=\"%s\"", used > 0 ? "," : "",
	    name, escaped);
}

static struct family *
get_family(struct metrics *m, const char *name, enum metric_type type)
{
	struct family *fam;

	HASH_FIND_STR(m->families, name, fam);
	if (fam != NULL)
		return fam;
	fam = calloc(1, sizeof(*fam));
	if (fam == NULL)
		abort();
	fam->name = strdup(name);
	fam->type = type;
	HASH_ADD_KEYPTR(hh, m->families, fam->name, strlen(fam->name), fam);
	return fam;
}

static struct series *
get_series(struct metrics *m, const char *name, const char *labels,
    enum metric_type type)
{
	struct family *fam = get_family(m, name, type);
	struct series *s;

	HASH_FIND_STR(fam->series, labels, s);
	if (s != NULL)
		return s;
	if (HASH_COUNT(fam->series) >= METRICS_MAX_SERIES) {
		labels = "other=\"true\"";
		HASH_FIND_STR(fam->series, labels, s);
		if (s != NULL)
			return s;
	}
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		abort();
	s->labels = strdup(labels);
	if (type == METRIC_HISTOGRAM) {
		s->value.histogram = calloc(1, sizeof(struct histogram));
		if (s->value.histogram == NULL)
			abort();
	}
	HASH_ADD_KEYPTR(hh, fam->series, s->labels, strlen(s->labels), s);
	return s;
}

uint64_t *
metrics_counter(struct metrics *m, const char *name, const char *labels)
{
	return &get_series(m, name, labels, METRIC_COUNTER)->value.counter;
}

int64_t *
metrics_gauge(struct metrics *m, const char *name, const char *labels)
{
	return &get_series(m, name, labels, METRIC_GAUGE)->value.gauge;
}

struct histogram *
metrics_histogram(struct metrics *m, const char *name, const char *labels)
{
	return get_series(m, name, labels, METRIC_HISTOGRAM)->value.histogram;
}

static void
render_value(
    const struct family *fam, const struct series *s, struct evbuffer *out)
{
	evbuffer_add_printf(out, "%s%s%s%s ", fam->name,
	    s->labels[0] ? "{" : "", s->labels, s->labels[0] ? "}" : "");
	if (fam->type == METRIC_COUNTER)
		evbuffer_add_printf(out, "%" PRIu64 "\n", s->value.counter);
	else
		evbuffer_add_printf(out, "%" PRId64 "\n", s->value.gauge);
}

static void
render_histogram(
    const struct family *fam, const struct series *s, struct evbuffer *out)
{
	const struct histogram *h = s->value.histogram;
	const char *comma = s->labels[0] ? "," : "";

	for (size_t i = 0;
	     i < sizeof(bucket_bounds_us) / sizeof(bucket_bounds_us[0]); i++) {
		evbuffer_add_printf(out,
		    "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n", fam->name,
		    s->labels, comma, (double)bucket_bounds_us[i] / 1e6,
		    histogram_count_below(h, bucket_bounds_us[i]));
	}
	evbuffer_add_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
	    fam->name, s->labels, comma, h->count);
	evbuffer_add_printf(out, "%s_sum%s%s%s %.6f\n", fam->name,
	    s->labels[0] ? "{" : "", s->labels, s->labels[0] ? "}" : "",
	    (double)h->sum / 1e6);
	evbuffer_add_printf(out, "%s_count%s%s%s %" PRIu64 "\n", fam->name,
	    s->labels[0] ? "{" : "", s->labels, s->labels[0] ? "}" : "",
	    h->count);
}

void
metrics_render(const struct metrics *m, struct evbuffer *out)
{
	static const char *const type_names[] = { "counter", "gauge",
		"histogram" };
	struct family *fam, *fam_next;
	struct series *s, *s_next;

	HASH_ITER(hh, m->families, fam, fam_next) {
		evbuffer_add_printf(
		    out, "# TYPE %s %s\n", fam->name, type_names[fam->type]);
		HASH_ITER(hh, fam->series, s, s_next) {
			if (fam->type == METRIC_HISTOGRAM)
				render_histogram(fam, s, out);
			else
				render_value(fam, s, out);
		}
	}
}
