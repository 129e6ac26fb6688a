/*
 * peer -- stand-ins for the cases of the second review: a runner, and a client.
 *
 *	peer runner ADDRESS ID BEHAVIOUR
 *	peer client ADDRESS METHOD PATH SECONDS HEADER...
 *	peer crowd ADDRESS COUNT SECONDS KIND
 *	peer streams ADDRESS COUNT SECONDS LEAVE BYTES
 *	peer ports COUNT
 *
 * The client sends the text in the variable BODY, if there is one; a runner
 *takes WORK_MS for each request of a plain service.  A crowd is that many
 *clients at once, which nobody controls: "many-fields" sends requests inside
 *the limits with as many fields as fit, "one-field" the same number of bytes in
 *one field, and "unfinished" a request without its last byte.  Each prints what
 *it sees, one line an event, with the Unix time; "ports" prints free ports.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
/* What a runner in trouble sends without end, a second. */
#define ENDLESS_BYTES_PER_S (8 * 1024 * 1024)
#define STREAM_EVENTS 13
#define UNFRAMED_BYTES 800

static const char *runner_id;
static useconds_t work_us; /* of a request of a plain service */
static const char *behaviour;

static double
now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void __attribute__((format(printf, 1, 2))) note(const char *format, ...)
{
	char line[1024];
	va_list args;

	va_start(args, format);
	vsnprintf(line, sizeof(line), format, args);
	va_end(args);
	printf("%.3f %s\n", now(), line);
	fflush(stdout);
}

static struct sockaddr_in
address_of(const char *text)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	char host[64];
	const char *colon = strchr(text, ':');

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		exit(2);
	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	addr.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, host, &addr.sin_addr) != 1)
		exit(2);
	return addr;
}

static int
send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return -1;
		data += n;
		len -= (size_t)n;
	}
	return 0;
}

/* ---- the runner ---- */

struct request {
	char head[HEAD_MAX];
	char method[16];
	char path[512];
	char id[128];
	char expect[128];
	size_t body_len;
};

/* Copies the value of a header, or "". */
static void
find_header(const char *head, const char *name, char *out, size_t size)
{
	size_t len = strlen(name);
	const char *at = head;

	out[0] = '\0';
	while ((at = strstr(at, "\r\n")) != NULL) {
		at += 2;
		if (strncasecmp(at, name, len) != 0 || at[len] != ':')
			continue;
		at += len + 1;
		at += strspn(at, " ");
		snprintf(out, size, "%.*s", (int)strcspn(at, "\r"), at);
		return;
	}
}

/* Returns -1 once the connection has ended. */
static int
read_request(int fd, struct request *r)
{
	char length[32];
	size_t len = 0;

	while (len < 4 || memcmp(r->head + len - 4, "\r\n\r\n", 4) != 0) {
		if (len == HEAD_MAX - 1 || recv(fd, r->head + len, 1, 0) != 1)
			return -1;
		len++;
	}
	r->head[len] = '\0';
	if (sscanf(r->head, "%15s %511s", r->method, r->path) != 2)
		return -1;
	find_header(r->head, "Tamarackmast-Request-Id", r->id, sizeof(r->id));
	find_header(r->head, "Tamarackmast-Expect-Instance", r->expect,
	    sizeof(r->expect));
	find_header(r->head, "Content-Length", length, sizeof(length));
	r->body_len = (size_t)atol(length);
	for (size_t left = r->body_len; left > 0;) {
		char block[16384];
		ssize_t n = recv(
		    fd, block, left < sizeof(block) ? left : sizeof(block), 0);

		if (n <= 0)
			return -1;
		left -= (size_t)n;
	}
	return 0;
}

static int
answer_whole(int fd, const struct request *r)
{
	char text[1024];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nTamarackmast-Request-Id: %s\r\n"
	    "Tamarackmast-Response-Seal: 1.%s\r\n"
	    "Tamarackmast-Instance-Id: %s\r\nContent-Length: 5\r\n\r\ndone\n",
	    r->id, r->id, runner_id);
	usleep(work_us);
	return send_all(fd, text, strlen(text));
}

/*
 * An answer with neither a length nor chunks, which ends with its connection.
 * Its second half comes when the work is done.
 */
static int
answer_unframed(int fd, const struct request *r)
{
	char text[1024], half[UNFRAMED_BYTES / 2];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nTamarackmast-Request-Id: %s\r\n"
	    "Tamarackmast-Response-Seal: 1.%s\r\n"
	    "Tamarackmast-Instance-Id: %s\r\nConnection: close\r\n\r\n",
	    r->id, r->id, runner_id);
	memset(half, 'x', sizeof(half));
	if (send_all(fd, text, strlen(text)) == -1 ||
	    send_all(fd, half, sizeof(half)) == -1)
		return -1;
	usleep(work_us);
	if (send_all(fd, half, sizeof(half)) == 0)
		note("%s has answered %s with %d bytes", runner_id, r->id,
		    UNFRAMED_BYTES);
	return -1;
}

static int
answer_misdirected(int fd)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 421 Misdirected Request\r\n"
	    "Tamarackmast-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
	    runner_id);
	return send_all(fd, text, strlen(text));
}

/* One model is loaded, and nothing else. */
static int
answer_report(int fd)
{
	static const char body[] =
	    "{\"born\":1000,\"stage\":\"colocated\",\"models\":[{\"name\":"
	    "\"m1\","
	    "\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":0,"
	    "\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":240000,"
	    "\"handles\":0,\"at_hand\":{\"in_memory\":[\"m1\"],"
	    "\"on_disk\":[\"m1\"]}}";
	char text[1024];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
	return send_all(fd, text, strlen(text));
}

static const char *
model_of(const struct request *r)
{
	static __thread char model[128];

	find_header(r->head, "Tamarackmast-Model", model, sizeof(model));
	return model;
}

/* Some events, each in a chunk of its own. */
static int
answer_stream(int fd, const struct request *r)
{
	char text[1024];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nTamarackmast-Request-Id: %s\r\n"
	    "Tamarackmast-Response-Seal: 1.%s\r\n"
	    "Tamarackmast-Instance-Id: %s\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    r->id, r->id, runner_id);
	if (send_all(fd, text, strlen(text)) == -1)
		return -1;
	for (int i = 1; i <= STREAM_EVENTS; i++) {
		char event[64];

		usleep(20000);
		snprintf(event, sizeof(event), "id: %d\ndata: x\n\n", i);
		snprintf(
		    text, sizeof(text), "%zx\r\n%s\r\n", strlen(event), event);
		if (send_all(fd, text, strlen(text)) == -1)
			return -1;
	}
	return send_all(fd, "0\r\n\r\n", 5);
}

/* A body that never ends, behind a sound head. */
static int
send_endless_body(int fd, const struct request *r)
{
	static const char block[65536];
	double began = now(), sent = 0;
	char text[1024];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nTamarackmast-Request-Id: %s\r\n"
	    "Tamarackmast-Response-Seal: 1.%s\r\n\r\n",
	    r->id, r->id);
	if (send_all(fd, text, strlen(text)) == -1)
		return -1;
	while (send_all(fd, block, sizeof(block)) == 0) {
		sent += (double)sizeof(block);
		while (sent > (now() - began) * ENDLESS_BYTES_PER_S)
			usleep(2000);
	}
	note("closed by the caller after %.1f s and %.1f MB", now() - began,
	    sent / 1e6);
	return -1;
}

/* Bytes that are no answer, without end: fields of a head that never ends. */
static int
send_endless_head(int fd)
{
	static const char start[] = "HTTP/1.1 200 OK\r\n";
	static char block[65536];
	double began = now(), sent = 0;
	size_t len = 0;

	while (len + 6 <= sizeof(block)) {
		memcpy(block + len, "a: b\r\n", 6);
		len += 6;
	}
	if (send_all(fd, start, strlen(start)) == -1)
		return -1;
	while (send_all(fd, block, len) == 0) {
		sent += (double)len;
		while (sent > (now() - began) * ENDLESS_BYTES_PER_S)
			usleep(2000);
	}
	note("closed by the caller after %.1f s and %.1f MB", now() - began,
	    sent / 1e6);
	return -1;
}

/* The request of one tenant, whose path others ask for too. */
static bool
is_deadly(const struct request *r)
{
	char tenant[128];

	find_header(r->head, "Tamarackmast-Tenant", tenant, sizeof(tenant));
	return strcmp(tenant, "oujda") == 0;
}

static int
answer(int fd, const struct request *r)
{
	if (strcmp(r->path, "/-/report") == 0)
		return answer_report(fd);
	if (strcmp(r->path, "/health") == 0)
		return answer_whole(fd, r);
	if (r->expect[0] != '\0' && strcmp(r->expect, runner_id) != 0)
		return answer_misdirected(fd);
	note("%s runs %s %s %s", runner_id, r->id, r->method, r->path);
	if (strcmp(behaviour, "deadly") == 0 && is_deadly(r)) {
		note("%s ends by %s", runner_id, r->id);
		_exit(0);
	}
	if (strcmp(behaviour, "endless-head") == 0)
		return send_endless_head(fd);
	if (strcmp(behaviour, "unframed") == 0)
		return answer_unframed(fd, r);
	if (strcmp(behaviour, "endless-body") == 0)
		return send_endless_body(fd, r);
	return model_of(r)[0] != '\0' ? answer_stream(fd, r)
				      : answer_whole(fd, r);
}

static void *
serve(void *arg)
{
	struct request *r = calloc(1, sizeof(*r));
	int fd = (int)(intptr_t)arg;

	if (r == NULL)
		exit(2);
	while (read_request(fd, r) == 0 && answer(fd, r) == 0)
		;
	close(fd);
	free(r);
	return NULL;
}

static int
run_runner(const char *listen_on)
{
	struct sockaddr_in addr = address_of(listen_on);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == -1 ||
	    listen(fd, 512) == -1)
		return 2;
	note("listens on %s", listen_on);
	for (;;) {
		int conn = accept(fd, NULL, NULL);
		pthread_t thread;

		if (conn == -1)
			continue;
		setsockopt(conn, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (pthread_create(
			&thread, NULL, serve, (void *)(intptr_t)conn) != 0)
			close(conn);
		else
			pthread_detach(thread);
	}
}

/* ---- the client ---- */

static int
run_client(int argc, char **argv)
{
	struct sockaddr_in addr = address_of(argv[2]);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	double until = now() + atof(argv[5]);
	const char *body = getenv("BODY");
	char text[8192], status[128] = "no answer";
	size_t len = 0, got = 0, head = 0;
	bool ended = false;

	len += (size_t)snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nConnection: close\r\n", argv[3], argv[4]);
	for (int i = 6; i < argc; i++)
		len += (size_t)snprintf(
		    text + len, sizeof(text) - len, "%s\r\n", argv[i]);
	if (body != NULL)
		len += (size_t)snprintf(text + len, sizeof(text) - len,
		    "Content-Length: %zu\r\n", strlen(body));
	len += (size_t)snprintf(
	    text + len, sizeof(text) - len, "\r\n%s", body == NULL ? "" : body);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == -1 ||
	    send_all(fd, text, len) == -1) {
		note("client %s: cannot connect", argv[4]);
		return 1;
	}
	while (!ended && now() < until) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		ssize_t n;

		if (poll(&p, 1, (int)((until - now()) * 1000) + 1) < 1)
			continue;
		n = recv(fd, text, sizeof(text) - 1, 0);
		if (n <= 0) {
			ended = true;
			continue;
		}
		text[n] = '\0';
		if (got == 0) {
			const char *end = strstr(text, "\r\n\r\n");

			snprintf(status, sizeof(status), "%.*s",
			    (int)strcspn(text, "\r\n"), text);
			head = end == NULL ? 0 : (size_t)(end + 4 - text);
		}
		got += (size_t)n;
	}
	close(fd);
	note("client %s gets: %s, a body of %zu bytes, %s", argv[4], status,
	    got - head, ended ? "ended" : "given up");
	return strncmp(status, "HTTP/1.1 200", 12) == 0 ? 0 : 1;
}

/* ---- clients of streams ---- */

#define STREAM_PAUSE_US 500000 /* of one client, between its requests */

struct streams {
	struct sockaddr_in addr;
	double until;
	int leave; /* of ten streams, after their first event */
	size_t bytes; /* of a request's body */
	unsigned begun;
	unsigned left;
	unsigned whole;
	unsigned failed;
	pthread_mutex_t lock;
};

/* Reads until the text has come.  Returns false if it does not. */
static bool
read_until(
    const struct streams *s, int fd, char *text, size_t size, const char *end)
{
	size_t len = 0;

	while (now() < s->until && len < size - 1) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		ssize_t n;

		if (poll(&p, 1, 100) < 1)
			continue;
		n = recv(fd, text + len, size - 1 - len, 0);
		if (n <= 0)
			return false;
		len += (size_t)n;
		text[len] = '\0';
		if (strstr(text, end) != NULL)
			return true;
	}
	return false;
}

/* Returns the counter of what came of it. */
static unsigned *
run_stream(struct streams *s, const char *request, size_t len, bool leaves)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	unsigned *outcome = &s->failed;
	char text[16384];

	if (connect(fd, (struct sockaddr *)&s->addr, sizeof(s->addr)) == 0 &&
	    send_all(fd, request, len) == 0 &&
	    read_until(
		s, fd, text, sizeof(text), leaves ? "id: 1\n" : "0\r\n\r\n") &&
	    strncmp(text, "HTTP/1.1 200", 12) == 0)
		outcome = leaves ? &s->left : &s->whole;
	close(fd);
	return outcome;
}

static void *
stream_client(void *arg)
{
	struct streams *s = arg;
	char *request = malloc(1024 + s->bytes);
	unsigned n;

	while (now() < s->until) {
		size_t len;
		unsigned *outcome;

		pthread_mutex_lock(&s->lock);
		n = s->begun++;
		pthread_mutex_unlock(&s->lock);
		len = (size_t)snprintf(request, 1024,
		    "POST /skade/%u HTTP/1.1\r\nHost: h.example\r\n"
		    "Tamarackmast-Request-Id: s%d-%u\r\n"
		    "Tamarackmast-Model: m1\r\n"
		    "Tamarackmast-Token-Count: 600,13\r\n"
		    "Tamarackmast-Prompt-Prefix: 5c1e07a2:400,91b%x:200\r\n"
		    "Tamarackmast-Deadline-Ms: 15000\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    n, (int)getpid(), n, n, s->bytes);
		memset(request + len, 'x', s->bytes);
		outcome = run_stream(
		    s, request, len + s->bytes, (int)(n * 7 % 10) < s->leave);
		pthread_mutex_lock(&s->lock);
		(*outcome)++;
		pthread_mutex_unlock(&s->lock);
		usleep(STREAM_PAUSE_US);
	}
	free(request);
	return NULL;
}

static int
run_streams(char **argv)
{
	static struct streams s = { .lock = PTHREAD_MUTEX_INITIALIZER };

	s.addr = address_of(argv[2]);
	s.until = now() + atof(argv[4]);
	s.leave = atoi(argv[5]);
	s.bytes = (size_t)atol(argv[6]);
	for (int i = 0; i < atoi(argv[3]); i++) {
		pthread_t thread;

		if (pthread_create(&thread, NULL, stream_client, &s) != 0)
			return 2;
		pthread_detach(thread);
	}
	while (now() < s.until + 0.3) {
		usleep(1000000);
		pthread_mutex_lock(&s.lock);
		note("streams: %u whole, %u left by their clients, %u failed",
		    s.whole, s.left, s.failed);
		pthread_mutex_unlock(&s.lock);
	}
	return 0;
}

/* ---- the crowd ---- */

/* limits.max_header_bytes of the sites, less than what the request line takes
 */
#define CROWD_HEAD_BYTES 16200
#define CROWD_BODY_BYTES 60000
#define CROWD_PAUSE_US 500000 /* of one client, between its requests */

struct crowd {
	struct sockaddr_in addr;
	const char *kind;
	double until;
	unsigned sent;
	unsigned answered;
	unsigned closed;
	pthread_mutex_t lock;
};

static size_t
write_crowd_request(const struct crowd *c, char *text, size_t size)
{
	bool unfinished = strcmp(c->kind, "unfinished") == 0;
	size_t len = (size_t)snprintf(text, size,
	    "POST /app/crowd HTTP/1.1\r\nHost: h.example\r\n"
	    "Tamarackmast-Request-Id: crowd\r\n"
	    "Tamarackmast-Deadline-Ms: 15000\r\nContent-Length: %d\r\n",
	    unfinished ? CROWD_BODY_BYTES : 0);

	if (strcmp(c->kind, "many-fields") == 0) {
		while (len + 4 <= CROWD_HEAD_BYTES) {
			memcpy(text + len, "a:\r\n", 4);
			len += 4;
		}
	} else if (strcmp(c->kind, "one-field") == 0) {
		memcpy(text + len, "a: ", 3);
		memset(text + len + 3, 'b', CROWD_HEAD_BYTES - len - 5);
		memcpy(text + CROWD_HEAD_BYTES - 2, "\r\n", 2);
		len = CROWD_HEAD_BYTES;
	}
	memcpy(text + len, "\r\n", 2);
	len += 2;
	if (unfinished) {
		memset(text + len, 'x', CROWD_BODY_BYTES - 1);
		len += CROWD_BODY_BYTES - 1;
	}
	return len;
}

static void
add_one(struct crowd *c, unsigned *counter)
{
	pthread_mutex_lock(&c->lock);
	(*counter)++;
	pthread_mutex_unlock(&c->lock);
}

/* Returns false if the other side has closed the connection. */
static bool
crowd_await(struct crowd *c, int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char text[4096];

	while (now() < c->until) {
		if (poll(&p, 1, 100) < 1)
			continue;
		if (recv(fd, text, sizeof(text), 0) <= 0)
			return false;
		add_one(c, &c->answered);
		return true;
	}
	return true;
}

static void *
crowd_client(void *arg)
{
	static const struct timeval timeout = { 1, 0 };
	struct crowd *c = arg;
	char *text = malloc(CROWD_HEAD_BYTES + CROWD_BODY_BYTES);
	size_t len =
	    write_crowd_request(c, text, CROWD_HEAD_BYTES + CROWD_BODY_BYTES);
	int fd = -1;

	while (now() < c->until) {
		if (fd == -1) {
			fd = socket(AF_INET, SOCK_STREAM, 0);
			setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout,
			    sizeof(timeout));
			if (connect(fd, (struct sockaddr *)&c->addr,
				sizeof(c->addr)) == -1)
				usleep(CROWD_PAUSE_US);
		}
		if (send_all(fd, text, len) == 0)
			add_one(c, &c->sent);
		if (!crowd_await(c, fd)) {
			add_one(c, &c->closed);
			close(fd);
			fd = -1;
		}
		usleep(CROWD_PAUSE_US);
	}
	free(text);
	return NULL;
}

static int
run_crowd(char **argv)
{
	static struct crowd c = { .lock = PTHREAD_MUTEX_INITIALIZER };
	int count = atoi(argv[3]);
	pthread_attr_t attr;

	c.addr = address_of(argv[2]);
	c.until = now() + atof(argv[4]);
	c.kind = argv[5];
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 65536);
	for (int i = 0; i < count; i++) {
		pthread_t thread;

		if (pthread_create(&thread, &attr, crowd_client, &c) != 0)
			return 2;
		pthread_detach(thread);
	}
	while (now() < c.until + 0.2)
		usleep(100000);
	pthread_mutex_lock(&c.lock);
	note("crowd of %d, %s: %u requests sent, %u answers, %u connections "
	     "closed",
	    count, c.kind, c.sent, c.answered, c.closed);
	return 0;
}

static int
print_ports(int count)
{
	for (int i = 0; i < count; i++) {
		struct sockaddr_in addr = address_of("127.0.0.1:0");
		socklen_t len = sizeof(addr);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		if (bind(fd, (struct sockaddr *)&addr, len) == -1 ||
		    getsockname(fd, (struct sockaddr *)&addr, &len) == -1)
			return 2;
		printf("%d\n", ntohs(addr.sin_port));
	}
	return 0;
}

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc == 5 && strcmp(argv[1], "runner") == 0) {
		if (getenv("WORK_MS") != NULL)
			work_us = (useconds_t)atoi(getenv("WORK_MS")) * 1000;
		runner_id = argv[3];
		behaviour = argv[4];
		return run_runner(argv[2]);
	}
	if (argc >= 6 && strcmp(argv[1], "client") == 0)
		return run_client(argc, argv);
	if (argc == 6 && strcmp(argv[1], "crowd") == 0)
		return run_crowd(argv);
	if (argc == 7 && strcmp(argv[1], "streams") == 0)
		return run_streams(argv);
	if (argc == 3 && strcmp(argv[1], "ports") == 0)
		return print_ports(atoi(argv[2]));
	fprintf(stderr, "usage: see the head of peer.c\n");
	return 2;
}
