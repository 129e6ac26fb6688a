#include "harness.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <bsd/string.h>
#include <curl/curl.h>
#include <glib.h>

#include "common/synthetic_text.h"

#define PORT_FIRST 10000
#define PORT_RANGE 200
#define PORT_RANGES 100
#define POLL_MS 10

static int port_next;
static int port_end;

static const char default_declarations[] =
    "{\"kind\":\"rank\",\"name\":\"urgent\",\"spec\":"
    "{\"order\":0,\"floor_percent\":20,\"deadline_ms\":10000}}"
    "{\"kind\":\"rank\",\"name\":\"standard\",\"spec\":"
    "{\"order\":1,\"floor_percent\":20,\"deadline_ms\":20000}}"
    "{\"kind\":\"rank\",\"name\":\"draft\",\"spec\":"
    "{\"order\":2,\"floor_percent\":10,\"deadline_ms\":20000}}"
    "{\"kind\":\"model\",\"name\":\"alpha\",\"spec\":"
    "{\"memory_mib\":8000,\"max_replicas\":2}}"
    "{\"kind\":\"model\",\"name\":\"beta\",\"spec\":"
    "{\"memory_mib\":8000,\"max_replicas\":2}}"
    "{\"kind\":\"adapter\",\"name\":\"alpha-one\",\"spec\":"
    "{\"model\":\"alpha\",\"memory_mib\":60}}"
    "{\"kind\":\"service\",\"name\":\"booking\",\"spec\":"
    "{\"timeout_ms\":5000}}"
    "{\"kind\":\"deployment\",\"name\":\"all\",\"spec\":{}}";

/* ---- time and waiting ---- */

void
sleep_ms(int ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000L };

	nanosleep(&ts, NULL);
}

int64_t
now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

void
await_true(bool (*cond)(void *), void *ctx, const char *what)
{
	int64_t limit = now_ms() + HARNESS_TIMEOUT_MS;

	while (!cond(ctx)) {
		if (now_ms() > limit) {
			g_test_message("condition not met in time: %s", what);
			g_assert_cmpstr(what, ==, "true");
		}
		sleep_ms(POLL_MS);
	}
}

/* ---- ports ---- */

/*
 * Reserves a range of ports below the ephemeral ones, by a lock on a file that
 * lasts until the process ends.
 */
static void
lock_port_range(void)
{
	char path[64];
	int fd;

	mkdir("/tmp/tamarackmast-test-ports", 0777);
	for (int i = 0; i < PORT_RANGES; i++) {
		snprintf(
		    path, sizeof(path), "/tmp/tamarackmast-test-ports/%d", i);
		fd = open(path, O_CREAT | O_RDWR | O_CLOEXEC, 0666);
		if (fd == -1 || flock(fd, LOCK_EX | LOCK_NB) == -1) {
			close(fd);
			continue;
		}
		port_next = PORT_FIRST + i * PORT_RANGE;
		port_end = port_next + PORT_RANGE;
		return;
	}
	g_error("no range of ports is free");
}

static bool
port_is_free(int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;
	bool ok;

	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ok = bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
	close(fd);
	return ok;
}

void
new_address(char *out)
{
	if (port_next == 0)
		lock_port_range();
	if (port_next >= port_end)
		port_next = port_end - PORT_RANGE; /* reuse closed ports */
	while (!port_is_free(port_next))
		port_next++;
	snprintf(out, HARNESS_TEXT_SIZE, "127.0.0.1:%d", port_next++);
}

/* ---- processes ---- */

const char *
build_dir(void)
{
	const char *dir = getenv("TM_BUILD");

	return dir != NULL ? dir : "build";
}

void
proc_add_arg(struct proc *p, const char *arg)
{
	for (int i = 0; i < HARNESS_MAX_ARGS - 1; i++) {
		if (p->argv[i] != NULL)
			continue;
		p->argv[i] = strdup(arg);
		return;
	}
	g_error("too many arguments");
}

void
proc_init(struct proc *p, const char *dir, const char *name,
    const char *program, const char *sub)
{
	char path[256];

	memset(p, 0, sizeof(*p));
	strlcpy(p->name, name, sizeof(p->name));
	snprintf(p->log, sizeof(p->log), "%s/%s.log", dir, name);
	snprintf(path, sizeof(path), "%s/%s", build_dir(), program);
	proc_add_arg(p, path);
	proc_add_arg(p, sub);
}

void
proc_start(struct proc *p)
{
	int fd;

	g_assert_cmpint(p->pid, ==, 0);
	p->pid = fork();
	g_assert_cmpint(p->pid, >=, 0);
	if (p->pid != 0)
		return;
	/* A test that aborts must leave no process behind. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(p->log, O_CREAT | O_WRONLY | O_APPEND, 0666);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(p->argv[0], p->argv);
	_exit(127);
}

void
proc_signal(struct proc *p, int sig)
{
	if (p->pid > 0)
		kill(p->pid, sig);
}

int
proc_wait(struct proc *p)
{
	int status = 0;

	if (p->pid <= 0)
		return 0;
	while (waitpid(p->pid, &status, 0) == -1 && errno == EINTR)
		;
	p->pid = 0;
	return status;
}

void
proc_kill(struct proc *p)
{
	proc_signal(p, SIGKILL);
	proc_wait(p);
}

void
proc_stop(struct proc *p)
{
	int64_t limit = now_ms() + HARNESS_TIMEOUT_MS;
	int status = 0;

	if (p->pid <= 0)
		return;
	proc_signal(p, SIGTERM);
	while (waitpid(p->pid, &status, WNOHANG) == 0) {
		if (now_ms() > limit) {
			g_test_message("%s did not stop on SIGTERM", p->name);
			proc_kill(p);
			g_assert_not_reached();
		}
		sleep_ms(POLL_MS);
	}
	p->pid = 0;
	if (status != 0)
		g_test_message("%s: wait status %d", p->name, status);
	g_assert_cmpint(status, ==, 0);
}

void
proc_stop_repeatedly(struct proc *p)
{
	int64_t limit = now_ms() + HARNESS_TIMEOUT_MS;
	int status = 0;

	g_assert_cmpint(p->pid, >, 0);
	while (waitpid(p->pid, &status, WNOHANG) == 0) {
		proc_signal(p, SIGTERM);
		g_assert_cmpint(now_ms(), <, limit);
	}
	p->pid = 0;
	g_assert_cmpint(status, ==, 0);
}

bool
proc_is_running(struct proc *p)
{
	int status;

	if (p->pid <= 0)
		return false;
	if (waitpid(p->pid, &status, WNOHANG) == 0)
		return true;
	p->pid = 0;
	return false;
}

void
proc_assert_running(struct proc *p)
{
	int status = 0;
	pid_t rc = p->pid <= 0 ? -1 : waitpid(p->pid, &status, WNOHANG);

	if (rc != 0)
		g_error("%s has ended, wait status %d", p->name, status);
}

bool
proc_log_contains(const struct proc *p, const char *text)
{
	char *data = NULL;
	bool found;

	if (!g_file_get_contents(p->log, &data, NULL, NULL))
		return false;
	found = strstr(data, text) != NULL;
	g_free(data);
	return found;
}

void
proc_clear(struct proc *p)
{
	for (int i = 0; i < HARNESS_MAX_ARGS; i++)
		free(p->argv[i]);
	memset(p, 0, sizeof(*p));
}

/* ---- HTTP ---- */

struct sink {
	GString *data;
	struct response *response;
};

static size_t
on_body(char *data, size_t size, size_t count, void *arg)
{
	struct sink *sink = arg;

	g_string_append_len(sink->data, data, (gssize)(size * count));
	return size * count;
}

static size_t
on_header(char *data, size_t size, size_t count, void *arg)
{
	struct sink *sink = arg;
	size_t len = size * count;

	if (len > 13 && g_ascii_strncasecmp(data, "Retry-After: ", 13) == 0)
		sink->response->retry_after_s = g_ascii_strtod(data + 13, NULL);
	if (len > 6 && g_ascii_strncasecmp(data, "ETag: ", 6) == 0) {
		size_t n = len - 8 < sizeof(sink->response->etag)
			       ? len - 8
			       : sizeof(sink->response->etag) - 1;

		memcpy(sink->response->etag, data + 6, n);
		sink->response->etag[n] = '\0';
	}
	return len;
}

struct exchange {
	CURL *curl;
	struct curl_slist *list;
	struct sink sink;
};

static void
exchange_open(struct exchange *x, struct response *resp, const char *method,
    const char *address, const char *path, const char *const *headers,
    const char *body)
{
	char url[1024];

	memset(resp, 0, sizeof(*resp));
	memset(x, 0, sizeof(*x));
	x->sink.data = g_string_new(NULL);
	x->sink.response = resp;
	x->curl = curl_easy_init();
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	for (; headers != NULL && *headers != NULL; headers++)
		x->list = curl_slist_append(x->list, *headers);
	x->list = curl_slist_append(x->list, "Expect:");
	curl_easy_setopt(x->curl, CURLOPT_URL, url);
	curl_easy_setopt(x->curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(x->curl, CURLOPT_HTTPHEADER, x->list);
	curl_easy_setopt(x->curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(x->curl, CURLOPT_WRITEDATA, &x->sink);
	curl_easy_setopt(x->curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(x->curl, CURLOPT_HEADERDATA, &x->sink);
	curl_easy_setopt(x->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(
	    x->curl, CURLOPT_TIMEOUT_MS, (long)2 * HARNESS_TIMEOUT_MS);
	curl_easy_setopt(x->curl, CURLOPT_PRIVATE, x);
	if (body != NULL) {
		curl_easy_setopt(
		    x->curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
		curl_easy_setopt(x->curl, CURLOPT_COPYPOSTFIELDS, body);
	}
}

static void
exchange_close(struct exchange *x, CURLcode rc)
{
	struct response *resp = x->sink.response;

	curl_easy_getinfo(x->curl, CURLINFO_RESPONSE_CODE, &resp->code);
	curl_easy_getinfo(x->curl, CURLINFO_TOTAL_TIME, &resp->seconds);
	resp->cut = rc != CURLE_OK;
	if (resp->cut && x->sink.data->len == 0)
		resp->code = 0;
	resp->len = x->sink.data->len;
	resp->body = g_string_free(x->sink.data, FALSE);
	resp->doc = json_loads(resp->body, JSON_DECODE_ANY, NULL);
	curl_slist_free_all(x->list);
	curl_easy_cleanup(x->curl);
}

void
http_call(struct response *resp, const char *method, const char *address,
    const char *path, const char *const *headers, const char *body)
{
	struct exchange x;

	exchange_open(&x, resp, method, address, path, headers, body);
	exchange_close(&x, curl_easy_perform(x.curl));
}

void
http_call_batch(struct batch_call *calls, size_t count)
{
	struct exchange *exchanges = g_new0(struct exchange, count);
	CURLM *multi = curl_multi_init();
	int64_t start = now_ms();
	size_t started = 0, finished = 0;
	int running, left;
	CURLMsg *msg;

	while (finished < count) {
		while (started < count &&
		       now_ms() - start >= calls[started].start_after_ms) {
			struct batch_call *c = &calls[started];

			exchange_open(&exchanges[started], &c->response,
			    c->method, c->address, c->path, c->headers,
			    c->body);
			curl_multi_add_handle(multi, exchanges[started++].curl);
		}
		curl_multi_perform(multi, &running);
		while ((msg = curl_multi_info_read(multi, &left)) != NULL) {
			struct exchange *x;
			CURLcode rc = msg->data.result;
			CURL *curl = msg->easy_handle;

			curl_easy_getinfo(curl, CURLINFO_PRIVATE, &x);
			curl_multi_remove_handle(multi, curl);
			exchange_close(x, rc);
			finished++;
		}
		curl_multi_poll(multi, NULL, 0, POLL_MS, NULL);
	}
	curl_multi_cleanup(multi);
	g_free(exchanges);
}

void
response_clear(struct response *resp)
{
	g_free(resp->body);
	json_decref(resp->doc);
	memset(resp, 0, sizeof(*resp));
}

const char *
response_text(const struct response *resp, const char *field)
{
	const char *text = json_string_value(json_object_get(resp->doc, field));

	return text == NULL ? "" : text;
}

int64_t
response_int(const struct response *resp, const char *field)
{
	return json_integer_value(json_object_get(resp->doc, field));
}

void
set_faults(const char *address, const char *json)
{
	struct response resp;

	http_call(&resp, "POST", address, "/faults", NULL, json);
	g_assert_cmpint(resp.code, ==, 200);
	response_clear(&resp);
}

int64_t
read_journal_int(const char *address, const char *field)
{
	struct response resp;
	int64_t value;

	http_call(&resp, "GET", address, "/journal", NULL, NULL);
	g_assert_cmpint(resp.code, ==, 200);
	g_assert_nonnull(json_object_get(resp.doc, field));
	value = response_int(&resp, field);
	response_clear(&resp);
	return value;
}

int64_t
read_metric(const char *address, const char *series)
{
	struct response resp;
	char needle[256];
	const char *at;
	int64_t value = 0;

	http_call(&resp, "GET", address, "/metrics", NULL, NULL);
	snprintf(needle, sizeof(needle), "\n%s ", series);
	at = resp.body == NULL ? NULL : strstr(resp.body, needle);
	if (at != NULL)
		value = strtoll(at + strlen(needle), NULL, 10);
	response_clear(&resp);
	return value;
}

char *
expected_text(const char *prompt, unsigned tokens)
{
	uint64_t seed = synthetic_seed(prompt, strlen(prompt));
	char token[SYNTHETIC_TOKEN_LEN + 1];
	GString *text = g_string_new(NULL);

	for (unsigned i = 0; i < tokens; i++) {
		synthetic_token(token, seed, i);
		g_string_append(text, token);
	}
	return g_string_free(text, FALSE);
}

/* ---- deployments ---- */

void
proc_start_proxy(struct proc *p, const char *dir, const char *name,
    char *control, const char *listen, const char *target)
{
	char map[2 * HARNESS_TEXT_SIZE + 2];

	proc_init(p, dir, name, "tamarackmast-standin", "proxy");
	new_address(control);
	snprintf(map, sizeof(map), "%s=%s", listen, target);
	proc_add_arg(p, "--listen");
	proc_add_arg(p, control);
	proc_add_arg(p, "--map");
	proc_add_arg(p, map);
	proc_start(p);
}

static void
start_standin(struct cluster *c, struct proc *p, const char *name,
    const char *role, char *address, const char *const *more)
{
	proc_init(p, c->dir, name, "tamarackmast-standin", role);
	new_address(address);
	proc_add_arg(p, "--listen");
	proc_add_arg(p, address);
	for (; more != NULL && *more != NULL; more++)
		proc_add_arg(p, *more);
	proc_start(p);
}

static void
write_ini(struct cluster *c, struct member *m, const char *log,
    const char *backend, const char *more)
{
	FILE *f = fopen(m->ini, "we");

	g_assert_nonnull(f);
	fprintf(f,
	    "[daemon]\nvm = %s\nzone = %s\n[rpc]\nlisten = %s\n"
	    "reconnect_ms = 100\n[http]\nlisten = %s\n[log]\nservice = %s\n"
	    "[vms]\nservice = %s\nrefresh_ms = 100\nbytes_per_sec = "
	    "1000000\n%s%s\n",
	    m->vm, m->zone, m->rpc_listen, m->http, log, c->vms, backend,
	    more ? more : "");
	fclose(f);
}

static void
setup_member(struct cluster *c, struct member *m, const char *role, int i,
    const char *backend, const char *more)
{
	char log_via[HARNESS_TEXT_SIZE], name[2 * HARNESS_TEXT_SIZE];

	snprintf(m->vm, sizeof(m->vm), "%s-%d", role, i + 1);
	snprintf(m->zone, sizeof(m->zone), "zone-%d", i % 3 + 1);
	snprintf(m->ini, sizeof(m->ini), "%s/%s.ini", c->dir, m->vm);
	new_address(m->rpc_listen);
	new_address(m->http);
	strlcpy(m->address, m->rpc_listen, sizeof(m->address));
	strlcpy(log_via, c->log, sizeof(log_via));
	if (c->opts.proxied) {
		new_address(m->address);
		new_address(log_via);
		snprintf(name, sizeof(name), "%s-rpc-proxy", m->vm);
		proc_start_proxy(&m->rpc_proxy, c->dir, name,
		    m->rpc_proxy_control, m->address, m->rpc_listen);
		snprintf(name, sizeof(name), "%s-log-proxy", m->vm);
		proc_start_proxy(&m->log_proxy, c->dir, name,
		    m->log_proxy_control, log_via, c->log);
	}
	write_ini(c, m, log_via, backend, more);
	proc_init(&m->daemon, c->dir, m->vm, "tamarackmast",
	    strcmp(role, "entry") == 0 ? "entry" : "agent");
	proc_add_arg(&m->daemon, "--config");
	proc_add_arg(&m->daemon, m->ini);
}

static void
setup_engine(struct cluster *c, int i)
{
	struct member *m = &c->engines[i];
	char name[HARNESS_TEXT_SIZE], backend[128];
	const char *args[HARNESS_MAX_STANDIN_ARGS + 4];
	int n = 0;

	args[n++] = "--weights";
	args[n++] = c->weights;
	if (c->opts.fencing)
		args[n++] = "--fencing";
	for (int k = 0; k < HARNESS_MAX_STANDIN_ARGS && c->opts.engine_args[k];
	     k++)
		args[n++] = c->opts.engine_args[k];
	args[n] = NULL;
	snprintf(name, sizeof(name), "engine-standin-%d", i + 1);
	start_standin(c, &m->backend_proc, name, "engine", m->backend, args);
	snprintf(
	    backend, sizeof(backend), "[backend]\nengine = %s\n", m->backend);
	setup_member(c, m, "engine", i, backend, c->opts.agent_settings);
}

static void
setup_service(struct cluster *c, int i)
{
	struct member *m = &c->services[i];
	char name[HARNESS_TEXT_SIZE], backend[160];

	snprintf(name, sizeof(name), "service-standin-%d", i + 1);
	start_standin(c, &m->backend_proc, name, "service", m->backend,
	    c->opts.service_args);
	snprintf(backend, sizeof(backend),
	    "[backend]\nservice = %s\nservice_name = booking\n", m->backend);
	setup_member(c, m, "service", i, backend, c->opts.agent_settings);
}

bool
is_listening(void *address)
{
	struct response resp;
	bool ok;

	http_call(&resp, "GET", address, "/faults", NULL, NULL);
	ok = resp.code == 200;
	response_clear(&resp);
	return ok;
}

bool
is_ready(void *address)
{
	struct response resp;
	bool ok;

	http_call(&resp, "GET", address, "/readyz", NULL, NULL);
	ok = resp.code == 200;
	response_clear(&resp);
	return ok;
}

void
cluster_set_vm_state(struct cluster *c, const struct member *m,
    const char *role, const char *state)
{
	struct response resp;
	char body[512];

	snprintf(body, sizeof(body),
	    "{\"id\":\"%s\",\"zone\":\"%s\",\"role\":\"%s\",\"service\":\"%s\","
	    "\"address\":\"%s\",\"state\":\"%s\"}",
	    m->vm, m->zone, role, strcmp(role, "service") == 0 ? "booking" : "",
	    m->address, state);
	http_call(&resp, "POST", c->vms, "/vms", NULL, body);
	g_assert_cmpint(resp.code, ==, 200);
	response_clear(&resp);
}

static void
apply_declarations(struct cluster *c)
{
	const char *docs =
	    c->opts.declarations ? c->opts.declarations : default_declarations;
	char path[256], *argv_text;
	int status;

	snprintf(path, sizeof(path), "%s/declarations.json", c->dir);
	g_assert_true(g_file_set_contents(path, docs, -1, NULL));
	argv_text = g_strdup_printf("%s/tamarackmast ctl -e %s apply -f %s",
	    build_dir(), c->entries[0].http, path);
	g_assert_true(
	    g_spawn_command_line_sync(argv_text, NULL, NULL, &status, NULL));
	g_assert_cmpint(status, ==, 0);
	g_free(argv_text);
}

static bool
all_models_have_slots(void *ctx)
{
	struct cluster *c = ctx;
	struct response st, models;
	size_t with_slots = 0, declared, i;
	json_t *m;

	http_call(
	    &st, "GET", c->entries[0].http, "/apis/v1/status", NULL, NULL);
	http_call(
	    &models, "GET", c->entries[0].http, "/apis/v1/model", NULL, NULL);
	declared = json_array_size(json_object_get(models.doc, "items"));
	json_array_foreach(json_object_get(st.doc, "models"), i, m)
	    with_slots += json_array_size(json_object_get(m, "slots")) > 0;
	response_clear(&st);
	response_clear(&models);
	return with_slots >= declared;
}

static void
start_daemons(struct cluster *c)
{
	for (int i = 0; i < c->opts.engines; i++)
		proc_start(&c->engines[i].daemon);
	for (int i = 0; i < c->opts.services; i++)
		proc_start(&c->services[i].daemon);
	for (int i = 0; i < c->opts.entries; i++)
		proc_start(&c->entries[i].daemon);
	for (int i = 0; i < c->opts.entries; i++)
		await_true(is_ready, c->entries[i].http, "entry ready");
	for (int i = 0; i < c->opts.engines; i++)
		await_true(is_ready, c->engines[i].http, "agent ready");
	for (int i = 0; i < c->opts.services; i++)
		await_true(is_ready, c->services[i].http, "agent ready");
	if (c->opts.no_declarations)
		return;
	apply_declarations(c);
	if (c->opts.engines > 0)
		await_true(all_models_have_slots, c, "every model has a slot");
}

static void
start_platform_standins(struct cluster *c)
{
	start_standin(
	    c, &c->log_proc, "log-standin", "log", c->log, c->opts.log_args);
	start_standin(c, &c->vms_proc, "vms-standin", "vms", c->vms, NULL);
	start_standin(c, &c->weights_proc, "weights-standin", "weights",
	    c->weights, NULL);
	await_true(is_listening, c->log, "log stand-in");
	await_true(is_listening, c->vms, "vms stand-in");
	await_true(is_listening, c->weights, "weights stand-in");
}

struct cluster *
cluster_start(const struct cluster_options *opts)
{
	struct cluster *c = g_new0(struct cluster, 1);

	c->opts = *opts;
	if (c->opts.entries == 0)
		c->opts.entries = 2;
	if (c->opts.engines == 0)
		c->opts.engines = 2;
	if (c->opts.services == 0)
		c->opts.services = 1;
	snprintf(c->dir, sizeof(c->dir), "%s/run-XXXXXX", build_dir());
	g_assert_nonnull(mkdtemp(c->dir));
	start_platform_standins(c);
	for (int i = 0; i < c->opts.engines; i++) {
		setup_engine(c, i);
		cluster_set_vm_state(c, &c->engines[i], "engine", "live");
	}
	for (int i = 0; i < c->opts.services; i++) {
		setup_service(c, i);
		cluster_set_vm_state(c, &c->services[i], "service", "live");
	}
	for (int i = 0; i < c->opts.entries; i++) {
		setup_member(
		    c, &c->entries[i], "entry", i, "", c->opts.entry_settings);
		cluster_set_vm_state(c, &c->entries[i], "entry", "live");
	}
	for (int i = 0; i < c->opts.engines; i++)
		await_true(
		    is_listening, c->engines[i].backend, "engine stand-in");
	for (int i = 0; i < c->opts.services; i++)
		await_true(
		    is_listening, c->services[i].backend, "service stand-in");
	if (!c->opts.no_start)
		start_daemons(c);
	return c;
}

static void
kill_member(struct member *m)
{
	struct proc *procs[] = { &m->daemon, &m->backend_proc, &m->rpc_proxy,
		&m->log_proxy };

	for (size_t i = 0; i < G_N_ELEMENTS(procs); i++) {
		proc_kill(procs[i]);
		proc_clear(procs[i]);
	}
}

int64_t
proc_cpu_ms(const struct proc *p)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)p->pid);
	char *text = NULL;
	char **fields;
	int64_t ticks;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	fields = g_strsplit(strrchr(text, ')') + 2, " ", 16);
	ticks = g_ascii_strtoll(fields[11], NULL, 10) +
		g_ascii_strtoll(fields[12], NULL, 10);
	g_strfreev(fields);
	g_free(text);
	g_free(path);
	return ticks * 1000 / sysconf(_SC_CLK_TCK);
}

int64_t
proc_status_kb(const struct proc *p, const char *name)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)p->pid);
	char *text = NULL;
	const char *at;
	int64_t kb;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	at = strstr(text, name);
	g_assert_nonnull(at);
	kb = g_ascii_strtoll(at + strlen(name), NULL, 10);
	g_free(text);
	g_free(path);
	return kb;
}

void
remove_dir(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *file = g_build_filename(path, name, NULL);

		unlink(file);
		g_free(file);
	}
	if (dir != NULL)
		g_dir_close(dir);
	rmdir(path);
}

void
cluster_stop(struct cluster *c)
{
	for (int i = 0; i < HARNESS_MAX_MEMBERS; i++) {
		kill_member(&c->entries[i]);
		kill_member(&c->engines[i]);
		kill_member(&c->services[i]);
	}
	proc_kill(&c->log_proc);
	proc_kill(&c->vms_proc);
	proc_kill(&c->weights_proc);
	proc_clear(&c->log_proc);
	proc_clear(&c->vms_proc);
	proc_clear(&c->weights_proc);
	if (getenv("TM_KEEP_LOGS") != NULL)
		g_test_message("logs are in %s", c->dir);
	else
		remove_dir(c->dir);
	g_free(c);
}
