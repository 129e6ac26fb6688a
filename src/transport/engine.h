/*
 * engine -- interface between an agent and the model engine on its VM: state,
 * load and unload orders, and generation.
 *
 * An order carries a fencing token; an engine that checks fencing refuses it if
 * it has received a higher one.  engine_http_create() implements the interface
 * over HTTP.
 */
#ifndef TRANSPORT_ENGINE_H
#define TRANSPORT_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ENGINE_NAME_MAX 128 /* size of a name, with the NUL */

struct event_base;

enum engine_status {
	ENGINE_OK,
	ENGINE_NOT_SENT, /* the engine received nothing */
	ENGINE_LOST, /* no answer: it may be executed, or have been */
	ENGINE_REFUSED, /* not executed; the text says why */
	ENGINE_FENCED, /* refused: the engine has had a higher token */
};

/* Where the weights of a model are loaded from, slowest first. */
enum engine_tier {
	ENGINE_TIER_REMOTE, /* weight store */
	ENGINE_TIER_DISK,
	ENGINE_TIER_MEMORY, /* host memory */
};

enum engine_load_state {
	ENGINE_LOADING,
	ENGINE_LOADED,
	ENGINE_UNLOADING,
};

enum engine_order_op {
	ENGINE_LOAD,
	ENGINE_UNLOAD,
	ENGINE_LOAD_ADAPTER,
	ENGINE_UNLOAD_ADAPTER,
};

/* A model or adapter in accelerator memory. */
struct engine_item {
	char model[ENGINE_NAME_MAX];
	char adapter[ENGINE_NAME_MAX]; /* empty: the model itself */
	enum engine_load_state state;
	uint64_t bytes; /* of accelerator memory */
};

/* A local copy of a model's weights. */
struct engine_cached {
	char model[ENGINE_NAME_MAX];
	enum engine_tier tier;
	int64_t load_us; /* expected time to load it from there */
};

/* State of an engine; valid during the callback. */
struct engine_state {
	uint64_t memory_total; /* accelerator memory, bytes */
	uint64_t memory_used;
	unsigned running; /* requests */
	unsigned max_batch; /* requests that run at once */
	unsigned tokens_per_sec; /* of one stream in a small batch */
	bool checks_fencing;
	int64_t remote_load_us; /* expected load time of models not in cached */
	const struct engine_item *items;
	size_t item_count;
	const struct engine_cached *cached;
	size_t cached_count;
};

struct engine_order {
	enum engine_order_op op;
	const char *model;
	const char *adapter; /* NULL: the model itself */
	uint64_t bytes; /* accelerator memory that it occupies */
	uint64_t fence; /* fencing token */
};

/* A request to generate text, or to resume doing so. */
struct engine_generate {
	const char *id; /* identifies the stream, to resume or cancel it */
	const char *model;
	const char *adapter; /* NULL: none */
	const char *prompt;
	unsigned max_tokens;
	int priority; /* lower is more urgent */
	unsigned from; /* first token to send; above 0: resumes the stream */
};

struct engine_token {
	unsigned index; /* in the stream, from 0 */
	const char *text;
	size_t len; /* bytes */
};

/* End of a stream; valid during the callback. */
struct engine_end {
	enum engine_status status;
	const char *text; /* error message; NULL if ENGINE_OK */
	bool conn_lost; /* ENGINE_LOST: the engine may have ended */
	/* The others are only set if ENGINE_OK. */
	unsigned tokens; /* generated in total */
	unsigned prompt_tokens;
	const char *finish; /* "stop" or "length" */
	unsigned cached_tokens; /* of the prompt, found in the prefix cache */
};

struct engine_stream;

struct engine_client_ops {
	/* Reads the state; done() gets NULL if there is no usable answer. */
	void (*state)(void *priv,
	    void (*done)(void *ctx, const struct engine_state *), void *ctx);
	/* Sends an order; done() runs when it has been executed or failed. */
	void (*order)(void *priv, const struct engine_order *,
	    void (*done)(void *ctx, enum engine_status, const char *text),
	    void *ctx);
	/*
	 * Starts or resumes a stream.  on_end() runs once unless it is
	 * cancelled or paused, never before this returns; the stream is then
	 * freed.
	 */
	struct engine_stream *(*generate)(void *priv,
	    const struct engine_generate *,
	    void (*on_token)(void *ctx, const struct engine_token *),
	    void (*on_end)(void *ctx, const struct engine_end *), void *ctx);
	/* Stops the stream in the engine; no callback runs afterwards. */
	void (*cancel)(void *priv, struct engine_stream *);
	/*
	 * Cancels the stream, and runs done() when the engine has confirmed
	 * that or failed to answer.  generate() with the same id may then
	 * resume it.
	 */
	void (*pause)(void *priv, struct engine_stream *,
	    void (*done)(void *ctx), void *ctx);
	void (*destroy)(void *priv);
};

struct engine_client {
	const struct engine_client_ops *ops;
	void *priv;
};

struct engine_http_options {
	struct event_base *base;
	const char *address; /* IP:PORT */
	int64_t state_timeout_us;
	int64_t order_timeout_us; /* until the load or unload is complete */
};

/* Returns 0, or -1 if the address is malformed or if out of memory. */
int engine_http_create(
    struct engine_client *, const struct engine_http_options *);

#endif
