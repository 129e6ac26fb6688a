/*
 * membership -- the VMs that this daemon knows, and its connections to them.
 *
 * The platform's list gives candidates and lags; what a peer says itself and
 * whether calls reach it decides.
 *
 * The list is read no more often than its size allows; whoever sees it changed
 * tells its peers, which then take it from there (vm_list_sync.h).
 */
#ifndef COORDINATION_MEMBERSHIP_H
#define COORDINATION_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/tm_xdr.h"
#include "transport/platform_vms.h"

struct clock;
struct event_base;
struct logger;
struct membership;
struct metrics;
struct rpc;
struct rpc_conn;

/* Expected service of one model at a peer, from its last load report. */
struct peer_model {
	char model[VM_TEXT_MAX];
	enum tm_replica_state state;
	int64_t load_us;
	uint32_t queued_tokens;
};

struct peer {
	struct vm_info vm;
	struct rpc_conn *conn; /* NULL while down or connecting */
	uint64_t incarnation; /* 0 until hello is answered */
	bool listed; /* in the newest list */
	bool leaving; /* by the list or by its own word */
	int64_t unlisted_us; /* when it went from the list; 0 if listed */
	/* Last load report. */
	uint64_t report_sequence;
	int64_t report_us; /* when it came; 0: never */
	uint32_t queued;
	uint32_t running;
	uint32_t queued_tokens;
	uint32_t tokens_per_sec;
	uint64_t memory_total;
	uint64_t memory_used;
	int64_t models_us; /* when the models were reported */
	struct peer_model *models;
	size_t model_count;
	void *user_data; /* cell for the daemon's own notes */
};

struct membership_options {
	struct event_base *base;
	const struct clock *clock;
	struct logger *logger;
	struct metrics *metrics;
	struct rpc *rpc;
	const struct vm_list_client *vms;
	const char *self; /* VM id of this daemon */
	const char *zone;
	enum tm_role role;
	uint64_t incarnation;
	int64_t refresh_us;
	int64_t list_bytes_per_sec; /* bound on reading the list */
	int64_t reconnect_us;
	/* Whether this daemon should hold a connection to the VM. */
	bool (*should_connect)(void *ctx, const struct vm_info *);
	/* Whether an unwanted connection still carries work; may be NULL. */
	bool (*busy)(void *ctx, const struct peer *);
	void (*peer_up)(void *ctx, struct peer *);
	void (*peer_down)(void *ctx, struct peer *);
	/* Runs before a peer is forgotten. */
	void (*peer_removed)(void *ctx, struct peer *);
	void *ctx;
};

struct membership *membership_create(const struct membership_options *);
void membership_destroy(struct membership *);

struct peer *membership_find(struct membership *, const char *vm);
struct peer *membership_next(struct membership *, struct peer *);
struct peer *membership_by_conn(struct membership *, struct rpc_conn *);

/* Whether the platform's list names this VM as leaving. */
bool membership_self_leaving(const struct membership *);
/* Time when the platform gave the newest list; 0 if there was none. */
int64_t membership_list_time(const struct membership *);
/* Whether the list has been read when it was due. */
bool membership_list_fresh(const struct membership *);
/* Names the content of the list, in any order. */
uint64_t membership_list_digest(const struct membership *);

/* Runs whenever the list's content has changed. */
void membership_on_list_change(
    struct membership *, void (*changed)(void *ctx), void *ctx);

/* Copies the list; free list->vms. */
void membership_list_copy(const struct membership *, struct vm_list *);
/* Takes over a list that the platform gave a peer at `as_of_us`. */
void membership_apply_list(
    struct membership *, const struct vm_list *, int64_t as_of_us);

/* Connects now to a peer that should_connect() has come to name. */
void membership_connect(struct membership *, struct peer *);

void membership_conn_closed(struct membership *, struct rpc_conn *);
/* Takes in a peer's load report; older ones are ignored. */
void membership_apply_report(
    struct membership *, struct peer *, const struct tm_load_report *);
void membership_set_leaving(struct membership *, struct peer *);

const struct peer_model *peer_model(const struct peer *, const char *model);

/* Expected time until the model is ready there; a load under way goes on. */
int64_t peer_model_wait_us(
    const struct peer *, const struct peer_model *, int64_t now_us);

#endif
