/*
 * Changes of declarations by PUT, DELETE and batches.
 *
 * Checks the change against this entry's configuration and appends it to the
 * log as one record; answers with the verdict on the record.
 */
#include "entry/resources.h"

#include <ctype.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>

#include "common/clock.h"
#include "coordination/store.h"
#include "entry/api_common.h"
#include "entry/entry.h"
#include "entry/references.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "transport/http_server.h"

#define VERDICT_TIMEOUT_US (5 * USEC_PER_SEC)
#define LARGE_BATCH_DOCS 1000 /* see exchange_free() */

struct change_exchange {
	struct entry *entry;
	struct caller *caller; /* NULL: disconnected */
	bool deleted;
	bool batch;
	enum decl_kind kind;
	char name[DECL_NAME_MAX];
	json_t *names; /* of a batch: kind, name and deleted of each change */
};

static void
on_disconnected(void *ctx)
{
	struct change_exchange *x = ctx;

	/* on_verdict() still runs, as the record has been sent. */
	caller_abort(x->caller);
	x->caller = NULL;
}

static void
exchange_free(struct change_exchange *x)
{
	bool large = json_array_size(x->names) >= LARGE_BATCH_DOCS;

	json_decref(x->names);
	free(x);
	/* The allocator would otherwise keep the memory of a large batch. */
	if (large)
		(void)malloc_trim(0);
}

static void
reply_accepted(struct change_exchange *x, uint64_t version)
{
	struct evhttp_request *req = caller_request(x->caller);
	json_t *doc;

	if (req != NULL)
		resource_set_etag(req, version);
	if (x->batch)
		doc = json_pack("{s:I,s:O}", "version", (json_int_t)version,
		    "accepted", x->names);
	else
		doc = json_pack("{s:s,s:s,s:I,s:b}", "kind",
		    decl_kind_name(x->kind), "name", x->name, "version",
		    (json_int_t)version, "deleted", x->deleted);
	caller_reply_json(x->caller, 200, doc);
}

static void
on_verdict(void *ctx, enum result code, uint64_t version)
{
	struct change_exchange *x = ctx;
	struct problem p = {
		.code = code,
		.outcome = result_info(code)->outcome,
	};

	if (x->caller == NULL) {
		exchange_free(x);
		return;
	}
	if (code == RESULT_OK)
		reply_accepted(x, version);
	else
		caller_reply_problem(x->caller, &p);
	exchange_free(x);
}

static struct change_exchange *
exchange_create(struct entry *e, struct evhttp_request *req)
{
	struct change_exchange *x = calloc(1, sizeof(*x));

	if (x == NULL)
		abort();
	x->entry = e;
	x->caller = caller_create(e->http, req,
	    (size_t)e->settings.caller_backlog, on_disconnected, x);
	return x;
}

/* Parses an ETag such as "17"; -1 if this API cannot have set it. */
static int
parse_etag(const char *text, uint64_t *version)
{
	char *end;

	if (*text++ != '"' || !isdigit((unsigned char)*text))
		return -1;
	*version = strtoull(text, &end, 10);
	return strcmp(end, "\"") == 0 ? 0 : -1;
}

/*
 * Sets the version that the change expects.  Without If-Match and If-None-Match
 * that is the version that this entry has now, so that a duplicate of the
 * record is never applied.
 */
static enum result
read_condition(struct entry *e, struct evhttp_request *req,
    const struct resource_path *path, struct tm_change *change)
{
	const struct config_entry *current =
	    config_find(store_config(e->daemon->store), path->kind, path->name);
	const char *match = http_request_header(req, "If-Match");
	const char *none = http_request_header(req, "If-None-Match");
	uint64_t version;

	change->expect = current == NULL ? TM_EXPECT_ABSENT : TM_EXPECT_VERSION;
	change->ver = current == NULL ? 0 : current->version;
	if (none != NULL && strcmp(none, "*") == 0)
		return current == NULL ? RESULT_OK : RESULT_PRECONDITION;
	if (match == NULL)
		return RESULT_OK;
	if (strcmp(match, "*") == 0)
		return current == NULL ? RESULT_PRECONDITION : RESULT_OK;
	if (parse_etag(match, &version) == -1)
		return RESULT_BAD_REQUEST;
	if (current == NULL || current->version != version)
		return RESULT_PRECONDITION;
	return RESULT_OK;
}

/* Checks the references after the changes; refuses the request if false. */
static bool
check_references(struct entry *e, struct evhttp_request *req,
    const struct tm_change *changes, size_t count)
{
	struct reference_error error;
	enum result code = references_check(
	    store_config(e->daemon->store), changes, count, &error);

	if (code != RESULT_OK)
		api_refuse(req, code, error.text);
	return code == RESULT_OK;
}

/* Answers a dry run with the changes that would have been accepted. */
static void
reply_dry_run(
    struct entry *e, struct evhttp_request *req, json_t *names /* stolen */)
{
	const struct config *config = store_config(e->daemon->store);

	http_reply_json(req, 200,
	    json_pack("{s:b,s:I,s:o}", "dry_run", 1, "version",
		(json_int_t)config_version(config), "accepted", names));
}

static json_t *
change_names(const struct tm_change *changes, size_t count)
{
	json_t *names = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(
		    names, json_pack("{s:s,s:s,s:b}", "kind", changes[i].kind,
			       "name", changes[i].name, "deleted",
			       changes[i].op == TM_DELETE));
	return names;
}

/* Appends one checked change, or answers a dry run. */
static void
submit_one(struct entry *e, struct evhttp_request *req,
    const struct resource_path *path, struct tm_change *change)
{
	struct change_exchange *x;

	if (!check_references(e, req, change, 1))
		return;
	if (path->dry_run) {
		reply_dry_run(e, req, change_names(change, 1));
		return;
	}
	x = exchange_create(e, req);
	x->kind = path->kind;
	x->deleted = change->op == TM_DELETE;
	strlcpy(x->name, path->name, sizeof(x->name));
	store_change_config(
	    e->daemon->store, change, 1, VERDICT_TIMEOUT_US, on_verdict, x);
}

void
resource_put(struct entry *e, struct evhttp_request *req,
    const struct resource_path *path)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const char *data = len > 0 ? (const char *)evbuffer_pullup(in, -1) : "";
	struct tm_change change = {
		.op = TM_PUT,
		.kind = (char *)decl_kind_name(path->kind),
		.name = (char *)path->name,
	};
	struct declaration decl;
	struct decl_error err;
	enum result code;

	if (declaration_parse(&decl, path->kind, data, len, &err) == -1) {
		api_refuse(req, RESULT_INVALID, err.text);
		return;
	}
	declaration_clear(&decl);
	code = read_condition(e, req, path, &change);
	if (code != RESULT_OK) {
		api_refuse(req, code, path->name);
		return;
	}
	change.body = strndup(data, len);
	submit_one(e, req, path, &change);
	free(change.body);
}

void
resource_delete(struct entry *e, struct evhttp_request *req,
    const struct resource_path *path)
{
	struct tm_change change = {
		.op = TM_DELETE,
		.kind = (char *)decl_kind_name(path->kind),
		.name = (char *)path->name,
		.body = (char *)"",
	};
	enum result code = read_condition(e, req, path, &change);

	if (code == RESULT_OK && change.expect == TM_EXPECT_ABSENT)
		code = RESULT_NOT_FOUND;
	if (code == RESULT_OK)
		submit_one(e, req, path, &change);
	else
		api_refuse(req, code, path->name);
}

/* ---- batches ---- */

struct batch {
	struct tm_change *changes;
	size_t count;
	char error[DECL_ERROR_MAX + 2 * DECL_NAME_MAX]; /* of the last fault */
	json_t *faults; /* one for each invalid document */
};

static void
batch_clear(struct batch *b)
{
	for (size_t i = 0; i < b->count; i++) {
		free(b->changes[i].name);
		free(b->changes[i].body);
	}
	free(b->changes);
	json_decref(b->faults);
}

/* Expects the version that the change names, or if < 0 the current one. */
static void
set_expectation(struct entry *e, struct tm_change *change, enum decl_kind kind,
    json_int_t version)
{
	const struct config_entry *current =
	    config_find(store_config(e->daemon->store), kind, change->name);

	if (version < 0)
		version = current == NULL ? 0 : (json_int_t)current->version;
	change->expect = version == 0 ? TM_EXPECT_ABSENT : TM_EXPECT_VERSION;
	change->ver = (u_quad_t)version;
}

static int
check_spec(struct batch *b, const struct tm_change *change, enum decl_kind kind)
{
	struct declaration decl;
	struct decl_error err;

	if (change->op == TM_DELETE)
		return 0;
	if (declaration_parse(
		&decl, kind, change->body, strlen(change->body), &err) == -1) {
		snprintf(b->error, sizeof(b->error), "%s %s: %s", change->kind,
		    change->name, err.text);
		return -1;
	}
	declaration_clear(&decl);
	return 0;
}

/* Parses one document into the batch; -1 with the reason in b->error. */
static int
parse_change(struct entry *e, struct batch *b, json_t *doc)
{
	struct tm_change *change = &b->changes[b->count];
	const char *kind = "", *name = "";
	json_t *spec = NULL;
	json_int_t version = -1;
	int id, deleted = 0;

	if (json_unpack(doc, "{s:s,s:s,s?o,s?I,s?b}", "kind", &kind, "name",
		&name, "spec", &spec, "version", &version, "delete",
		&deleted) == -1 ||
	    (id = decl_kind_parse(kind)) == -1 || !decl_name_valid(name) ||
	    (spec == NULL) != (deleted != 0)) {
		snprintf(b->error, sizeof(b->error),
		    "must hold a known kind, a valid name, and either spec or "
		    "\"delete\": true");
		return -1;
	}
	change->op = deleted ? TM_DELETE : TM_PUT;
	change->kind = (char *)decl_kind_name((enum decl_kind)id);
	change->name = strdup(name);
	change->body = deleted
			   ? strdup("")
			   : json_dumps(spec, JSON_COMPACT | JSON_ENCODE_ANY);
	b->count++;
	set_expectation(e, change, (enum decl_kind)id, version);
	return check_spec(b, change, (enum decl_kind)id);
}

static void
add_fault(struct batch *b, json_t *doc, size_t index)
{
	json_t *fault = json_pack(
	    "{s:I,s:s}", "document", (json_int_t)index + 1, "detail", b->error);

	json_object_set(fault, "kind", json_object_get(doc, "kind"));
	json_object_set(fault, "name", json_object_get(doc, "name"));
	json_array_append_new(b->faults, fault);
}

/* Refuses the batch, listing every invalid document. */
static void
refuse_faults(struct evhttp_request *req, struct batch *b)
{
	struct problem p = {
		.code = RESULT_INVALID,
		.outcome = OUTCOME_NOT_RUN,
		.detail = json_string_value(
		    json_object_get(json_array_get(b->faults, 0), "detail")),
	};
	json_t *doc = problem_to_json(&p);
	char *text;

	json_object_set(doc, "faults", b->faults);
	text = json_dumps(doc, JSON_COMPACT);
	if (text == NULL)
		abort();
	http_reply(req, result_info(p.code)->http_status,
	    "application/problem+json", text, strlen(text));
	free(text);
	json_decref(doc);
}

void
resource_batch(struct entry *e, struct evhttp_request *req, bool dry_run)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const char *data = (const char *)evbuffer_pullup(in, -1);
	json_t *doc = json_loadb(data ? data : "", len, 0, NULL);
	json_t *array = json_object_get(doc, "changes");
	struct change_exchange *x;
	struct batch b = { .faults = json_array() };

	if (!json_is_array(array) || json_array_size(array) == 0 ||
	    json_array_size(array) > TM_LIST_MAX) {
		api_refuse(req, RESULT_BAD_REQUEST,
		    "changes: must be a list of 1 to 65536 documents");
		goto out;
	}
	b.changes = calloc(json_array_size(array), sizeof(*b.changes));
	if (b.changes == NULL)
		abort();
	for (size_t i = 0; i < json_array_size(array); i++) {
		if (parse_change(e, &b, json_array_get(array, i)) == -1)
			add_fault(&b, json_array_get(array, i), i);
	}
	if (json_array_size(b.faults) > 0) {
		refuse_faults(req, &b);
		goto out;
	}
	if (!check_references(e, req, b.changes, b.count))
		goto out;
	if (dry_run) {
		reply_dry_run(e, req, change_names(b.changes, b.count));
		goto out;
	}
	x = exchange_create(e, req);
	x->batch = true;
	x->names = change_names(b.changes, b.count);
	store_change_config(e->daemon->store, b.changes, b.count,
	    VERDICT_TIMEOUT_US, on_verdict, x);

out:
	batch_clear(&b);
	json_decref(doc);
}
