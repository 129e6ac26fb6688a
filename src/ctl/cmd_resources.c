/* The commands get, list, watch and delete. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/command.h"

static int
usage_error(const char *text)
{
	fprintf(stderr, "%s\n", text);
	return EXIT_USAGE;
}

/* ---- get, list, delete ---- */

static void
print_declaration_status(const json_t *item)
{
	json_t *status = json_object_get(item, "status"), *replicas, *vm;
	int active = 0, daemons = 0, answered = 0;
	int decided = 0, loaded = 0, loading = 0;
	size_t i;

	if (json_unpack(status, "{s:i,s:i,s:i}", "in_force", &active,
		"answered", &answered, "daemons", &daemons) == -1)
		return;
	printf("in force at %d of %d daemons; %d answered\n", active, daemons,
	    answered);
	json_array_foreach(json_object_get(status, "behind"), i, vm)
	    printf("behind: %s\n", json_string_value(vm));
	replicas = json_object_get(status, "replicas");
	if (json_unpack(replicas, "{s:i,s:i,s:i}", "decided", &decided,
		"loaded", &loaded, "loading", &loading) == 0)
		printf("replicas: %d decided, %d loaded, %d loading\n", decided,
		    loaded, loading);
}

int
cmd_list(struct ctl *ctl)
{
	struct api_response response;
	char path[CTL_PATH_MAX];
	json_t *item;
	size_t i;
	int rc;

	snprintf(path, sizeof(path), "/apis/v1/%s",
	    ctl->arg_count > 0 ? ctl->args[0] : "");
	rc = ctl_call(ctl, "GET", path, NULL, &response);
	if (rc == 0 && !ctl->json)
		json_array_foreach(json_object_get(response.doc, "items"), i,
		    item) print_declaration(item);
	api_response_clear(&response);
	return rc;
}

int
cmd_get(struct ctl *ctl)
{
	struct api_response response;
	char path[CTL_PATH_MAX];
	int rc;

	if (ctl->arg_count < 1)
		return usage_error("get: KIND [NAME] is required");
	if (ctl->arg_count == 1)
		return cmd_list(ctl);
	snprintf(path, sizeof(path), "/apis/v1/%s/%s?status", ctl->args[0],
	    ctl->args[1]);
	rc = ctl_call(ctl, "GET", path, NULL, &response);
	if (rc == 0 && !ctl->json) {
		print_declaration(response.doc);
		print_declaration_status(response.doc);
	}
	api_response_clear(&response);
	return rc;
}

int
cmd_delete(struct ctl *ctl)
{
	struct api_response response;
	char path[CTL_PATH_MAX];
	int rc;

	if (ctl->arg_count != 2)
		return usage_error("delete: KIND NAME is required");
	snprintf(path, sizeof(path), "/apis/v1/%s/%s%s", ctl->args[0],
	    ctl->args[1], ctl->dry_run ? "?dry-run" : "");
	rc = ctl_call(ctl, "DELETE", path, NULL, &response);
	if (rc == 0 && !ctl->json)
		printf("deleted %s %s%s\n", ctl->args[0], ctl->args[1],
		    ctl->dry_run ? " (dry run)" : "");
	api_response_clear(&response);
	return rc;
}

/* ---- watch ---- */

/*
 * A watch survives the loss of an entry: it continues from the last bookmark at
 * the next one, and skips events that were printed before.
 */
struct watch {
	struct ctl *ctl;
	const char *kind; /* "": all */
	json_int_t since; /* version of the last bookmark */
	/* Version last seen by "KIND/NAME", including deleted declarations. */
	json_t *versions;
	json_t *pending; /* events received since the last bookmark */
};

/* Prints an event, unless the same or a later version was printed. */
static void
print_event(struct watch *w, const json_t *event)
{
	json_int_t version =
	    json_integer_value(json_object_get(event, "version"));
	char key[CTL_PATH_MAX], *line;

	snprintf(key, sizeof(key), "%s/%s", member_text(event, "kind"),
	    member_text(event, "name"));
	if (json_integer_value(json_object_get(w->versions, key)) >= version)
		return;
	json_object_set_new(w->versions, key, json_integer(version));
	if (w->ctl->json) {
		line = json_dumps(event, JSON_COMPACT);
		printf("%s\n", line ? line : "");
		free(line);
	} else {
		printf("%-8s ", member_text(event, "type"));
		print_declaration(event);
	}
	fflush(stdout);
}

/*
 * Events are printed when the bookmark that follows them arrives.  If the
 * connection is lost before, the entry sends them again.
 */
static void
on_line(void *ctx, const char *line, size_t len)
{
	struct watch *w = ctx;
	json_t *event = json_loadb(line, len, 0, NULL), *each;
	size_t i;

	if (strcmp(member_text(event, "type"), "bookmark") != 0) {
		json_array_append(w->pending, event);
	} else {
		json_array_foreach(w->pending, i, each) print_event(w, each);
		json_array_clear(w->pending);
		w->since =
		    json_integer_value(json_object_get(event, "version"));
	}
	json_decref(event);
}

static bool
matches_kind(const struct watch *w, const json_t *item)
{
	return w->kind[0] == '\0' ||
	       strcmp(w->kind, member_text(item, "kind")) == 0;
}

/* Prints what a list shows as newer than the known versions, or as deleted. */
static void
print_list_changes(struct watch *w, const json_t *items, json_int_t version)
{
	const char *key;
	json_t *item, *seen, *event;

	json_object_foreach((json_t *)items, key, item)
	{
		if (!matches_kind(w, item))
			continue;
		event = json_copy(item);
		json_object_set_new(event, "type", json_string("changed"));
		print_event(w, event);
		json_decref(event);
	}
	json_object_foreach(w->versions, key, seen)
	{
		const char *slash = strchr(key, '/');

		if (json_object_get(items, key) != NULL ||
		    json_integer_value(seen) >= version)
			continue;
		event = json_pack("{s:s,s:s%,s:s,s:I}", "type", "deleted",
		    "kind", key, (size_t)(slash - key), "name", slash + 1,
		    "version", version);
		print_event(w, event);
		json_decref(event);
	}
	w->since = version;
}

/* Replaces events that the entry no longer has by a comparison of lists. */
static int
relist(struct watch *w)
{
	json_int_t version;
	int rc;
	json_t *items = ctl_list_declarations(w->ctl, &version, &rc);

	if (items != NULL)
		print_list_changes(w, items, version);
	json_decref(items);
	return rc;
}

/* Starts from the current declarations without printing them. */
static int
init_from_current(struct watch *w)
{
	json_int_t version;
	const char *key;
	json_t *item;
	int rc;
	json_t *items = ctl_list_declarations(w->ctl, &version, &rc);

	json_object_foreach(items, key, item) if (matches_kind(w, item))
	    json_object_set(w->versions, key, json_object_get(item, "version"));
	w->since = version;
	json_decref(items);
	return rc;
}

static int
print_watch_refused(int code)
{
	fprintf(stderr, "refused: HTTP %d\n", code);
	return EXIT_REFUSED;
}

int
cmd_watch(struct ctl *ctl)
{
	struct watch w = {
		.ctl = ctl,
		.kind = ctl->arg_count > 0 ? ctl->args[0] : "",
		.since = ctl->since,
		.versions = json_object(),
		.pending = json_array(),
	};
	char path[CTL_PATH_MAX];
	int rc = 0, code = 0;

	if (ctl->since < 0)
		rc = init_from_current(&w);
	while (rc == 0) {
		snprintf(path, sizeof(path), "/apis/v1/%s?watch=%lld", w.kind,
		    (long long)w.since);
		json_array_clear(w.pending);
		code = api_client_stream(ctl->client, path, on_line, &w);
		if (code == 410)
			rc = relist(&w);
		else if (code == 0 && !api_client_failover(ctl->client))
			rc = EXIT_NO_ANSWER;
		else if (code != 0 && code != 200)
			rc = print_watch_refused(code);
	}
	json_decref(w.versions);
	json_decref(w.pending);
	return rc;
}
