/* report -- prints, plots and compares results of the load generator. */
#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include <jansson.h>

/* Prints outcomes and latencies by rank, and what the journals show. */
void report_print(const json_t *result);

/*
 * Writes report.html, data files and plots.gp into dir, which is created if it
 * is missing; running gnuplot on plots.gp there creates the images of the page.
 * Returns 0, or -1 after printing an error.
 */
int report_write(const json_t *result, const char *dir);

/* Prints a Markdown table of both results and the ratios of b to a. */
void report_compare(const json_t *a, const json_t *b);

#endif
