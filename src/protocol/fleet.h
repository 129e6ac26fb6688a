/*
 * fleet -- interface between gateway and sidecar and the platform on which they
 * run: its replicas, its request headers and its store.
 *
 * The types are independent of the platform's formats.  A driver implements
 * struct fleet_driver: it decodes what the platform writes to these types and
 * encodes what is sent to it.  Operations are asynchronous; done() runs on the
 * event loop, and not at all once the object is destroyed.
 */
#ifndef PROTOCOL_FLEET_H
#define PROTOCOL_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport/http_client.h"

#define FLEET_NAME_MAX 64 /* size of a name or address, with the NUL */
#define FLEET_ID_MAX 128 /* size of an id, with the NUL */
#define FLEET_PROMPT_PARTS_MAX 64 /* of a request; others are ignored */
#define FLEET_ADAPTERS_MAX 16 /* of one loaded model */
#define FLEET_MODELS_MAX 16 /* loaded on one replica */
#define FLEET_COPIES_MAX 64 /* on one replica, in memory or on disk each */

struct deployment;
struct event_base;
struct evkeyvalq;

/* Says why data was refused, for a log line or the caller. */
struct fleet_error {
	char text[192];
};

/* ---- replicas: the processes that run a service's requests ---- */

/* A model that can run on a replica, with its LoRA adapters. */
struct loaded_model {
	char name[FLEET_NAME_MAX];
	uint32_t version;
	unsigned adapter_count;
	char adapters[FLEET_ADAPTERS_MAX][FLEET_NAME_MAX];
	/* Adapters being loaded: they use adapter capacity, but cannot run. */
	unsigned loading_count;
	char loading[FLEET_ADAPTERS_MAX][FLEET_NAME_MAX];
};

/* Models of which the replica keeps a local copy of the weights. */
struct weight_copies {
	unsigned count;
	char names[FLEET_COPIES_MAX][FLEET_NAME_MAX];
};

/* State that a replica reports to the store, or on request. */
struct replica_state {
	uint64_t born_ms; /* start of this incarnation, Unix time */
	uint64_t order_seq; /* orders accepted since the start */
	bool busy; /* executes an order, and refuses others */
	bool draining; /* finishes its requests and takes no more */
	int64_t gone_in_us; /* time until its removal; -1: not announced */
	unsigned queued; /* requests */
	unsigned active; /* requests that run */
	unsigned prefilling; /* active requests that are still in prefill */
	int64_t kv_used; /* tokens in the KV cache that cannot be evicted */
	int64_t kv_total; /* size of the KV cache in tokens */
	unsigned model_count;
	struct loaded_model models[FLEET_MODELS_MAX];
	struct weight_copies in_memory; /* host memory */
	struct weight_copies on_disk;
};

/* The store's record of a replica. */
struct replica_entry {
	char id[FLEET_ID_MAX]; /* of this incarnation */
	char service[FLEET_NAME_MAX];
	char address[FLEET_NAME_MAX]; /* IP:PORT */
	char zone[FLEET_NAME_MAX]; /* data centre */
	unsigned slots; /* requests that run at once */
	struct replica_state state;
};

enum order_op {
	ORDER_LOAD,
	ORDER_UNLOAD,
};

/* An order to a replica to load or unload a model or adapter. */
struct replica_order {
	enum order_op op;
	const char *model;
	const char *adapter; /* NULL: the model itself */
	const char *holder; /* name of the VM that gives the order */
	uint64_t fence; /* fencing token of the holder */
	uint64_t expected_seq; /* order_seq that the replica must have */
	/* Id of the only incarnation that may execute it, however late. */
	const char *replica;
};

enum order_result {
	ORDER_STARTED,
	ORDER_ALREADY_DONE, /* the replica is in that state: nothing to do */
	ORDER_CONFLICT, /* another order is executed, or order_seq differs */
	ORDER_REFUSED, /* not executed, and will not be */
	ORDER_UNKNOWN, /* no usable answer: it may be executed, also later */
};

/* ---- requests ---- */

/* A section of a prompt.  Prompts that begin with the same parts share them. */
struct prompt_part {
	uint64_t id; /* hash of its content */
	uint32_t tokens;
};

/* What the headers of a caller's request state. */
struct request_params {
	char id[FLEET_ID_MAX];
	int64_t timeout_us; /* time that the caller waits; 0: not stated */
	char model[FLEET_NAME_MAX]; /* "": none */
	char adapter[FLEET_NAME_MAX]; /* "": none */
	uint32_t prompt_tokens;
	uint32_t max_tokens; /* of the answer */
	uint32_t expected_tokens; /* of the answer, by the caller; 0: none */
	unsigned part_count;
	struct prompt_part parts[FLEET_PROMPT_PARTS_MAX]; /* in order */
	bool more_parts; /* the prompt has parts after these */
	bool resumes; /* continues a stream after last_event_id */
	uint64_t last_event_id; /* only if resumes */
	/*
	 * Hash of the request as a whole, see gateway/request_hash.h; 0: not
	 * computed.
	 */
	uint64_t whole;
};

/* What the headers of a request to a replica state. */
struct forward_params {
	int64_t left_us; /* time until the deadline */
	const char *replica; /* only incarnation that may run it; NULL: any */
	int urgency; /* 0 (first) to 9; -1: the engine's default */
	bool resumes; /* continues a stream after last_event_id */
	uint64_t last_event_id; /* only if resumes */
	const char *account; /* that the request belongs to; NULL: none */
};

#define FORWARD_HEADERS_MAX 8
#define FORWARD_VALUE_MAX 160 /* size of a value, with the NUL */

/* Headers and their storage; the list ends with a NULL name. */
struct forward_headers {
	struct http_header headers[FORWARD_HEADERS_MAX + 1];
	char values[FORWARD_HEADERS_MAX][FORWARD_VALUE_MAX];
	unsigned count;
};

/* What status and headers of a replica's answer state. */
struct answer_meta {
	char request[FLEET_ID_MAX]; /* id of the request; "": not stated */
	char replica[FLEET_ID_MAX]; /* id of the replica; "": not stated */
	bool sealed; /* made by a replica itself */
	bool not_run; /* the replica did not run the request and never will */
	bool leaving; /* the replica takes no more requests and will end */
	/* Of a refusal: the replica wants no requests for so long; 0: none. */
	int64_t quiet_us;
	bool has_load; /* the next three are set */
	unsigned running; /* requests */
	unsigned waiting; /* requests */
	unsigned slots; /* requests that run at once */
	/*
	 * How much longer than usual work takes on the replica's machine at
	 * this moment; 1: as usual; 0: not stated.
	 */
	double slowdown;
	/*
	 * Requests a second that the replica takes from all gateways; 0: the
	 * answer names no limit; negative: it cannot be read.
	 */
	double limit_per_s;
};

/* ---- the platform's store ---- */

/* A topic is a log; in a keyed one the newest record of each key is valid. */
enum fleet_topic {
	FLEET_DEPLOYMENT, /* keyed: the operator's configuration */
	FLEET_REPLICAS, /* keyed: one replica_entry per replica, by its id */
	FLEET_STORE_LOADS, /* loads from the weight store, by the sidecars */
	FLEET_CRASHES, /* keyed: prompt parts that crash replicas, by gateways
			*/
	FLEET_ORDERS, /* keyed: orders without an answer, by sidecars */
};

struct fleet_record {
	const char *key; /* not terminated; NULL in a topic without keys */
	size_t key_len; /* bytes */
	const unsigned char *value;
	size_t len; /* bytes; 0 in a keyed topic: the key is deleted */
	uint64_t offset;
};

enum fleet_status {
	FLEET_OK,
	/*
	 * The topic does not end at the expected offset, or the writer has
	 * appended with a higher epoch, or not the number before this one.
	 */
	FLEET_CONFLICT,
	FLEET_EXPIRED, /* records from the requested offset are deleted */
	FLEET_REFUSED, /* nothing was done */
	FLEET_UNKNOWN, /* no usable answer: the call may have been executed */
};

/* Result of a call to the store; valid during the callback. */
struct fleet_batch {
	enum fleet_status status;
	const struct fleet_record *records; /* only if FLEET_OK */
	size_t count;
	/*
	 * Higher each time the store has come back from an older copy, with
	 * offsets that are given out again; 0: not stated.
	 */
	uint64_t era;
	/*
	 * Offset of the topic's next record; FLEET_EXPIRED: that of the first
	 * one which is left; 0: not known.
	 */
	uint64_t end;
	uint64_t next; /* read: offset after the last record that has arrived */
	bool more; /* snapshot: further keys follow */
};

#define FLEET_ANY_OFFSET UINT64_MAX

/*
 * Appends of a writer take effect in the order of their numbers, however late
 * they arrive, and none after one of a higher epoch.
 */
struct fleet_writer {
	const char *name;
	uint64_t epoch;
	/*
	 * Higher by one with each append; the same for an append that is sent
	 * again, with the same records, as its answer was lost.
	 */
	uint64_t number;
};

typedef void fleet_batch_cb(void *ctx, const struct fleet_batch *);

struct fleet_store_options {
	struct event_base *base;
	const char *address; /* IP:PORT */
	int64_t timeout_us; /* of a call, without a read's wait_us */
};

/* A client of the store. */
struct fleet_store_ops {
	/* Returns NULL if the address is malformed or if out of memory. */
	void *(*create)(const struct fleet_store_options *);
	void (*destroy)(void *store);
	/*
	 * Reads the newest record of each key above `after`, in order of keys;
	 * "" starts.
	 */
	void (*snapshot)(void *store, enum fleet_topic, const char *after,
	    fleet_batch_cb *done, void *ctx);
	/* Reads from an offset on; waits up to wait_us for the first record. */
	void (*read)(void *store, enum fleet_topic, uint64_t from,
	    int64_t wait_us, fleet_batch_cb *done, void *ctx);
	/* Reads the end of a keyed topic: a batch without records. */
	void (*read_end)(
	    void *store, enum fleet_topic, fleet_batch_cb *done, void *ctx);
	/* Whether a part of the answer to a pending read has arrived. */
	bool (*answers)(void *store, const void *ctx);
	/* Gives up the pending calls with this ctx; their done() does not run.
	 */
	void (*cancel)(void *store, const void *ctx);
	/*
	 * Appends all of the records or none, if the topic ends at offset `at`
	 * or that is FLEET_ANY_OFFSET.  Their offsets are ignored.
	 */
	void (*append)(void *store, enum fleet_topic, uint64_t at,
	    const struct fleet_record *, size_t count, fleet_batch_cb *done,
	    void *ctx);
	/* The same at any offset, in the order of the writer's appends. */
	void (*append_in_order)(void *store, enum fleet_topic,
	    const struct fleet_writer *, const struct fleet_record *,
	    size_t count, fleet_batch_cb *done, void *ctx);
};

/* A client of the replica on the same VM. */
struct fleet_replica_ops {
	/* Returns NULL if the address is malformed or if out of memory. */
	void *(*create)(struct event_base *, const char *address);
	void (*destroy)(void *replica);
	/* Reads the state; done() gets NULL if there is no usable answer. */
	void (*report)(void *replica, int64_t timeout_us,
	    void (*done)(void *ctx, const struct replica_state *), void *ctx);
	/* Reads the incarnation's id; done() gets NULL without an answer. */
	void (*identify)(void *replica, const char *health_path,
	    int64_t timeout_us, void (*done)(void *ctx, const char *id),
	    void *ctx);
	/* Sends an order; done() gets the answer, not the end of the load. */
	void (*order)(void *replica, const struct replica_order *,
	    int64_t timeout_us, void (*done)(void *ctx, enum order_result),
	    void *ctx);
};

enum fleet_decode {
	FLEET_DECODE_MORE, /* not complete yet */
	FLEET_DECODE_DONE,
	FLEET_DECODE_BAD, /* malformed */
};

/* A platform.  Decoders say in err why they refuse data. */
struct fleet_driver {
	const struct fleet_store_ops *store;
	const struct fleet_replica_ops *replica;

	/*
	 * Begins to decode a record of FLEET_DEPLOYMENT, whose data must stay
	 * until decode_end().  Routes that are the same in previous (NULL:
	 * none) are shared with it.
	 */
	void *(*decode_begin)(
	    const void *data, size_t len, struct deployment *previous);
	/*
	 * Goes on for about so many bytes of the document.  *out: set with
	 * FLEET_DECODE_DONE, with a reference.
	 */
	enum fleet_decode (*decode_step)(void *decoder, size_t bytes,
	    struct deployment **out, struct fleet_error *err);
	void (*decode_end)(void *decoder);
	/* Key of the deployment's record in FLEET_DEPLOYMENT. */
	const char *deployment_key;
	/* Decodes a record of FLEET_REPLICAS.  Returns -1 on error. */
	int (*decode_replica)(const char *id, const void *data, size_t len,
	    struct replica_entry *, struct fleet_error *err);

	/* Decodes a caller's headers.  Returns -1 if they are malformed. */
	int (*decode_request)(struct evkeyvalq *, struct request_params *,
	    struct fleet_error *err);
	/*
	 * Finds the API key of a caller's headers, which own it; empty: none.
	 * Returns -1 if there are several, or it is of another scheme.
	 */
	int (*decode_key)(struct evkeyvalq *, const char **key, size_t *len);
	/*
	 * Whether a caller's header is passed to the replica unchanged;
	 * accounts: the deployment has accounts, whose keys are not.
	 */
	bool (*forwards_header)(const char *name, bool accounts);
	/* Whether decode_request() reads a header, whatever its case. */
	bool (*reads_header)(const char *name);
	void (*encode_forward)(
	    const struct forward_params *, struct forward_headers *);
	/* code: HTTP status of the answer. */
	void (*decode_answer)(
	    struct evkeyvalq *, int code, struct answer_meta *);
	/* Path of the readiness probe that the gateway answers. */
	const char *ready_path;
};

#endif
