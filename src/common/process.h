/*
 * process -- event loop, clock, logger, metrics and signals of a daemon.
 *
 * SIGTERM and SIGINT call stop(), SIGHUP calls reload(), both from the event
 * loop.  SIGPIPE is ignored.
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
	const char *name; /* "proc" of each log line */
	const char *log_levels; /* as logger_set_levels() */
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

/*
 * Creates the members and installs the signal handlers.  The logger writes to
 * standard output, which is made non-blocking.  Returns 0, or -1 if memory is
 * exhausted.
 */
int process_open(struct process *, const struct process_options *);
void process_close(struct process *);
/*
 * Frees the events of SIGTERM, SIGINT and SIGHUP, any of which may be NULL, and
 * ignores these signals from now on: a second one would end the process before
 * it has closed what it holds.
 */
void process_free_signals(struct event *signals[PROCESS_SIGNALS]);
/*
 * Ignores SIGTERM and SIGINT from now on: handling further ones would only take
 * time from the work that is being finished.
 */
void process_ignore_stop(struct event *signals[PROCESS_SIGNALS]);

/*
 * Creates a one-shot timer of the event loop, not started; freed by
 * event_free().  The callback may start it again.  Aborts if memory is
 * exhausted.
 */
struct event *process_timer_new(
    struct process *, void (*fire)(int, short, void *), void *ctx);

/* Starts a timer, or restarts a pending one. */
void process_timer_add(struct event *, int64_t delay_us);

#endif
