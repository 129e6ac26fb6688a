/*
 * Draws requests by the grammar, breaks some of them, and sends them to a real
 * server in random pieces.  Guards against a request that is served although a
 * strict reading of the same bytes has no such request: what the server hands
 * over must be, one by one, what strict_http.h reads, and the connection must
 * be closed at the first difference.
 *
 * FRAMING_SEED and FRAMING_COUNT choose other requests, and how many.
 */
#include <errno.h>
#include <signal.h>
#include <stdlib.h>

#include <bsd/sys/queue.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/metrics.h"
#include "common/rng.h"
#include "test/unit/strict_http.h"
#include "transport/http_server.h"

#define COUNT_DEFAULT 3000
#define REQUESTS_MAX 4 /* of a connection */
#define MAX_BODY 4096
#define HIDDEN                                                                 \
	"GET /hidden HTTP/1.1\r\nHost: x\r\nTamarackmast-Request-Id: "         \
	"h\r\n\r\n"

struct fixture {
	struct event_base *base;
	struct http_server *server;
	struct sockaddr_in sin;
	struct rng rng;
	GString *sent;
	const char *at; /* what the strict reading has left of it */
	unsigned served, refused;
	GString *failure;
};

static const char *
method_name(struct evhttp_request *req)
{
	switch (evhttp_request_get_command(req)) {
	case EVHTTP_REQ_GET:
		return "GET";
	case EVHTTP_REQ_POST:
		return "POST";
	case EVHTTP_REQ_HEAD:
		return "HEAD";
	case EVHTTP_REQ_PUT:
		return "PUT";
	case EVHTTP_REQ_DELETE:
		return "DELETE";
	case EVHTTP_REQ_OPTIONS:
		return "OPTIONS";
	case EVHTTP_REQ_TRACE:
		return "TRACE";
	case EVHTTP_REQ_PATCH:
		return "PATCH";
	default:
		return "?";
	}
}

static bool
is_same(const struct strict_request *r, struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(body);
	struct evkeyval *h;
	unsigned i = 0;

	if (strcmp(r->method, method_name(req)) != 0 ||
	    strcmp(r->target, evhttp_request_get_uri(req)) != 0 ||
	    r->body->len != len ||
	    (len > 0 &&
		memcmp(r->body->str, evbuffer_pullup(body, -1), len) != 0))
		return false;
	TAILQ_FOREACH(h, evhttp_request_get_input_headers(req), next) {
		char *value = g_strdelimit(g_strdup(h->value), "\t", ' ');
		bool same = i < r->count && strcmp(r->names[i], h->key) == 0 &&
			    strcmp(r->values[i], g_strstrip(value)) == 0;

		g_free(value);
		i++;
		if (!same)
			return false;
	}
	return i == r->count;
}

/* Takes the request out of the strict reading if that has it as well. */
static bool
take_request(struct fixture *f, struct evhttp_request *req)
{
	const char *end = f->sent->str + f->sent->len, *next;
	struct strict_request r;
	bool same;

	if (f->at == NULL)
		return false;
	next = strict_read(&r, f->at, end);
	same = next != NULL && is_same(&r, req);
	f->at = same ? next : NULL;
	strict_clear(&r);
	return same;
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct fixture *f = ctx;

	f->served++;
	if (!take_request(f, req))
		g_string_append_printf(f->failure, "served %s %s",
		    method_name(req), evhttp_request_get_uri(req));
	http_reply(req, 200, "text/plain", "ok", 2);
}

/* After a malformed request nothing may be served. */
static void
on_refuse(void *ctx, struct evhttp_request *req, int status)
{
	struct fixture *f = ctx;

	f->refused++;
	(void)take_request(f, req);
	http_reply(req, status, "text/plain", "no", 2);
}

static const struct http_route routes[] = {
	{ "/", ~0U, on_request },
	{ 0 },
};

/* ---- requests ---- */

static const char *
pick(struct fixture *f, const char *const *list, size_t count)
{
	return list[rng_below(&f->rng, count)];
}

#define PICK(f, list) pick(f, list, G_N_ELEMENTS(list))

static void
add_chunks(struct fixture *f, GString *out, const char *body)
{
	size_t len = strlen(body);

	while (len > 0) {
		size_t part = 1 + rng_below(&f->rng, len);

		g_string_append_printf(
		    out, rng_below(&f->rng, 2) ? "%zx\r\n" : "%04zX\r\n", part);
		g_string_append_len(out, body, (gssize)part);
		g_string_append(out, "\r\n");
		body += part;
		len -= part;
	}
	g_string_append(out, "0\r\n");
	if (rng_below(&f->rng, 4) == 0)
		g_string_append(
		    out, "X-Trailer: t\r\nTamarackmast-Hold: t\r\n");
	g_string_append(out, "\r\n");
}

static void
add_request(struct fixture *f, GString *out)
{
	static const char *const methods[] = { "GET", "POST", "HEAD", "PUT",
		"DELETE", "OPTIONS", "TRACE", "PATCH", "BREW", "CONNECT" };
	static const char *const targets[] = { "/look/1", "/look/%20?a=b&c",
		"/look/\xc3\xa9", "*", "http://h.example/look", "/?", "//x",
		"/look/1#f" };
	static const char *const fields[] = { "X-A: 1", "X-A:2", "x-a:  3\t",
		"X-Empty:", "Connection: X-A", "Expect: nothing",
		"Upgrade: h2c\r\nConnection: Upgrade", "Keep-Alive: 1",
		"TE: trailers", "X-Odd!#$: \xff", "X-Colon: a:b,c" };
	static const char *const bodies[] = { "", "x", HIDDEN,
		"0\r\n\r\n" HIDDEN, "\r\n\r\n" HIDDEN };
	const char *body = PICK(f, bodies);
	unsigned count = (unsigned)rng_below(&f->rng, 5);
	unsigned framing = (unsigned)rng_below(&f->rng, 3);

	g_string_append_printf(out, "%s %s HTTP/1.1\r\nHost: h.example\r\n",
	    PICK(f, methods), PICK(f, targets));
	for (unsigned i = 0; i < count; i++)
		g_string_append_printf(out, "%s\r\n", PICK(f, fields));
	if (framing == 0) {
		body = "";
	} else if (framing == 1) {
		g_string_append_printf(
		    out, "Content-Length: %zu\r\n", strlen(body));
	} else {
		g_string_append(out, rng_below(&f->rng, 2)
					 ? "Transfer-Encoding: chunked\r\n"
					 : "transfer-encoding:Chunked \r\n");
	}
	g_string_append(out, "\r\n");
	if (framing == 2)
		add_chunks(f, out, body);
	else
		g_string_append(out, body);
}

/* Changes a byte, or adds a line or a part of one, somewhere. */
static void
break_request(struct fixture *f, GString *out)
{
	static const char bytes[] = "\r\n\t :,;0123456789abcdefx\x01\x7f\x00-";
	static const char *const parts[] = { "\r\n", "\n", "\r", " ",
		"Content-Length: 5\r\n", "Content-Length : 5\r\n",
		"Content-Length: 5, 5\r\n", "Content-Length: +5\r\n",
		"Content-Length: 0x5\r\n", "Content-Length:\r\n 5\r\n",
		"Transfer-Encoding: chunked\r\n",
		"Transfer-Encoding : chunked\r\n",
		"Transfer-Encoding: gzip, chunked\r\n",
		"Transfer-Encoding: chunked, chunked\r\n",
		"Transfer-Encoding:\r\n chunked\r\n",
		"Transfer-Encoding: \x0b"
		"chunked\r\n",
		"Host: other\r\n", " folded\r\n", ";a=b",
		"ffffffffffffffff\r\n", "10000000000000005\r\n", "-5\r\n",
		"5 \r\n", HIDDEN };
	gssize at = (gssize)rng_below(&f->rng, out->len);

	switch (rng_below(&f->rng, 5)) {
	case 0:
		out->str[at] = bytes[rng_below(&f->rng, sizeof(bytes) - 1)];
		return;
	case 1:
		g_string_erase(out, at, 1);
		return;
	case 2: { /* behind the end of a line */
		const char *nl = memchr(out->str + at, '\n', out->len - at);

		at = nl == NULL ? 0 : nl + 1 - out->str;
		break;
	}
	default:
		break;
	}
	g_string_insert(out, at, PICK(f, parts));
}

/* ---- connections ---- */

static int
connect_to(const struct sockaddr_in *sin)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(
	    connect(fd, (const struct sockaddr *)sin, sizeof(*sin)), ==, 0);
	evutil_make_socket_nonblocking(fd);
	return fd;
}

/* Sends all in random pieces; returns when the server waits or has closed. */
static void
play(struct fixture *f)
{
	int fd = connect_to(&f->sin);
	size_t done = 0;
	unsigned idle = 0;
	char buf[4096];

	f->at = f->sent->str;
	while (idle < 6) {
		size_t part = 1 + rng_below(&f->rng, f->sent->len);
		ssize_t n;

		if (part > f->sent->len - done)
			part = f->sent->len - done;
		if (part > 0 && send(fd, f->sent->str + done, part,
				    MSG_NOSIGNAL) == (ssize_t)part)
			done += part;
		event_base_loop(f->base, EVLOOP_NONBLOCK);
		event_base_loop(f->base, EVLOOP_NONBLOCK);
		n = recv(fd, buf, sizeof(buf), 0);
		if (n == 0 || (n == -1 && errno != EAGAIN))
			break;
		idle = n > 0 || part > 0 ? 0 : idle + 1;
	}
	close(fd);
	/* What the server has read of this connection is served here. */
	for (unsigned n = 0; n < 4 * REQUESTS_MAX; n++)
		event_base_loop(f->base, EVLOOP_NONBLOCK);
}

static uint64_t
setting(const char *name, uint64_t def)
{
	const char *text = g_getenv(name);

	return text == NULL ? def : g_ascii_strtoull(text, NULL, 10);
}

static void
open_fixture(struct fixture *f, struct metrics *metrics)
{
	struct http_server_options opts = { .routes = routes,
		.refuse = on_refuse,
		.max_body = MAX_BODY,
		.metrics = metrics,
		.ctx = f };
	char address[32];

	f->base = event_base_new();
	opts.base = f->base;
	f->server = http_server_create(&opts);
	f->sin = (struct sockaddr_in){ .sin_family = AF_INET };
	f->sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int port = 21000; port < 30000; port++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
		f->sin.sin_port = htons((uint16_t)port);
		if (http_server_listen(f->server, address) == 0)
			break;
	}
	f->sent = g_string_new(NULL);
	f->failure = g_string_new(NULL);
}

static void
test_drawn_requests(void)
{
	struct fixture f = { 0 };
	struct metrics *metrics = metrics_create();
	uint64_t seed = setting("FRAMING_SEED", 1);
	uint64_t count = setting("FRAMING_COUNT", COUNT_DEFAULT);
	unsigned sound_served = 0;

	open_fixture(&f, metrics);
	for (uint64_t i = 0; i < count; i++) {
		unsigned requests, breaks;

		rng_seed(&f.rng, seed * 1000003 + i);
		g_string_truncate(f.sent, 0);
		requests = 1 + (unsigned)rng_below(&f.rng, REQUESTS_MAX);
		breaks = (unsigned)rng_below(&f.rng, 3);
		for (unsigned n = 0; n < requests; n++)
			add_request(&f, f.sent);
		for (unsigned n = 0; n < breaks; n++)
			break_request(&f, f.sent);
		f.served = 0;
		play(&f);
		sound_served += breaks == 0 ? f.served : 0;
		if (f.failure->len > 0)
			g_test_message("seed %d, number %d: %s\n%s", (int)seed,
			    (int)i, f.failure->str, f.sent->str);
		g_assert_cmpuint(f.failure->len, ==, 0);
	}
	/* It must not hold by refusing everything. */
	g_assert_cmpuint(sound_served, >, count / 8);
	g_test_message(
	    "%u sound requests served, %u refused", sound_served, f.refused);
	http_server_destroy(f.server);
	event_base_free(f.base);
	metrics_destroy(metrics);
	g_string_free(f.sent, TRUE);
	g_string_free(f.failure, TRUE);
}

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http_framing/drawn_requests", test_drawn_requests);
	return g_test_run();
}
