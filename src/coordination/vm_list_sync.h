/*
 * vm_list_sync -- passes the platform's VM list between daemons.
 *
 * Each daemon reads the list as often as its limit on bytes allows, with
 * jitter.  The first to read a change announces it on every open connection; a
 * peer with an older list pulls the new one and announces it in turn.  An
 * announcement of a list that is known or older is not passed on.
 */
#ifndef COORDINATION_VM_LIST_SYNC_H
#define COORDINATION_VM_LIST_SYNC_H

#include <stdint.h>

struct clock;
struct membership;
struct metrics;
struct rpc;
struct rpc_call;
struct rpc_conn;
struct tm_list_update;
struct vm_list_sync;

struct vm_list_sync_options {
	const struct clock *clock;
	struct metrics *metrics;
	struct rpc *rpc;
	struct membership *membership;
};

struct vm_list_sync *vm_list_sync_create(const struct vm_list_sync_options *);
void vm_list_sync_destroy(struct vm_list_sync *);

/* Handler of TM_LIST_UPDATE, an announcement: pulls the list if it is newer. */
void vm_list_sync_handle_announcement(
    struct vm_list_sync *, struct rpc_conn *, const struct tm_list_update *);
/* Handler of TM_LIST_PULL: replies with this daemon's list. */
void vm_list_sync_handle_pull(struct vm_list_sync *, struct rpc_call *);

#endif
