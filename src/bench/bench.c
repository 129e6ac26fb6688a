#include "bench/bench.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bench/loadgen.h"
#include "bench/report.h"
#include "bench/scenario.h"
#include "common/clock.h"
#include "common/daemon_args.h"

#define ARGS_MAX 3
#define DEFAULT_LATE_MARGIN_US (100 * USEC_PER_MSEC)

struct bench_args {
	const char *words[ARGS_MAX];
	int word_count;
	const char *scenario;
	const char *output;
	const char *seed;
	struct loadgen_options loadgen;
};

static json_t *
read_result(const char *path)
{
	json_error_t err;
	json_t *doc = json_load_file(path, 0, &err);

	if (doc == NULL)
		fprintf(stderr, "%s: %s\n", path, err.text);
	return doc;
}

static int
write_result(const json_t *result, const char *path)
{
	if (path == NULL)
		return 0;
	if (json_dump_file(result, path, JSON_INDENT(1)) == 0)
		return 0;
	fprintf(stderr, "%s: cannot write the result\n", path);
	return -1;
}

static int
cmd_run(struct bench_args *args)
{
	char err[SCENARIO_ERROR_LEN];
	struct scenario *scenario;
	json_t *result;
	int rc = 1;

	if (args->scenario == NULL || args->loadgen.entry_count == 0) {
		fprintf(stderr, "run: --scenario and --entry are required\n");
		return EXIT_USAGE;
	}
	scenario = scenario_load(args->scenario, err);
	if (scenario == NULL) {
		fprintf(stderr, "%s\n", err);
		return EXIT_USAGE;
	}
	args->loadgen.scenario = scenario;
	args->loadgen.seed = args->seed != NULL ? strtoull(args->seed, NULL, 10)
						: scenario->seed;
	result = loadgen_run(&args->loadgen);
	if (result != NULL) {
		report_print(result);
		if (write_result(result, args->output) == 0 &&
		    loadgen_passed(result))
			rc = 0;
	}
	json_decref(result);
	scenario_destroy(scenario);
	return rc;
}

static int
cmd_report(struct bench_args *args)
{
	json_t *result;
	int rc;

	if (args->word_count != 2 || args->output == NULL) {
		fprintf(
		    stderr, "report: RESULT and --output DIR are required\n");
		return EXIT_USAGE;
	}
	result = read_result(args->words[1]);
	if (result == NULL)
		return EXIT_USAGE;
	rc = report_write(result, args->output);
	json_decref(result);
	return rc == 0 ? 0 : 1;
}

static int
cmd_compare(struct bench_args *args)
{
	json_t *a, *b;

	if (args->word_count != 3) {
		fprintf(stderr, "compare: two results are required\n");
		return EXIT_USAGE;
	}
	a = read_result(args->words[1]);
	b = read_result(args->words[2]);
	if (a != NULL && b != NULL)
		report_compare(a, b);
	json_decref(a);
	json_decref(b);
	return a != NULL && b != NULL ? 0 : EXIT_USAGE;
}

static const struct argp_option argp_options[] = {
	{ "scenario", 's', "FILE", 0, "scenario to run", 0 },
	{ "entry", 'e', "IP:PORT", 0,
	    "entry to send requests to; may be repeated", 0 },
	{ "journal", 'j', "IP:PORT", 0,
	    "engine or service stand-in whose journal judges the run; may be "
	    "repeated",
	    0 },
	{ "output", 'o', "PATH", 0,
	    "file for the result of run, or directory for the report", 0 },
	{ "seed", 'S', "N", 0, "seed, instead of the scenario's", 0 },
	{ "no-text", 'n', NULL, 0,
	    "do not verify the tokens of the engine stand-in", 0 },
	{ "bare", 'b', NULL, 0,
	    "--entry is an engine, which is called directly", 0 },
	{ "late-margin", 'l', "MS", 0,
	    "time after the deadline from which an answer or error is late "
	    "(100)",
	    0 },
	{ "quiet", 'q', NULL, 0, "no progress lines", 0 },
	{ 0 },
};

static error_t
add_address(
    const char **list, size_t *count, const char *arg, struct argp_state *state)
{
	if (*count == BENCH_ADDRESSES_MAX)
		argp_error(
		    state, "more than %d addresses", BENCH_ADDRESSES_MAX);
	else
		list[(*count)++] = arg;
	return 0;
}

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct bench_args *args = state->input;

	switch (key) {
	case 's':
		args->scenario = arg;
		return 0;
	case 'e':
		return add_address(args->loadgen.entries,
		    &args->loadgen.entry_count, arg, state);
	case 'j':
		return add_address(args->loadgen.journals,
		    &args->loadgen.journal_count, arg, state);
	case 'o':
		args->output = arg;
		return 0;
	case 'S':
		args->seed = arg;
		return 0;
	case 'l':
		args->loadgen.late_margin_us =
		    strtoll(arg, NULL, 10) * USEC_PER_MSEC;
		return 0;
	case 'n':
		args->loadgen.check_text = false;
		return 0;
	case 'b':
		args->loadgen.bare_engine = true;
		return 0;
	case 'q':
		args->loadgen.quiet = true;
		return 0;
	case ARGP_KEY_ARG:
		if (args->word_count == ARGS_MAX)
			return ARGP_ERR_UNKNOWN;
		args->words[args->word_count++] = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = argp_options,
	.parser = parse_opt,
	.args_doc = "run\nreport RESULT\ncompare RESULT RESULT",
	.doc = "Puts open-loop load on a deployment; reports and compares "
	       "results.\v"
	       "run exits with 1 if an answer was short or late, or if a "
	       "journal shows a violated guarantee.",
};

int
bench_main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int (*run)(struct bench_args *);
	} commands[] = {
		{ "run", cmd_run },
		{ "report", cmd_report },
		{ "compare", cmd_compare },
	};
	struct bench_args args = {
		.loadgen.check_text = true,
		.loadgen.late_margin_us = DEFAULT_LATE_MARGIN_US,
	};

	argp_err_exit_status = EXIT_USAGE;
	if (argp_parse(&argp, argc, argv, 0, NULL, &args) != 0)
		return EXIT_USAGE;
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (args.word_count > 0 &&
		    strcmp(args.words[0], commands[i].name) == 0)
			return commands[i].run(&args);
	}
	fprintf(stderr, "bench: run, report or compare is required\n");
	return EXIT_USAGE;
}
