#include "gateway/peer_conns.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/deployment_sync.h"
#include "coordination/keyed_feed.h"
#include "gateway/backends.h"
#include "gateway/gateway_internal.h"
#include "gateway/replica_records.h"
#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

#define SEEDS_MAX 8 /* further ones are ignored */
#define MAX_RECORD_BYTES (8 * 1024 * 1024)
#define MAX_OUTPUT_BYTES (32 * 1024 * 1024)
#define STALL_US (2 * USEC_PER_SEC) /* a peer that does not read */
#define PEER_TIMEOUT_US (3 * USEC_PER_SEC) /* a peer that does not answer */
#define ASK_TIMEOUT_US (1 * USEC_PER_SEC)
/* A store that is up answers within some hundred milliseconds of a start. */
#define STORE_LOST_MIN_US (500 * USEC_PER_MSEC)
/*
 * Between requests, without and with a deployment and replicas.  The latter is
 * the default of drain_within_ms: a draining replica gets no more work then.
 */
#define ASK_PAUSE_START_US (200 * USEC_PER_MSEC)
#define ASK_PAUSE_US (2 * USEC_PER_SEC)

struct peer_conns {
	struct gateway *gateway;
	struct rpc *rpc;
	char *seeds[SEEDS_MAX];
	unsigned seed_count;
	unsigned next_seed; /* index modulo seed_count */
	struct rpc_conn *conn; /* to a seed; NULL: none */
	bool connected;
	bool asking;
	int64_t asked_us;
	int64_t store_lost_us; /* since when; 0: the store can be read */
	/* One of this file, those of deployment_sync, and the terminator. */
	struct rpc_handler handlers[1 + DEPLOYMENT_SYNC_HANDLERS + 1];
};

/* ---- answering other gateways ---- */

static void
on_replicas_ask(void *ctx, struct rpc_call *call, void *args)
{
	struct peer_conns *pc = ctx;
	const struct tm_roster_ask *ask = args;
	struct tm_roster_reply reply = {
		.current =
		    keyed_feed_contact_since(pc->gateway->replica_feed) != -1,
	};

	/* Outdated entries are of use only to a gateway that has none. */
	if (reply.current || !ask->have)
		replica_records_fill_reply(
		    pc->gateway->replica_records, &reply);
	rpc_call_reply(call, &reply);
	free(reply.entries.entries_val);
}

/* ---- asking a seed ---- */

static void
apply_replicas(struct peer_conns *pc, const struct tm_roster_reply *reply)
{
	struct gateway *g = pc->gateway;
	struct fleet_record record;

	log_info(g->process.logger, "replicas received from a peer",
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
		(void)backends_record(g->backends, &record);
	}
}

static void
on_replicas_reply(void *ctx, enum rpc_status status, void *arg)
{
	struct peer_conns *pc = ctx;
	const struct tm_roster_reply *reply = arg;

	pc->asking = false;
	if (status != RPC_OK) {
		if (pc->conn != NULL)
			rpc_conn_close(pc->conn);
		return;
	}
	/* The store may have become reachable meanwhile. */
	if (keyed_feed_contact_since(pc->gateway->replica_feed) == -1 &&
	    reply->entries.entries_len > 0)
		apply_replicas(pc, reply);
}

static void
ask_for_replicas(struct peer_conns *pc)
{
	struct tm_roster_ask args = {
		.have = backends_count(pc->gateway->backends) > 0,
	};

	pc->asking = true;
	rpc_conn_call(pc->conn, TM_ROSTER, (xdrproc_t)xdr_tm_roster_ask, &args,
	    (xdrproc_t)xdr_tm_roster_reply, sizeof(struct tm_roster_reply),
	    ASK_TIMEOUT_US, on_replicas_reply, pc);
}

static void
on_opened(void *ctx, struct rpc_conn *conn, bool ok)
{
	struct peer_conns *pc = ctx;

	pc->connected = ok;
	if (ok)
		ask_for_replicas(pc);
	else
		pc->conn = NULL;
}

static void
connect_next_seed(struct peer_conns *pc)
{
	const char *seed = pc->seeds[pc->next_seed++ % pc->seed_count];

	pc->connected = false;
	pc->conn = rpc_connect(pc->rpc, seed, on_opened, pc);
}

void
peer_conns_tick(struct peer_conns *pc)
{
	struct gateway *g = pc->gateway;
	int64_t now = clock_now(g->process.clock);
	bool starting =
	    g->deployment == NULL || backends_count(g->backends) == 0;

	if (keyed_feed_contact_since(g->replica_feed) != -1) {
		pc->store_lost_us = 0;
		if (pc->conn != NULL && pc->connected && !pc->asking)
			rpc_conn_close(pc->conn);
		return;
	}
	if (pc->store_lost_us == 0)
		pc->store_lost_us = now;
	if (pc->seed_count == 0 || pc->asking ||
	    (!starting && now - pc->store_lost_us < STORE_LOST_MIN_US) ||
	    now - pc->asked_us < (starting ? ASK_PAUSE_START_US : ASK_PAUSE_US))
		return;
	pc->asked_us = now;
	if (pc->conn == NULL)
		connect_next_seed(pc);
	else if (pc->connected)
		ask_for_replicas(pc);
}

/* ---- RPC ---- */

static void
fill_versions(void *ctx, struct rpc_versions *v)
{
	struct peer_conns *pc = ctx;

	deployment_sync_fill_versions(pc->gateway->deployment_sync, v);
}

static void
on_versions(void *ctx, struct rpc_conn *conn, const struct rpc_versions *v)
{
	struct peer_conns *pc = ctx;

	deployment_sync_on_peer_versions(pc->gateway->deployment_sync, conn, v);
}

static void
on_closed(void *ctx, struct rpc_conn *conn)
{
	struct peer_conns *pc = ctx;

	deployment_sync_conn_closed(pc->gateway->deployment_sync, conn);
	if (conn == pc->conn) {
		pc->conn = NULL;
		pc->connected = false;
	}
}

static void
set_handlers(struct peer_conns *pc)
{
	struct deployment_sync *sync = pc->gateway->deployment_sync;

	pc->handlers[0] = (struct rpc_handler){ TM_ROSTER,
		(xdrproc_t)xdr_tm_roster_ask, sizeof(struct tm_roster_ask),
		(xdrproc_t)xdr_tm_roster_reply, on_replicas_ask, NULL };
	deployment_sync_handlers(sync, &pc->handlers[1]);
}

/* Leaves out this gateway's own address; the first seed asked is random. */
static void
parse_seeds(struct peer_conns *pc)
{
	const struct gateway_settings *s = &pc->gateway->settings;
	char *list = strdup(s->seeds), *rest = list, *seed;

	if (list == NULL)
		abort();
	while ((seed = strsep(&rest, ", ")) != NULL) {
		if (seed[0] == '\0' || strcmp(seed, s->peer_listen) == 0 ||
		    pc->seed_count == SEEDS_MAX)
			continue;
		pc->seeds[pc->seed_count] = strdup(seed);
		if (pc->seeds[pc->seed_count++] == NULL)
			abort();
	}
	free(list);
	if (pc->seed_count > 0)
		pc->next_seed =
		    (unsigned)rng_below(&pc->gateway->rng, pc->seed_count);
}

struct peer_conns *
peer_conns_create(struct gateway *g)
{
	struct peer_conns *pc = calloc(1, sizeof(*pc));
	struct rpc_options opts = {
		.base = g->process.base,
		.logger = g->process.logger,
		.metrics = g->process.metrics,
		.program = TM_PROG,
		.version = TM_V1,
		.max_record = MAX_RECORD_BYTES,
		.max_output = MAX_OUTPUT_BYTES,
		.stall_us = STALL_US,
		.peer_timeout_us = PEER_TIMEOUT_US,
		.fill_versions = fill_versions,
		.on_versions = on_versions,
		.on_closed = on_closed,
	};

	if (pc == NULL)
		return NULL;
	pc->gateway = g;
	set_handlers(pc);
	parse_seeds(pc);
	opts.handlers = pc->handlers;
	opts.ctx = pc;
	pc->rpc = rpc_create(&opts);
	if (pc->rpc == NULL ||
	    (g->settings.peer_listen[0] != '\0' &&
		rpc_listen(pc->rpc, g->settings.peer_listen) == -1)) {
		peer_conns_destroy(pc);
		return NULL;
	}
	return pc;
}

void
peer_conns_destroy(struct peer_conns *pc)
{
	if (pc == NULL)
		return;
	if (pc->rpc != NULL)
		rpc_destroy(pc->rpc);
	for (unsigned i = 0; i < pc->seed_count; i++)
		free(pc->seeds[i]);
	free(pc);
}
