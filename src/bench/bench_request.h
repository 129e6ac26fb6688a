/*
 * shot -- one request of the load: sends it, checks the answer, reports.
 *
 * A completion is streamed; every token is compared with the engine stand-in's
 * text for the prompt.  A booking is judged later by its body, which no other
 * request shares.
 */
#ifndef BENCH_BENCH_REQUEST_H
#define BENCH_BENCH_REQUEST_H

#include "bench/schedule.h"
#include "bench/stats.h"

#define BENCH_BODY_MAX 64

struct clock;
struct http_client;

struct bench_request_options {
	struct clock *clock;
	struct http_client *http;
	struct stats *stats;
	const struct arrival *arrival;
	int64_t start_us; /* of the load */
	uint64_t run_id; /* tells the bookings of two runs apart */
	bool check_text;
	bool bare_engine; /* ask an engine itself, without the system */
	/* Runs once; body is empty for a completion. */
	void (*on_done)(
	    void *ctx, const char body[BENCH_BODY_MAX], enum bench_outcome);
	void *ctx;
};

void bench_request_send(const struct bench_request_options *);

#endif
