/*
 * http_client_internal -- types that the files of the HTTP client share.
 *
 * http_client.c starts and cancels calls; http_client_conn.c opens and closes
 * connections, reads responses and ends calls.
 */
#ifndef TRANSPORT_HTTP_CLIENT_INTERNAL_H
#define TRANSPORT_HTTP_CLIENT_INTERNAL_H

#include <bsd/sys/queue.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <http_parser.h>

#include "common/addr.h"
#include "transport/http_client.h"
#include "transport/http_octets.h"

#define HEADER_NAME_MAX 256 /* size with the NUL; a longer one is an error */
#define HEADER_VALUE_MAX 16384 /* size with the NUL */
#define SKIPPED_MESSAGES_MAX 16 /* interim and discarded ones, of one call */
/*
 * What a call may receive that is no body: the lines of all heads, of chunk
 * sizes and of a trailer.  Chunks of a byte take up to LINE_BYTES_A_BYTE.
 */
#define LINE_BYTES_MAX 65536
#define LINE_BYTES_A_BYTE 16 /* in addition, for each byte of a body */
#define FIELDS_MEMORY_MAX (1024 * 1024) /* bytes, of one head */

struct bufferevent;
struct event;

/* A connection of the pool: connecting, busy with a call, or idle. */
struct http_client_conn {
	struct http_client *client;
	struct http_call *call; /* NULL: idle */
	struct bufferevent *bev;
	struct event *timer; /* time limit to connect, then to be idle */
	bool connected;
	bool dead; /* closed; the event loop frees it */
	bool discarding; /* the response belongs to another call */
	unsigned skipped_messages; /* interim or discarded, of this call */
	size_t skipped_bytes; /* of their bodies */
	bool has_value; /* the parser has passed a part of a value */
	bool in_trailer; /* the head is complete */
	bool complete; /* the call's response has been read */
	bool ended_by_close; /* its end was the end of the connection */
	size_t read_bytes; /* of this call */
	size_t body_bytes; /* the part of them that is a body */
	int64_t keep_alive_us; /* see keep_alive_timeout_us() */
	http_parser parser;
	struct http_octets octets;
	struct evkeyvalq headers; /* of the response, without its trailer */
	size_t headers_memory;
	char name[HEADER_NAME_MAX]; /* header that is being read */
	size_t name_len;
	char *value; /* value_size bytes; NULL: none */
	size_t value_size;
	size_t value_len;
	TAILQ_ENTRY(http_client_conn) link;
};

struct http_call {
	struct http_client *client;
	/* NULL: could not be opened, or no longer used by the call. */
	struct http_client_conn *conn;
	struct event *timer; /* timeout */
	struct event *start_failure; /* reports a call without connection */
	bool ended;
	bool new_connection;
	int64_t connect_only_us; /* as in struct http_call_options */
	bool over_limit; /* as in struct http_response */
	bool is_head; /* method HEAD: the response has no body */
	int code;
	struct evbuffer *body;
	size_t max_body; /* bytes */
	size_t held; /* bytes of head and body that the quota counts */
	struct http_call_options opts; /* only callbacks and ctx are valid */
	TAILQ_ENTRY(http_call) link;
};

TAILQ_HEAD(http_client_conn_list, http_client_conn);
TAILQ_HEAD(http_call_list, http_call);

struct http_client {
	struct http_client_options opts;
	struct addr addr;
	char host_header[ADDR_TEXT_MAX + 8]; /* value of Host */
	struct http_buffer_quota own_quota; /* unless opts names one */
	unsigned idle_count;
	unsigned conn_count; /* those being opened included */
	struct event *reaper; /* frees dead_conns and dead_calls */
	struct http_client_conn_list idle;
	struct http_client_conn_list busy;
	struct http_client_conn_list dead_conns;
	struct http_call_list calls;
	struct http_call_list dead_calls;
};

/*
 * Starts to connect, and returns a busy connection; the caller sets its call.
 * Returns NULL on error.
 */
struct http_client_conn *http_client_conn_open(struct http_client *);
/* Closes the connection at once; the event loop frees it. */
void http_client_conn_close(struct http_client_conn *);

/* Marks the call as ended; the event loop frees it, and its ctx if need be. */
void http_call_retire(struct http_call *);
/* Ends the call with an error status, and closes its connection. */
void http_call_failed(struct http_call *, enum http_call_status);

/* Event callback: frees the ended calls and closed connections of a client. */
void http_client_reap(evutil_socket_t, short, void *client);

#endif
