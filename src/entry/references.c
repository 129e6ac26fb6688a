#include "entry/references.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "state/config.h"

#define KEY_MAX (2 * DECL_NAME_MAX)

struct planned_change {
	char key[KEY_MAX]; /* KIND/NAME */
	enum decl_kind kind;
	const char *name;
	bool deleted;
	struct declaration decl;
	UT_hash_handle hh;
};

/* The configuration and the changes to be applied to it. */
struct plan {
	const struct config *config;
	struct planned_change *items;
	size_t count;
	struct planned_change *by_key;
	struct reference_error *error;
};

static const struct planned_change *
find_change(const struct plan *plan, enum decl_kind kind, const char *name)
{
	struct planned_change *item;
	char key[KEY_MAX];

	snprintf(key, sizeof(key), "%s/%s", decl_kind_name(kind), name);
	HASH_FIND_STR(plan->by_key, key, item);
	return item;
}

static bool
will_exist(const struct plan *plan, enum decl_kind kind, const char *name)
{
	const struct planned_change *item = find_change(plan, kind, name);

	if (item != NULL)
		return !item->deleted;
	return config_find(plan->config, kind, name) != NULL;
}

static void
add_change(struct plan *plan, const struct tm_change *change)
{
	struct planned_change *item = &plan->items[plan->count++], *old;
	struct decl_error err;

	item->kind = (enum decl_kind)decl_kind_parse(change->kind);
	item->name = change->name;
	item->deleted = change->op == TM_DELETE;
	if (!item->deleted)
		(void)declaration_parse(&item->decl, item->kind, change->body,
		    strlen(change->body), &err);
	snprintf(
	    item->key, sizeof(item->key), "%s/%s", change->kind, change->name);
	HASH_REPLACE_STR(plan->by_key, key, item, old);
}

/* ---- dangling references ---- */

static bool
require_declared(struct plan *plan, const struct planned_change *from,
    const char *field, enum decl_kind kind, const char *name)
{
	if (will_exist(plan, kind, name))
		return true;
	snprintf(plan->error->text, sizeof(plan->error->text),
	    "%s %s: %s: no %s named %s is declared", decl_kind_name(from->kind),
	    from->name, field, decl_kind_name(kind), name);
	return false;
}

static bool
require_all_declared(struct plan *plan, const struct planned_change *from,
    const char *field, enum decl_kind kind, const struct name_list *names)
{
	for (size_t i = 0; i < names->count; i++) {
		if (!require_declared(plan, from, field, kind, names->names[i]))
			return false;
	}
	return true;
}

static bool
references_exist(struct plan *plan, const struct planned_change *item)
{
	const struct decl_deployment *d = &item->decl.spec.deployment;

	if (item->kind == DECL_ADAPTER)
		return require_declared(plan, item, "model", DECL_MODEL,
		    item->decl.spec.adapter.model);
	if (item->kind == DECL_ACCOUNT)
		return item->decl.spec.account.rank[0] == '\0' ||
		       require_declared(plan, item, "rank", DECL_RANK,
			   item->decl.spec.account.rank);
	if (item->kind != DECL_DEPLOYMENT)
		return true;
	return require_all_declared(
		   plan, item, "models", DECL_MODEL, &d->models) &&
	       require_all_declared(
		   plan, item, "adapters", DECL_ADAPTER, &d->adapters) &&
	       require_all_declared(
		   plan, item, "services", DECL_SERVICE, &d->services) &&
	       require_all_declared(plan, item, "ranks", DECL_RANK, &d->ranks);
}

/* ---- deletions of declarations in use ---- */

static bool
refers_to(const struct declaration *decl, enum decl_kind kind, const char *name)
{
	const struct decl_deployment *d = &decl->spec.deployment;

	if (decl->kind == DECL_ADAPTER)
		return kind == DECL_MODEL &&
		       strcmp(decl->spec.adapter.model, name) == 0;
	if (decl->kind != DECL_DEPLOYMENT)
		return false;
	switch (kind) {
	case DECL_MODEL:
		return name_list_has(&d->models, name);
	case DECL_ADAPTER:
		return name_list_has(&d->adapters, name);
	case DECL_SERVICE:
		return name_list_has(&d->services, name);
	case DECL_RANK:
		return name_list_has(&d->ranks, name);
	default:
		return false;
	}
}

/* Whether an unchanged declaration of kind `from` refers to the item. */
static bool
is_referenced_from(
    struct plan *plan, enum decl_kind from, const struct planned_change *item)
{
	const struct config_entry *entry = NULL;

	while ((entry = config_next(plan->config, from, entry)) != NULL) {
		/* references_exist() checks the changed declarations. */
		if (!entry->valid ||
		    find_change(plan, from, entry->name) != NULL ||
		    !refers_to(&entry->decl, item->kind, item->name))
			continue;
		snprintf(plan->error->text, sizeof(plan->error->text),
		    "%s %s: %s %s refers to it", decl_kind_name(item->kind),
		    item->name, decl_kind_name(from), entry->name);
		return true;
	}
	return false;
}

static enum result
check_change(struct plan *plan, const struct planned_change *item)
{
	if (!item->deleted)
		return references_exist(plan, item) ? RESULT_OK
						    : RESULT_INVALID;
	if (is_referenced_from(plan, DECL_ADAPTER, item) ||
	    is_referenced_from(plan, DECL_DEPLOYMENT, item))
		return RESULT_IN_USE;
	return RESULT_OK;
}

enum result
references_check(const struct config *config, const struct tm_change *changes,
    size_t count, struct reference_error *error)
{
	struct plan plan = { .config = config, .error = error };
	enum result code = RESULT_OK;

	error->text[0] = '\0';
	plan.items = calloc(count + 1, sizeof(*plan.items));
	if (plan.items == NULL)
		abort();
	for (size_t i = 0; i < count; i++)
		add_change(&plan, &changes[i]);
	for (size_t i = 0; i < count && code == RESULT_OK; i++)
		code = check_change(&plan, &plan.items[i]);
	HASH_CLEAR(hh, plan.by_key);
	for (size_t i = 0; i < count; i++)
		declaration_clear(&plan.items[i].decl);
	free(plan.items);
	return code;
}
