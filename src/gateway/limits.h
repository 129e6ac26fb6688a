/*
 * limits -- the limits that replicas name: how many requests a second each of
 * them takes from all gateways together.
 *
 * A gateway learns a limit, and its end, from a replica's answers, or from the
 * sidecar that meters the replica and receives it from the other gateways. Each
 * request to a limited replica needs a place from the meter, see
 * exchange_limit.c.
 */
#ifndef GATEWAY_LIMITS_H
#define GATEWAY_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

struct answer_meta;
struct backend;
struct gateway;
struct tm_limit;

/* code: HTTP status of the replica's answer. */
void limits_on_answer(
    struct gateway *, struct backend *, int code, const struct answer_meta *);

/* An update from the meter. */
void limits_on_update(struct gateway *, const struct tm_limit *);

/* What this gateway knows, for the meter; its name points into the backend. */
void limits_fill_update(
    const struct gateway *, struct backend *, struct tm_limit *);

/* Whether the meter is connected, and has not just failed to answer. */
bool limits_has_meter(const struct gateway *, struct backend *, int64_t now_us);

/* Until the replica takes a request, as far as is known; 0: now. */
int64_t limits_wait_us(
    const struct gateway *, struct backend *, int64_t now_us);

#endif
