#include "state/ledger.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

struct item {
	struct ledger_item pub;
	TAILQ_ENTRY(item) link;
};

struct ledger {
	uint64_t total; /* bytes */
	uint64_t used; /* bytes */
	TAILQ_HEAD(, item) items;
};

struct ledger *
ledger_create(uint64_t total_bytes)
{
	struct ledger *ledger = calloc(1, sizeof(*ledger));

	if (ledger == NULL)
		return NULL;
	ledger->total = total_bytes;
	TAILQ_INIT(&ledger->items);
	return ledger;
}

void
ledger_destroy(struct ledger *ledger)
{
	struct item *item, *next;

	if (ledger == NULL)
		return;
	TAILQ_FOREACH_SAFE(item, &ledger->items, link, next)
		ledger_remove(ledger, &item->pub);
	free(ledger);
}

uint64_t
ledger_total(const struct ledger *ledger)
{
	return ledger->total;
}

uint64_t
ledger_used(const struct ledger *ledger)
{
	return ledger->used;
}

void
ledger_set_total(struct ledger *ledger, uint64_t bytes)
{
	ledger->total = bytes;
}

struct ledger_item *
ledger_find(const struct ledger *ledger, const char *model, const char *adapter)
{
	struct item *item;

	TAILQ_FOREACH(item, &ledger->items, link) {
		if (strcmp(item->pub.model, model) == 0 &&
		    strcmp(item->pub.adapter, adapter) == 0)
			return &item->pub;
	}
	return NULL;
}

struct ledger_item *
ledger_next(const struct ledger *ledger, struct ledger_item *after)
{
	struct item *item = (struct item *)after;

	item =
	    item == NULL ? TAILQ_FIRST(&ledger->items) : TAILQ_NEXT(item, link);
	return item == NULL ? NULL : &item->pub;
}

struct ledger_item *
ledger_adopt(struct ledger *ledger, const char *model, const char *adapter,
    uint64_t bytes, enum ledger_state state)
{
	struct item *item = calloc(1, sizeof(*item));

	if (item == NULL)
		abort();
	item->pub.model = strdup(model);
	item->pub.adapter = strdup(adapter);
	item->pub.bytes = bytes;
	item->pub.state = state;
	ledger->used += bytes;
	TAILQ_INSERT_TAIL(&ledger->items, item, link);
	return &item->pub;
}

struct ledger_item *
ledger_reserve(struct ledger *ledger, const char *model, const char *adapter,
    uint64_t bytes)
{
	if (ledger_find(ledger, model, adapter) != NULL)
		return NULL;
	if (ledger->used > ledger->total ||
	    bytes > ledger->total - ledger->used)
		return NULL;
	return ledger_adopt(ledger, model, adapter, bytes, LEDGER_LOADING);
}

void
ledger_remove(struct ledger *ledger, struct ledger_item *pub)
{
	struct item *item = (struct item *)pub;

	TAILQ_REMOVE(&ledger->items, item, link);
	ledger->used -= item->pub.bytes;
	free((char *)item->pub.model);
	free((char *)item->pub.adapter);
	free(item);
}

static bool
adapters_idle(const struct ledger *ledger, const char *model)
{
	const struct item *item;

	TAILQ_FOREACH(item, &ledger->items, link) {
		const struct ledger_item *it = &item->pub;

		if (it->adapter[0] == '\0' || strcmp(it->model, model) != 0)
			continue;
		if (it->state == LEDGER_LOADING || it->pins > 0)
			return false;
	}
	return true;
}

static bool
evictable(const struct ledger *ledger, const struct ledger_item *item)
{
	if (item->state != LEDGER_LOADED || item->pins > 0 ||
	    item->unload_pending)
		return false;
	return item->adapter[0] != '\0' || adapters_idle(ledger, item->model);
}

bool
ledger_has_adapters(const struct ledger *ledger, const char *model)
{
	const struct item *item;

	TAILQ_FOREACH(item, &ledger->items, link) {
		if (item->pub.adapter[0] != '\0' &&
		    strcmp(item->pub.model, model) == 0)
			return true;
	}
	return false;
}

uint64_t
ledger_unload_bytes(
    const struct ledger *ledger, const struct ledger_item *unloaded)
{
	uint64_t bytes = unloaded->bytes;
	const struct item *item;

	if (unloaded->adapter[0] != '\0')
		return bytes;
	TAILQ_FOREACH(item, &ledger->items, link) {
		const struct ledger_item *it = &item->pub;

		if (it->adapter[0] != '\0' && it->state == LEDGER_LOADED &&
		    strcmp(it->model, unloaded->model) == 0)
			bytes += it->bytes;
	}
	return bytes;
}

uint64_t
ledger_evictable_bytes(const struct ledger *ledger)
{
	const struct item *item;
	uint64_t bytes = 0;

	TAILQ_FOREACH(item, &ledger->items, link) {
		if (evictable(ledger, &item->pub))
			bytes += item->pub.bytes;
	}
	return bytes;
}

struct ledger_item *
ledger_victim(const struct ledger *ledger)
{
	struct ledger_item *best = NULL;
	struct item *item;

	TAILQ_FOREACH(item, &ledger->items, link) {
		struct ledger_item *it = &item->pub;

		if (!evictable(ledger, it))
			continue;
		if (best == NULL || it->value < best->value ||
		    (it->value == best->value &&
			it->last_used_us < best->last_used_us))
			best = it;
	}
	return best;
}
