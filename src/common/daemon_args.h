/* daemon_args -- command-line arguments common to all daemons. */
#ifndef COMMON_DAEMON_ARGS_H
#define COMMON_DAEMON_ARGS_H

struct option_desc;

/* Exit status of every subcommand for a bad command line or settings file. */
#define EXIT_USAGE 2

/*
 * Handles --config, --check-config and --print-options, and loads the settings
 * file into `settings`, a struct described by `table`.  `check` (may be NULL)
 * validates what the table cannot express, such as options that depend on each
 * other; it returns NULL or an error message.  Stores the path of the settings
 * file in *path.  Returns -1 if the daemon should run, or else the exit status;
 * errors are printed to standard error.
 */
int daemon_args_load(int argc, char **argv, const char *doc,
    const struct option_desc *table, void *settings,
    const char *(*check)(const void *settings), const char **path);

#endif
