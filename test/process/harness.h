/*
 * harness -- real processes for tests: a deployment of daemons and stand-ins on
 * loopback, faults, and blocking HTTP.
 *
 * Waits are for conditions; HARNESS_TIMEOUT_MS only ends a test that hangs.
 */
#ifndef TEST_HARNESS_H
#define TEST_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

#define HARNESS_TIMEOUT_MS 30000
#define HARNESS_MAX_MEMBERS 16
#define HARNESS_MAX_ARGS 24
#define HARNESS_TEXT_SIZE 64

/* One process that the test started. */
struct proc {
	char name[HARNESS_TEXT_SIZE];
	char *argv[HARNESS_MAX_ARGS];
	char log[256]; /* standard error */
	pid_t pid; /* 0: not running */
};

/* A daemon with its links; the proxies are there if options.proxied. */
struct member {
	char vm[HARNESS_TEXT_SIZE];
	char zone[HARNESS_TEXT_SIZE];
	char rpc_listen[HARNESS_TEXT_SIZE]; /* where it listens */
	char address[HARNESS_TEXT_SIZE]; /* where others find it */
	char http[HARNESS_TEXT_SIZE];
	char backend[HARNESS_TEXT_SIZE]; /* engine or service stand-in */
	char ini[256];
	struct proc daemon;
	struct proc backend_proc;
	struct proc rpc_proxy; /* others -> this daemon */
	struct proc log_proxy; /* this daemon -> log service */
	char rpc_proxy_control[HARNESS_TEXT_SIZE];
	char log_proxy_control[HARNESS_TEXT_SIZE];
};

struct cluster_options {
	int entries; /* default 2 */
	int engines; /* default 2 */
	int services; /* default 1; all named "booking" */
	bool proxied;
	bool fencing; /* engines check fencing numbers */
	const char *declarations; /* JSON documents; NULL: the default */
	const char *entry_settings; /* more INI text */
	const char *agent_settings;
	const char
	    *engine_args[HARNESS_MAX_MEMBERS]; /* more stand-in arguments */
	const char *service_args[HARNESS_MAX_MEMBERS];
	const char *log_args[HARNESS_MAX_MEMBERS];
	bool no_declarations; /* leave the deployment empty */
	bool no_start; /* stand-ins only; start daemons yourself */
};

struct cluster {
	char dir[128]; /* in the build folder */
	char log[HARNESS_TEXT_SIZE];
	char vms[HARNESS_TEXT_SIZE];
	char weights[HARNESS_TEXT_SIZE];
	struct proc log_proc;
	struct proc vms_proc;
	struct proc weights_proc;
	struct member entries[HARNESS_MAX_MEMBERS];
	struct member engines[HARNESS_MAX_MEMBERS];
	struct member services[HARNESS_MAX_MEMBERS];
	struct cluster_options opts;
};

/* ---- processes ---- */

const char *build_dir(void);
/* A free address on loopback, of HARNESS_TEXT_SIZE bytes. */
void new_address(char *out);
/* A program of the build folder with its subcommand; logs into dir. */
void proc_init(struct proc *, const char *dir, const char *name,
    const char *program, const char *sub);
void proc_add_arg(struct proc *, const char *arg);
void remove_dir(const char *path);

void proc_start(struct proc *);
/* A proxy from listen to target; faults are set at control, which it fills. */
void proc_start_proxy(struct proc *, const char *dir, const char *name,
    char *control, const char *listen, const char *target);
void proc_signal(struct proc *, int sig);
/* Waits for the end; returns the wait status. */
int proc_wait(struct proc *);
/* SIGKILL and wait. */
void proc_kill(struct proc *);
/* SIGTERM and wait; asserts exit status 0. */
void proc_stop(struct proc *);
bool proc_is_running(struct proc *);
/* Frees what belongs to an ended process. */
void proc_clear(struct proc *);
/* Whether the process's log holds the text. */
bool proc_log_contains(const struct proc *, const char *text);

/* ---- deployments ---- */

/* Starts all, waits until entries are ready and declared models have slots. */
struct cluster *cluster_start(const struct cluster_options *);
/* Stops all by id; prints the logs' place if the test failed. */
void cluster_stop(struct cluster *);

/* Sets faults, e.g. {"down": true}, at a stand-in's address. */
void set_faults(const char *address, const char *json);

/* Lists a VM as "live" or "leaving", or takes it off the list with "gone". */
void cluster_set_vm_state(struct cluster *, const struct member *,
    const char *role, const char *state);

/* ---- HTTP ---- */

struct response {
	long code; /* 0: no answer, or cut off */
	char *body;
	size_t len;
	json_t *doc; /* NULL if the body is not JSON */
	char etag[64];
	double seconds;
	bool cut; /* the connection broke before the end */
};

/* headers end with NULL; body NULL for none.  Clear the answer after use. */
void http_call(struct response *, const char *method, const char *address,
    const char *path, const char *const *headers, const char *body);
void response_clear(struct response *);
const char *response_text(const struct response *, const char *field);
int64_t response_int(const struct response *, const char *field);

/* Many calls at once, each answer in its place. */
struct batch_call {
	const char *method;
	const char *address;
	char *path;
	char *body;
	const char *const *headers;
	int64_t start_after_ms;
	struct response response;
};
void http_call_batch(struct batch_call *, size_t count);

/* An integer of a stand-in's /journal or an entry's /apis/v1/status. */
int64_t read_journal_int(const char *address, const char *field);
int64_t read_metric(const char *address, const char *series);

/* Whether anything answers at the HTTP address. */
bool is_listening(void *address);

/* Whether the daemon at the HTTP address says that it is ready. */
bool is_ready(void *address);

/* Asserts that cond(ctx) becomes true. */
void await_true(bool (*cond)(void *ctx), void *ctx, const char *what);
void sleep_ms(int ms);
int64_t now_ms(void);

/* The text that the engine stand-in generates for a prompt. */
char *expected_text(const char *prompt, unsigned tokens);

#endif
