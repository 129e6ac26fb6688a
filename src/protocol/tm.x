/*
 * Messages between the daemons, and records in the streams of the log service.
 * Decoders refuse anything larger than the limits here.  Times are durations
 * unless a comment says otherwise; the suffix is the unit.
 */

/* Bytes; TM_LIST_MAX: entries. */
const TM_NAME_MAX = 128;
const TM_TEXT_MAX = 512;
const TM_BODY_MAX = 4194304;	/* request, or document of a declaration */
const TM_CHUNK_MAX = 262144;	/* part of an answer */
const TM_RECORD_MAX = 8388608;	/* record of the log service */
const TM_SNAPSHOT_CHUNK_MAX = 524288;
const TM_LIST_MAX = 65536;
const TM_ID_SIZE = 16;
const TM_CHANGES_MAX = 64;	/* of a deployment, in one transfer */
const TM_PART_MAX = 32768;	/* bytes of a transfer in one message */
const TM_ORDERS_MAX = 64;	/* of a sidecar, without an answer */

typedef opaque tm_id[TM_ID_SIZE];
typedef string tm_name<TM_NAME_MAX>;
typedef string tm_text<TM_TEXT_MAX>;

/* ---- log records: config ---- */

enum tm_change_op {
	TM_PUT = 1,
	TM_DELETE = 2
};

enum tm_expect {
	TM_EXPECT_ANY = 0,
	TM_EXPECT_ABSENT = 1,
	TM_EXPECT_VERSION = 2
};

struct tm_change {
	tm_change_op op;
	tm_name kind;
	tm_name name;
	tm_expect expect;
	/* TM_EXPECT_VERSION: the expected one; TM_EXPECT_ABSENT: the writer's. */
	unsigned hyper ver;
	string body<TM_BODY_MAX>;
};

/* The changes of a record are accepted or refused together. */
struct tm_config_change {
	tm_id id;
	tm_change changes<TM_LIST_MAX>;
};

struct tm_declaration {
	tm_name kind;
	tm_name name;
	unsigned hyper ver;
	string body<TM_BODY_MAX>;
};

/* A part of the encoded state before the record at offset `position`. */
struct tm_checkpoint_chunk {
	tm_id id;
	unsigned hyper position;
	unsigned int index;		/* of this chunk, from 0 */
	unsigned int count;		/* of all chunks */
	unsigned hyper digest;		/* XXH3 of the data of all chunks */
	opaque data<TM_SNAPSHOT_CHUNK_MAX>;
};

enum tm_config_type {
	TM_CONFIG_CHANGE = 1,
	TM_CONFIG_CHECKPOINT = 2
};

union tm_config_record switch (tm_config_type type) {
case TM_CONFIG_CHANGE:
	tm_config_change change;
case TM_CONFIG_CHECKPOINT:
	tm_checkpoint_chunk checkpoint;
};

struct tm_config_snapshot {
	unsigned hyper position;	/* next offset to read */
	unsigned hyper ver;		/* offset of the last accepted change */
	tm_declaration declarations<TM_LIST_MAX>;
	unsigned hyper last_delete;	/* offset of the newest deletion */
};

/* ---- log records: control ---- */

struct tm_lease_claim {
	tm_name holder;
	tm_name address;		/* RPC address of the holder */
	unsigned hyper replaces;	/* epoch that the claim ends; 0: none */
	unsigned int term_ms;
};

struct tm_decide {
	tm_name model;
	unsigned int replicas;
};

struct tm_assign {
	tm_name model;
	tm_name runner;
};

enum tm_control_type {
	TM_LEASE_CLAIM = 1,
	TM_LEASE_RENEW = 2,
	TM_LEASE_RESIGN = 3,
	TM_DECIDE = 4,
	TM_ASSIGN = 5,
	TM_RELEASE = 6,			/* orders the runner to unload */
	TM_RELEASED = 7,		/* confirmed, or the VM is removed */
	TM_CONTROL_CHECKPOINT = 8
};

union tm_control_body switch (tm_control_type type) {
case TM_LEASE_CLAIM:
	tm_lease_claim claim;
case TM_LEASE_RENEW:
	unsigned int term_ms;
case TM_LEASE_RESIGN:
	void;
case TM_DECIDE:
	tm_decide decide;
case TM_ASSIGN:
	tm_assign assign;
case TM_RELEASE:
	unsigned hyper release_slot;
case TM_RELEASED:
	unsigned hyper released_slot;
case TM_CONTROL_CHECKPOINT:
	tm_checkpoint_chunk checkpoint;
};

struct tm_control_record {
	tm_id id;
	unsigned int shard;
	unsigned hyper epoch;		/* of the writer's lease; 0 in a claim */
	/* Offset of the last accepted record of the same model or lease. */
	unsigned hyper expects;
	tm_control_body body;
};

enum tm_slot_state {
	TM_SLOT_ASSIGNED = 1,
	TM_SLOT_RELEASING = 2
};

struct tm_slot {
	unsigned hyper id;		/* offset of its TM_ASSIGN record */
	tm_name model;
	tm_name runner;
	tm_slot_state state;
};

struct tm_lease {
	unsigned int shard;
	unsigned hyper epoch;
	unsigned hyper ver;		/* offset of its last accepted record */
	tm_name holder;
	tm_name address;
	unsigned int term_ms;
};

struct tm_model_entry {
	tm_name model;
	unsigned int decided;
	unsigned hyper ver;
};

struct tm_control_snapshot {
	unsigned hyper position;
	unsigned hyper ver;
	tm_lease leases<TM_LIST_MAX>;
	tm_model_entry models<TM_LIST_MAX>;
	tm_slot slots<TM_LIST_MAX>;
};

/* ---- log records: crashes ---- */

enum tm_crash_type {
	TM_CRASH_LOST = 1,		/* a job was lost with its backend server */
	TM_CRASH_TRIED = 2,		/* an entry tries a barred job */
	TM_CRASH_ANSWERED = 3		/* a job that was lost is sound */
};

struct tm_crash_record {
	tm_crash_type type;
	unsigned hyper job;		/* hash of its content */
	/* LOST: the backend server's incarnation.  TRIED: the entry's. */
	unsigned hyper incarnation;
	bool begun;			/* LOST: the answer had begun */
	unsigned int trials;		/* TRIED: so far, this one counted */
};

/* ---- log records: claims.N ---- */

enum tm_claim_type {
	TM_CLAIM_TAKE = 1,
	TM_CLAIM_DONE = 2,
	TM_CLAIM_FREED = 3		/* the work did not run and never will */
};

struct tm_claim_record {
	tm_claim_type type;
	tm_name key;		/* of service, tenant and Idempotency-Key */
	tm_id request;
	unsigned hyper incarnation;	/* of the claiming agent */
	/* Of the request: a key reused for another request is refused. */
	unsigned hyper digest;
	int status;
	opaque answer<65536>;
	tm_name content_type;
	bool kept;			/* this record contains the answer */
};

struct tm_claim_batch {
	tm_id id;
	tm_claim_record records<TM_LIST_MAX>;
};

/* ---- calls between daemons ---- */

enum tm_role {
	TM_ROLE_ENTRY = 1,
	TM_ROLE_ENGINE = 2,
	TM_ROLE_SERVICE = 3
};

struct tm_hello_args {
	tm_name vm;
	tm_name zone;
	tm_role role;
	unsigned hyper incarnation;
	unsigned hyper connection;	/* higher for each the sender opens */
};

/* State of one model at an agent. */
struct tm_model_load {
	tm_name model;
	unsigned int state;		/* enum tm_replica_state */
	unsigned hyper load_us;		/* expected time until it is loaded */
	unsigned int queued_tokens;	/* of requests queued for the model */
};

enum tm_replica_state {
	TM_REPLICA_COLD = 0,
	TM_REPLICA_LOADING = 1,
	TM_REPLICA_LOADED = 2,
	TM_REPLICA_UNLOADING = 3
};

/* Load of an agent; sent alone, and with replies. */
struct tm_load_report {
	unsigned hyper incarnation;
	unsigned hyper sequence;	/* increases; older reports are ignored */
	bool leaving;
	unsigned int queued;		/* requests in the agent's queue */
	unsigned int running;		/* requests in the engine */
	unsigned int queued_tokens;
	unsigned int tokens_per_sec;	/* measured generation rate */
	unsigned hyper memory_total;	/* accelerator memory, bytes */
	unsigned hyper memory_used;
	bool whole;			/* includes the models */
	tm_model_load models<TM_LIST_MAX>;
};

struct tm_hello_reply {
	tm_name vm;
	unsigned hyper incarnation;
	tm_load_report load;
};

struct tm_dispatch_args {
	tm_id request;
	unsigned hyper incarnation;	/* of the intended agent; 0: any */
	tm_name target;			/* model or service */
	tm_name adapter;		/* empty: none */
	tm_name rank;
	tm_name tenant;
	bool repeatable;
	tm_name idempotency_key;	/* empty: none */
	unsigned hyper deadline_us;	/* time left when this is sent */
	unsigned int prompt_tokens;	/* estimate */
	unsigned int max_tokens;
	unsigned hyper prefix;		/* hash of the prompt's prefix */
	tm_name method;			/* services: HTTP method */
	string path<4096>;		/* services: path and query */
	tm_name content_type;
	opaque body<TM_BODY_MAX>;
};

/* The result of admission; the answer follows in chunks. */
struct tm_dispatch_reply {
	unsigned int code;		/* enum result */
	unsigned int retry_after_ms;
	tm_load_report load;
};

/* One-way, agent to entry. */
struct tm_chunk {
	tm_id request;
	unsigned int index;		/* from 0, without gaps */
	opaque data<TM_CHUNK_MAX>;
};

/* One-way, agent to entry: the answer is complete or has failed. */
struct tm_finish {
	tm_id request;
	unsigned int code;		/* enum result */
	unsigned int outcome;		/* enum outcome */
	unsigned int chunks;		/* number of chunks of the answer */
	int status;			/* services: HTTP status */
	tm_name content_type;
	unsigned int prompt_tokens;
	unsigned int tokens;
	unsigned int retry_after_ms;
	tm_load_report load;
};

/* One-way, entry to agent: the caller has disconnected. */
struct tm_cancel {
	tm_id request;
};

/* Requests the chunks from `from` on, over the connection of this call. */
struct tm_resume_args {
	tm_id request;
	unsigned hyper incarnation;
	unsigned int from;
};

enum tm_settle_state {
	TM_SETTLE_BARRED = 0,		/* not received; refused from now on */
	TM_SETTLE_RUNNING = 1,
	TM_SETTLE_DONE = 2,		/* the answer can be resumed */
	TM_SETTLE_NOT_RUN = 3,		/* received and refused */
	TM_SETTLE_UNKNOWN = 4		/* other incarnation, or expired */
};

/* Entry to agent: asks for the outcome of a dispatched request. */
struct tm_settle_args {
	tm_id request;
	unsigned hyper incarnation;
	unsigned hyper age_us;		/* upper bound, since the dispatch */
	bool withdraw;			/* no caller waits: cancel it first */
};

struct tm_settle_reply {
	tm_settle_state state;
	unsigned int code;
};

/* ---- state ---- */

enum tm_stream {
	TM_STREAM_CONFIG = 1,
	TM_STREAM_CONTROL = 2
};

/* Requests the state of a stream from a peer that has a newer version. */
struct tm_pull_args {
	tm_stream stream;
	unsigned hyper have;		/* version of the sender */
	unsigned hyper transfer;	/* id; 0 starts one */
	unsigned int index;		/* of the chunk */
	unsigned hyper position;	/* next offset of the sender */
};

struct tm_raw_record {
	unsigned hyper offset;
	opaque data<TM_RECORD_MAX>;
};

struct tm_pull_reply {
	unsigned hyper position;	/* 0: the peer's state is not newer */
	unsigned hyper transfer;
	unsigned int index;
	unsigned int count;
	unsigned hyper digest;
	opaque data<TM_SNAPSHOT_CHUNK_MAX>;
	/* Sent instead of chunks if the peer has all records requested. */
	tm_raw_record records<TM_LIST_MAX>;
};

/* Holder to agent: asks whether the memory of a slot has been released. */
struct tm_release_args {
	unsigned int shard;
	unsigned hyper epoch;
	unsigned hyper slot;
};

struct tm_release_reply {
	bool released;
};

/* Agent to holder: requests a permit to load from the weight store. */
struct tm_permit_args {
	tm_name runner;
	tm_name model;			/* or adapter */
	bool adapter;			/* model is the name of an adapter */
	tm_name rank;
	unsigned hyper wait_us;		/* time to the earliest deadline */
};

struct tm_permit_reply {
	bool holder;			/* false: it isn't; decide offline */
	bool granted;
	unsigned hyper permit;
	unsigned int retry_after_ms;
};

/* One-way, agent to holder: the load has ended. */
struct tm_permit_return {
	unsigned hyper permit;
};

/* Requests for one model since the last report. */
struct tm_demand {
	tm_name model;
	unsigned int requests;
	unsigned int tokens;
	unsigned int refused;		/* requests */
	unsigned hyper worst_wait_us;	/* longest wait of a request */
};

/* One-way, entry to holder. */
struct tm_demand_report {
	tm_name entry;
	unsigned hyper sequence;	/* increases */
	unsigned int interval_ms;
	tm_demand models<TM_LIST_MAX>;
};

/* One-way, to every open connection: the sender is draining. */
struct tm_leaving {
	tm_name vm;
	unsigned hyper incarnation;
};

struct tm_drain_args {
	tm_name vm;
};

struct tm_drain_reply {
	unsigned int code;		/* enum result */
};

struct tm_status_reply {
	tm_name vm;
	tm_name zone;
	tm_role role;
	unsigned hyper incarnation;
	unsigned hyper config;		/* versions of the sender's state */
	unsigned hyper control;
	tm_load_report load;
};

struct tm_trace_args {
	tm_name request;		/* hex */
};

struct tm_trace_event {
	hyper wall_us;			/* Unix time */
	tm_text event;
};

struct tm_trace_reply {
	tm_name vm;
	tm_trace_event events<1024>;
};

/* ---- the list of VMs ---- */

struct tm_vm {
	tm_name id;
	tm_name zone;
	tm_name address;
	tm_name service;
	tm_role role;
	bool leaving;
};

/* One-way, to every open connection: the sender's list has changed. */
struct tm_list_update {
	unsigned hyper digest;
	unsigned hyper age_us;		/* since the platform sent the list */
};

struct tm_list_reply {
	unsigned hyper digest;
	unsigned hyper age_us;
	tm_vm vms<TM_LIST_MAX>;
};

/* ---- gateways and sidecars ---- */

const TM_HELD_MAX = 16;
const TM_COPIES_MAX = 64;

struct tm_held_model {
	tm_name name;
	tm_name adapters<TM_HELD_MAX>;
};

/* One-way, sidecar to gateways: models and copies at the sidecar's replica. */
struct tm_replica_holds {
	unsigned hyper born_ms;		/* Unix time; 0: it does not answer */
	bool draining;
	hyper gone_in_us;		/* until its removal; -1: not announced */
	tm_held_model models<TM_HELD_MAX>;
	tm_name in_memory<TM_COPIES_MAX>;	/* models with a local copy */
	tm_name on_disk<TM_COPIES_MAX>;
	tm_name loading;		/* model; "": none */
	hyper loading_left_us;
	bool loading_from_store;
	/* Loads from the store that run at full speed at the same time. */
	unsigned int store_loads_limit;
	hyper limit_learned_us;		/* Unix time of the limit; 0: none */
	double free_mb;			/* of the replica's weight memory */
	hyper victim_idle_us;		/* of the model to evict; -1: none */
	unsigned int gateways;		/* connected to the sidecar */
};

/* One-way, sidecar to gateways. */
struct tm_replica_load {
	unsigned int queued;		/* requests */
	unsigned int active;		/* requests */
	hyper kv_used;			/* tokens */
	unsigned int reading_permille;	/* recent share of time in prefill */
	/* Of prompts that wait for a permit, times their models' factors. */
	unsigned hyper gate_tokens;
};

struct tm_prefill_factor {
	tm_name model;
	double factor;			/* of a prompt's time at the default rate */
};

/* One-way, sidecar to gateways: what it has measured.  Replaces the last list. */
struct tm_prefill_factors {
	tm_prefill_factor models<TM_LIST_MAX>;
};

/* Gateway to sidecar: requests a prefill permit for a long prompt. */
struct tm_read_args {
	unsigned hyper id;		/* unique on the connection */
	tm_name model;
	unsigned int tokens;
	hyper goal_left_us;		/* time to the goal; negative: late */
	unsigned hyper left_us;		/* time to the deadline */
};

struct tm_read_reply {
	bool granted;			/* false: it would be too late */
};

/* One-way: prefill is complete, or the request has ended. */
struct tm_read_done {
	unsigned hyper id;
};

/* One-way, gateway to sidecar: a load request, as requests wait for a model. */
struct tm_replica_want {
	tm_name model;
	tm_name adapter;		/* "": none */
	unsigned int rank;
	unsigned int waiting;		/* requests */
	unsigned hyper left_us;		/* until the load request expires */
	unsigned int store_loads;	/* running loads from the weight store */
	/* The latest limit that the gateway has received. */
	unsigned int store_loads_limit;
	hyper limit_learned_us;		/* Unix time of the limit; 0: none */
};

struct tm_model_use {
	tm_name model;
	tm_name adapter;		/* "": none */
	unsigned int started;		/* requests since the last message */
	unsigned int in_flight;		/* requests */
};

/* One-way, gateway to sidecar. */
struct tm_replica_use {
	tm_model_use uses<TM_LIST_MAX>;
};

/*
 * One-way, gateway to sidecar: models of its replica that another one has
 * loaded too, so that they can be evicted first.  Replaces the last list.
 */
struct tm_replica_spare {
	tm_name models<TM_HELD_MAX>;
};

/*
 * One-way, gateway to sidecar: the most that a replica of the service has lately
 * stated of its machine, in percent of the usual time of work.
 */
struct tm_replica_slow {
	unsigned int peak_percent;
};

/*
 * One-way, to a peer that announced a newer deployment: requests the whole of
 * it.  For peers that do not know TM_DEPLOYMENT_GET.
 */
struct tm_deployment_ask {
	unsigned hyper have;		/* version of the sender */
};

/* One-way: the answer to tm_deployment_ask. */
struct tm_deployment_doc {
	unsigned hyper ver;
	opaque doc<TM_BODY_MAX>;
};

/* A document of the deployment, as a difference to an earlier version's. */
struct tm_deployment_change {
	unsigned hyper base;		/* XXH3 of the earlier one; 0: none */
	unsigned hyper hash;		/* XXH3 of the document */
	unsigned hyper ver;
	unsigned hyper next;		/* offset after its record in the store */
	unsigned int size;		/* of the document, bytes */
	opaque data<TM_RECORD_MAX>;	/* Zstandard frame, the base its prefix */
};

/* Each but the first is based on the one before it. */
struct tm_deployment_changes {
	tm_deployment_change changes<TM_CHANGES_MAX>;
};

/* Requests a part of an encoded tm_deployment_changes. */
struct tm_deployment_get {
	unsigned hyper have;		/* version of the sender; 0: none */
	unsigned hyper base;		/* XXH3 of its document */
	unsigned hyper transfer;	/* id of the one to go on with; 0: none */
	unsigned int from;		/* bytes of it that have arrived */
	unsigned int max;		/* largest transfer wanted, bytes */
};

struct tm_deployment_part {
	unsigned hyper ver;		/* newest of the sender */
	unsigned hyper transfer;	/* XXH3 of the whole transfer */
	unsigned int total;		/* bytes of it; 0: none, or above max */
	unsigned int from;		/* of the data */
	opaque data<TM_PART_MAX>;
};

/*
 * One-way, gateway to sidecar: whether the gateway wants a report at once of each
 * new version.  A sidecar that has not been asked reports it with the next load
 * report, or soon after without one.
 */
struct tm_deployment_follow {
	bool follow;
};

/* One-way, to gateways that follow; the version is in the header. */
struct tm_deployment_state {
	bool current;			/* the sender reads the store */
};

/* Between gateways: requests the replica records of the platform's store. */
struct tm_roster_ask {
	bool have;			/* the sender has some records */
};

struct tm_roster_entry {
	tm_name key;
	opaque value<TM_BODY_MAX>;
};

struct tm_roster_reply {
	bool current;			/* the sender can read the store */
	tm_roster_entry entries<TM_LIST_MAX>;
};

/*
 * One-way, between gateway and sidecar: what an answer of a replica has said of
 * its limit.
 */
struct tm_limit {
	tm_name replica;		/* id */
	unsigned hyper born_ms;		/* start of its incarnation */
	double per_s;			/* requests, of all gateways; 0: none */
	hyper age_us;			/* since the answer came */
};

/* Gateway to the sidecar that meters a replica: places a request. */
struct tm_limit_take {
	tm_limit known;
	hyper ahead_us;			/* longest wait */
};

struct tm_limit_taken {
	bool granted;
	hyper wait_us;			/* until it, or the next, may be sent */
	tm_limit newest;
};

/*
 * One-way, between gateway and sidecar, which passes it on to the other
 * gateways: a request was lost with a replica, or a part that was lost is sound.
 * The fields are those of struct crash_loss.
 */
struct tm_crash {
	unsigned hyper part;
	unsigned hyper incarnation;
	unsigned hyper request;
	unsigned int position;
	bool begun;
	bool cleared;			/* only the part is set */
};

/*
 * One-way, agent to entry, before a TM_FINISH with BACKEND_ENDED: which end of
 * the backend server the job was lost with.
 */
struct tm_backend_end {
	tm_id request;
	unsigned hyper number;		/* of the ends since the agent started */
};

/*
 * One-way, between gateway and sidecar, which passes it on to the other
 * gateways: a replica has said in an answer that it leaves.
 */
struct tm_replica_leaves {
	tm_name replica;		/* id */
	unsigned hyper born_ms;		/* start of its incarnation */
};

/*
 * One-way, gateway to a sidecar that all gateways choose alike: how far it has
 * read the replicas' topic of the platform's store.  Sidecar to gateway: how far
 * another one has.
 */
struct tm_replicas_read {
	unsigned hyper next;		/* offset of the next record */
};

/*
 * Gateway to a sidecar that keeps a part of a client account's quota: takes the
 * amount for a request.
 */
struct tm_quota_take {
	tm_name account;
	unsigned hyper ver;		/* of the deployment with the quota */
	double limit;			/* of the sidecar within a window */
	unsigned hyper window_us;
	double amount;
};

struct tm_quota_taken {
	bool granted;
	hyper wait_us;			/* unless granted: until it could be */
};

/* One-way, gateway to sidecar: the request did not run. */
struct tm_quota_return {
	tm_name account;
	double amount;
};

/*
 * Record of the platform's store, by the VM of a sidecar: the orders that its
 * replica may still carry out, and the incarnation that it had identified.
 */
struct tm_order {
	tm_name replica;		/* id; empty: any, if unknown */
	unsigned hyper first;		/* unknown: the lowest count it expects */
	unsigned hyper expected;	/* count of orders; unknown: the highest */
	bool unknown;			/* nothing else is known */
	bool load;
	tm_name model;
	tm_name adapter;		/* empty: the model itself */
	double size_mb;
	unsigned int left_ms;		/* it does not arrive later */
};

struct tm_orders {
	unsigned hyper epoch;		/* of the writer, a later one's is higher */
	tm_name replica;		/* id */
	unsigned hyper born_ms;		/* start of its incarnation */
	/* Further orders to it expect counts from here to before the end. */
	unsigned hyper first;
	unsigned hyper end;
	bool ahead;			/* orders are recorded before they are sent */
	tm_order orders<TM_ORDERS_MAX>;
};

program TM_PROG {
	version TM_V1 {
		tm_hello_reply TM_HELLO(tm_hello_args) = 1;
		tm_dispatch_reply TM_DISPATCH(tm_dispatch_args) = 2;
		void TM_CHUNK(tm_chunk) = 3;
		void TM_FINISH(tm_finish) = 4;
		void TM_CANCEL(tm_cancel) = 5;
		tm_dispatch_reply TM_RESUME(tm_resume_args) = 6;
		tm_settle_reply TM_SETTLE(tm_settle_args) = 7;
		tm_pull_reply TM_PULL(tm_pull_args) = 8;
		tm_release_reply TM_RELEASE_SLOT(tm_release_args) = 9;
		tm_permit_reply TM_PERMIT(tm_permit_args) = 10;
		void TM_PERMIT_RETURN(tm_permit_return) = 11;
		void TM_DEMAND(tm_demand_report) = 12;
		void TM_LEAVING(tm_leaving) = 13;
		tm_drain_reply TM_DRAIN(tm_drain_args) = 14;
		tm_status_reply TM_STATUS(void) = 15;
		tm_trace_reply TM_TRACE(tm_trace_args) = 16;
		void TM_LIST_UPDATE(tm_list_update) = 17;
		tm_list_reply TM_LIST_PULL(void) = 18;
		/* One-way, agent to entries: state of models has changed. */
		void TM_LOAD(tm_load_report) = 19;
		void TM_REPLICA_HOLDS(tm_replica_holds) = 20;
		void TM_REPLICA_LOAD(tm_replica_load) = 21;
		void TM_REPLICA_WANT(tm_replica_want) = 22;
		void TM_REPLICA_USE(tm_replica_use) = 23;
		void TM_DEPLOYMENT(tm_deployment_doc) = 24;
		void TM_DEPLOYMENT_ASK(tm_deployment_ask) = 25;
		tm_read_reply TM_READ(tm_read_args) = 26;
		void TM_READ_DONE(tm_read_done) = 27;
		tm_roster_reply TM_ROSTER(tm_roster_ask) = 28;
		void TM_LIMIT(tm_limit) = 29;
		tm_limit_taken TM_LIMIT_TAKE(tm_limit_take) = 30;
		void TM_CRASH(tm_crash) = 31;
		void TM_REPLICAS_READ(tm_replicas_read) = 32;
		void TM_REPLICA_LEAVES(tm_replica_leaves) = 33;
		void TM_BACKEND_END(tm_backend_end) = 34;
		tm_deployment_part TM_DEPLOYMENT_GET(tm_deployment_get) = 35;
		void TM_DEPLOYMENT_FOLLOW(tm_deployment_follow) = 36;
		void TM_DEPLOYMENT_STATE(tm_deployment_state) = 37;
		void TM_REPLICA_SPARE(tm_replica_spare) = 38;
		void TM_REPLICA_SLOW(tm_replica_slow) = 39;
		tm_quota_taken TM_QUOTA_TAKE(tm_quota_take) = 40;
		void TM_QUOTA_RETURN(tm_quota_return) = 41;
		void TM_PREFILL_FACTORS(tm_prefill_factors) = 42;
	} = 1;
} = 0x20746d31;
