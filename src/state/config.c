#include "state/config.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

struct item {
	struct config_entry entry;
	bool parsed; /* entry.valid and entry.decl are set */
	bool seen; /* part of the snapshot that config_restore() applies */
	UT_hash_handle hh;
};

struct config {
	struct config_options opts;
	uint64_t position; /* log offset of the next record */
	uint64_t version; /* log offset of the last accepted change */
	uint64_t last_delete; /* log offset of the newest deletion */
	struct item *items[DECL_KIND_COUNT]; /* by name */
	/* Items of each kind by name, sorted again on use if stale. */
	struct item **sorted[DECL_KIND_COUNT];
	bool stale[DECL_KIND_COUNT];
};

struct config *
config_create(const struct config_options *opts)
{
	struct config *config = calloc(1, sizeof(*config));

	if (config == NULL)
		return NULL;
	config->opts = *opts;
	config->position = 1;
	return config;
}

static void
free_item(struct item *item)
{
	if (item->entry.valid)
		declaration_clear(&item->entry.decl);
	free((char *)item->entry.name);
	free((char *)item->entry.body);
	free(item);
}

void
config_destroy(struct config *config)
{
	struct item *item, *next;

	if (config == NULL)
		return;
	for (int kind = 0; kind < DECL_KIND_COUNT; kind++) {
		HASH_ITER(hh, config->items[kind], item, next) {
			HASH_DEL(config->items[kind], item);
			free_item(item);
		}
		free(config->sorted[kind]);
	}
	free(config);
}

uint64_t
config_position(const struct config *config)
{
	return config->position;
}

uint64_t
config_version(const struct config *config)
{
	return config->version;
}

static struct item *
find_item(const struct config *config, int kind, const char *name)
{
	struct item *item;

	HASH_FIND_STR(config->items[kind], name, item);
	return item;
}

static void
report_change(struct config *config, const struct item *item, uint64_t version,
    bool deleted)
{
	struct config_event event = { version, &item->entry, deleted };

	if (config->opts.changed != NULL)
		config->opts.changed(config->opts.ctx, &event);
}

static void
set_body(struct item *item, uint64_t version, const char *body)
{
	struct config_entry *entry = &item->entry;

	if (entry->valid)
		declaration_clear(&entry->decl);
	entry->valid = false;
	item->parsed = false;
	free((char *)entry->body);
	entry->body = strdup(body);
	entry->version = version;
}

/*
 * Parses a body on first use: a batch of thousands of changes is applied in one
 * step of the event loop, and most of them are not looked up soon.
 */
static const struct config_entry *
parsed_entry(struct item *item)
{
	struct config_entry *entry = &item->entry;
	struct decl_error err;

	if (!item->parsed)
		entry->valid = declaration_parse(&entry->decl, entry->kind,
				   entry->body, strlen(entry->body), &err) == 0;
	item->parsed = true;
	return entry;
}

static void
put_declaration(struct config *config, int kind, const char *name,
    uint64_t version, const char *body)
{
	struct item *item = find_item(config, kind, name);

	if (item == NULL) {
		item = calloc(1, sizeof(*item));
		if (item == NULL)
			abort();
		item->entry.kind = (enum decl_kind)kind;
		item->entry.name = strdup(name);
		HASH_ADD_KEYPTR(hh, config->items[kind], item->entry.name,
		    strlen(item->entry.name), item);
		config->stale[kind] = true;
	}
	set_body(item, version, body);
	item->seen = true;
	report_change(config, item, version, false);
}

static void
delete_item(struct config *config, struct item *item, uint64_t version)
{
	int kind = (int)item->entry.kind;

	HASH_DEL(config->items[kind], item);
	config->stale[kind] = true;
	report_change(config, item, version, true);
	free_item(item);
}

static bool
expectation_holds(const struct config *config, const struct tm_change *change)
{
	int kind = decl_kind_parse(change->kind);
	const struct item *item;

	if (kind == -1)
		return false;
	item = find_item(config, kind, change->name);
	switch (change->expect) {
	case TM_EXPECT_ANY:
		return change->op == TM_PUT || item != NULL;
	case TM_EXPECT_ABSENT:
		/*
		 * A creation that is appended late must not bring back a name
		 * that was created and deleted in between: its writer has been
		 * notified of its failure.  So the writer must have read the
		 * newest deletion of any name; no offset is kept for each name.
		 */
		return change->op == TM_PUT && item == NULL &&
		       change->ver >= config->last_delete;
	case TM_EXPECT_VERSION:
		return item != NULL && item->entry.version == change->ver;
	}
	return false;
}

/*
 * A change with TM_EXPECT_ANY would be accepted twice if its writer appends it
 * again after a lost answer.  Writers therefore always expect a version or
 * absence.
 */
static enum config_verdict
check_expectations(
    const struct config *config, const struct tm_config_change *change)
{
	if (change->changes.changes_len == 0)
		return CONFIG_MALFORMED;
	for (u_int i = 0; i < change->changes.changes_len; i++) {
		if (!expectation_holds(config, &change->changes.changes_val[i]))
			return CONFIG_CONFLICT;
	}
	return CONFIG_ACCEPTED;
}

static void
perform_change(
    struct config *config, uint64_t offset, const struct tm_change *change)
{
	int kind = decl_kind_parse(change->kind);
	struct item *item;

	if (change->op == TM_PUT) {
		put_declaration(
		    config, kind, change->name, offset, change->body);
		return;
	}
	item = find_item(config, kind, change->name);
	config->last_delete = offset;
	if (item != NULL)
		delete_item(config, item, offset);
}

static void
apply_change(struct config *config, uint64_t offset,
    const struct tm_config_change *change)
{
	enum config_verdict verdict = check_expectations(config, change);

	if (verdict == CONFIG_ACCEPTED) {
		config->version = offset;
		for (u_int i = 0; i < change->changes.changes_len; i++)
			perform_change(
			    config, offset, &change->changes.changes_val[i]);
	}
	if (config->opts.on_verdict != NULL)
		config->opts.on_verdict(
		    config->opts.ctx, change->id, verdict, offset);
}

void
config_apply(struct config *config, uint64_t offset,
    const struct tm_config_record *record)
{
	if (offset < config->position)
		return;
	config->position = offset + 1;
	if (record->type == TM_CONFIG_CHANGE)
		apply_change(
		    config, offset, &record->tm_config_record_u.change);
}

void
config_skip(struct config *config, uint64_t offset)
{
	if (offset >= config->position)
		config->position = offset + 1;
}

const struct config_entry *
config_find(const struct config *config, enum decl_kind kind, const char *name)
{
	struct item *item = find_item(config, (int)kind, name);

	return item == NULL ? NULL : parsed_entry(item);
}

static int
compare_names(const void *a, const void *b)
{
	const struct item *const *x = a;
	const struct item *const *y = b;

	return strcmp((*x)->entry.name, (*y)->entry.name);
}

static void
sort_kind(struct config *config, int kind)
{
	struct item *item, *next;
	size_t i = 0;

	free(config->sorted[kind]);
	config->sorted[kind] =
	    calloc(HASH_COUNT(config->items[kind]) + 1, sizeof(struct item *));
	if (config->sorted[kind] == NULL)
		abort();
	HASH_ITER(hh, config->items[kind], item, next)
		config->sorted[kind][i++] = item;
	qsort(config->sorted[kind], i, sizeof(struct item *), compare_names);
	config->stale[kind] = false;
}

static struct item **
sorted_items(const struct config *config, int kind)
{
	if (config->stale[kind] || config->sorted[kind] == NULL)
		sort_kind((struct config *)config, kind);
	return config->sorted[kind];
}

const struct config_entry *
config_next(const struct config *config, enum decl_kind kind,
    const struct config_entry *after)
{
	size_t count = HASH_COUNT(config->items[kind]);
	size_t low = 0, high = count;

	struct item **sorted = sorted_items(config, (int)kind);

	while (after != NULL && low < high) {
		size_t mid = (low + high) / 2;

		if (strcmp(sorted[mid]->entry.name, after->name) <= 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low < count ? parsed_entry(sorted[low]) : NULL;
}

size_t
config_count(const struct config *config, enum decl_kind kind)
{
	return HASH_COUNT(config->items[kind]);
}

/* ---- snapshots ---- */

static void
copy_declaration(struct tm_declaration *to, const struct config_entry *from)
{
	to->kind = strdup(decl_kind_name(from->kind));
	to->name = strdup(from->name);
	to->ver = from->version;
	to->body = strdup(from->body);
}

void
config_snapshot(const struct config *config, struct tm_config_snapshot *snap)
{
	size_t total = 0;
	u_int n = 0;

	for (int kind = 0; kind < DECL_KIND_COUNT; kind++)
		total += HASH_COUNT(config->items[kind]);
	memset(snap, 0, sizeof(*snap));
	snap->position = config->position;
	snap->ver = config->version;
	snap->last_delete = config->last_delete;
	snap->declarations.declarations_val =
	    calloc(total + 1, sizeof(struct tm_declaration));
	if (snap->declarations.declarations_val == NULL)
		abort();
	for (int kind = 0; kind < DECL_KIND_COUNT; kind++) {
		struct item **sorted = sorted_items(config, kind);

		for (u_int i = 0; i < HASH_COUNT(config->items[kind]); i++)
			copy_declaration(
			    &snap->declarations.declarations_val[n++],
			    &sorted[i]->entry);
	}
	snap->declarations.declarations_len = n;
}

static void
restore_declaration(struct config *config, const struct tm_declaration *decl)
{
	int kind = decl_kind_parse(decl->kind);
	struct item *item;

	if (kind == -1)
		return;
	item = find_item(config, kind, decl->name);
	if (item != NULL && item->entry.version == decl->ver)
		item->seen = true;
	else
		put_declaration(
		    config, kind, decl->name, decl->ver, decl->body);
}

int
config_restore(struct config *config, const struct tm_config_snapshot *snap)
{
	struct item *item, *next;

	if (snap->position <= config->position || snap->ver < config->version)
		return -1;
	for (int kind = 0; kind < DECL_KIND_COUNT; kind++) {
		HASH_ITER(hh, config->items[kind], item, next)
			item->seen = false;
	}
	if (config->opts.restoring != NULL)
		config->opts.restoring(config->opts.ctx, snap->ver);
	config->position = snap->position;
	config->version = snap->ver;
	config->last_delete = snap->last_delete;
	for (u_int i = 0; i < snap->declarations.declarations_len; i++)
		restore_declaration(
		    config, &snap->declarations.declarations_val[i]);
	for (int kind = 0; kind < DECL_KIND_COUNT; kind++) {
		HASH_ITER(hh, config->items[kind], item, next) {
			if (!item->seen)
				delete_item(config, item, snap->ver);
		}
	}
	return 0;
}
