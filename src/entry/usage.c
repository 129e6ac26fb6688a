#include "entry/usage.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uthash.h>

#include "common/histogram.h"
#include "common/metrics.h"

#define ROWS_MAX 200 /* names of one dimension, to bound the metrics */
#define OTHER_NAME "(other)"
#define LABELS_MAX 256

enum dimension {
	BY_RANK,
	BY_MODEL,
	BY_TENANT,
	DIMENSION_COUNT,
};

struct row {
	char *name;
	uint64_t answered;
	uint64_t refused; /* all other results */
	struct histogram *first_token;
	struct histogram *total;
	UT_hash_handle hh;
};

struct usage {
	struct metrics *metrics;
	struct row *rows[DIMENSION_COUNT];
};

static const struct {
	const char *label;
	const char *json_key;
	const char *first_token; /* metric */
	const char *total; /* metric */
} dimensions[DIMENSION_COUNT] = {
	{ "rank", "ranks", "first_token_seconds", "request_seconds" },
	{ "model", "models", "model_first_token_seconds",
	    "model_request_seconds" },
	{ "tenant", "tenants", "tenant_first_token_seconds",
	    "tenant_request_seconds" },
};

struct usage *
usage_create(struct metrics *metrics)
{
	struct usage *u = calloc(1, sizeof(*u));

	if (u == NULL)
		abort();
	u->metrics = metrics;
	return u;
}

void
usage_destroy(struct usage *u)
{
	struct row *row, *next;

	if (u == NULL)
		return;
	for (int d = 0; d < DIMENSION_COUNT; d++) {
		HASH_ITER(hh, u->rows[d], row, next) {
			HASH_DEL(u->rows[d], row);
			free(row->name);
			free(row);
		}
	}
	free(u);
}

static struct row *
get_row(struct usage *u, enum dimension d, const char *name)
{
	char labels[LABELS_MAX] = "";
	struct row *row;

	HASH_FIND_STR(u->rows[d], name, row);
	if (row == NULL && HASH_COUNT(u->rows[d]) >= ROWS_MAX - 1) {
		name = OTHER_NAME;
		HASH_FIND_STR(u->rows[d], name, row);
	}
	if (row != NULL)
		return row;
	row = calloc(1, sizeof(*row));
	if (row == NULL)
		abort();
	row->name = strdup(name);
	metrics_label(labels, sizeof(labels), dimensions[d].label, name);
	row->first_token =
	    metrics_histogram(u->metrics, dimensions[d].first_token, labels);
	row->total = metrics_histogram(u->metrics, dimensions[d].total, labels);
	HASH_ADD_KEYPTR(hh, u->rows[d], row->name, strlen(row->name), row);
	return row;
}

static void
record_row(struct row *row, const struct usage_sample *sample)
{
	if (sample->code == RESULT_OK)
		row->answered++;
	else
		row->refused++;
	if (sample->first_token_us >= 0)
		histogram_record(
		    row->first_token, (uint64_t)sample->first_token_us);
	if (sample->code == RESULT_OK)
		histogram_record(row->total, (uint64_t)sample->total_us);
}

void
usage_record(struct usage *u, const struct usage_sample *sample)
{
	record_row(get_row(u, BY_RANK, sample->rank), sample);
	record_row(get_row(u, BY_MODEL, sample->model), sample);
	record_row(get_row(u, BY_TENANT, sample->tenant), sample);
}

static double
quantile_s(const struct histogram *h, double q)
{
	return (double)histogram_quantile(h, q) / 1e6;
}

static json_t *
rows_json(struct row *rows)
{
	json_t *list = json_array();
	struct row *row, *next;

	HASH_ITER(hh, rows, row, next) {
		json_array_append_new(list,
		    json_pack("{s:s,s:I,s:I,s:f,s:f,s:f}", "name", row->name,
			"answered", (json_int_t)row->answered, "refused",
			(json_int_t)row->refused, "first_token_p50_s",
			quantile_s(row->first_token, 0.5), "first_token_p99_s",
			quantile_s(row->first_token, 0.99), "total_p99_s",
			quantile_s(row->total, 0.99)));
	}
	return list;
}

json_t *
usage_json(const struct usage *u)
{
	json_t *doc = json_object();

	for (int d = 0; d < DIMENSION_COUNT; d++)
		json_object_set_new(
		    doc, dimensions[d].json_key, rows_json(u->rows[d]));
	return doc;
}
