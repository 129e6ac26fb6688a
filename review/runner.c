/*
 * runner -- stand-in of a runner of the platform, for the cases of the review.
 * It speaks HTTP/1.1 as the platform's pages describe a runner: it reads bodies
 * with a length for any method, answers HEAD without a body, echoes the
 * request's id, seals what it ran, refuses with 421 what expects another
 * instance, and with 503 what it has no room for.
 *
 *	runner IP:PORT ID JOURNAL [MODEL BORN]
 *
 * With a model it is a model runner that holds this model: it answers requests
 * with a stream of events, and GET /-/report.  It takes no orders.
 *
 * Each request to run is a line of the journal: the time in ms since the epoch,
 * "ran" or "refused", the request's id, method and path, the length of its
 * body, and its headers Tamarackmast-Model, -Token-Count and -Prompt-Prefix, or
 * "-".
 *
 * POST /-/set?NAME=VALUE, of the case only:
 *	full=1		refuse all requests: no room
 *	leaving=1	say in all answers that it leaves
 *	work_ms=N	time of a run
 *	events=N	events of a stream, one each 20 ms
 *	exit=1		end, as a runner that has left
 *	endless=1	be in trouble: streams go on with empty lines without
 *			end, until the caller closes
 */
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define BUFFER_SIZE 65536
#define HEAD_SIZE 1024
#define FIELD_SIZE 256
#define EVENT_MS 20

struct request {
	char method[16];
	char path[FIELD_SIZE];
	char id[FIELD_SIZE];
	char expected[FIELD_SIZE];
	char model[FIELD_SIZE];
	char tokens[FIELD_SIZE];
	char prefix[FIELD_SIZE];
	size_t body_len;
	bool close;
};

/* What has been read of a connection and not been used. */
struct input {
	int fd;
	size_t len;
	char data[BUFFER_SIZE];
};

static const char *own_id;
static const char *model; /* NULL: of a plain service */
static long long born_ms;
static FILE *journal;
static pthread_mutex_t journal_lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool full, leaving, endless;
static volatile int work_ms = 15, stream_events = 10;

static void
sleep_ms(int ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000L };

	nanosleep(&ts, NULL);
}

static void
note(const char *what, const struct request *r)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	pthread_mutex_lock(&journal_lock);
	fprintf(journal, "%lld %s %s %s %s body=%zu model=%s tokens=%s %s\n",
	    (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000, what, r->id,
	    r->method, r->path, r->body_len, r->model, r->tokens, r->prefix);
	fflush(journal);
	pthread_mutex_unlock(&journal_lock);
}

/* Returns the length of the head with its empty line, or 0 at the end. */
static size_t
read_head(struct input *in)
{
	for (;;) {
		char *end = memmem(in->data, in->len, "\r\n\r\n", 4);
		ssize_t n;

		if (end != NULL)
			return (size_t)(end - in->data) + 4;
		if (in->len == sizeof(in->data))
			return 0;
		n = recv(
		    in->fd, in->data + in->len, sizeof(in->data) - in->len, 0);
		if (n <= 0)
			return 0;
		in->len += (size_t)n;
	}
}

static void
drop_input(struct input *in, size_t len)
{
	in->len -= len;
	memmove(in->data, in->data + len, in->len);
}

/* Returns false if the connection ends before. */
static bool
skip_body(struct input *in, size_t left)
{
	for (;;) {
		size_t now = left < in->len ? left : in->len;
		ssize_t n;

		drop_input(in, now);
		left -= now;
		if (left == 0)
			return true;
		n = recv(in->fd, in->data, sizeof(in->data), 0);
		if (n <= 0)
			return false;
		in->len = (size_t)n;
	}
}

static void
take_header(struct request *r, const char *name, const char *value)
{
	static const char prefix[] = "Tamarackmast-";
	const char *rest = name + strlen(prefix);
	char *to = NULL;

	if (strcasecmp(name, "Content-Length") == 0)
		r->body_len = strtoull(value, NULL, 10);
	if (strcasecmp(name, "Connection") == 0)
		r->close = strcasecmp(value, "close") == 0;
	if (strncasecmp(name, prefix, strlen(prefix)) != 0)
		return;
	if (strcasecmp(rest, "Request-Id") == 0)
		to = r->id;
	else if (strcasecmp(rest, "Expect-Instance") == 0)
		to = r->expected;
	else if (strcasecmp(rest, "Model") == 0)
		to = r->model;
	else if (strcasecmp(rest, "Token-Count") == 0)
		to = r->tokens;
	else if (strcasecmp(rest, "Prompt-Prefix") == 0)
		to = r->prefix;
	if (to != NULL)
		snprintf(to, FIELD_SIZE, "%s", value);
}

static void
parse_head(char *head, struct request *r)
{
	char *rest = head, *line = strsep(&rest, "\n");

	memset(r, 0, sizeof(*r));
	strcpy(r->id, "-");
	strcpy(r->model, "-");
	strcpy(r->tokens, "-");
	strcpy(r->prefix, "-");
	sscanf(line, "%15s %255s", r->method, r->path);
	while ((line = strsep(&rest, "\n")) != NULL) {
		char *colon = strchr(line, ':'), *value;

		line[strcspn(line, "\r")] = '\0';
		if (colon == NULL)
			continue;
		*colon = '\0';
		value = colon + 1 + strspn(colon + 1, " \t");
		take_header(r, line, value);
	}
}

static bool
answer(int fd, const struct request *r, int code, const char *more,
    const char *body)
{
	char out[HEAD_SIZE + FIELD_SIZE * 2];
	bool head = strcmp(r->method, "HEAD") == 0;
	int len = snprintf(out, sizeof(out),
	    "HTTP/1.1 %d X\r\nTamarackmast-Request-Id: %s\r\n"
	    "Tamarackmast-Instance-Id: %s\r\n%s%s%s"
	    "Content-Type: text/plain\r\nContent-Length: %zu\r\n\r\n%s",
	    code, r->id, own_id, more, leaving ? "Server-Leaving: 1\r\n" : "",
	    r->close || leaving ? "Connection: close\r\n" : "", strlen(body),
	    head ? "" : body);

	return send(fd, out, (size_t)len, MSG_NOSIGNAL) == len && !r->close &&
	       !leaving;
}

static void
set(const char *text)
{
	int value = atoi(text + strcspn(text, "=") + 1);

	if (strncmp(text, "full=", 5) == 0)
		full = value != 0;
	else if (strncmp(text, "leaving=", 8) == 0)
		leaving = value != 0;
	else if (strncmp(text, "work_ms=", 8) == 0)
		work_ms = value;
	else if (strncmp(text, "events=", 7) == 0)
		stream_events = value;
	else if (strncmp(text, "endless=", 8) == 0)
		endless = value != 0;
	else if (strncmp(text, "exit=", 5) == 0)
		_exit(0);
}

static bool
report(int fd)
{
	char body[HEAD_SIZE], out[2 * HEAD_SIZE];
	int len = snprintf(body, sizeof(body),
	    "{\"stage\":\"colocated\",\"models\":[{\"name\":\"%s\","
	    "\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":0,"
	    "\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":240783,"
	    "\"handles\":0,\"born\":%lld}",
	    model, born_ms);

	len = snprintf(out, sizeof(out),
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %d\r\n\r\n%s",
	    len, body);
	return send(fd, out, (size_t)len, MSG_NOSIGNAL) == len;
}

/* The stream has neither a length nor chunks, and ends with the connection. */
static bool
stream(int fd, const struct request *r)
{
	static char lines[BUFFER_SIZE];
	char out[HEAD_SIZE + FIELD_SIZE];
	int len = snprintf(out, sizeof(out),
	    "HTTP/1.1 200 OK\r\nTamarackmast-Request-Id: %s\r\n"
	    "Tamarackmast-Instance-Id: %s\r\n"
	    "Tamarackmast-Response-Seal: seal\r\n"
	    "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
	    r->id, own_id);

	note("ran", r);
	memset(lines, '\n', sizeof(lines));
	for (int i = 1; i <= stream_events; i++) {
		if (send(fd, out, (size_t)len, MSG_NOSIGNAL) != len)
			return false;
		sleep_ms(EVENT_MS);
		len = snprintf(
		    out, sizeof(out), "id: %d\ndata: %s-%d\n\n", i, r->id, i);
		if (endless && i == stream_events / 2) {
			while (send(fd, lines, sizeof(lines), MSG_NOSIGNAL) > 0)
				;
			return false;
		}
	}
	(void)send(fd, out, (size_t)len, MSG_NOSIGNAL);
	return false;
}

/* Returns whether the connection is kept. */
static bool
handle(int fd, const struct request *r)
{
	static const char refusal[] = "Tamarackmast-Not-Executed: 1\r\n";
	char body[FIELD_SIZE + 16];

	if (strncmp(r->path, "/-/set?", 7) == 0) {
		set(r->path + 7);
		return answer(fd, r, 200, "", "set\n");
	}
	if (strcmp(r->path, "/health") == 0)
		return answer(fd, r, 200, "", "");
	if (model != NULL && strcmp(r->path, "/-/report") == 0)
		return report(fd);
	if (r->expected[0] != '\0' && strcmp(r->expected, own_id) != 0) {
		note("refused", r);
		return answer(fd, r, 421, refusal, "");
	}
	if (full || strcmp(r->id, "-") == 0) {
		note("refused", r);
		return answer(fd, r, full ? 503 : 400, refusal, "");
	}
	if (model != NULL)
		return stream(fd, r);
	note("ran", r);
	sleep_ms(work_ms);
	snprintf(body, sizeof(body), "done %s", r->id);
	return answer(fd, r, 200, "Tamarackmast-Response-Seal: seal\r\n", body);
}

static void *
serve(void *arg)
{
	struct input *in = arg;
	struct request r;
	size_t head;

	while ((head = read_head(in)) > 0) {
		char *copy = strndup(in->data, head);

		parse_head(copy, &r);
		free(copy);
		drop_input(in, head);
		if (!skip_body(in, r.body_len) || !handle(in->fd, &r))
			break;
	}
	shutdown(in->fd, SHUT_WR);
	sleep_ms(50);
	close(in->fd);
	free(in);
	return NULL;
}

static int
listen_at(char *address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char *colon = strchr(address, ':');
	int fd = socket(AF_INET, SOCK_STREAM, 0), one = 1;

	if (colon == NULL || fd == -1)
		return -1;
	*colon = '\0';
	sin.sin_port = htons((uint16_t)atoi(colon + 1));
	sin.sin_addr.s_addr = inet_addr(address);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1 ||
	    listen(fd, 128) == -1)
		return -1;
	return fd;
}

int
main(int argc, char **argv)
{
	int listener = argc == 4 || argc == 6 ? listen_at(argv[1]) : -1;
	int one = 1, fd;

	if (listener == -1) {
		fprintf(
		    stderr, "usage: runner IP:PORT ID JOURNAL [MODEL BORN]\n");
		return 2;
	}
	own_id = argv[2];
	if (argc == 6) {
		model = argv[4];
		born_ms = atoll(argv[5]);
	}
	journal = fopen(argv[3], "w");
	if (journal == NULL)
		return 2;
	while ((fd = accept(listener, NULL, NULL)) != -1) {
		struct input *in = malloc(sizeof(*in));
		pthread_t thread;

		if (in == NULL)
			return 2;
		in->fd = fd;
		in->len = 0;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (pthread_create(&thread, NULL, serve, in) != 0)
			return 2;
		pthread_detach(thread);
	}
	return 0;
}
