/*
 * http_client_internal -- connections and calls of one HTTP client.
 *
 * http_client_conn.c knows how a call ends, and reads answers; http_client.c
 * starts calls over it.
 */
#ifndef TRANSPORT_HTTP_CLIENT_INTERNAL_H
#define TRANSPORT_HTTP_CLIENT_INTERNAL_H

#include <bsd/sys/queue.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <http_parser.h>

#include "common/addr.h"
#include "transport/http_client.h"

#define HEADER_NAME_MAX 256
#define HEADER_VALUE_MAX 16384

struct bufferevent;
struct event;

struct http_conn {
	struct http_client *client;
	struct http_call *call; /* NULL: idle */
	struct bufferevent *bev;
	struct event *timer; /* connecting, then idle */
	bool connected;
	bool dead; /* freed from the loop */
	bool discarding; /* an answer that is not this call's */
	bool has_value;
	bool complete; /* the call's answer */
	http_parser parser;
	struct evkeyvalq headers;
	char name[HEADER_NAME_MAX];
	size_t name_len;
	char *value;
	size_t value_len;
	TAILQ_ENTRY(http_conn) link;
};

struct http_call {
	struct http_client *client;
	struct http_conn *conn;
	struct event *timer;
	struct event *start_failure; /* reports a call that could not start */
	bool ended;
	bool new_connection;
	bool is_head;
	int code;
	struct evbuffer *body;
	struct http_call_options opts; /* callbacks only */
	TAILQ_ENTRY(http_call) link;
};

TAILQ_HEAD(http_conn_list, http_conn);
TAILQ_HEAD(http_call_list, http_call);

struct http_client {
	struct http_client_options opts;
	struct addr addr;
	char host_header[ADDR_TEXT_MAX + 8];
	unsigned idle_count;
	unsigned conn_count;
	struct event *reaper; /* frees what ended within a callback */
	struct http_conn_list idle;
	struct http_conn_list busy;
	struct http_conn_list dead_conns;
	struct http_call_list calls;
	struct http_call_list dead_calls;
};

/* A connection that belongs to the call to be set; NULL if none can be had. */
struct http_conn *http_conn_open(struct http_client *);
/* Closes the connection at once; its memory is freed from the loop. */
void http_conn_close(struct http_conn *);

/* Takes the call out of use; free_ctx still runs unless on_done has. */
void http_call_retire(struct http_call *);
/* Ends the call without an answer, and its connection. */
void http_call_failed(struct http_call *, enum http_call_status);

/* Frees what has ended: a callback of the loop, its argument a client. */
void http_client_reap(evutil_socket_t, short, void *client);

#endif
