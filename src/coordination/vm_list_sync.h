/*
 * vm_list_sync -- the list of VMs among daemons.
 *
 * Each daemon reads the platform's list as often as its bound on bytes allows,
 * at a time of its own.  The first to see a change tells every open connection;
 * whoever holds an older list takes the new one from there and tells on.  News
 * of a list that is known, or older, ends there.
 */
#ifndef COORDINATION_VM_LIST_SYNC_H
#define COORDINATION_VM_LIST_SYNC_H

#include <stdint.h>

struct clock;
struct vm_list_sync;
struct membership;
struct metrics;
struct rpc;
struct rpc_call;
struct rpc_conn;
struct tm_list_news;

struct vm_list_sync_options {
	const struct clock *clock;
	struct metrics *metrics;
	struct rpc *rpc;
	struct membership *membership;
};

struct vm_list_sync *vm_list_sync_create(const struct vm_list_sync_options *);
void vm_list_sync_destroy(struct vm_list_sync *);

/* Handlers of TM_LIST_NEWS and TM_LIST_PULL. */
void vm_list_sync_announced(
    struct vm_list_sync *, struct rpc_conn *, const struct tm_list_news *);
void vm_list_sync_pull(struct vm_list_sync *, struct rpc_call *);

#endif
