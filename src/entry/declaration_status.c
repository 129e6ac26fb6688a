#include "entry/declaration_status.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/clock.h"
#include "coordination/membership.h"
#include "coordination/store.h"
#include "entry/api_common.h"
#include "entry/entry.h"
#include "protocol/caller.h"
#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

#define REPLY_TIMEOUT_US USEC_PER_SEC /* of one daemon */

struct status_query {
	struct entry *entry;
	struct caller *caller; /* NULL: disconnected */
	json_t *doc; /* the declaration */
	json_t *behind; /* VM ids of daemons with an older version */
	enum decl_kind kind;
	uint64_t version; /* of the declaration */
	int daemons; /* known to this entry, itself included */
	int pending; /* calls, and 1 until all are made */
	int answered;
	int active; /* daemons at that version or a newer one */
};

static void
status_query_free(struct status_query *q)
{
	json_decref(q->doc);
	json_decref(q->behind);
	free(q);
}

static void
send_status(struct status_query *q)
{
	json_t *status = json_pack("{s:b,s:i,s:i,s:i,s:O}", "accepted", 1,
	    "in_force", q->active, "answered", q->answered, "daemons",
	    q->daemons, "behind", q->behind);

	if (q->kind == DECL_MODEL)
		json_object_set_new(status, "replicas",
		    api_model_status(q->entry,
			json_string_value(json_object_get(q->doc, "name"))));
	json_object_set_new(q->doc, "status", status);
	if (q->caller != NULL)
		caller_reply_json(q->caller, 200, json_incref(q->doc));
	status_query_free(q);
}

static void
on_status_reply(void *ctx, enum rpc_status rc, void *arg)
{
	struct status_query *q = ctx;
	const struct tm_status_reply *reply = arg;

	if (rc == RPC_OK) {
		q->answered++;
		if (reply->config >= q->version)
			q->active++;
		else
			json_array_append_new(
			    q->behind, json_string(reply->vm));
	}
	if (--q->pending == 0)
		send_status(q);
}

static void
on_disconnected(void *ctx)
{
	struct status_query *q = ctx;

	caller_abort(q->caller);
	q->caller = NULL;
}

static bool_t
xdr_nothing(XDR *xdrs, ...)
{
	return TRUE;
}

void
declaration_status_reply(struct entry *e, struct evhttp_request *req,
    const struct config_entry *entry, json_t *doc)
{
	struct status_query *q = calloc(1, sizeof(*q));
	struct peer *peer = NULL;

	if (q == NULL)
		abort();
	q->entry = e;
	q->doc = doc;
	q->behind = json_array();
	q->kind = entry->kind;
	q->version = entry->version;
	/* Counts this entry, where the declaration is active. */
	q->daemons = q->answered = q->active = 1;
	q->pending = 1;
	q->caller = caller_create(e->http, req,
	    (size_t)e->settings.caller_backlog, on_disconnected, q);
	while ((peer = membership_next(e->daemon->membership, peer)) != NULL) {
		q->daemons += strcmp(peer->vm.id, e->settings.daemon.vm) != 0;
		if (peer->conn == NULL)
			continue;
		q->pending++;
		rpc_conn_call(peer->conn, TM_STATUS, xdr_nothing, NULL,
		    (xdrproc_t)xdr_tm_status_reply,
		    sizeof(struct tm_status_reply), REPLY_TIMEOUT_US,
		    on_status_reply, q);
	}
	if (--q->pending == 0)
		send_status(q);
}
