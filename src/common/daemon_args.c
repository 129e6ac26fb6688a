#include "common/daemon_args.h"

#include <argp.h>
#include <stdbool.h>
#include <stdio.h>

#include "common/options.h"

enum {
	KEY_CHECK_CONFIG = 256,
	KEY_PRINT_OPTIONS,
};

struct arguments {
	const char *config;
	bool check;
	bool print_options;
};

static const struct argp_option argp_options[] = {
	{ "config", 'c', "FILE", 0, "read settings from FILE", 0 },
	{ "check-config", KEY_CHECK_CONFIG, NULL, 0,
	    "check the settings and exit", 0 },
	{ "print-options", KEY_PRINT_OPTIONS, NULL, 0,
	    "print all settings and exit", 0 },
	{ 0 },
};

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 'c':
		args->config = arg;
		return 0;
	case KEY_CHECK_CONFIG:
		args->check = true;
		return 0;
	case KEY_PRINT_OPTIONS:
		args->print_options = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
daemon_args_load(int argc, char **argv, const char *doc,
    const struct option_desc *table, void *settings,
    const char *(*check)(const void *), const char **path)
{
	const struct argp argp = {
		.options = argp_options,
		.parser = parse_opt,
		.doc = doc,
	};
	struct arguments args = { 0 };
	struct options_error err;
	const char *error;

	argp_err_exit_status = EXIT_USAGE;
	if (argp_parse(&argp, argc, argv, 0, NULL, &args) != 0)
		return EXIT_USAGE;
	if (args.print_options) {
		options_print_reference(table, stdout);
		return 0;
	}
	if (args.config == NULL) {
		fprintf(stderr, "%s: --config is required\n", argv[0]);
		return EXIT_USAGE;
	}
	*path = args.config;
	if (options_load(table, args.config, settings, &err) == -1) {
		fprintf(stderr, "%s\n", err.text);
		return EXIT_USAGE;
	}
	error = check == NULL ? NULL : check(settings);
	if (error != NULL) {
		fprintf(stderr, "%s: %s\n", args.config, error);
		return EXIT_USAGE;
	}
	return args.check ? 0 : -1;
}
