/*
 * exchange -- one caller's request, from its arrival to its answer.
 *
 * It waits until a replica can run it, is sent, sent again where that is
 * allowed, and answered.  What may run only once is never sent again unless
 * the replica said that it did not and will not run it.
 */
#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include <stdbool.h>

struct evhttp_request;
struct backend;
struct gateway;

/* Takes over the request. */
void exchange_start(struct gateway *, struct evhttp_request *);

/* A deployment is known: routes the requests that waited for one. */
void exchanges_route(struct gateway *);

/* Looks again at the requests that wait, each a few times a second. */
void exchanges_reselect(struct gateway *);
/* A replica told what it holds: looks at those that wait for that. */
void exchanges_on_holdings(struct gateway *, const struct backend *);

/* The process ends soon: answers what has no answer yet. */
void exchanges_answer_all(struct gateway *);

/* Breaks all exchanges off, at the end of the process. */
void exchanges_abort(struct gateway *);

#endif
