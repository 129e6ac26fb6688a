/*
 * Access by certificate and token.  Operators without valid credentials, or
 * with a role that doesn't cover the request, must be refused with the reason;
 * a reload must not replace a valid certificate by an expired one; no token may
 * get into a log.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include <glib.h>

#include "harness.h"

#define READ_TOKEN "read-token-0123456789"
#define WRITE_TOKEN "write-token-0123456789"

static struct cluster *cluster;
static char *dir;

struct output {
	int status;
	char *out;
	char *err;
};

static void
run_command(struct output *o, const char *format, ...)
{
	va_list args;
	char *line;
	int status = 0;

	va_start(args, format);
	line = g_strdup_vprintf(format, args);
	va_end(args);
	g_assert_true(
	    g_spawn_command_line_sync(line, &o->out, &o->err, &status, NULL));
	o->status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	g_free(line);
}

static void
output_clear(struct output *o)
{
	g_free(o->out);
	g_free(o->err);
}

/* Issues a certificate; with negative days it has already expired. */
static void
make_certificate(const char *name, const char *role, const char *days)
{
	struct output o;

	run_command(&o,
	    "openssl req -newkey rsa:2048 -nodes -keyout %s/%s.key "
	    "-out %s/%s.csr -subj /OU=%s/CN=%s",
	    dir, name, dir, name, role, name);
	g_assert_cmpint(o.status, ==, 0);
	output_clear(&o);
	run_command(&o,
	    "openssl x509 -req -in %s/%s.csr -CA %s/ca.pem -CAkey %s/ca.key "
	    "-CAcreateserial -days %s -out %s/%s.pem",
	    dir, name, dir, dir, days, dir, name);
	if (o.status != 0)
		g_error("%s", o.err);
	output_clear(&o);
}

static void
run_ctl(struct output *o, const char *options, const char *words)
{
	const char *build = getenv("TM_BUILD");

	run_command(o, "%s/tamarackmast ctl -e %s %s %s",
	    build ? build : "build", cluster->entries[0].http, options, words);
}

static char *
tls_options(const char *certificate, const char *token)
{
	GString *s = g_string_new(NULL);

	g_string_append_printf(s, "--authority %s/ca.pem ", dir);
	if (certificate != NULL)
		g_string_append_printf(s,
		    "--certificate %s/%s.pem --key %s/%s.key ", dir,
		    certificate, dir, certificate);
	if (token != NULL)
		g_string_append_printf(s, "--token-file %s/%s ", dir, token);
	return g_string_free(s, FALSE);
}

static void
assert_ctl(const char *certificate, const char *token, const char *words,
    int status, const char *text)
{
	char *options = tls_options(certificate, token);
	struct output o;

	run_ctl(&o, options, words);
	if (o.status != status ||
	    (strstr(o.out, text) == NULL && strstr(o.err, text) == NULL))
		g_error(
		    "ctl %s: status %d\n%s%s", words, o.status, o.out, o.err);
	output_clear(&o);
	g_free(options);
}

static void
test_roles(void)
{
	char *file = g_build_filename(dir, "rank.json", NULL);
	char *words = g_strdup_printf("apply -f %s", file);

	g_assert_true(g_file_set_contents(file,
	    "{\"kind\":\"rank\",\"name\":\"new\",\"spec\":{\"order\":4}}", -1,
	    NULL));
	assert_ctl(NULL, NULL, "list rank", 3, "UNAUTHORIZED");
	assert_ctl(NULL, "wrong.token", "list rank", 3, "UNAUTHORIZED");
	assert_ctl(NULL, "read.token", "list rank", 0, "urgent");
	assert_ctl(NULL, "read.token", words, 3, "FORBIDDEN");
	assert_ctl(NULL, "write.token", words, 0, "accepted 1 declarations");
	assert_ctl("reader", NULL, "list rank", 0, "new");
	assert_ctl("reader", NULL, "delete rank new", 3, "FORBIDDEN");
	assert_ctl("writer", NULL, "delete rank new", 0, "deleted rank new");
	g_free(file);
	g_free(words);
}

static void
test_expired_operator(void)
{
	struct output o;

	assert_ctl("expired", NULL, "list rank", 2, "the certificate expired");
	run_command(&o,
	    "curl -s --cacert %s/ca.pem --cert %s/expired.pem --key "
	    "%s/expired.key --connect-to entry:443:%s https://entry/apis/v1/",
	    dir, dir, dir, cluster->entries[0].http);
	g_assert_cmpint(o.status, !=, 0);
	output_clear(&o);
	g_assert_true(proc_log_contains(
	    &cluster->entries[0].daemon, "certificate has expired"));
}

static void
test_plaintext_refused(void)
{
	struct output o;

	run_ctl(&o, "", "list rank");
	g_assert_cmpint(o.status, ==, 4);
	output_clear(&o);
}

/* An operator's certificate is refused at a daemon's RPC address. */
static void
test_wrong_daemon(void)
{
	struct output o;

	run_command(&o,
	    "timeout 5 openssl s_client -connect %s -CAfile %s/ca.pem "
	    "-cert %s/writer.pem -key %s/writer.key -quiet",
	    cluster->engines[0].rpc_listen, dir, dir, dir);
	output_clear(&o);
	g_assert_true(proc_log_contains(
	    &cluster->engines[0].daemon, "its role is not daemon"));
}

static void
test_completion(void)
{
	struct output o;

	run_command(&o,
	    "curl -s -m 20 --cacert %s/ca.pem --connect-to "
	    "entry:443:%s https://entry/v1/completions -d "
	    "{\\\"model\\\":\\\"alpha\\\",\\\"prompt\\\":\\\"x\\\","
	    "\\\"max_tokens\\\":2}",
	    dir, cluster->entries[0].http);
	if (o.status != 0 || strstr(o.out, "finish_reason") == NULL)
		g_error("curl: %d %s %s", o.status, o.out, o.err);
	output_clear(&o);
}

static bool
entry_has_logged(void *ctx)
{
	return proc_log_contains(&cluster->entries[0].daemon, ctx);
}

/* A new certificate is loaded; an expired one doesn't replace it. */
static void
test_reload(void)
{
	struct proc *entry = &cluster->entries[0].daemon;

	make_certificate("entry", "daemon", "2");
	proc_signal(entry, SIGHUP);
	await_true(entry_has_logged, (void *)"certificates reloaded", "reload");
	assert_ctl(NULL, "read.token", "list rank", 0, "urgent");
	make_certificate("entry", "daemon", "-1");
	proc_signal(entry, SIGHUP);
	await_true(
	    entry_has_logged, (void *)"the certificate expired", "refusal");
	assert_ctl(NULL, "read.token", "list rank", 0, "urgent");
}

/* ---- set-up ---- */

static void
write_text(const char *name, const char *text)
{
	char *path = g_build_filename(dir, name, NULL);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(path);
}

static bool
slot_is_decided(void *ctx)
{
	char *options = tls_options("writer", NULL);
	struct output o;
	bool yes;

	run_ctl(&o, options, "-j status");
	yes = o.status == 0 && strstr(o.out, "\"runner\"") != NULL;
	output_clear(&o);
	g_free(options);
	return yes;
}

static bool
entry_is_ready(void *ctx)
{
	char *options = tls_options("writer", NULL);
	struct output o;
	bool yes;

	run_ctl(&o, options, "list");
	yes = o.status == 0;
	output_clear(&o);
	g_free(options);
	return yes;
}

static void
start_daemons(void)
{
	char *file = g_build_filename(dir, "all.json", NULL);
	char *words = g_strdup_printf("apply -f %s", file);

	proc_start(&cluster->entries[0].daemon);
	proc_start(&cluster->engines[0].daemon);
	await_true(entry_is_ready, NULL, "entry is ready");
	write_text("all.json",
	    "{\"kind\":\"rank\",\"name\":\"urgent\",\"spec\":{\"order\":0}}"
	    "{\"kind\":\"model\",\"name\":\"alpha\",\"spec\":"
	    "{\"memory_mib\":8000}}"
	    "{\"kind\":\"deployment\",\"name\":\"all\",\"spec\":{}}");
	assert_ctl("writer", NULL, words, 0, "accepted 3 declarations");
	await_true(slot_is_decided, NULL, "a slot is decided");
	g_free(file);
	g_free(words);
}

static void
make_files(void)
{
	struct output o;

	run_command(&o,
	    "openssl req -x509 -newkey rsa:2048 -nodes -days 2 "
	    "-keyout %s/ca.key -out %s/ca.pem -subj /CN=authority",
	    dir, dir);
	g_assert_cmpint(o.status, ==, 0);
	output_clear(&o);
	make_certificate("entry", "daemon", "2");
	make_certificate("agent", "daemon", "2");
	make_certificate("reader", "read", "2");
	make_certificate("writer", "write", "2");
	make_certificate("expired", "write", "-1");
	write_text("read.token", READ_TOKEN "\n");
	write_text("write.token", WRITE_TOKEN "\n");
	write_text("wrong.token", "wrong-token-0123456789\n");
	write_text("tokens", "# operators\n" READ_TOKEN
			     " read wardens\n" WRITE_TOKEN " write office\n");
}

/* Runs last, after tokens were used and refused. */
static void
test_no_secrets_logged(void)
{
	g_assert_false(
	    proc_log_contains(&cluster->entries[0].daemon, "token-0123456789"));
}

int
main(int argc, char **argv)
{
	struct cluster_options opts = {
		.entries = 1,
		.engines = 1,
		.no_start = true,
	};
	struct output o;
	char *entry, *agent;
	int rc;

	g_test_init(&argc, &argv, NULL);
	dir = g_dir_make_tmp("tm-tls-XXXXXX", NULL);
	make_files();
	entry = g_strdup_printf(
	    "[tls]\ncertificate = %s/entry.pem\nkey = %s/entry.key\n"
	    "authority = %s/ca.pem\n[operators]\ntokens = %s/tokens\n",
	    dir, dir, dir, dir);
	agent = g_strdup_printf(
	    "[tls]\ncertificate = %s/agent.pem\nkey = %s/agent.key\n"
	    "authority = %s/ca.pem\n",
	    dir, dir, dir);
	opts.entry_settings = entry;
	opts.agent_settings = agent;
	cluster = cluster_start(&opts);
	start_daemons();
	g_test_add_func("/tls/roles", test_roles);
	g_test_add_func("/tls/expired_operator", test_expired_operator);
	g_test_add_func("/tls/plain_text", test_plaintext_refused);
	g_test_add_func("/tls/wrong_daemon", test_wrong_daemon);
	g_test_add_func("/tls/completion", test_completion);
	g_test_add_func("/tls/reload", test_reload);
	g_test_add_func("/tls/no_secrets_logged", test_no_secrets_logged);
	rc = g_test_run();
	cluster_stop(cluster);
	run_command(&o, "rm -r %s", dir);
	output_clear(&o);
	g_free(entry);
	g_free(agent);
	g_free(dir);
	return rc;
}
