#include "entry/in_force.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/clock.h"
#include "coordination/membership.h"
#include "coordination/store.h"
#include "entry/api_common.h"
#include "protocol/caller.h"
#include "entry/entry.h"
#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

#define ANSWER_WAIT_US USEC_PER_SEC

struct inquiry {
	struct entry *entry;
	struct caller *caller; /* NULL once gone */
	json_t *doc;
	json_t *behind; /* daemons that answered with an older version */
	enum decl_kind kind;
	uint64_t version;
	int listed;
	int waiting;
	int answered;
	int in_force;
};

static void
inquiry_free(struct inquiry *q)
{
	json_decref(q->doc);
	json_decref(q->behind);
	free(q);
}

static void
finish(struct inquiry *q)
{
	json_t *status = json_pack("{s:b,s:i,s:i,s:i,s:O}", "accepted", 1,
	    "in_force", q->in_force, "answered", q->answered, "daemons",
	    q->listed, "behind", q->behind);

	if (q->kind == DECL_MODEL)
		json_object_set_new(status, "replicas",
		    api_model_status(q->entry,
			json_string_value(json_object_get(q->doc, "name"))));
	json_object_set_new(q->doc, "status", status);
	if (q->caller != NULL)
		caller_reply_json(q->caller, 200, json_incref(q->doc));
	inquiry_free(q);
}

static void
on_status(void *ctx, enum rpc_status rc, void *arg)
{
	struct inquiry *q = ctx;
	const struct tm_status_reply *reply = arg;

	if (rc == RPC_OK) {
		q->answered++;
		if (reply->config >= q->version)
			q->in_force++;
		else
			json_array_append_new(
			    q->behind, json_string(reply->vm));
	}
	if (--q->waiting == 0)
		finish(q);
}

static void
on_gone(void *ctx)
{
	struct inquiry *q = ctx;

	caller_abort(q->caller);
	q->caller = NULL;
}

static bool_t
xdr_nothing(XDR *xdrs, ...)
{
	return TRUE;
}

void
in_force_reply(struct entry *e, struct evhttp_request *req,
    const struct config_entry *entry, json_t *doc)
{
	struct inquiry *q = calloc(1, sizeof(*q));
	struct peer *peer = NULL;

	if (q == NULL)
		abort();
	q->entry = e;
	q->doc = doc;
	q->behind = json_array();
	q->kind = entry->kind;
	q->version = entry->version;
	/* This entry itself has it in force. */
	q->listed = q->answered = q->in_force = 1;
	q->waiting = 1;
	q->caller = caller_create(
	    e->http, req, (size_t)e->settings.caller_backlog, on_gone, q);
	while ((peer = membership_next(e->daemon->membership, peer)) != NULL) {
		q->listed += strcmp(peer->vm.id, e->settings.daemon.vm) != 0;
		if (peer->conn == NULL)
			continue;
		q->waiting++;
		rpc_conn_call(peer->conn, TM_STATUS, xdr_nothing, NULL,
		    (xdrproc_t)xdr_tm_status_reply,
		    sizeof(struct tm_status_reply), ANSWER_WAIT_US, on_status,
		    q);
	}
	if (--q->waiting == 0)
		finish(q);
}
