#include "coordination/membership.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <event2/event.h>
#include <uthash.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "common/rng.h"
#include "transport/rpc.h"

#define HELLO_TIMEOUT_US (3 * USEC_PER_SEC)
#define REFRESH_JITTER 0.25 /* spreads the list reads of the daemons */

struct peer_impl {
	struct peer pub; /* first: the two are cast to each other */
	struct membership *membership;
	struct rpc_conn *connecting;
	int64_t next_attempt_us; /* earliest time to connect again */
	bool in_list; /* scratch of apply_vms() */
	UT_hash_handle hh;
	TAILQ_ENTRY(peer_impl) link;
};

struct membership {
	struct membership_options opts;
	struct event *refresh_timer;
	struct event *connect_timer;
	struct peer_impl *by_id;
	TAILQ_HEAD(, peer_impl) peers;
	struct vm_info self; /* as listed; id is empty if not listed */
	uint64_t connections; /* opened so far; the number in hello */
	int64_t list_us; /* when the newest list was requested; 0: none */
	int64_t fetch_sent_us; /* when the last list read was sent */
	int64_t interval_us; /* between two list reads, without jitter */
	uint64_t digest;
	void (*list_changed)(void *);
	void *list_changed_ctx;
	struct rng rng;
	int64_t *up_gauge;
	uint64_t *failed_list_reads;
	uint64_t *list_reads;
};

static void
add_timer(struct event *timer, int64_t us)
{
	struct timeval tv = clock_timeval(us);

	evtimer_add(timer, &tv);
}

/* ---- load reports ---- */

static void
copy_models(struct peer *peer, const struct tm_load_report *report)
{
	size_t count = report->models.models_len;

	free(peer->models);
	peer->models = calloc(count + 1, sizeof(*peer->models));
	if (peer->models == NULL)
		abort();
	peer->model_count = count;
	for (size_t i = 0; i < count; i++) {
		const struct tm_model_load *in = &report->models.models_val[i];
		struct peer_model *out = &peer->models[i];

		strlcpy(out->model, in->model, sizeof(out->model));
		out->state = (enum tm_replica_state)in->state;
		out->load_us = (int64_t)in->load_us;
		out->queued_tokens = in->queued_tokens;
	}
}

void
membership_apply_report(struct membership *m, struct peer *peer,
    const struct tm_load_report *report)
{
	if (report->incarnation != peer->incarnation ||
	    report->sequence <= peer->report_sequence)
		return;
	peer->report_sequence = report->sequence;
	peer->report_us = clock_now(m->opts.clock);
	peer->queued = report->queued;
	peer->running = report->running;
	peer->queued_tokens = report->queued_tokens;
	peer->tokens_per_sec = report->tokens_per_sec;
	peer->memory_total = report->memory_total;
	peer->memory_used = report->memory_used;
	if (report->leaving)
		peer->leaving = true;
	if (!report->whole)
		return;
	copy_models(peer, report);
	peer->models_us = peer->report_us;
}

const struct peer_model *
peer_model(const struct peer *peer, const char *model)
{
	for (size_t i = 0; i < peer->model_count; i++) {
		if (strcmp(peer->models[i].model, model) == 0)
			return &peer->models[i];
	}
	return NULL;
}

int64_t
peer_model_wait_us(
    const struct peer *peer, const struct peer_model *pm, int64_t now)
{
	int64_t left = pm->load_us - (now - peer->models_us);

	if (pm->state != TM_REPLICA_LOADING)
		return pm->load_us;
	return left > 0 ? left : 0;
}

/* ---- connections ---- */

static void
on_hello(void *ctx, enum rpc_status status, void *arg)
{
	struct peer_impl *p = ctx;
	struct tm_hello_reply *reply = arg;
	struct membership *m = p->membership;

	if (p->pub.conn == NULL)
		return;
	if (status != RPC_OK || strcmp(reply->vm, p->pub.vm.id) != 0) {
		log_warn(m->opts.logger,
		    "hello failed or was answered by another VM",
		    LF_S("vm", p->pub.vm.id),
		    LF_S("answered_as", status == RPC_OK ? reply->vm : ""));
		rpc_conn_close(p->pub.conn);
		return;
	}
	if (p->pub.incarnation != reply->incarnation) {
		p->pub.report_sequence = 0;
		p->pub.leaving = false;
	}
	p->pub.incarnation = reply->incarnation;
	membership_apply_report(m, &p->pub, &reply->load);
	(*m->up_gauge)++;
	m->opts.peer_up(m->opts.ctx, &p->pub);
}

static void
send_hello(struct peer_impl *p)
{
	const struct membership_options *o = &p->membership->opts;
	struct tm_hello_args args = {
		.vm = (char *)o->self,
		.zone = (char *)o->zone,
		.role = o->role,
		.incarnation = o->incarnation,
		.connection = ++p->membership->connections,
	};

	rpc_conn_call(p->pub.conn, TM_HELLO, (xdrproc_t)xdr_tm_hello_args,
	    &args, (xdrproc_t)xdr_tm_hello_reply, sizeof(struct tm_hello_reply),
	    HELLO_TIMEOUT_US, on_hello, p);
}

static void
on_opened(void *ctx, struct rpc_conn *conn, bool ok)
{
	struct peer_impl *p = ctx;
	struct membership *m = p->membership;

	p->connecting = NULL;
	if (!ok) {
		p->next_attempt_us =
		    clock_now(m->opts.clock) + m->opts.reconnect_us;
		return;
	}
	p->pub.conn = conn;
	rpc_conn_set_owner(conn, p);
	send_hello(p);
}

static void
try_connect(struct membership *m, struct peer_impl *p)
{
	if (p->pub.conn != NULL || p->connecting != NULL)
		return;
	if (clock_now(m->opts.clock) < p->next_attempt_us)
		return;
	if (!m->opts.should_connect(m->opts.ctx, &p->pub.vm))
		return;
	p->connecting =
	    rpc_connect(m->opts.rpc, p->pub.vm.address, on_opened, p);
}

/* Closes a connection that is neither needed nor in use any more. */
static void
close_unneeded(struct membership *m, struct peer_impl *p)
{
	const struct membership_options *o = &m->opts;

	if (p->pub.conn == NULL || o->should_connect(o->ctx, &p->pub.vm))
		return;
	if (o->busy != NULL && o->busy(o->ctx, &p->pub))
		return;
	rpc_conn_close(p->pub.conn);
}

void
membership_connect(struct membership *m, struct peer *peer)
{
	struct peer_impl *p = (struct peer_impl *)peer;

	try_connect(m, p);
}

static void
on_connect_timer(evutil_socket_t fd, short what, void *arg)
{
	struct membership *m = arg;
	struct peer_impl *p;

	TAILQ_FOREACH(p, &m->peers, link) {
		close_unneeded(m, p);
		try_connect(m, p);
	}
	add_timer(m->connect_timer, m->opts.reconnect_us);
}

void
membership_conn_closed(struct membership *m, struct rpc_conn *conn)
{
	struct peer_impl *p = rpc_conn_owner(conn);
	bool was_up;

	if (p == NULL || p->pub.conn != conn)
		return;
	was_up = p->pub.incarnation != 0;
	p->pub.conn = NULL;
	p->next_attempt_us = clock_now(m->opts.clock);
	if (!was_up)
		return;
	(*m->up_gauge)--;
	m->opts.peer_down(m->opts.ctx, &p->pub);
	p->pub.incarnation = 0;
}

/* ---- VM list ---- */

static void
free_peer(struct membership *m, struct peer_impl *p)
{
	HASH_DEL(m->by_id, p);
	TAILQ_REMOVE(&m->peers, p, link);
	if (p->pub.conn != NULL) {
		rpc_conn_drop_callbacks(p->pub.conn, p);
		rpc_conn_set_owner(p->pub.conn, NULL);
		rpc_conn_close(p->pub.conn);
	}
	m->opts.peer_removed(m->opts.ctx, &p->pub);
	free(p->pub.models);
	free(p);
}

static struct peer_impl *
find_peer(struct membership *m, const char *vm)
{
	struct peer_impl *p;

	HASH_FIND_STR(m->by_id, vm, p);
	return p;
}

static struct peer_impl *
add_peer(struct membership *m, const struct vm_info *vm)
{
	struct peer_impl *p = calloc(1, sizeof(*p));

	if (p == NULL)
		abort();
	p->membership = m;
	p->pub.vm = *vm;
	HASH_ADD_STR(m->by_id, pub.vm.id, p);
	TAILQ_INSERT_TAIL(&m->peers, p, link);
	return p;
}

static void
update_peer(struct membership *m, const struct vm_info *vm)
{
	struct peer_impl *p;

	if (strcmp(vm->id, m->opts.self) == 0) {
		m->self = *vm;
		return;
	}
	p = find_peer(m, vm->id);
	if (p == NULL)
		p = add_peer(m, vm);
	if (strcmp(p->pub.vm.address, vm->address) != 0 && p->pub.conn != NULL)
		rpc_conn_close(p->pub.conn);
	p->pub.vm = *vm;
	p->in_list = true;
	p->pub.listed = true;
	p->pub.unlisted_us = 0;
	if (vm->leaving)
		p->pub.leaving = true;
}

/* A peer that is no longer listed is kept while its connection is open. */
static void
drop_unlisted(struct membership *m, struct peer_impl *p)
{
	int64_t now = clock_now(m->opts.clock);

	if (p->in_list)
		return;
	p->pub.listed = false;
	if (p->pub.unlisted_us == 0)
		p->pub.unlisted_us = now;
	if (p->pub.conn == NULL && p->connecting == NULL)
		free_peer(m, p);
}

static uint64_t
vm_digest(const struct vm_info *vm)
{
	const char *texts[] = { vm->id, vm->zone, vm->address, vm->service };
	uint64_t digest = (uint64_t)vm->role * 2 + vm->leaving;

	for (size_t i = 0; i < 4; i++)
		digest =
		    XXH3_64bits_withSeed(texts[i], strlen(texts[i]), digest);
	return digest;
}

/* A sum: the platform guarantees no order of the list. */
static uint64_t
list_digest(const struct vm_list *list)
{
	uint64_t digest = 0;

	for (size_t i = 0; i < list->count; i++)
		digest += vm_digest(&list->vms[i]);
	return digest;
}

static void
apply_vms(struct membership *m, const struct vm_list *list)
{
	struct peer_impl *p, *next;

	m->self.id[0] = '\0';
	TAILQ_FOREACH(p, &m->peers, link)
		p->in_list = false;
	for (size_t i = 0; i < list->count; i++)
		update_peer(m, &list->vms[i]);
	TAILQ_FOREACH_SAFE(p, &m->peers, link, next)
		drop_unlisted(m, p);
	TAILQ_FOREACH(p, &m->peers, link)
		try_connect(m, p);
}

void
membership_apply_list(
    struct membership *m, const struct vm_list *list, int64_t as_of_us)
{
	uint64_t digest = list_digest(list);
	bool changed = m->list_us == 0 || digest != m->digest;

	if (m->list_us != 0 && as_of_us <= m->list_us)
		return;
	m->list_us = as_of_us;
	m->digest = digest;
	apply_vms(m, list);
	if (changed && m->list_changed != NULL)
		m->list_changed(m->list_changed_ctx);
}

/* Interval that keeps reads of a list of that size within the rate limit. */
static int64_t
refresh_pause(struct membership *m, size_t bytes)
{
	int64_t us = (int64_t)bytes * USEC_PER_SEC / m->opts.list_bytes_per_sec;

	return us > m->opts.refresh_us ? us : m->opts.refresh_us;
}

static int64_t
with_jitter(struct membership *m, int64_t us)
{
	double factor = 1 + REFRESH_JITTER * (2 * rng_real(&m->rng) - 1);

	return (int64_t)((double)us * factor);
}

static void
on_list(void *ctx, const struct vm_list *list)
{
	struct membership *m = ctx;

	if (list == NULL) {
		(*m->failed_list_reads)++;
		add_timer(m->refresh_timer, m->opts.refresh_us);
		return;
	}
	(*m->list_reads)++;
	m->interval_us = refresh_pause(m, list->bytes);
	add_timer(m->refresh_timer, with_jitter(m, m->interval_us));
	membership_apply_list(m, list, m->fetch_sent_us);
}

static void
on_refresh(evutil_socket_t fd, short what, void *arg)
{
	struct membership *m = arg;

	m->fetch_sent_us = clock_now(m->opts.clock);
	m->opts.vms->ops->fetch(m->opts.vms->priv, on_list, m);
}

/* ---- lifecycle ---- */

struct membership *
membership_create(const struct membership_options *opts)
{
	struct membership *m = calloc(1, sizeof(*m));

	if (m == NULL)
		return NULL;
	m->opts = *opts;
	TAILQ_INIT(&m->peers);
	m->interval_us = opts->refresh_us;
	rng_seed_system(&m->rng);
	m->up_gauge = metrics_gauge(opts->metrics, "peers_connected", "");
	m->failed_list_reads =
	    metrics_counter(opts->metrics, "vm_list_failures_total", "");
	m->list_reads =
	    metrics_counter(opts->metrics, "vm_list_reads_total", "");
	m->refresh_timer = evtimer_new(opts->base, on_refresh, m);
	m->connect_timer = evtimer_new(opts->base, on_connect_timer, m);
	if (m->refresh_timer == NULL || m->connect_timer == NULL)
		abort();
	add_timer(m->refresh_timer, 0);
	add_timer(m->connect_timer, opts->reconnect_us);
	return m;
}

void
membership_destroy(struct membership *m)
{
	struct peer_impl *p, *next;

	if (m == NULL)
		return;
	TAILQ_FOREACH_SAFE(p, &m->peers, link, next)
		free_peer(m, p);
	event_free(m->refresh_timer);
	event_free(m->connect_timer);
	free(m);
}

struct peer *
membership_find(struct membership *m, const char *vm)
{
	struct peer_impl *p = find_peer(m, vm);

	return p == NULL ? NULL : &p->pub;
}

struct peer *
membership_next(struct membership *m, struct peer *after)
{
	struct peer_impl *p = (struct peer_impl *)after;

	p = p == NULL ? TAILQ_FIRST(&m->peers) : TAILQ_NEXT(p, link);
	return p == NULL ? NULL : &p->pub;
}

struct peer *
membership_by_conn(struct membership *m, struct rpc_conn *conn)
{
	struct peer_impl *p = rpc_conn_owner(conn);

	return p == NULL ? NULL : &p->pub;
}

bool
membership_self_leaving(const struct membership *m)
{
	return m->self.id[0] != '\0' && m->self.leaving;
}

int64_t
membership_list_time(const struct membership *m)
{
	return m->list_us;
}

bool
membership_list_fresh(const struct membership *m)
{
	int64_t late = m->interval_us * 2 + 2 * m->opts.refresh_us;

	return m->list_us != 0 && clock_now(m->opts.clock) - m->list_us < late;
}

uint64_t
membership_list_digest(const struct membership *m)
{
	return m->digest;
}

void
membership_on_list_change(
    struct membership *m, void (*changed)(void *), void *ctx)
{
	m->list_changed = changed;
	m->list_changed_ctx = ctx;
}

void
membership_list_copy(const struct membership *m, struct vm_list *list)
{
	const struct peer_impl *p;
	struct vm_info *vms;

	vms = calloc(HASH_COUNT(m->by_id) + 1, sizeof(*vms));
	if (vms == NULL)
		abort();
	memset(list, 0, sizeof(*list));
	if (m->self.id[0] != '\0')
		vms[list->count++] = m->self;
	TAILQ_FOREACH(p, &m->peers, link) {
		if (p->pub.listed)
			vms[list->count++] = p->pub.vm;
	}
	list->vms = vms;
}

void
membership_set_leaving(struct membership *m, struct peer *peer)
{
	peer->leaving = true;
}
