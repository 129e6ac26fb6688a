/*
 * membership -- the peers of this daemon, and its connections to them.
 *
 * The platform's VM list names the candidates, but lags behind.  Whether a peer
 * is up is decided by its connection, and its state by its own load reports.
 *
 * The list is read at a rate that its size limits.  A daemon that reads a
 * changed list announces it to its peers, which pull it (vm_list_sync.h).
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

/* A model's state at a peer, from its last complete load report. */
struct peer_model {
	char model[VM_TEXT_MAX];
	enum tm_replica_state state;
	int64_t load_us; /* expected time until ready, as of the report */
	uint32_t queued_tokens;
};

struct peer {
	struct vm_info vm;
	struct rpc_conn *conn; /* NULL while down or connecting */
	uint64_t incarnation; /* 0 until hello is answered */
	bool listed; /* in the newest list */
	bool leaving; /* by the list, or reported by the peer */
	int64_t unlisted_us; /* when the list dropped it; 0 if listed */
	/* From the last load report, the models from the last complete one. */
	uint64_t report_sequence;
	int64_t report_us; /* when it arrived; 0: never */
	uint32_t queued; /* requests */
	uint32_t running; /* requests */
	uint32_t queued_tokens;
	uint32_t tokens_per_sec; /* rate of the backend server */
	uint64_t memory_total; /* bytes */
	uint64_t memory_used; /* bytes */
	int64_t models_us; /* when the models were reported */
	struct peer_model *models;
	size_t model_count;
	void *user_data; /* of the daemon that uses membership */
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
	int64_t refresh_us; /* minimum interval between list reads */
	int64_t list_bytes_per_sec; /* limit on reading the list */
	int64_t reconnect_us; /* pause before connecting again */
	/* Whether this daemon should hold a connection to the VM. */
	bool (*should_connect)(void *ctx, const struct vm_info *);
	/* Whether an unneeded connection still carries work; may be NULL. */
	bool (*busy)(void *ctx, const struct peer *);
	void (*peer_up)(void *ctx, struct peer *);
	void (*peer_down)(void *ctx, struct peer *);
	/* Called before a peer is freed. */
	void (*peer_removed)(void *ctx, struct peer *);
	void *ctx;
};

/* Returns NULL if out of memory. */
struct membership *membership_create(const struct membership_options *);
void membership_destroy(struct membership *);

/* Returns NULL if the VM is not known. */
struct peer *membership_find(struct membership *, const char *vm);
/* Iterates over all peers: starts at NULL, and returns NULL at the end. */
struct peer *membership_next(struct membership *, struct peer *);
/* The peer at the other end of a connection, or NULL. */
struct peer *membership_by_conn(struct membership *, struct rpc_conn *);

/* Whether the list shows this VM as leaving. */
bool membership_self_leaving(const struct membership *);
/* When the newest list was requested from the platform; 0: none yet. */
int64_t membership_list_time(const struct membership *);
/* Whether the newest list is at most about two read intervals old. */
bool membership_list_fresh(const struct membership *);
/* Digest of the list's content, independent of its order. */
uint64_t membership_list_digest(const struct membership *);

/* Sets the callback that runs after each change of the list's content. */
void membership_on_list_change(
    struct membership *, void (*changed)(void *ctx), void *ctx);

/* Copies the list; the caller frees list->vms. */
void membership_list_copy(const struct membership *, struct vm_list *);
/* Applies a list that was requested from the platform at as_of_us, if newer. */
void membership_apply_list(
    struct membership *, const struct vm_list *, int64_t as_of_us);

/* Connects now to a peer for which should_connect() has become true. */
void membership_connect(struct membership *, struct peer *);

/* Call when a connection has been closed. */
void membership_conn_closed(struct membership *, struct rpc_conn *);
/* Applies a peer's load report; one that is not newer is ignored. */
void membership_apply_report(
    struct membership *, struct peer *, const struct tm_load_report *);
/* Call when a peer has announced that it takes no new work. */
void membership_set_leaving(struct membership *, struct peer *);

/* Returns NULL if the peer did not report the model. */
const struct peer_model *peer_model(const struct peer *, const char *model);

/*
 * Expected time until the model is ready; that of a load in progress is reduced
 * by the time since the report.
 */
int64_t peer_model_wait_us(
    const struct peer *, const struct peer_model *, int64_t now_us);

#endif
