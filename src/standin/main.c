/* Runs the stand-in that the first argument names. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "standin/standin.h"

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
} standins[] = {
	{ "log", standin_log_main },
	{ "vms", standin_vms_main },
	{ "weights", standin_weights_main },
	{ "engine", standin_engine_main },
	{ "service", standin_service_main },
	{ "proxy", standin_proxy_main },
	{ "store", standin_store_main },
	{ "replica", standin_replica_main },
};

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0;
	     argc > 1 && i < sizeof(standins) / sizeof(standins[0]); i++) {
		if (strcmp(argv[1], standins[i].name) == 0)
			return standins[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "Usage: tamarackmast-standin "
			"log|vms|weights|engine|service|proxy|store|replica "
			"[OPTION...]\n");
	return 2;
}
