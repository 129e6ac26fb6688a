/*
 * standin -- test doubles of the platform, the engines and the services, for
 * demos, tests and benchmarks.
 *
 * Each stand-in is a subcommand of tamarackmast-standin and serves HTTP on one
 * port.  POST /faults with a JSON object sets faults to inject, and refuses
 * unknown ones with 400; GET /faults returns the common ones.  These are:
 *
 *	delay_ms	handle each request after a delay
 *	down		close the connection without handling the request
 *	lose_answers	handle the request, then close the connection without
 *			an answer; for so many requests, or -1 for all
 *	freeze		hold requests until it is false again
 *	raw		answer each request but those for /journal with these
 *			bytes, and nothing else; "": don't
 *	raw_endless	and then with these without end; "": none
 */
#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/http.h>
#include <jansson.h>

struct event_base;

/* The faults that all stand-ins have, as above. */
struct standin_faults {
	int64_t delay_ms;
	bool down;
	int64_t lose_answers; /* answers left to lose; -1: all */
	bool freeze;
	char raw[128];
	char raw_endless[64];
};

struct standin;

struct standin_options {
	struct event_base *base;
	const char *listen; /* IP:PORT */
	/* Called for each request but those that a fault drops or holds. */
	void (*handle)(void *ctx, struct evhttp_request *);
	/*
	 * Sets a fault that is particular to this stand-in; returns -1 if it is
	 * unknown.  May be NULL.
	 */
	int (*set_fault)(void *ctx, const char *name, const json_t *value);
	/* POST requests of tests, which no common fault applies to; or NULL. */
	const char *test_path;
	void *ctx;
};

/* Returns NULL after printing an error if the port cannot be opened. */
struct standin *standin_create(const struct standin_options *);

/* Sends the document, unless lose_answers applies.  Takes ownership of it. */
void standin_reply(
    struct standin *, struct evhttp_request *, int code, json_t *);

/* Returns whether the next answer is to be lost, and counts it as lost. */
bool standin_loses_answer(struct standin *);

/* Closes the caller's connection without an answer. */
void standin_drop(struct evhttp_request *);

/* Returns the body as JSON, owned by the caller; NULL if it is not JSON. */
json_t *standin_body(struct evhttp_request *);

/* Returns a query parameter as an integer, or def if there is none. */
int64_t standin_query(struct evhttp_request *, const char *name, int64_t def);

/* Monotonic time, without a fixed origin. */
int64_t standin_now_us(void);

/* The stand-ins; each returns the exit status of the process. */
int standin_log_main(int argc, char **argv);
int standin_vms_main(int argc, char **argv);
int standin_weights_main(int argc, char **argv);
int standin_engine_main(int argc, char **argv);
int standin_service_main(int argc, char **argv);
int standin_proxy_main(int argc, char **argv);
int standin_store_main(int argc, char **argv);
int standin_replica_main(int argc, char **argv);

#endif
