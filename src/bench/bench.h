/* bench -- load generator and reports, the subcommand `bench`. */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

/* Runs `tamarackmast bench`; returns the exit status. */
int bench_main(int argc, char **argv);

#endif
