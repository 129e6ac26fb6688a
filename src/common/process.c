#include "common/process.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"

static void
on_signal(evutil_socket_t sig, short what, void *arg)
{
	struct process *p = arg;

	if (sig == SIGHUP) {
		p->opts.reload(p->opts.ctx);
		return;
	}
	process_ignore_stop(p->signals);
	p->opts.stop(p->opts.ctx);
}

/* A stalled reader of standard output costs log lines, not requests. */
static void
set_stdout_nonblocking(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags != -1)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static const int signals[PROCESS_SIGNALS] = { SIGTERM, SIGINT, SIGHUP };

int
process_open(struct process *p, const struct process_options *opts)
{
	struct logger_options log = {
		.process = opts->name,
		.level = LOG_LEVEL_INFO,
		.fd = STDOUT_FILENO,
	};

	memset(p, 0, sizeof(*p));
	p->opts = *opts;
	(void)signal(SIGPIPE, SIG_IGN);
	set_stdout_nonblocking();
	p->base = event_base_new();
	p->clock = clock_create_real();
	p->metrics = metrics_create();
	log.clock = p->clock;
	p->logger = p->clock == NULL ? NULL : logger_create(&log);
	if (p->base == NULL || p->metrics == NULL || p->logger == NULL) {
		process_close(p);
		return -1;
	}
	(void)logger_set_levels(p->logger, opts->log_levels);
	for (int i = 0; i < PROCESS_SIGNALS; i++) {
		p->signals[i] = evsignal_new(p->base, signals[i], on_signal, p);
		if (p->signals[i] == NULL) {
			process_close(p);
			return -1;
		}
		evsignal_add(p->signals[i], NULL);
	}
	return 0;
}

/* Libevent restores the default action with the end of the event. */
static void
ignore_signal(int number, struct event *event)
{
	sigset_t set, old;

	sigemptyset(&set);
	sigaddset(&set, number);
	sigprocmask(SIG_BLOCK, &set, &old);
	if (event != NULL)
		event_del(event);
	(void)signal(number, SIG_IGN);
	sigprocmask(SIG_SETMASK, &old, NULL);
}

void
process_ignore_stop(struct event *events[PROCESS_SIGNALS])
{
	for (int i = 0; i < PROCESS_SIGNALS; i++) {
		if (signals[i] != SIGHUP)
			ignore_signal(signals[i], events[i]);
	}
}

void
process_free_signals(struct event *events[PROCESS_SIGNALS])
{
	for (int i = 0; i < PROCESS_SIGNALS; i++) {
		ignore_signal(signals[i], events[i]);
		if (events[i] != NULL)
			event_free(events[i]);
	}
}

void
process_close(struct process *p)
{
	process_free_signals(p->signals);
	if (p->logger != NULL)
		logger_destroy(p->logger);
	if (p->metrics != NULL)
		metrics_destroy(p->metrics);
	if (p->base != NULL)
		event_base_free(p->base);
	if (p->clock != NULL)
		clock_destroy(p->clock);
	memset(p, 0, sizeof(*p));
}

struct event *
process_timer_new(
    struct process *p, void (*fire)(int, short, void *), void *ctx)
{
	struct event *timer = evtimer_new(p->base, fire, ctx);

	if (timer == NULL)
		abort();
	return timer;
}

void
process_timer_add(struct event *timer, int64_t delay_us)
{
	struct timeval tv = clock_timeval(delay_us);

	evtimer_add(timer, &tv);
}
