/*
 * peer -- small stand-ins for the cases of the third review.
 *
 *	peer ports COUNT
 *		prints that many free ports of 127.0.0.1
 *	peer call ADDRESS METHOD PATH [FILE]
 *		one HTTP call; prints the status; FILE holds the body
 *	peer runner LISTEN ID RECORD [NAME=VALUE ...]
 *		a plain service of the platform
 *	peer client ADDRESS RECORD [NAME=VALUE ...]
 *		a client that sends requests one after the other
 *	peer proxy LISTEN=TARGET...
 *		forwards connections; at SIGUSR1 those that are open go silent
 *		for good, without an end, while new ones are forwarded
 *
 * All addresses are IP:PORT of the loopback network.  RECORD is appended to, a
 * line an event; times are in ms since PEER_T0, a time of the environment in ms
 * since 1970, or since the start of the process.
 */
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>

#define HEAD_MAX 16384
#define BODY_MAX 65536
#define NAME_MAX_BYTES 64
#define PORT_MIN 12000
#define PORT_COUNT 18000

static int record_fd = -1;

/* ---- common ---- */

static int64_t
now_ms(void)
{
	static int64_t start;
	const char *base = getenv("PEER_T0");
	struct timespec ts;
	int64_t now;

	clock_gettime(CLOCK_REALTIME, &ts);
	now = ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
	if (start == 0)
		start = base == NULL ? now : strtoll(base, NULL, 10);
	return now - start;
}

static void
sleep_ms(int64_t ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

	while (nanosleep(&ts, &ts) == -1 && errno == EINTR)
		;
}

static void
die(const char *what)
{
	perror(what);
	exit(2);
}

static void __attribute__((format(printf, 1, 2)))
record(const char *format, ...)
{
	char line[512];
	va_list ap;
	int len = snprintf(line, sizeof(line), "%lld ", (long long)now_ms());

	va_start(ap, format);
	len +=
	    vsnprintf(line + len, sizeof(line) - (size_t)len - 1, format, ap);
	va_end(ap);
	line[len++] = '\n';
	if (write(record_fd, line, (size_t)len) != len)
		die("record");
}

static void
open_record(const char *path)
{
	record_fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (record_fd == -1)
		die(path);
	(void)now_ms();
}

/* The value of NAME=VALUE among the arguments, or def. */
static const char *
option(char **args, const char *name, const char *def)
{
	size_t len = strlen(name);

	for (; *args != NULL; args++) {
		if (strncmp(*args, name, len) == 0 && (*args)[len] == '=')
			return *args + len + 1;
	}
	return def;
}

static long
number(char **args, const char *name, long def)
{
	const char *text = option(args, name, NULL);

	return text == NULL ? def : strtol(text, NULL, 10);
}

static struct sockaddr_in
parse_address(const char *text)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char host[NAME_MAX_BYTES];
	const char *colon = strchr(text, ':');

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
		fprintf(stderr, "malformed address %s\n", text);
		exit(2);
	}
	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	sin.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, host, &sin.sin_addr) != 1)
		die(host);
	return sin;
}

static int
write_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n == -1 && errno == EINTR)
			continue;
		if (n <= 0)
			return -1;
		data += n;
		len -= (size_t)n;
	}
	return 0;
}

static int
connect_to(const char *address, int timeout_ms)
{
	struct sockaddr_in sin = parse_address(address);
	struct timeval tv = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	if (fd == -1)
		die("socket");
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	(void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1) {
		close(fd);
		return -1;
	}
	return fd;
}

static void
start_thread(void *(*run)(void *), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, arg) != 0)
		die("thread");
	pthread_detach(thread);
}

/* ---- messages ---- */

struct message {
	char head[HEAD_MAX]; /* with the empty line at its end */
	size_t head_len;
	char body[BODY_MAX + 1];
	size_t body_len;
	bool has_length;
	bool complete; /* by its length, or by an end of the connection */
	bool reset; /* the connection */
};

/* Copies the value of a header; "" if there is none. */
static void
header(const struct message *m, const char *name, char *out, size_t size)
{
	size_t len = strlen(name);
	const char *line = strchr(m->head, '\n');

	out[0] = '\0';
	for (; line != NULL; line = strchr(line, '\n')) {
		line++;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		snprintf(out, size, "%.*s", (int)strcspn(line, "\r\n"), line);
		return;
	}
}

/* Whether the answer may have a body without a length (not a request). */
static int
read_message(int fd, struct message *m, bool to_end)
{
	char value[NAME_MAX_BYTES];
	size_t length = 0;
	ssize_t n;

	memset(m, 0, sizeof(*m));
	while (strstr(m->head, "\r\n\r\n") == NULL) {
		if (m->head_len == sizeof(m->head) - 1)
			return -1;
		n = recv(fd, m->head + m->head_len, 1, 0);
		m->reset = n == -1;
		if (n <= 0)
			return -1;
		m->head_len++;
	}
	header(m, "Content-Length", value, sizeof(value));
	m->has_length = value[0] != '\0';
	if (m->has_length)
		length = strtoul(value, NULL, 10);
	else
		length = to_end ? BODY_MAX : 0;
	if (length > BODY_MAX)
		return -1;
	while (m->body_len < length) {
		n = recv(fd, m->body + m->body_len, length - m->body_len, 0);
		m->reset = n == -1;
		if (n <= 0)
			break;
		m->body_len += (size_t)n;
	}
	m->complete =
	    m->has_length ? m->body_len == length : !m->reset || !to_end;
	return 0;
}

/* ---- ports and calls ---- */

/*
 * Below the range that the system takes ports of outgoing connections from: one
 * of those could be taken before the program listens there.
 */
static int
print_ports(int count)
{
	unsigned seed = (unsigned)getpid() ^ (unsigned)time(NULL) << 12;
	int found = 0, on = 1;

	for (int tries = 0; found < count && tries < 1000; tries++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		struct sockaddr_in sin = parse_address("127.0.0.1:0");
		int port = PORT_MIN + rand_r(&seed) % PORT_COUNT;

		sin.sin_port = htons((uint16_t)port);
		(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		/* Kept until the exit, so that no port is found twice. */
		if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
		    listen(fd, 1) == 0) {
			printf("%d\n", port);
			found++;
		}
	}
	return found == count ? 0 : 2;
}

static int
call(
    const char *address, const char *method, const char *path, const char *file)
{
	static struct message m;
	static char body[BODY_MAX];
	char head[HEAD_MAX];
	size_t len = 0;
	FILE *f = file == NULL ? NULL : fopen(file, "r");
	int fd;

	if (file != NULL && f == NULL)
		die(file);
	if (f != NULL)
		len = fread(body, 1, sizeof(body), f);
	fd = connect_to(address, 2000);
	if (fd == -1) {
		printf("000\n");
		return 1;
	}
	snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    method, path, address, len);
	if (write_all(fd, head, strlen(head)) == -1 ||
	    write_all(fd, body, len) == -1 ||
	    read_message(fd, &m, true) == -1) {
		printf("000\n");
		return 1;
	}
	printf("%.3s\n", m.head + strlen("HTTP/1.1 "));
	return strncmp(m.head + strlen("HTTP/1.1 "), "200", 3) == 0 ? 0 : 1;
}

/* ---- the runner ---- */

/* Of each request: work_ms of work, then an answer of answer_bytes. */
static struct {
	const char *id;
	long work_ms;
	long answer_bytes;
	/*
	 * Of 100 requests, so many are run and then fail with this status,
	 * without the header that says that they did not run.
	 */
	long fail_percent;
	long fail_status;
	bool unframed; /* answers end with their connection */
	long pause_ms; /* between the two parts of an answer */
	long crash_at; /* SIGKILL in the pause of that request; 0: never */
	long requests;
	pthread_mutex_t lock;
} runner = { .lock = PTHREAD_MUTEX_INITIALIZER };

static long
count_request(void)
{
	long number_of;

	pthread_mutex_lock(&runner.lock);
	number_of = ++runner.requests;
	pthread_mutex_unlock(&runner.lock);
	return number_of;
}

/* Spreads the failures evenly over the requests. */
static bool
is_failure(long n)
{
	return n * runner.fail_percent / 100 !=
	       (n - 1) * runner.fail_percent / 100;
}

static size_t
make_body(char *out, const char *request)
{
	int len = snprintf(out, BODY_MAX, "run of %s ", request);

	while (len < runner.answer_bytes - 1)
		out[len++] = 'x';
	out[len++] = '.';
	out[len] = '\0';
	return (size_t)len;
}

/* Returns -1 if the connection ends with the answer. */
static int
run_request(int fd, const char *request)
{
	static _Thread_local char body[BODY_MAX + 1];
	long n = count_request();
	bool fails = is_failure(n);
	size_t len = make_body(body, request);
	char head[1024], framing[64];

	record("run %s at %s", request, runner.id);
	sleep_ms(runner.work_ms);
	snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", len);
	snprintf(head, sizeof(head),
	    "HTTP/1.1 %ld %s\r\n"
	    "Tamarackmast-Request-Id: %s\r\n"
	    "Tamarackmast-Response-Seal: %zu.%s.%s\r\n"
	    "Tamarackmast-Instance-Id: %s\r\n%s\r\n",
	    fails ? runner.fail_status : 200L, fails ? "Failed" : "OK", request,
	    len, runner.id, request, runner.id, runner.unframed ? "" : framing);
	record("answer %s status %ld bytes %zu", request,
	    fails ? runner.fail_status : 200L, len);
	if (write_all(fd, head, strlen(head)) == -1 ||
	    write_all(fd, body, len / 2) == -1)
		return -1;
	if (runner.pause_ms > 0)
		sleep_ms(runner.pause_ms);
	if (runner.crash_at != 0 && n == runner.crash_at) {
		record("crash of %s in its answer to %s", runner.id, request);
		kill(getpid(), SIGKILL);
	}
	if (write_all(fd, body + len / 2, len - len / 2) == -1)
		return -1;
	return runner.unframed ? -1 : 0;
}

static void
answer_short(int fd, int status, const char *fields)
{
	char head[512];

	snprintf(head, sizeof(head),
	    "HTTP/1.1 %d Short\r\nTamarackmast-Instance-Id: %s\r\n%s"
	    "Content-Length: 0\r\n\r\n",
	    status, runner.id, fields);
	(void)write_all(fd, head, strlen(head));
}

static void *
serve_connection(void *arg)
{
	struct message *m = malloc(sizeof(*m));
	int fd = (int)(intptr_t)arg, on = 1;
	char request[NAME_MAX_BYTES], expected[NAME_MAX_BYTES], fields[128];

	if (m == NULL)
		abort();
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while (read_message(fd, m, false) == 0 && m->complete) {
		header(m, "Tamarackmast-Request-Id", request, sizeof(request));
		header(m, "Tamarackmast-Expect-Instance", expected,
		    sizeof(expected));
		snprintf(fields, sizeof(fields),
		    "Tamarackmast-Request-Id: %s\r\n", request);
		if (strncmp(m->head, "GET /health ", 12) == 0)
			answer_short(fd, 200, "");
		else if (request[0] == '\0')
			answer_short(
			    fd, 400, "Tamarackmast-Not-Executed: 1\r\n");
		else if (expected[0] != '\0' &&
			 strcmp(expected, runner.id) != 0)
			answer_short(fd, 421, fields);
		else if (run_request(fd, request) == -1)
			break;
	}
	close(fd);
	free(m);
	return NULL;
}

static void __attribute__((noreturn))
run_runner(const char *listen_address, char **args)
{
	struct sockaddr_in sin = parse_address(listen_address);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	runner.work_ms = number(args, "work_ms", 15);
	runner.answer_bytes = number(args, "answer_bytes", 800);
	runner.fail_percent = number(args, "fail_percent", 0);
	runner.fail_status = number(args, "fail_status", 503);
	runner.unframed = number(args, "unframed", 0) != 0;
	runner.pause_ms = number(args, "pause_ms", 0);
	runner.crash_at = number(args, "crash_at", 0);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1 ||
	    listen(fd, 128) == -1)
		die("listen");
	for (;;) {
		int conn = accept(fd, NULL, NULL);

		if (conn != -1)
			start_thread(serve_connection, (void *)(intptr_t)conn);
	}
}

/* ---- the client ---- */

static bool
is_promise(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* How much of the runner's body the client has, by the length in its seal. */
static const char *
body_state(const struct message *m, const char *seal)
{
	if (seal[0] == '\0')
		return "unsealed";
	if (!m->complete)
		return "cut";
	return m->body_len == strtoul(seal, NULL, 10) ? "whole" : "short";
}

/* Returns the status of the answer, or 0. */
static int
send_request(const char *address, char **args, const char *id, long subject,
    double *retry_after)
{
	static struct message m;
	long deadline_ms = number(args, "deadline_ms", 1000);
	const char *model = option(args, "model", "");
	char head[1024], body[128], seal[NAME_MAX_BYTES], after[NAME_MAX_BYTES];
	char fields[256] = "";
	int fd = connect_to(address, (int)deadline_ms), status;

	*retry_after = 0;
	/* The end of a stream is then the end of the connection. */
	if (model[0] != '\0')
		snprintf(fields, sizeof(fields),
		    "Connection: close\r\nTamarackmast-Model: %s\r\n"
		    "Tamarackmast-Token-Count: 200,50\r\n",
		    model);
	snprintf(body, sizeof(body), "subject %ld", subject);
	snprintf(head, sizeof(head),
	    "%s %s%ld HTTP/1.1\r\nHost: %s\r\nTamarackmast-Request-Id: %s\r\n"
	    "Tamarackmast-Deadline-Ms: %ld\r\n%sContent-Length: %zu\r\n\r\n",
	    option(args, "method", "POST"), option(args, "path", "/book/"),
	    subject, option(args, "host", "h.example"), id, deadline_ms, fields,
	    strlen(body));
	record("sent %s subject %ld", id, subject);
	if (fd == -1 || write_all(fd, head, strlen(head)) == -1 ||
	    write_all(fd, body, strlen(body)) == -1 ||
	    read_message(fd, &m, true) == -1) {
		record("got %s nothing", id);
		if (fd != -1)
			close(fd);
		return 0;
	}
	close(fd);
	status = atoi(m.head + strlen("HTTP/1.1 "));
	header(&m, "Tamarackmast-Response-Seal", seal, sizeof(seal));
	header(&m, "Retry-After", after, sizeof(after));
	*retry_after = strtod(after, NULL);
	record("got %s status %d bytes %zu body %s seal %s", id, status,
	    m.body_len, body_state(&m, seal), seal[0] == '\0' ? "-" : seal);
	return status;
}

/*
 * Sends count requests, gap_ms apart, each on a new connection.  One that is
 * answered with a promise is sent again once, as another request.
 */
static int
run_client(const char *address, char **args)
{
	long count = number(args, "count", 10);
	long gap_ms = number(args, "gap_ms", 200);
	const char *prefix = option(args, "prefix", "q");

	for (long i = 1; i <= count; i++) {
		for (int attempt = 1; attempt <= 2; attempt++) {
			char id[NAME_MAX_BYTES];
			double retry_after;
			int status;

			snprintf(
			    id, sizeof(id), "%s%ld-%d", prefix, i, attempt);
			status =
			    send_request(address, args, id, i, &retry_after);
			if (!is_promise(status))
				break;
			sleep_ms(retry_after > 0.3
				     ? 300
				     : (int64_t)(retry_after * 1000));
		}
		sleep_ms(gap_ms);
	}
	return 0;
}

/* ---- the proxy ---- */

static volatile sig_atomic_t silences; /* SIGUSR1 received */

struct pipe_end {
	int from;
	int to;
	int silences; /* when the connection was opened */
};

struct mapping {
	const char *listen;
	const char *target;
};

static void
on_silence(int sig)
{
	(void)sig;
	silences++;
}

/* Forwards one direction; keeps its descriptors open once it is silent. */
static void *
forward(void *arg)
{
	struct pipe_end *p = arg;
	char buf[16384];
	ssize_t n;

	while ((n = recv(p->from, buf, sizeof(buf), 0)) > 0 &&
	       p->silences == silences) {
		if (write_all(p->to, buf, (size_t)n) == -1)
			break;
	}
	if (p->silences == silences) {
		(void)shutdown(p->from, SHUT_RDWR);
		(void)shutdown(p->to, SHUT_RDWR);
	}
	free(p);
	return NULL;
}

static void
start_forward(int from, int to)
{
	struct pipe_end *p = malloc(sizeof(*p));

	if (p == NULL)
		abort();
	*p = (struct pipe_end){ from, to, silences };
	start_thread(forward, p);
}

static void *
serve_mapping(void *arg)
{
	const struct mapping *m = arg;
	struct sockaddr_in sin = parse_address(m->listen);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1 ||
	    listen(fd, 128) == -1)
		die(m->listen);
	for (;;) {
		int client = accept(fd, NULL, NULL), server;

		if (client == -1)
			continue;
		server = connect_to(m->target, 0);
		if (server == -1) {
			close(client);
			continue;
		}
		(void)setsockopt(
		    client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		start_forward(client, server);
		start_forward(server, client);
	}
	return NULL;
}

static void __attribute__((noreturn)) run_proxy(char **args)
{
	signal(SIGUSR1, on_silence);
	for (; *args != NULL; args++) {
		struct mapping *m = malloc(sizeof(*m));
		char *equal = strchr(*args, '=');

		if (m == NULL || equal == NULL)
			die(*args);
		*equal = '\0';
		*m = (struct mapping){ *args, equal + 1 };
		start_thread(serve_mapping, m);
	}
	for (;;)
		pause();
}

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc == 3 && strcmp(argv[1], "ports") == 0)
		return print_ports(atoi(argv[2]));
	if (argc >= 5 && strcmp(argv[1], "call") == 0)
		return call(argv[2], argv[3], argv[4], argv[5]);
	if (argc >= 5 && strcmp(argv[1], "runner") == 0) {
		runner.id = argv[3];
		open_record(argv[4]);
		run_runner(argv[2], argv + 5);
	}
	if (argc >= 3 && strcmp(argv[1], "proxy") == 0)
		run_proxy(argv + 2);
	if (argc >= 4 && strcmp(argv[1], "client") == 0) {
		open_record(argv[3]);
		return run_client(argv[2], argv + 4);
	}
	fprintf(stderr, "usage: see the head of peer.c\n");
	return 2;
}
