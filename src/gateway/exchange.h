/*
 * exchange -- one caller's request, from its arrival to its answer.
 *
 * An exchange is routed by the deployment, waits until a replica can run it, is
 * sent to that replica, and is answered with the replica's answer or a refusal.
 * It is sent again after a failure if its route permits a second run, the
 * attempts, the retry budget and the deadline allow it.  A request that must
 * run only once is sent again only if the replica stated that it did not and
 * will not run it, or if there was no connection.
 */
#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include <stdbool.h>

struct evhttp_request;
struct backend;
struct gateway;

/* Takes over the request, and answers it in any case. */
void exchange_start(struct gateway *, struct evhttp_request *);

/* Routes the requests that waited for the first deployment. */
void exchanges_route(struct gateway *);

/*
 * Selects a replica again for each waiting request, at most ten times a second.
 * Call it on every tick.
 */
void exchanges_reselect(struct gateway *);
/* The same at once for requests whose model that replica now has loaded. */
void exchanges_on_holdings(struct gateway *, const struct backend *);

/* Answers every request that has no answer yet, before the process exits. */
void exchanges_answer_all(struct gateway *);

/* Aborts all exchanges and their connections, when the process exits. */
void exchanges_abort(struct gateway *);

#endif
