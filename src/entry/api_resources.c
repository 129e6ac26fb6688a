/*
 * The resource API for declarations: /apis/v1/KIND/NAME for one, /apis/v1/KIND
 * for lists and watches, and /apis/v1/batch for changes that are accepted
 * together or not at all.
 */
#include "entry/api.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/http.h>
#include <jansson.h>

#include "coordination/store.h"
#include "entry/api_common.h"
#include "entry/declaration_status.h"
#include "entry/entry.h"
#include "entry/resources.h"
#include "entry/watch.h"
#include "transport/http_server.h"

#define PREFIX "/apis/v1/"
#define PAGE_MAX 10000 /* declarations */

static json_t *
declaration_json(const struct config_entry *entry)
{
	json_t *spec = json_loads(entry->body, JSON_DECODE_ANY, NULL);

	return json_pack("{s:s,s:s,s:I,s:o}", "kind",
	    decl_kind_name(entry->kind), "name", entry->name, "version",
	    (json_int_t)entry->version, "spec", spec ? spec : json_null());
}

void
resource_set_etag(struct evhttp_request *req, uint64_t version)
{
	char etag[32];

	snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", version);
	evhttp_add_header(evhttp_request_get_output_headers(req), "ETag", etag);
}

/* ---- paths ---- */

static int
parse_number(const char *text, int64_t min, int64_t max, int64_t *out)
{
	char *end;

	*out = strtoll(text, &end, 10);
	return end == text || *end != '\0' || *out < min || *out > max ? -1 : 0;
}

/* Returns NULL, or the error text of a value that is not allowed. */
static const char *
read_parameter(const char *key, const char *value, struct resource_path *out)
{
	int64_t number;

	if (strcmp(key, "dry-run") == 0) {
		out->dry_run = true;
	} else if (strcmp(key, "status") == 0) {
		out->status = true;
	} else if (strcmp(key, "watch") == 0) {
		if (parse_number(value, 0, INT64_MAX, &number) == -1)
			return "watch: must be a version";
		out->watch = true;
		out->since = (uint64_t)number;
	} else if (strcmp(key, "limit") == 0) {
		if (parse_number(value, 1, PAGE_MAX, &out->limit) == -1)
			return "limit: must be an integer from 1 to 10000";
	} else if (strcmp(key, "continue") == 0) {
		if (strchr(value, '/') == NULL ||
		    strlcpy(out->after, value, sizeof(out->after)) >=
			sizeof(out->after))
			return "continue: must be the value from the last page";
	} else {
		return "allowed parameters: dry-run, status, watch, limit, "
		       "continue";
	}
	return NULL;
}

/*
 * Returns NULL or an error text.  evhttp's own parser is not used, because it
 * refuses a parameter without a value, such as ?status.
 */
static const char *
read_query(const struct evhttp_uri *uri, struct resource_path *out)
{
	const char *query = evhttp_uri_get_query(uri), *error = NULL;
	char *copy, *rest, *key, *value, *decoded;

	if (query == NULL || query[0] == '\0')
		return NULL;
	rest = copy = strdup(query);
	while (error == NULL && (key = strsep(&rest, "&")) != NULL) {
		value = strchr(key, '=');
		if (value != NULL)
			*value++ = '\0';
		decoded = evhttp_uridecode(value ? value : "", 1, NULL);
		error = read_parameter(key, decoded, out);
		free(decoded);
	}
	free(copy);
	return error;
}

/* Parses /apis/v1/[KIND[/NAME]]; -1 after refusing the request. */
static int
read_path(struct evhttp_request *req, struct resource_path *out)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	char *path = evhttp_uridecode(evhttp_uri_get_path(uri), 0, NULL);
	char *kind = path + strlen(PREFIX);
	char *name = strchr(kind, '/');
	const char *error;
	int rc = -1;

	memset(out, 0, sizeof(*out));
	if (name != NULL)
		*name++ = '\0';
	out->kind = decl_kind_parse(kind);
	if (out->kind == -1 && kind[0] != '\0') {
		api_refuse(req, RESULT_NOT_FOUND, "no such kind");
		goto out;
	}
	if (name != NULL && name[0] != '\0' && !decl_name_valid(name)) {
		api_refuse(req, RESULT_BAD_REQUEST, "not a valid name");
		goto out;
	}
	strlcpy(out->name, name ? name : "", sizeof(out->name));
	error = read_query(uri, out);
	if (error == NULL)
		rc = 0;
	else
		api_refuse(req, RESULT_BAD_REQUEST, error);

out:
	free(path);
	return rc;
}

/* ---- reading ---- */

/*
 * Appends the kind's declarations that follow `after` (NULL: all).  Returns
 * true if the page is full and declarations are left.
 */
static bool
list_kind(const struct config *config, enum decl_kind kind,
    const struct resource_path *path, const char *after, json_t *items)
{
	struct config_entry start = { .name = after };
	const struct config_entry *entry = after == NULL ? NULL : &start;

	while ((entry = config_next(config, kind, entry)) != NULL) {
		if (path->limit > 0 &&
		    (int64_t)json_array_size(items) >= path->limit)
			return true;
		json_array_append_new(items, declaration_json(entry));
	}
	return false;
}

static json_t *
continue_token(const json_t *items)
{
	json_t *last = json_array_get(items, json_array_size(items) - 1);

	return json_sprintf("%s/%s",
	    json_string_value(json_object_get(last, "kind")),
	    json_string_value(json_object_get(last, "name")));
}

static void
get_list(struct entry *e, struct evhttp_request *req,
    const struct resource_path *path)
{
	const struct config *config = store_config(e->daemon->store);
	const char *slash = strchr(path->after, '/');
	json_t *items = json_array(), *doc;
	int from = path->kind == -1 ? 0 : path->kind;
	int to = path->kind == -1 ? DECL_KIND_COUNT - 1 : path->kind;
	bool more = false;

	for (int kind = from; kind <= to && !more; kind++) {
		const char *name = decl_kind_name((enum decl_kind)kind);
		size_t len = strlen(name);
		const char *after = NULL;

		if (slash != NULL) {
			if (strncmp(path->after, name, len) != 0 ||
			    path->after[len] != '/')
				continue;
			after = slash + 1;
			slash = NULL;
		}
		more =
		    list_kind(config, (enum decl_kind)kind, path, after, items);
	}
	doc = json_pack("{s:s,s:I,s:O}", "kind",
	    path->kind == -1 ? "" : decl_kind_name((enum decl_kind)path->kind),
	    "version", (json_int_t)config_version(config), "items", items);
	if (more)
		json_object_set_new(doc, "continue", continue_token(items));
	json_decref(items);
	http_reply_json(req, 200, doc);
}

static void
get_one(struct entry *e, struct evhttp_request *req,
    const struct resource_path *path)
{
	const struct config_entry *entry =
	    config_find(store_config(e->daemon->store),
		(enum decl_kind)path->kind, path->name);

	if (entry == NULL) {
		api_refuse(req, RESULT_NOT_FOUND, path->name);
		return;
	}
	resource_set_etag(req, entry->version);
	if (path->status)
		declaration_status_reply(
		    e, req, entry, declaration_json(entry));
	else
		http_reply_json(req, 200, declaration_json(entry));
}

/* ---- routing ---- */

static void
read_resource(struct entry *e, struct evhttp_request *req,
    const struct resource_path *path)
{
	if (path->watch && path->name[0] == '\0')
		watch_begin(e->watches, req, path->kind, path->since);
	else if (path->watch)
		api_refuse(req, RESULT_BAD_REQUEST,
		    "a watch must name a kind, not a declaration");
	else if (path->name[0] == '\0')
		get_list(e, req, path);
	else
		get_one(e, req, path);
}

static bool
is_batch(struct evhttp_request *req)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);

	return strcmp(evhttp_uri_get_path(uri), PREFIX "batch") == 0;
}

static void
route_batch(struct entry *e, struct evhttp_request *req)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	struct resource_path path = { 0 };
	const char *error = read_query(uri, &path);

	if (evhttp_request_get_command(req) != EVHTTP_REQ_POST)
		api_refuse(req, RESULT_BAD_METHOD, "use POST");
	else if (error != NULL)
		api_refuse(req, RESULT_BAD_REQUEST, error);
	else
		resource_batch(e, req, path.dry_run);
}

void
api_resources(void *ctx, struct evhttp_request *req)
{
	struct entry *e = ctx;
	enum evhttp_cmd_type method = evhttp_request_get_command(req);
	const char *reason = store_unready_reason(e->daemon->store);
	struct resource_path path;

	if (reason != NULL) {
		api_refuse(req, RESULT_NOT_READY, reason);
		return;
	}
	if (is_batch(req)) {
		route_batch(e, req);
		return;
	}
	if (read_path(req, &path) == -1)
		return;
	if (method == EVHTTP_REQ_GET)
		read_resource(e, req, &path);
	else if (path.name[0] == '\0')
		api_refuse(
		    req, RESULT_BAD_METHOD, "the path must name a declaration");
	else if (method == EVHTTP_REQ_PUT)
		resource_put(e, req, &path);
	else if (method == EVHTTP_REQ_DELETE)
		resource_delete(e, req, &path);
	else
		api_refuse(req, RESULT_BAD_METHOD, "use GET, PUT or DELETE");
}
