/*
 * backends -- the table of replicas that the gateway can send requests to.
 *
 * Entries come from the platform's store, or from another gateway while the
 * store is unreachable.  While a replica's sidecar is connected, its reports,
 * which are newer than the store's entry, state the replica's holdings: the
 * loaded models, and the models with a local copy.  A replica that is removed
 * from the list gets no more requests; its struct backend is freed once its
 * last request has ended.
 */
#ifndef GATEWAY_BACKENDS_H
#define GATEWAY_BACKENDS_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "coordination/outlier.h"
#include "coordination/quiet.h"
#include "coordination/rate_limit.h"
#include "coordination/replica_speed.h"
#include "protocol/fleet.h"

struct backends;
struct model_spec;
struct gateway;
struct http_client;
struct rpc_conn;
struct sidecar_check;

/* Requests of this gateway for one model and adapter on one replica. */
struct backend_use {
	char model[FLEET_NAME_MAX];
	char adapter[FLEET_NAME_MAX];
	unsigned started; /* since the last message to the sidecar */
	unsigned in_flight;
	bool sent; /* the sidecar has these counts */
	SLIST_ENTRY(backend_use) link;
};

/* Time of a model's prompts there over that at the default rate. */
struct backend_factor {
	char model[FLEET_NAME_MAX];
	double factor;
};

/* The limit that a replica names, see limits.h. */
struct backend_limit {
	double per_s; /* requests, of all gateways; 0: none */
	int64_t seen_us; /* when the answer came that named it, or none */
	/* When a request may be sent next, as the meter said last. */
	int64_t next_us;
	/* While the meter does not answer: */
	int64_t meter_failed_us; /* since when */
	struct rate_share share; /* this gateway's turns */
	int64_t turn_us; /* when the next one begins */
};

/* Times are of the process's clock. */
struct backend {
	struct replica_entry entry; /* its state: from the sidecar or store */
	struct http_client *http;
	bool listed; /* false: removed, freed after its last request */
	bool superseded; /* another incarnation runs at its address */
	int64_t listed_us;
	/* When it is removed unless its entry returns; 0: it has an entry. */
	int64_t expires_us;
	unsigned in_flight; /* requests of this gateway */
	/* To prefill for this gateway's requests without a first event yet. */
	uint64_t pending_tokens;
	struct outlier outlier;
	int64_t failed_us; /* last answer lost, or connection failed */
	/* Moving average of the time to a complete answer; 0: none yet. */
	int64_t avg_answer_us;
	struct replica_speed speed;
	struct backend_limit limit;
	struct quiet quiet;
	/* From the sidecar's TM_REPLICA_HOLDS: */
	bool holdings_known; /* entry.state's models and copies are from it */
	/* The loaded models may differ from entry.state until then. */
	int64_t uncertain_until_us;
	/* From the sidecar's TM_REPLICA_LOAD: */
	int64_t load_report_us;
	unsigned reported_requests; /* running and queued, of all gateways */
	unsigned own_in_flight_at_report; /* this gateway's in_flight then */
	int64_t kv_used; /* tokens */
	uint64_t gate_tokens; /* of prompts that wait for a prefill permit */
	double prefill_share; /* of its recent time, spent on prefill; 0 to 1 */
	/* From TM_PREFILL_FACTORS: */
	struct backend_factor factors[FLEET_MODELS_MAX];
	unsigned factor_count;
	/* From TM_REPLICA_HOLDS too: */
	char loading[FLEET_NAME_MAX]; /* model being loaded; "": none */
	bool loading_from_store; /* the weight store */
	int64_t loading_since_us;
	int64_t loading_until_us; /* predicted */
	double free_mb; /* of the memory for weights */
	int64_t victim_idle_us; /* at victim_report_us; -1: no victim */
	int64_t victim_report_us;
	/* The connection to the sidecar: */
	uint64_t host; /* hash of its host, not 0 */
	int64_t quota_failed_us; /* last request for quota without an answer */
	struct rpc_conn *conn;
	struct sidecar_check *check; /* under way; NULL: none */
	bool connecting;
	int64_t reconnect_us; /* earliest next attempt */
	/* Changes of the deployment, see deployment_source.h: */
	bool follow_sent; /* the sidecar knows whether it is followed */
	bool followed;
	bool reads_store; /* a followed sidecar, as it says */
	uint64_t spares_sent; /* hash of the last list, see spare_models.h */
	unsigned peak_sent; /* percent, of the last TM_REPLICA_SLOW; 0: none */
	SLIST_HEAD(, backend_use) uses;
	TAILQ_ENTRY(backend) link;
};

struct backends *backends_create(struct gateway *);
void backends_destroy(struct backends *);

/*
 * Callbacks of the feed of replica entries; ctx is the struct backends.  A
 * snapshot has a record for each entry: replicas without one since it began
 * expire after the expiry grace time.
 */
/* Returns whether the record names or removes a replica. */
bool backends_record(struct backends *, const struct fleet_record *);
void backends_snapshot_begin(void *ctx);

/*
 * Removes expired replicas, and frees removed ones without requests.  Call it
 * on every tick.
 */
void backends_tick(struct backends *);

/*
 * Divides the connections that each replica accepts among so many gateways (0:
 * the same number as before).  A gateway keeps at most its part open while
 * idle.
 */
void backends_divide_connections(struct backends *, unsigned gateways);

/* Number of loads from the weight store in progress, as sidecars report. */
unsigned backends_store_loads(const struct backends *);

/* The listed replica with this id; NULL: none. */
struct backend *backends_find(struct backends *, const char *id);

/* The backend after the given one; NULL starts and ends. */
struct backend *backends_next(struct backends *, struct backend *);
unsigned backends_count(const struct backends *);

/*
 * The replica takes no more requests; idle connections to it are closed.  It
 * stays so until another incarnation is listed.  from: who said so, for the
 * log.
 */
void backend_set_draining(
    struct backends *, struct backend *, int64_t gone_in_us, const char *from);

/*
 * Whether the answer certainly is this replica's own; another incarnation may
 * have made one with status 421.
 */
bool backend_made_answer(
    const struct backend *, int code, const struct answer_meta *);

/* Whether new requests may be sent to it. */
bool backend_takes_work(const struct backend *);

/*
 * Predicted time until the model, and the adapter unless "", can run there: 0
 * if they are loaded, SELECT_LOAD_NEVER if they cannot be.
 */
int64_t backend_load_us(const struct backend *, const struct model_spec *,
    const char *model, const char *adapter, int64_t now_us);

/* Time since the last use of the model that a load would evict; -1: none. */
int64_t backend_victim_idle_us(const struct backend *, int64_t now_us);

/* The factor of the model's prompts there; 0: not measured. */
double backend_prefill_factor(const struct backend *, const char *model);

bool backend_has_loaded(const struct backend *, const char *model);

/* Whether the model is loaded, being loaded, in host memory or on disk. */
bool backend_has_copy(const struct backend *, const char *model);

/* Whether the model fits without evicting another; false without a spec. */
bool backend_has_free_memory(const struct backend *, const struct model_spec *);

/*
 * The replica refused a request for a model that it was listed with: it is
 * treated as loading until the sidecar reports again, for a short time at most.
 */
void backend_mark_uncertain(struct backend *, int64_t now_us);

/* The use of the model and adapter, created if there is none yet. */
struct backend_use *backend_get_use(
    struct backend *, const char *model, const char *adapter);

#endif
