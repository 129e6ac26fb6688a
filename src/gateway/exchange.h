/*
 * exchange -- one caller's request, from its arrival to its answer.
 *
 * The request is routed by the deployment, waits until a replica can run it, is
 * sent to that replica, and is answered with the replica's answer or a refusal.
 * After a failure it is sent again while attempts, retry budget and time are
 * left; a failed connection uses up neither attempts nor budget.  A request
 * that must run only once is sent again only if the replica stated that it did
 * not and will not run it, or if the connection failed.
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
/*
 * Selects a replica again at once for the waiting requests whose model this
 * replica has loaded.  Call it after each report of its holdings.
 */
void exchanges_on_holdings(struct gateway *, const struct backend *);
/* Sends what waits for a prefill permit of this replica's sidecar. */
void exchanges_on_silent_sidecar(struct gateway *, const struct backend *);

/* Refuses or fails every request that has no answer yet, before the exit. */
void exchanges_answer_all(struct gateway *);

/* Frees all exchanges and closes their callers' connections, at the exit. */
void exchanges_abort(struct gateway *);

#endif
