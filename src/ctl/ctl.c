#include "ctl/ctl.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/command.h"
#include "protocol/declaration.h"
#include "protocol/result.h"
#include "transport/tls.h"

#define DEFAULT_ENTRY "127.0.0.1:8080"
#define DEFAULT_TIMEOUT_S 120

int
cmd_explain(struct ctl *ctl)
{
	const struct result_info *info;

	if (ctl->arg_count != 1) {
		fprintf(stderr, "explain: RESULT-CODE is required\n");
		return EXIT_USAGE;
	}
	if (strcmp(ctl->args[0], "all") == 0) {
		result_print_reference(stdout);
		return 0;
	}
	if (strcmp(ctl->args[0], "declarations") == 0) {
		declaration_print_reference(stdout);
		return 0;
	}
	info = result_find(ctl->args[0]);
	if (info == NULL) {
		fprintf(stderr, "explain: no result code %s\n", ctl->args[0]);
		return EXIT_USAGE;
	}
	printf("%d %s (HTTP %d, outcome %s)\n%s\nwhat to do: %s\n", info->code,
	    info->name, info->http_status, outcome_name(info->outcome),
	    info->title, info->advice);
	return 0;
}

/* ---- command line ---- */

static const struct {
	const char *name;
	int (*run)(struct ctl *);
	bool local; /* needs no entry */
} commands[] = {
	{ "apply", cmd_apply, false },
	{ "diff", cmd_diff, false },
	{ "get", cmd_get, false },
	{ "list", cmd_list, false },
	{ "watch", cmd_watch, false },
	{ "delete", cmd_delete, false },
	{ "status", cmd_status, false },
	{ "top", cmd_top, false },
	{ "drain", cmd_drain, false },
	{ "trace", cmd_trace, false },
	{ "explain", cmd_explain, true },
};

enum {
	KEY_TOKEN = 300,
	KEY_CERT,
	KEY_KEY,
	KEY_AUTHORITY,
	KEY_ONCE = 256,
	KEY_DRY_RUN,
	KEY_SINCE,
	KEY_TIMEOUT,
};

static const struct argp_option argp_options[] = {
	{ "entry", 'e', "IP:PORT[,...]", 0,
	    "entries to try in turn (" DEFAULT_ENTRY ")", 0 },
	{ "file", 'f', "FILE", 0,
	    "documents: a file, a directory of .json files, or - for standard "
	    "input",
	    0 },
	{ "token-file", KEY_TOKEN, "FILE", 0, "file with the operator's token",
	    0 },
	{ "authority", KEY_AUTHORITY, "FILE", 0,
	    "use TLS; PEM file of the CA that signs the entries' certificates",
	    0 },
	{ "certificate", KEY_CERT, "FILE", 0, "the operator's certificate", 0 },
	{ "key", KEY_KEY, "FILE", 0, "private key of the certificate", 0 },
	{ "json", 'j', NULL, 0, "print JSON", 0 },
	{ "once", KEY_ONCE, NULL, 0, "do not redraw on a terminal", 0 },
	{ "dry-run", KEY_DRY_RUN, NULL, 0,
	    "validate a change without applying it", 0 },
	{ "since", KEY_SINCE, "VERSION", 0, "watch from this version (now)",
	    0 },
	{ "timeout", KEY_TIMEOUT, "SECONDS", 0, "time limit of drain (120)",
	    0 },
	{ 0 },
};

static error_t
parse_number(struct argp_state *state, const char *arg, long long *out)
{
	char *end;

	*out = strtoll(arg, &end, 10);
	if (end == arg || *end != '\0' || *out < 0)
		argp_error(state, "%s: must be a non-negative integer", arg);
	return 0;
}

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct ctl *ctl = state->input;

	switch (key) {
	case 'e':
		ctl->entry = arg;
		return 0;
	case 'f':
		ctl->file = arg;
		return 0;
	case 'j':
		ctl->json = true;
		return 0;
	case KEY_TOKEN:
		ctl->token_file = arg;
		return 0;
	case KEY_AUTHORITY:
		ctl->authority = arg;
		return 0;
	case KEY_CERT:
		ctl->certificate = arg;
		return 0;
	case KEY_KEY:
		ctl->key = arg;
		return 0;
	case KEY_ONCE:
		ctl->once = true;
		return 0;
	case KEY_DRY_RUN:
		ctl->dry_run = true;
		return 0;
	case KEY_SINCE:
		return parse_number(state, arg, &ctl->since);
	case KEY_TIMEOUT:
		return parse_number(state, arg, &ctl->timeout_s);
	case ARGP_KEY_ARG:
		if (ctl->arg_count == CTL_ARGS_MAX)
			argp_usage(state);
		ctl->args[ctl->arg_count++] = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = argp_options,
	.parser = parse_opt,
	.args_doc = "apply -f FILE\ndiff -f FILE\nget KIND [NAME]\n"
		    "list [KIND]\nwatch [KIND]\ndelete KIND NAME\nstatus\n"
		    "top\ndrain VM\ntrace ID\nexplain RESULT-CODE",
	.doc = "Manages declarations, shows status and drains VMs."
	       "\vExit status: 0 done, 2 bad command line or document, 3 "
	       "refused, 4 no answer, 5 diff found differences.",
};

/* Reads the first word of a file; returns NULL after printing an error. */
static char *
read_token(const char *path)
{
	FILE *file = fopen(path, "re");
	char *token = NULL;

	if (file == NULL || fscanf(file, "%511ms", &token) != 1)
		fprintf(stderr, "%s: no token found\n", path);
	if (file != NULL)
		fclose(file);
	return token;
}

static int
open_tls(const struct ctl *ctl, struct tls **tls)
{
	struct tls_options opts = {
		.certificate = ctl->certificate ? ctl->certificate : "",
		.key = ctl->key ? ctl->key : "",
		.authority = ctl->authority,
	};
	struct tls_error err;

	*tls = NULL;
	if (ctl->authority == NULL)
		return 0;
	*tls = tls_create(&opts, &err);
	if (*tls != NULL)
		return 0;
	fprintf(stderr, "%s\n", err.text);
	return -1;
}

static int
run_remote(struct ctl *ctl, int (*command)(struct ctl *))
{
	struct api_client_options opts = { .addresses = ctl->entry };
	char *token = NULL;
	struct tls *tls;
	int rc = EXIT_USAGE;

	if (open_tls(ctl, &tls) == -1)
		return EXIT_USAGE;
	if (ctl->token_file != NULL &&
	    (token = read_token(ctl->token_file)) == NULL)
		goto out;
	opts.tls = tls;
	opts.token = token;
	ctl->client = api_client_create(&opts);
	if (ctl->client == NULL)
		fprintf(stderr, "%s: not IP:PORT addresses by commas\n",
		    ctl->entry);
	else
		rc = command(ctl);
	api_client_destroy(ctl->client);

out:
	tls_destroy(tls);
	free(token);
	return rc;
}

static int
run_command(struct ctl *ctl, size_t command)
{
	memmove(ctl->args, ctl->args + 1,
	    (size_t)(ctl->arg_count - 1) * sizeof(char *));
	ctl->arg_count--;
	if (commands[command].local)
		return commands[command].run(ctl);
	return run_remote(ctl, commands[command].run);
}

int
ctl_main(int argc, char **argv)
{
	struct ctl ctl = {
		.entry = DEFAULT_ENTRY,
		.since = -1,
		.timeout_s = DEFAULT_TIMEOUT_S,
	};

	argp_err_exit_status = EXIT_USAGE;
	if (argp_parse(&argp, argc, argv, 0, NULL, &ctl) != 0)
		return EXIT_USAGE;
	if (ctl.arg_count == 0) {
		argp_help(&argp, stderr, ARGP_HELP_STD_ERR, argv[0]);
		return EXIT_USAGE;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(commands[i].name, ctl.args[0]) == 0)
			return run_command(&ctl, i);
	}
	fprintf(stderr, "%s: no command %s\n", argv[0], ctl.args[0]);
	return EXIT_USAGE;
}
