/*
 * daemon -- the parts common to entry and agent: event loop, logger, settings,
 * signals, RPC, agreed state and membership.  The programs add their own RPC
 * handlers and callbacks.
 */
#ifndef COORDINATION_DAEMON_H
#define COORDINATION_DAEMON_H

#include <stdbool.h>
#include <stdint.h>

#include "common/options.h"
#include "common/settings_file.h"
#include "protocol/tm_xdr.h"

struct clock;
struct config_event;
struct control_lease;
struct control_model;
struct daemon;
struct event_base;
struct logger;
struct membership;
struct metrics;
struct peer;
struct rpc;
struct rpc_conn;
struct rpc_handler;
struct store;
struct tls;
struct trace;
struct vm_info;

/* Settings common to entry and agent; see DAEMON_OPTIONS for the units. */
struct daemon_settings {
	char *vm;
	char *zone;
	char *log_level;
	char *rpc_listen;
	char *http_listen;
	char *log_service;
	char *vm_list;
	int64_t log_timeout_ms;
	int64_t log_poll_ms;
	int64_t log_retry_ms;
	int64_t vm_refresh_ms;
	int64_t vm_bytes_per_sec;
	int64_t reconnect_ms;
	int64_t stale_ms;
	int64_t shards;
	int64_t checkpoint_records;
	int64_t checkpoint_ms;
	int64_t keep_records;
	int64_t max_record;
	int64_t max_output;
	int64_t max_connections;
	int64_t stall_ms;
	char *tls_certificate;
	char *tls_key;
	char *tls_authority;
	int64_t drain_ms;
};

/* Rows for the program's option table; `at` is the offset of the settings. */
#define DAEMON_OPTIONS(at)                                                     \
	{ "daemon", "vm", OPT_STRING,                                          \
		(at) + offsetof(struct daemon_settings, vm), 0, 0, NULL, NULL, \
		"id of this VM in the platform's VM list", false },            \
	    { "daemon", "zone", OPT_STRING,                                    \
		    (at) + offsetof(struct daemon_settings, zone), 0, 0, NULL, \
		    NULL, "data centre of this VM", false },                   \
	    { "daemon", "log_level", OPT_LEVELS,                               \
		    (at) + offsetof(struct daemon_settings, log_level), 0, 0,  \
		    "info", NULL, "lowest level that is logged, also by area", \
		    true },                                                    \
	    { "daemon", "drain_ms", OPT_INT,                                   \
		    (at) + offsetof(struct daemon_settings, drain_ms), 0,      \
		    3600000, "60000", "ms",                                    \
		    "longest wait for work in flight on shutdown", true },     \
	    { "rpc", "listen", OPT_ADDR,                                       \
		    (at) + offsetof(struct daemon_settings, rpc_listen), 0, 0, \
		    NULL, NULL, "address to listen on for RPC", false },       \
	    { "rpc", "max_record", OPT_INT,                                    \
		    (at) + offsetof(struct daemon_settings, max_record),       \
		    65536, 67108864, "8388608", "bytes", "largest message",    \
		    false },                                                   \
	    { "rpc", "max_output", OPT_INT,                                    \
		    (at) + offsetof(struct daemon_settings, max_output),       \
		    65536, 1073741824, "33554432", "bytes",                    \
		    "limit of the output buffered on one connection", false }, \
	    { "rpc", "max_connections", OPT_INT,                               \
		    (at) + offsetof(struct daemon_settings, max_connections),  \
		    1, 100000, "2000", NULL,                                   \
		    "limit of connections accepted from other daemons",        \
		    false },                                                   \
	    { "rpc", "stall_ms", OPT_INT,                                      \
		    (at) + offsetof(struct daemon_settings, stall_ms), 100,    \
		    600000, "10000", "ms",                                     \
		    "longest time to receive or send one message", false },    \
	    { "rpc", "reconnect_ms", OPT_INT,                                  \
		    (at) + offsetof(struct daemon_settings, reconnect_ms), 10, \
		    60000, "500", "ms", "pause before reconnecting to a peer", \
		    false },                                                   \
	    { "http", "listen", OPT_ADDR,                                      \
		    (at) + offsetof(struct daemon_settings, http_listen), 0,   \
		    0, NULL, NULL, "address to listen on for HTTP", false },   \
	    { "tls", "certificate", OPT_STRING,                                \
		    (at) + offsetof(struct daemon_settings, tls_certificate),  \
		    0, 0, "", NULL,                                            \
		    "PEM file, reloaded on SIGHUP; empty: plain text",         \
		    false },                                                   \
	    { "tls", "key", OPT_STRING,                                        \
		    (at) + offsetof(struct daemon_settings, tls_key), 0, 0,    \
		    "", NULL, "PEM file with the certificate's key", false },  \
	    { "tls", "authority", OPT_STRING,                                  \
		    (at) + offsetof(struct daemon_settings, tls_authority), 0, \
		    0, "", NULL, "PEM file of the CA that signs peers",        \
		    false },                                                   \
	    { "log", "service", OPT_ADDR,                                      \
		    (at) + offsetof(struct daemon_settings, log_service), 0,   \
		    0, NULL, NULL, "address of the platform's log service",    \
		    false },                                                   \
	    { "log", "timeout_ms", OPT_INT,                                    \
		    (at) + offsetof(struct daemon_settings, log_timeout_ms),   \
		    10, 60000, "2000", "ms", "timeout of an append", false },  \
	    { "log", "poll_ms", OPT_INT,                                       \
		    (at) + offsetof(struct daemon_settings, log_poll_ms), 10,  \
		    60000, "2000", "ms",                                       \
		    "longest wait of a read for new records", false },         \
	    { "log", "retry_ms", OPT_INT,                                      \
		    (at) + offsetof(struct daemon_settings, log_retry_ms), 10, \
		    60000, "250", "ms", "pause after a failed read", false },  \
	    { "log", "stale_ms", OPT_INT,                                      \
		    (at) + offsetof(struct daemon_settings, stale_ms), 100,    \
		    600000, "5000", "ms",                                      \
		    "not ready after so long without the log and all peers",   \
		    false },                                                   \
	    { "log", "shards", OPT_INT,                                        \
		    (at) + offsetof(struct daemon_settings, shards), 1, 1024,  \
		    "1", NULL, "control shards; the same in all daemons",      \
		    false },                                                   \
	    { "log", "keep_records", OPT_INT,                                  \
		    (at) + offsetof(struct daemon_settings, keep_records), 1,  \
		    1000000, "4096", NULL,                                     \
		    "newest records of a stream that are kept for peers",      \
		    false },                                                   \
	    { "log", "checkpoint_records", OPT_INT,                            \
		    (at) +                                                     \
			offsetof(struct daemon_settings, checkpoint_records),  \
		    10, 10000000, "20000", NULL,                               \
		    "most records in a stream after its newest checkpoint",    \
		    false },                                                   \
	    { "log", "checkpoint_ms", OPT_INT,                                 \
		    (at) + offsetof(struct daemon_settings, checkpoint_ms),    \
		    100, 86400000, "600000", "ms",                             \
		    "longest interval between checkpoints of a stream; well "  \
		    "below the log's retention",                               \
		    false },                                                   \
	    { "vms", "service", OPT_ADDR,                                      \
		    (at) + offsetof(struct daemon_settings, vm_list), 0, 0,    \
		    NULL, NULL, "address of the platform's VM list", false },  \
	    { "vms", "bytes_per_sec", OPT_INT,                                 \
		    (at) + offsetof(struct daemon_settings, vm_bytes_per_sec), \
		    16, 1000000000, "512", "bytes",                            \
		    "limit on reading the VM list: a long list is read less "  \
		    "often, and peers announce its changes",                   \
		    false },                                                   \
	{                                                                      \
		"vms", "refresh_ms", OPT_INT,                                  \
		    (at) + offsetof(struct daemon_settings, vm_refresh_ms),    \
		    50, 600000, "1000", "ms",                                  \
		    "shortest interval between reads of the VM list", false    \
	}

struct daemon_options {
	const struct daemon_settings *settings;
	const char *program; /* "entry" or "agent" */
	enum tm_role role;
	/* The program's handlers, besides the common ones; ends with proc 0. */
	const struct rpc_handler *handlers;
	/* As in struct membership_options. */
	bool (*should_connect)(void *ctx, const struct vm_info *);
	bool (*busy)(void *ctx, const struct peer *); /* may be NULL */
	void (*peer_up)(void *ctx, struct peer *);
	void (*peer_down)(void *ctx, struct peer *);
	void (*peer_removed)(void *ctx, struct peer *);
	/* An RPC connection has been closed. */
	void (*conn_closed)(void *ctx, struct rpc_conn *);
	/* A peer has sent hello; may be NULL, and may close the connection. */
	void (*hello)(
	    void *ctx, struct rpc_conn *, const struct tm_hello_args *);
	/* As in struct store_options. */
	void (*config_changed)(void *ctx, const struct config_event *);
	void (*config_restoring)(void *ctx, uint64_t version);
	void (*model_changed)(void *ctx, const struct control_model *);
	void (*lease_changed)(void *ctx, const struct control_lease *);
	/* Fills the load report in replies to hello and status; may be NULL. */
	void (*fill_load)(void *ctx, struct tm_load_report *);
	/* Frees what fill_load() allocated; may be NULL. */
	void (*free_load)(void *ctx, struct tm_load_report *);
	/* Called once: on SIGTERM, SIGINT or drain, or if listed as leaving. */
	void (*leave)(void *ctx);
	struct settings_file file; /* read again on SIGHUP */
	void (*reloaded)(void *ctx); /* the file was valid; may be NULL */
	void *ctx; /* also passed to the handlers */
};

/* The parts that programs use; owned by the daemon. */
struct daemon {
	struct event_base *base;
	struct clock *clock;
	struct logger *logger;
	struct metrics *metrics;
	struct trace *trace;
	struct tls *tls; /* NULL: plain text */
	struct rpc *rpc;
	struct store *store;
	struct membership *membership;
	const struct log_client *log;
	const struct daemon_settings *settings;
	uint64_t incarnation; /* random id of this process, never 0 */
	bool leaving; /* takes no new work; stops once drained */
};

/* Returns NULL after logging the error. */
struct daemon *daemon_create(const struct daemon_options *);
/*
 * Closes all connections, which ends pending calls.  Call it before the program
 * frees the parts that their callbacks use.
 */
void daemon_close(struct daemon *);
void daemon_destroy(struct daemon *);

/*
 * Listens for RPC and runs the event loop until daemon_stop().  Returns -1 if
 * it cannot listen, after logging the error.
 */
int daemon_run(struct daemon *);
/* Ends the event loop. */
void daemon_stop(struct daemon *);

/* Begins a graceful stop, as SIGTERM does. */
void daemon_leave(struct daemon *);

/* Announces on every open connection that this daemon takes no new work. */
void daemon_announce_leaving(struct daemon *);

#endif
