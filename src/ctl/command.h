/* command -- what the subcommands of ctl share. */
#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

#include <stdbool.h>

#include <jansson.h>

#include "common/daemon_args.h"
#include "ctl/api_client.h"

#define EXIT_REFUSED 3 /* the entry said no */
#define EXIT_NO_ANSWER 4 /* no entry answered, or the answer broke off */
#define EXIT_DIFFERENT 5 /* diff found differences */

#define CTL_PATH_MAX 512
#define CTL_ARGS_MAX 8

struct ctl {
	const char *entry; /* addresses by commas */
	const char *file;
	const char *token_file;
	const char *certificate;
	const char *key;
	const char *authority; /* NULL: plain text */
	bool json;
	bool once;
	bool dry_run;
	long long since; /* -1: now */
	long long timeout_s;
	char *args[CTL_ARGS_MAX];
	int arg_count;
	struct api_client *client;
};

/* Each returns the exit status. */
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

/* Prints why the answer is none; returns the exit status. */
int print_problem(const struct api_response *);
void print_json(const json_t *);
/* One document on one line. */
void print_declaration(const json_t *);

/* Calls, and prints JSON if asked to; 0 if the answer is 200. */
int ctl_call(struct ctl *, const char *method, const char *path,
    const char *body, struct api_response *);

/* All declarations, by "KIND/NAME"; sets the version.  NULL after an error. */
json_t *ctl_list_declarations(struct ctl *, json_int_t *version, int *rc);

/* The text of a member, or "". */
const char *member_text(const json_t *, const char *key);

#endif
