#include "gateway/backends.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/keyed_feed.h"
#include "coordination/selection.h"
#include "coordination/swap.h"
#include "gateway/gateway_internal.h"
#include "gateway/replica_marks.h"
#include "gateway/sidecar_conns.h"
#include "state/deployment.h"
#include "transport/http_client.h"

/* The time left of a late load is its time so far divided by this. */
#define LOAD_LATE_DIVISOR 4
#define MAX_IDLE_CONNECTIONS 48 /* to one replica; enough for a burst */
#define CONNECT_TIMEOUT_US (400 * USEC_PER_MSEC) /* a round trip: 10 ms */
#define IDLE_TIMEOUT_US (10 * USEC_PER_SEC) /* of keep-alive connections */
#define PEER_TIMEOUT_US (3 * USEC_PER_SEC)
#define MAX_ANSWER_BYTES (32 * 1024 * 1024)
#define ADAPTER_LOAD_US (20 * USEC_PER_MSEC) /* of an order and a report */
/*
 * For this time after a replica is listed, or refuses a model as not loaded, or
 * until its sidecar reports, its models are uncertain: the entry of a replica
 * that restarted may still list the models that were loaded before.  The
 * report follows within a few round trips.
 */
#define UNCERTAIN_NEW_US (1500 * USEC_PER_MSEC)
#define UNCERTAIN_REFUSED_US (300 * USEC_PER_MSEC)
#define HTTP_MISDIRECTED 421 /* RFC 9110, section 15.5.20 */
#define UNLOAD_US (50 * USEC_PER_MSEC) /* to evict a model before a load */

struct backends {
	struct gateway *gateway;
	unsigned count;
	unsigned gateways; /* that use the same replicas; at least 1 */
	bool in_snapshot;
	struct replica_marks *marks; /* of unlisted replicas */
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
	b->marks = replica_marks_create();
	if (b->marks == NULL)
		abort();
	TAILQ_INIT(&b->list);
	return b;
}

static void
backend_free(struct backends *all, struct backend *b)
{
	struct backend_use *use;

	sidecar_conns_close(all->gateway->sidecar_conns, b);
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
	replica_marks_destroy(all->marks);
	free(all);
}

static void
divide_connections(struct backends *all, struct backend *b)
{
	const struct deployment *d = all->gateway->deployment;
	const struct service_spec *s =
	    d == NULL ? NULL : deployment_find_service(d, b->entry.service);
	unsigned share = MAX_IDLE_CONNECTIONS;

	if (s != NULL && s->max_conns > 0 &&
	    s->max_conns / all->gateways < share)
		share = s->max_conns / all->gateways;
	http_client_set_max_idle(b->http, share == 0 ? 1 : share);
}

void
backends_divide_connections(struct backends *all, unsigned gateways)
{
	struct backend *b;

	if (gateways > 0)
		all->gateways = gateways;
	TAILQ_FOREACH(b, &all->list, link)
		divide_connections(all, b);
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

struct backend *
backends_find(struct backends *all, const char *id)
{
	struct backend *b;

	TAILQ_FOREACH(b, &all->list, link) {
		if (b->listed && strcmp(b->entry.id, id) == 0)
			return b;
	}
	return NULL;
}

static void
unlist_backend(struct backends *all, struct backend *b, const char *why)
{
	log_info(all->gateway->process.logger, "replica gone",
	    LF_S("replica", b->entry.id), LF_S("address", b->entry.address),
	    LF_S("why", why), LF_I("in_flight", b->in_flight));
	replica_marks_keep(
	    all->marks, b, clock_now(all->gateway->process.clock));
	b->listed = false;
	b->expires_us = 0;
	http_client_close_idle(b->http);
}

static struct backend *
add_backend(struct backends *all, const struct replica_entry *entry)
{
	struct gateway *g = all->gateway;
	struct http_client_options http = {
		.base = g->process.base,
		.address = entry->address,
		.max_idle = MAX_IDLE_CONNECTIONS,
		.max_body = MAX_ANSWER_BYTES,
		.quota = &g->answer_quota,
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.idle_timeout_us = IDLE_TIMEOUT_US,
		.peer_timeout_us = PEER_TIMEOUT_US,
	};
	struct backend *b = calloc(1, sizeof(*b));

	if (b == NULL)
		abort();
	b->http = http_client_create(&http);
	if (b->http == NULL) {
		log_warn(g->process.logger,
		    "replica ignored: malformed address",
		    LF_S("replica", entry->id),
		    LF_S("address", entry->address));
		free(b);
		return NULL;
	}
	b->entry = *entry;
	b->host = XXH3_64bits(entry->address, strcspn(entry->address, ":")) | 1;
	divide_connections(all, b);
	b->listed = true;
	b->listed_us = clock_now(g->process.clock);
	replica_speed_init(&b->speed);
	b->victim_idle_us = -1;
	b->uncertain_until_us = b->listed_us + UNCERTAIN_NEW_US;
	SLIST_INIT(&b->uses);
	replica_marks_restore(all->marks, b, b->listed_us);
	TAILQ_INSERT_TAIL(&all->list, b, link);
	all->count++;
	log_info(g->process.logger, "replica listed",
	    LF_S("replica", entry->id), LF_S("service", entry->service),
	    LF_S("address", entry->address), LF_S("zone", entry->zone),
	    LF_I("slots", entry->slots),
	    LF_I("models", entry->state.model_count),
	    LF_I("draining", b->entry.state.draining));
	return b;
}

void
backend_set_draining(struct backends *all, struct backend *b,
    int64_t gone_in_us, const char *from)
{
	if (b->entry.state.draining)
		return;
	log_info(all->gateway->process.logger, "replica drains",
	    LF_S("replica", b->entry.id), LF_I("gone_in_us", gone_in_us),
	    LF_S("from", from));
	b->entry.state.draining = true;
	b->entry.state.gone_in_us = gone_in_us;
	http_client_close_idle(b->http);
}

bool
backend_made_answer(
    const struct backend *b, int code, const struct answer_meta *meta)
{
	return code != HTTP_MISDIRECTED && (meta->sealed || meta->not_run) &&
	       (meta->replica[0] == '\0' ||
		   strcmp(meta->replica, b->entry.id) == 0);
}

/* Keeps the models that the sidecar reported: they are newer. */
static void
update_entry(
    struct backends *all, struct backend *b, const struct replica_entry *e)
{
	if (e->state.draining)
		backend_set_draining(all, b, e->state.gone_in_us, "store");
	b->entry.slots = e->slots;
	if (!b->holdings_known) {
		bool draining = b->entry.state.draining;

		b->entry.state = e->state;
		b->entry.state.draining |= draining;
	}
}

/*
 * Only one incarnation runs at an address, but the entries of earlier ones
 * stay in the store until they expire.  Returns false if a later incarnation
 * than that of the entry is listed.
 */
static bool
unlist_older_at_address(struct backends *all, const struct replica_entry *e)
{
	struct backend *b, *next;

	TAILQ_FOREACH_SAFE(b, &all->list, link, next) {
		if (!b->listed || strcmp(b->entry.address, e->address) != 0 ||
		    strcmp(b->entry.id, e->id) == 0)
			continue;
		if (b->entry.state.born_ms > e->state.born_ms)
			return false;
		unlist_backend(all, b, "a later incarnation has its address");
	}
	return true;
}

static void
upsert_entry(struct backends *all, const struct replica_entry *e)
{
	struct backend *b = backends_find(all, e->id);

	if (b != NULL && (b->entry.state.born_ms != e->state.born_ms ||
			     strcmp(b->entry.address, e->address) != 0 ||
			     strcmp(b->entry.service, e->service) != 0)) {
		unlist_backend(all, b, "entry is of another incarnation");
		b = NULL;
	}
	if (b == NULL) {
		if (unlist_older_at_address(all, e))
			add_backend(all, e);
		return;
	}
	b->expires_us = 0;
	update_entry(all, b, e);
}

/*
 * During an outage of the store the entries of live replicas expire, as they
 * cannot be renewed; they return soon after it.  A replica whose entry is
 * deleted in an outage or shortly after it is kept for expiry_grace_ms.
 */
static void
remove_entry(struct backends *all, const char *id)
{
	struct gateway *g = all->gateway;
	struct backend *b = backends_find(all, id);
	int64_t since, now = clock_now(g->process.clock);
	int64_t grace_us = g->settings.expiry_grace_ms * USEC_PER_MSEC;

	if (b == NULL)
		return;
	since = keyed_feed_contact_since(g->replica_feed);
	if (since != -1 && now - since >= grace_us) {
		unlist_backend(all, b, "entry removed");
		return;
	}
	b->expires_us = (since == -1 ? now : since) + grace_us;
}

bool
backends_record(struct backends *all, const struct fleet_record *record)
{
	struct gateway *g = all->gateway;
	struct replica_entry entry;
	struct fleet_error err;
	char id[FLEET_ID_MAX];
	bool usable = true;

	snprintf(id, sizeof(id), "%.*s", (int)record->key_len, record->key);
	if (record->len == 0) {
		remove_entry(all, id);
	} else if (g->driver->decode_replica(
		       id, record->value, record->len, &entry, &err) == 0) {
		upsert_entry(all, &entry);
	} else {
		log_warn(g->process.logger, "replica entry ignored",
		    LF_S("key", id), LF_S("why", err.text));
		usable = false;
	}
	sidecar_conns_refresh(g->sidecar_conns);
	return usable;
}

/* Each record of the snapshot resets the expiry of its replica. */
void
backends_snapshot_begin(void *ctx)
{
	struct backends *all = ctx;
	struct backend *b;
	int64_t now = clock_now(all->gateway->process.clock);

	TAILQ_FOREACH(b, &all->list, link) {
		if (b->listed)
			b->expires_us =
			    now + all->gateway->settings.expiry_grace_ms *
				      USEC_PER_MSEC;
	}
}

void
backends_tick(struct backends *all)
{
	struct backend *b, *next;
	int64_t now = clock_now(all->gateway->process.clock);

	TAILQ_FOREACH_SAFE(b, &all->list, link, next) {
		if (b->listed && b->expires_us != 0 && now >= b->expires_us)
			unlist_backend(all, b, "entry expired");
		if (!b->listed && b->in_flight == 0 && !b->connecting)
			backend_free(all, b);
	}
}

struct backend_use *
backend_get_use(struct backend *b, const char *model, const char *adapter)
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

/* ---- models and copies ---- */

static const struct loaded_model *
find_loaded(const struct replica_state *s, const char *model)
{
	for (unsigned i = 0; i < s->model_count; i++) {
		if (strcmp(s->models[i].name, model) == 0)
			return &s->models[i];
	}
	return NULL;
}

double
backend_prefill_factor(const struct backend *b, const char *model)
{
	for (unsigned i = 0; i < b->factor_count; i++) {
		if (strcmp(b->factors[i].model, model) == 0)
			return b->factors[i].factor;
	}
	return 0;
}

static bool
has_adapter(const struct loaded_model *m, const char *adapter)
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

/*
 * Predicted time left of the load in progress; 0 without one.  It is at least a
 * quarter of the time so far: a load that is late does not end at once.
 */
static int64_t
loading_left_us(const struct backend *b, int64_t now_us)
{
	int64_t left = b->loading_until_us - now_us;
	int64_t late = (now_us - b->loading_since_us) / LOAD_LATE_DIVISOR;

	if (b->loading[0] == '\0')
		return 0;
	return left > late ? left : late;
}

int64_t
backend_victim_idle_us(const struct backend *b, int64_t now_us)
{
	return swap_idle_estimate(
	    b->victim_idle_us, now_us - b->victim_report_us);
}

int64_t
backend_load_us(const struct backend *b, const struct model_spec *spec,
    const char *model, const char *adapter, int64_t now_us)
{
	const struct replica_state *s = &b->entry.state;
	const struct loaded_model *m = find_loaded(s, model);
	int64_t extra = adapter[0] == '\0' ? 0 : ADAPTER_LOAD_US;
	int64_t us;

	if (now_us < b->uncertain_until_us)
		return b->uncertain_until_us - now_us;
	if (m != NULL && (extra == 0 || has_adapter(m, adapter)))
		return 0;
	if (b->conn == NULL || spec == NULL)
		return SELECT_LOAD_NEVER; /* no sidecar to order the load */
	if (m != NULL) /* the adapter waits for the load in progress */
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
	return us + loading_left_us(b, now_us) + extra; /* loads run in turn */
}

void
backend_mark_uncertain(struct backend *b, int64_t now_us)
{
	b->uncertain_until_us = now_us + UNCERTAIN_REFUSED_US;
}

bool
backend_has_free_memory(const struct backend *b, const struct model_spec *spec)
{
	return spec != NULL && b->free_mb >= spec->size_mb;
}

bool
backend_has_loaded(const struct backend *b, const char *model)
{
	return find_loaded(&b->entry.state, model) != NULL;
}

bool
backend_has_copy(const struct backend *b, const char *model)
{
	const struct replica_state *s = &b->entry.state;

	return find_loaded(s, model) != NULL ||
	       strcmp(b->loading, model) == 0 ||
	       has_copy(&s->in_memory, model) || has_copy(&s->on_disk, model);
}
