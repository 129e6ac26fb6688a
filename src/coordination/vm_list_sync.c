#include "coordination/vm_list_sync.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/clock.h"
#include "common/metrics.h"
#include "coordination/membership.h"
#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

#define PULL_TIMEOUT_US (5 * USEC_PER_SEC)

struct vm_list_sync {
	struct vm_list_sync_options opts;
	struct rpc_conn *pulling; /* where a pull is pending; NULL: none */
	uint64_t *announcements_total;
	uint64_t *pulls_total;
};

void
vm_list_sync_destroy(struct vm_list_sync *s)
{
	free(s);
}

static uint64_t
list_age(const struct vm_list_sync *s)
{
	int64_t as_of = membership_list_time(s->opts.membership);

	return (uint64_t)(clock_now(s->opts.clock) - as_of);
}

/* Announces the list on all open connections. */
static void
on_list_changed(void *ctx)
{
	struct vm_list_sync *s = ctx;
	struct tm_list_update msg = {
		.digest = membership_list_digest(s->opts.membership),
		.age_us = list_age(s),
	};
	struct rpc_conn *conn = NULL;

	while ((conn = rpc_next_conn(s->opts.rpc, conn)) != NULL)
		(void)rpc_conn_send(
		    conn, TM_LIST_UPDATE, (xdrproc_t)xdr_tm_list_update, &msg);
}

struct vm_list_sync *
vm_list_sync_create(const struct vm_list_sync_options *opts)
{
	struct vm_list_sync *s = calloc(1, sizeof(*s));

	if (s == NULL)
		abort();
	s->opts = *opts;
	s->announcements_total =
	    metrics_counter(opts->metrics, "vm_list_news_total", "");
	s->pulls_total =
	    metrics_counter(opts->metrics, "vm_list_pulls_total", "");
	membership_on_list_change(opts->membership, on_list_changed, s);
	return s;
}

/* ---- pulling a list ---- */

static void
decode_vm(struct vm_info *to, const struct tm_vm *from)
{
	strlcpy(to->id, from->id, sizeof(to->id));
	strlcpy(to->zone, from->zone, sizeof(to->zone));
	strlcpy(to->address, from->address, sizeof(to->address));
	strlcpy(to->service, from->service, sizeof(to->service));
	to->role = (enum vm_role)from->role;
	to->leaving = from->leaving;
}

static void
on_pulled(void *ctx, enum rpc_status status, void *arg)
{
	struct vm_list_sync *s = ctx;
	const struct tm_list_reply *reply = arg;
	struct vm_list list = { 0 };
	struct vm_info *vms;

	s->pulling = NULL;
	if (status != RPC_OK)
		return; /* the list will be read from the platform */
	vms = calloc(reply->vms.vms_len + 1, sizeof(*vms));
	if (vms == NULL)
		abort();
	for (u_int i = 0; i < reply->vms.vms_len; i++)
		decode_vm(&vms[i], &reply->vms.vms_val[i]);
	list.vms = vms;
	list.count = reply->vms.vms_len;
	membership_apply_list(s->opts.membership, &list,
	    clock_now(s->opts.clock) - (int64_t)reply->age_us);
	free(vms);
}

void
vm_list_sync_handle_announcement(struct vm_list_sync *s, struct rpc_conn *conn,
    const struct tm_list_update *msg)
{
	int64_t as_of = clock_now(s->opts.clock) - (int64_t)msg->age_us;

	(*s->announcements_total)++;
	if (conn == NULL || s->pulling != NULL ||
	    msg->digest == membership_list_digest(s->opts.membership) ||
	    as_of <= membership_list_time(s->opts.membership))
		return;
	s->pulling = conn;
	(*s->pulls_total)++;
	rpc_conn_call(conn, TM_LIST_PULL, NULL, NULL,
	    (xdrproc_t)xdr_tm_list_reply, sizeof(struct tm_list_reply),
	    PULL_TIMEOUT_US, on_pulled, s);
}

/* ---- serving the list ---- */

static void
encode_vm(struct tm_vm *to, const struct vm_info *from)
{
	to->id = (char *)from->id;
	to->zone = (char *)from->zone;
	to->address = (char *)from->address;
	to->service = (char *)from->service;
	to->role = (tm_role)from->role;
	to->leaving = from->leaving;
}

void
vm_list_sync_handle_pull(struct vm_list_sync *s, struct rpc_call *call)
{
	struct tm_list_reply reply = {
		.digest = membership_list_digest(s->opts.membership),
		.age_us = list_age(s),
	};
	struct vm_list list;
	struct tm_vm *vms;

	membership_list_copy(s->opts.membership, &list);
	vms = calloc(list.count + 1, sizeof(*vms));
	if (vms == NULL)
		abort();
	for (size_t i = 0; i < list.count; i++)
		encode_vm(&vms[i], &list.vms[i]);
	reply.vms.vms_val = vms;
	reply.vms.vms_len = (u_int)list.count;
	rpc_call_reply(call, &reply);
	free(vms);
	free((void *)list.vms);
}
