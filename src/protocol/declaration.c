#include "protocol/declaration.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <jansson.h>

#define MIB (1024ULL * 1024ULL)
#define MEMORY_MIB_MAX (4096LL * 1024) /* 4 TiB */
#define REPLICAS_MAX 1000 /* of one model */
#define TOKENS_MAX 1000000 /* of one answer */
#define NAME_LIST_MAX 30000 /* names in one list */
#define KEY_HASH_LENGTH 64 /* hex digits of SHA-256 */
#define DAY_MS (24LL * 3600 * 1000)

enum field_type {
	FIELD_INT, /* int64_t */
	FIELD_NUMBER, /* double */
	FIELD_BOOL,
	FIELD_NAME, /* char[DECL_NAME_MAX] */
	FIELD_NAMES, /* struct name_list */
};

struct field_desc {
	const char *name;
	enum field_type type;
	size_t offset; /* in struct raw_spec */
	int64_t min; /* of FIELD_INT and FIELD_NUMBER */
	int64_t max;
	bool required;
	const char *help;
};

/* Fields of all kinds with the values and units of the document. */
struct raw_spec {
	int64_t memory_mib;
	int64_t min_replicas;
	int64_t max_replicas;
	int64_t max_tokens;
	int64_t concurrency;
	int64_t timeout_ms;
	int64_t order;
	int64_t floor_percent;
	int64_t deadline_ms;
	int64_t queue_tokens;
	double idle_hour_worth;
	double cold_second_worth;
	double rate_per_s;
	double burst;
	int64_t plain_tokens;
	bool in_tokens;
	bool repeatable;
	char model[DECL_NAME_MAX];
	char rank[DECL_NAME_MAX];
	struct name_list key_hashes;
	struct name_list models;
	struct name_list adapters;
	struct name_list services;
	struct name_list ranks;
};

static const struct raw_spec default_values = {
	.max_replicas = 1,
	.max_tokens = 4096,
	.concurrency = 8,
	.timeout_ms = 30000,
	.deadline_ms = 30000,
	.queue_tokens = 200000,
	.idle_hour_worth = 1,
	.cold_second_worth = 0.01,
	.plain_tokens = 1,
};

#define F(field) offsetof(struct raw_spec, field)

static const struct field_desc model_fields[] = {
	{ "memory_mib", FIELD_INT, F(memory_mib), 1, MEMORY_MIB_MAX, true,
	    "accelerator memory of one loaded replica, MiB" },
	{ "min_replicas", FIELD_INT, F(min_replicas), 0, REPLICAS_MAX, false,
	    "minimum number of slots, kept without demand; default 0" },
	{ "max_replicas", FIELD_INT, F(max_replicas), 1, REPLICAS_MAX, false,
	    "maximum number of slots; default 1" },
	{ "max_tokens", FIELD_INT, F(max_tokens), 1, TOKENS_MAX, false,
	    "maximum tokens of an answer; default 4096" },
	{ .name = NULL },
};

static const struct field_desc adapter_fields[] = {
	{ "model", FIELD_NAME, F(model), 0, 0, true, "the model it adapts" },
	{ "memory_mib", FIELD_INT, F(memory_mib), 1, MEMORY_MIB_MAX, true,
	    "accelerator memory when loaded, MiB" },
	{ .name = NULL },
};

static const struct field_desc service_fields[] = {
	{ "concurrency", FIELD_INT, F(concurrency), 1, 10000, false,
	    "calls that run at once on a backend server; default 8" },
	{ "timeout_ms", FIELD_INT, F(timeout_ms), 1, DAY_MS, false,
	    "time-out of a call, ms; default 30000" },
	{ "repeatable", FIELD_BOOL, F(repeatable), 0, 0, false,
	    "whether calls other than GET may be repeated; default false" },
	{ .name = NULL },
};

static const struct field_desc rank_fields[] = {
	{ "order", FIELD_INT, F(order), 0, 99, true, "0 is the most urgent" },
	{ "floor_percent", FIELD_INT, F(floor_percent), 0, 100, false,
	    "share of capacity guaranteed under overload, percent; "
	    "default 0" },
	{ "deadline_ms", FIELD_INT, F(deadline_ms), 1, DAY_MS, false,
	    "time until the answer is complete, for callers that state none, "
	    "ms; default 30000" },
	{ .name = NULL },
};

static const struct field_desc deployment_fields[] = {
	{ "models", FIELD_NAMES, F(models), 0, NAME_LIST_MAX, false,
	    "models offered; default all" },
	{ "adapters", FIELD_NAMES, F(adapters), 0, NAME_LIST_MAX, false,
	    "adapters offered; default all" },
	{ "services", FIELD_NAMES, F(services), 0, NAME_LIST_MAX, false,
	    "plain services offered; default all" },
	{ "ranks", FIELD_NAMES, F(ranks), 0, NAME_LIST_MAX, false,
	    "ranks that may use it; default all" },
	{ "idle_hour_worth", FIELD_NUMBER, F(idle_hour_worth), 0, 1000000,
	    false, "cost of an hour that an accelerator idles; default 1" },
	{ "cold_second_worth", FIELD_NUMBER, F(cold_second_worth), 0, 1000000,
	    false,
	    "cost of a second of cold start, in the unit of "
	    "idle_hour_worth; default 0.01" },
	{ "queue_tokens", FIELD_INT, F(queue_tokens), 1, 1000000000, false,
	    "maximum tokens in the queue of an agent; default 200000" },
	{ .name = NULL },
};

static const struct field_desc account_fields[] = {
	{ "key_hashes", FIELD_NAMES, F(key_hashes), 0, NAME_LIST_MAX, false,
	    "SHA-256 of each API key of the account, in lower-case hex; "
	    "default "
	    "none" },
	{ "rank", FIELD_NAME, F(rank), 0, 0, false,
	    "rank of the account's requests; default as they state" },
	{ "rate_per_s", FIELD_NUMBER, F(rate_per_s), 0, 1000000000, false,
	    "quota a second, over all entries; 0: no limit; default 0" },
	{ "burst", FIELD_NUMBER, F(burst), 0, 1000000000, false,
	    "quota in addition, at once; default 0" },
	{ "in_tokens", FIELD_BOOL, F(in_tokens), 0, 0, false,
	    "whether the quota counts tokens, not requests; default false" },
	{ "plain_tokens", FIELD_INT, F(plain_tokens), 0, TOKENS_MAX, false,
	    "tokens that a call of a plain service counts as; default 1" },
	{ .name = NULL },
};

static const struct {
	const char *name;
	const struct field_desc *fields;
} kind_descs[DECL_KIND_COUNT] = {
	[DECL_MODEL] = { "model", model_fields },
	[DECL_ADAPTER] = { "adapter", adapter_fields },
	[DECL_SERVICE] = { "service", service_fields },
	[DECL_RANK] = { "rank", rank_fields },
	[DECL_DEPLOYMENT] = { "deployment", deployment_fields },
	[DECL_ACCOUNT] = { "account", account_fields },
};

int
decl_kind_parse(const char *name)
{
	for (int i = 0; i < DECL_KIND_COUNT; i++) {
		if (strcmp(kind_descs[i].name, name) == 0)
			return i;
	}
	return -1;
}

const char *
decl_kind_name(enum decl_kind kind)
{
	return kind_descs[kind].name;
}

bool
decl_name_valid(const char *name)
{
	size_t len = strlen(name);

	if (len == 0 || len >= DECL_NAME_MAX)
		return false;
	if (!isalnum((unsigned char)name[0]) ||
	    !isalnum((unsigned char)name[len - 1]))
		return false;
	for (const char *c = name; *c != '\0'; c++) {
		if (!isalnum((unsigned char)*c) && strchr("-_./", *c) == NULL)
			return false;
	}
	return strstr(name, "..") == NULL && strstr(name, "//") == NULL;
}

bool
name_list_has(const struct name_list *list, const char *name)
{
	for (size_t i = 0; i < list->count; i++) {
		if (strcmp(list->names[i], name) == 0)
			return true;
	}
	return false;
}

static void
name_list_clear(struct name_list *list)
{
	for (size_t i = 0; i < list->count; i++)
		free(list->names[i]);
	free(list->names);
	list->names = NULL;
	list->count = 0;
}

static int
set_field_error(
    struct decl_error *err, const struct field_desc *f, const char *allowed)
{
	snprintf(
	    err->text, sizeof(err->text), "%s: must be %s", f->name, allowed);
	return -1;
}

static int
set_range_error(
    struct decl_error *err, const struct field_desc *f, const char *what)
{
	snprintf(err->text, sizeof(err->text),
	    "%s: must be %s from %" PRId64 " to %" PRId64, f->name, what,
	    f->min, f->max);
	return -1;
}

static int
parse_names(const struct field_desc *f, json_t *value, struct name_list *list,
    struct decl_error *err)
{
	size_t count = json_array_size(value);

	if (!json_is_array(value) || count > NAME_LIST_MAX)
		return set_field_error(err, f, "a list of names");
	list->names = calloc(count + 1, sizeof(char *));
	if (list->names == NULL)
		return set_field_error(err, f, "shorter");
	for (size_t i = 0; i < count; i++) {
		const char *name = json_string_value(json_array_get(value, i));

		if (name == NULL || !decl_name_valid(name))
			return set_field_error(err, f, "a list of names");
		list->names[list->count++] = strdup(name);
	}
	return 0;
}

static int
parse_field(const struct field_desc *f, json_t *value,
    struct raw_spec *raw_spec, struct decl_error *err)
{
	char *at = (char *)raw_spec + f->offset;

	switch (f->type) {
	case FIELD_INT:
		if (!json_is_integer(value) ||
		    json_integer_value(value) < f->min ||
		    json_integer_value(value) > f->max)
			return set_range_error(err, f, "an integer");
		*(int64_t *)(void *)at = json_integer_value(value);
		return 0;
	case FIELD_NUMBER:
		if (!json_is_number(value) ||
		    json_number_value(value) < (double)f->min ||
		    json_number_value(value) > (double)f->max)
			return set_range_error(err, f, "a number");
		*(double *)(void *)at = json_number_value(value);
		return 0;
	case FIELD_BOOL:
		if (!json_is_boolean(value))
			return set_field_error(err, f, "true or false");
		*(bool *)at = json_is_true(value);
		return 0;
	case FIELD_NAME:
		if (!json_is_string(value) ||
		    !decl_name_valid(json_string_value(value)))
			return set_field_error(err, f, "a name");
		strlcpy(at, json_string_value(value), DECL_NAME_MAX);
		return 0;
	case FIELD_NAMES:
		return parse_names(
		    f, value, (struct name_list *)(void *)at, err);
	}
	return -1;
}

static const struct field_desc *
find_field(const struct field_desc *fields, const char *name)
{
	for (const struct field_desc *f = fields; f->name != NULL; f++) {
		if (strcmp(f->name, name) == 0)
			return f;
	}
	return NULL;
}

static int
parse_fields(const struct field_desc *fields, json_t *doc,
    struct raw_spec *raw_spec, struct decl_error *err)
{
	const char *key;
	json_t *value;

	json_object_foreach(doc, key, value)
	{
		const struct field_desc *f = find_field(fields, key);

		if (f == NULL) {
			snprintf(err->text, sizeof(err->text),
			    "%.64s: no such field", key);
			return -1;
		}
		if (parse_field(f, value, raw_spec, err) == -1)
			return -1;
	}
	for (const struct field_desc *f = fields; f->name != NULL; f++) {
		if (f->required && json_object_get(doc, f->name) == NULL) {
			snprintf(err->text, sizeof(err->text),
			    "%s: must be given (%s)", f->name, f->help);
			return -1;
		}
	}
	return 0;
}

static void
convert_spec(struct declaration *decl, struct raw_spec *raw_spec)
{
	switch (decl->kind) {
	case DECL_MODEL:
		decl->spec.model.memory_bytes =
		    (uint64_t)raw_spec->memory_mib * MIB;
		decl->spec.model.min_replicas =
		    (unsigned)raw_spec->min_replicas;
		decl->spec.model.max_replicas =
		    (unsigned)raw_spec->max_replicas;
		decl->spec.model.max_tokens = (unsigned)raw_spec->max_tokens;
		break;
	case DECL_ADAPTER:
		strlcpy(
		    decl->spec.adapter.model, raw_spec->model, DECL_NAME_MAX);
		decl->spec.adapter.memory_bytes =
		    (uint64_t)raw_spec->memory_mib * MIB;
		break;
	case DECL_SERVICE:
		decl->spec.service.concurrency =
		    (unsigned)raw_spec->concurrency;
		decl->spec.service.timeout_us = raw_spec->timeout_ms * 1000;
		decl->spec.service.repeatable = raw_spec->repeatable;
		break;
	case DECL_RANK:
		decl->spec.rank.order = (unsigned)raw_spec->order;
		decl->spec.rank.floor = (double)raw_spec->floor_percent / 100;
		decl->spec.rank.deadline_us = raw_spec->deadline_ms * 1000;
		break;
	case DECL_DEPLOYMENT:
		decl->spec.deployment.models = raw_spec->models;
		decl->spec.deployment.adapters = raw_spec->adapters;
		decl->spec.deployment.services = raw_spec->services;
		decl->spec.deployment.ranks = raw_spec->ranks;
		decl->spec.deployment.idle_hour_worth =
		    raw_spec->idle_hour_worth;
		decl->spec.deployment.cold_second_worth =
		    raw_spec->cold_second_worth;
		decl->spec.deployment.queue_tokens =
		    (unsigned)raw_spec->queue_tokens;
		break;
	case DECL_ACCOUNT:
		decl->spec.account.key_hashes = raw_spec->key_hashes;
		strlcpy(decl->spec.account.rank, raw_spec->rank, DECL_NAME_MAX);
		decl->spec.account.per_s = raw_spec->rate_per_s;
		decl->spec.account.burst = raw_spec->burst;
		decl->spec.account.in_tokens = raw_spec->in_tokens;
		decl->spec.account.plain_tokens =
		    (double)raw_spec->plain_tokens;
		break;
	case DECL_KIND_COUNT:
		break;
	}
}

/* A key itself must not be stored by mistake: declarations can be read. */
static bool
are_key_hashes(const struct name_list *list)
{
	for (size_t i = 0; i < list->count; i++) {
		if (strlen(list->names[i]) != KEY_HASH_LENGTH ||
		    strspn(list->names[i], "0123456789abcdef") !=
			KEY_HASH_LENGTH)
			return false;
	}
	return true;
}

int
declaration_parse(struct declaration *decl, enum decl_kind kind,
    const char *body, size_t len, struct decl_error *err)
{
	struct raw_spec raw_spec = default_values;
	json_error_t json_err;
	json_t *doc = json_loadb(body, len, JSON_REJECT_DUPLICATES, &json_err);

	memset(decl, 0, sizeof(*decl));
	err->text[0] = '\0';
	decl->kind = kind;
	if (!json_is_object(doc)) {
		snprintf(err->text, sizeof(err->text),
		    "line %d: not a JSON object: %s",
		    doc == NULL ? json_err.line : 1,
		    doc == NULL ? json_err.text : "another type");
		goto fail;
	}
	if (parse_fields(kind_descs[kind].fields, doc, &raw_spec, err) == -1)
		goto fail;
	if (kind == DECL_MODEL &&
	    raw_spec.min_replicas > raw_spec.max_replicas) {
		snprintf(err->text, sizeof(err->text),
		    "min_replicas: must be at most max_replicas");
		goto fail;
	}
	if (!are_key_hashes(&raw_spec.key_hashes)) {
		snprintf(err->text, sizeof(err->text),
		    "key_hashes: must be lists of 64 lower-case hex digits");
		goto fail;
	}
	convert_spec(decl, &raw_spec);
	json_decref(doc);
	return 0;

fail:
	name_list_clear(&raw_spec.key_hashes);
	name_list_clear(&raw_spec.models);
	name_list_clear(&raw_spec.adapters);
	name_list_clear(&raw_spec.services);
	name_list_clear(&raw_spec.ranks);
	json_decref(doc);
	return -1;
}

void
declaration_clear(struct declaration *decl)
{
	if (decl->kind == DECL_ACCOUNT)
		name_list_clear(&decl->spec.account.key_hashes);
	if (decl->kind != DECL_DEPLOYMENT)
		return;
	name_list_clear(&decl->spec.deployment.models);
	name_list_clear(&decl->spec.deployment.adapters);
	name_list_clear(&decl->spec.deployment.services);
	name_list_clear(&decl->spec.deployment.ranks);
}

void
declaration_print_reference(FILE *out)
{
	static const char *const types[] = { "integer", "number", "boolean",
		"name", "list of names" };

	fprintf(out, "# Declarations\n\n"
		     "Written by `make docs` from `src/protocol/declaration.c`."
		     "\n");
	for (int i = 0; i < DECL_KIND_COUNT; i++) {
		fprintf(out,
		    "\n## %s\n\n| field | type | allowed | meaning "
		    "|\n|---|---|---|---|\n",
		    kind_descs[i].name);
		for (const struct field_desc *f = kind_descs[i].fields;
		     f->name != NULL; f++) {
			fprintf(out, "| `%s`%s | %s | ", f->name,
			    f->required ? " (required)" : "", types[f->type]);
			if (f->type == FIELD_INT || f->type == FIELD_NUMBER)
				fprintf(out, "%" PRId64 " to %" PRId64, f->min,
				    f->max);
			fprintf(out, " | %s |\n", f->help);
		}
	}
}
