/*
 * A TCP proxy that injects faults between two processes.
 *
 * Takes --map LISTEN=TARGET as often as needed, and --listen for its control
 * port.  Faults: delay_ms (each way), cut (close all connections and refuse new
 * ones), stall (pass nothing on), one_way ("up" or "down" passes nothing on),
 * reset (close all connections once).
 */
#include "standin/standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#define BACKLOG_MAX (16 * 1024 * 1024)

struct map {
	struct proxy_role *role;
	struct sockaddr_storage listen;
	struct sockaddr_storage target;
	int listen_len;
	int target_len;
	TAILQ_ENTRY(map) link;
};

struct pipe_dir {
	struct link_pair *pair;
	struct bufferevent *from;
	struct bufferevent *to;
	bool up; /* towards the target */
	bool ended;
	TAILQ_HEAD(, piece) in_air; /* oldest first: none overtakes another */
};

struct link_pair {
	struct proxy_role *role;
	struct bufferevent *client;
	struct bufferevent *server;
	struct pipe_dir up;
	struct pipe_dir down;
	int delayed; /* pieces still in the air */
	bool closed;
	TAILQ_ENTRY(link_pair) link;
};

/* Bytes in the air. */
struct piece {
	struct pipe_dir *dir;
	struct evbuffer *data;
	struct event *timer;
	bool last;
	bool arrived;
	TAILQ_ENTRY(piece) link;
};

struct proxy_role {
	struct event_base *base;
	struct standin *standin;
	char *listen;
	int64_t delay_ms;
	bool cut;
	bool stall;
	bool stall_up;
	bool stall_down;
	TAILQ_HEAD(, map) maps;
	TAILQ_HEAD(, link_pair) pairs;
};

static void
pair_maybe_free(struct link_pair *pair)
{
	if (!pair->closed || pair->delayed > 0)
		return;
	bufferevent_free(pair->client);
	bufferevent_free(pair->server);
	TAILQ_REMOVE(&pair->role->pairs, pair, link);
	free(pair);
}

static void
pair_close(struct link_pair *pair)
{
	if (pair->closed)
		return;
	pair->closed = true;
	bufferevent_disable(pair->client, EV_READ | EV_WRITE);
	bufferevent_disable(pair->server, EV_READ | EV_WRITE);
	pair_maybe_free(pair);
}

static bool
stalled(const struct pipe_dir *dir)
{
	const struct proxy_role *role = dir->pair->role;

	return role->stall || (dir->up ? role->stall_up : role->stall_down);
}

/* Runs when all bytes towards this side are out. */
static void
on_written(struct bufferevent *bev, void *arg)
{
	const struct pipe_dir *reads = arg;
	struct link_pair *pair = reads->pair;
	const struct pipe_dir *writes = reads->up ? &pair->down : &pair->up;

	if (writes->ended)
		pair_close(pair);
}

static void
pass_end(struct pipe_dir *dir)
{
	dir->ended = true;
	if (evbuffer_get_length(bufferevent_get_output(dir->to)) == 0)
		pair_close(dir->pair);
}

static void
deliver(struct piece *p)
{
	struct pipe_dir *dir = p->dir;

	TAILQ_REMOVE(&dir->in_air, p, link);
	dir->pair->delayed--;
	if (!dir->pair->closed)
		bufferevent_write_buffer(dir->to, p->data);
	if (p->last && !dir->pair->closed)
		pass_end(dir);
	evbuffer_free(p->data);
	event_free(p->timer);
	free(p);
}

/* What arrives out of turn, as its delay was shorter, waits for the others. */
static void
on_arrived(evutil_socket_t fd, short what, void *arg)
{
	struct piece *p = arg;
	struct pipe_dir *dir = p->dir;
	struct link_pair *pair = dir->pair;

	p->arrived = true;
	pair->delayed++; /* not freed meanwhile */
	while ((p = TAILQ_FIRST(&dir->in_air)) != NULL && p->arrived)
		deliver(p);
	pair->delayed--;
	pair_maybe_free(pair);
}

static void
send_later(struct pipe_dir *dir, struct evbuffer *in, bool last)
{
	struct proxy_role *role = dir->pair->role;
	struct piece *p = calloc(1, sizeof(*p));
	struct timeval tv = { role->delay_ms / 1000,
		role->delay_ms % 1000 * 1000 };

	if (p == NULL)
		abort();
	p->dir = dir;
	p->data = evbuffer_new();
	p->last = last;
	evbuffer_add_buffer(p->data, in);
	p->timer = evtimer_new(role->base, on_arrived, p);
	dir->pair->delayed++;
	TAILQ_INSERT_TAIL(&dir->in_air, p, link);
	evtimer_add(p->timer, &tv);
}

/* Also without a delay, while older bytes still have one. */
static bool
is_delayed(const struct pipe_dir *dir)
{
	return dir->pair->role->delay_ms > 0 || !TAILQ_EMPTY(&dir->in_air);
}

static void
pass_on(struct pipe_dir *dir)
{
	struct evbuffer *in = bufferevent_get_input(dir->from);

	if (stalled(dir) || dir->pair->closed || evbuffer_get_length(in) == 0)
		return;
	if (is_delayed(dir))
		send_later(dir, in, false);
	else
		bufferevent_write_buffer(dir->to, in);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	pass_on(arg);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct pipe_dir *dir = arg;

	if (what & BEV_EVENT_CONNECTED)
		return;
	if (stalled(dir))
		return; /* nobody is to notice */
	if ((what & BEV_EVENT_EOF) && is_delayed(dir)) {
		send_later(dir, bufferevent_get_input(dir->from), true);
		return;
	}
	pass_on(dir);
	if (what & BEV_EVENT_EOF)
		pass_end(dir);
	else
		pair_close(dir->pair);
}

static void
init_dir(struct pipe_dir *dir, struct link_pair *pair, struct bufferevent *from,
    struct bufferevent *to, bool up)
{
	dir->pair = pair;
	dir->from = from;
	dir->to = to;
	dir->up = up;
	TAILQ_INIT(&dir->in_air);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *sa, int len, void *arg)
{
	struct map *map = arg;
	struct proxy_role *role = map->role;
	struct link_pair *pair;

	if (role->cut) {
		evutil_closesocket(fd);
		return;
	}
	pair = calloc(1, sizeof(*pair));
	if (pair == NULL)
		abort();
	pair->role = role;
	pair->client =
	    bufferevent_socket_new(role->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->server =
	    bufferevent_socket_new(role->base, -1, BEV_OPT_CLOSE_ON_FREE);
	init_dir(&pair->up, pair, pair->client, pair->server, true);
	init_dir(&pair->down, pair, pair->server, pair->client, false);
	TAILQ_INSERT_TAIL(&role->pairs, pair, link);
	bufferevent_setcb(
	    pair->client, on_read, on_written, on_event, &pair->up);
	bufferevent_setcb(
	    pair->server, on_read, on_written, on_event, &pair->down);
	bufferevent_enable(pair->client, EV_READ | EV_WRITE);
	bufferevent_enable(pair->server, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(pair->server,
		(struct sockaddr *)&map->target, map->target_len) == -1)
		pair_close(pair);
}

static void
close_all(struct proxy_role *role)
{
	struct link_pair *pair, *next;

	TAILQ_FOREACH_SAFE(pair, &role->pairs, link, next)
		pair_close(pair);
}

static void
unstall(struct proxy_role *role)
{
	struct link_pair *pair, *next;

	TAILQ_FOREACH_SAFE(pair, &role->pairs, link, next) {
		pass_on(&pair->up);
		pass_on(&pair->down);
	}
}

static int
set_fault(void *ctx, const char *name, const json_t *value)
{
	struct proxy_role *role = ctx;
	const char *text = json_string_value(value);

	if (strcmp(name, "link_delay_ms") == 0) {
		role->delay_ms = json_integer_value(value);
	} else if (strcmp(name, "cut") == 0) {
		role->cut = json_is_true(value);
		if (role->cut)
			close_all(role);
	} else if (strcmp(name, "reset") == 0) {
		close_all(role);
	} else if (strcmp(name, "stall") == 0) {
		role->stall = json_is_true(value);
		unstall(role);
	} else if (strcmp(name, "one_way") == 0) {
		role->stall_up = text != NULL && strcmp(text, "up") == 0;
		role->stall_down = text != NULL && strcmp(text, "down") == 0;
		unstall(role);
	} else {
		return -1;
	}
	return 0;
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct proxy_role *role = ctx;
	struct link_pair *pair;
	int count = 0;

	TAILQ_FOREACH(pair, &role->pairs, link)
		count++;
	standin_reply(
	    role->standin, req, 200, json_pack("{s:i}", "connections", count));
}

/* Parses LISTEN=TARGET. */
static int
add_map(struct proxy_role *role, char *text)
{
	char *target = strchr(text, '=');
	struct map *map = calloc(1, sizeof(*map));

	if (map == NULL || target == NULL)
		return -1;
	*target++ = '\0';
	map->role = role;
	map->listen_len = sizeof(map->listen);
	map->target_len = sizeof(map->target);
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&map->listen,
		&map->listen_len) == -1 ||
	    evutil_parse_sockaddr_port(target, (struct sockaddr *)&map->target,
		&map->target_len) == -1) {
		free(map);
		return -1;
	}
	TAILQ_INSERT_TAIL(&role->maps, map, link);
	return 0;
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "control address", 0 },
	{ "map", 'm', "LISTEN=TARGET", 0, "pass connections on", 0 },
	{ "delay-ms", 'd', "MS", 0, "delay each way", 0 },
	{ 0 },
};

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct proxy_role *role = state->input;

	switch (key) {
	case 'l':
		role->listen = arg;
		return 0;
	case 'd':
		role->delay_ms = strtoll(arg, NULL, 10);
		return 0;
	case 'm':
		if (add_map(role, arg) == -1)
			argp_error(state, "not LISTEN=TARGET");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int
listen_all(struct proxy_role *role)
{
	struct map *map;

	TAILQ_FOREACH(map, &role->maps, link) {
		if (evconnlistener_new_bind(role->base, on_accept, map,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
			(struct sockaddr *)&map->listen,
			map->listen_len) == NULL)
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
	struct proxy_role role = { 0 };
	struct standin_options opts = {
		.handle = on_request,
		.set_fault = set_fault,
		.ctx = &role,
	};

	TAILQ_INIT(&role.maps);
	TAILQ_INIT(&role.pairs);
	if (argp_parse(&argp, argc, argv, 0, NULL, &role) != 0 ||
	    role.listen == NULL)
		return 2;
	role.base = event_base_new();
	opts.base = role.base;
	opts.listen = role.listen;
	role.standin = standin_create(&opts);
	if (role.standin == NULL || listen_all(&role) == -1)
		return 1;
	event_base_dispatch(role.base);
	return 0;
}
