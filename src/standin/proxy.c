/*
 * TCP proxy that injects network faults between two processes.
 *
 * Each --map LISTEN=TARGET forwards the connections of one address; --listen is
 * the control port.  Faults besides those of all stand-ins:
 *
 *	link_delay_ms	delay in each direction
 *	cut		close all connections and new ones
 *	stall		forward nothing, and report no end of a connection
 *	one_way		"up" (to the target) or "down": stall this direction
 *	reset		close all connections once
 *
 * With --bytes-per-s the proxy plays the link of a VM: all connections share
 * this rate in each direction, and a sender is held up once WINDOW_BYTES of a
 * connection have not been forwarded.  GET on the control port returns the
 * number of connections, and of bytes forwarded from the targets.
 */
#include "standin/standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#define WINDOW_BYTES 65536
#define RATE_TICK_MS 10

/* An address to listen on, and where its connections are forwarded to. */
struct mapping {
	struct proxy *proxy;
	struct sockaddr_storage listen;
	struct sockaddr_storage target;
	int listen_len;
	int target_len;
	TAILQ_ENTRY(mapping) link;
};

/* One direction of a connection. */
struct direction {
	struct connection *conn;
	struct bufferevent *from;
	struct bufferevent *to;
	bool up; /* towards the target */
	bool eof; /* `from` ended: close once `to` is written */
	TAILQ_HEAD(, chunk) in_flight; /* in order of arrival */
};

struct connection {
	struct proxy *proxy;
	struct bufferevent *client;
	struct bufferevent *server;
	struct direction up;
	struct direction down;
	int in_flight_count; /* references by chunks; freed at 0 once closed */
	bool closed;
	TAILQ_ENTRY(connection) link;
};

/* Bytes that are delayed. */
struct chunk {
	struct direction *dir;
	struct evbuffer *data;
	struct event *timer;
	bool last; /* the end of the stream follows it */
	bool due; /* its delay has passed */
	TAILQ_ENTRY(chunk) link;
};

struct proxy {
	struct event_base *base;
	struct standin *standin;
	char *listen;
	int64_t delay_ms;
	int64_t bytes_per_s; /* of the link in each direction; 0: unlimited */
	int64_t bytes_down; /* forwarded from the targets */
	struct bufferevent_rate_limit_group *up_rate; /* NULL: unlimited */
	struct bufferevent_rate_limit_group *down_rate;
	bool cut;
	bool stall;
	bool stall_up;
	bool stall_down;
	TAILQ_HEAD(, mapping) mappings;
	TAILQ_HEAD(, connection) conns;
};

static void
conn_maybe_free(struct connection *conn)
{
	if (!conn->closed || conn->in_flight_count > 0)
		return;
	bufferevent_free(conn->client);
	bufferevent_free(conn->server);
	TAILQ_REMOVE(&conn->proxy->conns, conn, link);
	free(conn);
}

static void
conn_close(struct connection *conn)
{
	if (conn->closed)
		return;
	conn->closed = true;
	bufferevent_disable(conn->client, EV_READ | EV_WRITE);
	bufferevent_disable(conn->server, EV_READ | EV_WRITE);
	conn_maybe_free(conn);
}

static bool
is_stalled(const struct direction *dir)
{
	const struct proxy *proxy = dir->conn->proxy;

	return proxy->stall || (dir->up ? proxy->stall_up : proxy->stall_down);
}

/* Called when all bytes towards this side have been written. */
static void
on_written(struct bufferevent *bev, void *arg)
{
	const struct direction *reads = arg;
	struct connection *conn = reads->conn;
	const struct direction *writes = reads->up ? &conn->down : &conn->up;

	if (writes->eof)
		conn_close(conn);
}

static void
forward_eof(struct direction *dir)
{
	dir->eof = true;
	if (evbuffer_get_length(bufferevent_get_output(dir->to)) == 0)
		conn_close(dir->conn);
}

static void
write_chunk(struct chunk *c)
{
	struct direction *dir = c->dir;

	TAILQ_REMOVE(&dir->in_flight, c, link);
	dir->conn->in_flight_count--;
	if (!dir->conn->closed)
		bufferevent_write_buffer(dir->to, c->data);
	if (c->last && !dir->conn->closed)
		forward_eof(dir);
	evbuffer_free(c->data);
	event_free(c->timer);
	free(c);
}

/*
 * A chunk that is due before an older one, because the delay was reduced in
 * between, waits for it to keep the bytes in order.
 */
static void
on_chunk_due(evutil_socket_t fd, short what, void *arg)
{
	struct chunk *c = arg;
	struct direction *dir = c->dir;
	struct connection *conn = dir->conn;

	c->due = true;
	conn->in_flight_count++; /* keeps conn until the end of the loop */
	while ((c = TAILQ_FIRST(&dir->in_flight)) != NULL && c->due)
		write_chunk(c);
	conn->in_flight_count--;
	conn_maybe_free(conn);
}

static void
send_delayed(struct direction *dir, struct evbuffer *in, bool last)
{
	struct proxy *proxy = dir->conn->proxy;
	struct chunk *c = calloc(1, sizeof(*c));
	struct timeval tv = { proxy->delay_ms / 1000,
		proxy->delay_ms % 1000 * 1000 };

	if (c == NULL)
		abort();
	c->dir = dir;
	c->data = evbuffer_new();
	c->last = last;
	evbuffer_add_buffer(c->data, in);
	c->timer = evtimer_new(proxy->base, on_chunk_due, c);
	dir->conn->in_flight_count++;
	TAILQ_INSERT_TAIL(&dir->in_flight, c, link);
	evtimer_add(c->timer, &tv);
}

/* Bytes are also delayed behind older ones that are still in flight. */
static bool
is_delayed(const struct direction *dir)
{
	return dir->conn->proxy->delay_ms > 0 || !TAILQ_EMPTY(&dir->in_flight);
}

static void
forward(struct direction *dir)
{
	struct evbuffer *in = bufferevent_get_input(dir->from);

	if (is_stalled(dir) || dir->conn->closed ||
	    evbuffer_get_length(in) == 0)
		return;
	if (!dir->up)
		dir->conn->proxy->bytes_down +=
		    (int64_t)evbuffer_get_length(in);
	if (is_delayed(dir))
		send_delayed(dir, in, false);
	else
		bufferevent_write_buffer(dir->to, in);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	forward(arg);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct direction *dir = arg;

	if (what & BEV_EVENT_CONNECTED)
		return;
	if (is_stalled(dir))
		return; /* the other side must not see the end */
	if ((what & BEV_EVENT_EOF) && is_delayed(dir)) {
		send_delayed(dir, bufferevent_get_input(dir->from), true);
		return;
	}
	forward(dir);
	if (what & BEV_EVENT_EOF)
		forward_eof(dir);
	else
		conn_close(dir->conn);
}

static void
init_direction(struct direction *dir, struct connection *conn,
    struct bufferevent *from, struct bufferevent *to, bool up)
{
	dir->conn = conn;
	dir->from = from;
	dir->to = to;
	dir->up = up;
	TAILQ_INIT(&dir->in_flight);
}

/* A socket whose kernel buffer holds little, as the window of a thin link. */
static evutil_socket_t
narrow_socket(evutil_socket_t fd, int family)
{
	int size = WINDOW_BYTES;

	if (fd == -1)
		fd = socket(family, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (fd == -1 ||
	    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)) == -1)
		abort();
	return fd;
}

static void
limit_rates(struct connection *conn)
{
	struct proxy *proxy = conn->proxy;

	if (proxy->up_rate == NULL)
		return;
	bufferevent_add_to_rate_limit_group(conn->client, proxy->up_rate);
	bufferevent_add_to_rate_limit_group(conn->server, proxy->down_rate);
}

static void
create_rates(struct proxy *proxy)
{
	struct timeval tick = { 0, RATE_TICK_MS * 1000 };
	size_t per_tick = (size_t)(proxy->bytes_per_s * RATE_TICK_MS / 1000);
	struct ev_token_bucket_cfg *cfg;

	if (proxy->bytes_per_s == 0)
		return;
	/* Reads only: what has been read is forwarded at once. */
	cfg = ev_token_bucket_cfg_new(
	    per_tick, per_tick, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
	proxy->up_rate = bufferevent_rate_limit_group_new(proxy->base, cfg);
	proxy->down_rate = bufferevent_rate_limit_group_new(proxy->base, cfg);
	ev_token_bucket_cfg_free(cfg);
	if (proxy->up_rate == NULL || proxy->down_rate == NULL)
		abort();
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *sa, int len, void *arg)
{
	struct mapping *mapping = arg;
	struct proxy *proxy = mapping->proxy;
	struct connection *conn;
	evutil_socket_t server_fd = -1;

	if (proxy->cut) {
		evutil_closesocket(fd);
		return;
	}
	if (proxy->bytes_per_s > 0) {
		(void)narrow_socket(fd, sa->sa_family);
		server_fd = narrow_socket(-1, mapping->target.ss_family);
	}
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		abort();
	conn->proxy = proxy;
	conn->client =
	    bufferevent_socket_new(proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
	conn->server = bufferevent_socket_new(
	    proxy->base, server_fd, BEV_OPT_CLOSE_ON_FREE);
	limit_rates(conn);
	init_direction(&conn->up, conn, conn->client, conn->server, true);
	init_direction(&conn->down, conn, conn->server, conn->client, false);
	TAILQ_INSERT_TAIL(&proxy->conns, conn, link);
	bufferevent_setcb(
	    conn->client, on_read, on_written, on_event, &conn->up);
	bufferevent_setcb(
	    conn->server, on_read, on_written, on_event, &conn->down);
	bufferevent_enable(conn->client, EV_READ | EV_WRITE);
	bufferevent_enable(conn->server, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(conn->server,
		(struct sockaddr *)&mapping->target, mapping->target_len) == -1)
		conn_close(conn);
}

static void
close_all(struct proxy *proxy)
{
	struct connection *conn, *next;

	TAILQ_FOREACH_SAFE(conn, &proxy->conns, link, next)
		conn_close(conn);
}

static void
resume_forwarding(struct proxy *proxy)
{
	struct connection *conn, *next;

	TAILQ_FOREACH_SAFE(conn, &proxy->conns, link, next) {
		forward(&conn->up);
		forward(&conn->down);
	}
}

static int
set_fault(void *ctx, const char *name, const json_t *value)
{
	struct proxy *proxy = ctx;
	const char *text = json_string_value(value);

	if (strcmp(name, "link_delay_ms") == 0) {
		proxy->delay_ms = json_integer_value(value);
	} else if (strcmp(name, "cut") == 0) {
		proxy->cut = json_is_true(value);
		if (proxy->cut)
			close_all(proxy);
	} else if (strcmp(name, "reset") == 0) {
		close_all(proxy);
	} else if (strcmp(name, "stall") == 0) {
		proxy->stall = json_is_true(value);
		resume_forwarding(proxy);
	} else if (strcmp(name, "one_way") == 0) {
		proxy->stall_up = text != NULL && strcmp(text, "up") == 0;
		proxy->stall_down = text != NULL && strcmp(text, "down") == 0;
		resume_forwarding(proxy);
	} else {
		return -1;
	}
	return 0;
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct proxy *proxy = ctx;
	struct connection *conn;
	int count = 0;

	TAILQ_FOREACH(conn, &proxy->conns, link)
		count++;
	standin_reply(proxy->standin, req, 200,
	    json_pack("{s:i, s:I}", "connections", count, "bytes_down",
		(json_int_t)proxy->bytes_down));
}

/* Parses LISTEN=TARGET. */
static int
add_mapping(struct proxy *proxy, char *text)
{
	char *target = strchr(text, '=');
	struct mapping *mapping = calloc(1, sizeof(*mapping));

	if (mapping == NULL || target == NULL)
		return -1;
	*target++ = '\0';
	mapping->proxy = proxy;
	mapping->listen_len = sizeof(mapping->listen);
	mapping->target_len = sizeof(mapping->target);
	if (evutil_parse_sockaddr_port(text,
		(struct sockaddr *)&mapping->listen,
		&mapping->listen_len) == -1 ||
	    evutil_parse_sockaddr_port(target,
		(struct sockaddr *)&mapping->target,
		&mapping->target_len) == -1) {
		free(mapping);
		return -1;
	}
	TAILQ_INSERT_TAIL(&proxy->mappings, mapping, link);
	return 0;
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "control address", 0 },
	{ "map", 'm', "LISTEN=TARGET", 0,
	    "forward connections; may be repeated", 0 },
	{ "delay-ms", 'd', "MS", 0, "delay in each direction", 0 },
	{ "bytes-per-s", 'b', "N", 0, "rate in each direction; 0: unlimited",
	    0 },
	{ 0 },
};

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct proxy *proxy = state->input;

	switch (key) {
	case 'l':
		proxy->listen = arg;
		return 0;
	case 'd':
		proxy->delay_ms = strtoll(arg, NULL, 10);
		return 0;
	case 'b':
		proxy->bytes_per_s = strtoll(arg, NULL, 10);
		return 0;
	case 'm':
		if (add_mapping(proxy, arg) == -1)
			argp_error(state, "map: must be LISTEN=TARGET");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int
listen_all(struct proxy *proxy)
{
	struct mapping *mapping;

	TAILQ_FOREACH(mapping, &proxy->mappings, link) {
		if (evconnlistener_new_bind(proxy->base, on_accept, mapping,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
			(struct sockaddr *)&mapping->listen,
			mapping->listen_len) == NULL)
			return -1;
	}
	return 0;
}

int
standin_proxy_main(int argc, char **argv)
{
	static const struct argp argp = { .options = options,
		.parser = parse_opt,
		.doc = "A fault-injecting TCP proxy." };
	struct proxy proxy = { 0 };
	struct standin_options opts = {
		.handle = on_request,
		.set_fault = set_fault,
		.ctx = &proxy,
	};

	TAILQ_INIT(&proxy.mappings);
	TAILQ_INIT(&proxy.conns);
	if (argp_parse(&argp, argc, argv, 0, NULL, &proxy) != 0 ||
	    proxy.listen == NULL)
		return 2;
	proxy.base = event_base_new();
	create_rates(&proxy);
	opts.base = proxy.base;
	opts.listen = proxy.listen;
	proxy.standin = standin_create(&opts);
	if (proxy.standin == NULL || listen_all(&proxy) == -1)
		return 1;
	event_base_dispatch(proxy.base);
	return 0;
}
