#include "state/config.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

struct node {
	struct config_entry entry;
	bool parsed; /* entry.valid and entry.decl are filled in */
	bool seen; /* scratch of config_restore() */
	UT_hash_handle hh;
};

struct config {
	struct config_options opts;
	uint64_t position;
	uint64_t version;
	uint64_t last_delete; /* offset of the newest deletion of any name */
	struct node *nodes[DECL_KIND_COUNT]; /* by name */
	/* Sorted names per kind, rebuilt when stale. */
	struct node **sorted[DECL_KIND_COUNT];
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
node_free(struct node *node)
{
	if (node->entry.valid)
		declaration_clear(&node->entry.decl);
	free((char *)node->entry.name);
	free((char *)node->entry.body);
	free(node);
}

void
config_destroy(struct config *config)
{
	struct node *node, *next;

	if (config == NULL)
		return;
	for (int kind = 0; kind < DECL_KIND_COUNT; kind++) {
		HASH_ITER(hh, config->nodes[kind], node, next) {
			HASH_DEL(config->nodes[kind], node);
			node_free(node);
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

static struct node *
find_node(const struct config *config, int kind, const char *name)
{
	struct node *node;

	HASH_FIND_STR(config->nodes[kind], name, node);
	return node;
}

static void
report(struct config *config, const struct node *node, uint64_t version,
    bool deleted)
{
	struct config_event event = { version, &node->entry, deleted };

	if (config->opts.changed != NULL)
		config->opts.changed(config->opts.ctx, &event);
}

static void
set_body(struct node *node, uint64_t version, const char *body)
{
	struct config_entry *entry = &node->entry;

	if (entry->valid)
		declaration_clear(&entry->decl);
	entry->valid = false;
	node->parsed = false;
	free((char *)entry->body);
	entry->body = strdup(body);
	entry->version = version;
}

/*
 * Parses when the declaration is first asked for: a batch of thousands must be
 * folded in one step, and most of its declarations are not asked for soon.
 */
static const struct config_entry *
parsed_entry(struct node *node)
{
	struct config_entry *entry = &node->entry;
	struct decl_error err;

	if (!node->parsed)
		entry->valid = declaration_parse(&entry->decl, entry->kind,
				   entry->body, strlen(entry->body), &err) == 0;
	node->parsed = true;
	return entry;
}

static void
put(struct config *config, int kind, const char *name, uint64_t version,
    const char *body)
{
	struct node *node = find_node(config, kind, name);

	if (node == NULL) {
		node = calloc(1, sizeof(*node));
		if (node == NULL)
			abort();
		node->entry.kind = (enum decl_kind)kind;
		node->entry.name = strdup(name);
		HASH_ADD_KEYPTR(hh, config->nodes[kind], node->entry.name,
		    strlen(node->entry.name), node);
		config->stale[kind] = true;
	}
	set_body(node, version, body);
	node->seen = true;
	report(config, node, version, false);
}

static void
delete_node(struct config *config, struct node *node, uint64_t version)
{
	int kind = (int)node->entry.kind;

	HASH_DEL(config->nodes[kind], node);
	config->stale[kind] = true;
	report(config, node, version, true);
	node_free(node);
}

static bool
expectation_holds(const struct config *config, const struct tm_change *change)
{
	int kind = decl_kind_parse(change->kind);
	const struct node *node;

	if (kind == -1)
		return false;
	node = find_node(config, kind, change->name);
	switch (change->expect) {
	case TM_EXPECT_ANY:
		return change->op == TM_PUT || node != NULL;
	case TM_EXPECT_ABSENT:
		/*
		 * A creation that lands late must not bring back a name that
		 * was taken and deleted since: its writer was told that it
		 * lost.  One offset for all names is enough, and stays small.
		 */
		return change->op == TM_PUT && node == NULL &&
		       change->ver >= config->last_delete;
	case TM_EXPECT_VERSION:
		return node != NULL && node->entry.version == change->ver;
	}
	return false;
}

/*
 * A change that expects nothing could be accepted twice after a lost answer;
 * writers therefore always name a version or absence.
 */
static enum config_verdict
judge(const struct config *config, const struct tm_config_change *change)
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
perform(struct config *config, uint64_t offset, const struct tm_change *change)
{
	int kind = decl_kind_parse(change->kind);
	struct node *node;

	if (change->op == TM_PUT) {
		put(config, kind, change->name, offset, change->body);
		return;
	}
	node = find_node(config, kind, change->name);
	config->last_delete = offset;
	if (node != NULL)
		delete_node(config, node, offset);
}

static void
apply_change(struct config *config, uint64_t offset,
    const struct tm_config_change *change)
{
	enum config_verdict verdict = judge(config, change);

	if (verdict == CONFIG_ACCEPTED) {
		config->version = offset;
		for (u_int i = 0; i < change->changes.changes_len; i++)
			perform(
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
	struct node *node = find_node(config, (int)kind, name);

	return node == NULL ? NULL : parsed_entry(node);
}

static int
compare_names(const void *a, const void *b)
{
	const struct node *const *x = a;
	const struct node *const *y = b;

	return strcmp((*x)->entry.name, (*y)->entry.name);
}

static void
sort_kind(struct config *config, int kind)
{
	struct node *node, *next;
	size_t i = 0;

	free(config->sorted[kind]);
	config->sorted[kind] =
	    calloc(HASH_COUNT(config->nodes[kind]) + 1, sizeof(struct node *));
	if (config->sorted[kind] == NULL)
		abort();
	HASH_ITER(hh, config->nodes[kind], node, next)
		config->sorted[kind][i++] = node;
	qsort(config->sorted[kind], i, sizeof(struct node *), compare_names);
	config->stale[kind] = false;
}

static struct node **
sorted_nodes(const struct config *config, int kind)
{
	if (config->stale[kind] || config->sorted[kind] == NULL)
		sort_kind((struct config *)config, kind);
	return config->sorted[kind];
}

const struct config_entry *
config_next(const struct config *config, enum decl_kind kind,
    const struct config_entry *after)
{
	size_t count = HASH_COUNT(config->nodes[kind]);
	size_t low = 0, high = count;

	struct node **sorted = sorted_nodes(config, (int)kind);

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
	return HASH_COUNT(config->nodes[kind]);
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
		total += HASH_COUNT(config->nodes[kind]);
	memset(snap, 0, sizeof(*snap));
	snap->position = config->position;
	snap->ver = config->version;
	snap->last_delete = config->last_delete;
	snap->declarations.declarations_val =
	    calloc(total + 1, sizeof(struct tm_declaration));
	if (snap->declarations.declarations_val == NULL)
		abort();
	for (int kind = 0; kind < DECL_KIND_COUNT; kind++) {
		struct node **sorted = sorted_nodes(config, kind);

		for (u_int i = 0; i < HASH_COUNT(config->nodes[kind]); i++)
			copy_declaration(
			    &snap->declarations.declarations_val[n++],
			    &sorted[i]->entry);
	}
	snap->declarations.declarations_len = n;
}

static void
restore_one(struct config *config, const struct tm_declaration *decl)
{
	int kind = decl_kind_parse(decl->kind);
	struct node *node;

	if (kind == -1)
		return;
	node = find_node(config, kind, decl->name);
	if (node != NULL && node->entry.version == decl->ver)
		node->seen = true;
	else
		put(config, kind, decl->name, decl->ver, decl->body);
}

int
config_restore(struct config *config, const struct tm_config_snapshot *snap)
{
	struct node *node, *next;

	if (snap->position <= config->position || snap->ver < config->version)
		return -1;
	for (int kind = 0; kind < DECL_KIND_COUNT; kind++) {
		HASH_ITER(hh, config->nodes[kind], node, next)
			node->seen = false;
	}
	if (config->opts.restoring != NULL)
		config->opts.restoring(config->opts.ctx, snap->ver);
	config->position = snap->position;
	config->version = snap->ver;
	config->last_delete = snap->last_delete;
	for (u_int i = 0; i < snap->declarations.declarations_len; i++)
		restore_one(config, &snap->declarations.declarations_val[i]);
	for (int kind = 0; kind < DECL_KIND_COUNT; kind++) {
		HASH_ITER(hh, config->nodes[kind], node, next) {
			if (!node->seen)
				delete_node(config, node, snap->ver);
		}
	}
	return 0;
}
