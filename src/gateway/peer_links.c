#include "gateway/peer_links.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/deployment_share.h"
#include "coordination/keyed_feed.h"
#include "gateway/backends.h"
#include "gateway/gateway_internal.h"
#include "gateway/roster.h"
#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

#define SEEDS_MAX 8
#define MAX_RECORD (8 * 1024 * 1024) /* bytes */
#define MAX_OUTPUT (32 * 1024 * 1024) /* bytes */
#define STALL_US (2 * USEC_PER_SEC)
#define DEAD_PEER_US (3 * USEC_PER_SEC)
#define ASK_TIMEOUT_US (1 * USEC_PER_SEC)
/* A store that answers does so within some hundred milliseconds of a start. */
#define AWAY_US (500 * USEC_PER_MSEC)
#define ASK_NEW_US (200 * USEC_PER_MSEC) /* between asks of one that is new */
#define ASK_AGAIN_US (2 * USEC_PER_SEC) /* as long as a drain may take */

struct peer_links {
	struct gateway *gateway;
	struct rpc *rpc;
	char *seeds[SEEDS_MAX];
	unsigned seed_count;
	unsigned next; /* seed to ask */
	struct rpc_conn *conn; /* to a seed; NULL: none */
	bool open;
	bool asking;
	int64_t asked_us;
	int64_t away_since_us; /* 0: the store can be read */
	struct rpc_handler handlers[4];
};

/* ---- answering ---- */

static void
on_roster(void *ctx, struct rpc_call *call, void *args)
{
	struct peer_links *l = ctx;
	const struct tm_roster_ask *ask = args;
	struct tm_roster_reply reply = {
		.current =
		    keyed_feed_contact_since(l->gateway->replica_feed) != -1,
	};

	/* What is no newer than the asker's own list is not worth the bytes. */
	if (reply.current || !ask->have)
		roster_fill(l->gateway->roster, &reply);
	rpc_call_reply(call, &reply);
	free(reply.entries.entries_val);
}

/* ---- asking ---- */

static void
take_roster(struct peer_links *l, const struct tm_roster_reply *reply)
{
	struct gateway *g = l->gateway;
	struct fleet_record record;

	log_info(g->process.logger, "replicas told by a peer",
	    LF_I("entries", reply->entries.entries_len),
	    LF_I("current", reply->current));
	if (reply->current)
		backends_snapshot_begin(g->backends);
	for (u_int i = 0; i < reply->entries.entries_len; i++) {
		const struct tm_roster_entry *e =
		    &reply->entries.entries_val[i];

		memset(&record, 0, sizeof(record));
		record.key = e->key;
		record.key_len = strlen(e->key);
		record.value = (unsigned char *)e->value.value_val;
		record.len = e->value.value_len;
		backends_record(g->backends, &record);
	}
}

static void
on_answer(void *ctx, enum rpc_status status, void *arg)
{
	struct peer_links *l = ctx;
	const struct tm_roster_reply *reply = arg;

	l->asking = false;
	if (status != RPC_OK) {
		if (l->conn != NULL)
			rpc_conn_close(l->conn);
		return;
	}
	/* The store may have come back first. */
	if (keyed_feed_contact_since(l->gateway->replica_feed) == -1 &&
	    reply->entries.entries_len > 0)
		take_roster(l, reply);
}

static void
ask(struct peer_links *l)
{
	struct tm_roster_ask args = {
		.have = backends_count(l->gateway->backends) > 0,
	};

	l->asking = true;
	rpc_conn_call(l->conn, TM_ROSTER, (xdrproc_t)xdr_tm_roster_ask, &args,
	    (xdrproc_t)xdr_tm_roster_reply, sizeof(struct tm_roster_reply),
	    ASK_TIMEOUT_US, on_answer, l);
}

static void
on_opened(void *ctx, struct rpc_conn *conn, bool ok)
{
	struct peer_links *l = ctx;

	l->open = ok;
	if (ok)
		ask(l);
	else
		l->conn = NULL;
}

static void
connect_next(struct peer_links *l)
{
	const char *seed = l->seeds[l->next++ % l->seed_count];

	l->open = false;
	l->conn = rpc_connect(l->rpc, seed, on_opened, l);
}

void
peer_links_tick(struct peer_links *l)
{
	struct gateway *g = l->gateway;
	int64_t now = clock_now(g->process.clock);
	bool is_new = g->deployment == NULL || backends_count(g->backends) == 0;

	if (keyed_feed_contact_since(g->replica_feed) != -1) {
		l->away_since_us = 0;
		if (l->conn != NULL && l->open && !l->asking)
			rpc_conn_close(l->conn);
		return;
	}
	if (l->away_since_us == 0)
		l->away_since_us = now;
	if (l->seed_count == 0 || l->asking ||
	    (!is_new && now - l->away_since_us < AWAY_US) ||
	    now - l->asked_us < (is_new ? ASK_NEW_US : ASK_AGAIN_US))
		return;
	l->asked_us = now;
	if (l->conn == NULL)
		connect_next(l);
	else if (l->open)
		ask(l);
}

/* ---- life ---- */

static void
fill_versions(void *ctx, struct rpc_versions *v)
{
	struct peer_links *l = ctx;

	deployment_share_fill(l->gateway->share, v);
}

static void
seen_versions(void *ctx, struct rpc_conn *conn, const struct rpc_versions *v)
{
	struct peer_links *l = ctx;

	deployment_share_seen(l->gateway->share, conn, v);
}

static void
on_closed(void *ctx, struct rpc_conn *conn)
{
	struct peer_links *l = ctx;

	deployment_share_closed(l->gateway->share, conn);
	if (conn == l->conn) {
		l->conn = NULL;
		l->open = false;
	}
}

static void
fill_handlers(struct peer_links *l)
{
	struct deployment_share *share = l->gateway->share;

	l->handlers[0] = (struct rpc_handler){ TM_ROSTER,
		(xdrproc_t)xdr_tm_roster_ask, sizeof(struct tm_roster_ask),
		(xdrproc_t)xdr_tm_roster_reply, on_roster, NULL };
	l->handlers[1] = (struct rpc_handler){ TM_DEPLOYMENT,
		(xdrproc_t)xdr_tm_deployment_doc,
		sizeof(struct tm_deployment_doc), NULL, deployment_share_on_doc,
		share };
	l->handlers[2] = (struct rpc_handler){ TM_DEPLOYMENT_ASK,
		(xdrproc_t)xdr_tm_deployment_ask,
		sizeof(struct tm_deployment_ask), NULL, deployment_share_on_ask,
		share };
}

/* The seeds but this gateway itself, from a random one on. */
static void
read_seeds(struct peer_links *l)
{
	const struct gateway_settings *s = &l->gateway->settings;
	char *list = strdup(s->seeds), *rest = list, *seed;

	if (list == NULL)
		abort();
	while ((seed = strsep(&rest, ", ")) != NULL) {
		if (seed[0] == '\0' || strcmp(seed, s->peer_listen) == 0 ||
		    l->seed_count == SEEDS_MAX)
			continue;
		l->seeds[l->seed_count] = strdup(seed);
		if (l->seeds[l->seed_count++] == NULL)
			abort();
	}
	free(list);
	if (l->seed_count > 0)
		l->next = (unsigned)rng_below(&l->gateway->rng, l->seed_count);
}

struct peer_links *
peer_links_create(struct gateway *g)
{
	struct peer_links *l = calloc(1, sizeof(*l));
	struct rpc_options opts = {
		.base = g->process.base,
		.logger = g->process.logger,
		.metrics = g->process.metrics,
		.program = TM_PROG,
		.version = TM_V1,
		.max_record = MAX_RECORD,
		.max_output = MAX_OUTPUT,
		.stall_us = STALL_US,
		.dead_peer_us = DEAD_PEER_US,
		.fill_versions = fill_versions,
		.seen_versions = seen_versions,
		.closed = on_closed,
	};

	if (l == NULL)
		return NULL;
	l->gateway = g;
	fill_handlers(l);
	read_seeds(l);
	opts.handlers = l->handlers;
	opts.ctx = l;
	l->rpc = rpc_create(&opts);
	if (l->rpc == NULL ||
	    (g->settings.peer_listen[0] != '\0' &&
		rpc_listen(l->rpc, g->settings.peer_listen) == -1)) {
		peer_links_destroy(l);
		return NULL;
	}
	return l;
}

void
peer_links_destroy(struct peer_links *l)
{
	if (l == NULL)
		return;
	if (l->rpc != NULL)
		rpc_destroy(l->rpc);
	for (unsigned i = 0; i < l->seed_count; i++)
		free(l->seeds[i]);
	free(l);
}
