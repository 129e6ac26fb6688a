/*
 * harness -- starts daemons and stand-ins as processes on loopback, sets faults
 * at the stand-ins and proxies, and makes blocking HTTP requests.
 *
 * All functions assert on failure unless they say otherwise.  Tests wait for
 * conditions; HARNESS_TIMEOUT_MS only ends a test that hangs.
 */
#ifndef TEST_HARNESS_H
#define TEST_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

#define HARNESS_TIMEOUT_MS 30000
#define HARNESS_MAX_MEMBERS 16 /* of each role */
#define HARNESS_MAX_STANDIN_ARGS 16
#define HARNESS_MAX_ARGS 24 /* of a process, with the NULL */
#define HARNESS_TEXT_SIZE 64

/* A program, its arguments and, while it runs, its process. */
struct proc {
	char name[HARNESS_TEXT_SIZE];
	char *argv[HARNESS_MAX_ARGS];
	char log[256]; /* file of standard output and error */
	pid_t pid; /* 0: not running */
};

/*
 * One VM of the cluster: a daemon and, for agents, its backend stand-in.  All
 * addresses are IP:PORT.  The proxies exist only with cluster_options.proxied.
 */
struct member {
	char vm[HARNESS_TEXT_SIZE];
	char zone[HARNESS_TEXT_SIZE];
	char rpc_listen[HARNESS_TEXT_SIZE];
	char address[HARNESS_TEXT_SIZE]; /* RPC address in the VM list */
	char http[HARNESS_TEXT_SIZE];
	char backend[HARNESS_TEXT_SIZE]; /* engine or service stand-in */
	char ini[256]; /* path of the settings */
	struct proc daemon;
	struct proc backend_proc;
	struct proc rpc_proxy; /* others -> this daemon */
	struct proc log_proxy; /* this daemon -> log service */
	char rpc_proxy_control[HARNESS_TEXT_SIZE]; /* for set_faults() */
	char log_proxy_control[HARNESS_TEXT_SIZE];
};

struct cluster_options {
	int entries; /* default 2 */
	int engines; /* default 2 */
	int services; /* default 1; all named "booking" */
	bool proxied; /* proxies for RPC and the log of each daemon */
	bool fencing; /* engines check fencing numbers */
	const char *declarations; /* JSON documents; NULL: the default */
	const char *entry_settings; /* additional INI text; NULL: none */
	const char *agent_settings;
	/* Additional arguments of the stand-ins, up to the first NULL. */
	const char *engine_args[HARNESS_MAX_STANDIN_ARGS];
	const char *service_args[HARNESS_MAX_STANDIN_ARGS];
	const char *log_args[HARNESS_MAX_STANDIN_ARGS];
	bool no_declarations; /* apply none */
	bool no_start; /* start the stand-ins, but no daemon */
};

struct cluster {
	char dir[128]; /* settings and logs, below build_dir() */
	/* Addresses of the log service, VM list and weight store stand-ins. */
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

/* $TM_BUILD, or "build". */
const char *build_dir(void);
/*
 * Writes a free address on loopback to out, of HARNESS_TEXT_SIZE bytes.  Test
 * programs that run at the same time use disjoint port ranges.
 */
void new_address(char *out);
/*
 * Prepares a program of the build folder with its subcommand sub; its log is
 * dir/name.log.
 */
void proc_init(struct proc *, const char *dir, const char *name,
    const char *program, const char *sub);
void proc_add_arg(struct proc *, const char *arg);
/* Processor time that a running process has used. */
int64_t proc_cpu_ms(const struct proc *);
/* A figure of its /proc/PID/status in kB, by its name with the colon. */
int64_t proc_status_kb(const struct proc *, const char *name);
/* Removes a directory that holds only files. */
void remove_dir(const char *path);

/* The kernel kills the process when the calling thread ends. */
void proc_start(struct proc *);
/*
 * Starts a proxy that forwards connections from listen to target.  Writes the
 * address for set_faults() to control, of HARNESS_TEXT_SIZE bytes.
 */
void proc_start_proxy(struct proc *, const char *dir, const char *name,
    char *control, const char *listen, const char *target);
void proc_signal(struct proc *, int sig);
/*
 * Waits for the process to end.  Returns its wait status, as of waitpid(2); 0
 * if it was not running.
 */
int proc_wait(struct proc *);
/* Asserts that the process has not ended; the message has its wait status. */
void proc_assert_running(struct proc *);
/* Sends SIGKILL and waits. */
void proc_kill(struct proc *);
/* Sends SIGTERM and waits; asserts exit status 0. */
void proc_stop(struct proc *);
/* The same with a SIGTERM at every moment until the process has ended. */
void proc_stop_repeatedly(struct proc *);
bool proc_is_running(struct proc *);
/* Frees the arguments of a process that has ended. */
void proc_clear(struct proc *);
/* Returns whether the log contains text; false if it can't be read. */
bool proc_log_contains(const struct proc *, const char *text);

/* ---- deployments ---- */

/*
 * Starts all stand-ins and daemons.  Waits until the daemons are ready, the
 * declarations are applied and every declared model has a slot.
 */
struct cluster *cluster_start(const struct cluster_options *);
/*
 * Kills all processes of the cluster and frees it.  Removes its directory
 * unless TM_KEEP_LOGS is set.
 */
void cluster_stop(struct cluster *);

/*
 * Sets faults, e.g. {"down": true}, at the address of a stand-in or at the
 * control address of a proxy.
 */
void set_faults(const char *address, const char *json);

/*
 * Changes the VM list: state is "live" or "leaving", or "gone", which removes
 * the VM.
 */
void cluster_set_vm_state(struct cluster *, const struct member *,
    const char *role, const char *state);

/* ---- HTTP ---- */

struct response {
	long code; /* HTTP status; 0: no response, or cut before its body */
	char *body; /* NUL-terminated */
	size_t len;
	json_t *doc; /* NULL if the body is not JSON */
	char etag[64];
	double retry_after_s; /* 0: no Retry-After */
	double seconds; /* until the end of the response */
	bool cut; /* the connection broke before the end */
};

/*
 * Makes a request and waits for the response, for at most twice
 * HARNESS_TIMEOUT_MS.  headers end with NULL and may be NULL, as may body.
 * Clear the response after use.  A response without a status is no error.
 */
void http_call(struct response *, const char *method, const char *address,
    const char *path, const char *const *headers, const char *body);
void response_clear(struct response *);
/* A string of the JSON body; "" if there is none. */
const char *response_text(const struct response *, const char *field);
/* An integer of the JSON body; 0 if there is none. */
int64_t response_int(const struct response *, const char *field);

/* One of several concurrent requests, and its response. */
struct batch_call {
	const char *method;
	const char *address;
	char *path;
	char *body;
	const char *const *headers;
	int64_t start_after_ms;
	struct response response;
};
/*
 * Makes all calls, in the order of the array and none before its
 * start_after_ms; returns when all have ended.  Clear each response after use.
 */
void http_call_batch(struct batch_call *, size_t count);

/* An integer of a stand-in's /journal; asserts that the field is there. */
int64_t read_journal_int(const char *address, const char *field);
/* A value of a daemon's /metrics; 0 if the series is missing. */
int64_t read_metric(const char *address, const char *series);

/* Whether a stand-in answers at the HTTP address. */
bool is_listening(void *address);

/* Whether the daemon at the HTTP address reports that it is ready. */
bool is_ready(void *address);

/*
 * Polls cond(ctx) until it is true; fails the test, naming what, after
 * HARNESS_TIMEOUT_MS.
 */
void await_true(bool (*cond)(void *ctx), void *ctx, const char *what);
void sleep_ms(int ms);
int64_t now_ms(void);

/* The text that engine stand-ins generate for a prompt; to be freed. */
char *expected_text(const char *prompt, unsigned tokens);

#endif
