/*
 * bench_request -- sends a request of the schedule, checks the answer and adds
 * the result to the statistics.
 *
 * A completion is streamed, and its tokens are compared with those that the
 * engine stand-in generates for the prompt.  A booking is checked after the run
 * by its body, which is unique; see bench/journal.h.
 */
#ifndef BENCH_BENCH_REQUEST_H
#define BENCH_BENCH_REQUEST_H

#include "bench/schedule.h"
#include "bench/stats.h"

#define BENCH_BODY_MAX 64 /* bytes of a booking's body, with the NUL */

struct clock;
struct http_client;

struct bench_request_options {
	struct clock *clock;
	struct http_client *http;
	struct stats *stats;
	const struct arrival *arrival;
	int64_t start_us; /* of the run, on the clock */
	uint64_t run_id; /* makes bodies and prompts unique to the run */
	bool check_text; /* verify the tokens of a completion */
	bool bare_engine; /* call the engine directly */
	/* Called once, at the end; body is empty for a completion. */
	void (*on_done)(
	    void *ctx, const char body[BENCH_BODY_MAX], enum bench_outcome);
	void *ctx;
};

/* Sends the request; it frees itself at its end. */
void bench_request_send(const struct bench_request_options *);

#endif
