/* command -- options, exit statuses and helpers of the ctl subcommands. */
#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

#include <stdbool.h>

#include <jansson.h>

#include "common/daemon_args.h"
#include "ctl/api_client.h"

/* Exit statuses besides EXIT_USAGE. */
#define EXIT_REFUSED 3 /* the entry refused the request */
#define EXIT_NO_ANSWER 4 /* no complete answer from any entry, or a timeout */
#define EXIT_DIFFERENT 5 /* diff found differences */

#define CTL_PATH_MAX 512 /* bytes of a URL path or a file path */
#define CTL_ARGS_MAX 8

/* The parsed command line, and the client of commands that call an entry. */
struct ctl {
	const char *entry; /* IP:PORT addresses, separated by commas */
	const char *file; /* documents; "-": standard input; NULL: not given */
	const char *token_file; /* NULL: no token */
	const char *certificate; /* PEM files, used with authority only */
	const char *key;
	const char *authority; /* NULL: no TLS */
	bool json; /* print JSON instead of text */
	bool once; /* print once instead of redrawing */
	bool dry_run;
	long long since; /* version to watch from; -1: the current one */
	long long timeout_s; /* of drain */
	char *args[CTL_ARGS_MAX]; /* after the command's name */
	int arg_count;
	struct api_client *client;
};

/* The commands; each returns the exit status. */
int cmd_apply(struct ctl *);
int cmd_diff(struct ctl *);
int cmd_get(struct ctl *);
int cmd_list(struct ctl *);
int cmd_watch(struct ctl *);
int cmd_delete(struct ctl *);
int cmd_status(struct ctl *);
int cmd_top(struct ctl *);
int cmd_drain(struct ctl *);
int cmd_trace(struct ctl *);
int cmd_explain(struct ctl *);

/* Prints the reason of a failed call to standard error; returns EXIT_*. */
int print_problem(const struct api_response *);
void print_json(const json_t *);

/* Prints a declaration on one line: kind, name, version and spec. */
void print_declaration(const json_t *);

/*
 * Calls an entry; prints the response if JSON was asked for, and the problem if
 * the status is not 200.  Returns 0 or the exit status.
 */
int ctl_call(struct ctl *, const char *method, const char *path,
    const char *body, struct api_response *);

/*
 * Fetches all declarations, as an object keyed by "KIND/NAME", and the version
 * of the list.  Returns NULL after printing an error; *rc is then the exit
 * status and *version is not set.
 */
json_t *ctl_list_declarations(struct ctl *, json_int_t *version, int *rc);

/* Returns a string member of an object, or "" if there is none. */
const char *member_text(const json_t *, const char *key);

#endif
