/* tamarackmast -- runs the command that the first argument names. */
#include <argp.h>
#include <stdio.h>
#include <string.h>

#include "agent/agent.h"
#include "bench/bench.h"
#include "common/daemon_args.h"
#include "ctl/ctl.h"
#include "entry/entry.h"
#include "gateway/gateway.h"
#include "platform/platform.h"
#include "sidecar/sidecar.h"

static int
platform_gateway(int argc, char **argv)
{
	return gateway_main(argc, argv, &platform_driver);
}

static int
platform_sidecar(int argc, char **argv)
{
	return sidecar_main(argc, argv, &platform_driver);
}

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} commands[] = {
	{ "entry", entry_main, "serve callers and operators" },
	{ "agent", agent_main,
	    "run requests on one backend server and load its models" },
	{ "gateway", platform_gateway,
	    "serve callers of a platform, straight from its replicas" },
	{ "sidecar", platform_sidecar,
	    "control the platform's replica beside it" },
	{ "ctl", ctl_main, "apply declarations, watch and drain" },
	{ "bench", bench_main, "run a load test on a deployment and report" },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void
usage(FILE *out)
{
	fprintf(out, "Usage: tamarackmast COMMAND [OPTION...]\n\n"
		     "Serves rarely used models.\n\n");
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].help);
	fprintf(out, "\n  --help, --version\n"
		     "\nEach command has --help of its own; see also "
		     "tamarackmast(8).\n");
}

int
main(int argc, char **argv)
{
	static char name[64];

	if (argc < 2) {
		usage(stderr);
		return EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0) {
		usage(stdout);
		return 0;
	}
	if (strcmp(argv[1], "--version") == 0) {
		printf("tamarackmast %s\n", TM_VERSION);
		return 0;
	}
	for (size_t i = 0; i < COMMAND_COUNT; i++) {
		if (strcmp(argv[1], commands[i].name) != 0)
			continue;
		snprintf(name, sizeof(name), "tamarackmast %s", argv[1]);
		argv[1] = name;
		return commands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "tamarackmast: no command %s\n", argv[1]);
	usage(stderr);
	return EXIT_USAGE;
}
