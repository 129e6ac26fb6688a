#include "bench/scenario.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <jansson.h>

#define DEFAULT_PROMPT_TOKENS 64
#define DEFAULT_MAX_TOKENS 16
#define DEFAULT_TOKENS_LIMIT 4096
#define TARGETS_MAX 100000

static char *
copy_text(const char *text)
{
	char *copy = strdup(text);

	if (copy == NULL)
		abort();
	return copy;
}

static int
parse_lognormal(json_t *doc, const char *name, double median,
    struct lognormal *out, json_error_t *err)
{
	json_t *value = json_object_get(doc, name);
	int max = DEFAULT_TOKENS_LIMIT;

	out->median = median;
	out->sigma = 0;
	if (value != NULL &&
	    json_unpack_ex(value, err, JSON_STRICT, "{s:F,s?F,s?i}", "median",
		&out->median, "sigma", &out->sigma, "max", &max) == -1)
		return -1;
	out->max = max < 1 ? 1 : (unsigned)max;
	return 0;
}

static int
parse_burst(json_t *doc, struct flow *f, json_error_t *err)
{
	json_t *burst = json_object_get(doc, "burst");
	int size = 0;
	double spread_ms = 0;

	if (burst == NULL)
		return 0;
	if (json_unpack_ex(burst, err, JSON_STRICT, "{s:F,s:i,s?F}", "every_s",
		&f->burst_every_s, "size", &size, "spread_ms",
		&spread_ms) == -1)
		return -1;
	f->burst_size = size < 0 ? 0 : (unsigned)size;
	f->burst_spread_s = spread_ms / 1e3;
	return 0;
}

static void
add_target(struct flow *f, size_t i, const char *name)
{
	f->targets[i] = copy_text(name);
}

static int
parse_targets(json_t *doc, struct flow *f, const char *prefix, int count)
{
	json_t *list = json_object_get(doc, "targets"), *item;
	char name[256];
	size_t i;

	f->target_count = list ? json_array_size(list) : (size_t)count;
	if (f->target_count == 0 || f->target_count > TARGETS_MAX)
		return -1;
	f->targets = calloc(f->target_count, sizeof(*f->targets));
	f->cumulative_weights =
	    calloc(f->target_count, sizeof(*f->cumulative_weights));
	if (f->targets == NULL || f->cumulative_weights == NULL)
		abort();
	for (i = 0; list == NULL && i < f->target_count; i++) {
		snprintf(name, sizeof(name), "%s%zu", prefix, i);
		add_target(f, i, name);
	}
	json_array_foreach(list, i, item)
	{
		if (!json_is_string(item))
			return -1;
		add_target(f, i, json_string_value(item));
	}
	return 0;
}

static void
set_target_weights(struct flow *f, double zipf)
{
	double sum = 0;

	for (size_t i = 0; i < f->target_count; i++) {
		sum += pow((double)(i + 1), -zipf);
		f->cumulative_weights[i] = sum;
	}
	for (size_t i = 0; i < f->target_count; i++)
		f->cumulative_weights[i] /= sum;
}

static const char *
parse_flow(
    json_t *doc, const struct scenario *s, struct flow *f, json_error_t *err)
{
	const char *name = "", *rank = NULL, *prefix = "", *service = NULL,
		   *path = "/", *unused = NULL;
	int count = 0, idempotency_keys = 0, tenants = 1;
	json_int_t deadline = 0;
	/* Objects and lists that are parsed below; JSON_STRICT needs them. */
	json_t *lists[4] = { NULL };
	double zipf = 0;

	f->end_s = s->seconds;
	if (json_unpack_ex(doc, err, JSON_STRICT,
		"{s:s,s?s,s?F,s?F,s?F,s?o,s?o,s?s,s?i,s?F,s?s,s?s,s?b,s?i,s?I,"
		"s?o,s?o,s?s}",
		"name", &name, "rank", &rank, "rate", &f->rate, "start_s",
		&f->start_s, "end_s", &f->end_s, "burst", &lists[0], "targets",
		&lists[1], "prefix", &prefix, "count", &count, "zipf", &zipf,
		"service", &service, "path", &path, "keys", &idempotency_keys,
		"tenants", &tenants, "deadline_ms", &deadline, "prompt_tokens",
		&lists[2], "max_tokens", &lists[3], "comment", &unused) == -1 ||
	    parse_burst(doc, f, err) == -1 ||
	    parse_lognormal(doc, "prompt_tokens", DEFAULT_PROMPT_TOKENS,
		&f->prompt_tokens, err) == -1 ||
	    parse_lognormal(doc, "max_tokens", DEFAULT_MAX_TOKENS,
		&f->max_tokens, err) == -1)
		return err->text;
	f->name = copy_text(name);
	f->rank = rank == NULL ? NULL : copy_text(rank);
	f->path = copy_text(path);
	f->service = service == NULL ? NULL : copy_text(service);
	f->idempotency_keys = idempotency_keys != 0;
	f->tenants = tenants < 1 ? 1 : (unsigned)tenants;
	f->deadline_ms = deadline;
	if (service == NULL && parse_targets(doc, f, prefix, count) == -1)
		return "targets, or prefix and count, must name models";
	if (service == NULL)
		set_target_weights(f, zipf);
	if (f->rate < 0 || f->start_s < 0 || f->end_s > s->seconds ||
	    f->end_s <= f->start_s || f->burst_every_s < 0)
		return "rate, start_s, end_s or burst is out of range";
	return NULL;
}

static const char *
parse_scenario(json_t *doc, struct scenario *s, json_error_t *err)
{
	const char *name = "", *error, *unused;
	json_t *flows, *flow;
	json_int_t seed = 1;
	size_t i;

	if (json_unpack_ex(doc, err, JSON_STRICT, "{s:s,s:F,s?I,s:o,s?s}",
		"name", &name, "seconds", &s->seconds, "seed", &seed, "flows",
		&flows, "comment", &unused) == -1)
		return err->text;
	if (s->seconds <= 0 || json_array_size(flows) == 0)
		return "seconds must be positive, and flows a non-empty list";
	s->name = copy_text(name);
	s->seed = (uint64_t)seed;
	s->flows = calloc(json_array_size(flows), sizeof(*s->flows));
	if (s->flows == NULL)
		abort();
	json_array_foreach(flows, i, flow)
	{
		s->flow_count++;
		error = parse_flow(flow, s, &s->flows[i], err);
		if (error != NULL)
			return error;
	}
	return NULL;
}

struct scenario *
scenario_load(const char *path, char err[SCENARIO_ERROR_LEN])
{
	struct scenario *s = calloc(1, sizeof(*s));
	json_error_t json_err;
	json_t *doc = json_load_file(path, 0, &json_err);
	const char *error;

	if (s == NULL)
		abort();
	error = doc == NULL ? json_err.text : parse_scenario(doc, s, &json_err);
	if (error != NULL) {
		snprintf(err, SCENARIO_ERROR_LEN, "%s: %s", path, error);
		scenario_destroy(s);
		s = NULL;
	}
	json_decref(doc);
	return s;
}

static void
flow_clear(struct flow *f)
{
	for (size_t i = 0; f->targets != NULL && i < f->target_count; i++)
		free(f->targets[i]);
	free(f->targets);
	free(f->cumulative_weights);
	free(f->name);
	free(f->rank);
	free(f->service);
	free(f->path);
}

void
scenario_destroy(struct scenario *s)
{
	if (s == NULL)
		return;
	for (size_t i = 0; i < s->flow_count; i++)
		flow_clear(&s->flows[i]);
	free(s->flows);
	free(s->name);
	free(s);
}
