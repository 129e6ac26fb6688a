/*
 * apply and diff: read documents from a file, a directory or standard input and
 * compare them with the current declarations; apply sends those that differ,
 * diff prints them.
 */
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "ctl/command.h"

struct comparison {
	json_t *changes; /* documents that are new or differ */
	size_t created;
	size_t changed;
	size_t unchanged;
};

/* ---- reading ---- */

/* Appends to docs a sequence of documents, or of arrays of documents. */
static int
read_stream(FILE *file, const char *name, json_t *docs)
{
	json_error_t err = { .position = 0 };
	json_t *doc;
	int c;

	for (;;) {
		while ((c = getc(file)) == ' ' || c == '\n' || c == '\r' ||
		       c == '\t')
			;
		if (c == EOF)
			return 0;
		ungetc(c, file);
		doc = json_loadf(file,
		    JSON_DISABLE_EOF_CHECK | JSON_REJECT_DUPLICATES, &err);
		if (doc == NULL) {
			fprintf(stderr, "%s: document %zu, line %d: %s\n", name,
			    json_array_size(docs) + 1, err.line, err.text);
			return -1;
		}
		if (json_is_array(doc))
			json_array_extend(docs, doc);
		else
			json_array_append(docs, doc);
		json_decref(doc);
	}
}

static int
read_file(const char *path, json_t *docs)
{
	FILE *file = fopen(path, "re");
	int rc;

	if (file == NULL) {
		perror(path);
		return -1;
	}
	rc = read_stream(file, path, docs);
	fclose(file);
	return rc;
}

static int
is_json_file(const struct dirent *entry)
{
	const char *dot = strrchr(entry->d_name, '.');

	return dot != NULL && strcmp(dot, ".json") == 0;
}

static int
read_directory(const char *path, json_t *docs)
{
	struct dirent **entries;
	char file[CTL_PATH_MAX];
	int count = scandir(path, &entries, is_json_file, alphasort), rc = 0;

	if (count == -1) {
		perror(path);
		return -1;
	}
	for (int i = 0; i < count; i++) {
		snprintf(file, sizeof(file), "%s/%s", path, entries[i]->d_name);
		if (rc == 0)
			rc = read_file(file, docs);
		free(entries[i]);
	}
	free(entries);
	return rc;
}

/* Returns the documents, or NULL after printing an error. */
static json_t *
read_documents(const struct ctl *ctl)
{
	json_t *docs = json_array();
	struct stat st;
	int rc;

	if (ctl->file == NULL) {
		fprintf(stderr, "-f FILE is required; - is standard input\n");
		rc = -1;
	} else if (strcmp(ctl->file, "-") == 0) {
		rc = read_stream(stdin, "standard input", docs);
	} else if (stat(ctl->file, &st) == 0 && S_ISDIR(st.st_mode)) {
		rc = read_directory(ctl->file, docs);
	} else {
		rc = read_file(ctl->file, docs);
	}
	if (rc == 0 && json_array_size(docs) == 0) {
		fprintf(stderr, "%s: no document found\n", ctl->file);
		rc = -1;
	}
	if (rc == 0)
		return docs;
	json_decref(docs);
	return NULL;
}

/* ---- comparing ---- */

/* Compares a document with the current declaration of its kind and name. */
static void
compare_document(struct comparison *cmp, json_t *doc, const json_t *current)
{
	const json_t *old = NULL;
	char key[CTL_PATH_MAX];

	snprintf(key, sizeof(key), "%s/%s", member_text(doc, "kind"),
	    member_text(doc, "name"));
	old = json_object_get(current, key);
	if (old != NULL && json_equal(json_object_get(old, "spec"),
			       json_object_get(doc, "spec"))) {
		cmp->unchanged++;
		return;
	}
	if (old == NULL)
		cmp->created++;
	else
		cmp->changed++;
	/*
	 * The expected version makes the entry refuse the document if another
	 * operator changes the declaration in the meantime.
	 */
	if (json_object_get(doc, "version") == NULL)
		json_object_set_new(doc, "version",
		    json_integer(
			json_integer_value(json_object_get(old, "version"))));
	json_array_append(cmp->changes, doc);
}

static int
read_and_compare(struct ctl *ctl, struct comparison *cmp, json_t **current)
{
	json_t *docs = read_documents(ctl), *doc;
	json_int_t version;
	size_t i;
	int rc;

	memset(cmp, 0, sizeof(*cmp));
	if (docs == NULL)
		return EXIT_USAGE;
	*current = ctl_list_declarations(ctl, &version, &rc);
	if (*current != NULL) {
		cmp->changes = json_array();
		json_array_foreach(docs, i, doc)
		    compare_document(cmp, doc, *current);
	}
	json_decref(docs);
	return rc;
}

/* ---- apply ---- */

static const char *
find_document_error(const json_t *errors, size_t document)
{
	json_t *error;
	size_t i;

	json_array_foreach(errors, i, error)
	{
		if ((size_t)json_integer_value(
			json_object_get(error, "document")) == document + 1)
			return member_text(error, "detail");
	}
	return NULL;
}

/*
 * Prints a line for each document.  A batch is applied as a whole or not at
 * all, so documents without an error are reported as not applied.
 */
static void
print_refused(const json_t *changes, const struct api_response *response)
{
	const json_t *errors = json_object_get(response->doc, "faults"), *doc;
	const char *error;
	size_t i;

	json_array_foreach(changes, i, doc)
	{
		error = find_document_error(errors, i);
		printf("%s %s: %s%s\n", member_text(doc, "kind"),
		    member_text(doc, "name"),
		    error ? "refused: " : "not applied", error ? error : "");
	}
}

static void
print_accepted(const json_t *changes, const struct api_response *response)
{
	json_t *doc;
	size_t i;

	json_array_foreach(changes, i, doc) printf("%s %s: accepted%s\n",
	    member_text(doc, "kind"), member_text(doc, "name"),
	    json_object_get(response->doc, "dry_run") ? " (dry run)" : "");
	printf("accepted %zu declarations as version %lld\n",
	    json_array_size(changes),
	    (long long)json_integer_value(
		json_object_get(response->doc, "version")));
}

static int
send_changes(struct ctl *ctl, json_t *changes)
{
	struct api_response response;
	json_t *body = json_pack("{s:O}", "changes", changes);
	char *text = json_dumps(body, JSON_COMPACT);
	int rc = ctl_call(ctl, "POST",
	    ctl->dry_run ? "/apis/v1/batch?dry-run" : "/apis/v1/batch", text,
	    &response);

	if (!ctl->json && rc == 0)
		print_accepted(changes, &response);
	else if (!ctl->json && rc == EXIT_REFUSED)
		print_refused(changes, &response);
	api_response_clear(&response);
	free(text);
	json_decref(body);
	return rc;
}

int
cmd_apply(struct ctl *ctl)
{
	struct comparison cmp;
	json_t *current = NULL;
	int rc = read_and_compare(ctl, &cmp, &current);

	if (rc == 0 && json_array_size(cmp.changes) > 0)
		rc = send_changes(ctl, cmp.changes);
	else if (rc == 0 && ctl->json)
		printf("{\"accepted\": []}\n");
	if (rc == 0 && !ctl->json && cmp.unchanged > 0)
		printf("unchanged: %zu declarations\n", cmp.unchanged);
	json_decref(cmp.changes);
	json_decref(current);
	return rc;
}

/* ---- diff ---- */

static void
print_difference(const json_t *doc, const json_t *current)
{
	char key[CTL_PATH_MAX];
	const json_t *old;
	char *from, *to = json_dumps(json_object_get(doc, "spec"), 0);

	snprintf(key, sizeof(key), "%s/%s", member_text(doc, "kind"),
	    member_text(doc, "name"));
	old = json_object_get(current, key);
	from = old == NULL ? NULL : json_dumps(json_object_get(old, "spec"), 0);
	printf("%s %s\n", member_text(doc, "kind"), member_text(doc, "name"));
	if (from != NULL)
		printf("- %s\n", from);
	printf("+ %s\n", to ? to : "");
	free(from);
	free(to);
}

int
cmd_diff(struct ctl *ctl)
{
	struct comparison cmp;
	json_t *current = NULL, *doc;
	int rc = read_and_compare(ctl, &cmp, &current);
	size_t i;

	if (rc == 0 && ctl->json)
		print_json(cmp.changes);
	else if (rc == 0)
		json_array_foreach(cmp.changes, i, doc)
		    print_difference(doc, current);
	if (rc == 0 && json_array_size(cmp.changes) > 0)
		rc = EXIT_DIFFERENT;
	json_decref(cmp.changes);
	json_decref(current);
	return rc;
}
