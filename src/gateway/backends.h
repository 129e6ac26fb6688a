/*
 * backends -- the replicas that the gateway knows, and what it knows of each.
 *
 * Entries come from the platform's store; what a replica holds comes fresher
 * from the sidecar beside it.  A replica that left takes no more work and is
 * forgotten once the last request on it has ended.
 */
#ifndef GATEWAY_BACKENDS_H
#define GATEWAY_BACKENDS_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "coordination/outlier.h"
#include "protocol/fleet.h"

struct backends;
struct model_spec;
struct gateway;
struct http_client;
struct rpc_conn;

/* Requests of this gateway for one model and adapter on one replica. */
struct backend_use {
	char model[FLEET_NAME_MAX];
	char adapter[FLEET_NAME_MAX];
	unsigned started; /* since the sidecar was told */
	unsigned in_flight;
	bool told; /* the sidecar knows these figures */
	SLIST_ENTRY(backend_use) link;
};

struct backend {
	struct replica_entry entry; /* state: the newest known */
	struct http_client *http;
	bool listed;
	bool superseded; /* another incarnation has its address */
	int64_t listed_us;
	int64_t lapse_at_us; /* deleted around an outage; 0: not */
	unsigned in_flight;
	uint64_t pending_tokens; /* of prompts sent and not yet read */
	struct outlier outlier;
	int64_t usual_us; /* moving average of the time to a whole answer */
	double slowdown; /* measured over predicted; moving average */
	/* By the sidecar: */
	bool has_report;
	int64_t doubt_until_us; /* what it holds is not known for sure */
	int64_t report_us;
	unsigned reported; /* running and queued at the report */
	unsigned own_at_report; /* of them, this gateway's */
	int64_t kv_used;
	uint64_t gate_tokens; /* of prompts that wait at the sidecar */
	double prefill_share; /* of the time, lately */
	char loading[FLEET_NAME_MAX];
	bool loading_from_store;
	int64_t loading_since_us;
	int64_t loading_until_us;
	double free_mb;
	int64_t victim_idle_us; /* of what a load evicts; -1: none; as told */
	int64_t victim_told_us;
	/* The connection to the sidecar: */
	struct rpc_conn *conn;
	bool connecting;
	int64_t reconnect_us;
	SLIST_HEAD(, backend_use) uses;
	TAILQ_ENTRY(backend) link;
};

struct backends *backends_create(struct gateway *);
void backends_destroy(struct backends *);

/*
 * Callbacks of the feed.  A replica without a record since the last beginning
 * of a reading of all keys lapses.
 */
void backends_record(void *ctx, const struct fleet_record *);
void backends_snapshot_begin(void *ctx);

/* Ends what lapsed, and frees what nobody uses. */
void backends_tick(struct backends *);

/*
 * Divides the connections that replicas take among so many gateways (0: as many
 * as before): each keeps its share of them at most while idle.
 */
void backends_share_connections(struct backends *, unsigned gateways);

/* Loads from the weight store that sidecars tell of. */
unsigned backends_store_loads(const struct backends *);

/* Iterates; NULL starts. */
struct backend *backends_next(struct backends *, struct backend *);
unsigned backends_count(const struct backends *);

/* Whether new work may go there. */
bool backend_takes_work(const struct backend *);

/* Time until the model, and the adapter if any, can run there. */
int64_t backend_load_us(const struct backend *, const struct model_spec *,
    const char *model, const char *adapter, int64_t now_us);

/* Idle time of what a load would evict; -1: nothing may be evicted. */
int64_t backend_victim_idle_us(const struct backend *, int64_t now_us);

/* Whether the model is loaded there. */
bool backend_holds(const struct backend *, const char *model);

/* Whether the model is loaded there, or in its memory or on its disk. */
bool backend_has_copy(const struct backend *, const char *model);

/* Whether the model fits there without evicting another. */
bool backend_has_room(const struct backend *, const struct model_spec *);

/* A replica refused what it should hold. */
void backend_doubt(struct backend *, int64_t now_us);

struct backend_use *backend_use(
    struct backend *, const char *model, const char *adapter);

#endif
