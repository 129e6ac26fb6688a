#include "coordination/swap.h"
#include "gateway/backends.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/keyed_feed.h"
#include "coordination/selection.h"
#include "gateway/gateway_internal.h"
#include "gateway/sidecar_links.h"
#include "state/deployment.h"
#include "transport/http_client.h"

/* A load that takes longer than expected: one part in so many is still left. */
#define LOAD_LATE_SHARE 4
#define MAX_IDLE_CONNECTIONS 48 /* a burst's worth for one replica */
#define CONNECT_TIMEOUT_US                                                     \
	(400 * USEC_PER_MSEC) /* a round trip takes 10 ms                      \
			       */
#define IDLE_TIMEOUT_US (10 * USEC_PER_SEC)
#define DEAD_PEER_US (3 * USEC_PER_SEC)
#define MAX_ANSWER (64 * 1024 * 1024) /* bytes */
#define ADAPTER_LOAD_US (20 * USEC_PER_MSEC) /* an order and a report */
/*
 * An entry may tell what a replica held before it started again; the sidecar's
 * word comes within a few round trips.
 */
#define DOUBT_NEW_US (1500 * USEC_PER_MSEC)
#define DOUBT_REFUSED_US (300 * USEC_PER_MSEC)
#define UNLOAD_US (50 * USEC_PER_MSEC)

struct backends {
	struct gateway *gateway;
	unsigned count;
	unsigned gateways; /* that share the replicas, as far as known */
	bool in_snapshot;
	TAILQ_HEAD(, backend) list;
};

struct backends *
backends_create(struct gateway *g)
{
	struct backends *b = calloc(1, sizeof(*b));

	if (b == NULL)
		return NULL;
	b->gateway = g;
	b->gateways = 1;
	TAILQ_INIT(&b->list);
	return b;
}

static void
backend_free(struct backends *all, struct backend *b)
{
	struct backend_use *use;

	sidecar_links_drop(all->gateway->links, b);
	TAILQ_REMOVE(&all->list, b, link);
	all->count--;
	while ((use = SLIST_FIRST(&b->uses)) != NULL) {
		SLIST_REMOVE_HEAD(&b->uses, link);
		free(use);
	}
	http_client_destroy(b->http);
	free(b);
}

void
backends_destroy(struct backends *all)
{
	struct backend *b;

	if (all == NULL)
		return;
	while ((b = TAILQ_FIRST(&all->list)) != NULL)
		backend_free(all, b);
	free(all);
}

static void
share_connections(struct backends *all, struct backend *b)
{
	const struct deployment *d = all->gateway->deployment;
	const struct service_spec *s =
	    d == NULL ? NULL : deployment_service(d, b->entry.service);
	unsigned share = MAX_IDLE_CONNECTIONS;

	if (s != NULL && s->max_conns > 0 &&
	    s->max_conns / all->gateways < share)
		share = s->max_conns / all->gateways;
	http_client_set_max_idle(b->http, share == 0 ? 1 : share);
}

void
backends_share_connections(struct backends *all, unsigned gateways)
{
	struct backend *b;

	if (gateways > 0)
		all->gateways = gateways;
	TAILQ_FOREACH(b, &all->list, link)
		share_connections(all, b);
}

unsigned
backends_store_loads(const struct backends *all)
{
	const struct backend *b;
	unsigned count = 0;

	TAILQ_FOREACH(b, &all->list, link)
		count +=
		    b->listed && b->loading[0] != '\0' && b->loading_from_store;
	return count;
}

struct backend *
backends_next(struct backends *all, struct backend *b)
{
	return b == NULL ? TAILQ_FIRST(&all->list) : TAILQ_NEXT(b, link);
}

unsigned
backends_count(const struct backends *all)
{
	return all->count;
}

bool
backend_takes_work(const struct backend *b)
{
	return b->listed && !b->superseded && !b->entry.state.draining;
}

static struct backend *
find(struct backends *all, const char *id)
{
	struct backend *b;

	TAILQ_FOREACH(b, &all->list, link) {
		if (b->listed && strcmp(b->entry.id, id) == 0)
			return b;
	}
	return NULL;
}

static void
retire(struct backends *all, struct backend *b, const char *why)
{
	log_info(all->gateway->process.logger, "replica gone",
	    LF_S("replica", b->entry.id), LF_S("address", b->entry.address),
	    LF_S("why", why), LF_I("in_flight", b->in_flight));
	b->listed = false;
	b->lapse_at_us = 0;
	http_client_drop_idle(b->http);
}

static struct backend *
add(struct backends *all, const struct replica_entry *entry)
{
	struct gateway *g = all->gateway;
	struct http_client_options http = {
		.base = g->process.base,
		.address = entry->address,
		.max_idle = MAX_IDLE_CONNECTIONS,
		.max_body = MAX_ANSWER,
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.idle_timeout_us = IDLE_TIMEOUT_US,
		.dead_peer_us = DEAD_PEER_US,
	};
	struct backend *b = calloc(1, sizeof(*b));

	if (b == NULL)
		abort();
	b->http = http_client_create(&http);
	if (b->http == NULL) {
		log_warn(g->process.logger, "replica has a malformed address",
		    LF_S("replica", entry->id),
		    LF_S("address", entry->address));
		free(b);
		return NULL;
	}
	b->entry = *entry;
	share_connections(all, b);
	b->listed = true;
	b->listed_us = clock_now(g->process.clock);
	b->slowdown = 1;
	b->victim_idle_us = -1;
	b->doubt_until_us = b->listed_us + DOUBT_NEW_US;
	SLIST_INIT(&b->uses);
	TAILQ_INSERT_TAIL(&all->list, b, link);
	all->count++;
	log_info(g->process.logger, "replica listed",
	    LF_S("replica", entry->id), LF_S("service", entry->service),
	    LF_S("address", entry->address), LF_S("zone", entry->zone),
	    LF_I("slots", entry->slots),
	    LF_I("models", entry->state.model_count));
	return b;
}

/* The sidecar's word on models is fresher than the store's. */
static void
merge(struct backends *all, struct backend *b, const struct replica_entry *e)
{
	if (e->state.draining && !b->entry.state.draining) {
		log_info(all->gateway->process.logger, "replica drains",
		    LF_S("replica", b->entry.id),
		    LF_I("gone_in_us", e->state.gone_in_us));
		b->entry.state.draining = true;
		b->entry.state.gone_in_us = e->state.gone_in_us;
		http_client_drop_idle(b->http);
	}
	b->entry.slots = e->slots;
	if (!b->has_report) {
		bool draining = b->entry.state.draining;

		b->entry.state = e->state;
		b->entry.state.draining |= draining;
	}
}

/*
 * An address serves one incarnation; entries of earlier ones lapse later.
 * False if a later one is listed already.
 */
static bool
take_address(struct backends *all, const struct replica_entry *e)
{
	struct backend *b, *next;

	TAILQ_FOREACH_SAFE(b, &all->list, link, next) {
		if (!b->listed || strcmp(b->entry.address, e->address) != 0 ||
		    strcmp(b->entry.id, e->id) == 0)
			continue;
		if (b->entry.state.born_ms > e->state.born_ms)
			return false;
		retire(all, b, "address has a later incarnation");
	}
	return true;
}

static void
upsert(struct backends *all, const struct replica_entry *e)
{
	struct backend *b = find(all, e->id);

	if (b != NULL && (b->entry.state.born_ms != e->state.born_ms ||
			     strcmp(b->entry.address, e->address) != 0 ||
			     strcmp(b->entry.service, e->service) != 0)) {
		retire(all, b, "another incarnation");
		b = NULL;
	}
	if (b == NULL) {
		if (take_address(all, e))
			add(all, e);
		return;
	}
	b->lapse_at_us = 0;
	merge(all, b, e);
}

/*
 * While the store was away a live replica's entry may have expired; it is back
 * soon after.  Deletions close to an outage wait for that.
 */
static void
remove_entry(struct backends *all, const char *id)
{
	struct gateway *g = all->gateway;
	struct backend *b = find(all, id);
	int64_t since, now = clock_now(g->process.clock);
	int64_t lapse_us = g->settings.lapse_ms * USEC_PER_MSEC;

	if (b == NULL)
		return;
	since = keyed_feed_contact_since(g->replica_feed);
	if (since != -1 && now - since >= lapse_us) {
		retire(all, b, "entry removed");
		return;
	}
	b->lapse_at_us = (since == -1 ? now : since) + lapse_us;
}

void
backends_record(void *ctx, const struct fleet_record *record)
{
	struct backends *all = ctx;
	struct gateway *g = all->gateway;
	struct replica_entry entry;
	struct fleet_error err;
	char id[FLEET_ID_MAX];

	snprintf(id, sizeof(id), "%.*s", (int)record->key_len, record->key);
	if (record->len == 0) {
		remove_entry(all, id);
	} else if (g->adapter->decode_replica(
		       id, record->value, record->len, &entry, &err) == 0) {
		upsert(all, &entry);
	} else {
		log_warn(g->process.logger, "entry names no replica",
		    LF_S("key", id), LF_S("why", err.text));
	}
	sidecar_links_refresh(g->links);
}

/* Marks all; records of the snapshot clear the mark. */
void
backends_snapshot_begin(void *ctx)
{
	struct backends *all = ctx;
	struct backend *b;
	int64_t now = clock_now(all->gateway->process.clock);

	TAILQ_FOREACH(b, &all->list, link) {
		if (b->listed)
			b->lapse_at_us = now + all->gateway->settings.lapse_ms *
						   USEC_PER_MSEC;
	}
}

void
backends_tick(struct backends *all)
{
	struct backend *b, *next;
	int64_t now = clock_now(all->gateway->process.clock);

	TAILQ_FOREACH_SAFE(b, &all->list, link, next) {
		if (b->listed && b->lapse_at_us != 0 && now >= b->lapse_at_us)
			retire(all, b, "entry did not return");
		if (!b->listed && b->in_flight == 0 && !b->connecting)
			backend_free(all, b);
	}
}

struct backend_use *
backend_use(struct backend *b, const char *model, const char *adapter)
{
	struct backend_use *use;

	SLIST_FOREACH(use, &b->uses, link)
	{
		if (strcmp(use->model, model) == 0 &&
		    strcmp(use->adapter, adapter) == 0)
			return use;
	}
	use = calloc(1, sizeof(*use));
	if (use == NULL)
		abort();
	strlcpy(use->model, model, sizeof(use->model));
	strlcpy(use->adapter, adapter, sizeof(use->adapter));
	SLIST_INSERT_HEAD(&b->uses, use, link);
	return use;
}

/* ---- what it holds ---- */

static const struct held_model *
held(const struct replica_state *s, const char *model)
{
	for (unsigned i = 0; i < s->model_count; i++) {
		if (strcmp(s->models[i].name, model) == 0)
			return &s->models[i];
	}
	return NULL;
}

static bool
has_adapter(const struct held_model *m, const char *adapter)
{
	for (unsigned i = 0; i < m->adapter_count; i++) {
		if (strcmp(m->adapters[i], adapter) == 0)
			return true;
	}
	return false;
}

static bool
has_copy(const struct weight_copies *copies, const char *model)
{
	for (unsigned i = 0; i < copies->count; i++) {
		if (strcmp(copies->names[i], model) == 0)
			return true;
	}
	return false;
}

/* Of the load under way; one that is late is not about to end. */
static int64_t
loading_left_us(const struct backend *b, int64_t now_us)
{
	int64_t left = b->loading_until_us - now_us;
	int64_t late = (now_us - b->loading_since_us) / LOAD_LATE_SHARE;

	if (b->loading[0] == '\0')
		return 0;
	return left > late ? left : late;
}

int64_t
backend_victim_idle_us(const struct backend *b, int64_t now_us)
{
	return swap_idle_estimate(
	    b->victim_idle_us, now_us - b->victim_told_us);
}

int64_t
backend_load_us(const struct backend *b, const struct model_spec *spec,
    const char *model, const char *adapter, int64_t now_us)
{
	const struct replica_state *s = &b->entry.state;
	const struct held_model *m = held(s, model);
	int64_t extra = adapter[0] == '\0' ? 0 : ADAPTER_LOAD_US;
	int64_t us;

	if (now_us < b->doubt_until_us)
		return b->doubt_until_us - now_us;
	if (m != NULL && (extra == 0 || has_adapter(m, adapter)))
		return 0;
	if (b->conn == NULL || spec == NULL)
		return SELECT_LOAD_NEVER; /* nobody there gives orders */
	if (m != NULL) /* one order at a time */
		return extra + loading_left_us(b, now_us);
	if (strcmp(b->loading, model) == 0)
		return loading_left_us(b, now_us) + extra + 1;
	if (b->free_mb < spec->size_mb && b->victim_idle_us < 0)
		return SELECT_LOAD_NEVER;
	if (has_copy(&s->in_memory, model))
		us = spec->load_memory_us;
	else if (has_copy(&s->on_disk, model))
		us = spec->load_disk_us;
	else
		us = spec->load_remote_us;
	if (b->free_mb < spec->size_mb)
		us += UNLOAD_US;
	return us + loading_left_us(b, now_us) + extra; /* one at a time */
}

void
backend_doubt(struct backend *b, int64_t now_us)
{
	b->doubt_until_us = now_us + DOUBT_REFUSED_US;
}

bool
backend_has_room(const struct backend *b, const struct model_spec *spec)
{
	return spec != NULL && b->free_mb >= spec->size_mb;
}

bool
backend_holds(const struct backend *b, const char *model)
{
	return held(&b->entry.state, model) != NULL;
}

bool
backend_has_copy(const struct backend *b, const char *model)
{
	const struct replica_state *s = &b->entry.state;

	return held(s, model) != NULL || strcmp(b->loading, model) == 0 ||
	       has_copy(&s->in_memory, model) || has_copy(&s->on_disk, model);
}
