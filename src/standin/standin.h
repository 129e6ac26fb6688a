/*
 * standin -- small processes that take the place of the platform, the engines
 * and the services in demos, tests and benches.
 *
 * Every role serves one HTTP port.  POST /faults with a JSON object sets its
 * faults; GET /faults shows them.  All roles know:
 *
 *	delay_ms	wait before acting on each request
 *	down		close each connection without acting
 *	lose_answers	act, then close the connection without an answer;
 *			a count, or -1 for always
 *	freeze		hold requests until it is false again
 */
#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/http.h>
#include <jansson.h>

struct event_base;

struct standin_faults {
	int64_t delay_ms;
	bool down;
	int64_t lose_answers;
	bool freeze;
};

struct standin;

struct standin_options {
	struct event_base *base;
	const char *listen;
	/* Handles a request after the faults have had their way. */
	void (*handle)(void *ctx, struct evhttp_request *);
	/* The role's own faults. */
	int (*set_fault)(void *ctx, const char *name, const json_t *value);
	void *ctx;
};

struct standin *standin_create(const struct standin_options *);

/* Answers, unless a fault loses the answer.  Steals the document. */
void standin_reply(
    struct standin *, struct evhttp_request *, int code, json_t *);
/* Whether the answer to this request is to be lost; counts it. */
bool standin_loses_answer(struct standin *);
/* Closes the caller's connection without an answer. */
void standin_drop(struct evhttp_request *);

json_t *standin_body(struct evhttp_request *);
/* Query parameter as a number, or def. */
int64_t standin_query(struct evhttp_request *, const char *name, int64_t def);

int64_t standin_now_us(void);

/* The roles; each returns the exit status. */
int standin_log_main(int argc, char **argv);
int standin_vms_main(int argc, char **argv);
int standin_weights_main(int argc, char **argv);
int standin_engine_main(int argc, char **argv);
int standin_service_main(int argc, char **argv);
int standin_proxy_main(int argc, char **argv);
int standin_store_main(int argc, char **argv);
int standin_replica_main(int argc, char **argv);

#endif
