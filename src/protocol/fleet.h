/*
 * fleet -- what gateway and sidecar need from a platform, in the project's own
 * terms.  An adapter fills in struct fleet_driver and does the translation.
 */
#ifndef PROTOCOL_FLEET_H
#define PROTOCOL_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport/http_client.h"

#define FLEET_NAME_MAX 64
#define FLEET_ID_MAX 128
#define FLEET_PROMPT_PARTS_MAX 16
#define FLEET_ADAPTERS_MAX 16
#define FLEET_MODELS_MAX 16
#define FLEET_COPIES_MAX 64

struct deployment;
struct event_base;
struct evkeyvalq;

struct fleet_error {
	char text[192];
};

/* ---- replicas: the processes that run a service's requests ---- */

struct loaded_model {
	char name[FLEET_NAME_MAX];
	uint32_t version;
	unsigned adapter_count;
	char adapters[FLEET_ADAPTERS_MAX][FLEET_NAME_MAX];
	/* On their way: they take their places, and cannot run yet. */
	unsigned loading_count;
	char loading[FLEET_ADAPTERS_MAX][FLEET_NAME_MAX];
};

struct weight_copies {
	unsigned count;
	char names[FLEET_COPIES_MAX][FLEET_NAME_MAX];
};

/* What a replica says of itself: to the store, or when it is asked. */
struct replica_state {
	uint64_t born_ms; /* start of this incarnation, Unix time */
	uint64_t order_seq; /* orders accepted since */
	bool busy; /* an order is under way */
	bool draining;
	int64_t gone_in_us; /* until it is taken away; -1: not told */
	unsigned queued;
	unsigned active;
	unsigned prefilling; /* active ones whose prompt is being read */
	int64_t kv_used; /* tokens that cannot be evicted */
	int64_t kv_total;
	unsigned model_count;
	struct loaded_model models[FLEET_MODELS_MAX];
	struct weight_copies in_memory;
	struct weight_copies on_disk;
};

struct replica_entry {
	char id[FLEET_ID_MAX];
	char service[FLEET_NAME_MAX];
	char address[FLEET_NAME_MAX]; /* IP:PORT */
	char zone[FLEET_NAME_MAX]; /* data centre */
	unsigned slots;
	struct replica_state state;
};

enum order_op {
	ORDER_LOAD,
	ORDER_UNLOAD,
};

struct replica_order {
	enum order_op op;
	const char *model;
	const char *adapter; /* NULL: the model itself */
	const char *holder;
	uint64_t fence;
	uint64_t expected_seq;
	/* No other incarnation may carry it out, however late it arrives. */
	const char *replica;
};

enum order_result {
	ORDER_STARTED,
	ORDER_ALREADY_DONE,
	ORDER_CONFLICT, /* another is under way, or the sequence differs */
	ORDER_REFUSED,
	ORDER_UNKNOWN, /* no answer: it may be carried out, also later */
};

/* ---- requests ---- */

struct prompt_part {
	uint64_t id;
	uint32_t tokens;
};

struct request_params {
	char id[FLEET_ID_MAX];
	int64_t deadline_us; /* that the caller waits; 0: not told */
	char model[FLEET_NAME_MAX]; /* "": none */
	char adapter[FLEET_NAME_MAX];
	uint32_t prompt_tokens;
	uint32_t max_tokens; /* of the answer */
	uint32_t expected_tokens; /* the caller's estimate; 0: none */
	unsigned part_count;
	struct prompt_part parts[FLEET_PROMPT_PARTS_MAX];
	bool resumes;
	uint64_t last_event_id;
};

struct forward_params {
	int64_t deadline_us; /* left */
	const char *replica; /* only this incarnation may run it; NULL: any */
	int urgency; /* 0 (first) to 9; -1: the engine's default */
	bool resumes;
	uint64_t last_event_id;
};

#define FORWARD_HEADERS_MAX 8
#define FORWARD_VALUE_MAX 160

struct forward_headers {
	struct http_header headers[FORWARD_HEADERS_MAX + 1];
	char values[FORWARD_HEADERS_MAX][FORWARD_VALUE_MAX];
	unsigned count;
};

struct answer_meta {
	char request[FLEET_ID_MAX]; /* "": not told */
	char replica[FLEET_ID_MAX]; /* "": not told */
	bool sealed; /* a replica's own answer */
	bool not_run; /* the replica did not and will not run it */
	bool has_load;
	unsigned running;
	unsigned waiting;
	unsigned slots;
};

/* ---- the platform's store ---- */

enum fleet_topic {
	FLEET_DEPLOYMENT, /* the operator's declaration */
	FLEET_REPLICAS, /* one record a replica, keyed by its id */
	FLEET_STORE_LOADS, /* loads from the weight store; ours */
};

struct fleet_record {
	const char *key; /* not terminated */
	size_t key_len;
	const unsigned char *value;
	size_t len; /* 0 in a keyed topic: deleted */
	uint64_t offset;
};

enum fleet_status {
	FLEET_OK,
	FLEET_CONFLICT, /* the topic does not end where expected */
	FLEET_EXPIRED, /* the records asked for are gone */
	FLEET_REFUSED, /* nothing was done */
	FLEET_UNKNOWN, /* no answer: it may have been done */
};

struct fleet_batch {
	enum fleet_status status;
	const struct fleet_record *records;
	size_t count;
	uint64_t end; /* offset after the last record of the topic */
	bool more; /* of a snapshot */
};

typedef void fleet_batch_cb(void *ctx, const struct fleet_batch *);

struct fleet_store_options {
	struct event_base *base;
	const char *address;
	int64_t timeout_us; /* of a call that does not wait */
};

struct fleet_store_ops {
	void *(*create)(const struct fleet_store_options *);
	void (*destroy)(void *store);
	/* Newest record of each key after `after` ("": all). */
	void (*snapshot)(void *store, enum fleet_topic, const char *after,
	    fleet_batch_cb *done, void *ctx);
	/* Records from an offset; waits up to wait_us for the first. */
	void (*read)(void *store, enum fleet_topic, uint64_t from,
	    int64_t wait_us, fleet_batch_cb *done, void *ctx);
	/* Appends if the topic ends at `at`; batch.end is set if known. */
	void (*append)(void *store, enum fleet_topic, uint64_t at,
	    const void *data, size_t len, fleet_batch_cb *done, void *ctx);
};

struct fleet_replica_ops {
	void *(*create)(struct event_base *, const char *address);
	void (*destroy)(void *replica);
	/* done() gets NULL if there was no usable answer. */
	void (*report)(void *replica, int64_t timeout_us,
	    void (*done)(void *ctx, const struct replica_state *), void *ctx);
	/* Asks which incarnation is there; done() gets NULL if none tells. */
	void (*identify)(void *replica, const char *health_path,
	    int64_t timeout_us, void (*done)(void *ctx, const char *id),
	    void *ctx);
	void (*order)(void *replica, const struct replica_order *,
	    int64_t timeout_us, void (*done)(void *ctx, enum order_result),
	    void *ctx);
};

struct fleet_driver {
	const struct fleet_store_ops *store;
	const struct fleet_replica_ops *replica;

	/* NULL with the fault in err. */
	struct deployment *(*decode_deployment)(
	    const void *data, size_t len, struct fleet_error *err);
	/* The key under which a deployment lies in FLEET_DEPLOYMENT. */
	const char *deployment_key;
	/* -1 with the fault in err: the entry names no replica to use. */
	int (*decode_replica)(const char *id, const void *data, size_t len,
	    struct replica_entry *, struct fleet_error *err);

	/* -1 with the fault in err: the request is malformed. */
	int (*decode_request)(struct evkeyvalq *, struct request_params *,
	    struct fleet_error *err);
	/* Whether a caller's header goes on to the replica as it is. */
	bool (*forwards_header)(const char *name);
	void (*encode_forward)(
	    const struct forward_params *, struct forward_headers *);
	void (*decode_answer)(
	    struct evkeyvalq *, int code, struct answer_meta *);
	/* Path of the readiness probe. */
	const char *ready_path;
};

#endif
