/*
 * process -- event loop, clock, logger, metrics and signals of one daemon.
 *
 * SIGTERM and SIGINT call stop(), SIGHUP calls reload(), all from the loop.
 */
#ifndef COMMON_PROCESS_H
#define COMMON_PROCESS_H

#include <stdint.h>

struct clock;
struct event;
struct event_base;
struct logger;
struct metrics;

#define PROCESS_SIGNALS 3

struct process_options {
	const char *name; /* on each log line */
	const char *log_levels;
	void (*stop)(void *ctx);
	void (*reload)(void *ctx);
	void *ctx;
};

struct process {
	struct event_base *base;
	struct clock *clock;
	struct logger *logger;
	struct metrics *metrics;
	struct event *signals[PROCESS_SIGNALS];
	struct process_options opts;
};

/* Logs to standard output, which must not block.  -1 without memory. */
int process_open(struct process *, const struct process_options *);
void process_close(struct process *);

/* A timer of the loop; the callback may add it again. */
struct event *process_timer_new(
    struct process *, void (*fire)(int, short, void *), void *ctx);
void process_timer_add(struct event *, int64_t delay_us);

#endif
